"""How long work takes at an upstream, from noisy figures that are soon out of date.

An upstream shares its machine with others. What it states holds for a moment; over seconds its
figures vary around a mean, which is the best guess once the last figure is old.
"""

import math
from typing import final

# Time after which the last figure tells little more than the mean.
MOMENT_S = 0.3
# Time over which the mean is taken. Figures closer together count as one, as they are of the same
# moment.
MEAN_S = 10.0
SAMPLE_GAP_S = 0.1
# Time without a figure after which nothing is known.
MAX_AGE_S = 30.0
# Classes of the mean, for decisions on which gateways with figures of their own must agree: a
# class is a factor of the square root of 2 wide, and is left at this distance from its middle.
CLASSES_PER_DOUBLING = 2
LEAVE_CLASS_AT = 0.8
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
        self._class = 0

    @property
    def steady(self) -> float:
        """The middle of the mean's class, which changes rarely."""
        return float(2.0 ** (self._class / CLASSES_PER_DOUBLING))

    def note(self, figure: float, now: float) -> None:
        """Record a figure that an upstream stated at a monotonic time."""
        figure = min(max(figure, MIN_SLOWNESS), MAX_SLOWNESS)
        if not self.is_known(now):
            self._mean, self._samples = USUAL, 1
        elif now < self._last_at:
            return
        self._last, self._last_at = figure, now
        gap_s = now - self._sampled_at
        if gap_s < SAMPLE_GAP_S:
            return
        self._sampled_at = now
        self._samples += 1
        weight = max(1.0 / self._samples, 1.0 - math.exp(-min(gap_s, MOMENT_S) / MEAN_S))
        self._mean += weight * (figure - self._mean)
        position = CLASSES_PER_DOUBLING * math.log2(self._mean)
        if abs(position - self._class) > LEAVE_CLASS_AT:
            self._class = round(position)

    def is_known(self, now: float) -> bool:
        """Return whether the upstream has stated a figure that still counts."""
        return now - self._last_at <= MAX_AGE_S

    def now(self, now: float) -> float:
        """Return the expected figure for work that begins now."""
        if not self.is_known(now):
            return USUAL
        weight = math.exp(-max(0.0, now - self._last_at) / MOMENT_S)
        return self._mean + weight * (self._last - self._mean)

    def mean(self, now: float) -> float:
        """Return the expected figure for work that begins later."""
        return self._mean if self.is_known(now) else USUAL

    def rounded(self, now: float) -> float | None:
        """Return the expected figure for logs, ``None`` if nothing is known."""
        return round(self.now(now), 2) if self.is_known(now) else None
