"""Decides from table reads and contacts with peers whether a daemon may accept new requests.

A contact with a data centre at time t means that this daemon has installed at least the revision
that some daemon there had in force at t. This also holds for contacts reported by peers, because
they are adopted only after the peer's own revision has been installed.
"""

import math
from collections.abc import Collection, Mapping
from typing import final

from dragonflyhold.ids import DataCentre
from dragonflyhold.timers.service import PAUSE_GAP_S

# Installing a known revision takes milliseconds; a daemon that fails to for this long cannot reach
# any source of it.
BEHIND_GRACE_S = 1.0

_NEVER = -math.inf


@final
class FreshnessTracker:
    """Times of the last table read and of the last contact per data centre; not thread-safe.

    A daemon counts as a contact with its own data centre only while it is *established*, which
    means that it has missed no change sent to its data centre. A start or a pause ends this state.
    It is restored by a table read, by a contact with an established daemon in its own data centre,
    or by contacts with other data centres that are a majority without its own. After a pause, in
    which it keeps its memory, a daemon is also established once ``stale_s`` have passed and it has
    had any contact since. Thus a region recovers from a pause of all its daemons during a table
    outage.
    """

    def __init__(self, data_centre: DataCentre, stale_s: float, started_at: float) -> None:
        self._own_data_centre = data_centre
        self._stale_s = stale_s
        self._table_read_at = _NEVER
        self._contacts: dict[DataCentre, float] = {}
        self._established = False
        self._paused_until = _NEVER
        # Contacts and table reads before this time do not show whether changes were missed since.
        self._valid_from = started_at
        self._last_reply_at = _NEVER
        self._last_tick_at = _NEVER
        self._behind_since: float | None = None

    @property
    def is_established(self) -> bool:
        """Whether this daemon counts as a contact with its own data centre."""
        return self._established

    def record_table_read(self, at: float) -> None:
        """Record that the revision in the head row at time ``at`` is installed."""
        self._table_read_at = max(self._table_read_at, at)
        if at >= self._valid_from:
            self._established = True

    def record_contacts(
        self,
        sent_at: float,
        ages: Mapping[DataCentre, float],
        data_centres: Collection[DataCentre],
    ) -> None:
        """Record the contacts in a peer's reply to a request sent at ``sent_at``.

        The peer computed the ages after ``sent_at``, so ``sent_at - age`` is never later than the
        actual time of the contact.
        """
        for data_centre, age in ages.items():
            at = sent_at - max(age, 0.0)
            if at > self._contacts.get(data_centre, _NEVER):
                self._contacts[data_centre] = at
        self._last_reply_at = max(self._last_reply_at, sent_at)
        if not self._established:
            self._update_established(sent_at, data_centres)

    def record_pause(self, now: float) -> None:
        """Record that the process was paused until ``now``."""
        self._established = False
        self._valid_from = now
        self._paused_until = now
        self._last_tick_at = now

    def record_tick(self, now: float, data_centres: Collection[DataCentre]) -> None:
        """Record that the process is running."""
        if now - self._last_tick_at > PAUSE_GAP_S and self._last_tick_at != _NEVER:
            self.record_pause(now)
        self._last_tick_at = now
        if not self._established:
            self._update_established(now, data_centres)

    def record_revisions(self, now: float, installed: int, highest_seen: int) -> None:
        """Record whether a revision is known that is not installed."""
        if installed >= highest_seen:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def is_fresh(self, now: float, data_centres: Collection[DataCentre]) -> bool:
        """Return whether the daemon may accept requests; ``data_centres`` are its region's."""
        if not self._established or now - self._last_tick_at > PAUSE_GAP_S:
            return False
        if self._behind_since is not None and now - self._behind_since > BEHIND_GRACE_S:
            return False
        return now - self.current_at(now, data_centres) <= self._stale_s

    def current_at(self, now: float, data_centres: Collection[DataCentre]) -> float:
        """Return the latest time at which the installed revision was known to be current."""
        return max(self._table_read_at, self.majority_at(now, data_centres))

    def majority_at(self, now: float, data_centres: Collection[DataCentre]) -> float:
        """Return the latest time since which more than half of the data centres had contact."""
        counted = {*data_centres}
        times = sorted((self._contact_at(name, now) for name in counted), reverse=True)
        return times[len(times) // 2] if times else now

    def has_majority(self, now: float, data_centres: Collection[DataCentre]) -> bool:
        """Return whether more than half of the data centres had contact within ``stale_s``."""
        return now - self.majority_at(now, data_centres) <= self._stale_s

    def ages(self, now: float) -> dict[DataCentre, float]:
        """Return the ages in seconds of the contacts to report to peers."""
        ages = {
            name: max(now - at, 0.0)
            for name, at in self._contacts.items()
            if now - at <= self._stale_s and name != self._own_data_centre
        }
        if self._established:
            ages[self._own_data_centre] = 0.0
        return ages

    def contact_age_s(self, data_centre: DataCentre, now: float) -> float:
        """Return the seconds since the last contact, made here or reported by a peer.

        The own data centre is treated like any other one.
        """
        return now - self._contacts.get(data_centre, _NEVER)

    def table_age_s(self, now: float) -> float:
        """Return the seconds since the last table read."""
        return now - self._table_read_at

    def _contact_at(self, data_centre: DataCentre, now: float) -> float:
        if data_centre == self._own_data_centre and self._established:
            return now
        return self._contacts.get(data_centre, _NEVER)

    def _update_established(self, now: float, data_centres: Collection[DataCentre]) -> None:
        if self._contacts.get(self._own_data_centre, _NEVER) >= self._valid_from:
            self._established = True
        counted = {*data_centres, self._own_data_centre}
        other_contacts = sum(
            self._contacts.get(name, _NEVER) >= max(self._valid_from, now - self._stale_s)
            for name in counted - {self._own_data_centre}
        )
        if other_contacts > len(counted) // 2:
            self._established = True
        since_pause_s = now - self._paused_until
        if self._stale_s <= since_pause_s < math.inf and self._last_reply_at >= self._valid_from:
            self._established = True
