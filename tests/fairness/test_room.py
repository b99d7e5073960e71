"""Tests of who is refused at a service whose queue is full."""

import collections
import random

import pytest

from dragonflyhold.accounts import AccountName
from dragonflyhold.fairness import AccountNeed, NeedLevel, account_tag, is_queue_too_long

SLOTS, QUEUE, RATE_PER_S = 6, 24, 87.0
# Requests a second of eight ordinary accounts, and of a large one.
ORDINARY = {f"usual-{number}": 4.0 for number in range(8)}
LARGE, LARGE_RATE = "large", 20.0
RUN_S, HOT_S = 40.0, (20.0, 30.0)
WORK_S, TARGET_S, FIRST_BYTE_WEIGHT = 0.069, 0.344, 0.1
# What one account's excess may cost the others of what they are served on a calm day.
MAX_COST = 0.1


def _play(seed: int, hot: float, is_fair: bool = True) -> dict[str, float]:
    """Return the share of each account's requests, while one is hot, that were served in time."""
    rng, need = random.Random(seed), AccountNeed()
    queue: collections.deque[tuple[str, float]] = collections.deque()
    asked: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    first_byte_s = WORK_S
    for step in range(round(RUN_S * RATE_PER_S)):
        now = step / RATE_PER_S
        is_hot = HOT_S[0] <= now < HOT_S[1]
        if queue:
            name, since = queue.popleft()
            answered_s = now - since + WORK_S
            first_byte_s += FIRST_BYTE_WEIGHT * (answered_s - first_byte_s)
            if HOT_S[0] <= since < HOT_S[1] and answered_s <= TARGET_S:
                served[name] += 1
        rates = {**ORDINARY, LARGE: LARGE_RATE * (hot if is_hot else 1.0)}
        for name, rate in rates.items():
            arrivals = int(rate / RATE_PER_S + rng.random())
            for _ in range(arrivals):
                asked[name] += is_hot
                standing = need.note_request(account_tag(AccountName(name)), now)
                load = len(queue) + SLOTS
                gives_way = is_queue_too_long(standing, load, SLOTS, first_byte_s, TARGET_S)
                if not (is_fair and gives_way) and len(queue) < QUEUE:
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


class TestQueueAtAnUpstream:
    """Guards against refusals of requests that would be answered in time."""

    @pytest.mark.parametrize(
        ("load", "first_byte_s", "time_left_s", "is_too_long"),
        [
            (6, 0.3, 0.3, False),
            (7, 0.07, 0.34, False),
            (24, 0.07, 0.34, True),
            (7, 0.2, 0.34, True),
            (7, 0.07, 0.0, True),
        ],
        ids=["no queue", "short queue", "long queue", "slow upstream", "late already"],
    )
    def test_a_queue_is_too_long_only_if_answers_would_be_late(
        self, load: int, first_byte_s: float, time_left_s: float, is_too_long: bool
    ) -> None:
        assert (
            is_queue_too_long(NeedLevel.EXCESS, load, 6, first_byte_s, time_left_s) == is_too_long
        )

    def test_an_upstream_without_slots_is_no_error(self) -> None:
        assert not is_queue_too_long(NeedLevel.EXCESS, 0, 0, 0.05, 1.0)

    def test_usual_requests_never_give_way(self) -> None:
        assert not is_queue_too_long(NeedLevel.USUAL, 1000.0, SLOTS, 1.0, 0.1)
