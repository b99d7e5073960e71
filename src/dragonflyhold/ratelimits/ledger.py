"""An agent's count of one account's tokens: grants them to gateways within the limit."""

import dataclasses
import enum
import math
from collections.abc import Hashable, Sequence
from typing import Generic, TypeVar, final

from dragonflyhold.ratelimits.usage import Usage, UsageRow

G = TypeVar("G", bound=Hashable)

# Time for which refused requests are expected to come back.
RETURN_S = 1.0
# Tokens beyond those that a gateway needs at once are granted while this share of the limit is
# free, and at most this share of what is free.
AMPLE_SHARE = 0.25
BATCH_SHARE = 0.1


class Cause(enum.Enum):
    """Why tokens were granted or refused, and by whom; values appear in metrics and logs."""

    # The agent that counts for all gateways.
    LIMIT = "limit"
    # An agent that counts for some gateways only, and grants no more than their share.
    SHARE = "share"
    # An agent that doesn't know yet what was sent before it began to count.
    UNKNOWN = "unknown"
    # This gateway alone: from tokens granted before, or from its own part while no agent replies.
    BATCH = "batch"
    AWAY = "away"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens that a gateway may use; without any, times in seconds until there is room."""

    tokens: int
    # For this request alone.
    wait_s: float
    cause: Cause
    # For this request after those that were refused lately.
    return_s: float = 0.0
    # Share of the limit that all gateways have used at most.
    used_share: float = 1.0


@final
class AccountLedger(Generic[G]):
    """Tokens of one account that one agent has granted, and what gateways have told of others.

    An agent knows all that was sent once each gateway counts here and has told what it used. What
    it doesn't know counts as sent just before the gateway came. An agent at which only some
    gateways count grants their share of the limit.
    """

    def __init__(self, held_s: float, epoch: int = 0) -> None:
        self._epoch = epoch
        self._usage = Usage(held_s)
        # Shares of the limit that gateways may have used elsewhere before they came.
        self._unknown = Usage(held_s)
        # Granted tokens that gateways told when they came; not unknown any more.
        self._found = Usage(held_s)
        # Share of the limit that was used at most before, as far as gateways saw it.
        self._seen_share = 1.0
        self._refused = Usage(RETURN_S)
        self._held_s = held_s
        # Gateways that count here, each with the time from which on its reports are complete.
        self._members: dict[G, float] = {}
        self._is_known = False
        self._version = -1
        self._allowed = 0.0
        self._burst = math.inf

    @property
    def is_known(self) -> bool:
        """Whether the agent knows all that was sent in the window."""
        return self._is_known

    def set_limit(self, version: int, allowed: float, burst: float = math.inf) -> None:
        """Set the tokens allowed in the held time, as of a version of the configuration.

        At most ``burst`` of them are granted at once, the others at an even rate.
        """
        if version >= self._version:
            self._version, self._allowed, self._burst = version, allowed, burst

    def join(
        self,
        gateway: G,
        age_s: float,
        now: float,
        gateways: int,
        rows: Sequence[UsageRow] = (),
        seen_share: float | None = None,
    ) -> None:
        """Count for a gateway, whose process knows what it used for ``age_s``.

        ``rows`` is all that it used. ``seen_share`` is the share of the limit that all gateways may
        have used, by what it saw before the agent that counted ended.
        """
        self.note_used(rows)
        if gateway not in self._members:
            self._members[gateway] = now - age_s + self._held_s
            if not self._is_known:
                self._unknown.add(now, 1 / max(1, gateways))
                for row in rows:
                    if row.source:
                        self._found.add(row.at, row.tokens)
                if seen_share is not None:
                    self._seen_share = min(self._seen_share, seen_share)
        self.refresh(now, gateways)

    def leave(self, gateway: G) -> None:
        """Count no longer for a gateway; what it used still counts."""
        self._members.pop(gateway, None)
        if not self._members:
            self._is_known = False
            self._forget_unknown()

    def counts_for(self, gateway: G) -> bool:
        """Return whether a gateway counts here, so that it tells what it uses by itself."""
        return gateway in self._members

    def note_used(self, rows: Sequence[UsageRow]) -> None:
        """Add what a gateway used that others granted, or give back what it has left."""
        for row in rows:
            if row.source != self._epoch or not self._epoch:
                self._usage.add(row.at, row.tokens)

    def refresh(self, now: float, gateways: int) -> None:
        """Note whether all that was sent is known by now."""
        if not self._is_known and self.is_whole(gateways):
            self._is_known = all(now >= complete for complete in self._members.values())
            if self._is_known:
                self._forget_unknown()

    def _forget_unknown(self) -> None:
        self._unknown.clear()
        self._found.clear()
        self._seen_share = 1.0

    def _unknown_tokens(self, now: float) -> float:
        """Return the tokens that others may have granted unknown to this agent.

        They were granted at the pace too, so what is left of them in the window gets less evenly.
        """
        if self._unknown.total(now) <= 0:
            return 0.0
        burst = min(self._burst, self._allowed)
        rate_per_s = (self._allowed - burst) / self._held_s
        most = sum(
            row.tokens * (burst + rate_per_s * (self._held_s - (now - row.at)))
            for row in self._unknown
        )
        most = min(most, self._allowed * self._seen_share)
        return max(0.0, most - self._found.total(now))

    def is_whole(self, gateways: int) -> bool:
        """Return whether all gateways count here."""
        return len(self._members) >= gateways

    def has_room(self, needed: int, now: float, gateways: int) -> bool:
        """Return whether a request's tokens would be granted."""
        used = self._usage.total(now) + self._unknown_tokens(now)
        if needed > self._capacity(gateways) - used:
            return False
        return self._paced_needs(needed, gateways) <= self._paced_room(now, gateways)

    def _capacity(self, gateways: int) -> float:
        return self._allowed * self._share(gateways)

    def _share(self, gateways: int) -> float:
        return min(1.0, len(self._members) / max(1, gateways))

    def _rate_per_s(self, gateways: int) -> float:
        return self._share(gateways) * max(0.0, self._allowed - self._burst) / self._held_s

    def _paced_needs(self, needed: int, gateways: int) -> float:
        """Return the room at which the pace allows a request; a large one takes all of a burst."""
        return min(needed, self._burst * self._share(gateways))

    def _paced_room(self, now: float, gateways: int) -> float:
        if self._burst >= self._allowed:
            return math.inf
        burst = self._burst * self._share(gateways)
        return self._usage.paced_room(burst, self._rate_per_s(gateways), now)

    def take(self, needed: int, wanted: int, now: float, gateways: int) -> Grant:
        """Grant the tokens that a gateway needs at once, and more of those that it wants."""
        self.refresh(now, gateways)
        is_whole, allowed = self.is_whole(gateways), self._capacity(gateways)
        unknown, used = self._unknown_tokens(now), self._usage.total(now)
        paced, room = self._paced_room(now, gateways), allowed - used - unknown
        paced_needs = self._paced_needs(needed, gateways)
        cause = Cause.UNKNOWN if unknown > 0 else Cause.LIMIT if is_whole else Cause.SHARE
        if needed > room or paced_needs > paced:
            pace_s = max(0.0, paced_needs - paced) / max(1.0, self._rate_per_s(gateways))
            return self._refuse(needed, needed - room, cause, now, pace_s)
        room = min(room, paced)
        tokens = needed
        at_once = min(self._burst, self._allowed) * self._share(gateways)
        if room > AMPLE_SHARE * at_once and wanted > needed:
            tokens += max(0, int(min(wanted - needed, BATCH_SHARE * (room - needed))))
        self._usage.add(now, tokens)
        # What gateways that count elsewhere use is not known.
        most = used + unknown + tokens if is_whole else self._allowed
        return Grant(tokens, 0.0, cause, used_share=min(1.0, most / max(1.0, self._allowed)))

    def _refuse(self, needed: int, excess: float, cause: Cause, now: float, pace_s: float) -> Grant:
        """Return when there is room for a request that lacks ``excess`` tokens in the window.

        ``pace_s`` is the time after which the pace allows it.
        """
        room_at = max(self._usage.room_at(excess, now), now + pace_s)
        refused = self._refused.total(now)
        return_at = self._usage.room_at(excess + refused, now)
        if pace_s:
            rate = max(1.0, self._rate_per_s(len(self._members)))
            return_at = max(return_at, now + pace_s + refused / rate)
        if cause is Cause.UNKNOWN:
            known_at = self._unknown.room_at(self._unknown.total(now), now)
            room_at, return_at = min(room_at, known_at), min(return_at, known_at)
        self._refused.add(now, needed)
        return Grant(0, room_at - now, cause, return_at - now)
