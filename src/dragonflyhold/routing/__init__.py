"""Routing decisions: candidates, choice, retries and liveness; no I/O."""
