"""asyncio-based serving path: the gateway in front of upstreams and the agent of an engine."""
