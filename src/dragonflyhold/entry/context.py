"""Objects shared by all requests of an entry daemon."""

import dataclasses
import itertools
import time
from collections.abc import Callable
from typing import Protocol, final

from dragonflyhold.config.view import ConfigView
from dragonflyhold.entry.router import Router
from dragonflyhold.ids import Fingerprint, Incarnation
from dragonflyhold.observability import ExplainLog, Metrics
from dragonflyhold.requests.crashes import CrashStatus, CrashTable
from dragonflyhold.settings import EntrySettings
from dragonflyhold.transport.channel_pool import ChannelPool


class ConfigSource(Protocol):
    """Source of the configuration in force."""

    @property
    def view(self) -> ConfigView:
        """View of the configuration objects."""

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration is recent enough to accept new work."""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunContext:
    """Shared dependencies of requests; safe to use from any thread."""

    settings: EntrySettings
    incarnation: Incarnation
    config: ConfigSource
    router: Router
    pool: ChannelPool
    crashes: CrashTable
    explain: ExplainLog
    metrics: Metrics
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    _numbers: "itertools.count[int]" = dataclasses.field(default_factory=itertools.count)

    def new_local_id(self) -> str:
        """Return an id for a request without one; its format differs from that of request ids."""
        return f"{self.settings.name}-{self.incarnation}-{next(self._numbers)}"

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether requests with this fingerprint are quarantined."""
        return self.crashes.crash_status(fingerprint) is CrashStatus.CONFIRMED

    def suspected_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes that a fingerprint is suspected of."""
        if self.crashes.crash_status(fingerprint) is not CrashStatus.SUSPECT:
            return 0
        for report in self.crashes.reports():
            if report.fingerprint == fingerprint:
                return report.crashes
        # ``reports`` lists only the most recent ones; an older suspicion counts as one crash.
        return 1
