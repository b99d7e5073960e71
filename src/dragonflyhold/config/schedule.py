"""Schedule for comparing with peers, reading the head row and writing snapshots; no I/O."""

import dataclasses
import math
import random
from typing import Protocol, final

from dragonflyhold.settings import ConfigSettings

SNAPSHOT_RETRY_S = 10.0
# Fraction of ``stale_s`` after which two compares per period are made to avoid becoming stale.
_URGENT_AGE_FRACTION = 0.5


class _Replica(Protocol):
    def processes(self) -> int: ...

    def current_age_s(self, now: float) -> float: ...


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DueWork:
    """Periodic work that is due."""

    compares: int
    head_read: bool
    snapshot: bool


@final
class Schedule:
    """Times of the periodic work, with jitter so that daemons do not synchronise."""

    def __init__(self, settings: ConfigSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._compare_due_at = -math.inf
        self._head_due_at = -math.inf
        self._snapshot_due_at = math.inf

    def due(self, now: float, replica: _Replica, after_pause: bool) -> DueWork:
        """Return the work that is due at ``now`` and schedule the next run of it."""
        compares = 0
        if now >= self._compare_due_at or after_pause:
            age_s = replica.current_age_s(now)
            is_urgent = age_s > self._settings.stale_s * _URGENT_AGE_FRACTION
            compares = 2 if is_urgent else 1
            self._compare_due_at = now + self._settings.compare_period_s * self._rng.uniform(
                0.9, 1.1
            )
        head_read = now >= self._head_due_at or after_pause
        if head_read:
            self._head_due_at = now + self.head_period_s(replica.processes()) * self._rng.uniform(
                0.5, 1.5
            )
        snapshot = now >= self._snapshot_due_at
        if snapshot:
            self._snapshot_due_at = math.inf
        return DueWork(compares, head_read, snapshot)

    def head_period_s(self, processes: int) -> float:
        """Return the mean time in seconds between two reads of the head row."""
        settings = self._settings
        return max(settings.head_read_period_s, processes / settings.head_reads_per_s)

    def schedule_snapshot_retry(self, now: float) -> None:
        """Schedule another attempt to write a snapshot."""
        self._snapshot_due_at = now + SNAPSHOT_RETRY_S
