"""Counts the requests to an upstream that states a limit; does no I/O."""

import bisect
import math
from typing import final

# No more requests are sent in one of these windows than the limit allows. The short one spreads
# the requests that the long one allows.
SHORT_WINDOW_S = 1.0
LONG_WINDOW_S = 4.0
# An upstream gets at least one request in this time, as only its answers tell that a limit ended.
PROBE_S = 10.0


@final
class LimitWindows:
    """Times of the requests that were sent to one upstream, as monotonic seconds."""

    def __init__(self) -> None:
        self._times: list[float] = []

    def record(self, sent_at: float) -> None:
        """Record a request; times may come in any order."""
        bisect.insort(self._times, sent_at)

    def next_at(self, limit_per_s: float, now: float) -> float:
        """Return the earliest time at which another request keeps the limit, at least ``now``."""
        del self._times[: bisect.bisect_right(self._times, now - PROBE_S)]
        earliest = now
        for window_s, most in _windows(limit_per_s):
            if len(self._times) >= most:
                earliest = max(earliest, self._times[-most] + window_s)
        return earliest


def _windows(limit_per_s: float) -> tuple[tuple[float, int], ...]:
    """Return windows in seconds, each with the largest number of requests in it."""
    long_s = LONG_WINDOW_S
    if limit_per_s * long_s < 1:
        long_s = min(PROBE_S, 1 / limit_per_s) if limit_per_s > 0 else PROBE_S
    return (
        (SHORT_WINDOW_S, max(1, math.ceil(limit_per_s))),
        (long_s, max(1, math.floor(limit_per_s * long_s))),
    )
