"""Plays a day of a whole site without a network: real daemons, model engines, model clients."""

import asyncio
import dataclasses
import logging as std_logging
import random
from typing import final

from absl import logging

from dragonflyhold.bench.site_workloads import (
    SITES,
    TROUBLE_S,
    Arrival,
    Cell,
    Pattern,
    SiteSheet,
    is_troubled,
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

# Longest pause between two events of an answer in time, in seconds; from the sheets.
PAUSE_AIM_S = 0.4
# Adapters that a VM keeps copies of, for each place of its engine; from the sheets.
HOST_CACHE_PER_ADAPTER_SLOT = 6
# Calls of one client when callers repeat at once and often, and otherwise; from the sheets.
STORM_CALLS = 4
CALLS = 2
# Time from the moment an engine falls silent to the removal of its entry: three check-ins.
EXPIRY_S = 1.5
# Time for the links of a site that starts.
START_S = 3.0


@final
@dataclasses.dataclass(slots=True)
class Served:
    """What became of one arrival; times in seconds since its first call."""

    arrival: Arrival
    outcome: str = "open"
    calls: int = 0
    first_s: float | None = None
    longest_pause_s: float = 0.0
    end_s: float = 0.0

    @property
    def utility(self) -> float:
        """Return what the answer earns."""
        kind = self.arrival.kind
        if self.outcome != "answered" or self.first_s is None:
            return 0.0
        is_in_time = self.first_s <= kind.aim_s and self.longest_pause_s <= PAUSE_AIM_S
        return kind.utility if is_in_time else kind.late_utility


@final
class SiteDay:
    """One day of one cell."""

    def __init__(self, cell: Cell, unlimited_adapter_slots: bool = False) -> None:
        self.cell = cell
        self.sheet: SiteSheet = SITES[cell.site]
        self.served: list[Served] = []
        self.models: list[EngineModel] = []
        self.weights = WeightStore(self.sheet.full_speed_loads)
        self._unlimited_adapter_slots = unlimited_adapter_slots
        self._rng = random.Random(f"clients {cell.seed}")
        self._site = InProcessDeployment()

    async def play(self) -> None:
        """Start the site, send the day's traffic and stop."""
        sheet = self.sheet
        adapter_slots = sheet.adapters if self._unlimited_adapter_slots else sheet.adapter_slots
        fields = configuration()
        set_engine_size(fields, sheet.batch, adapter_slots)
        for kind in sheet.classes:
            add_stream_route(
                fields,
                kind.name,
                is_resumable=kind.retry_safety is RetrySafety.RESUMABLE,
                timeout_s=kind.limit_s,
                target_s=kind.aim_s,
                priority=kind.priority,
            )
        await create_task_on_vm("10.9.0.1", self._site.store.start())
        self._site.store.put("op", "config", fields)
        for number in range(sheet.engines):
            await self._add_engine(number, adapter_slots)
        for number in range(sheet.gateways):
            await create_task_on_vm(
                f"10.1.0.{number + 1}", self._site.add_gateway(f"10.1.0.{number + 1}")
            )
        await self._site.wait_until_ready(sheet.engines)
        await asyncio.sleep(START_S)
        start = asyncio.get_running_loop().time()
        trouble = create_task_on_vm("10.8.0.1", self._trouble(start))
        clients = []
        for arrival in make_arrivals(self.cell):
            await asyncio.sleep(max(0.0, start + arrival.at - asyncio.get_running_loop().time()))
            served = Served(arrival)
            self.served.append(served)
            clients.append(create_task_on_vm("10.7.0.1", self._call_until_answered(served, start)))
        await asyncio.gather(trouble, *clients)
        await self._site.close()

    async def _add_engine(self, number: int, adapter_slots: int) -> None:
        sheet = self.sheet
        timing = EngineTiming(
            batch=sheet.batch,
            step_s=sheet.step_s,
            batch_doubling=sheet.batch_doubling,
            prefill_tokens_per_s=sheet.prefill_tokens_per_s,
            tokens_per_event=sheet.tokens_per_event,
            load_s=sheet.load_s,
            host_cached_load_s=sheet.host_cached_load_s,
            max_host_cached=HOST_CACHE_PER_ADAPTER_SLOT * adapter_slots,
        )
        model = EngineModel(timing, self.weights)
        self.models.append(model)
        ip = f"10.2.0.{number + 1}"
        work = self._site.add_engine(f"e{number}", host=ip, slots=adapter_slots, model=model)
        upstream = await create_task_on_vm(ip, work)
        if self._unlimited_adapter_slots:
            asked = {arrival.adapter for arrival in make_arrivals(self.cell)}
            upstream.adapters = {str(key.adapter): 1 for key in asked if key is not None}

    async def _trouble(self, start: float) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        await asyncio.sleep(TROUBLE_S[0])
        match self.cell.pattern:
            case Pattern.LOSE_ENGINES:
                unreachable = list(self._site.upstreams.values())[
                    : max(1, self.sheet.engines * 2 // 5)
                ]
                for upstream in unreachable:
                    loop.network.make_unreachable(upstream.address.rpartition(":")[0])
                await asyncio.sleep(EXPIRY_S)
                for upstream in unreachable:
                    self._site.store.remove("servers", upstream.upstream_id)
                await asyncio.sleep(start + TROUBLE_S[1] - loop.time())
                for upstream in unreachable:
                    self._bring_back(upstream, loop)
            case Pattern.SLOW_ENGINE:
                self.models[0].timing.slowdown = 4.0
                await asyncio.sleep(start + TROUBLE_S[1] - loop.time())
                self.models[0].timing.slowdown = 1.0
            case _:
                # The arrivals make the other patterns.
                pass

    def _bring_back(self, upstream: UpstreamStandIn, loop: VirtualLoop) -> None:
        upstream.restart(f"{upstream.upstream_id}-again")
        loop.network.make_reachable(upstream.address.rpartition(":")[0])
        self._site.store.put("servers", upstream.upstream_id, upstream.entry())

    async def _call_until_answered(self, served: Served, start: float) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        kind = served.arrival.kind
        is_storm = self.cell.pattern is Pattern.RETRY_STORM and is_troubled(began - start)
        for _ in range(STORM_CALLS if is_storm else CALLS):
            left_s = began + kind.limit_s - loop.time()
            if left_s < 0.05:
                break
            served.calls += 1
            try:
                async with asyncio.timeout(left_s):
                    retry_after_s = await self._call(served, began, left_s)
            except TimeoutError:
                served.outcome = "no answer in time"
                break
            except ExchangeError as error:
                served.outcome = f"broken: {error.reason.value}"
                break
            if retry_after_s is None:
                break
            await asyncio.sleep(0.0 if is_storm else min(retry_after_s, left_s))
        served.end_s = loop.time() - began

    async def _call(self, served: Served, began: float, left_s: float) -> float | None:
        """Send one call; return when to come back after a refusal."""
        arrival, site = served.arrival, self._site
        output = arrival.events * self.sheet.tokens_per_event
        path = f"/{arrival.kind.name}/x"
        fields = site.client_fields(
            "/ask/x",
            arrival.adapter.adapter if arrival.adapter else "",
            round(left_s * 1000),
            (arrival.prompt_tokens, output),
        )
        address = site.client_address(self._rng.randrange(self.sheet.gateways))
        exchange = await site.pool.send(address, client_call("POST", path, fields, b"body"))
        try:
            return await self._read(served, exchange, began)
        finally:
            site.pool.release(address, exchange)

    async def _read(self, served: Served, exchange: Exchange, began: float) -> float | None:
        loop = asyncio.get_running_loop()
        head = await exchange.read_head()
        served.outcome = f"status {head.status}"
        if head.status == 503:
            await exchange.read_body()
            return float(head.fields.get(b"retry-after", b"0"))
        last = None
        events = 0
        while chunk := await exchange.read_chunk():
            now = loop.time()
            if served.first_s is None:
                served.first_s = now - began
            if last is not None:
                served.longest_pause_s = max(served.longest_pause_s, now - last)
            last = now
            events += chunk.count(b"\n\n")
        if head.status == 200 and events == served.arrival.events:
            served.outcome = "answered"
        return None


def play_day(cell: Cell, unlimited_adapter_slots: bool = False) -> SiteDay:
    """Play one day on a clock of its own; logs below errors are off meanwhile."""
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    std_logging.disable(std_logging.ERROR)
    random.seed(cell.seed)
    try:

        async def play() -> SiteDay:
            day = SiteDay(cell, unlimited_adapter_slots)
            await day.play()
            return day

        return run_virtual(play())
    finally:
        std_logging.disable(std_logging.NOTSET)
        logging.set_verbosity(verbosity)
