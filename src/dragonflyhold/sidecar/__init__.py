"""Sidecar daemon that runs next to an upstream and passes requests to it."""
