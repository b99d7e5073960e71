"""Token limits of client accounts over all gateways; pure code, with the time passed in."""

from dragonflyhold.ratelimits.allowance import Allowance, QuotaBounds, count_tokens
from dragonflyhold.ratelimits.ledger import AccountLedger, Cause, Grant
from dragonflyhold.ratelimits.purse import Purse
from dragonflyhold.ratelimits.usage import Usage, UsageRow

__all__ = [
    "AccountLedger",
    "Allowance",
    "Cause",
    "Grant",
    "Purse",
    "QuotaBounds",
    "Usage",
    "UsageRow",
    "count_tokens",
]
