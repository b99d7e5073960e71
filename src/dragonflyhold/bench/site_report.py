"""Sweeps days of the site model over policies and seeds; figures with intervals, and plots."""

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
from dragonflyhold.bench.site_model import Served, SiteDay, play_day
from dragonflyhold.bench.site_workloads import WARM_UP_S, Cell
from dragonflyhold.errors import UsageError

# Two-sided 95 % quantiles of Student's distribution for 1 to 9 degrees of freedom; 2 beyond.
STUDENT = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
# Adapters asked for at most this often in a day count as rare.
RARE_CALLS = 2
# Every adapter in place on every engine: no policy of loads can do better.
BOUND = "all in place"
BASELINE = "as it is"

Figures = dict[str, float]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A constant of the decision code, by module and name, and the value to try."""

    name: str
    module: str = ""
    constant: str = ""
    value: float = 0.0

    def apply(self) -> None:
        """Set the constant in this process."""
        if self.module:
            setattr(importlib.import_module(self.module), self.constant, self.value)


def parse_policies(text: str) -> list[Policy]:
    """Return the policies of ``module.CONSTANT=value,value``; raise ``UsageError``."""
    name, _, values = text.partition("=")
    module, _, constant = name.rpartition(".")
    try:
        numbers = [float(value) for value in values.split(",")]
        found = importlib.import_module(f"dragonflyhold.gateway.{module}")
        getattr(found, constant)
    except (ValueError, ImportError, AttributeError) as error:
        raise UsageError(f"{text!r}: {error}") from error
    return [
        Policy(f"{constant}={number:g}", found.__name__, constant, number) for number in numbers
    ]


def run_day(cell: Cell, policy: Policy) -> Figures:
    """Play one day under one policy."""
    policy.apply()
    return summarize(play_day(cell, unlimited_adapter_slots=policy.name == BOUND))


def summarize(day: SiteDay) -> Figures:
    """Return the figures of a played day; shares are of the worth or the number asked for."""
    measured = [served for served in day.served if served.arrival.at >= WARM_UP_S]
    by_class: dict[str, list[Served]] = collections.defaultdict(list)
    calls: collections.Counter[object] = collections.Counter()
    for served in measured:
        by_class[served.arrival.kind.name].append(served)
        calls[served.arrival.adapter] += 1
    rare = [s for s in measured if s.arrival.adapter and calls[s.arrival.adapter] <= RARE_CALLS]
    seconds: dict[int, list[Served]] = collections.defaultdict(list)
    for served in measured:
        seconds[int(served.arrival.at)].append(served)
    firsts = [s.first_s for s in measured if s.first_s is not None]
    answered = sum(served.outcome == "answered" for served in measured)
    return {
        "worth": utility_share(measured),
        "worst class": min(utility_share(group) for group in by_class.values()),
        "worst second": min(utility_share(group) for group in seconds.values()),
        "rare adapters": utility_share(rare) if rare else math.nan,
        "answered": answered / len(measured),
        "refused once": sum(served.calls > 1 for served in measured) / len(measured),
        "first_p50_s": percentile(firsts, 0.5),
        "first_p95_s": percentile(firsts, 0.95),
        "cold loads": float(sum(model.store_loads for model in day.models)),
        "warm loads": float(sum(model.host_cached_loads for model in day.models)),
    }


def utility_share(group: Sequence[Served]) -> float:
    """Return what was earned of what was asked for."""
    return sum(s.utility for s in group) / sum(s.arrival.kind.utility for s in group)


def sweep(
    cells: Sequence[Cell], policies: Sequence[Policy], processes: int
) -> dict[str, dict[str, list[Figures]]]:
    """Return the figures of each seed by cell name and policy.

    Each day runs in a process of its own, as policies set constants for a whole process.
    """
    jobs = [(cell, policy) for cell in cells for policy in policies]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        processes, mp_context=context, max_tasks_per_child=1
    ) as pool:
        figures = list(pool.map(run_day, [job[0] for job in jobs], [job[1] for job in jobs]))
    results: dict[str, dict[str, list[Figures]]] = {}
    for (cell, policy), day in zip(jobs, figures, strict=True):
        results.setdefault(cell.name, {}).setdefault(policy.name, []).append(day)
    return results


def interval(values: Sequence[float]) -> tuple[float, float]:
    """Return the mean and the half-width of its 95 % interval, 0 for a single value."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, 0.0
    degrees = len(values) - 1
    quantile = STUDENT[degrees - 1] if degrees <= len(STUDENT) else 2.0
    return mean, quantile * statistics.stdev(values) / math.sqrt(len(values))


def format_sweep(results: Mapping[str, Mapping[str, Sequence[Figures]]]) -> str:
    """Return a table, one line per cell and policy; the figures are means over the seeds."""
    names = list(next(iter(next(iter(results.values())).values()))[0])
    lines = ["cell | policy | seeds | " + " | ".join(names)]
    for cell, policies in results.items():
        for policy, days in policies.items():
            fields = [cell, policy, str(len(days))]
            for name in names:
                mean, half = interval([day[name] for day in days])
                fields.append(f"{mean:.3f} ± {half:.3f}")
            lines.append(" | ".join(fields))
    return "\n".join(lines)


def plot_sweep(results: Mapping[str, Mapping[str, Sequence[Figures]]], path: pathlib.Path) -> None:
    """Draw the worth of each policy by cell, with its interval; needs the extra ``bench``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    policies = list(dict.fromkeys(name for cell in results.values() for name in cell))
    figure, axes = pyplot.subplots(figsize=(9, 1.5 + 0.3 * len(results) * len(policies)))
    height = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        rows = [row for row, cell in enumerate(results.values()) if policy in cell]
        days = [cell[policy] for cell in results.values() if policy in cell]
        figures = [interval([day["worth"] for day in group]) for group in days]
        axes.barh(
            [row + number * height for row in rows],
            [mean for mean, _ in figures],
            xerr=[half for _, half in figures],
            height=height,
            label=policy,
        )
    axes.set_yticks(range(len(results)), list(results), fontsize=7)
    axes.set_xlabel("worth earned of worth asked for")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
