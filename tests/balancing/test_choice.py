"""Tests of the choice among upstreams whose loads are known with some delay."""

import random
from collections import Counter

import pytest

from dragonflyhold.balancing import Candidate, choose, choose_for_key, unevenness
from dragonflyhold.hashing import hash64
from tests.balancing.alternatives import least_loaded, two_choices
from tests.balancing.shared_upstreams import Load, load_interpretation, play


def _loaded(*requests: float, age_s: float = 0.1, capacity: float = 64.0) -> list[Candidate]:
    return [Candidate(count, 0, capacity, age_s) for count in requests]


def _chances(candidates: list[Candidate], others_per_s: float) -> list[float]:
    rng = random.Random(1)
    counts = Counter(choose(candidates, others_per_s, rng)[0] for _ in range(4000))
    return [counts[index] / 4000 for index in range(len(candidates))]


class TestChances:
    """Which upstream a request gets from what is known."""

    def test_without_other_gateways_the_least_loaded_one_is_chosen(self) -> None:
        assert _chances(_loaded(3, 2, 9), others_per_s=0.0) == [0.0, 1.0, 0.0]

    def test_fresh_reports_decide_alone(self) -> None:
        assert _chances(_loaded(3, 2, 9, age_s=0.0), others_per_s=50.0) == [0.0, 1.0, 0.0]

    def test_equal_upstreams_share_without_other_gateways(self) -> None:
        assert min(_chances(_loaded(2, 2), others_per_s=0.0)) > 0.45

    def test_upstreams_that_others_fill_up_share(self) -> None:
        """Guards against all gateways sending to the same upstream until its next report."""
        chances = _chances(_loaded(0, 1, 9), others_per_s=10.0)
        assert chances[0] > chances[1] > 0.3
        assert chances[2] == 0.0

    def test_old_reports_leave_the_capacity_to_decide(self) -> None:
        candidates = [Candidate(9, 0, 64.0, 1.0), Candidate(0, 0, 16.0, 1.0)]
        assert _chances(candidates, others_per_s=1000.0)[0] == pytest.approx(0.8, abs=0.03)

    def test_own_requests_count_on_top(self) -> None:
        candidates = [Candidate(2, 3, 64.0, 0.1), Candidate(4, 0, 64.0, 0.1)]
        assert _chances(candidates, others_per_s=0.0) == [0.0, 1.0]

    def test_a_slower_upstream_gets_less_but_not_nothing(self) -> None:
        """Guards against all gateways leaving the same slow upstream together."""
        candidates = [Candidate(8, 0, 64.0, 0.1), Candidate(8, 0, 64.0 / 2.5, 0.1)]
        chances = _chances(candidates, others_per_s=100.0)
        assert 0.05 < chances[1] < 0.3

    def test_the_basis_names_what_decided(self) -> None:
        chosen, basis = choose(_loaded(0, 1, 9), 10.0, random.Random(1))
        assert (basis.candidates, basis.eligible) == (3, 2)
        assert basis.unreported == pytest.approx(6.0)
        assert basis.probability == pytest.approx((3.5 if chosen == 0 else 2.5) / 6.0)

    def test_any_figures_lead_to_a_choice(self) -> None:
        """Rounding must leave the lowest upstream a chance, whatever its handicap is."""
        rng = random.Random(7)
        for _ in range(2000):
            candidates = [
                Candidate(
                    rng.choice((0.0, 1.0, 1e6, rng.random())),
                    rng.choice((0.0, -1.0, 3.0)),
                    rng.choice((1e-3, 1.0, 64.0)),
                    rng.choice((0.0, 1e-9, 0.3, 1.5)),
                    rng.choice((0.0, -0.5, 2.0, 1e9)),
                )
                for _ in range(rng.randrange(1, 9))
            ]
            chosen, basis = choose(candidates, rng.choice((0.0, 1e-12, 4.0, 1e5)), rng)
            assert 0 <= chosen < len(candidates)
            assert 0.0 < basis.probability <= 1.0


