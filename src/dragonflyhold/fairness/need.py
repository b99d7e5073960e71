"""What each client account usually needs, and which of its requests go beyond that.

A gateway keeps this for the requests for adapters that it receives itself. A request counts as one,
whatever its size, as each takes a turn of an adapter slot. The usual need is an average over
half a minute; a request is in excess once its account has used up the multiple of its need that it
may ask for at a time of scarcity. Such requests don't count as need, so that a sudden rise does not
raise an account's share at once.
"""

import dataclasses
import heapq
import math
from typing import final

from dragonflyhold.fairness.model import AccountTag

# Half-life of the usual need.
NEED_HALF_LIFE_S = 30.0
# Multiple of its need that an account may ask for before its requests are in excess, and the time
# for which it may ask for that much at once.
EXCESS_RATIO = 2.0
BURST_S = 3.0
# Requests that any account may send at once.
MIN_BURST = 2.0
# Time after the first request in which all requests count as usual.
LEARNING_S = 5.0
# Least time over which a need is averaged, so that the first requests don't count as a high rate.
MIN_WINDOW_S = 2.0
# Decayed requests below which an account is idle and forgotten: it takes no equal share.
IDLE_REQUESTS = 1 / 16
# Accounts beyond this number are forgotten, those with the least need first.
MAX_ACCOUNTS = 4096


@final
@dataclasses.dataclass(slots=True)
class _Account:
    # Requests with exponential decay as of ``counted_at``.
    requests: float = 0.0
    counted_at: float = 0.0
    # Requests that the allowance leaves as of ``allowance_at``; infinite before the first one.
    allowance: float = math.inf
    allowance_at: float = 0.0


@final
class AccountNeed:
    """The usual rate of each account at one gateway; times are monotonic seconds."""

    def __init__(self) -> None:
        self._accounts: dict[AccountTag, _Account] = {}
        self._all = _Account()
        self._started_at: float | None = None
        self._checked_at = 0.0

    def __len__(self) -> int:
        return len(self._accounts)

    def note_request(self, account: AccountTag, now: float) -> bool:
        """Count a request; return whether it is within its account's allowance."""
        if self._started_at is None:
            self._started_at = self._checked_at = now
        self._forget_idle(now)
        known = self._accounts.get(account)
        if known is None:
            self._make_room(now)
            known = self._accounts[account] = _Account(counted_at=now, allowance_at=now)
        rate = self._allowed_rate(known, now)
        most = max(MIN_BURST, BURST_S * rate)
        known.allowance = min(most, known.allowance + rate * (now - known.allowance_at))
        known.allowance_at = now
        is_learning = now - self._started_at < LEARNING_S
        if len(self._accounts) > 1 and not is_learning and known.allowance < 1.0:
            return False
        known.allowance = max(0.0, known.allowance - 1.0)
        _add_request(known, now)
        _add_request(self._all, now)
        return True

    def share(self, account: AccountTag, now: float) -> float:
        """Return an account's share of the usual requests of all accounts, 0 to 1."""
        known, total = self._accounts.get(account), _requests(self._all, now)
        if known is None or total <= 0.0:
            return 0.0
        return min(1.0, _requests(known, now) / total)

    def _allowed_rate(self, account: _Account, now: float) -> float:
        """Return the requests a second that an account may ask for, at least an equal share."""
        equal = _requests(self._all, now) / max(1, len(self._accounts))
        return EXCESS_RATIO * max(_requests(account, now), equal) / self._window_s(now)

    def _window_s(self, now: float) -> float:
        """Return the time that decayed counts stand for."""
        started_at = now if self._started_at is None else self._started_at
        mean_s = NEED_HALF_LIFE_S / math.log(2)
        covered = 1.0 - 0.5 ** ((now - started_at) / NEED_HALF_LIFE_S)
        return max(MIN_WINDOW_S, mean_s * covered)

    def _forget_idle(self, now: float) -> None:
        if now - self._checked_at < NEED_HALF_LIFE_S:
            return
        self._checked_at = now
        for account, known in list(self._accounts.items()):
            if _requests(known, now) < IDLE_REQUESTS:
                del self._accounts[account]

    def _make_room(self, now: float) -> None:
        if len(self._accounts) < MAX_ACCOUNTS:
            return
        # A quarter at once, so that many new accounts don't cost a search each.
        kept = heapq.nlargest(
            MAX_ACCOUNTS * 3 // 4, self._accounts.items(), key=lambda item: _requests(item[1], now)
        )
        self._accounts = dict(kept)


def _requests(account: _Account, now: float) -> float:
    return float(account.requests * 0.5 ** ((now - account.counted_at) / NEED_HALF_LIFE_S))


def _add_request(account: _Account, now: float) -> None:
    account.requests = _requests(account, now) + 1.0
    account.counted_at = now
