"""Compares ways to share an account's limit; run with ``python -m tests.ratelimits.compare``.

The first table has, for demand of twice the limit, the most tokens in a window and the tokens used
from the second window on, both relative to the limit, and the messages a second. The load moves to
other gateways in the middle of the run. The second one has the way in force under one fault, in the
window after it.
"""

import itertools
import random
from collections.abc import Callable, Iterable

from dragonflyhold.accounts import TokenLimit
from dragonflyhold.ratelimits import QuotaBounds, Usage
from tests.ratelimits.fleet import Fleet, Process

WINDOW_S = 8.0
LIMIT = TokenLimit(225_000, 225_000, 200)
IN_WINDOW = LIMIT.rate_per_s * WINDOW_S + LIMIT.burst
BEGIN_S, MOVE_S, END_S = 9.0, 21.0, 41.0
MEAN_TOKENS = 4000
DEMAND = 2.0
# Period of the messages of the ways that exchange shares or counts.
PERIOD_S = 0.5

Admit = Callable[[int, int, float], bool]


def _equal_shares(gateways: int) -> tuple[Admit, float]:
    used = [Usage(WINDOW_S) for _ in range(gateways)]

    def admit(gateway: int, tokens: int, now: float) -> bool:
        if used[gateway].total(now) + tokens > IN_WINDOW / gateways:
            return False
        used[gateway].add(now, tokens)
        return True

    return admit, 0.0


def _shares_by_demand(gateways: int) -> tuple[Admit, float]:
    used = [Usage(WINDOW_S) for _ in range(gateways)]
    asked = [Usage(1.0) for _ in range(gateways)]
    shares, shared_at = [IN_WINDOW / gateways] * gateways, 0.0

    def admit(gateway: int, tokens: int, now: float) -> bool:
        nonlocal shares, shared_at
        asked[gateway].add(now, tokens)
        if now >= shared_at + PERIOD_S:
            demands = [usage.total(now) + 1 for usage in asked]
            shares = [IN_WINDOW * demand / sum(demands) for demand in demands]
            shared_at = now
        if used[gateway].total(now) + tokens > shares[gateway]:
            return False
        used[gateway].add(now, tokens)
        return True

    return admit, 2 * gateways / PERIOD_S


def _told_counts(gateways: int) -> tuple[Admit, float]:
    used = [Usage(WINDOW_S) for _ in range(gateways)]
    told, told_at = [0.0] * gateways, 0.0

    def admit(gateway: int, tokens: int, now: float) -> bool:
        nonlocal told, told_at
        if now >= told_at + PERIOD_S:
            told, told_at = [usage.total(now) for usage in used], now
        others = sum(told) - told[gateway]
        if used[gateway].total(now) + others + tokens > IN_WINDOW:
            return False
        used[gateway].add(now, tokens)
        return True

    return admit, 2 * gateways / PERIOD_S


def _weights(gateways: int, skew: float, is_moved: bool) -> list[float]:
    weights = [(number + 1.0) ** -skew for number in range(gateways)]
    return weights[::-1] if is_moved else weights


def _play(way: tuple[Admit, float], gateways: int, skew: float) -> tuple[float, float, float]:
    admit, messages = way
    rng, now = random.Random(1), BEGIN_S
    sent: list[tuple[float, int]] = []
    while now < END_S:
        now += rng.expovariate(DEMAND * IN_WINDOW / WINDOW_S / MEAN_TOKENS)
        weights = _weights(gateways, skew, now > MOVE_S)
        (gateway,) = rng.choices(range(gateways), weights)
        tokens = int(MEAN_TOKENS * rng.choice((0.2, 0.5, 1, 1, 2.3)))
        if admit(gateway, tokens, now):
            sent.append((now, tokens))
    return (*_measure(sent), messages)


def _measure(sent: list[tuple[float, int]]) -> tuple[float, float]:
    window, most = Usage(WINDOW_S), 0.0
    for at, tokens in sent:
        window.add(at, tokens)
        most = max(most, window.total(at))
    # Both before and after the load has moved.
    used = sum(tokens for at, tokens in sent if at >= BEGIN_S + WINDOW_S)
    return most / IN_WINDOW, used / IN_WINDOW * WINDOW_S / (END_S - BEGIN_S - WINDOW_S)


def _play_leases(gateways: int, skew: float) -> tuple[float, float, float]:
    fleet = Fleet(gateways, 6, LIMIT, QuotaBounds(WINDOW_S, 0.1, 110_000), seed=1)
    fleet.run(BEGIN_S)
    rate = DEMAND * IN_WINDOW / WINDOW_S / MEAN_TOKENS
    fleet.arrive(rate, MEAN_TOKENS, _weights(gateways, skew, False), MOVE_S)
    fleet.run(MOVE_S)
    fleet.arrive(rate, MEAN_TOKENS, _weights(gateways, skew, True), END_S)
    fleet.run(END_S)
    return (*_measure(fleet.sent), fleet.messages / (END_S - BEGIN_S))


