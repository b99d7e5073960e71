"""An estimate of the rate of requests, in memory that doesn't depend on the rate."""

import math
from typing import final

# Time after which a request counts half.
HALF_LIFE_S = 2.0
DECAY_PER_S = math.log(2.0) / HALF_LIFE_S


@final
class ArrivalRate:
    """Requests a second, as an exponentially weighted average over the last seconds."""

    def __init__(self) -> None:
        self._count = 0.0
        self._started_at: float | None = None
        self._updated_at = 0.0

    def note(self, now: float) -> None:
        """Count a request at a monotonic time."""
        if self._started_at is None:
            self._started_at = self._updated_at = now
        self._count = self._decayed(now) + 1.0
        self._updated_at = max(now, self._updated_at)

    def per_s(self, now: float) -> float:
        """Return the rate, 0 before the first request."""
        if self._started_at is None:
            return 0.0
        # The weights of a short past sum up to less; at least one half-life counts, as a single
        # request tells no rate.
        past_s = max(HALF_LIFE_S, now - self._started_at)
        return self._decayed(now) * DECAY_PER_S / (1.0 - math.exp(-DECAY_PER_S * past_s))

    def _decayed(self, now: float) -> float:
        return self._count * math.exp(-DECAY_PER_S * max(0.0, now - self._updated_at))
