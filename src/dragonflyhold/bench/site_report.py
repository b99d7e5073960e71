"""Sweeps of the deployment simulation over policies and seeds, with tables and plots."""

import collections
import concurrent.futures
import dataclasses
import importlib
import math
import multiprocessing
import pathlib
import statistics
from collections.abc import Mapping, Sequence
from typing import final

from dragonflyhold.bench.policy_report import percentile
from dragonflyhold.bench.site_model import DeploymentSimulation, RequestRecord, simulate
from dragonflyhold.bench.site_workloads import WARM_UP_S, Cell
from dragonflyhold.errors import UsageError

# Student's t quantiles of two-sided 95 % intervals for 1 to 9 degrees of freedom; 2.0 beyond.
STUDENT_T_975 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
# Adapters with at most this many requests in a run count as rare.
RARE_ADAPTER_MAX_REQUESTS = 2
# Every adapter is loaded on every engine, which no loading policy can surpass.
UPPER_BOUND = "all in place"
BASELINE = "as it is"

Figures = dict[str, float]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A policy constant, by module and name, and the value to try; no module: no change."""

    name: str
    module: str = ""
    constant: str = ""
    value: float = 0.0

    def apply(self) -> None:
        """Set the constant in this process."""
        if self.module:
            setattr(importlib.import_module(self.module), self.constant, self.value)


def parse_policies(text: str) -> list[Policy]:
    """Parse ``module.CONSTANT=value,value``; raise ``UsageError`` if it is invalid."""
    name, _, values = text.partition("=")
    module, _, constant = name.rpartition(".")
    try:
        numbers = [float(value) for value in values.split(",")]
        imported = importlib.import_module(f"dragonflyhold.gateway.{module}")
        getattr(imported, constant)
    except (ValueError, ImportError, AttributeError) as error:
        raise UsageError(f"{text!r}: {error}") from error
    return [
        Policy(f"{constant}={number:g}", imported.__name__, constant, number) for number in numbers
    ]


def run_cell(cell: Cell, policy: Policy) -> Figures:
    """Simulate one cell under one policy."""
    policy.apply()
    return summarize(simulate(cell, unlimited_adapter_slots=policy.name == UPPER_BOUND))


def summarize(simulation: DeploymentSimulation) -> Figures:
    """Return the figures of a finished simulation.

    Shares are relative to the utility or number of all requests after the warm-up.
    """
    measured = [record for record in simulation.records if record.arrival.at >= WARM_UP_S]
    by_class: dict[str, list[RequestRecord]] = collections.defaultdict(list)
    requests: collections.Counter[object] = collections.Counter()
    for record in measured:
        by_class[record.arrival.request_class.name].append(record)
        requests[record.arrival.adapter] += 1
    rare = [
        record
        for record in measured
        if record.arrival.adapter and requests[record.arrival.adapter] <= RARE_ADAPTER_MAX_REQUESTS
    ]
    by_second: dict[int, list[RequestRecord]] = collections.defaultdict(list)
    for record in measured:
        by_second[int(record.arrival.at)].append(record)
    first_event_times = [r.first_event_s for r in measured if r.first_event_s is not None]
    answered = sum(record.outcome == "answered" for record in measured)
    return {
        "worth": utility_share(measured),
        "worst class": min(utility_share(group) for group in by_class.values()),
        "worst second": min(utility_share(group) for group in by_second.values()),
        "rare adapters": utility_share(rare) if rare else math.nan,
        "answered": answered / len(measured),
        "refused once": sum(record.attempts > 1 for record in measured) / len(measured),
        "first_p50_s": percentile(first_event_times, 0.5),
        "first_p95_s": percentile(first_event_times, 0.95),
        "cold loads": float(sum(model.store_loads for model in simulation.models)),
        "warm loads": float(sum(model.host_cached_loads for model in simulation.models)),
    }


def utility_share(records: Sequence[RequestRecord]) -> float:
    """Return the utility achieved, as a share of the utility if all had been in time."""
    return sum(r.utility for r in records) / sum(r.arrival.request_class.utility for r in records)


def sweep(
    cells: Sequence[Cell], policies: Sequence[Policy], processes: int
) -> dict[str, dict[str, list[Figures]]]:
    """Return the figures of each seed by cell name and policy name.

    Each simulation runs in a new process, because policies set constants of a whole process.
    """
    jobs = [(cell, policy) for cell in cells for policy in policies]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        processes, mp_context=context, max_tasks_per_child=1
    ) as pool:
        figures = list(pool.map(run_cell, [job[0] for job in jobs], [job[1] for job in jobs]))
    results: dict[str, dict[str, list[Figures]]] = {}
    for (cell, policy), run_figures in zip(jobs, figures, strict=True):
        results.setdefault(cell.name, {}).setdefault(policy.name, []).append(run_figures)
    return results


def mean_and_interval(values: Sequence[float]) -> tuple[float, float]:
    """Return the mean and the half-width of its 95 % interval, which is 0 for a single value."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, 0.0
    degrees_of_freedom = len(values) - 1
    quantile = (
        STUDENT_T_975[degrees_of_freedom - 1] if degrees_of_freedom <= len(STUDENT_T_975) else 2.0
    )
    return mean, quantile * statistics.stdev(values) / math.sqrt(len(values))


def format_sweep(results: Mapping[str, Mapping[str, Sequence[Figures]]]) -> str:
    """Return a table of means over the seeds, one line per cell and policy."""
    figure_names = list(next(iter(next(iter(results.values())).values()))[0])
    lines = ["cell | policy | seeds | " + " | ".join(figure_names)]
    for cell, policies in results.items():
        for policy, runs in policies.items():
            fields = [cell, policy, str(len(runs))]
            for name in figure_names:
                mean, half_width = mean_and_interval([run[name] for run in runs])
                fields.append(f"{mean:.3f} ± {half_width:.3f}")
            lines.append(" | ".join(fields))
    return "\n".join(lines)


def plot_sweep(results: Mapping[str, Mapping[str, Sequence[Figures]]], path: pathlib.Path) -> None:
    """Plot the utility of each policy by cell with its interval; needs the extra ``bench``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    policies = list(dict.fromkeys(name for cell in results.values() for name in cell))
    figure, axes = pyplot.subplots(figsize=(9, 1.5 + 0.3 * len(results) * len(policies)))
    height = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        rows = [row for row, cell in enumerate(results.values()) if policy in cell]
        groups = [cell[policy] for cell in results.values() if policy in cell]
        intervals = [mean_and_interval([run["worth"] for run in runs]) for runs in groups]
        axes.barh(
            [row + number * height for row in rows],
            [mean for mean, _ in intervals],
            xerr=[half_width for _, half_width in intervals],
            height=height,
            label=policy,
        )
    axes.set_yticks(range(len(results)), list(results), fontsize=7)
    axes.set_xlabel("achieved share of the possible utility")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
