"""The number of gateways, among which budgets and limits for all of them are divided."""

from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.clock import monotonic_now

# Time after which a smaller number is taken; agents that restart count gateways from one again.
HOLD_S = 10.0


@final
class GatewayCount:
    """What agents tell of the number of gateways; the last number holds while none is connected."""

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        self._clock = clock
        self._count = 1
        self._told_at = clock()

    @property
    def value(self) -> int:
        """Return the number of gateways, as far as known, at least 1."""
        return self._count

    def note(self, count: int) -> None:
        """Record the number of gateways that are connected to an agent."""
        now = self._clock()
        if count >= self._count or now - self._told_at > HOLD_S:
            self._count, self._told_at = max(1, count), now
