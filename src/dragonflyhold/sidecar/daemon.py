"""Sidecar daemon of an upstream: wiring, start and graceful stop."""

import concurrent.futures
import dataclasses
import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import Protocol, final

import grpc
import pykka

from dragonflyhold.config.objects import Upstream
from dragonflyhold.ids import Incarnation, new_incarnation
from dragonflyhold.observability import ComponentLogger, Metrics
from dragonflyhold.requests import CrashTable, QueuedRequest
from dragonflyhold.settings import SidecarSettings
from dragonflyhold.sidecar import messages as msg
from dragonflyhold.sidecar.actor import SidecarActor
from dragonflyhold.sidecar.broker_probe import BrokerProbe
from dragonflyhold.sidecar.budget import (
    BrokerClient,
    BrokerDirectory,
    BrokerServicer,
    LoadBudget,
    ThreadSafeBroker,
)
from dragonflyhold.sidecar.core import SidecarCore
from dragonflyhold.sidecar.execution import Pins, RequestExecutor
from dragonflyhold.sidecar.http import StatusServer
from dragonflyhold.sidecar.intake import RequestIntake
from dragonflyhold.sidecar.no_slots import NoSlots
from dragonflyhold.sidecar.ownership import FencingEpochStore
from dragonflyhold.sidecar.runs import EngineRun, PlainRun, RequestRun
from dragonflyhold.sidecar.servicer import SidecarServicer
from dragonflyhold.sidecar.slots import SlotManager
from dragonflyhold.sidecar.supervision import EngineCheck, PlainCheck, Supervisor
from dragonflyhold.sidecar.tables import ConfigSource, make_tables
from dragonflyhold.sidecar.watches import QuarantineStore, SingleFlight, VmWatch
from dragonflyhold.storage.interface import Table, VmList
from dragonflyhold.timers import Tick, TimerService
from dragonflyhold.transport.grpc_endpoints import bind_server, make_server
from dragonflyhold.transport.schema import broker_pb2_grpc, sidecar_pb2_grpc
from dragonflyhold.upstreams.interface import EngineClient, PlainClient

# Each open stream occupies one worker; at the target size about 43 entries connect to a sidecar.
GRPC_WORKERS = 256
# Maximum numbers of threads, which are created on demand.
RUN_WORKERS = 1024
COMMAND_WORKERS = 64
# Time between two checks of whether all requests have finished, during a stop.
DRAIN_POLL_S = 0.05
# Time between two attempts to store newly confirmed fingerprints and, until that has succeeded, to
# load the stored ones.
QUARANTINE_PERIOD_S = 2.0
# Time that open gRPC calls get to end before the server cancels them.
STOP_GRACE_S = 1.0
# The engine runs requests of a lower priority value first, so batch requests run last.
INTERACTIVE_PRIORITY = 0
BATCH_PRIORITY = 10

_logger = ComponentLogger("sidecar")


class ManagedConfig(ConfigSource, Protocol):
    """A configuration source that is started and stopped with the daemon."""

    def start(self) -> None:
        """Start following the configuration."""

    def stop(self) -> None:
        """Stop following the configuration."""

    def add_to_server(self, server: grpc.Server) -> None:
        """Register the gRPC service through which peers fetch the configuration."""

    def budget_upstreams(self) -> Sequence[Upstream]:
        """Return the upstreams of the region that share the load budget."""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExternalServices:
    """Clients of the services outside the process."""

    table: Table
    vms: VmList
    # Exactly one of ``engine`` and ``plain`` is set.
    engine: EngineClient | None = None
    plain: PlainClient | None = None


ConfigFactory = Callable[[TimerService, Metrics, CrashTable, Incarnation], ManagedConfig]


