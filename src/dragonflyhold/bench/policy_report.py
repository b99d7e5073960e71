"""Figures, tables, comparisons and plots of policy simulations."""

import collections
import json
import math
import pathlib
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from dragonflyhold.bench.policy_model import Simulation
from dragonflyhold.bench.policy_workloads import RUN_S, WARM_UP_S, Request, disturbance_time

# Time after the disturbance that the figures report as ``first_minute``.
RECOVERY_S = 60.0
Figures = dict[str, Any]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)]


def charged_stall_s(request: Request) -> float:
    """Return the stall time of a request; an unserved interactive one is charged its deadline.

    Otherwise a policy could lower its stall time by refusing requests.
    """
    if request.kind.batch or request.outcome in ("done", ""):
        return request.stall_s
    return max(request.stall_s, request.kind.deadline_s)


def summarize(sim: Simulation) -> Figures:
    """Return the figures of a finished simulation."""
    disturbance_at = disturbance_time(sim.cell)
    measured = [request for request in sim.requests if request.arrival >= WARM_UP_S]
    measured_s = RUN_S - WARM_UP_S
    kinds = {kind.name: kind for kind in sim.deployment.kinds}
    interactive = [request for request in measured if not request.kind.batch]
    later_s = RUN_S - disturbance_at - RECOVERY_S
    figures: Figures = {
        "kinds": {
            name: _kind_figures([r for r in measured if r.kind.name == name]) for name in kinds
        },
        "stall_s": sum(request.stall_s for request in interactive),
        "charged_stall_s": sum(charged_stall_s(request) for request in interactive),
        "stall_per_s": {
            "before": _stall_rate(interactive, WARM_UP_S, disturbance_at),
            "first_minute": _stall_rate(interactive, disturbance_at, disturbance_at + RECOVERY_S),
            "later": _stall_rate(
                interactive, disturbance_at + RECOVERY_S, disturbance_at + RECOVERY_S + later_s
            ),
        },
        "batch_efficiency": _batch_efficiency(sim),
        "loads_per_s": sum(started_at >= WARM_UP_S for started_at in sim.counters.load_times)
        / measured_s,
        "load_failures": sim.counters.load_failures,
        "evictions_per_s": sum(
            started_at >= WARM_UP_S for started_at in sim.counters.eviction_times
        )
        / measured_s,
        "tokens_per_s": sum(r.tokens for r in measured if r.outcome == "done") / measured_s,
    }
    mean_stall = figures["charged_stall_s"] / max(len(interactive), 1)
    figures["cost"] = sim.deployment.load_stall_weight * mean_stall + (
        sim.deployment.batch_efficiency_weight * (1.0 - figures["batch_efficiency"])
    )
    return figures


def mean_figures(runs: Iterable[Figures]) -> Figures:
    """Return the mean of every figure over runs; missing figures count as 0."""
    run_figures = list(runs)
    result: Figures = {}
    keys = dict.fromkeys(key for figures in run_figures for key in figures)
    for key in keys:
        values = [figures.get(key, 0) for figures in run_figures]
        if any(isinstance(value, dict) for value in values):
            result[key] = mean_figures(value or {} for value in values)
        else:
            result[key] = statistics.fmean(values)
    return result


def format_table(results: Mapping[str, Mapping[str, Figures]]) -> str:
    """Return a table with one line per cell and policy."""
    lines = [
        f"{'cell':<44} {'policy':<16} {'stall s':>8} {'charged':>8} {'before':>7} {'+60 s':>7} "
        f"{'later':>7} {'eff':>6} {'loads':>6} {'evict':>6} {'TTFT95':>7} "
        f"{'refused':>8} {'cost':>6}"
    ]
    for cell, policies in results.items():
        for policy, figures in policies.items():
            lines.append(_format_line(cell, policy, figures))
    return "\n".join(lines)


