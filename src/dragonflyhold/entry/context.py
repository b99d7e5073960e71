"""What the requests of one entry daemon share."""

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
    """The configuration in force."""

    @property
    def view(self) -> ConfigView:
        """The objects."""

    def is_fresh(self, now: float) -> bool:
        """Whether new work may be taken."""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunContext:
    """Shared parts; safe to use from any thread."""

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
        """Return an id for a request that has none yet; it cannot be taken for a request id."""
        return f"{self.settings.name}-{self.incarnation}-{next(self._numbers)}"

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Whether requests with this fingerprint are refused."""
        return self.crashes.crash_status(fingerprint) is CrashStatus.CONFIRMED

    def suspected_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the crashes that a fingerprint is suspected of."""
        if self.crashes.crash_status(fingerprint) is not CrashStatus.SUSPECT:
            return 0
        for report in self.crashes.reports():
            if report.fingerprint == fingerprint:
                return report.crashes
        # Only the latest reports are listed; an older suspicion counts as one crash.
        return 1
