"""Tests of who is refused at a service whose queue is full."""

import collections
import random

import pytest

from dragonflyhold.accounts import AccountName
from dragonflyhold.fairness import AccountNeed, Standing, account_tag, is_full_for

SLOTS, QUEUE, RATE_PER_S = 6, 24, 87.0
# Requests a second of eight ordinary accounts, and of a large one.
ORDINARY = {f"usual-{number}": 4.0 for number in range(8)}
LARGE, LARGE_RATE = "large", 20.0
RUN_S, HOT_S, MAX_WAIT_S = 40.0, (20.0, 30.0), 0.25
# What one account's excess may cost the others of what they are served on a calm day.
MAX_COST = 0.1


def _play(seed: int, hot: float, is_fair: bool = True) -> dict[str, float]:
    """Return the share of each account's requests, while one is hot, that were served in time."""
    rng, need = random.Random(seed), AccountNeed()
    queue: collections.deque[tuple[str, float]] = collections.deque()
    asked: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for step in range(round(RUN_S * RATE_PER_S)):
        now = step / RATE_PER_S
        is_hot = HOT_S[0] <= now < HOT_S[1]
        if queue:
            name, since = queue.popleft()
            if HOT_S[0] <= since < HOT_S[1] and now - since <= MAX_WAIT_S:
                served[name] += 1
        rates = {**ORDINARY, LARGE: LARGE_RATE * (hot if is_hot else 1.0)}
        for name, rate in rates.items():
            arrivals = int(rate / RATE_PER_S + rng.random())
            for _ in range(arrivals):
                asked[name] += is_hot
                standing = need.note_request(account_tag(AccountName(name)), now)
                gives_way = is_fair and is_full_for(standing, len(queue) + SLOTS, SLOTS)
                if not gives_way and len(queue) < QUEUE:
                    queue.append((name, now))
    return {name: served[name] / asked[name] for name in asked}


def _others(shares: dict[str, float]) -> float:
    return sum(share for name, share in shares.items() if name != LARGE) / len(ORDINARY)


class TestFullService:
    """Guards against callers who are shed for the load of a large account."""

    @pytest.mark.parametrize("seed", range(3))
    def test_the_others_of_a_hot_large_account_are_served(self, seed: int) -> None:
        fair, by_arrival = _play(seed, 7.5), _play(seed, 7.5, is_fair=False)
        assert _others(fair) >= _others(_play(seed, 1.0)) - MAX_COST
        assert _others(by_arrival) < _others(fair)

    def test_the_hot_account_still_gets_what_it_usually_does(self) -> None:
        shares = _play(0, 7.5)
        assert shares[LARGE] * 7.5 >= 1.0 - MAX_COST

    def test_short_queues_refuse_nobody(self) -> None:
        """An upstream with free slots takes whatever comes."""
        assert not any(is_full_for(standing, SLOTS, SLOTS) for standing in Standing)
        assert not is_full_for(Standing.USUAL, 1000.0, SLOTS)
