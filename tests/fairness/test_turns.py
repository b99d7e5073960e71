"""Tests of who is served where several accounts want the slots of one engine."""

import dataclasses
import statistics
from collections.abc import Callable

import pytest

from dragonflyhold.fairness import AccountNeed, AccountShare, AccountTag, Claim, TurnOrder
from dragonflyhold.fairness.turns import (
    MAX_LEAD_S,
    MIN_FACTOR,
    MIN_NEED_RATIO,
    MIN_RANK_FACTOR,
)
from tests.fairness.one_engine import LOADS, ORDINARY, Account, Engine, Outcome

SEEDS = range(4)
# What one account's excess may cost the others of what they are served on a calm day.
MAX_COST = 0.1
# Share of the overall service below which an account counts as starved.
STARVED_SHARE = 0.25


def _play(name: str, is_fair: bool = True) -> list[Outcome]:
    accounts, slots = LOADS[name]
    return [Engine(accounts, seed, is_fair).run(slots) for seed in SEEDS]


def _calm(name: str) -> list[Outcome]:
    accounts = [dataclasses.replace(item, hot=1.0, tries=1) for item in LOADS[name][0]]
    return [Engine(accounts, seed).run() for seed in SEEDS]


def _others(outcomes: list[Outcome]) -> float:
    return statistics.mean(outcome.others("special") for outcome in outcomes)


class TestOneAccountAsksForMore:
    """Guards against callers who pay for the load of another account."""

    @pytest.mark.parametrize("load", ["hot account", "crowd that repeats", "long prompts"])
    def test_the_others_are_served_as_on_a_calm_day(self, load: str) -> None:
        assert _others(_play(load)) >= _others(_calm(load)) - MAX_COST

    def test_hot_adapters_leave_room_for_the_others(self) -> None:
        """An adapter in place is used, so here only the slots that come free are shared."""
        by_turns, by_worth = _play("hot adapters"), _play("hot adapters", is_fair=False)
        assert _others(by_turns) > _others(by_worth)
        assert _others(by_turns) >= STARVED_SHARE * statistics.mean(o.overall for o in by_turns)

    @pytest.mark.parametrize("load", ["hot account", "crowd that repeats"])
    def test_its_own_excess_is_refused_first(self, load: str) -> None:
        refused = [outcome.gave_way for outcome in _play(load)]
        special = sum(counts["special"] for counts in refused)
        assert special > 0.9 * sum(counts.total() for counts in refused)

    def test_a_hot_account_takes_what_the_others_leave(self) -> None:
        """Unused shares go round: without demand of others it is served as if it were alone."""
        idle = [dataclasses.replace(item, rate_per_s=0.05) for item in ORDINARY]
        accounts = [*idle, Account("special", 1.6, hot=7.5)]
        fair = [Engine(accounts, seed).run().share("special") for seed in SEEDS]
        by_worth = [Engine(accounts, seed, False).run().share("special") for seed in SEEDS]
        assert statistics.mean(fair) >= statistics.mean(by_worth) - 0.02


class TestTooLittleRoomForAll:
    """Guards against an account that is hardly served while others are."""

    @pytest.mark.parametrize("load", list(LOADS))
    def test_no_account_is_starved(self, load: str) -> None:
        outcomes = _play(load)
        overall = statistics.mean(outcome.overall for outcome in outcomes)
        for account in LOADS[load][0]:
            share = statistics.mean(outcome.share(account.name) for outcome in outcomes)
            assert share >= STARVED_SHARE * overall, account.name

    def test_a_low_priority_is_served_less_but_not_starved(self) -> None:
        accounts = [
            Account("high", 10.0, priority=0, hot=3.0),
            Account("low", 10.0, priority=9, hot=3.0),
        ]
        outcomes = [Engine(accounts, seed).run() for seed in SEEDS]
        high, low = (statistics.mean(o.share(name) for o in outcomes) for name in ("high", "low"))
        overall = statistics.mean(outcome.overall for outcome in outcomes)
        assert high > low >= STARVED_SHARE * overall


class TestLostState:
    """What is known of accounts is lost when its process ends; the others must not pay for long."""

    @pytest.mark.parametrize(
        "failure",
        [
            lambda engine: setattr(engine, "order", TurnOrder()),
            lambda engine: setattr(engine, "need", AccountNeed()),
        ],
        ids=["agent", "gateway"],
    )
    def test_a_restart_amid_a_hot_account(self, failure: Callable[[Engine], None]) -> None:
        """A restarted gateway takes the load that it finds for the usual one."""
        accounts, slots = LOADS["hot account"]
        restarted = [Engine(accounts, seed).run(slots, 12.0, failure) for seed in SEEDS]
        by_worth = _others(_play("hot account", is_fair=False))
        assert _others(restarted) > by_worth
        for account in accounts:
            share = statistics.mean(outcome.share(account.name) for outcome in restarted)
            assert share >= STARVED_SHARE * statistics.mean(o.overall for o in restarted)


