"""Routing decisions: candidates, choice, retries and liveness; no I/O."""

from dragonflyhold.routing.choice import (
    NoRoute,
    RouteReason,
    RouteRequest,
    RouteTo,
    choose_upstream,
)
from dragonflyhold.routing.table import LoadSnapshot, UpstreamTable

__all__ = [
    "LoadSnapshot",
    "NoRoute",
    "RouteReason",
    "RouteRequest",
    "RouteTo",
    "UpstreamTable",
    "choose_upstream",
]
