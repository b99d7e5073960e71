"""What each client account usually needs, and which of its requests go beyond that.

A gateway keeps this for the requests that it receives itself, with an adapter or of one service. A
request counts as one, whatever its size, as each takes a turn of a slot. The usual need is an
average over half a minute. Requests in excess don't count as need, so that a sudden rise does not
raise an account's share at once.
"""

import dataclasses
import enum
import heapq
import math
from typing import final

from dragonflyhold.fairness.model import AccountTag

# Half-life of the usual need.
NEED_HALF_LIFE_S = 30.0
# Multiples of its need beyond which an account's requests are raised and in excess, and the time
# for which it may ask for that much at once.
RAISED_RATIO = 1.25
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


class NeedLevel(enum.IntEnum):
    """What a request is to its account's usual need; higher ones give way sooner."""

    USUAL = 0
    RAISED = 1
    EXCESS = 2


@final
@dataclasses.dataclass(slots=True)
class _Allowance:
    """Requests that an account may still send as of a time; infinite before the first one."""

    since: float
    left: float = math.inf

    def take(self, rate: float, now: float) -> bool:
        """Take a request from an allowance of ``rate`` requests a second, if any is left."""
        most = max(MIN_BURST, BURST_S * rate)
        self.left = min(most, self.left + rate * (now - self.since))
        self.since = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


@final
@dataclasses.dataclass(slots=True)
class _Account:
    counted_at: float = 0.0
    # Requests with exponential decay as of ``counted_at``.
    requests: float = 0.0
    raised: _Allowance = dataclasses.field(default_factory=lambda: _Allowance(0.0))
    excess: _Allowance = dataclasses.field(default_factory=lambda: _Allowance(0.0))


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

    def note_request(self, account: AccountTag, now: float) -> NeedLevel:
        """Count a request; return what it is to its account's need, ``USUAL`` for one alone."""
        if self._started_at is None:
            self._started_at = self._checked_at = now
        self._forget_idle(now)
        known = self._accounts.get(account)
        if known is None:
            self._make_room(now)
            known = _Account(now, 0.0, _Allowance(now), _Allowance(now))
            self._accounts[account] = known
        rate = self._usual_rate(known, now)
        is_raised = not known.raised.take(RAISED_RATIO * rate, now)
        is_excess = not known.excess.take(EXCESS_RATIO * rate, now)
        is_judged = len(self._accounts) > 1 and now - self._started_at >= LEARNING_S
        if is_judged and is_excess:
            return NeedLevel.EXCESS
        _add_request(known, now)
        _add_request(self._all, now)
        return NeedLevel.RAISED if is_judged and is_raised else NeedLevel.USUAL

    def share(self, account: AccountTag, now: float) -> float:
        """Return an account's share of the usual requests of all accounts, 0 to 1."""
        known, total = self._accounts.get(account), _requests(self._all, now)
        if known is None or total <= 0.0:
            return 0.0
        return min(1.0, _requests(known, now) / total)

    def _usual_rate(self, account: _Account, now: float) -> float:
        """Return an account's usual requests a second, at least an equal share of all."""
        equal = _requests(self._all, now) / max(1, len(self._accounts))
        return max(_requests(account, now), equal) / self._window_s(now)

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
