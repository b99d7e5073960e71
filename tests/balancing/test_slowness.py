"""Tests of the expected slowness of an upstream."""

import random
from collections.abc import Callable

import pytest

from dragonflyhold.balancing import Slowness
from dragonflyhold.balancing.slowness import MAX_AGE_S, MAX_SLOWNESS

# A machine is slowed down for a moment again and again.
BUSY_FACTOR = 2.5
BUSY_S = 0.4
CALM_S = 1.6


def _machine(usual: float, seed: int, duration_s: float) -> Callable[[float], float]:
    """Return the slowness of a machine over time."""
    rng = random.Random(seed)
    changes, at, is_busy = [(0.0, usual)], 0.0, False
    while at < duration_s:
        at += rng.expovariate(1 / (BUSY_S if is_busy else CALM_S))
        is_busy = not is_busy
        changes.append((at, usual * BUSY_FACTOR if is_busy else usual))
    return lambda time: [value for since, value in changes if since <= time][-1]


def _errors(figures_per_s: float, seed: int) -> dict[str, float]:
    """Return the mean squared error for work that begins at random times, by estimate."""
    machine, rng = _machine(1.2, seed, 40.0), random.Random(seed + 100)
    slowness, now, last = Slowness(), 0.0, 1.0
    errors: dict[str, list[float]] = {"expected": [], "last": [], "usual": []}
    while now < 40.0:
        now += rng.expovariate(figures_per_s)
        truth = machine(now)
        if now > 5.0:
            errors["expected"].append((slowness.now(now) - truth) ** 2)
            errors["last"].append((last - truth) ** 2)
            errors["usual"].append((1.0 - truth) ** 2)
        last = truth
        slowness.note(truth, now)
    return {name: sum(values) / len(values) for name, values in errors.items()}


class TestExpectation:
    """What a figure that is noisy and soon out of date is worth."""

    @pytest.mark.parametrize("figures_per_s", [1.0, 4.0])
    def test_it_is_better_than_the_last_figure_and_than_none(self, figures_per_s: float) -> None:
        """Guards against work led by what was true of a machine a second ago."""
        sums = {"expected": 0.0, "last": 0.0, "usual": 0.0}
        for seed in range(10):
            for name, error in _errors(figures_per_s, seed).items():
                sums[name] += error
        assert sums["expected"] < 0.9 * sums["last"]
        assert sums["expected"] < 0.9 * sums["usual"]

    def test_a_lasting_difference_is_learned_from_a_few_figures(self) -> None:
        slowness = Slowness()
        for second in range(5):
            slowness.note(0.55, float(second))
        assert slowness.now(7.0) == pytest.approx(0.62, abs=0.06)

    def test_a_moment_passes(self) -> None:
        slowness = Slowness()
        for second in range(20):
            slowness.note(1.0, float(second))
        slowness.note(3.0, 20.0)
        assert slowness.now(20.0) == pytest.approx(3.0)
        assert slowness.now(22.0) < 1.2

    @pytest.mark.parametrize("figure", [1000.0, 0.0001])
    def test_one_absurd_figure_moves_the_mean_little(self, figure: float) -> None:
        """Guards against an upstream that is left, or overrun, for one odd answer."""
        slowness = Slowness()
        slowness.note(figure, 0.0)
        assert 0.6 < slowness.now(2.0) < 2.1

    def test_without_figures_the_mean_falls_back_to_the_usual(self) -> None:
        """Guards against an upstream that gets nothing, and so can't show that it is fast again."""
        slowness = Slowness()
        for second in range(20):
            slowness.note(3.0, float(second))
        means = [slowness.mean(19.0 + age) for age in (0.0, 10.0, 20.0, MAX_AGE_S)]
        assert means[0] > 2.5
        assert means == sorted(means, reverse=True)
        assert means[2] < 1.8
        assert means[3] == pytest.approx(1.0)

    def test_many_figures_of_one_moment_count_once(self) -> None:
        """Guards against a mean led by whoever sends most at a bad moment."""
        slowness = Slowness()
        for second in range(20):
            slowness.note(1.0, float(second))
        for index in range(50):
            slowness.note(3.0, 20.0 + index / 1000)
        assert slowness.mean(20.1) < 1.2

    def test_gateways_with_other_figures_agree_on_the_class(self) -> None:
        """Guards against homes of adapters that differ by gateway: each is one more fetch."""
        for usual, expected in ((0.55, 0.5), (1.2, 1.0), (2.0, 2.0)):
            changes, steady = 0, set()
            for seed in range(20):
                slowness, rng = Slowness(), random.Random(seed)
                machine = _machine(usual, 1, 60.0)
                now, last = 0.0, slowness.steady
                while now < 59.0:
                    now += rng.expovariate(1.0)
                    slowness.note(machine(now), now)
                    changes += slowness.steady != last
                    last = slowness.steady
                steady.add(last)
            assert steady == {expected}
            assert changes <= 40

    def test_nothing_is_known_without_figures_and_after_a_long_time(self) -> None:
        slowness = Slowness()
        assert slowness.now(5.0) == 1.0
        assert slowness.rounded(5.0) is None
        slowness.note(3.0, 5.0)
        assert slowness.now(5.0 + MAX_AGE_S + 1.0) == 1.0
        assert slowness.mean(5.0 + MAX_AGE_S + 1.0) == 1.0

    def test_absurd_figures_are_bounded(self) -> None:
        slowness = Slowness()
        slowness.note(1e300, 1.0)
        assert slowness.now(1.0) <= MAX_SLOWNESS
        slowness.note(1e-300, 2.0)
        assert slowness.now(2.0) > 0.0

    def test_an_earlier_time_changes_nothing(self) -> None:
        slowness = Slowness()
        slowness.note(2.0, 5.0)
        slowness.note(9.0, 4.0)
        assert slowness.now(5.0) == pytest.approx(2.0)
