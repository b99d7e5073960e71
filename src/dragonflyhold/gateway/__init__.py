"""The event-loop serving path: the gateway in front of runners and the agent beside an engine."""
