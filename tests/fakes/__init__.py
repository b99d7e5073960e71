"""Stand-ins inside the test process for the parts that a daemon talks to."""
