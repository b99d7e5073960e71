"""Measures a deployment on loopback through its entry, and its engine directly for a ratio."""

import dataclasses
import pathlib
from collections.abc import Callable
from typing import Any, final

import urllib3

from dragonflyhold.bench.load import LoadOptions, LoadResult, run_load
from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.plans import DeploymentPlan
from dragonflyhold.errors import DragonflyholdError

KIND = "question"
LOAD_TIMEOUT_S = 30.0
WARM_UP_S = 5.0
# Load at which the added latency is stated, as a share of the rate at saturation.
LATENCY_SHARE = 0.1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """The same load through an entry and directly against an engine."""

    entry: LoadResult
    engine: LoadResult

    def to_json(self) -> dict[str, Any]:
        """Return the figures of both, their ratio and the added latency."""
        entry, engine = self.entry.to_json(), self.engine.to_json()
        return {
            "entry": entry,
            "engine": engine,
            "tokens_per_s_ratio": _ratio(entry["tokens_per_s"], engine["tokens_per_s"]),
            "added_first_token_p95_ms": _added(entry, engine, "first_token_ms"),
            "added_between_tokens_p95_ms": _added(entry, engine, "between_tokens_ms"),
        }


def measure(
    plan: DeploymentPlan,
    examples: pathlib.Path,
    directory: pathlib.Path,
    options: LoadOptions,
    report: Callable[[str], None],
) -> dict[str, Any]:
    """Start ``plan``, measure it at saturation and at a tenth of it; return the figures.

    The URLs and models in ``options`` are replaced. Only as many adapters as the engine has
    slots are used, so that no loads are measured.
    """
    with Deployment(plan, examples, directory) as deployment:
        deployment.start()
        deployment.configure()
        models = _entry_models(plan)
        through = dataclasses.replace(
            options, url=deployment.entries[0].url, models=models, kind=KIND
        )
        report("warming up")
        run_load(dataclasses.replace(through, duration_s=WARM_UP_S))
        report("measuring at saturation through the entry")
        saturated = run_load(through)
        rate = LATENCY_SHARE * len(saturated.answered) / saturated.elapsed_s
        report(f"measuring at {rate:.2f} requests/s through the entry")
        slow = run_load(dataclasses.replace(through, rate_per_s=rate))
        # The sidecar's adapters leave no free slot, so the engine's own names are used.
        direct = dataclasses.replace(
            options, url=next(iter(deployment.sidecars.values())).upstream.url, kind=""
        )
        direct = dataclasses.replace(direct, models=_engine_models(direct.url))
        report("measuring at saturation directly")
        saturated_direct = run_load(direct)
        report(f"measuring at {rate:.2f} requests/s directly")
        slow_direct = run_load(dataclasses.replace(direct, rate_per_s=rate))
    return {
        "options": dataclasses.asdict(options),
        "saturation": Comparison(saturated, saturated_direct).to_json(),
        "tenth": Comparison(slow, slow_direct).to_json(),
    }


def _entry_models(plan: DeploymentPlan) -> tuple[str, ...]:
    service = plan.engine_service
    names = service.adapter_names()[: plan.slots]
    return tuple(f"{service.name}/{name}:1" for name in names)


def _engine_models(url: str) -> tuple[str, ...]:
    reply = urllib3.request("GET", f"{url}/v1/status", timeout=LOAD_TIMEOUT_S, retries=False)
    names = tuple(str(item["name"]) for item in reply.json()["adapters"])
    if not names:
        raise DragonflyholdError("the engine has no adapter; did any request reach it?")
    return names


def _ratio(value: Any, base: Any) -> float:
    return round(value / base, 3) if base else 0.0


def _added(entry: dict[str, Any], engine: dict[str, Any], name: str) -> float:
    return round(entry[name]["p95"] - engine[name]["p95"], 2)
