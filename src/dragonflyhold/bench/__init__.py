"""Policy harness, load generator and capacity measurements."""
