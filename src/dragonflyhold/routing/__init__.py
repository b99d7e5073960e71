"""Upstream selection, retries and stream liveness, as pure logic without I/O."""

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
