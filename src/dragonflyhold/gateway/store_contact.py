"""What a process knows of its contact with the store, and since when; does no I/O.

An entry of the registry that disappears means that its upstream left, unless the store was away for
so long that the entry may have expired only for lack of renewal.
"""

import enum
from collections.abc import Callable
from typing import Any, final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.platform.store import FIRST_ERA, StorePosition

# Entries that expired during a store outage are registered again within about 2 s of its end.
RETURN_GRACE_S = 2.2
# An entry expires after three intervals without renewal. One of them may have passed before the
# outage began, and intervals may be a fifth longer than stated. Few entries expire in shorter
# outages; they are back with their next renewal.
EXPIRY_INTERVALS = 1.8
# Reserve before the time at which removals bind a process again, for dropping upstreams in turn.
BINDING_MARGIN_S = 0.35
# A call that failed after a longer time was held up by a pause of the process.
MAX_CALL_S = 1.0
# A call that is answered after a longer time was held up by the outage, which ended then; a slow
# store takes 0.24 s.
MAX_ANSWER_S = 0.3
# Entries are believed to be missing if a read shows it that began this long before the doubt ended.
# Meanwhile the registry is read more often than that.
LATE_READ_S = 0.5


class ContactState(enum.Enum):
    """State of the contact with the store."""

    # No read has succeeded yet.
    NEVER_READ = "never read"
    # The rows are those of the store, and what disappears was removed.
    CONFIRMED = "confirmed"
    # The last call failed.
    AWAY = "away"
    # Reads succeed again, but expired entries may be missing still.
    RETURNING = "returning"


class DoubtReason(enum.Enum):
    """Why entries may be missing whose owners are alive."""

    # The first call failed, so it is not known since when the store has been away.
    START = "start"
    OUTAGE = "outage"
    RESTORE = "restore"


@final
class StoreContact:
    """The contact of one watch with the store.

    An outage after which entries may be missing lasts for ``renewal_s`` times
    ``EXPIRY_INTERVALS`` at least, counted from the last read that succeeded before it. Outages
    that follow one another within the grace period count as one.

    From ``binding_s`` after the end of an outage, what the store removed binds this process as any
    other. The outage may have ended as early as the last failed call began, or the first call that
    was answered late, so the doubt ends before that time and ``binding_s`` are over, even if the
    return was noticed late.

    Entries expire while the store is away. What it removed after the first read since its return,
    it removed because the owner has left; that doesn't hold for a restored store, in which all
    entries are old.
    """

    def __init__(
        self,
        renewal_s: float,
        clock: Callable[[], float] = monotonic_now,
        binding_s: float = float("inf"),
    ) -> None:
        self._min_outage_s = EXPIRY_INTERVALS * renewal_s
        self._clock = clock
        self._max_doubt_s = binding_s - BINDING_MARGIN_S
        self._is_away = False
        # Start of the last call that succeeded.
        self._read_at: float | None = None
        # Start of the current or last outage, at the earliest.
        self._away_since = float("-inf")
        # Earliest end of the current or last outage.
        self._back_from = float("-inf")
        self._returned_at = float("-inf")
        self._returning_until = float("-inf")
        # Why the last doubt arose, ``None`` if there was none.
        self._reason: DoubtReason | None = None
        # Of the first read since the store is back.
        self._returned_with = StorePosition(FIRST_ERA, 0)

    @property
    def state(self) -> ContactState:
        """Return the state now."""
        if self._is_away:
            return ContactState.AWAY
        if self._read_at is None:
            return ContactState.NEVER_READ
        if self._clock() < self._returning_until:
            return ContactState.RETURNING
        return ContactState.CONFIRMED

    @property
    def is_settled(self) -> bool:
        """Whether the contact is confirmed, and a read has shown what came back in the doubt."""
        if self._read_at is None or self.state is not ContactState.CONFIRMED:
            return False
        return self._read_at >= self._returning_until - LATE_READ_S

    def note_failed(self, started_at: float) -> None:
        """Record a call that failed, with the time at which it began."""
        self._back_from = max(started_at, self._clock() - MAX_CALL_S)
        if self._is_away:
            return
        self._is_away = True
        if self._read_at is None:
            self._away_since = float("-inf")
        elif self._clock() - self._returned_at >= RETURN_GRACE_S:
            self._away_since = self._read_at

    def may_have_expired(self, removed_at: StorePosition) -> bool:
        """Return whether the owner of an entry that the store removed then may be alive."""
        match self.state:
            case ContactState.CONFIRMED:
                return False
            case ContactState.RETURNING if self._reason is not DoubtReason.RESTORE:
                return removed_at <= self._returned_with
            case _:
                return True

    def note_read(self, started_at: float, position: StorePosition) -> None:
        """Record a read that succeeded, with the time at which it began and what it covers."""
        now = self._clock()
        if self._is_away:
            self._is_away = False
            self._returned_at = now
            self._returned_with = position
            if now - started_at > MAX_ANSWER_S:
                self._back_from = max(self._back_from, started_at)
            if now - self._away_since >= self._min_outage_s:
                self._returning_until = min(
                    now + RETURN_GRACE_S, self._back_from + self._max_doubt_s
                )
                if self._away_since > float("-inf"):
                    self._reason = DoubtReason.OUTAGE
                elif self._reason is None:
                    self._reason = DoubtReason.START
        self._read_at = started_at

    def note_restored(self) -> None:
        """Record that the store was restored: it may have lost entries."""
        self._away_since = float("-inf")
        self._returned_at = self._clock()
        self._returning_until = self._returned_at + RETURN_GRACE_S
        self._reason = DoubtReason.RESTORE

    def describe(self) -> dict[str, Any]:
        """Return fields for the log: the state, why it holds and since when; ages in seconds."""
        now = self._clock()

        def age(at: float) -> float | None:
            return round(now - at, 3) if at > float("-inf") else None

        return {
            "contact": self.state.value,
            "reason": self._reason.value if self._reason is not None else None,
            "away_for_s": age(self._away_since),
            "returned_for_s": age(self._returned_at),
            "doubt_left_s": round(max(0.0, self._returning_until - now), 3),
        }
