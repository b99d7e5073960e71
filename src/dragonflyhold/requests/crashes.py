"""Detection of requests that crash their upstreams."""

import collections
import dataclasses
import enum
import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, final

from dragonflyhold.ids import Fingerprint

# Limit of reports in one exchange with a peer. Exchanges follow each other every second, and each
# carries the latest reports.
MAX_REPORTS = 32
# A suspicion expires this long after the last crash or report that raised it.
SUSPECT_TTL_S = 600.0
# Size limits of the table; the oldest entries are dropped first. One crash adds up to a whole batch
# of suspects.
MAX_SUSPECTS = 4096
MAX_CONFIRMED = 32_768


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Number of crashes that a request is suspected of; ``quarantined`` if it was confirmed."""

    fingerprint: Fingerprint
    crashes: int
    quarantined: bool


class CrashExchange(Protocol):
    """Crash reports that daemons exchange along with the configuration; thread-safe."""

    def reports(self) -> Sequence[CrashReport]:
        """Return the latest reports to send to peers, at most ``MAX_REPORTS``."""

    def merge(self, reports: Sequence[CrashReport]) -> None:
        """Merge reports received from a peer."""

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Register a callback for new reports; it may be called from any thread."""


class CrashStatus(enum.Enum):
    """Whether requests with a fingerprint are known to crash upstreams."""

    CLEAR = "clear"
    # Such requests run only exclusively.
    SUSPECT = "suspect"
    # Such requests are quarantined: they are refused.
    CONFIRMED = "confirmed"


@final
@dataclasses.dataclass(slots=True)
class _Suspect:
    crashes: int
    # Crash count at which the suspicion was last cleared. Peer reports up to this count are stale.
    cleared_crashes: int
    updated_at: float


