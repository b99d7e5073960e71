"""Even load: the choice among upstreams whose loads are known only with some delay."""

from dragonflyhold.balancing.arrivals import ArrivalRate
from dragonflyhold.balancing.choice import (
    Basis,
    Candidate,
    choose,
    choose_for_key,
    unevenness,
    weighted_score,
)
from dragonflyhold.balancing.memory import HeldMemory, MemoryReport, RequestSizes
from dragonflyhold.balancing.shared_loads import LoadRow, SharedLoads
from dragonflyhold.balancing.slowness import Slowness

__all__ = [
    "ArrivalRate",
    "Basis",
    "Candidate",
    "HeldMemory",
    "LoadRow",
    "MemoryReport",
    "RequestSizes",
    "SharedLoads",
    "Slowness",
    "choose",
    "choose_for_key",
    "unevenness",
    "weighted_score",
]
