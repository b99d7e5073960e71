"""Exponentially decayed request counts per key."""

import heapq
import math
from collections.abc import Hashable
from typing import Generic, TypeVar, final

Key = TypeVar("Key", bound=Hashable)

# Entries with a lower count are dropped: they no longer influence evictions.
NEGLIGIBLE_COUNT = 0.01
# Maximum number of keys; the least popular are dropped when it is reached. A sidecar of a
# deployment at the target size sees a few hundred adapters.
MAX_ENTRIES = 8192


@final
class Popularity(Generic[Key]):
    """Counts requests per key with exponential decay.

    Stores one float per key: the base-2 logarithm of its count, scaled to time zero. All counts
    decay at the same rate, so their order is constant between requests and no periodic update is
    needed.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._log_counts: dict[Key, float] = {}
        self._next_prune_at = -math.inf

    def __len__(self) -> int:
        return len(self._log_counts)

    def record(self, key: Key, now: float) -> None:
        """Count one request at ``now`` seconds."""
        log_weight = now / self._half_life_s
        log_count = self._log_counts.get(key)
        if log_count is None:
            self._prune(now)
            self._log_counts[key] = log_weight
        else:
            # The cap prevents an overflow; above 2**60 one more request is below float precision.
            self._log_counts[key] = log_weight + math.log2(
                1.0 + 2.0 ** min(log_count - log_weight, 60.0)
            )

    def estimate(self, key: Key, now: float) -> float:
        """Return the decayed count of a key; 0 for an unknown key."""
        log_count = self._log_counts.get(key)
        if log_count is None:
            return 0.0
        return 2.0 ** min(log_count - now / self._half_life_s, 60.0)

    def _prune(self, now: float) -> None:
        is_full = len(self._log_counts) >= MAX_ENTRIES
        if now < self._next_prune_at and not is_full:
            return
        self._next_prune_at = now + self._half_life_s
        min_log_count = now / self._half_life_s + math.log2(NEGLIGIBLE_COUNT)
        kept = [item for item in self._log_counts.items() if item[1] >= min_log_count]
        if len(kept) >= MAX_ENTRIES:
            # Drop a quarter at once to amortize the cost over many new keys.
            kept = heapq.nlargest(MAX_ENTRIES * 3 // 4, kept, key=lambda item: item[1])
        self._log_counts = dict(kept)
