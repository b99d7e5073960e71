"""The adapter to the platform: its names, its store, its settings and its runners' calls."""
