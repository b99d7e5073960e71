"""Measures the work of one control message or decision by the size of the deployment.

Runs the daemons' own tables without a network, so that a cost which grows with the number of
upstreams or gateways is seen without a played day.
"""

import dataclasses
import random
import time
from collections.abc import Callable, Sequence
from typing import final

from dragonflyhold.gateway.agent_link import AgentLink
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.crash_evidence import CrashEvidence
from dragonflyhold.gateway.demand_table import DemandTable
from dragonflyhold.gateway.dispatch import UpstreamTable
from dragonflyhold.gateway.engines import AgentLinks
from dragonflyhold.gateway.messages import AdapterDemand, AgentHeartbeat, EngineUpdate
from dragonflyhold.gateway.model import (
    Address,
    ModelAdapter,
    ModelName,
    RegistrationState,
    Upstream,
    UpstreamId,
)
from dragonflyhold.ids import AdapterName, DataCentre, ServiceName, Version

UPSTREAM_COUNTS = (5, 30, 100, 300, 600)
GATEWAY_COUNTS = (10, 30, 100, 400)
SERVICE = ServiceName("assistant")
ADAPTER_SLOTS = 16
# Adapters for which each gateway once had demand at an engine.
PAST_ADAPTERS = 40
# Requests that an engine runs at a time, each of another gateway.
ENGINE_REQUESTS = 48


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ControlCost:
    """Mean processor time of one operation at one size, in microseconds."""

    operation: str
    size: int
    microseconds: float


def measure_all(repeats: int = 2000) -> list[ControlCost]:
    """Measure all operations at all sizes; ``repeats`` is the number of runs of each."""
    costs = []
    for size in UPSTREAM_COUNTS:
        costs.extend(_measure_gateway(size, repeats))
    for size in GATEWAY_COUNTS:
        costs.append(_measure_agent(size, repeats))
    return costs


def format_costs(costs: Sequence[ControlCost]) -> str:
    """Return a table with a row for each operation and a column for each size."""
    lines = []
    for operation in dict.fromkeys(cost.operation for cost in costs):
        cells = [
            f"{cost.size}: {cost.microseconds:.1f}" for cost in costs if cost.operation == operation
        ]
        lines.append(f"{operation:<44} {'  '.join(cells)}")
    return "\n".join(["microseconds of processor time by size", *lines])


def _measure_gateway(size: int, repeats: int) -> list[ControlCost]:
    table, links, agents = _make_gateway(size)
    rng = random.Random(size)
    updates = [_engine_update(number) for number in range(size)]

    def deliver_update() -> None:
        number = rng.randrange(size)
        links.agent_message(agents[number], updates[number])

    def deliver_heartbeat() -> None:
        links.agent_message(agents[rng.randrange(size)], AgentHeartbeat())

    def choose(first: int, last: int) -> Callable[[], object]:
        return lambda: table.choose(SERVICE, _adapter(rng.randrange(first, last)), Version(0), 1.0)

    resident = size * ADAPTER_SLOTS
    operations: list[tuple[str, Callable[[], object]]] = [
        ("gateway: an engine's update, by upstreams", deliver_update),
        ("gateway: an agent's heartbeat, by upstreams", deliver_heartbeat),
        ("gateway: choice, resident, by upstreams", choose(0, resident)),
        ("gateway: choice, to be loaded, by upstreams", choose(resident, resident + 10_000)),
    ]
    return [ControlCost(name, size, _time(run, repeats)) for name, run in operations]


def _make_gateway(size: int) -> tuple[UpstreamTable, AgentLinks, list[AgentLink]]:
    table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
    links = AgentLinks(
        table,
        Catalogue(),
        CrashEvidence(),
        agent_port=0,
        required_version=lambda key: Version(0),
        report_incarnation=lambda upstream: None,
        count_event=lambda name: None,
    )
    agents = []
    for number in range(size):
        upstream = _upstream(number)
        table.put(upstream)
        table.apply_update(upstream.upstream_id, _engine_update(number), 1.0)
        agents.append(AgentLink(links, upstream.ip))
    return table, links, agents


def _measure_agent(size: int, repeats: int) -> ControlCost:
    rng = random.Random(size)
    demands: DemandTable[int] = DemandTable()
    for gateway in range(size):
        for demand in _gateway_demand(rng, has_demand=gateway < ENGINE_REQUESTS):
            demands.apply(gateway, demand, 0.0)
    cost = _time(lambda: demands.totals(1.0, frozenset()), max(1, repeats // size))
    return ControlCost("agent: demand of all gateways, by gateways", size, cost)


def _gateway_demand(rng: random.Random, has_demand: bool) -> list[AdapterDemand]:
    """Return the demand of one gateway: its requests at the engine, and adapters used earlier."""
    return [
        AdapterDemand(_adapter(number), Version(0), 0, 0.0, int(has_demand and place == 0), 3, 0.0)
        for place, number in enumerate(rng.sample(range(200), PAST_ADAPTERS))
    ]


def _upstream(number: int) -> Upstream:
    return Upstream(
        upstream_id=UpstreamId(f"engine-{number}"),
        service=SERVICE,
        address=Address(f"10.{number // 250}.{number % 250}.1:80"),
        data_centre=DataCentre(f"dc-{number % 4}"),
        slots=48,
        state=RegistrationState.READY,
        start_time_ms=1,
        adapters={},
    )


def _engine_update(number: int) -> EngineUpdate:
    first = number * ADAPTER_SLOTS
    return EngineUpdate(
        start_time_ms=1,
        upstream_id=UpstreamId(f"engine-{number}"),
        resident=[(_adapter(first + slot), Version(0)) for slot in range(ADAPTER_SLOTS)],
        loading=[],
        backlog=[],
        running=10,
        waiting=0,
        free_adapter_slots=2,
        has_model=True,
        is_draining=False,
        can_load=True,
    )


def _adapter(number: int) -> ModelAdapter:
    return ModelAdapter(ModelName("base"), AdapterName(f"adapter-{number}"))


def _time(run: Callable[[], object], repeats: int) -> float:
    started = time.process_time()
    for _ in range(repeats):
        run()
    return (time.process_time() - started) / repeats * 1e6
