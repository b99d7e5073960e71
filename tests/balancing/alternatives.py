"""The policies that were weighed against load interpretation; run it as a module for the table."""

import random
from collections.abc import Callable

from tests.balancing.shared_upstreams import SLOTS, Load, Policy, View, load_interpretation, play

LOADS = {
    "3 gateways, 3 upstreams, 20 ms": Load(3, 3, 0.02),
    "3, 28, 100 ms": Load(3, 28, 0.1),
    "30, 28, 20 ms": Load(30, 28, 0.02),
    "30, 28, 100 ms": Load(30, 28, 0.1),
    "30, 28, 300 ms": Load(30, 28, 0.3),
    "30, 28, 500 ms": Load(30, 28, 0.5),
    "300, 28, 300 ms": Load(300, 28, 0.3),
    "30, 28, 300 ms, a quarter 2.5 times slower": Load(30, 28, 0.3, slowness=(1, 1, 1, 2.5)),
    "30, 28, 300 ms, 3 holders": Load(30, 28, 0.3, holders=3),
    "30, 28, 300 ms, 3 busy gateways": Load(30, 28, 0.3, busy_gateways=3),
    "300, 600, 20 ms": Load(300, 600, 0.02, duration_s=4.0),
    "300, 600, 500 ms": Load(300, 600, 0.5, duration_s=4.0),
}


def least_loaded(view: View, rng: random.Random) -> int:
    costs = [candidate.cost for candidate in view.candidates]
    return min(range(len(costs)), key=lambda index: (costs[index], rng.random()))


def two_choices(view: View, rng: random.Random) -> int:
    drawn = rng.sample(range(len(view.candidates)), min(2, len(view.candidates)))
    return min(drawn, key=lambda index: view.candidates[index].cost)


def other_start(view: View, rng: random.Random) -> int:
    """Each gateway begins at another place among the upstreams below the mean."""
    costs = [candidate.cost for candidate in view.candidates]
    mean = sum(costs) / len(costs)
    good = sorted((cost, index) for index, cost in enumerate(costs) if cost <= mean + 1e-9)
    return good[view.gateway % len(good)][1]


def cubic_ranking(view: View, rng: random.Random) -> int:
    """C3: own requests count for those of all gateways, and the cube of the queue is compared."""

    def score(index: int) -> tuple[float, float]:
        candidate = view.candidates[index]
        queue = 1 + candidate.reported + candidate.own * view.gateways
        return queue**3 / candidate.capacity, rng.random()

    return min(range(len(view.candidates)), key=score)


def idle_tokens() -> Policy:
    """Join idle queue: an upstream hands a token for each free slot to a random gateway."""
    tokens: dict[tuple[int, int], int] = {}
    last_ages: dict[int, float] = {}

    def choose_by_token(view: View, rng: random.Random) -> int:
        for upstream, candidate in zip(view.ids, view.candidates, strict=True):
            if candidate.age_s < last_ages.get(upstream, 1e9):
                for gateway in range(view.gateways):
                    tokens.pop((gateway, upstream), None)
                for _ in range(int(SLOTS - candidate.reported)):
                    key = rng.randrange(view.gateways), upstream
                    tokens[key] = tokens.get(key, 0) + 1
            last_ages[upstream] = candidate.age_s
        held = [i for i, name in enumerate(view.ids) if tokens.get((view.gateway, name))]
        chosen = rng.choice(held or range(len(view.ids)))
        if held:
            tokens[view.gateway, view.ids[chosen]] -= 1
        return chosen

    return choose_by_token


POLICIES: dict[str, Callable[[], Policy]] = {
    "least loaded": lambda: least_loaded,
    "two choices": lambda: two_choices,
    "other start": lambda: other_start,
    "cubic ranking": lambda: cubic_ranking,
    "idle tokens": idle_tokens,
    "load interpretation": lambda: load_interpretation,
}


def main() -> None:
    """Print late shares, waits beside free slots and unevenness, by load and policy."""
    print("| load |", " | ".join(POLICIES), "|")
    print("|---" * (len(POLICIES) + 1) + "|")
    for name, load in LOADS.items():
        cells = []
        for make_policy in POLICIES.values():
            figures = play(load, make_policy())
            cells.append(
                f"{figures.late:.1%}, {figures.idle_elsewhere:.0%}, {figures.unevenness:.1f}"
            )
        print("|", name, "|", " | ".join(cells), "|", flush=True)


if __name__ == "__main__":
    main()
