"""The number of gateways, among which budgets and limits for all of them are divided."""

from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.clock import monotonic_now

# Time after which a smaller number is taken; agents that restart count gateways from one again.
HOLD_S = 10.0


@final
class GatewayCount:
    """What agents tell of the number of gateways; the last number holds while none is connected."""

    def __init__(self, clock: Callable[[], float] = monotonic_now, hold_s: float = HOLD_S) -> None:
        self._clock = clock
        self._hold_s = hold_s
        self._is_told = False
        self._count = 1
        self._told_at = clock()

    @property
    def value(self) -> int:
        """Return the number of gateways, as far as known, at least 1."""
        return self._count

    @property
    def told(self) -> int | None:
        """Return the number of gateways, ``None`` before any agent has told it."""
        return self._count if self._is_told else None

    def note(self, count: int) -> None:
        """Record the number of gateways that are connected to an agent."""
        now = self._clock()
        self._is_told = self._is_told or count > 0
        if count >= self._count or now - self._told_at > self._hold_s:
            self._count, self._told_at = max(1, count), now
