"""Turns runs of the policy harness into figures, tables, comparisons and plots."""

import collections
import json
import math
import pathlib
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from dragonflyhold.bench.policy_model import Simulation
from dragonflyhold.bench.policy_workloads import RUN_S, WARM_UP_S, Request, disturbed_at

RECOVERY_S = 60.0
Figures = dict[str, Any]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile, 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)]


def charged_stall_s(request: Request) -> float:
    """Return the time an interactive request stalled; one that was not served costs its deadline.

    Otherwise a policy could lower its stalls by refusing requests.
    """
    if request.kind.batch or request.outcome in ("done", ""):
        return request.stall_s
    return max(request.stall_s, request.kind.deadline_s)


def summarize(sim: Simulation) -> Figures:
    """Return the figures of a finished run."""
    moment = disturbed_at(sim.cell)
    measured = [request for request in sim.requests if request.arrival >= WARM_UP_S]
    span = RUN_S - WARM_UP_S
    kinds = {kind.name: kind for kind in sim.deployment.kinds}
    interactive = [request for request in measured if not request.kind.batch]
    after = RUN_S - moment - RECOVERY_S
    figures: Figures = {
        "kinds": {
            name: _kind_figures([r for r in measured if r.kind.name == name]) for name in kinds
        },
        "stall_s": sum(request.stall_s for request in interactive),
        "charged_stall_s": sum(charged_stall_s(request) for request in interactive),
        "stall_per_s": {
            "before": _rate(interactive, WARM_UP_S, moment),
            "first_minute": _rate(interactive, moment, moment + RECOVERY_S),
            "later": _rate(interactive, moment + RECOVERY_S, moment + RECOVERY_S + after),
        },
        "batch_efficiency": _efficiency(sim),
        "loads_per_s": sum(at >= WARM_UP_S for at in sim.counters.loads) / span,
        "load_failures": sim.counters.load_failures,
        "evictions_per_s": sum(at >= WARM_UP_S for at in sim.counters.evictions) / span,
        "tokens_per_s": sum(r.tokens for r in measured if r.outcome == "done") / span,
    }
    mean_stall = figures["charged_stall_s"] / max(len(interactive), 1)
    figures["cost"] = sim.deployment.load_stall_weight * mean_stall + (
        sim.deployment.batch_efficiency_weight * (1.0 - figures["batch_efficiency"])
    )
    return figures


def mean_figures(runs: Iterable[Figures]) -> Figures:
    """Return the mean over seeds of every figure, key by key."""
    groups = list(runs)
    result: Figures = {}
    keys = dict.fromkeys(key for group in groups for key in group)
    for key in keys:
        values = [group.get(key, 0) for group in groups]
        if any(isinstance(value, dict) for value in values):
            result[key] = mean_figures(value or {} for value in values)
        else:
            result[key] = statistics.fmean(values)
    return result


def format_table(results: Mapping[str, Mapping[str, Figures]]) -> str:
    """Return one line per cell and policy."""
    lines = [
        f"{'cell':<44} {'policy':<16} {'stall s':>8} {'charged':>8} {'before':>7} {'+60 s':>7} "
        f"{'later':>7} {'eff':>6} {'loads':>6} {'evict':>6} {'TTFT95':>7} "
        f"{'refused':>8} {'cost':>6}"
    ]
    for cell, policies in results.items():
        for policy, figures in policies.items():
            lines.append(_format_line(cell, policy, figures))
    return "\n".join(lines)


def compare(old: Mapping[str, Any], new: Mapping[str, Any], policy: str) -> str:
    """Return the change of one policy's figures between two runs of the harness."""
    lines = [f"{'cell':<44} {'charged stall s':>22} {'efficiency':>16} {'cost':>16}"]
    for cell, policies in new["results"].items():
        before = old["results"].get(cell, {}).get(policy)
        after = policies.get(policy)
        if before is None or after is None:
            continue
        lines.append(
            f"{cell:<44} {before['charged_stall_s']:>10.1f} ->{after['charged_stall_s']:>9.1f} "
            f"{before['batch_efficiency']:>7.3f} ->{after['batch_efficiency']:>6.3f} "
            f"{before['cost']:>7.3f} ->{after['cost']:>6.3f}"
        )
    return "\n".join(lines)


def plot(results: Mapping[str, Mapping[str, Figures]], path: pathlib.Path) -> None:
    """Draw charged stall seconds per cell and policy; needs the extra ``bench``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    policies = list(dict.fromkeys(name for cell in results.values() for name in cell))
    figure, axes = pyplot.subplots(figsize=(10, 1 + 0.5 * len(results) * len(policies) / 3))
    height = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        values = [results[cell].get(policy, {}).get("charged_stall_s", 0.0) for cell in results]
        places = [row + number * height for row in range(len(results))]
        axes.barh(places, values, height=height, label=policy)
    axes.set_yticks(range(len(results)), list(results), fontsize=6)
    axes.set_xscale("symlog")
    axes.set_xlabel("charged load stall seconds of interactive kinds")
    axes.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def load(path: pathlib.Path) -> dict[str, Any]:
    """Read the JSON file of an earlier run."""
    data: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    return data


def _kind_figures(requests: Sequence[Request]) -> Figures:
    stalls = [request.stall_s for request in requests]
    served = [r.first_token - r.arrival for r in requests if r.first_token is not None]
    refused = collections.Counter(r.outcome for r in requests if r.outcome not in ("done", ""))
    return {
        "requests": len(requests),
        "stalled": sum(stall > 0 for stall in stalls),
        "stall_s": sum(stalls),
        "stall_p50_s": percentile(stalls, 0.5),
        "stall_p95_s": percentile(stalls, 0.95),
        "stall_p99_s": percentile(stalls, 0.99),
        "first_token_p50_s": percentile(served, 0.5),
        "first_token_p95_s": percentile(served, 0.95),
        "first_token_p99_s": percentile(served, 0.99),
        "refused": dict(sorted(refused.items())),
    }


def _rate(requests: Sequence[Request], start: float, end: float) -> float:
    total = sum(charged_stall_s(r) for r in requests if start <= r.arrival < end)
    return total / max(end - start, 1e-9)


def _efficiency(sim: Simulation) -> float:
    running = sum(v for second, v in sim.counters.running.items() if second >= WARM_UP_S)
    busy = sum(v for second, v in sim.counters.busy.items() if second >= WARM_UP_S)
    return running / busy if busy else 0.0


def _format_line(cell: str, policy: str, figures: Figures) -> str:
    kinds = figures["kinds"].values()
    refused = sum(sum(kind["refused"].values()) for kind in kinds)
    # The kinds of a deployment are listed with the most interactive one first.
    first = next(iter(kinds))["first_token_p95_s"]
    rates = figures["stall_per_s"]
    return (
        f"{cell:<44} {policy:<16} {figures['stall_s']:>8.1f} {figures['charged_stall_s']:>8.1f} "
        f"{rates['before']:>7.2f} {rates['first_minute']:>7.2f} {rates['later']:>7.2f} "
        f"{figures['batch_efficiency']:>6.3f} {figures['loads_per_s']:>6.2f} "
        f"{figures['evictions_per_s']:>6.2f} {first:>7.2f} {refused:>8.1f} {figures['cost']:>6.3f}"
    )
