"""Agent side of the limits that upstreams state: counts the requests of all gateways.

Gateways ask one agent about each limited upstream. It knows the newest statement of the upstream,
tells it to the gateways that have not seen it, and grants requests within the limit.
"""

import dataclasses
from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.limit_windows import LimitWindows
from dragonflyhold.gateway.messages import LimitReport, LimitStatement

# Time after which an upstream is forgotten about which no gateway asks.
EXPIRY_S = 60.0
# A shorter wait could be taken for a permit after rounding.
MIN_WAIT_S = 0.001
# Time for which the end of a limit is repeated to all gateways.
ENDED_S = 10.0


@final
@dataclasses.dataclass(slots=True)
class _Entry:
    """What is known of one incarnation of an upstream."""

    limit_per_s: float | None
    stated_at: float
    used_at: float
    windows: LimitWindows = dataclasses.field(default_factory=LimitWindows)


@final
class LimitLedger:
    """The limited upstreams about which gateways ask this agent."""

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}

    def apply(self, report: LimitReport) -> bool:
        """Add what a gateway reports; return whether the limit is another one now."""
        now, statement = self._clock(), report.statement
        stated_at = now - max(0.0, statement.age_s)
        entry = self._entries.get(statement.incarnation)
        is_new = entry is None
        if entry is None:
            entry = _Entry(statement.limit_per_s, stated_at, now)
            self._entries[statement.incarnation] = entry
        entry.used_at = now
        for age_s in report.sent_ages_s:
            entry.windows.record(now - max(0.0, age_s))
        if stated_at < entry.stated_at:
            return False
        entry.stated_at = stated_at
        has_changed = entry.limit_per_s != statement.limit_per_s
        entry.limit_per_s = statement.limit_per_s
        return is_new or has_changed

    def take(self, incarnation: str) -> float:
        """Count a request and return 0, or return the time in seconds until one is allowed."""
        now, entry = self._clock(), self._entries[incarnation]
        if entry.limit_per_s is not None:
            wait_s = entry.windows.next_at(entry.limit_per_s, now) - now
            if wait_s > 0:
                return max(MIN_WAIT_S, wait_s)
        entry.windows.record(now)
        return 0.0

    def statement(self, incarnation: str) -> LimitStatement:
        """Return the newest statement of an upstream."""
        entry = self._entries[incarnation]
        return LimitStatement(incarnation, entry.limit_per_s, self._clock() - entry.stated_at)

    def statements(self) -> list[LimitStatement]:
        """Return all limits, and those that ended lately; to be called from time to time."""
        now = self._clock()
        for incarnation, entry in list(self._entries.items()):
            if now - entry.used_at > EXPIRY_S:
                del self._entries[incarnation]
        return [
            self.statement(incarnation)
            for incarnation, entry in self._entries.items()
            if entry.limit_per_s is not None or now - entry.stated_at <= ENDED_S
        ]