@final
class SidecarDaemon:
    """Runs one sidecar; call ``start`` once, then ``request_stop`` and ``wait``."""

    def __init__(
        self, settings: SidecarSettings, external: ExternalServices, make_config: ConfigFactory
    ) -> None:
        self._settings = settings
        self._external = external
        self._clock = time.monotonic
        self.incarnation = new_incarnation()
        self.metrics = Metrics()
        self._timers = TimerService(self._clock)
        self._crashes = CrashTable(settings.crash_limit)
        self._config = make_config(self._timers, self.metrics, self._crashes, self.incarnation)
        self._tables = make_tables(
            settings, self.incarnation, self._config, self._crashes, self.metrics
        )
        self._run_pool = concurrent.futures.ThreadPoolExecutor(RUN_WORKERS, "run")
        self._command_pool = concurrent.futures.ThreadPoolExecutor(COMMAND_WORKERS, "command")
        self._actor: pykka.ActorRef | None = None
        self._server = make_server(GRPC_WORKERS)
        self._status = StatusServer(settings.http_address, self.metrics, self._is_ready)
        self._directory = BrokerDirectory(settings.upstream.name, self._config.budget_upstreams)
        self._local_broker = ThreadSafeBroker(settings.load_budget)
        self._broker_client = BrokerClient(
            settings.upstream.name,
            self.incarnation,
            self._directory,
            self._local_broker,
            settings.tls,
            self.metrics,
            self._clock,
        )
        self._supervisor = self._make_supervisor()
        self._stop_lock = threading.Lock()
        self._stop_thread: threading.Thread | None = None
        self._done = threading.Event()
        self.grpc_port = 0

    @property
    def http_port(self) -> int:
        """Port of the status server."""
        return self._status.port

    def start(self) -> None:
        """Start the daemon; raise ``AddressInUseError`` if another process owns the upstream."""
        # Holding the port makes this process the owner, so it is bound before any command is sent.
        self.grpc_port = bind_server(self._server, self._settings.grpc_address, self._settings.tls)
        core = self._make_core()
        self._actor = SidecarActor.start(core)
        self._add_servicers(self._actor)
        self._status.start()
        self._server.start()
        self._config.start()
        self._supervisor.start()
        self._subscribe(core)
        self._timers.start()
        _logger.info("Started.", upstream=self._settings.upstream.name, port=self.grpc_port)

    def request_stop(self) -> None:
        """Start a graceful stop, which refuses new work and finishes open requests.

        Return immediately; may be called more than once.
        """
        with self._stop_lock:
            if self._stop_thread is not None:
                return
            self._stop_thread = threading.Thread(target=self._stop, name="stop")
            self._stop_thread.start()

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the daemon has stopped; return whether it has."""
        return self._done.wait(timeout_s)

    def _stop(self) -> None:
        _logger.info("Stopping after open requests have finished.")
        self._send_message(msg.LeavingChanged("stop", True))
        while not self._ask_bool(msg.IsDrainedCall()):
            time.sleep(DRAIN_POLL_S)
        self._timers.stop()
        self._supervisor.stop()
        for outbox in self._tables.hub.all():
            outbox.close()
        self._server.stop(STOP_GRACE_S).wait()
        self._config.stop()
        if self._actor is not None:
            self._actor.stop()
        self._run_pool.shutdown()
        self._command_pool.shutdown()
        self._broker_client.close()
        self._status.stop()
        _logger.info("Stopped.")
        self._done.set()

    def _make_core(self) -> SidecarCore:
        settings, external = self._settings, self._external
        slots: SlotManager | None = None
        budget: LoadBudget | None = None
        if external.engine is not None:
            budget = LoadBudget(
                settings.load_budget,
                self._broker_client,
                self._directory,
                self._submit,
                self._send_message,
            )
            slots = SlotManager(
                settings.slots,
                self.incarnation,
                external.engine,
                budget,
                self.metrics,
                self._submit,
                self._send_message,
                random.Random(self.incarnation),
            )
        pins: SlotManager | NoSlots = slots or NoSlots()
        intake = RequestIntake(self._tables, pins)
        executor = RequestExecutor(
            self._tables,
            pins,
            lambda request, slot: self._make_run(pins, request, slot),
            self._start_run,
            self._supervisor.check_soon,
        )
        return SidecarCore(
            self._tables, intake, executor, slots, budget, self._invalidate_claim, self._clock
        )

    def _make_supervisor(self) -> Supervisor:
        settings, external = self._settings, self._external
        epoch_store = FencingEpochStore(external.table, settings.upstream.name, self.incarnation)
        self._engine_check: EngineCheck | None = None
        if external.engine is not None:
            self._engine_check = EngineCheck(external.engine, epoch_store)
            check = self._engine_check
            return Supervisor(check, self._send_message, settings.upstream.health_period_s)
        if external.plain is None:
            raise ValueError("ExternalServices has neither an engine nor a plain service")
        plain_check = PlainCheck(external.plain, epoch_store)
        return Supervisor(plain_check, self._send_message, settings.upstream.health_period_s)

    def _add_servicers(self, actor: pykka.ActorRef) -> None:
        servicer = SidecarServicer(self._tables, actor, self._clock)
        sidecar_pb2_grpc.add_SidecarServicer_to_server(servicer, self._server)
        probe = BrokerProbe(self._directory, self._settings.tls, self._submit, self._clock)
        broker_servicer = BrokerServicer(
            self._settings.load_budget,
            self._local_broker,
            self._directory,
            probe.check,
            self._clock,
        )
        broker_pb2_grpc.add_LoadBrokerServicer_to_server(broker_servicer, self._server)
        self._config.add_to_server(self._server)

    def _subscribe(self, core: SidecarCore) -> None:
        settings, external = self._settings, self._external

        def tick(event: Tick) -> None:
            # Ticks are skipped while idle, because 50 messages per second cost 1 to 2% of a core.
            if core.needs_ticks:
                self._send_message(msg.TimerTick(event.paused_s))

        def heartbeat(event: Tick) -> None:
            self._send_message(msg.HeartbeatTick())

        def report_leaving(is_leaving: bool) -> None:
            self._send_message(msg.LeavingChanged("vm_list", is_leaving))

        vm_watch = VmWatch(external.vms, settings, report_leaving)
        quarantine_store = QuarantineStore(external.table, self._crashes, self.metrics)
        self._timers.subscribe(settings.slots.tick_s, tick)
        self._timers.subscribe(settings.transport.heartbeat_s, heartbeat)
        self._timers.subscribe(
            settings.platform.vm_list_period_s, SingleFlight(vm_watch.poll, self._submit)
        )
        poll_quarantine = SingleFlight(quarantine_store.poll, self._submit)
        poll_quarantine()
        self._timers.subscribe(QUARANTINE_PERIOD_S, poll_quarantine)

    def _make_run(self, pins: Pins, request: QueuedRequest, slot: int | None) -> RequestRun:
        tables, external = self._tables, self._external
        payload = tables.payloads[request.request_id]
        if external.engine is not None and slot is not None:
            return EngineRun(
                request.request_id,
                external.engine,
                pins.engine_name(slot),
                payload.body,
                BATCH_PRIORITY if request.is_batch else INTERACTIVE_PRIORITY,
                tables.answers,
                tables.hub.notify_readers,
            )
        if external.plain is None:
            raise ValueError("a completion requires an engine and an adapter slot")
        remaining_s = max(request.deadline - self._clock(), 0.001)
        return PlainRun(
            request.request_id,
            external.plain,
            payload,
            remaining_s,
            tables.answers,
            tables.hub.notify_readers,
        )

    def _start_run(self, run: RequestRun) -> None:
        self._run_pool.submit(lambda: self._send_message(run.run()))

    def _submit(self, function: Callable[[], object]) -> None:
        self._command_pool.submit(function)

    def _invalidate_claim(self) -> None:
        if self._engine_check is not None:
            self._engine_check.invalidate_claim()
            self._supervisor.check_soon()

    def _is_ready(self) -> bool:
        return self._ask_bool(msg.IsReadyCall())

    def _ask_bool(self, message: object) -> bool:
        if self._actor is None:
            return False
        try:
            return bool(self._actor.ask(message, timeout=5.0))
        except (pykka.Timeout, pykka.ActorDeadError):
            return False

    def _send_message(self, message: object) -> None:
        actor = self._actor
        if actor is None:
            return
        try:
            actor.tell(message)
        except pykka.ActorDeadError:
            _logger.debug(
                "Dropped a message because the sidecar has stopped.",
                message=type(message).__name__,
            )
