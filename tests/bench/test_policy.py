"""Tests for the policy simulation."""

import dataclasses

import pytest

from dragonflyhold.bench.policy_baselines import POLICY_NAMES, make_policy
from dragonflyhold.bench.policy_model import Simulation
from dragonflyhold.bench.policy_report import charged_stall_s, mean_figures, percentile, summarize
from dragonflyhold.bench.policy_workloads import Cell, Disturbance, make_requests
from dragonflyhold.settings.model import RoutingSettings, SlotSettings

CELL = Cell(
    deployment="association-night",
    disturbance=Disturbance.SHIFT,
    level=0.25,
    zipf=1.0,
    seed=1,
)


def run(cell: Cell, policy: str = "product") -> Simulation:
    sim = Simulation(cell, make_policy(policy), SlotSettings(), RoutingSettings())
    sim.run()
    return sim


class TestSimulation:
    """Guards against figures that are not reproducible, lost requests and exceeded load rates."""

    def test_same_seed_gives_same_figures(self) -> None:
        assert summarize(run(CELL)) == summarize(run(CELL))

    def test_different_seed_gives_different_requests(self) -> None:
        other = dataclasses.replace(CELL, seed=2)
        assert make_requests(CELL)[0].arrival != make_requests(other)[0].arrival

    @pytest.mark.parametrize("policy", POLICY_NAMES)
    def test_every_policy_serves_light_load(self, policy: str) -> None:
        sim = run(CELL, policy)
        interactive = [r for r in sim.requests if not r.kind.batch and r.arrival < 290.0]
        assert all(request.outcome == "done" for request in interactive)
        assert all(upstream.queued >= 0 for upstream in sim.upstreams.values())

    @pytest.mark.parametrize("disturbance", list(Disturbance))
    def test_entries_count_only_open_requests(self, disturbance: Disturbance) -> None:
        sim = run(dataclasses.replace(CELL, disturbance=disturbance))
        open_requests = sum(r.outcome == "" for r in sim.requests)
        counted = sum(
            row.own_requests for t in sim.tables for row in t.rows(sim.requests[0].key.service)
        )
        assert 0 <= counted <= open_requests

    def test_loads_respect_load_budget(self) -> None:
        sim = run(dataclasses.replace(CELL, level=3.0))
        load_times = sim.counters.load_times
        budget = sim.deployment.budget
        for first in range(0, len(load_times), 7):
            for last in range(first, min(first + 100, len(load_times))):
                allowed = budget.burst + budget.loads_per_s * (load_times[last] - load_times[first])
                # The grants of one reply may be used a tick and a round trip apart.
                assert last - first + 1 <= allowed + 1


class TestFigures:
    """Guards against policies whose figures improve when they refuse requests."""

    def test_refused_request_is_charged_its_deadline(self) -> None:
        request = next(r for r in make_requests(CELL) if not r.kind.batch)
        request.outcome = "queue_full"
        assert charged_stall_s(request) == request.kind.deadline_s
        request.outcome = "done"
        assert charged_stall_s(request) == 0.0

    def test_percentile_is_nearest_rank(self) -> None:
        assert percentile([4.0, 1.0, 3.0, 2.0], 0.5) == 2.0
        assert percentile([4.0, 1.0, 3.0, 2.0], 0.99) == 4.0
        assert percentile([], 0.5) == 0.0

    def test_mean_counts_missing_refusals_as_zero(self) -> None:
        mean = mean_figures([{"refused": {"queue_full": 4}}, {"refused": {}}])
        assert mean == {"refused": {"queue_full": 2.0}}
