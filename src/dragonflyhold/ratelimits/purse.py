"""A gateway's tokens of one account: a batch granted by an agent, and its own part without one."""

import dataclasses
from collections import deque
from collections.abc import Sequence
from typing import final

from dragonflyhold.ratelimits.allowance import Allowance, QuotaBounds
from dragonflyhold.ratelimits.ledger import Cause, Grant
from dragonflyhold.ratelimits.usage import Usage, UsageRow

# Time over which a gateway measures the demand for which it wants tokens ahead.
DEMAND_S = 1.0
# When the process of the agent that counts ends, the gateways share what was free of the limit, as
# far as it told them within this time. This share of the limit is left out: some was used since.
VIEW_HELD_S = 2.0
UNSEEN_SHARE = 0.25
# Share of the limit that gateways may have used since an agent told it: at once, and a second.
SEEN_MARGIN = 0.15
GROWTH_PER_S = 1.0
# Longest time for which a refusal by an agent holds for further requests.
REFUSAL_HELD_S = 0.1


@final
@dataclasses.dataclass(slots=True)
class _Batch:
    """Granted tokens that are not used yet."""

    tokens: int = 0
    asked_at: float = 0.0
    until: float = 0.0
    source: int = 0


@final
class Purse:
    """What one gateway may send and has sent of one account; times are monotonic."""

    def __init__(self, bounds: QuotaBounds, started_at: float) -> None:
        self._bounds = bounds
        self._started_at = started_at
        self._allowance = Allowance(0.0, 0.0)
        self._batch = _Batch()
        self._usage = Usage(bounds.held_s)
        # What was used without a grant, and what the agent that counts has not been told.
        self._reserve = Usage(bounds.held_s)
        self._untold: deque[UsageRow] = deque()
        self._demand = Usage(DEMAND_S)
        self._refusal: tuple[int, float, Grant] | None = None
        # Share of the limit that was free, when the agent that counts for all told it, and whether
        # that agent has ended since.
        self._free_share = 0.0
        self._free_at = -1e9
        self._has_ended = False
        self._seen_share = 1.0
        # Time since which no agent counts, ``None`` while one does.
        self._alone_since: float | None = None

    @property
    def is_settled(self) -> bool:
        """Whether no granted tokens are left, and the agent that counts has been told all."""
        return not self._batch.tokens and not self._untold

    @property
    def has_news(self) -> bool:
        """Whether the agent that counts has something to be told."""
        return bool(self._untold)

    @property
    def allowance(self) -> Allowance:
        """Return what all gateways may send."""
        return self._allowance

    def set_allowance(self, allowance: Allowance) -> None:
        """Set what all gateways may send."""
        if allowance != self._allowance:
            self._allowance = allowance
            self._refusal = None

    def note_counter(self, alone_since: float | None) -> None:
        """Note that another agent counts, or the time since which none does."""
        self._refusal = None
        self._alone_since = alone_since

    def note_counter_lost(self, was_silent: bool, now: float) -> None:
        """Note that the agent that counted is disconnected; a silent one may go on elsewhere."""
        age_s = now - self._free_at
        self._has_ended = not was_silent and age_s <= VIEW_HELD_S
        used_share = 1.0 - self._free_share + SEEN_MARGIN + GROWTH_PER_S * age_s
        self._seen_share = min(1.0, used_share)

    @property
    def seen_share(self) -> float | None:
        """Return the share of the limit that was used at most when the agent that counted ended."""
        return self._seen_share if self._has_ended else None

    def wanted(self, needed: int, now: float) -> int:
        """Count a request's tokens as demand, and return how many to ask for.

        None are wanted ahead that would not be enough for another such request.
        """
        self._demand.add(now, needed)
        ahead = int(self._demand.total(now) * self._bounds.lease_s / DEMAND_S / 2)
        return needed + ahead if ahead >= needed else needed

    @property
    def batch_source(self) -> int:
        """Return the agent that granted the tokens that are left."""
        return self._batch.source

    def take_batch(self, needed: int, now: float) -> bool:
        """Use tokens that were granted before, if there are enough."""
        self.end_lease(now)
        if self._batch.tokens < needed:
            return False
        self._batch.tokens -= needed
        self._usage.add(now, needed, self._batch.source)
        return True

    def refusal(self, needed: int, now: float) -> Grant | None:
        """Return the newest refusal by an agent if it holds for this request too."""
        if self._refusal is None:
            return None
        tokens, at, grant = self._refusal
        is_over = now >= at + min(grant.wait_s, REFUSAL_HELD_S)
        if is_over or needed < tokens:
            return None
        wait_s, return_s = max(0.0, at + grant.wait_s - now), max(0.0, at + grant.return_s - now)
        return Grant(0, wait_s, grant.cause, return_s)

    def apply(self, grant: Grant, needed: int, asked_at: float, source: int, now: float) -> bool:
        """Use what an agent granted; return whether the request may be sent."""
        self._has_ended = False
        self._free_share, self._free_at = 1.0 - grant.used_share, now
        if not grant.tokens:
            self._refusal = (needed, now, grant)
            return False
        until = asked_at + self._bounds.lease_s
        if now >= until or grant.tokens < needed:
            self._give_back(UsageRow(asked_at, grant.tokens, source))
            return False
        self._refusal = None
        self._usage.add(now, needed, source)
        left = grant.tokens - needed
        if left:
            self.end_lease(now)
            if self._batch.tokens:
                self._give_back(UsageRow(self._batch.asked_at, self._batch.tokens, source))
            self._batch = _Batch(left, asked_at, until, source)
        return True

    def give_back_late(self, grant: Grant, asked_at: float, source: int) -> None:
        """Give back tokens for which no request waits any more."""
        if grant.tokens:
            self._give_back(UsageRow(asked_at, grant.tokens, source))

    def take_alone(self, needed: int, now: float, gateways: int, cause: Cause = Cause.AWAY) -> bool:
        """Use tokens of this gateway's own part, without an agent.

        It is a part of the reserve and of what was free of the limit, and after a whole window
        without an agent also a part of the limit. A process that has just started doesn't know what
        the one before it used. ``cause`` is why no agent grants tokens: one that counts already
        grants what was free.
        """
        if now < self._started_at + self._bounds.held_s:
            return False
        has_free = self._has_ended and cause is Cause.AWAY
        free_share = max(0.0, self._free_share - UNSEEN_SHARE) if has_free else 0.0
        part = (self._allowance.reserve + free_share * self._allowance.granted) / gateways
        if self._reserve.total(now) + needed > part and not self._has_share(needed, now, gateways):
            return False
        self._reserve.add(now, needed)
        self.charge(needed, now)
        return True

    def _has_share(self, needed: int, now: float, gateways: int) -> bool:
        if self._alone_since is None or now < self._alone_since + self._bounds.held_s:
            return False
        return self._usage.total(now) + needed <= self._allowance.granted / gateways

    def charge(self, tokens: int, now: float) -> None:
        """Count tokens that were used without a grant."""
        self._usage.total(now)
        self._usage.add(now, tokens)
        # No agent may come for a long time, and none counts what left the window.
        while self._untold and self._untold[0].at <= now - self._bounds.held_s:
            self._untold.popleft()
        self._untold.append(UsageRow(now, tokens))

    def put_back(self, tokens: int, taken_at: float, now: float, source: int = 0) -> None:
        """Give back the tokens of a request that was sent nowhere.

        They leave the window together with what ``source`` granted, so that no agent that is told
        the window counts too little.
        """
        batch = self._batch
        self._usage.add(taken_at, -tokens, source)
        if now < batch.until and taken_at >= batch.asked_at:
            batch.tokens += tokens
        else:
            self._untold.append(UsageRow(taken_at, -tokens))

    def end_lease(self, now: float) -> int:
        """Give back granted tokens whose time has ended, and return their number."""
        if not self._batch.tokens or now < self._batch.until:
            return 0
        batch, self._batch = self._batch, _Batch()
        self._give_back(UsageRow(batch.asked_at, batch.tokens, batch.source))
        return batch.tokens

    def _give_back(self, row: UsageRow) -> None:
        self._untold.append(UsageRow(row.at, -row.tokens, row.source))

    def report(self, to: int, is_first: bool, now: float) -> Sequence[UsageRow]:
        """Return what an agent doesn't know, or all of the window for one that begins to count.

        ``to`` is the agent's epoch, 0 if it is not known.
        """
        untold, self._untold = self._untold, deque()
        self._usage.total(now)
        if is_first:
            rows = [UsageRow(row.at, row.tokens, row.source) for row in self._usage]
            if self._batch.tokens:
                rows.append(UsageRow(now, self._batch.tokens, self._batch.source))
        else:
            # Tokens go back only to the agent that granted them.
            rows = [
                UsageRow(row.at, row.tokens)
                for row in untold
                if row.tokens > 0 or row.source in (0, to)
            ]
        return rows
