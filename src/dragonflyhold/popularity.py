"""Decayed request frequency per adapter."""

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar, final

Key = TypeVar("Key", bound=Hashable)

# An estimate below this many requests no longer changes an eviction, so the entry is dropped.
NEGLIGIBLE = 0.01
# Upper bound on the entries of one table; the least frequent are dropped beyond it. A sidecar
# sees a few hundred adapters at the target size.
MAX_ENTRIES = 8192


@final
class Popularity(Generic[Key]):
    """Exponentially decayed request counts.

    Stores one float for each key: the base-2 logarithm of its count scaled to time zero. All
    entries decay at the same rate, so their order does not change with time and no sweep has to
    update them.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._levels: dict[Key, float] = {}
        self._next_prune = -math.inf

    def __len__(self) -> int:
        return len(self._levels)

    def record(self, key: Key, now: float) -> None:
        """Count one request at ``now`` seconds."""
        shift = now / self._half_life_s
        level = self._levels.get(key)
        if level is None:
            self._prune(now)
            self._levels[key] = shift
        else:
            # Above 2**60 the added request is lost in the float's precision anyway.
            self._levels[key] = shift + math.log2(1.0 + 2.0 ** min(level - shift, 60.0))

    def estimate(self, key: Key, now: float) -> float:
        """Return the decayed count of a key, 0 if unknown."""
        level = self._levels.get(key)
        if level is None:
            return 0.0
        return 2.0 ** min(level - now / self._half_life_s, 60.0)

    def _prune(self, now: float) -> None:
        is_full = len(self._levels) >= MAX_ENTRIES
        if now < self._next_prune and not is_full:
            return
        self._next_prune = now + self._half_life_s
        floor = now / self._half_life_s + math.log2(NEGLIGIBLE)
        kept = [item for item in self._levels.items() if item[1] >= floor]
        if len(kept) >= MAX_ENTRIES:
            # A quarter at once, so that the cost is spread over many new keys.
            kept = heapq.nlargest(MAX_ENTRIES * 3 // 4, kept, key=lambda item: item[1])
        self._levels = dict(kept)
