"""Decides from table reads and contacts with peers whether a daemon may take new work.

A contact with a data centre at a time means: this daemon has installed at least the revision that
some daemon there had in force at that time. Contacts reported by peers keep this meaning, because
they are adopted only after the peer's own revision has been installed.
"""

import math
from collections.abc import Collection, Mapping
from typing import final

from dragonflyhold.ids import DataCentre
from dragonflyhold.timers.service import PAUSE_GAP_S

# Installing a known revision takes milliseconds; a daemon that cannot do it for this long is
# cut off from all who could send it.
BEHIND_GRACE_S = 1.0

_NEVER = -math.inf


@final
class FreshnessTracker:
    """Times of the last table read and contacts; not safe for use from several threads.

    A daemon stands for its own data centre only while it is *established*: it missed no change
    that was sent to its data centre. A start or a pause ends that. It is established again by a
    table read, by a contact with an established daemon of its own data centre, or by contacts with
    more than half of the data centres without its own. A paused daemon, which still has its
    memory, is also established ``stale_s`` after the pause if it had any contact since, so that a
    region recovers in which all daemons were paused while the table was out.
    """

    def __init__(self, data_centre: DataCentre, stale_s: float, started: float) -> None:
        self._own = data_centre
        self._stale_s = stale_s
        self._table_read = _NEVER
        self._contacts: dict[DataCentre, float] = {}
        self._established = False
        self._paused_until = _NEVER
        # Contacts and reads before this time say nothing about changes missed since.
        self._valid_from = started
        self._last_direct = _NEVER
        self._last_tick = _NEVER
        self._behind_since: float | None = None

    @property
    def is_established(self) -> bool:
        """Whether this daemon stands for its data centre."""
        return self._established

    def record_table_read(self, at: float) -> None:
        """Note that the revision the head row had at ``at`` is installed."""
        self._table_read = max(self._table_read, at)
        if at >= self._valid_from:
            self._established = True

    def record_contacts(
        self,
        sent: float,
        ages: Mapping[DataCentre, float],
        data_centres: Collection[DataCentre],
    ) -> None:
        """Note the contacts in a peer's reply to a request of time ``sent``.

        The ages were taken after ``sent``, so ``sent - age`` is never too late a time.
        """
        for data_centre, age in ages.items():
            at = sent - max(age, 0.0)
            if at > self._contacts.get(data_centre, _NEVER):
                self._contacts[data_centre] = at
        self._last_direct = max(self._last_direct, sent)
        if not self._established:
            self._establish(sent, data_centres)

    def record_pause(self, now: float) -> None:
        """Note that the process was paused until ``now``."""
        self._established = False
        self._valid_from = now
        self._paused_until = now
        self._last_tick = now

    def record_tick(self, now: float, data_centres: Collection[DataCentre]) -> None:
        """Note that the process runs."""
        if now - self._last_tick > PAUSE_GAP_S and self._last_tick != _NEVER:
            self.record_pause(now)
        self._last_tick = now
        if not self._established:
            self._establish(now, data_centres)

    def record_revisions(self, now: float, installed: int, highest_seen: int) -> None:
        """Note whether a revision is known that is not installed."""
        if installed >= highest_seen:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def is_fresh(self, now: float, data_centres: Collection[DataCentre]) -> bool:
        """Whether the daemon may take new work; ``data_centres`` are those of its region."""
        if not self._established or now - self._last_tick > PAUSE_GAP_S:
            return False
        if self._behind_since is not None and now - self._behind_since > BEHIND_GRACE_S:
            return False
        return now - self.current_at(now, data_centres) <= self._stale_s

    def current_at(self, now: float, data_centres: Collection[DataCentre]) -> float:
        """Return the latest time at which the installed revision was known to be current."""
        return max(self._table_read, self.majority_at(now, data_centres))

    def majority_at(self, now: float, data_centres: Collection[DataCentre]) -> float:
        """Return the time since which more than half of the data centres were in contact."""
        counted = {*data_centres}
        times = sorted((self._contact_at(name, now) for name in counted), reverse=True)
        return times[len(times) // 2] if times else now

    def has_majority(self, now: float, data_centres: Collection[DataCentre]) -> bool:
        """Whether more than half of the data centres were in contact within ``stale_s``."""
        return now - self.majority_at(now, data_centres) <= self._stale_s

    def ages(self, now: float) -> dict[DataCentre, float]:
        """Return the contact ages in seconds to report to peers."""
        ages = {
            name: max(now - at, 0.0)
            for name, at in self._contacts.items()
            if now - at <= self._stale_s and name != self._own
        }
        if self._established:
            ages[self._own] = 0.0
        return ages

    def contact_age(self, data_centre: DataCentre, now: float) -> float:
        """Return the age of the last contact through a peer, also for the own data centre."""
        return now - self._contacts.get(data_centre, _NEVER)

    def table_age(self, now: float) -> float:
        """Return the age of the last table read in seconds."""
        return now - self._table_read

    def _contact_at(self, data_centre: DataCentre, now: float) -> float:
        if data_centre == self._own and self._established:
            return now
        return self._contacts.get(data_centre, _NEVER)

    def _establish(self, now: float, data_centres: Collection[DataCentre]) -> None:
        if self._contacts.get(self._own, _NEVER) >= self._valid_from:
            self._established = True
        counted = {*data_centres, self._own}
        others = sum(
            self._contacts.get(name, _NEVER) >= max(self._valid_from, now - self._stale_s)
            for name in counted - {self._own}
        )
        if others > len(counted) // 2:
            self._established = True
        awake_s = now - self._paused_until
        if self._stale_s <= awake_s < math.inf and self._last_direct >= self._valid_from:
            self._established = True