def _counting(fleet: Fleet) -> Process:
    """Return the agent that counts."""
    gateway = fleet.gateways[0]
    (account,) = gateway.limits._accounts.values()
    numbers = [number for number, agent in gateway.handles.items() if agent is account.agent]
    return fleet.agents[numbers[0]]


def _isolate(fleet: Fleet, process: Process, others: Iterable[Process], for_s: float) -> None:
    for other in others:
        fleet.cut(process, other, for_s)


def _kill(fleet: Fleet, *processes: Process) -> None:
    for process in processes:
        fleet.kill(process, 1.0)


def _some_gateways(fleet: Fleet) -> list[Process]:
    return list(fleet.gateways.values())[::2]


FAULTS: dict[str, Callable[[Fleet], object]] = {
    "none": lambda fleet: None,
    "counting agent killed": lambda fleet: _kill(fleet, _counting(fleet)),
    "counting agent frozen, 1 s": lambda fleet: fleet.freeze(_counting(fleet), 1.0),
    "counting agent frozen, 3 s": lambda fleet: fleet.freeze(_counting(fleet), 3.0),
    "counting agent cut off, 5 s": lambda fleet: _isolate(
        fleet, _counting(fleet), fleet.gateways.values(), 5.0
    ),
    "half of the gateways cut from it (two count), 5 s": lambda fleet: _isolate(
        fleet, _counting(fleet), _some_gateways(fleet), 5.0
    ),
    "all agents killed": lambda fleet: _kill(fleet, *fleet.agents.values()),
    "a gateway restarts": lambda fleet: _kill(fleet, fleet.gateways[0]),
    "half of the gateways restart": lambda fleet: _kill(fleet, *_some_gateways(fleet)),
    "a gateway cut from all agents, 5 s": lambda fleet: _isolate(
        fleet, fleet.gateways[0], fleet.agents.values(), 5.0
    ),
    "counting agent and half of the gateways killed": lambda fleet: _kill(
        fleet, _counting(fleet), *_some_gateways(fleet)
    ),
    "all agents and gateways killed": lambda fleet: _kill(
        fleet, *fleet.agents.values(), *fleet.gateways.values()
    ),
}


def _play_fault(gateways: int, demand: float, fault: Callable[[Fleet], object]) -> list[float]:
    """Return the most in a window by the bound, and what was used of what was owed after it."""
    bounds = QuotaBounds(WINDOW_S, 0.1, 110_000)
    fleet = Fleet(gateways, 6, LIMIT, bounds, seed=1)
    fleet.run(BEGIN_S)
    rate = demand * IN_WINDOW / WINDOW_S / MEAN_TOKENS
    fleet.arrive(rate, MEAN_TOKENS, [1.0] * gateways, END_S)
    fleet.call(MOVE_S - BEGIN_S, lambda: fault(fleet), None)
    fleet.run(END_S)
    bound = IN_WINDOW * (1 + bounds.overage) + bounds.slack
    used = fleet.used(MOVE_S, MOVE_S + WINDOW_S)
    refused = sum(tokens for at, tokens, _ in fleet.refused if MOVE_S <= at < MOVE_S + WINDOW_S)
    return [fleet.most_in_window() / bound, used / min(IN_WINDOW, used + refused)]


def _print_faults() -> None:
    print("| fault | gateways | most by the bound | used of owed, demand 0.5 and 3 times |")
    print("|---|---|---|---|")
    for (name, fault), gateways in itertools.product(FAULTS.items(), (3, 30, 300)):
        (_, usual), (most, heavy) = (_play_fault(gateways, demand, fault) for demand in (0.5, 3.0))
        print(f"| {name} | {gateways} | {most:.2f} | {usual:.2f}, {heavy:.2f} |")


def main() -> None:
    """Print the tables."""
    print("| way | gateways | arrivals | most in a window | used | messages a second |")
    print("|---|---|---|---|---|---|")
    ways = {
        "equal shares": lambda n, skew: _play(_equal_shares(n), n, skew),
        "shares by demand": lambda n, skew: _play(_shares_by_demand(n), n, skew),
        "told counts": lambda n, skew: _play(_told_counts(n), n, skew),
        "granted tokens": _play_leases,
    }
    for (name, play), gateways, skew in itertools.product(ways.items(), (3, 30, 300), (0.0, 1.5)):
        most, used, messages = play(gateways, skew)
        arrivals = "uneven, moving" if skew else "even"
        print(f"| {name} | {gateways} | {arrivals} | {most:.2f} | {used:.2f} | {messages:.0f} |")
    _print_faults()


if __name__ == "__main__":
    main()
