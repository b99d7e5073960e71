"""How long work takes at an upstream, from noisy figures that are soon out of date.

An upstream shares its machine with others. What it states holds for a moment; over seconds its
figures vary around a mean, which is the best guess once the last figure is old.
"""

import collections
import math
import statistics
from typing import final

# Time after which the last figure tells little more than the mean.
MOMENT_S = 0.3
# Time over which the mean is taken. Figures closer together count as one, as they are of the same
# moment.
MEAN_S = 10.0
SAMPLE_GAP_S = 0.1
# Time without a figure over which the mean falls back to the usual; then nothing is known. Else an
# upstream that seems slow and so gets nothing could never show that it isn't.
MAX_AGE_S = 30.0
# Factor by which a figure may differ from the mean that it changes.
MAX_STEP = 3.0
# Classes of the median, which moments don't change, for decisions on which gateways must agree that
# have figures of their own. A class is a factor of the square root of 2 wide; what differs from the
# usual by less than this share of a class counts as usual.
CLASSES_PER_DOUBLING = 2
USUAL_WIDTH = 0.6
# Figures of which the median is taken, and fewer than which tell none.
MEDIAN_SAMPLES = 15
MIN_MEDIAN_SAMPLES = 3
# Bounds of a figure, so that a single absurd one neither stops an upstream's work nor draws all.
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 10.0
USUAL = 1.0


@final
class Slowness:
    """Estimates the time that work takes at one upstream relative to the usual one."""

    def __init__(self) -> None:
        # The usual speed counts as the first sample: the first figure may be of a bad moment.
        self._mean = USUAL
        self._samples = 1
        self._last = USUAL
        self._last_at = -math.inf
        self._sampled_at = -math.inf
        self._recent: collections.deque[float] = collections.deque(maxlen=MEDIAN_SAMPLES)
        self._class = 0

    @property
    def steady(self) -> float:
        """The middle of the median's class, which changes rarely."""
        return float(2.0 ** (self._class / CLASSES_PER_DOUBLING))

    def note(self, figure: float, now: float) -> None:
        """Record a figure that an upstream stated at a monotonic time."""
        figure = min(max(figure, MIN_SLOWNESS), MAX_SLOWNESS)
        if not self.is_known(now):
            self._mean, self._samples = USUAL, 1
            self._recent.clear()
        elif now < self._last_at:
            return
        self._last, self._last_at = figure, now
        gap_s = now - self._sampled_at
        if gap_s < SAMPLE_GAP_S:
            return
        self._sampled_at = now
        self._samples += 1
        weight = max(1.0 / self._samples, 1.0 - math.exp(-min(gap_s, MOMENT_S) / MEAN_S))
        bounded = min(max(figure, self._mean / MAX_STEP), self._mean * MAX_STEP)
        self._mean += weight * (bounded - self._mean)
        self._recent.append(figure)
        if len(self._recent) >= MIN_MEDIAN_SAMPLES:
            position = CLASSES_PER_DOUBLING * math.log2(statistics.median(self._recent))
            distance = max(0, math.ceil(abs(position) - USUAL_WIDTH))
            self._class = distance if position > 0 else -distance

    def is_known(self, now: float) -> bool:
        """Return whether the upstream has stated a figure that still counts."""
        return now - self._last_at <= MAX_AGE_S

    def now(self, now: float) -> float:
        """Return the expected figure for work that begins now."""
        if not self.is_known(now):
            return USUAL
        weight = math.exp(-max(0.0, now - self._last_at) / MOMENT_S)
        mean = self.mean(now)
        return mean + weight * (self._last - mean)

    def mean(self, now: float) -> float:
        """Return the expected figure for work that begins later."""
        share = min(1.0, max(0.0, 1.0 - (now - self._last_at) / MAX_AGE_S))
        return USUAL + share * (self._mean - USUAL)

    def rounded(self, now: float) -> float | None:
        """Return the expected figure for logs, ``None`` if nothing is known."""
        return round(self.now(now), 2) if self.is_known(now) else None
