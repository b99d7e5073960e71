"""Simulation of a whole deployment: real daemons with simulated engines, clients and network."""

import asyncio
import dataclasses
import logging as std_logging
import random
from typing import final

from absl import logging

from dragonflyhold.bench.site_workloads import (
    DEPLOYMENTS,
    DISRUPTION_S,
    Arrival,
    Cell,
    DeploymentSpec,
    Pattern,
    is_disrupted,
    make_arrivals,
)
from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import VirtualLoop, run_virtual
from dragonflyhold.gateway.http_client import Exchange, ExchangeError
from dragonflyhold.gateway.model import RetrySafety
from dragonflyhold.platform.standins.engine_model import EngineModel, EngineTiming, WeightStore
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import (
    InProcessDeployment,
    add_stream_route,
    client_call,
    configuration,
    set_engine_size,
)

# A response with a longer gap between two events counts as late.
MAX_EVENT_GAP_S = 0.4
# Adapters kept in a VM's memory for each adapter slot of its engine.
HOST_CACHED_ADAPTERS_PER_SLOT = 6
# Maximum attempts of a client during a retry storm, when it retries without delay, and otherwise.
RETRY_STORM_MAX_ATTEMPTS = 4
MAX_ATTEMPTS = 2
# Time from an engine becoming unreachable to the removal of its registration: three heartbeats.
REGISTRATION_EXPIRY_S = 1.5
# Time for the daemons of a starting deployment to connect to each other.
STARTUP_S = 3.0
# Limited engines: their share, and their limit relative to their share of all requests.
LIMITED_SHARE = 1 / 3
LIMIT_RATIO = 0.4
# Engines of different speed: the time that work takes at each third one and at the others, and how
# much longer it takes for moments, with mean durations with and without that.
FAST_SLOWNESS = 0.55
SLOW_SLOWNESS = 1.2
BUSY_FACTOR = 2.5
BUSY_S = 0.4
CALM_S = 1.6


@final
@dataclasses.dataclass(slots=True)
class RequestRecord:
    """Outcome of one request; times are in seconds since its first attempt."""

    arrival: Arrival
    outcome: str = "open"
    attempts: int = 0
    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    end_s: float = 0.0

    @property
    def utility(self) -> float:
        """Utility of the response: reduced if it was late, 0 if there was none."""
        request_class = self.arrival.request_class
        if self.outcome != "answered" or self.first_event_s is None:
            return 0.0
        is_in_time = (
            self.first_event_s <= request_class.target_s and self.longest_gap_s <= MAX_EVENT_GAP_S
        )
        return request_class.utility if is_in_time else request_class.late_utility


@final
@dataclasses.dataclass(slots=True)
class LimitedEngine:
    """An engine that states a limit in requests a second between two times of the loop."""

    upstream: UpstreamStandIn
    limit_per_s: float
    stated_at: float
    ended_at: float = 0.0


