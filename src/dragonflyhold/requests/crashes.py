"""What daemons know about requests that crash their upstreams."""

import collections
import dataclasses
import enum
import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, final

from dragonflyhold.ids import Fingerprint

# Reports in one exchange with a peer; the next exchange a second later carries newer ones.
MAX_REPORTS = 32
# A suspicion that no crash renewed is dropped.
SUSPECT_TTL_S = 600.0
# Upper bounds on the rows, the oldest are dropped first. A crash makes a batch of suspects.
MAX_SUSPECTS = 4096
MAX_CONFIRMED = 32_768


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes that a request fingerprint is suspected of, or was confirmed to cause."""

    fingerprint: Fingerprint
    crashes: int
    quarantined: bool


class CrashExchange(Protocol):
    """Reports that are spread with the configuration exchange; safe from any thread."""

    def reports(self) -> Sequence[CrashReport]:
        """Return the latest reports to pass on, at most 32."""

    def merge(self, reports: Sequence[CrashReport]) -> None:
        """Learn reports of a peer."""

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change``, from any thread, when there is something new to pass on."""


class CrashStatus(enum.Enum):
    """How a fingerprint may run."""

    CLEAR = "clear"
    # Only with nothing beside it.
    SUSPECT = "suspect"
    # Not at all.
    CONFIRMED = "confirmed"


@final
@dataclasses.dataclass(slots=True)
class _Suspect:
    crashes: int
    # Reports of peers up to this count are older than the clearing of the suspicion.
    cleared: int
    since: float


@final
class CrashTable:
    """Suspected and confirmed fingerprints; safe to use from any thread.

    A fingerprint is confirmed when it was suspected, ran alone and crashed its upstream again, or
    at its ``limit``-th suspected crash. A first crash only makes it a suspect, even with nothing
    beside it: at night most requests are alone, and a planned restart would condemn them. Time is
    learnt from ``advance``.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._now = 0.0
        self._suspects: collections.OrderedDict[Fingerprint, _Suspect] = collections.OrderedDict()
        self._confirmed: collections.OrderedDict[Fingerprint, None] = collections.OrderedDict()
        self._unstored: set[Fingerprint] = set()
        self._lock = threading.Lock()
        self._on_news: Callable[[], None] | None = None

    def __len__(self) -> int:
        return len(self._suspects) + len(self._confirmed)

    def advance(self, now: float) -> None:
        """Set the time and drop suspicions that are too old."""
        with self._lock:
            self._now = max(self._now, now)
            while self._suspects:
                fingerprint, row = next(iter(self._suspects.items()))
                if row.since + SUSPECT_TTL_S > self._now:
                    break
                del self._suspects[fingerprint]

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change``, from any thread, when there is something new to pass on."""
        self._on_news = on_change

    def crash_status(self, fingerprint: Fingerprint) -> CrashStatus:
        """Return how a fingerprint may run."""
        with self._lock:
            if fingerprint in self._confirmed:
                return CrashStatus.CONFIRMED
            row = self._suspects.get(fingerprint)
            return CrashStatus.SUSPECT if row is not None and row.crashes else CrashStatus.CLEAR

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return the crashes that a fingerprint is suspected of."""
        with self._lock:
            return self._limit if fingerprint in self._confirmed else self._crashes(fingerprint)

    def record_crash(self, fingerprints: Iterable[Fingerprint], alone: bool) -> list[Fingerprint]:
        """Suspect all that were in flight at a crash; return those that are now confirmed.

        ``alone``: the only one of them had nothing beside it.
        """
        confirmed = []
        with self._lock:
            for fingerprint in set(fingerprints):
                crashes = self._crashes(fingerprint) + 1
                if self._suspect(fingerprint, crashes, alone):
                    confirmed.append(fingerprint)
        self._tell_news()
        return confirmed

    def clear(self, fingerprint: Fingerprint) -> None:
        """End the suspicion of a fingerprint that ran alone to its end."""
        with self._lock:
            row = self._suspects.get(fingerprint)
            if row is None or not row.crashes:
                return
            self._suspects[fingerprint] = _Suspect(0, max(row.cleared, row.crashes), self._now)
            self._suspects.move_to_end(fingerprint)

    def confirm(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Learn fingerprints whose confirmation is stored in the table."""
        with self._lock:
            for fingerprint in fingerprints:
                self._confirm(fingerprint)
                self._unstored.discard(fingerprint)

    def unstored(self) -> list[Fingerprint]:
        """Return fingerprints confirmed here whose row is not known to be written."""
        with self._lock:
            return list(self._unstored)

    def mark_stored(self, fingerprint: Fingerprint) -> None:
        """Record that the row of a confirmed fingerprint is written."""
        with self._lock:
            self._unstored.discard(fingerprint)

    def reports(self) -> Sequence[CrashReport]:
        """Return the latest reports to pass on, half of them confirmations if there are many."""
        with self._lock:
            confirmed = [
                CrashReport(fingerprint, self._limit, True)
                for fingerprint, _ in zip(
                    reversed(self._confirmed), range(MAX_REPORTS), strict=False
                )
            ]
            suspects: list[CrashReport] = []
            for fingerprint, row in reversed(self._suspects.items()):
                if len(suspects) == MAX_REPORTS:
                    break
                if row.crashes:
                    suspects.append(CrashReport(fingerprint, row.crashes, False))
        room = max(MAX_REPORTS // 2, MAX_REPORTS - len(suspects))
        chosen = confirmed[:room]
        return chosen + suspects[: MAX_REPORTS - len(chosen)]

    def merge(self, reports: Sequence[CrashReport]) -> None:
        """Learn reports of a peer or of an entry."""
        with self._lock:
            news = [report for report in reports if self._merge(report)]
        if news:
            self._tell_news()

    def _merge(self, report: CrashReport) -> bool:
        if report.fingerprint in self._confirmed:
            return False
        if report.quarantined:
            # The daemon that confirmed it writes the row.
            self._confirm(report.fingerprint)
            return True
        row = self._suspects.get(report.fingerprint)
        known = max(row.crashes, row.cleared) if row is not None else 0
        if report.crashes <= known:
            return False
        self._suspect(report.fingerprint, report.crashes, False)
        return True

    def _tell_news(self) -> None:
        if self._on_news is not None:
            self._on_news()

    def _crashes(self, fingerprint: Fingerprint) -> int:
        row = self._suspects.get(fingerprint)
        return row.crashes if row is not None else 0

    def _suspect(self, fingerprint: Fingerprint, crashes: int, alone: bool) -> bool:
        if fingerprint in self._confirmed:
            return False
        if (alone and crashes > 1) or crashes >= self._limit:
            self._confirm(fingerprint)
            self._unstored.add(fingerprint)
            return True
        row = self._suspects.get(fingerprint)
        cleared = row.cleared if row is not None else 0
        self._suspects[fingerprint] = _Suspect(crashes, cleared, self._now)
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
