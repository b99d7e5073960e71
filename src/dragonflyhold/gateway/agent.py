"""The agent beside an engine: the one process that gives it orders.

It adds up what the gateways wait for, plans the engine's adapter slots, carries the plan out and
tells the gateways what the engine holds. A gateway that loses its agent goes on with what the
engine held; nothing new is loaded there meanwhile.
"""

import asyncio
import dataclasses
import time
from typing import final

import orjson

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.doubtful import UnconfirmedLoads, has_free_slot
from dragonflyhold.gateway.link import HEARTBEAT_S, Link
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.messages import (
    AdapterDemand,
    AgentHeartbeat,
    DemandUpdate,
    EngineUpdate,
    Message,
    SuspectUpdate,
)
from dragonflyhold.gateway.model import (
    AdapterCommand,
    CommandKind,
    CommandResult,
    EngineReport,
    EngineSpec,
    ModelAdapter,
    UpstreamId,
)
from dragonflyhold.gateway.placement import (
    EngineView,
    TimedDemand,
    missing_adapters,
    plan_commands,
    sum_demands,
)
from dragonflyhold.ids import ServiceName
from dragonflyhold.observability.metrics import Metrics
from dragonflyhold.platform.engine import EngineControl, EngineUnavailableError
from dragonflyhold.platform.store import MetadataStore
from dragonflyhold.popularity import Popularity

# Table and parts of the rows from whose versions fencing tokens are taken.
FENCE_TABLE = "dragonflyhold"
FENCE_PARTS = ("", "fence-1", "fence-2", "fence-3", "fence-4", "fence-5")
# Pause between looks at the engine while an order is under way, and otherwise.
BUSY_POLL_PERIOD_S = 0.008
IDLE_POLL_PERIOD_S = 0.1
# Gateways get the load numbers at least this often.
PUBLISH_PERIOD_S = HEARTBEAT_S / 2
# Requests of this many seconds ago count half when an adapter to evict is chosen.
POPULARITY_HALF_LIFE_S = 6.0
STATE_LOG_PERIOD_S = 0.5
# Gateways hear of this VM at least this often.
AGENT_HEARTBEAT_S = 0.05
AGENT_HEARTBEAT = AgentHeartbeat()
# Adapters that a VM keeps copies of, for each place of its engine; from the sheets (102 for 17 and
# 108 for 18 places).
HOST_CACHE_PER_ADAPTER_SLOT = 6
# Adapters without a place that gateways are told of.
MAX_REPORTED_BACKLOG = 24
# Reads of the engine that fail in a row before its state is taken as unknown.
MAX_FAILED_READS = 2


