"""The agent on an engine's VM: the only process that sends commands to the engine.

It adds up the demand of all gateways, plans the use of the engine's adapter slots, executes the
plan and reports the engine's state to the gateways. A gateway that is disconnected from an agent
keeps using the adapters that were resident; no others are loaded for it meanwhile.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import final

from dragonflyhold.balancing import LoadRow, SharedLoads
from dragonflyhold.gateway.account_counter import AccountCounter
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.crash_batch import CrashBatch
from dragonflyhold.gateway.crash_evidence import CrashEvidence
from dragonflyhold.gateway.demand_table import DemandTable
from dragonflyhold.gateway.doubtful import UnconfirmedLoads, has_free_slot
from dragonflyhold.gateway.engine_identity import EngineIdentity
from dragonflyhold.gateway.engine_state import (
    UNKNOWN_ENGINE,
    make_update,
    update_without_commands,
)
from dragonflyhold.gateway.fencing import FencingToken
from dragonflyhold.gateway.limit_ledger import LimitLedger
from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.load_turns import LoadTurns
from dragonflyhold.gateway.logs import JsonLogger, describe
from dragonflyhold.gateway.messages import (
    CRASH_PROTOCOL,
    LIMIT_PROTOCOL,
    NO_CHANGE,
    ORIGIN_PROTOCOL,
    PROTOCOL_VERSION,
    TOKEN_PROTOCOL,
    AdapterDemand,
    AgentHeartbeat,
    CrashDigest,
    CrashUpdate,
    DemandUpdate,
    EngineUpdate,
    LateStream,
    LimitReport,
    LimitUpdate,
    Message,
    OriginQuery,
    OriginReply,
    OriginUpdate,
    PermitReply,
    PermitRequest,
    StartGrant,
    StartRequest,
    SuspectUpdate,
    TokenQuery,
    TokenReply,
    TokenReport,
    TokenRequest,
    encode,
)
from dragonflyhold.gateway.model import (
    AdapterCommand,
    Address,
    CommandKind,
    CommandResult,
    EngineReport,
    EngineSpec,
    ModelAdapter,
)
from dragonflyhold.gateway.origin_keeper import OriginKeeper
from dragonflyhold.gateway.placement import (
    EngineView,
    load_time,
    plan_commands,
)
from dragonflyhold.gateway.publication import Publication
from dragonflyhold.gateway.starts import StartGranter
from dragonflyhold.gateway.watch import TableWatch
from dragonflyhold.ids import ServiceName
from dragonflyhold.observability.metrics import Metrics
from dragonflyhold.platform.engine import (
    EngineControl,
    EngineTurnsAwayError,
    EngineUnavailableError,
)
from dragonflyhold.platform.store import MetadataStore, StorePosition
from dragonflyhold.popularity import Popularity

# Interval between reads of the engine's state while nothing is in progress.
IDLE_POLL_PERIOD_S = 0.1
# A shorter wait could end before the clock has advanced.
MIN_POLL_S = 0.001
# While adapters are loaded or unloaded, the interval is this share of the time since the last
# change, within the bounds: host-cached adapters take a tenth of the time of others.
BUSY_POLL_SHARE = 0.1
MIN_BUSY_POLL_S = 0.008
MAX_BUSY_POLL_S = 0.03
# Half-life of the request counts by which adapters to evict are chosen.
POPULARITY_HALF_LIFE_S = 6.0
STATE_LOG_PERIOD_S = 0.5
# Host-cached adapters per adapter slot: VMs keep 102 for 17 slots and 108 for 18.
HOST_CACHE_PER_ADAPTER_SLOT = 6
# Maximum number of started requests recorded from one report of a gateway.
MAX_RECORDED_STARTS = 64
# Consecutive failed reads after which the engine's state is unknown.
MAX_FAILED_READS = 2


@final
class Agent:
    """Manages the adapter slots of one engine."""

    def __init__(
        self,
        holder: str,
        service: ServiceName | None,
        engine: EngineControl,
        store: MetadataStore,
        catalogue: Catalogue,
        metrics: Metrics,
        engine_address: Address | None = None,
    ) -> None:
        # Exchanges the newest known change with the gateways; set by the daemon.
        self.operator_watch: TableWatch | None = None
        self._metrics = metrics
        self._engine = engine
        self._catalogue = catalogue
        self._log = JsonLogger("agent")
        self._demands: DemandTable[Link] = DemandTable()
        self._turns = LoadTurns(self._log, metrics)
        self._popularity: Popularity[ModelAdapter] = Popularity(POPULARITY_HALF_LIFE_S)
        self._report: EngineReport | None = None
        self._failed_reads = 0
        self._read_at = -IDLE_POLL_PERIOD_S
        # Time of the last seen command or end of a load.
        self._busy_changed_at = 0.0
        # Adapters to be unloaded, each with the sequence of its command.
        self._unloading: dict[ModelAdapter, int] = {}
        self._fencing_token = FencingToken(holder, store)
        self._identity = EngineIdentity(
            engine_address, service, catalogue, store, self.request_replan
        )
        # Ordered by the time at which the engine last held the adapter.
        self._host_cached: dict[ModelAdapter, None] = {}
        self._unconfirmed_loads = UnconfirmedLoads()
        self._changed = asyncio.Event()
        # Loads of upstreams without an agent, on their way from some gateways to the others.
        self._loads = SharedLoads()
        self._publication: Publication[Link] = Publication()
        self._starts = StartGranter()
        # What the gateways know of crashes, also for those that start later.
        self._crashes = CrashEvidence()
        self._crash_batch = CrashBatch(self._crashes, self._forward_crashes)
        self._limits = LimitLedger()
        # What the gateways use of the limits of client accounts.
        self._account_tokens = AccountCounter(
            self._token_gateways,
            lambda delay_s, call: asyncio.get_running_loop().call_later(delay_s, call),
            metrics.count_event,
        )
        self._origins = OriginKeeper(self._origin_gateways)
        self._logged_at = 0.0
        # Whether requests wait for adapters without a slot, so that an ended request matters.
        self._has_backlog = False

    # Links to gateways

    def link_opened(self, link: Link) -> None:
        """Send the engine's state to a new gateway."""
        self._demands.add_gateway(link)
        self._publication.add(link)
        self._account_tokens.note_gateways(len(self._demands))
        self._log.info("A gateway connected.", peer=link.peer, gateways=len(self._demands))
        self._send_update(link, self._build_update(), time.monotonic())

    def link_closed(self, link: Link) -> None:
        """Drop the demand of a disconnected gateway."""
        self._demands.remove_gateway(link)
        self._publication.remove(link)
        self._account_tokens.remove(link)
        self._account_tokens.note_gateways(len(self._demands))
        self._log.info("A gateway disconnected.", peer=link.peer, gateways=len(self._demands))
        self._changed.set()

    def link_message(self, link: Link, message: Message) -> None:
        """Apply a gateway's demand or forward its suspects to the other gateways."""
        match message:
            case DemandUpdate(demands, is_ping, protocol, change, loads):
                for row in loads:
                    self._loads.note(row, time.monotonic())
                if self.operator_watch is not None:
                    self.operator_watch.note_hint(change)
                if self._publication.protocol(link) < LIMIT_PROTOCOL <= protocol:
                    link.send(LimitUpdate(self._limits.statements()))
                self._publication.note_protocol(link, protocol)
                for demand in demands:
                    self._apply_demand(link, demand)
                is_waiting = self._demands.has_waiters(link)
                self._publication.note_waiting(link, is_waiting)
                if is_waiting or (demands and self._has_backlog):
                    # Other changes of the demand do not change the plan.
                    self._changed.set()
                if is_ping:
                    link.send(self._heartbeat())
            case SuspectUpdate():
                self._forward(message, lambda protocol: protocol < CRASH_PROTOCOL, link)
            case CrashUpdate():
                self._crash_batch.add(self._crashes.apply(message))
            case CrashDigest(digest):
                if digest != self._crashes.digest:
                    link.send(self._crashes.snapshot())
                    link.send(CrashDigest(self._crashes.digest))
            case StartRequest():
                self._starts.handle(link, message)
            case LateStream():
                self._note_late_stream()
            case LimitReport():
                self._apply_limit(link, message)
            case PermitRequest(number, report):
                self._apply_limit(link, report)
                link.send(PermitReply(number, self._limits.take(report.statement.incarnation)))
            case OriginUpdate():
                self._origins.apply(message)
            case OriginQuery():
                self._origins.answer(link, message)
            case OriginReply():
                self._origins.note_reply(message)
            case TokenRequest():
                self._account_tokens.answer(link, message)
            case TokenReport():
                self._account_tokens.apply(link, message)
            case (
                EngineUpdate()
                | AgentHeartbeat()
                | StartGrant()
                | LimitUpdate()
                | PermitReply()
                | TokenReply()
                | TokenQuery()
            ):
                self._log.warning("A message that only agents send was ignored.", peer=link.peer)

    def _forward_crashes(self, update: CrashUpdate) -> None:
        self._forward(update, lambda protocol: protocol >= CRASH_PROTOCOL)

    def _forward(
        self, message: Message, accepts: Callable[[int], bool], source: Link | None = None
    ) -> None:
        """Send a message to the gateways with an accepted protocol version, but its source."""
        data = encode(message)
        for link in self._demands.gateways():
            if link is not source and accepts(self._publication.protocol(link)):
                link.send_encoded(data)

    def _apply_limit(self, link: Link, report: LimitReport) -> None:
        """Add a gateway's report; tell a changed limit to the others, and a newer one to it."""
        has_changed = self._limits.apply(report)
        statement = self._limits.statement(report.statement.incarnation)
        update = LimitUpdate([statement])
        if has_changed:
            self._log.info(
                "An upstream changed its limit.",
                upstream=statement.incarnation,
                limit_per_s=statement.limit_per_s,
                peer=link.peer,
            )
            self._forward(update, lambda protocol: protocol >= LIMIT_PROTOCOL, link)
        elif statement.limit_per_s != report.statement.limit_per_s:
            link.send(update)

    def _origin_gateways(self) -> list[Link]:
        return [
            link
            for link in self._demands.gateways()
            if self._publication.protocol(link) >= ORIGIN_PROTOCOL
        ]

    def _token_gateways(self) -> list[Link]:
        return [
            link
            for link in self._demands.gateways()
            if self._publication.protocol(link) >= TOKEN_PROTOCOL
        ]

    def repeat_limits(self) -> None:
        """Tell all gateways of all limits again, in case a message was lost; call regularly."""
        self._account_tokens.note_gateways(len(self._demands))
        self._account_tokens.expire()
        statements = self._limits.statements()
        if statements:
            data = encode(LimitUpdate(statements))
            for link in self._demands.gateways():
                if self._publication.protocol(link) >= LIMIT_PROTOCOL:
                    link.send_encoded(data)

    def _apply_demand(self, link: Link, demand: AdapterDemand) -> None:
        now = time.monotonic()
        started = self._demands.apply(link, demand, now)
        self._turns.note_demand(demand)
        self._starts.monitor.note_started(started, now)
        for _ in range(min(started, MAX_RECORDED_STARTS)):
            self._popularity.record(demand.key, now)

    def _note_late_stream(self) -> None:
        now, monitor = time.monotonic(), self._starts.monitor
        was_paced = monitor.is_critical(now)
        monitor.note_late(now)
        if monitor.is_critical(now) and not was_paced:
            self._log.info("Streams pause for too long; prompts are paced.")
            data = encode(self._heartbeat())
            for link in self._demands.gateways():
                link.send_encoded(data)

    def send_heartbeats(self) -> float:
        """Send heartbeats to the gateways; return the time until the next call, in seconds.

        A gateway that got a message within the last half interval gets none.
        """
        now, interval_s = time.monotonic(), self._publication.heartbeat_s
        data = encode(self._heartbeat(self._loads.take_news(now)))
        for link in self._demands.gateways():
            if now - link.last_sent_at >= interval_s / 2:
                link.send_encoded(data)
        return interval_s

    def _heartbeat(self, loads: Sequence[LoadRow] = ()) -> AgentHeartbeat:
        report, gap_s = self._report, self._publication.gap_s
        return AgentHeartbeat(
            gap_s,
            running=report.running if report is not None else None,
            waiting=report.waiting + len(self._starts) if report is not None else None,
            is_paced=self._starts.monitor.is_critical(time.monotonic()),
            change=self._known_change(),
            gateways=len(self._demands),
            protocol=PROTOCOL_VERSION,
            memory=report.memory if report is not None else None,
            loads=loads,
        )

    def _known_change(self) -> StorePosition:
        watch = self.operator_watch
        return watch.table_rows.last_change if watch is not None else NO_CHANGE

    def close(self) -> None:
        """Close all links."""
        self._starts.close()
        self._identity.close()
        for link in self._demands.gateways():
            link.close()

    # Control loop

    def request_replan(self) -> None:
        """Run the planner soon, for instance after a change of the catalogue."""
        self._changed.set()

    async def run(self) -> None:
        """Read the engine's state, send commands and publish reports until cancelled."""
        while True:
            # While nothing is in progress, only this process changes what the engine holds.
            if self._is_busy() or time.monotonic() - self._read_at >= IDLE_POLL_PERIOD_S:
                await self._read_engine()
            if self._report is not None:
                await self._try_plan(self._report)
            self._publish()
            self._changed.clear()
            try:
                async with asyncio.timeout(self._poll_period(time.monotonic())):
                    await self._changed.wait()
            except TimeoutError:
                # The period ended without a change; read the engine's state again.
                pass

    def _is_busy(self) -> bool:
        report = self._report
        return report is not None and bool(report.loading or report.busy or self._unloading)

    def _poll_period(self, now: float) -> float:
        if not self._is_busy():
            return max(MIN_POLL_S, self._read_at + IDLE_POLL_PERIOD_S - now)
        period_s = BUSY_POLL_SHARE * (now - self._busy_changed_at)
        return min(max(period_s, MIN_BUSY_POLL_S), MAX_BUSY_POLL_S)

    async def _read_engine(self) -> None:
        self._read_at = time.monotonic()
        try:
            report = await self._engine.report()
        except EngineTurnsAwayError:
            # What is known of the engine stays in use until it may be asked again.
            return
        except EngineUnavailableError as error:
            self._failed_reads += 1
            if self._report is not None and self._failed_reads >= MAX_FAILED_READS:
                self._log.warning(
                    "The engine is unreachable; its state is unknown.", error=str(error)
                )
                self._report = None
            return
        self._failed_reads = 0
        old, self._report = self._report, report
        if old is None or (old.sequence, old.loading) != (report.sequence, report.loading):
            self._busy_changed_at = self._read_at
        if old is None or old.start_time_ms != report.start_time_ms:
            self._log.info(
                "The engine started or became reachable.",
                born=report.start_time_ms,
                sequence=report.sequence,
                adapters=len(report.adapters),
            )
            self._unloading.clear()
            self._host_cached.clear()
            self._identity.forget(report.start_time_ms)
        else:
            self._unconfirmed_loads.confirm(report.sequence)
        # A command that left the sequence as it was is not being executed: the response came from
        # a late copy of an earlier one, since responses to commands don't name them.
        self._unloading = {
            key: sequence
            for key, sequence in self._unloading.items()
            if key in report.adapters and report.sequence > sequence
        }
        self._note_host_cached(report)
        await self._identity.update(self._engine)

    def _note_host_cached(self, report: EngineReport) -> None:
        """Update the host-cached adapters: those that the engine held most recently."""
        for key in report.adapters:
            self._host_cached.pop(key, None)
            self._host_cached[key] = None
        spec = self._identity.spec
        max_cached = HOST_CACHE_PER_ADAPTER_SLOT * (spec.adapter_slots if spec is not None else 1)
        while len(self._host_cached) > max_cached:
            del self._host_cached[next(iter(self._host_cached))]

    async def _try_plan(self, report: EngineReport) -> None:
        """Execute the plan; gateways hear of the engine's state even if that fails."""
        try:
            await self._execute_plan(report)
        except Exception as error:
            self._metrics.count_event("plan_failed")
            self._log.error("The plan could not be executed.", error=describe(error))

    async def _execute_plan(self, report: EngineReport) -> None:
        spec = self._identity.spec
        if spec is None or report.is_draining or not await self._fencing_token.acquire():
            return
        if not report.models:
            await self._load_model(report, spec)
            return
        planned_for = self._identity.upstream_id, report.start_time_ms
        for command in plan_commands(self._engine_view(report, spec)):
            if self._report is None:
                return
            if (self._identity.upstream_id, self._report.start_time_ms) != planned_for:
                # Another engine has taken the address since.
                return
            slots = spec.adapter_slots - self._reserved_slots(self._report, time.monotonic())
            if not has_free_slot(command, self._report, slots):
                return
            if not await self._send_command(command, self._report):
                return
            await self._read_engine()

    def _reserved_slots(self, report: EngineReport, now: float) -> int:
        return self._unconfirmed_loads.reserved_slots(report, self._identity.upstream_id, now)

    async def _load_model(self, report: EngineReport, spec: EngineSpec) -> None:
        if not report.busy and spec.models:
            await self._send_command(AdapterCommand(CommandKind.LOAD, spec.models[0]), report)

    async def _send_command(self, command: AdapterCommand, report: EngineReport) -> bool:
        token = self._fencing_token.value
        assert token is not None
        result = await self._engine.send_command(
            command, report.sequence, token, self._identity.upstream_id
        )
        self._metrics.count_event(f"order_{command.kind.value}_{result.value}")
        self._log.info(
            "An order was given.",
            order=command.kind.value,
            model=command.model,
            adapter=command.adapter,
            version=command.version,
            sequence=report.sequence,
            token=token,
            result=result.value,
        )
        if (
            result is CommandResult.ACCEPTED
            and command.kind is CommandKind.UNLOAD
            and command.adapter is not None
        ):
            # The engine unloads it once its running requests have ended.
            self._unloading[ModelAdapter(command.model, command.adapter)] = report.sequence
        if command.kind is CommandKind.LOAD:
            may_load = result in (CommandResult.ACCEPTED, CommandResult.UNKNOWN)
            if may_load and command.adapter is not None:
                self._charge_load(ModelAdapter(command.model, command.adapter))
            self._unconfirmed_loads.add(
                report.sequence,
                self._identity.upstream_id,
                time.monotonic(),
                is_answered=result is not CommandResult.UNKNOWN,
            )
        return result in (CommandResult.ACCEPTED, CommandResult.DONE)

    def _charge_load(self, key: ModelAdapter) -> None:
        spec = self._identity.spec
        slots = spec.adapter_slots if spec is not None else 1
        self._turns.note_load(key, load_time(key, self._host_cached), slots)

    # Reports to gateways

    def _engine_view(self, report: EngineReport, spec: EngineSpec) -> EngineView:
        now = time.monotonic()
        host_cached = frozenset(self._host_cached)
        demands = self._turns.apply(
            self._demands.totals(now, host_cached), self._demands.claims(now, host_cached)
        )
        return EngineView(
            report=report,
            slots=spec.adapter_slots - self._reserved_slots(report, now),
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
            "The engine's state was read.",
            running=update.running,
            waiting=update.waiting,
            resident=len(update.resident),
            coming=len(update.loading),
            free=update.free_adapter_slots,
            backlog=len(update.backlog),
            has_model=update.has_model,
            is_draining=update.is_draining,
            gateways=len(self._demands),
        )

    def _publish(self) -> None:
        now = time.monotonic()
        update = self._build_update()
        self._has_backlog = bool(update.backlog)
        self._log_state(update, now)
        for link in self._demands.gateways():
            if link.is_heartbeat_overdue(now):
                link.close()
                if self.operator_watch is not None:
                    self.operator_watch.note_silent_peer()
        due = self._publication.due(update, now)
        data = encode(update) if due else b""
        for link in due:
            self._publication.note_sent(link, update, now)
            link.send_encoded(data)

    def _send_update(self, link: Link, update: EngineUpdate, now: float) -> None:
        self._publication.note_sent(link, update, now)
        link.send_encoded(encode(update))

    def _build_update(self) -> EngineUpdate:
        report, spec = self._report, self._identity.spec
        if report is None:
            return UNKNOWN_ENGINE
        if spec is None or self._fencing_token.value is None:
            return update_without_commands(report, self._identity.upstream_id)
        return make_update(
            self._engine_view(report, spec), spec.adapter_slots, self._identity.upstream_id
        )
