"""Plays drawn schedules of faults through both sides of the limits of accounts."""

import random

import pytest

from dragonflyhold.accounts import TokenLimit
from dragonflyhold.ratelimits import QuotaBounds
from tests.ratelimits.fleet import Fleet, Process

SCHEDULES = 1000
UNSENT_SCHEDULES = range(5000, 5300)
GROUPS = 8
WINDOW_S = 8.0
# Traffic begins when the first processes have run for a window.
BEGIN_S, END_S = 9.0, 30.0
# Time within which gateways learn of a limit.
LEARN_S = 3.0


def in_window(limit: TokenLimit) -> float:
    """Return the tokens that a limit allows in a window."""
    return limit.rate_per_s * WINDOW_S + limit.burst


def most_allowed(limit: TokenLimit, bounds: QuotaBounds) -> float:
    """Return the bound that must hold in any window."""
    return in_window(limit) * (1 + bounds.overage) + bounds.slack


def _draw_fault(fleet: Fleet, rng: random.Random) -> str:
    """Bring one fault about now."""
    gateways, agents = list(fleet.gateways.values()), list(fleet.agents.values())
    process: Process = rng.choice([*gateways, *agents, *agents])
    kind = rng.choice(
        ["kill", "kill", "freeze", "freeze", "cut", "isolate", "agents", "gateways", "half", "all"]
    )
    for_s = rng.uniform(0.2, 6.0)
    match kind:
        case "kill":
            fleet.kill(process, rng.uniform(0.3, 3.0))
        case "freeze":
            fleet.freeze(process, rng.uniform(0.05, 3.0))
        case "cut":
            fleet.cut(rng.choice(gateways), rng.choice(agents), for_s)
        case "isolate":
            for other in agents if process in gateways else gateways:
                fleet.cut(process, other, for_s)
        case _:
            group = {"agents": agents, "gateways": gateways}.get(kind, [*gateways, *agents])
            size = len(group) // 2 if kind == "half" else len(group)
            for item in rng.sample(group, size):
                if item.is_alive:
                    fleet.kill(item, rng.uniform(0.3, 3.0))
    return f"{fleet.now:.2f} {kind} {type(process).__name__}{process.number} {for_s:.2f}"


def _play(seed: int, unsent_share: float = 0.0) -> str | None:
    """Play one schedule; return what was sent beyond the bound."""
    rng = random.Random(seed)
    rate = rng.choice([2_000, 20_000, 225_000])
    slack = rng.choice([0, 0, 30_000, 110_000])
    bounds = QuotaBounds(WINDOW_S, rng.choice([0.0, 0.1, 0.1]), slack)
    limit = TokenLimit(rate, rate * rng.choice([0, 1, 1, 4]), 200)
    count = rng.choice([3, 8, 20])
    fleet = Fleet(count, rng.choice([2, 3, 6]), limit, bounds, seed)
    fleet.unsent_share = unsent_share
    log: list[str] = []
    for _ in range(rng.randrange(5)):
        at = rng.uniform(BEGIN_S, END_S - 2)
        fleet.call(at, lambda: log.append(_draw_fault(fleet, rng)), None)
    limits = [(0.0, limit)]
    if rng.random() < 0.4:
        changed_at = rng.uniform(BEGIN_S, END_S - 10)
        factor = rng.choice([0.1, 0.4, 0.7, 1.6])
        other = TokenLimit(rate * factor, limit.burst * factor, 200)
        limits.append((changed_at, other))
        fleet.call(changed_at, lambda: fleet.change_limit(other, LEARN_S), None)
    demand = rng.choice([0.5, 1.2, 3.0, 7.5])
    mean = int(in_window(limit) / 60)
    weights = [rng.random() ** rng.choice([0, 2, 20]) for _ in range(count)]
    fleet.run(BEGIN_S)
    fleet.arrive(demand * in_window(limit) / WINDOW_S / mean, mean, weights, END_S)
    fleet.run(END_S)
    most = fleet.most_in_window()
    allowed = max(most_allowed(item, bounds) for _, item in limits)
    if most > allowed:
        return f"seed {seed}: {most:.0f} of {allowed:.0f} tokens; {log}"
    changed_at, newest = limits[-1]
    most, allowed = fleet.most_in_window(changed_at + LEARN_S), most_allowed(newest, bounds)
    if most > allowed:
        return f"seed {seed}: {most:.0f} of {allowed:.0f} tokens after the change; {log}"
    return None


class TestDrawnSchedules:
    """Guards against limits that get looser by a fault, and by the ways out of it."""

    @pytest.mark.parametrize("group", range(GROUPS))
    def test_no_window_holds_more_than_its_bound(self, group: int) -> None:
        problems = [_play(seed) for seed in range(group, SCHEDULES, GROUPS)]
        assert [problem for problem in problems if problem] == []

    @pytest.mark.parametrize("group", range(GROUPS))
    def test_tokens_given_back_do_not_loosen_it(self, group: int) -> None:
        """Guards against tokens given back that leave the window later than they came into it."""
        problems = [_play(seed, 0.5) for seed in UNSENT_SCHEDULES[group::GROUPS]]
        assert [problem for problem in problems if problem] == []


