"""Operator configuration: objects, change log, packed catalogue and propagation."""
