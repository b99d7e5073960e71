"""The daemon beside an upstream."""
