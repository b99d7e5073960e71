"""How many tokens of an account may be sent, and how they divide between agents and gateways."""

import dataclasses
import math
from typing import final

from dragonflyhold.accounts import TokenLimit

# A gateway may use granted tokens for this share of the window.
LEASE_SHARE = 1 / 32
# Share of the tolerance that gateways may use without any agent's knowledge.
RESERVE_SHARE = 0.6
# Smallest reserve, as a share of all that may be sent.
MIN_RESERVE_SHARE = 0.04
# Time at the usual rate that may be sent at once at least.
MIN_BURST_S = 1.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Window of the limits of accounts, and what is tolerated beyond them."""

    window_s: float = 8.0
    # Share of the limit, and tokens, by which it may be exceeded in a window.
    overage: float = 0.0
    slack: float = 0.0

    @property
    def lease_s(self) -> float:
        """Return the time for which a gateway may use granted tokens."""
        return self.window_s * LEASE_SHARE

    @property
    def held_s(self) -> float:
        """Return the time for which granted tokens count."""
        return self.window_s + self.lease_s


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Tokens of one account over all gateways in any ``held_s``."""

    # By agents.
    granted: float
    # By gateways on their own, without an agent.
    reserve: float
    # The most of ``granted`` that agents grant at once; infinite if it is not paced.
    burst: float = math.inf
    # Part of both that the tolerance adds to the limit.
    spare: float = 0.0

    @classmethod
    def of(cls, limit: TokenLimit, bounds: QuotaBounds) -> "Allowance":
        """Divide what a limit allows in a window.

        Granted tokens count for the time of their lease longer than the window; as many more are
        granted, as far as the tolerance covers it. Beyond a burst they are granted evenly, so that
        an account that asks for too much gets its rate at any time.
        """
        in_window = limit.rate_per_s * bounds.window_s + limit.burst
        most = in_window * (1 + bounds.overage) + bounds.slack
        reserve = max(RESERVE_SHARE * (most - in_window), MIN_RESERVE_SHARE * most)
        paced = min(in_window * bounds.held_s / bounds.window_s, most - reserve)
        burst_share = limit.burst / in_window if in_window else 0.0
        burst = paced * max(burst_share, MIN_BURST_S / bounds.held_s)
        # The rest of the tolerance is for bursts.
        spare = max(0.0, most - reserve - paced)
        return cls(paced + spare, reserve, burst + spare, spare)


def count_tokens(limit: TokenLimit, prompt_tokens: int, output_tokens: int) -> int:
    """Return the tokens of a request; one without a valid count has ``plain_tokens``."""
    if not limit.counts_tokens:
        return 1
    return prompt_tokens + output_tokens or limit.plain_tokens