def _share(account: int, need: float, rank: int = 0) -> AccountShare:
    return AccountShare(Claim(AccountTag(account), rank), 1.0, need)


class TestTurnOrder:
    """Virtual times and the factors that follow from them."""

    def test_one_account_alone_changes_nothing(self) -> None:
        order: TurnOrder[str] = TurnOrder()
        order.note_need(_share(2, 1.0))
        assert order.weigh({"a": {Claim(AccountTag(2), 0): 3.0}}, {"a": 3.0}) == {}

    def test_utility_without_a_claim_keeps_its_worth(self) -> None:
        """Replicas, and gateways of an older build, name no accounts."""
        order: TurnOrder[str] = TurnOrder()
        claims = {"a": {Claim(AccountTag(2), 0): 1.0}, "b": {Claim(AccountTag(3), 0): 1.0}}
        weighed = order.weigh(claims, {"a": 5.0, "b": 1.0})
        assert weighed == {"a": 5.0, "b": 1.0}

    def test_an_adapter_that_accounts_share_is_charged_to_each(self) -> None:
        order: TurnOrder[str] = TurnOrder()
        for account in (2, 3, 4):
            order.note_need(_share(account, 1 / 3))
        first, second, idle = (Claim(AccountTag(account), 0) for account in (2, 3, 4))
        order.charge({first: 3.0, second: 1.0}, 0.4)
        assert order.lead_s(first.account) == pytest.approx(3 * order.lead_s(second.account))
        assert order.lead_s(idle.account) == 0.0

    def test_need_gives_weight(self) -> None:
        order: TurnOrder[str] = TurnOrder()
        order.note_need(_share(2, 0.8))
        order.note_need(_share(3, 0.2))
        for account in (2, 3):
            order.charge({Claim(AccountTag(account), 0): 1.0}, 0.04)
        assert order.lead_s(AccountTag(3)) > 2 * order.lead_s(AccountTag(2))

    def test_accounts_of_long_ago_leave_the_least_weight_alone(self) -> None:
        """Guards against small accounts that wait longer the more accounts were ever seen."""
        order: TurnOrder[str] = TurnOrder()
        large, small = Claim(AccountTag(2), 0), Claim(AccountTag(3), 0)
        for account in range(10, 910):
            order.note_need(_share(account, 0.001))
        for _ in range(2000):
            order.note_need(_share(2, 0.99))
            order.note_need(_share(3, 0.001))
            order.weigh({"a": {large: 1.0}, "b": {small: 1.0}}, {"a": 1.0, "b": 1.0})
            for claim in (large, small):
                order.charge({claim: 1.0}, 0.05)
        order.weigh({"a": {large: 1.0}, "b": {small: 1.0}}, {"a": 1.0, "b": 1.0})
        before = order.lead_s(small.account)
        assert len(order) == 2
        order.charge({small: 1.0}, 0.05)
        assert order.lead_s(small.account) - before <= 0.05 / (MIN_NEED_RATIO / 2) + 1e-9

    def test_lead_and_factor_are_bounded(self) -> None:
        """However much an account got, it is served again, and soon."""
        order: TurnOrder[str] = TurnOrder()
        hot, other = Claim(AccountTag(2), 0), Claim(AccountTag(3), 9)
        order.note_need(_share(2, 0.5))
        order.note_need(_share(3, 0.5, rank=9))
        for _ in range(1000):
            order.charge({hot: 1.0}, 1.0)
        order.weigh({"a": {hot: 1.0}, "b": {other: 1.0}}, {"a": 1.0, "b": 1.0})
        assert order.lead_s(hot.account) <= MAX_LEAD_S
        assert order.factor(hot) == MIN_FACTOR
        assert order.factor(other) == MIN_RANK_FACTOR

    def test_idle_accounts_gather_no_credit(self) -> None:
        """An account that comes back may not take all slots until its past is made up for."""
        order: TurnOrder[str] = TurnOrder()
        busy, idle = Claim(AccountTag(2), 0), Claim(AccountTag(3), 0)
        order.note_need(_share(2, 0.5))
        order.note_need(_share(3, 0.5))
        for _ in range(100):
            order.weigh({"a": {busy: 1.0}}, {"a": 1.0})
            order.charge({busy: 1.0}, 0.5)
        order.weigh({"a": {busy: 1.0}}, {"a": 1.0})
        order.weigh({"a": {busy: 1.0}, "b": {idle: 1.0}}, {"a": 1.0, "b": 1.0})
        assert order.factor(busy) == order.factor(idle) == 1.0
        order.charge({idle: 1.0}, 2.0)
        order.weigh({"a": {busy: 1.0}, "b": {idle: 1.0}}, {"a": 1.0, "b": 1.0})
        assert order.lead_s(idle.account) > 0.0
