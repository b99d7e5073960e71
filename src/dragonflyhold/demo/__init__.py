"""Runs small deployments of real processes on loopback, for demos and feature scenarios."""
