"""Stand-ins for the platform's services, for tests, the demo and load simulations."""
