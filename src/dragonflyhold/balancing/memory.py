"""What the requests at an engine hold of its memory, in tokens.

An engine that holds more than its memory crashes with all its requests. Its report says what it
holds; what was sent since is known of the own requests and estimated for those of others.
"""

import dataclasses
import math
from typing import final

# Share of the memory that requests may fill, as answers can become longer than stated.
USABLE_SHARE = 0.9
# Standard deviations by which the requests of other gateways may exceed their estimate.
DEVIATIONS = 3.0
# Weight of the latest request in the mean size, and what the largest one loses with each request.
SIZE_WEIGHT = 0.05
LARGEST_DECAY = 0.999


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MemoryReport:
    """Memory of an engine: what its running requests hold, and all of it."""

    used: int
    total: int


@final
class RequestSizes:
    """Sizes of a gateway's requests in tokens, taken for those of all gateways."""

    def __init__(self) -> None:
        self.mean = 0.0
        self.largest = 0.0

    def note(self, tokens: int) -> None:
        """Count a request that states its size."""
        if tokens > 0:
            self.mean += (SIZE_WEIGHT if self.mean else 1.0) * (tokens - self.mean)
            self.largest = max(float(tokens), LARGEST_DECAY * self.largest)


@final
class HeldMemory:
    """What one engine holds, as known to one gateway."""

    def __init__(self) -> None:
        self._report: MemoryReport | None = None
        self._reported_at = 0.0
        self._running = 0
        self._waiting = 0
        self._own = 0
        # Own requests sent since the report; those that ended are taken off.
        self._own_since = 0

    def note_report(
        self, report: MemoryReport | None, running: int, waiting: int, now: float
    ) -> None:
        """Record what the engine reports, and how many requests run and wait there."""
        self._report, self._reported_at = report, now
        self._running, self._waiting = running, waiting
        self._own_since = 0

    def note_started(self, tokens: int) -> None:
        """Count an own request that is sent there."""
        self._own += tokens
        self._own_since += tokens

    def note_ended(self, tokens: int) -> None:
        """Count the end of an own request."""
        self._own = max(0, self._own - tokens)
        self._own_since = max(0, self._own_since - tokens)

    @property
    def is_stated(self) -> bool:
        """Whether the engine states its memory."""
        return self._report is not None and self._report.total > 0

    def fits(self, tokens: int, sizes: RequestSizes, others_per_s: float, now: float) -> bool:
        """Return whether another request fits; ``True`` if the engine states no memory.

        ``others_per_s`` is the rate at which other gateways send to the engine.
        """
        report = self._report
        if report is None or not self.is_stated:
            return True
        # A gateway with few requests knows little of their sizes; the engine's tell more.
        mean = max(sizes.mean, report.used / self._running if self._running else 0.0)
        largest = max(sizes.largest, mean, float(tokens))
        unreported = others_per_s * max(0.0, now - self._reported_at)
        spread = DEVIATIONS * math.sqrt(unreported * mean * largest)
        others = (self._waiting + unreported) * mean + spread
        held = max(report.used + others + self._own_since, float(self._own))
        return held + tokens <= USABLE_SHARE * report.total
