"""Data model of the claims that client accounts have on adapter slots."""

import dataclasses
import functools
from collections.abc import Callable, Iterable
from typing import NamedTuple, NewType, final

from dragonflyhold.accounts import AccountName, Anonymous, Caller, ClientAccount, Unidentified
from dragonflyhold.hashing import hash64

# 32-bit hash of an account's name, which is the same in every process.
AccountTag = NewType("AccountTag", int)
# All accounts of a demand beyond ``MAX_SHARES``, and the callers without a key.
OTHERS = AccountTag(0)
ANONYMOUS = AccountTag(1)
_FIRST_TAG = 2
_TAGS = 2**32 - _FIRST_TAG
# Accounts that a demand names at most.
MAX_SHARES = 4
# Ranks beyond this one, 0 is the first, are no different from it.
MAX_RANK = 9
_MAX_CACHED_TAGS = 16384


@functools.lru_cache(maxsize=_MAX_CACHED_TAGS)
def account_tag(name: AccountName) -> AccountTag:
    """Return the tag of an account."""
    return AccountTag(_FIRST_TAG + hash64(name.encode()) % _TAGS)


class Claim(NamedTuple):
    """For whom a request asks for an adapter slot; rank 0 is the most urgent."""

    account: AccountTag
    rank: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AccountShare:
    """The part of a demand that one account has at one rank."""

    claim: Claim
    # Total utility of its waiting requests.
    utility: float
    # The account's share of the usual work of the gateway that reports it, 0 to 1.
    need: float


def make_claim(caller: Caller, route_priority: int) -> Claim | None:
    """Return the claim of a caller's request; ``None`` under a configuration without accounts.

    The priority of an account goes before that of the route.
    """
    match caller:
        case ClientAccount(name, priority):
            rank = route_priority if priority is None else priority
            return Claim(account_tag(name), min(max(rank, 0), MAX_RANK))
        case Anonymous():
            return Claim(ANONYMOUS, min(max(route_priority, 0), MAX_RANK))
        case Unidentified():
            return None


def summarize_claims(
    claims: Iterable[tuple[Claim, float]], need: Callable[[AccountTag], float]
) -> tuple[AccountShare, ...]:
    """Return the shares of claims with their utilities, the largest first.

    Those beyond ``MAX_SHARES`` are added up as ``OTHERS``, at their most urgent rank.
    """
    utilities: dict[Claim, float] = {}
    for claim, utility in claims:
        utilities[claim] = utilities.get(claim, 0.0) + utility
    ordered = sorted(utilities, key=lambda claim: (-utilities[claim], claim.rank, claim.account))
    named, rest = ordered[:MAX_SHARES], ordered[MAX_SHARES:]
    shares = [AccountShare(claim, utilities[claim], need(claim.account)) for claim in named]
    if rest:
        rank = min(claim.rank for claim in rest)
        total = sum(utilities[claim] for claim in rest)
        others_need = sum(need(account) for account in {claim.account for claim in rest})
        shares.append(AccountShare(Claim(OTHERS, rank), total, min(1.0, others_need)))
    return tuple(shares)