def compare_results(old: Mapping[str, Any], new: Mapping[str, Any], policy: str) -> str:
    """Return a table of one policy's figures in two result files."""
    lines = [f"{'cell':<44} {'charged stall s':>22} {'efficiency':>16} {'cost':>16}"]
    for cell, policies in new["results"].items():
        old_figures = old["results"].get(cell, {}).get(policy)
        new_figures = policies.get(policy)
        if old_figures is None or new_figures is None:
            continue
        lines.append(
            f"{cell:<44} {old_figures['charged_stall_s']:>10.1f} "
            f"->{new_figures['charged_stall_s']:>9.1f} "
            f"{old_figures['batch_efficiency']:>7.3f} "
            f"->{new_figures['batch_efficiency']:>6.3f} "
            f"{old_figures['cost']:>7.3f} ->{new_figures['cost']:>6.3f}"
        )
    return "\n".join(lines)


def plot_results(results: Mapping[str, Mapping[str, Figures]], path: pathlib.Path) -> None:
    """Plot the charged stall time per cell and policy; needs the extra ``bench``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    policies = list(dict.fromkeys(name for cell in results.values() for name in cell))
    figure, axes = pyplot.subplots(figsize=(10, 1 + 0.5 * len(results) * len(policies) / 3))
    height = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        values = [results[cell].get(policy, {}).get("charged_stall_s", 0.0) for cell in results]
        positions = [row + number * height for row in range(len(results))]
        axes.barh(positions, values, height=height, label=policy)
    axes.set_yticks(range(len(results)), list(results), fontsize=6)
    axes.set_xscale("symlog")
    axes.set_xlabel("charged load stall seconds of interactive kinds")
    axes.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def load_results(path: pathlib.Path) -> dict[str, Any]:
    """Read a result file of ``bench policy``."""
    data: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    return data


def _kind_figures(requests: Sequence[Request]) -> Figures:
    stalls = [request.stall_s for request in requests]
    first_token_times = [r.first_token - r.arrival for r in requests if r.first_token is not None]
    refused = collections.Counter(r.outcome for r in requests if r.outcome not in ("done", ""))
    return {
        "requests": len(requests),
        "stalled": sum(stall > 0 for stall in stalls),
        "stall_s": sum(stalls),
        "stall_p50_s": percentile(stalls, 0.5),
        "stall_p95_s": percentile(stalls, 0.95),
        "stall_p99_s": percentile(stalls, 0.99),
        "first_token_p50_s": percentile(first_token_times, 0.5),
        "first_token_p95_s": percentile(first_token_times, 0.95),
        "first_token_p99_s": percentile(first_token_times, 0.99),
        "refused": dict(sorted(refused.items())),
    }


def _stall_rate(requests: Sequence[Request], start: float, end: float) -> float:
    total = sum(charged_stall_s(r) for r in requests if start <= r.arrival < end)
    return total / max(end - start, 1e-9)


def _batch_efficiency(sim: Simulation) -> float:
    batch_fill_s = sum(v for second, v in sim.counters.batch_fill_s.items() if second >= WARM_UP_S)
    busy_s = sum(v for second, v in sim.counters.busy_s.items() if second >= WARM_UP_S)
    return batch_fill_s / busy_s if busy_s else 0.0


def _format_line(cell: str, policy: str, figures: Figures) -> str:
    kinds = figures["kinds"].values()
    refused = sum(sum(kind["refused"].values()) for kind in kinds)
    # Deployments list the most interactive kind first.
    first_token_p95_s = next(iter(kinds))["first_token_p95_s"]
    rates = figures["stall_per_s"]
    return (
        f"{cell:<44} {policy:<16} {figures['stall_s']:>8.1f} {figures['charged_stall_s']:>8.1f} "
        f"{rates['before']:>7.2f} {rates['first_minute']:>7.2f} {rates['later']:>7.2f} "
        f"{figures['batch_efficiency']:>6.3f} {figures['loads_per_s']:>6.2f} "
        f"{figures['evictions_per_s']:>6.2f} {first_token_p95_s:>7.2f} {refused:>8.1f} "
        f"{figures['cost']:>6.3f}"
    )
