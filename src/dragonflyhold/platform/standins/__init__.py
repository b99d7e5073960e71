"""Stand-ins of the platform, for tests, the demo and the model of the load."""