@final
class CrashTable:
    """Suspected and confirmed fingerprints; safe to use from any thread.

    A fingerprint is confirmed if a suspected request crashes its upstream while running
    exclusively, or at its ``limit``-th suspected crash. The first crash makes it only a suspect,
    even if no other request was in flight: under low load that is true of most requests, and a
    planned restart would quarantine them. The clock of the table is set by ``advance``.
    """

    def __init__(self, limit: int) -> None:
        self._crash_limit = limit
        self._now = 0.0
        self._suspects: collections.OrderedDict[Fingerprint, _Suspect] = collections.OrderedDict()
        self._confirmed: collections.OrderedDict[Fingerprint, None] = collections.OrderedDict()
        self._unstored: set[Fingerprint] = set()
        self._lock = threading.Lock()
        self._on_change: Callable[[], None] | None = None

    def __len__(self) -> int:
        return len(self._suspects) + len(self._confirmed)

    def advance(self, now: float) -> None:
        """Set the clock of the table and remove expired suspicions."""
        with self._lock:
            self._now = max(self._now, now)
            while self._suspects:
                fingerprint, suspect = next(iter(self._suspects.items()))
                if suspect.updated_at + SUSPECT_TTL_S > self._now:
                    break
                del self._suspects[fingerprint]

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Register a callback for new reports; it may be called from any thread."""
        self._on_change = on_change

    def crash_status(self, fingerprint: Fingerprint) -> CrashStatus:
        """Return the status of a fingerprint."""
        with self._lock:
            if fingerprint in self._confirmed:
                return CrashStatus.CONFIRMED
            suspect = self._suspects.get(fingerprint)
            return (
                CrashStatus.SUSPECT
                if suspect is not None and suspect.crashes
                else CrashStatus.CLEAR
            )

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes that a fingerprint is suspected of."""
        with self._lock:
            return (
                self._crash_limit
                if fingerprint in self._confirmed
                else self._suspected_crashes(fingerprint)
            )

    def record_crash(
        self, fingerprints: Iterable[Fingerprint], was_exclusive: bool
    ) -> list[Fingerprint]:
        """Suspect all requests that were in flight at a crash; return those newly confirmed.

        ``was_exclusive`` means that the only request in flight was running exclusively.
        """
        confirmed = []
        with self._lock:
            for fingerprint in set(fingerprints):
                crashes = self._suspected_crashes(fingerprint) + 1
                if self._add_suspicion(fingerprint, crashes, was_exclusive):
                    confirmed.append(fingerprint)
        self._notify()
        return confirmed

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear the suspicion of a fingerprint that ran exclusively without a crash."""
        with self._lock:
            suspect = self._suspects.get(fingerprint)
            if suspect is None or not suspect.crashes:
                return
            self._suspects[fingerprint] = _Suspect(
                0, max(suspect.cleared_crashes, suspect.crashes), self._now
            )
            self._suspects.move_to_end(fingerprint)

    def confirm(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Add fingerprints whose confirmation was read from the platform's table."""
        with self._lock:
            for fingerprint in fingerprints:
                self._confirm(fingerprint)
                self._unstored.discard(fingerprint)

    def unstored(self) -> list[Fingerprint]:
        """Return locally confirmed fingerprints whose quarantine row is not known to be written."""
        with self._lock:
            return list(self._unstored)

    def mark_stored(self, fingerprint: Fingerprint) -> None:
        """Record that the quarantine row of a confirmed fingerprint was written."""
        with self._lock:
            self._unstored.discard(fingerprint)

    def reports(self) -> Sequence[CrashReport]:
        """Return the latest reports to send to peers.

        If there are more than ``MAX_REPORTS``, confirmations take up to half of the places, and
        either kind takes the places that the other one leaves free.
        """
        with self._lock:
            confirmed = [
                CrashReport(fingerprint, self._crash_limit, True)
                for fingerprint, _ in zip(
                    reversed(self._confirmed), range(MAX_REPORTS), strict=False
                )
            ]
            suspects: list[CrashReport] = []
            for fingerprint, suspect in reversed(self._suspects.items()):
                if len(suspects) == MAX_REPORTS:
                    break
                if suspect.crashes:
                    suspects.append(CrashReport(fingerprint, suspect.crashes, False))
        confirmed_limit = max(MAX_REPORTS // 2, MAX_REPORTS - len(suspects))
        selected = confirmed[:confirmed_limit]
        return selected + suspects[: MAX_REPORTS - len(selected)]

    def merge(self, reports: Sequence[CrashReport]) -> None:
        """Merge reports received from a peer or from an entry."""
        with self._lock:
            new_reports = [report for report in reports if self._merge(report)]
        if new_reports:
            self._notify()

    def _merge(self, report: CrashReport) -> bool:
        if report.fingerprint in self._confirmed:
            return False
        if report.quarantined:
            # The daemon that confirmed the fingerprint writes its quarantine row.
            self._confirm(report.fingerprint)
            return True
        suspect = self._suspects.get(report.fingerprint)
        known_crashes = max(suspect.crashes, suspect.cleared_crashes) if suspect is not None else 0
        if report.crashes <= known_crashes:
            return False
        self._add_suspicion(report.fingerprint, report.crashes, False)
        return True

    def _notify(self) -> None:
        if self._on_change is not None:
            self._on_change()

    def _suspected_crashes(self, fingerprint: Fingerprint) -> int:
        suspect = self._suspects.get(fingerprint)
        return suspect.crashes if suspect is not None else 0

    def _add_suspicion(self, fingerprint: Fingerprint, crashes: int, was_exclusive: bool) -> bool:
        if fingerprint in self._confirmed:
            return False
        if (was_exclusive and crashes > 1) or crashes >= self._crash_limit:
            self._confirm(fingerprint)
            self._unstored.add(fingerprint)
            return True
        suspect = self._suspects.get(fingerprint)
        cleared_crashes = suspect.cleared_crashes if suspect is not None else 0
        self._suspects[fingerprint] = _Suspect(crashes, cleared_crashes, self._now)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return False

    def _confirm(self, fingerprint: Fingerprint) -> None:
        self._suspects.pop(fingerprint, None)
        self._confirmed[fingerprint] = None
        if len(self._confirmed) > MAX_CONFIRMED:
            dropped, _ = self._confirmed.popitem(last=False)
            self._unstored.discard(dropped)
