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
# Time without a message from the agent after which nothing is known; requests must not wait for
# an agent that ended.
MAX_AGE_S = 1.5
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
        # Running requests as of that report, and those of the last message that names them.
        self._reported_running = 0
        self._running = 0
        self._waiting = 0
        self._known_at = -math.inf
        self._own = 0
        # Own requests sent since; those that ended are taken off.
        self._own_since = 0

    def is_known(self, now: float) -> bool:
        """Return whether the engine has stated its memory, and its requests of late."""
        return self._report is not None and now - self._known_at <= MAX_AGE_S

    def note_report(
        self, report: MemoryReport | None, running: int, waiting: int, now: float
    ) -> None:
        """Record what the engine reports, and how many requests run and wait there."""
        self._report, self._reported_running = report, running
        self.note_load(running, waiting, now)

    def note_load(self, running: int, waiting: int, now: float) -> None:
        """Record how many requests run and wait there, from a message without the memory."""
        self._running, self._waiting, self._known_at = running, waiting, now
        self._own_since = 0

    def note_started(self, tokens: int) -> None:
        """Count an own request that is sent there."""
        self._own += tokens
        self._own_since += tokens

    def note_ended(self, tokens: int) -> None:
        """Count the end of an own request."""
        self._own = max(0, self._own - tokens)
        self._own_since = max(0, self._own_since - tokens)

    def fits(self, tokens: int, sizes: RequestSizes, others_per_s: float, now: float) -> bool:
        """Return whether another request fits; ``True`` if too little is known.

        ``others_per_s`` is the rate at which other gateways send to the engine.
        """
        report = self._report
        if report is None or not self.is_known(now):
            return True
        # A gateway with few requests knows little of their sizes; the engine's tell more.
        running_mean = report.used / self._reported_running if self._reported_running else 0.0
        mean = max(sizes.mean, running_mean)
        largest = max(sizes.largest, mean, float(tokens))
        unreported = others_per_s * max(0.0, now - self._known_at)
        spread = DEVIATIONS * math.sqrt(unreported * mean * largest)
        others = (self._waiting + unreported) * mean + spread
        began = (self._running - self._reported_running) * mean
        held = max(report.used + began + others + self._own_since, float(self._own))
        return held + tokens <= USABLE_SHARE * report.total
