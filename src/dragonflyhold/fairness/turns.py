"""The order of accounts that wait for the adapter slots of one engine.

Start-time fair queueing over accounts (Goyal, Vin and Cheng, 1996), weighted by what each account
usually needs. An account's virtual time advances with the slot time that it gets, divided by its
weight; the order by utility stays in force between accounts whose virtual times are close, and is
bounded by how far one is ahead.
"""

import dataclasses
from collections.abc import Mapping
from typing import Generic, TypeVar, final

from dragonflyhold.fairness.model import AccountShare, AccountTag, Claim

Key = TypeVar("Key")

# Lead over the account that is furthest behind, in seconds of the engine's slots: up to the first
# one nothing changes; each further ``HALVING_S`` halves the utility of an account's requests.
FREE_LEAD_S = 0.2
HALVING_S = 0.2
# Lead beyond which more service doesn't count, so that an account is soon served again.
MAX_LEAD_S = 10.0
# Time by which an account that was idle may be behind all others.
MAX_CREDIT_S = 1.0
# Least factor on the utility of an account's requests.
MIN_FACTOR = 1 / 16
# Factor on utility and weight for each rank below the most urgent one that waits, and its least
# value: nobody may be served less than a quarter as often as all, for whatever rank.
RANK_RATIO = 0.6
MIN_RANK_FACTOR = 0.4
# Weight of the latest report in an account's need.
NEED_WEIGHT = 0.05
# Least weight of an account relative to an equal share of all.
MIN_NEED_RATIO = 0.5
# Time of the engine's slots after which an account that got none of it is forgotten.
MAX_IDLE_S = 60.0
# Accounts beyond this number are forgotten, those that are least ahead first.
MAX_ACCOUNTS = 1024


@final
@dataclasses.dataclass(slots=True)
class _Account:
    # Virtual time up to which the account was served, in seconds of the engine's slots.
    served_until: float
    need: float


@final
class TurnOrder(Generic[Key]):
    """Virtual times of the accounts at one engine; keys are its adapters."""

    def __init__(self) -> None:
        self._accounts: dict[AccountTag, _Account] = {}
        # Virtual time of the account furthest behind of those that waited last.
        self._virtual_time = 0.0
        self._checked_at = 0.0
        # Most urgent rank of those that waited last.
        self._first_rank = 0
        self._factors: dict[Claim, float] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def note_need(self, share: AccountShare) -> None:
        """Learn an account's need from a gateway's report."""
        known = self._accounts.get(share.claim.account)
        if known is None:
            self._known(share.claim.account).need = share.need
        else:
            known.need += NEED_WEIGHT * (share.need - known.need)

    def lead_s(self, account: AccountTag) -> float:
        """Return how far an account is ahead of the one furthest behind, in seconds."""
        known = self._accounts.get(account)
        return known.served_until - self._virtual_time if known is not None else 0.0

    def factor(self, claim: Claim) -> float:
        """Return the factor on the utility of a claim as of the last order, 1 without one."""
        return self._factors.get(claim, 1.0)

    def weigh(
        self, claims: Mapping[Key, Mapping[Claim, float]], utilities: Mapping[Key, float]
    ) -> dict[Key, float]:
        """Return the utilities by which demands are ordered; empty if only one account waits.

        ``claims`` holds the waiting utility by adapter and claim, ``utilities`` the total utility
        by adapter, which may include requests without a claim.
        """
        asking = {claim for by_claim in claims.values() for claim in by_claim}
        waiting = {claim.account for claim in asking}
        self._advance(waiting)
        self._factors = {}
        if len(waiting) < 2:
            return {}
        self._first_rank = min(claim.rank for claim in asking)
        factors = {claim: self._factor(claim) for claim in asking}
        weighed = {}
        for key, by_claim in claims.items():
            lost = sum(utility * (1.0 - factors[claim]) for claim, utility in by_claim.items())
            weighed[key] = max(0.0, utilities.get(key, 0.0) - lost)
        self._factors = factors
        return weighed

    def charge(self, by_claim: Mapping[Claim, float], slot_share_s: float) -> None:
        """Charge the accounts that wait for an adapter with its load, by their utilities.

        ``slot_share_s`` is the slot time of the load divided by the engine's adapter slots.
        """
        total = sum(by_claim.values())
        if total <= 0.0:
            return
        for claim, utility in by_claim.items():
            account = self._accounts.get(claim.account)
            if account is None:
                continue
            start = max(account.served_until, self._virtual_time - MAX_CREDIT_S)
            weight = self._weight(account) * self._rank_factor(claim)
            end = start + slot_share_s * utility / total / weight
            account.served_until = min(end, self._virtual_time + MAX_LEAD_S)

    def _advance(self, waiting: set[AccountTag]) -> None:
        """Advance the virtual time to the account that is furthest behind of those that wait."""
        known = [self._known(account) for account in waiting]
        for account in known:
            # Time without demand is no credit beyond a short while.
            account.served_until = max(account.served_until, self._virtual_time - MAX_CREDIT_S)
        if known:
            behind = min(account.served_until for account in known)
            self._virtual_time = max(self._virtual_time, behind)
        if self._virtual_time - self._checked_at > MAX_IDLE_S:
            self._checked_at = self._virtual_time
            self._forget_idle()

    def _known(self, account: AccountTag) -> _Account:
        """Return the state of an account; one that is new or was forgotten starts level."""
        known = self._accounts.get(account)
        if known is None:
            self._make_room()
            known = self._accounts[account] = _Account(self._virtual_time, 0.0)
        return known

    def _forget_idle(self) -> None:
        """Forget accounts that don't ask here any more; the others' least weight rests on them."""
        for account, known in list(self._accounts.items()):
            if known.served_until < self._virtual_time - MAX_IDLE_S:
                del self._accounts[account]

    def _factor(self, claim: Claim) -> float:
        lead_s = max(0.0, self.lead_s(claim.account) - FREE_LEAD_S)
        by_turn = max(MIN_FACTOR, 0.5 ** (lead_s / HALVING_S))
        return float(by_turn * self._rank_factor(claim))

    def _rank_factor(self, claim: Claim) -> float:
        return float(max(MIN_RANK_FACTOR, RANK_RATIO ** max(0, claim.rank - self._first_rank)))

    def _weight(self, account: _Account) -> float:
        return max(account.need, MIN_NEED_RATIO / len(self._accounts))

    def _make_room(self) -> None:
        if len(self._accounts) < MAX_ACCOUNTS:
            return
        kept = sorted(self._accounts.items(), key=lambda item: -item[1].served_until)
        self._accounts = dict(kept[: MAX_ACCOUNTS * 3 // 4])