@final
class Agent:
    """Owns the slots of one engine."""

    def __init__(
        self,
        holder: str,
        service: ServiceName | None,
        engine: EngineControl,
        store: MetadataStore,
        catalogue: Catalogue,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._holder = holder
        self._service = service
        self._engine = engine
        self._store = store
        self._catalogue = catalogue
        self._log = JsonLogger("agent")
        self._demands_by_link: dict[Link, dict[ModelAdapter, TimedDemand]] = {}
        self._popularity: Popularity[ModelAdapter] = Popularity(POPULARITY_HALF_LIFE_S)
        self._report: EngineReport | None = None
        self._failed_reads = 0
        self._unloading: set[ModelAdapter] = set()
        self._fencing_token: int | None = None
        self._upstream_id: UpstreamId | None = None
        # Keys in the order in which the engine last held them.
        self._host_cached: dict[ModelAdapter, None] = {}
        self._unconfirmed_loads = UnconfirmedLoads()
        self._changed = asyncio.Event()
        self._published_state: tuple[object, ...] = ()
        self._published_at = 0.0
        self._logged_at = 0.0

    # Links with gateways.

    def link_opened(self, link: Link) -> None:
        """Tell a gateway the whole state."""
        self._demands_by_link[link] = {}
        self._log.info("A gateway joined.", peer=link.peer, gateways=len(self._demands_by_link))
        link.send(self._build_update())

    def link_closed(self, link: Link) -> None:
        """Forget the demand of a gateway."""
        self._demands_by_link.pop(link, None)
        self._log.info("A gateway left.", peer=link.peer, gateways=len(self._demands_by_link))
        self._changed.set()

    def link_message(self, link: Link, message: Message) -> None:
        """Take in the demand of a gateway."""
        match message:
            case DemandUpdate(demands):
                for demand in demands:
                    self._apply_demand(link, demand)
                if demands:
                    self._changed.set()
            case SuspectUpdate():
                for other in self._demands_by_link:
                    if other is not link:
                        other.send(message)
            case EngineUpdate() | AgentHeartbeat():
                self._log.warning("A gateway sent an engine's state.", peer=link.peer)

    def _apply_demand(self, link: Link, demand: AdapterDemand) -> None:
        by_adapter = self._demands_by_link.setdefault(link, {})
        old = by_adapter.get(demand.key)
        started = demand.started - (old.demand.started if old else 0)
        now = time.monotonic()
        for _ in range(min(max(started, 0), 64)):
            self._popularity.record(demand.key, now)
        by_adapter[demand.key] = TimedDemand(demand, now + demand.slack_s)

    def send_heartbeats(self) -> None:
        """Tell gateways that this VM is alive; run each pulse period."""
        now = time.monotonic()
        for link in list(self._demands_by_link):
            if now - link.last_sent >= AGENT_HEARTBEAT_S / 2:
                link.send(AGENT_HEARTBEAT)

    def close(self) -> None:
        """End all links."""
        for link in list(self._demands_by_link):
            link.close()

    # The work loop.

    def request_replan(self) -> None:
        """Plan anew, for instance after a change of the catalogue."""
        self._changed.set()

    async def run(self) -> None:
        """Read, plan, order and publish until cancelled."""
        while True:
            await self._read_engine()
            if self._report is not None:
                await self._execute_plan(self._report)
            self._publish()
            is_busy = self._report is not None and bool(
                self._report.loading or self._report.busy or self._unloading
            )
            self._changed.clear()
            try:
                async with asyncio.timeout(BUSY_POLL_PERIOD_S if is_busy else IDLE_POLL_PERIOD_S):
                    await self._changed.wait()
            except TimeoutError:
                # The period ended without a change: look at the engine again.
                pass

    async def _read_engine(self) -> None:
        try:
            report = await self._engine.report()
        except EngineUnavailableError as error:
            self._failed_reads += 1
            if self._report is not None and self._failed_reads >= MAX_FAILED_READS:
                self._log.warning("The engine is lost.", error=str(error))
                self._report = None
            return
        self._failed_reads = 0
        old, self._report = self._report, report
        if old is None or old.start_time_ms != report.start_time_ms:
            self._log.info(
                "The engine is there.",
                born=report.start_time_ms,
                sequence=report.sequence,
                adapters=len(report.adapters),
            )
            self._unloading.clear()
            self._host_cached.clear()
            self._upstream_id = None
        self._unloading &= report.adapters.keys()
        self._note_host_cached(report)
        if self._upstream_id is None:
            service = self._catalogue.engine_service(self._service)
            if service is not None:
                self._upstream_id = await self._engine.identify(service.health_path)

    def _note_host_cached(self, report: EngineReport) -> None:
        """Remember what the VM keeps copies of: the adapters that the engine held last."""
        for key in report.adapters:
            self._host_cached.pop(key, None)
            self._host_cached[key] = None
        spec = self._catalogue.engine(self._service)
        max_host_cached = HOST_CACHE_PER_ADAPTER_SLOT * (
            spec.adapter_slots if spec is not None else 1
        )
        while len(self._host_cached) > max_host_cached:
            del self._host_cached[next(iter(self._host_cached))]

    async def _execute_plan(self, report: EngineReport) -> None:
        spec = self._catalogue.engine(self._service)
        if spec is None or not await self._ensure_fencing_token():
            return
        if not report.models:
            await self._load_model(report, spec)
            return
        for command in plan_commands(self._engine_view(report, spec)):
            if self._report is None:
                return
            slots = spec.adapter_slots - self._unconfirmed_loads.reserved_slots(
                self._report, time.monotonic()
            )
            if not has_free_slot(command, self._report, slots):
                return
            if not await self._send_command(command, self._report):
                return
            await self._read_engine()

    async def _load_model(self, report: EngineReport, spec: EngineSpec) -> None:
        if not report.busy and spec.models:
            await self._send_command(AdapterCommand(CommandKind.LOAD, spec.models[0]), report)

    async def _send_command(self, command: AdapterCommand, report: EngineReport) -> bool:
        assert self._fencing_token is not None
        result = await self._engine.send_command(
            command, report.sequence, self._fencing_token, self._upstream_id
        )
        self._metrics.count_event(f"order_{command.kind.value}_{result.value}")
        self._log.info(
            "An order was given.",
            order=command.kind.value,
            model=command.model,
            adapter=command.adapter,
            version=command.version,
            sequence=report.sequence,
            token=self._fencing_token,
            result=result.value,
        )
        if (
            result is CommandResult.ACCEPTED
            and command.kind is CommandKind.UNLOAD
            and command.adapter is not None
        ):
            # It waits for its runs.
            self._unloading.add(ModelAdapter(command.model, command.adapter))
        if result is CommandResult.UNKNOWN and command.kind is CommandKind.LOAD:
            self._unconfirmed_loads.add(report.sequence, time.monotonic())
        return result in (CommandResult.ACCEPTED, CommandResult.DONE)

    async def _ensure_fencing_token(self) -> bool:
        """Take a token from the store's one counter, which never falls, once per lifetime.

        Any write takes the counter's next value; another part of the table may accept one while
        the first is out.
        """
        for part in FENCE_PARTS:
            if self._fencing_token is not None:
                return True
            try:
                self._fencing_token = await self._store.write(
                    FENCE_TABLE, self._holder, orjson.dumps({"holder": self._holder}), part
                )
                self._log.info("Took a fencing token.", token=self._fencing_token, store_part=part)
            except PlatformUnavailableError as error:
                self._log.warning("No fencing token yet.", store_part=part, error=str(error))
        return self._fencing_token is not None

    # What the gateways are told.

    def _engine_view(self, report: EngineReport, spec: EngineSpec) -> EngineView:
        now = time.monotonic()
        host_cached = frozenset(self._host_cached)
        demands = sum_demands(self._demands_by_link.values(), now, host_cached)
        return EngineView(
            report=report,
            slots=spec.adapter_slots - self._unconfirmed_loads.reserved_slots(report, now),
            demands=demands,
            versions=self._catalogue.versions,
            frequency={key: self._popularity.estimate(key, now) for key in report.adapters},
            unloading=frozenset(self._unloading),
            host_cached=host_cached,
        )

    def _log_state(self, update: EngineUpdate, now: float) -> None:
        if now - self._logged_at < STATE_LOG_PERIOD_S:
            return
        self._logged_at = now
        self._log.info(
            "The engine's state.",
            running=update.running,
            waiting=update.waiting,
            resident=len(update.resident),
            coming=len(update.loading),
            free=update.free_adapter_slots,
            backlog=len(update.backlog),
            has_model=update.has_model,
            is_draining=update.is_draining,
            gateways=len(self._demands_by_link),
        )

    def _publish(self) -> None:
        now = time.monotonic()
        update = self._build_update()
        self._log_state(update, now)
        flags = (
            update.has_model,
            update.is_draining,
            update.can_load,
            update.free_adapter_slots > 0,
        )
        state = (update.start_time_ms, update.upstream_id, update.resident, flags)
        if state == self._published_state and now - self._published_at < PUBLISH_PERIOD_S:
            return
        self._published_state, self._published_at = state, now
        for link in list(self._demands_by_link):
            if link.is_silent(now):
                link.close()
            else:
                link.send(update)

    def _build_update(self) -> EngineUpdate:
        report, spec = self._report, self._catalogue.engine(self._service)
        if report is None:
            return UNKNOWN_ENGINE
        if spec is None or self._fencing_token is None:
            # Nothing can be ordered yet; what the engine holds can be used.
            return dataclasses.replace(
                UNKNOWN_ENGINE,
                start_time_ms=report.start_time_ms,
                upstream_id=self._upstream_id,
                resident=sorted(report.adapters.items()),
                running=report.running,
                waiting=report.waiting,
                has_model=bool(report.models),
                is_draining=report.is_draining,
            )
        view = self._engine_view(report, spec)
        # Outdated adapters end their runs and take no new ones.
        outdated = {
            key for key, version in report.adapters.items() if view.is_outdated(key, version)
        }
        unavailable = self._unloading | report.loading.keys() | outdated
        used_slots = sum(view.is_used(key) or key in unavailable for key in report.adapters)
        new_loads = sum(key not in report.adapters for key in report.loading)
        free_slots = max(0, spec.adapter_slots - used_slots - new_loads)
        backlog = [total.key for total in missing_adapters(view)]
        return EngineUpdate(
            start_time_ms=report.start_time_ms,
            upstream_id=self._upstream_id,
            resident=sorted(
                (key, version) for key, version in report.adapters.items() if key not in unavailable
            ),
            loading=sorted(report.loading),
            running=report.running,
            waiting=report.waiting,
            free_adapter_slots=free_slots,
            backlog=backlog[:MAX_REPORTED_BACKLOG],
            has_model=bool(report.models),
            is_draining=report.is_draining,
            can_load=True,
        )


UNKNOWN_ENGINE = EngineUpdate(
    start_time_ms=0,
    upstream_id=None,
    resident=[],
    loading=[],
    backlog=[],
    running=0,
    waiting=0,
    free_adapter_slots=0,
    has_model=False,
    is_draining=False,
    can_load=False,
)
