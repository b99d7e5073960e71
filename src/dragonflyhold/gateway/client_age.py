"""Estimates for how long a client has been trying, from the time that it has left.

Requests do not state the client's first attempt. A refused client comes back with the rest of its
time limit, but the limits of first attempts differ too, so only a request with clearly less time
left than others of its route counts as a retry.
"""

import math
from typing import final

# Share of the longest limit of a route above which a limit is taken for that of a first attempt.
FIRST_ATTEMPT_SHARE = 0.8
# Assumed limit of a retrying client's first attempt, as a share of the longest one.
MEAN_FIRST_SHARE = (1 + FIRST_ATTEMPT_SHARE) / 2
# Multiple of a route's time limit beyond which a client's limit is left out.
MAX_LIMIT_RATIO = 4.0


@final
class ClientAges:
    """Longest time limits by route."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def estimate(self, route: str, time_left_s: float | None, timeout_s: float = math.inf) -> float:
        """Return the time in seconds since the client's first attempt, 0 for a first attempt.

        Limits far beyond the route's own time limit tell nothing about other clients.
        """
        if time_left_s is None or time_left_s > MAX_LIMIT_RATIO * timeout_s:
            return 0.0
        longest_s = max(self._longest_s.get(route, 0.0), time_left_s)
        self._longest_s[route] = longest_s
        if time_left_s >= FIRST_ATTEMPT_SHARE * longest_s:
            return 0.0
        return MEAN_FIRST_SHARE * longest_s - time_left_s
