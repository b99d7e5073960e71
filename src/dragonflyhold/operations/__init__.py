"""The operator interface."""