class TestCalm:
    """Guards against limits that leave a part unused while demand exceeds them."""

    @pytest.mark.parametrize("gateways", [3, 30, 300])
    @pytest.mark.parametrize("skew", [0.0, 1.5])
    def test_nearly_all_of_the_limit_is_used(self, gateways: int, skew: float) -> None:
        limit, bounds = TokenLimit(225_000, 225_000, 200), QuotaBounds(WINDOW_S, 0.1, 110_000)
        fleet = Fleet(gateways, 6, limit, bounds, seed=1)
        weights = [(number + 1.0) ** -skew for number in range(gateways)]
        fleet.run(BEGIN_S)
        fleet.arrive(2.0 * in_window(limit) / WINDOW_S / 4000, 4000, weights, END_S)
        fleet.run(END_S)
        # From the second window on, a steady share of the limit is used.
        used = fleet.used(END_S - WINDOW_S, END_S) / in_window(limit)
        assert used > 0.95
        assert fleet.most_in_window() <= most_allowed(limit, bounds)

    def test_demand_below_the_limit_is_never_refused(self) -> None:
        limit, bounds = TokenLimit(10_000, 10_000, 200), QuotaBounds(WINDOW_S, 0.1, 110_000)
        fleet = Fleet(31, 6, limit, bounds, seed=1)
        fleet.run(BEGIN_S)
        fleet.arrive(0.6 * in_window(limit) / WINDOW_S / 1500, 1500, [1.0] * 31, END_S)
        fleet.run(END_S)
        assert fleet.refused == []

    def test_no_message_passes_without_requests(self) -> None:
        fleet = Fleet(30, 6, TokenLimit(10_000, 10_000, 200), QuotaBounds(), seed=1)
        fleet.run(END_S)
        assert fleet.messages == 0


class TestOneFault:
    """Guards against proper work that is refused because the counting agent ends."""

    @pytest.mark.parametrize("gateways", [3, 30])
    def test_usual_demand_goes_on_when_the_counting_agent_ends(self, gateways: int) -> None:
        limit, bounds = TokenLimit(225_000, 225_000, 200), QuotaBounds(WINDOW_S, 0.1, 110_000)
        fleet = Fleet(gateways, 6, limit, bounds, seed=1)
        fleet.run(BEGIN_S)
        fleet.arrive(0.5 * in_window(limit) / WINDOW_S / 2000, 2000, [1.0] * gateways, END_S)
        for agent in list(fleet.agents.values()):
            fleet.call(1.0 + 3.0 * agent.number, lambda agent=agent: fleet.kill(agent, 1.0), None)
        fleet.run(END_S)
        refused = sum(tokens for _, tokens, _ in fleet.refused)
        assert refused <= 0.01 * fleet.used(0.0, END_S)

    def test_gateways_that_restarted_do_not_keep_their_share_from_the_others(self) -> None:
        """Guards against a limit that is divided by gateways without requests of the account."""
        limit, bounds = TokenLimit(10_000, 10_000, 200), QuotaBounds(WINDOW_S, 0.1, 0.0)
        fleet = Fleet(10, 3, limit, bounds, seed=1)
        fleet.run(BEGIN_S)
        weights = [1.0] * 2 + [0.0] * 8
        fleet.arrive(0.8 * in_window(limit) / WINDOW_S / 500, 500, weights, END_S)
        for number in range(2, 10):
            fleet.call(2.0, lambda number=number: fleet.kill(fleet.gateways[number], 1.0), None)
        fleet.run(END_S)
        since_restart = [cause for at, _, cause in fleet.refused if at > BEGIN_S + 4.0]
        assert since_restart == []

    def test_a_gateway_that_is_gone_makes_no_agent_ask_the_others_again(self) -> None:
        """Guards against messages that grow with accounts times gateways for as long."""
        limit, bounds = TokenLimit(10_000, 10_000, 200), QuotaBounds(WINDOW_S, 0.1, 0.0)
        fleet = Fleet(30, 3, limit, bounds, seed=1)
        fleet.run(BEGIN_S)
        fleet.kill(fleet.gateways[0], 1000.0)
        fleet.run(BEGIN_S + 0.5)
        for agent in list(fleet.agents.values()):
            fleet.kill(agent, 0.1)
        rate, begin = 0.5 * in_window(limit) / WINDOW_S / 500, 20.0
        fleet.arrive(rate, 500, [0.0] + [1.0] * 29, END_S)
        fleet.run(begin)
        before = fleet.messages
        fleet.run(END_S)
        assert fleet.messages - before <= 3 * rate * (END_S - begin)
