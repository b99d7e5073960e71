"""One gateway's share of the common retry budget."""

import collections
from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.ids import ServiceName

# Counts of the sliding window are kept in buckets of this length.
BUCKET_S = 0.5
# The fixed allowance is divided by the number of gateways, and by this factor, as a restarted one
# begins with a full share. At least ``MIN_GATEWAYS`` are assumed: some may not be known yet.
SLACK_DIVISOR = 1.6
MIN_GATEWAYS = 5
# Share of the ratio that is used; the rest is a reserve for requests that other gateways retry.
RATIO_SHARE = 0.8


@final
class RetryBudget:
    """Limits retries per service by the number of requests in a sliding window."""

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack / SLACK_DIVISOR
        self._gateways = MIN_GATEWAYS
        self._bucket_count = int(window_s / BUCKET_S) + 1
        self._clock = clock
        self._requests: dict[ServiceName, collections.Counter[int]] = {}
        self._retries: dict[ServiceName, collections.Counter[int]] = {}

    def set_gateways(self, count: int) -> None:
        """Set the number of gateways that share the budget."""
        self._gateways = max(MIN_GATEWAYS, count)

    def note_request(self, service: ServiceName) -> None:
        """Count a client request."""
        self._add(self._requests, service)

    def try_spend(self, service: ServiceName) -> bool:
        """Count a retry and return true if the budget allows it, else return false."""
        if not self.has_room(service):
            return False
        self._add(self._retries, service)
        return True

    def has_room(self, service: ServiceName) -> bool:
        """Whether the budget allows another retry."""
        allowed = self._ratio * self._sum(self._requests, service) + self._slack / self._gateways
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
