"""Adapter slots, popularity, load order and the load budget; no I/O."""
