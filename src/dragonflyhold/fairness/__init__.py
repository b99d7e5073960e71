"""Whose turn it is: shares of client accounts where there is too little room.

Pure decision code: no network, no tasks, and the caller passes in the time.
"""

from dragonflyhold.fairness.model import (
    ANONYMOUS,
    MAX_RANK,
    MAX_SHARES,
    OTHERS,
    AccountShare,
    AccountTag,
    Claim,
    account_tag,
    make_claim,
    summarize_claims,
)
from dragonflyhold.fairness.need import AccountNeed
from dragonflyhold.fairness.room import expected_wait_s, is_out_of_room, is_queue_too_long
from dragonflyhold.fairness.turns import TurnOrder

__all__ = [
    "ANONYMOUS",
    "MAX_RANK",
    "MAX_SHARES",
    "OTHERS",
    "AccountNeed",
    "AccountShare",
    "AccountTag",
    "Claim",
    "TurnOrder",
    "account_tag",
    "expected_wait_s",
    "is_out_of_room",
    "is_queue_too_long",
    "make_claim",
    "summarize_claims",
]