@final
class DeploymentSimulation:
    """One run of one cell on the current virtual loop."""

    def __init__(self, cell: Cell, unlimited_adapter_slots: bool = False) -> None:
        self.cell = cell
        self.spec: DeploymentSpec = DEPLOYMENTS[cell.deployment]
        self.records: list[RequestRecord] = []
        self.models: list[EngineModel] = []
        self.limited: list[LimitedEngine] = []
        self.weights = WeightStore(self.spec.full_speed_loads)
        self._unlimited_adapter_slots = unlimited_adapter_slots
        self._rng = random.Random(f"clients {cell.seed}")
        self._deployment = InProcessDeployment()

    async def run(self) -> None:
        """Start the deployment, send all requests and stop."""
        spec = self.spec
        adapter_slots = spec.adapters if self._unlimited_adapter_slots else spec.adapter_slots
        fields = configuration()
        set_engine_size(fields, spec.batch, adapter_slots)
        for request_class in spec.classes:
            add_stream_route(
                fields,
                request_class.name,
                is_resumable=request_class.retry_safety is RetrySafety.RESUMABLE,
                timeout_s=request_class.timeout_s,
                target_latency_s=request_class.target_s,
                priority=request_class.priority,
            )
        await create_task_on_vm("10.9.0.1", self._deployment.store.start())
        self._deployment.store.put("op", "config", fields)
        for number in range(spec.engines):
            await self._add_engine(number, adapter_slots)
        for number in range(spec.gateways):
            await create_task_on_vm(
                f"10.1.0.{number + 1}", self._deployment.add_gateway(f"10.1.0.{number + 1}")
            )
        await self._deployment.wait_until_ready(spec.engines)
        await asyncio.sleep(STARTUP_S)
        start = asyncio.get_running_loop().time()
        disruption = create_task_on_vm("10.8.0.1", self._disrupt(start))
        speeds = self._vary_speeds()
        clients = []
        for arrival in make_arrivals(self.cell):
            await asyncio.sleep(max(0.0, start + arrival.at - asyncio.get_running_loop().time()))
            record = RequestRecord(arrival)
            self.records.append(record)
            clients.append(create_task_on_vm("10.7.0.1", self._call_until_answered(record, start)))
        await asyncio.gather(disruption, *clients)
        for speed in speeds:
            speed.cancel()
        await self._deployment.close()

    def _vary_speeds(self) -> list[asyncio.Task[None]]:
        """Let engines differ in speed, if the pattern says so, and state it."""
        if self.cell.pattern not in (Pattern.UNEVEN_ENGINES, Pattern.UNEVEN_SILENT):
            return []
        if self.cell.pattern is Pattern.UNEVEN_ENGINES:
            upstreams = self._deployment.upstreams.values()
            for upstream, model in zip(upstreams, self.models, strict=True):
                upstream.state_load = model.state_load
        return [
            create_task_on_vm(
                "10.8.0.1",
                self._vary_speed(
                    model, FAST_SLOWNESS if number % 3 == 2 else SLOW_SLOWNESS, number
                ),
            )
            for number, model in enumerate(self.models)
        ]

    async def _vary_speed(self, model: EngineModel, slowness: float, number: int) -> None:
        rng = random.Random(f"speed {self.cell.seed} {number}")
        while True:
            model.timing.slowdown = slowness
            await asyncio.sleep(rng.expovariate(1 / CALM_S))
            model.timing.slowdown = slowness * BUSY_FACTOR
            await asyncio.sleep(rng.expovariate(1 / BUSY_S))

    async def _add_engine(self, number: int, adapter_slots: int) -> None:
        spec = self.spec
        timing = EngineTiming(
            batch=spec.batch,
            step_s=spec.step_s,
            batch_doubling=spec.batch_doubling,
            prefill_tokens_per_s=spec.prefill_tokens_per_s,
            tokens_per_event=spec.tokens_per_event,
            load_s=spec.load_s,
            host_cached_load_s=spec.host_cached_load_s,
            max_host_cached=HOST_CACHED_ADAPTERS_PER_SLOT * adapter_slots,
        )
        model = EngineModel(timing, self.weights)
        self.models.append(model)
        ip = f"10.2.0.{number + 1}"
        add_engine = self._deployment.add_engine(
            f"e{number}", host=ip, slots=adapter_slots, model=model
        )
        upstream = await create_task_on_vm(ip, add_engine)
        if self._unlimited_adapter_slots:
            requested = {arrival.adapter for arrival in make_arrivals(self.cell)}
            upstream.adapters = {str(key.adapter): 1 for key in requested if key is not None}

    async def _disrupt(self, start: float) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        await asyncio.sleep(DISRUPTION_S[0])
        match self.cell.pattern:
            case Pattern.LOSE_ENGINES:
                unreachable = list(self._deployment.upstreams.values())[
                    : max(1, self.spec.engines * 2 // 5)
                ]
                for upstream in unreachable:
                    loop.network.make_unreachable(upstream.address.rpartition(":")[0])
                await asyncio.sleep(REGISTRATION_EXPIRY_S)
                for upstream in unreachable:
                    self._deployment.store.remove("servers", upstream.upstream_id)
                await asyncio.sleep(start + DISRUPTION_S[1] - loop.time())
                for upstream in unreachable:
                    self._restore(upstream, loop)
            case Pattern.SLOW_ENGINE:
                self.models[0].timing.slowdown = 4.0
                await asyncio.sleep(start + DISRUPTION_S[1] - loop.time())
                self.models[0].timing.slowdown = 1.0
            case Pattern.LIMITED_ENGINES:
                self._state_limits(loop.time())
                await asyncio.sleep(start + DISRUPTION_S[1] - loop.time())
                for limited in self.limited:
                    limited.upstream.limit_per_s = None
                    limited.ended_at = loop.time()
            case _:
                # The other patterns only affect the arrivals.
                pass

    def _state_limits(self, now: float) -> None:
        rates = [request_class.requests_per_s for request_class in self.spec.classes]
        limit_per_s = LIMIT_RATIO * self.cell.level * sum(rates) / self.spec.engines
        upstreams = list(self._deployment.upstreams.values())
        for upstream in upstreams[: max(1, round(LIMITED_SHARE * self.spec.engines))]:
            upstream.limit_per_s = limit_per_s
            self.limited.append(LimitedEngine(upstream, limit_per_s, now))

    def _restore(self, upstream: UpstreamStandIn, loop: VirtualLoop) -> None:
        upstream.restart(f"{upstream.upstream_id}-again")
        loop.network.make_reachable(upstream.address.rpartition(":")[0])
        self._deployment.store.put("servers", upstream.upstream_id, upstream.entry())

    async def _call_until_answered(self, record: RequestRecord, start: float) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request_class = record.arrival.request_class
        is_retry_storm = self.cell.pattern is Pattern.RETRY_STORM and is_disrupted(
            started_at - start
        )
        for _ in range(RETRY_STORM_MAX_ATTEMPTS if is_retry_storm else MAX_ATTEMPTS):
            remaining_s = started_at + request_class.timeout_s - loop.time()
            if remaining_s < 0.05:
                break
            record.attempts += 1
            try:
                async with asyncio.timeout(remaining_s):
                    retry_after_s = await self._attempt(record, started_at, remaining_s)
            except TimeoutError:
                record.outcome = "no answer in time"
                break
            except ExchangeError as error:
                record.outcome = f"broken: {error.reason.value}"
                break
            if retry_after_s is None:
                break
            await asyncio.sleep(0.0 if is_retry_storm else min(retry_after_s, remaining_s))
        record.end_s = loop.time() - started_at

    async def _attempt(
        self, record: RequestRecord, started_at: float, remaining_s: float
    ) -> float | None:
        """Send one attempt; return the delay before a retry if it was refused."""
        arrival, deployment = record.arrival, self._deployment
        output = arrival.events * self.spec.tokens_per_event
        path = f"/{arrival.request_class.name}/x"
        fields = deployment.client_fields(
            "/ask/x",
            arrival.adapter.adapter if arrival.adapter else "",
            round(remaining_s * 1000),
            (arrival.prompt_tokens, output),
        )
        address = deployment.client_address(self._rng.randrange(self.spec.gateways))
        exchange = await deployment.pool.send(address, client_call("POST", path, fields, b"body"))
        try:
            return await self._read(record, exchange, started_at)
        finally:
            deployment.pool.release(address, exchange)

    async def _read(
        self, record: RequestRecord, exchange: Exchange, started_at: float
    ) -> float | None:
        loop = asyncio.get_running_loop()
        head = await exchange.read_head()
        record.outcome = f"status {head.status}"
        if head.status == 503:
            await exchange.read_body()
            return float(head.fields.get(b"retry-after", b"0"))
        last = None
        events = 0
        while chunk := await exchange.read_chunk():
            now = loop.time()
            if record.first_event_s is None:
                record.first_event_s = now - started_at
            if last is not None:
                record.longest_gap_s = max(record.longest_gap_s, now - last)
            last = now
            events += chunk.count(b"\n\n")
        if head.status == 200 and events == record.arrival.events:
            record.outcome = "answered"
        return None


def simulate(cell: Cell, unlimited_adapter_slots: bool = False) -> DeploymentSimulation:
    """Simulate one cell on a virtual clock; log lines up to level error are suppressed."""
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    std_logging.disable(std_logging.ERROR)
    random.seed(cell.seed)
    try:

        async def run() -> DeploymentSimulation:
            simulation = DeploymentSimulation(cell, unlimited_adapter_slots)
            await simulation.run()
            return simulation

        return run_virtual(run())
    finally:
        std_logging.disable(std_logging.NOTSET)
        logging.set_verbosity(verbosity)
