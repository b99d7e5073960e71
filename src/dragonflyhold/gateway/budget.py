"""The share of the common retry budget that one gateway may spend."""

import collections
from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.ids import ServiceName

# Windows are kept in parts of this many seconds.
BUCKET_S = 0.5
# Gateways that may spend the fixed part of the budget at the same time; the sheets have at most
# five, and a restarted one starts with a new share.
SLACK_SHARES = 8
# Part of the ratio that is spent; the rest covers requests whose arrivals other gateways repeat.
RATIO_SHARE = 0.8


@final
class RetryBudget:
    """Counts requests and repeats by service over a sliding window."""

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack / SLACK_SHARES
        self._bucket_count = int(window_s / BUCKET_S) + 1
        self._clock = clock
        self._requests: dict[ServiceName, collections.Counter[int]] = {}
        self._retries: dict[ServiceName, collections.Counter[int]] = {}

    def note_request(self, service: ServiceName) -> None:
        """Count a request of a client."""
        self._add(self._requests, service)

    def try_spend(self, service: ServiceName) -> bool:
        """Count one more arrival of a request, if the budget has room for it."""
        if not self.has_room(service):
            return False
        self._add(self._retries, service)
        return True

    def has_room(self, service: ServiceName) -> bool:
        """Whether one more arrival would stay within the budget."""
        allowed = self._ratio * self._sum(self._requests, service) + self._slack
        return self._sum(self._retries, service) + 1 <= allowed

    def _add(
        self, counters: dict[ServiceName, collections.Counter[int]], service: ServiceName
    ) -> None:
        bucket = int(self._clock() / BUCKET_S)
        counts = counters.setdefault(service, collections.Counter())
        if bucket not in counts:
            for old in [key for key in counts if key <= bucket - self._bucket_count]:
                del counts[old]
        counts[bucket] += 1

    def _sum(
        self, counters: dict[ServiceName, collections.Counter[int]], service: ServiceName
    ) -> int:
        oldest = int(self._clock() / BUCKET_S) - self._bucket_count
        return sum(n for bucket, n in counters.get(service, {}).items() if bucket > oldest)