class TestNear:
    """Requests stay in their data centre as far as all upstreams are loaded evenly."""

    def _chances(self, loads: list[float], near: set[int], near_share: float) -> list[float]:
        candidates = [
            Candidate(load, 0, 64.0, 0.1, is_near=index in near) for index, load in enumerate(loads)
        ]
        rng = random.Random(1)
        counts = Counter(choose(candidates, 50.0, rng, near_share)[0] for _ in range(4000))
        return [counts[index] / 4000 for index in range(len(loads))]

    def test_requests_stay_if_near_upstreams_have_room_for_their_part(self) -> None:
        """Guards against traffic between data centres that makes no load more even."""
        assert self._chances([2, 2, 2], {1}, 1 / 3) == [0.0, 1.0, 0.0]

    def test_a_part_goes_elsewhere_from_a_data_centre_with_few_upstreams(self) -> None:
        """One of four upstreams for half of the requests: half of these stay."""
        chances = self._chances([2, 2, 2, 2], {0}, 1 / 2)
        assert chances[0] == pytest.approx(0.5, abs=0.03)
        assert min(chances[1:]) > 0.13

    def test_overrun_near_upstreams_get_nothing(self) -> None:
        assert self._chances([500, 2, 2], {0}, 1 / 3)[0] == 0.0

    def test_no_request_stays_where_it_may_wait(self) -> None:
        """Guards against queues where most requests come from one data centre."""
        assert self._chances([50, 45, 45], {0}, 1 / 3)[0] < 1 / 3

    def test_all_data_centres_together_load_evenly(self) -> None:
        zones = ({0}, {1, 2, 3})
        chances = [self._chances([2, 2, 2, 2], zone, 1 / 2) for zone in zones]
        for both in zip(*chances, strict=True):
            assert sum(both) / 2 == pytest.approx(0.25, abs=0.03)


class TestKeys:
    """The place of a replica, which several gateways look for at the same time."""

    HASHES = tuple(hash64(f"u{n}".encode()) for n in range(8))

    def test_gateways_that_know_the_same_agree(self) -> None:
        """Guards against a replica of the same adapter on several upstreams."""
        candidates = _loaded(3, 1, 0, 2, 5, 1, 0, 2)
        choices = {choose_for_key(candidates, self.HASHES, 77, 30.0) for _ in range(5)}
        assert len(choices) == 1

    def test_keys_are_spread(self) -> None:
        """Guards against the replicas of all adapters on the least loaded upstream."""
        candidates = _loaded(3, 3, 3, 3, 3, 3, 0, 60)
        counts = Counter(
            choose_for_key(candidates, self.HASHES, hash64(f"a{n}".encode()), 30.0)
            for n in range(2000)
        )
        assert counts[7] == 0
        assert counts[6] > counts[0] > 100


class TestUnevenness:
    """The figure that operators see."""

    def test_even_loads_are_1_and_idle_ones_too(self) -> None:
        assert unevenness(_loaded(4, 4, 4)) == pytest.approx(1.0)
        assert unevenness(_loaded(0, 0, 0)) == pytest.approx(1.0)

    def test_one_overrun_upstream_shows(self) -> None:
        assert unevenness(_loaded(30, 0, 0)) == pytest.approx(3.0)


class TestLoadPatterns:
    """Loads that made servers overrun in turns; figures of callers, not of the choice."""

    @pytest.mark.parametrize(
        "load",
        [
            Load(30, 28, 0.1, duration_s=6.0),
            Load(30, 28, 0.5, duration_s=6.0),
            Load(300, 28, 0.3, duration_s=6.0),
            Load(300, 600, 0.5, duration_s=3.0),
        ],
        ids=str,
    )
    def test_many_gateways_with_old_reports(self, load: Load) -> None:
        """Guards against queues at some upstreams while others idle."""
        even, before = play(load, load_interpretation), play(load, least_loaded)
        assert even.late < 0.2 * before.late
        assert even.idle_elsewhere < 0.75 * before.idle_elsewhere
        assert even.unevenness < 0.8 * before.unevenness

    @pytest.mark.parametrize("report_s", [0.02, 0.1, 0.5])
    def test_few_gateways_lose_nothing(self, report_s: float) -> None:
        load = Load(3, 3, report_s)
        even, before = play(load, load_interpretation), play(load, least_loaded)
        assert even.late <= before.late + 0.01

    def test_upstreams_of_unequal_speed(self) -> None:
        load = Load(30, 28, 0.3, slowness=(1, 1, 1, 2.5))
        even = play(load, load_interpretation)
        assert even.late < 0.1 * play(load, least_loaded).late
        assert even.late <= play(load, two_choices).late

    def test_adapters_that_tie_requests_to_few_upstreams(self) -> None:
        load = Load(30, 28, 0.3, holders=3)
        even = play(load, load_interpretation)
        assert even.late < 0.5 * play(load, least_loaded).late
        assert even.late <= play(load, two_choices).late

    def test_gateways_with_uneven_shares_of_the_clients(self) -> None:
        """The estimate of the other gateways' rate from the own one is wrong for each then."""
        load = Load(30, 28, 0.3, busy_gateways=3)
        assert play(load, load_interpretation).late < 0.2 * play(load, least_loaded).late
