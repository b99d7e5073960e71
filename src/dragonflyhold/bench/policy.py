"""Runs the policy simulation over cells, policies and seeds."""

import concurrent.futures
import multiprocessing
from collections.abc import Iterator, Sequence
from typing import Any

from dragonflyhold.bench.policy_baselines import make_policy
from dragonflyhold.bench.policy_model import Simulation
from dragonflyhold.bench.policy_report import Figures, mean_figures, summarize
from dragonflyhold.bench.policy_workloads import Cell, Disturbance
from dragonflyhold.settings.model import RoutingSettings, SlotSettings

# Request rate factors below and above the rate that the weight store can sustain.
LEVELS = (0.5, 3.0)
# Exponents of the Zipf distribution of adapter popularity.
ZIPFS = (1.0, 1.2)


def run_cell(cell: Cell, policy_name: str) -> Figures:
    """Simulate one cell under one policy."""
    sim = Simulation(cell, make_policy(policy_name), SlotSettings(), RoutingSettings())
    sim.run()
    return summarize(sim)


def make_cells(
    deployments: Sequence[str],
    disturbances: Sequence[Disturbance],
    levels: Sequence[float],
    zipfs: Sequence[float],
    seeds: Sequence[int],
) -> Iterator[Cell]:
    """Yield a cell for each combination of the parameters."""
    for deployment in deployments:
        for disturbance in disturbances:
            for level in levels:
                for zipf in zipfs:
                    for seed in seeds:
                        yield Cell(
                            deployment=deployment,
                            disturbance=disturbance,
                            level=level,
                            zipf=zipf,
                            seed=seed,
                        )


def run_cells(
    cells: Sequence[Cell], policies: Sequence[str], processes: int
) -> dict[str, dict[str, Any]]:
    """Return the mean figures by cell name and policy, with ``processes`` runs in parallel."""
    jobs = [(cell, policy) for cell in cells for policy in policies]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, mp_context=context) as pool:
        figures = list(
            pool.map(run_cell, [cell for cell, _ in jobs], [policy for _, policy in jobs])
        )
    groups: dict[str, dict[str, list[Figures]]] = {}
    for (cell, policy), result in zip(jobs, figures, strict=True):
        groups.setdefault(cell.name, {}).setdefault(policy, []).append(result)
    return {
        cell: {policy: mean_figures(runs) for policy, runs in by_policy.items()}
        for cell, by_policy in groups.items()
    }
