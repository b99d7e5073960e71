"""The entry daemon: callers on one side, sidecars on the other."""
