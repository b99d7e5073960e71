"""Measures a deployment on loopback and compares it with direct access to its engines."""

import dataclasses
import pathlib
import time
from collections.abc import Callable
from typing import Any, final

import urllib3

from dragonflyhold.bench.load import LoadOptions, LoadResult, Target, run_load
from dragonflyhold.bench.process_cost import CostSample, mean_cost, sample
from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.plans import DeploymentPlan
from dragonflyhold.errors import DragonflyholdError

KIND = "question"
TIMEOUT_S = 30.0
WARM_UP_S = 5.0
# Time for start-up work to finish before the idle measurement.
STARTUP_SETTLE_S = 5.0
IDLE_S = 10.0
EXTRA_THREADS = 16
# Request rate of the latency comparison, as a share of the rate at saturation.
LATENCY_RATE_SHARE = 0.1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Results of the same load through entries and directly on engines."""

    entry: LoadResult
    engine: LoadResult

    def to_json(self) -> dict[str, Any]:
        """Return both results, the throughput ratio and the added latency."""
        entry, engine = self.entry.to_json(), self.engine.to_json()
        return {
            "entry": entry,
            "engine": engine,
            "tokens_per_s_ratio": _ratio(entry["tokens_per_s"], engine["tokens_per_s"]),
            "added_first_token_p95_ms": _added_p95(entry, engine, "first_token_ms"),
            "added_between_tokens_p95_ms": _added_p95(entry, engine, "between_tokens_ms"),
        }


def measure(
    plan: DeploymentPlan,
    examples: pathlib.Path,
    directory: pathlib.Path,
    options: LoadOptions,
    report: Callable[[str], None],
) -> dict[str, Any]:
    """Start a deployment and measure it idle, at saturation and at a tenth of that rate.

    Replaces the targets in ``options``. Uses only as many adapters as one engine has slots, so that
    no adapter loads are measured.
    """
    # Each open stream occupies a thread of an entry; with too few threads, streams would queue.
    threads = {"http.threads": options.concurrency + EXTRA_THREADS}
    with Deployment(plan, examples, directory, entry_settings=threads) as deployment:
        deployment.start()
        deployment.configure()
        report("measuring idle daemons")
        cost_meter = _CostMeter(deployment)
        time.sleep(STARTUP_SETTLE_S)
        cost_meter.begin()
        time.sleep(IDLE_S)
        idle = cost_meter.end()
        via_entries = dataclasses.replace(options, targets=_entry_targets(deployment), kind=KIND)
        report("warming up")
        run_load(dataclasses.replace(via_entries, duration_s=WARM_UP_S))
        report("measuring at saturation through the entries")
        cost_meter.begin()
        saturated = run_load(via_entries)
        busy = cost_meter.end(len(saturated.answered))
        rate = LATENCY_RATE_SHARE * len(saturated.answered) / saturated.elapsed_s
        report(f"measuring at {rate:.2f} requests/s through the entries")
        at_low_rate = run_load(dataclasses.replace(via_entries, rate_per_s=rate))
        direct = dataclasses.replace(options, targets=_engine_targets(deployment))
        report("measuring at saturation directly")
        saturated_direct = run_load(direct)
        report(f"measuring at {rate:.2f} requests/s directly")
        at_low_rate_direct = run_load(dataclasses.replace(direct, rate_per_s=rate))
    return {
        "entries": plan.entries,
        "upstreams": len(list(plan.upstreams())),
        "engine_tokens_per_s": plan.tokens_per_s,
        "concurrency": options.concurrency,
        "duration_s": options.duration_s,
        "max_tokens": options.max_tokens,
        "idle": idle,
        "busy": busy,
        "saturation": Comparison(saturated, saturated_direct).to_json(),
        "tenth": Comparison(at_low_rate, at_low_rate_direct).to_json(),
    }


@final
class _CostMeter:
    """Measures the cost of a deployment's daemons between ``begin`` and ``end``."""

    def __init__(self, deployment: Deployment) -> None:
        self._groups = {
            "entry": [entry.process for entry in deployment.entries],
            "sidecar": [sidecar.process for sidecar in deployment.sidecars.values()],
        }
        self._before: dict[str, CostSample] = {}

    def begin(self) -> None:
        """Take the first sample."""
        self._before = {name: sample(group) for name, group in self._groups.items()}

    def end(self, requests: int = 0) -> dict[str, dict[str, Any]]:
        """Return the mean cost per process of each daemon type since ``begin``."""
        return {
            name: mean_cost(self._before[name], sample(group), requests)
            for name, group in self._groups.items()
        }


def _entry_targets(deployment: Deployment) -> tuple[Target, ...]:
    service = deployment.plan.engine_service
    return tuple(
        Target(entry.url, f"{service.name}/{name}:1")
        for name in service.adapter_names()[: deployment.plan.slots]
        for entry in deployment.entries
    )


def _engine_targets(deployment: Deployment) -> tuple[Target, ...]:
    """Return the adapters loaded by the sidecars, by their names in the engines."""
    targets = []
    for sidecar in deployment.sidecars.values():
        url = sidecar.upstream.url
        if sidecar.plan.service is deployment.plan.engine_service:
            response = urllib3.request("GET", f"{url}/v1/status", timeout=TIMEOUT_S, retries=False)
            targets += [Target(url, str(item["name"])) for item in response.json()["adapters"]]
    if not targets:
        raise DragonflyholdError(
            "no engine has a loaded adapter; check that requests reach an engine"
        )
    return tuple(targets)


def _ratio(value: Any, base: Any) -> float:
    return round(value / base, 3) if base else 0.0


def _added_p95(entry: dict[str, Any], engine: dict[str, Any], name: str) -> float:
    return round(entry[name]["p95"] - engine[name]["p95"], 2)
