"""Gateway and agent processes: start, signals, settings reload, graceful shutdown."""

import asyncio
import dataclasses
import os
import random
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import final

from dragonflyhold.accounts import AccountDirectory
from dragonflyhold.errors import UsageError
from dragonflyhold.gateway.agent import Agent
from dragonflyhold.gateway.byte_budget import ByteBudget
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.crash_archive import CrashArchive
from dragonflyhold.gateway.gateway import Gateway
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.http_server import HttpServer
from dragonflyhold.gateway.link import HEARTBEAT_S, Link
from dragonflyhold.gateway.logs import JsonLogger, LogWriter, setup_json_logging
from dragonflyhold.gateway.model import Address, IngressLimits
from dragonflyhold.gateway.peers import PeerSnapshots
from dragonflyhold.gateway.responder import Responder
from dragonflyhold.gateway.send_gates import SendState
from dragonflyhold.gateway.shutdown import PlannedStop
from dragonflyhold.gateway.table_rows import TableRules
from dragonflyhold.gateway.tasks import run_until_done, supervise
from dragonflyhold.gateway.watch import (
    FEED_WAIT_S,
    LONG_FEED_WAIT_S,
    WAIT_PER_GATEWAY_S,
    TableWatch,
)
from dragonflyhold.ids import ServiceName
from dragonflyhold.observability.metrics import Metrics
from dragonflyhold.platform.codec import operator_row_order, registry_row_order
from dragonflyhold.platform.engine import HttpEngineControl
from dragonflyhold.platform.settings import PATH_VARIABLE, Bounds, DaemonSettings, load_settings
from dragonflyhold.platform.store import (
    OPERATOR_TABLE,
    REGISTRY_TABLE,
    MetadataStore,
    StoredRow,
)

# Delay between two reads of the registry, as a share of the time limit for ending new work on a
# draining upstream. The rows change with each lease renewal of an upstream; agents report changes
# of engines sooner.
REGISTRY_PAUSE_SHARE = 0.5
# Longest wait of a read for a change, as such a share. With the pause it stays below the time for
# which a read of the registry shows all software versions that streams may have begun on.
REGISTRY_WAIT_SHARE = 0.1
# Ports of the metrics endpoints; keep them in step with the deployment file.
GATEWAY_METRICS_PORT = 9464
AGENT_METRICS_PORT = 9465
HOUSEKEEPING_PERIOD_S = 0.25
# The operator's rows are replaced, never removed; upstreams leave.
OPERATOR_RULES = TableRules(operator_row_order, rows_stay=True)
REGISTRY_RULES = TableRules(registry_row_order)
# Wait for a change in a call that confirms keys, as a share of the time for which they stay valid
# without one, and the shortest such wait.
CONFIRMATION_SHARE = 0.2
MIN_CONFIRMATION_S = 0.1
# Interval at which crash records are compared with those of an agent.
CRASH_COMPARISON_S = 1.0
# Interval at which an agent repeats the limits of upstreams to all gateways.
LIMIT_REPETITION_S = 1.0
# Interval between checks for silent VMs on which requests depend.
LIVENESS_CHECK_S = 0.05
# The platform takes a daemon out of rotation after two failed readiness checks, one per second.
ROTATION_DELAY_S = 3.2
# Reserve at the end of the shutdown grace period, so that the process exits before it is killed.
STOP_MARGIN_S = 0.4
# A longer gap between two housekeeping runs is logged as a pause of the process.
PAUSE_THRESHOLD_S = 1.0
EXIT_INVALID_SETTINGS = 2


@final
class SettingsFile:
    """The settings file; reloaded after SIGHUP or when it has changed."""

    def __init__(self) -> None:
        self._path = os.environ.get(PATH_VARIABLE, "")
        # Before the file is read, so that a later change is noticed.
        self._stamp = self._read_stamp()
        self.current = load_settings()
        self._log = JsonLogger("settings")

    def reload_if_changed(self, force: bool = False) -> bool:
        """Reload the file if it changed; keep the old settings if the new ones are invalid.

        Return whether any setting changed.
        """
        stamp = self._read_stamp()
        if stamp == self._stamp and not force:
            return False
        self._stamp = stamp
        try:
            settings = load_settings()
        except UsageError as error:
            self._log.error(
                "The settings file is invalid; the previous settings stay in force.",
                error=str(error),
            )
            return False
        changed = [
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self.current, field.name)
        ]
        self.current = settings
        self._log.info("The settings were read.", changed=changed, signalled=force)
        return bool(changed)

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            # The file may be in the middle of a replacement; the next check sees the new one.
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)


@final
class GatewayDaemon:
    """The gateway process on a gateway VM."""

    def __init__(self, settings_file: SettingsFile, log_writer: LogWriter | None = None) -> None:
        self._settings_file = settings_file
        self._log_writer = log_writer
        self._settings = settings_file.current
        self._metrics = Metrics()
        self._log = JsonLogger("daemon")
        self._stop = asyncio.Event()
        self.gateway = Gateway(self._settings, self._metrics)
        self._store = MetadataStore(
            self._settings.store,
            self.gateway.pool,
            self._metrics.count_event,
            self._metrics.observe_store_call,
        )
        self._operator_watch = TableWatch(
            self._store,
            OPERATOR_TABLE,
            self._apply_operator_row,
            wait_s=LONG_FEED_WAIT_S,
            wait_limit=lambda: WAIT_PER_GATEWAY_S * self.gateway.agent_links.count_gateways(),
            rules=OPERATOR_RULES,
            count=self._metrics.count_event,
        )
        self.gateway.agent_links.operator_watch = self._operator_watch
        self._registry_watch = TableWatch(
            self._store,
            REGISTRY_TABLE,
            self.gateway.registry.apply,
            REGISTRY_PAUSE_SHARE * self._settings.bounds.drain_s,
            wait_s=REGISTRY_WAIT_SHARE * self._settings.bounds.drain_s,
            # The long call of the other watch may have been lost in the outage.
            on_recovered=self._operator_watch.restart,
            rules=REGISTRY_RULES,
            count=self._metrics.count_event,
            renewal_s=self._settings.renewal_s,
            binding_s=self._settings.bounds.contact_s,
        )
        self.gateway.registry_watch = self._registry_watch
        self._store.subscribe_restored(self._note_restored)
        self._crash_archive = CrashArchive(self._store, self.gateway.crashes)
        self._ready_server = HttpServer(
            self._serve_readiness,
            IngressLimits(),
            budget=self.gateway.byte_budget,
            most_connections=self._settings.descriptor_limits.readiness_connections,
            on_overload=self.gateway.note_overload,
        )
        self._peer_snapshots = PeerSnapshots(
            [self._operator_watch, self._registry_watch],
            self.gateway.pool,
            lambda: self._store.was_restored,
        )
        self.gateway.has_newest_rows = self._has_newest_rows
        self._peer_server = HttpServer(
            self._peer_snapshots.serve_snapshot, IngressLimits(), budget=self.gateway.byte_budget
        )
        self._is_stopping = False
        # Whether a configuration with client accounts was in force.
        self._has_account_levels = False
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send new connections to this gateway."""
        is_complete = self._peer_snapshots.is_complete
        return self.gateway.is_ready and is_complete and not self._is_stopping

    def _apply_operator_row(self, row: StoredRow) -> None:
        self.gateway.catalogue.apply(row)
        configuration = self.gateway.catalogue.configuration
        if configuration is not None and configuration.accounts is not None:
            self._operator_watch.wait_s = _confirmation_wait_s(self._settings.bounds)
        else:
            self._operator_watch.wait_s = LONG_FEED_WAIT_S

    def _has_newest_rows(self) -> bool:
        """Return whether peers were asked for what a restored store may have lost."""
        return self._peer_snapshots.is_complete or not self._store.was_restored

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and close."""
        _handle_signals(self._stop.set, lambda: self._reload(force=True))
        await self.start()
        await self._stop.wait()
        await self.drain()
        await self.close()

    async def start(self) -> None:
        """Start watching the store and open the listeners."""
        settings = self._settings
        self._tasks = [
            _start_task(self._log, "operator", self._operator_watch.run),
            _start_task(self._log, "registry", self._registry_watch.run),
            _start_task(self._log, "heartbeat", self._send_heartbeats),
            _start_task(self._log, "liveness", self._check_liveness),
            _start_task(self._log, "crashes", self._compare_crashes),
            _start_task(self._log, "housekeeping", self._run_housekeeping),
            _start_task(self._log, "peers", self._fetch_snapshot, run_until_done),
            _start_task(self._log, "archive", self._crash_archive.load, run_until_done),
        ]
        assert settings.client_listener is not None
        await _listen(self.gateway.server, settings.client_listener)
        if settings.ready_listener is not None:
            await _listen(self._ready_server, settings.ready_listener)
        if settings.peer_listener is not None:
            await _listen(self._peer_server, settings.peer_listener)
        port = GATEWAY_METRICS_PORT
        self._metrics_server = await _listen_metrics(self._metrics, settings.ip, port, self._log)
        self._log.info("Started.", role="gateway", vm=settings.vm, store=settings.store)

    async def close(self) -> None:
        """Close all connections and cancel the background tasks."""
        self._log.info("Stopped.", open_requests=self.gateway.server.open_requests)
        self.gateway.close()
        for server in (
            self.gateway.server,
            self._ready_server,
            self._peer_server,
            self._metrics_server,
        ):
            server.abort()
        await _cancel_tasks(self._tasks)

    async def drain(self) -> None:
        """Leave the rotation and wait for open requests, at most until the grace period ends."""
        server, started = self.gateway.server, time.monotonic()
        self._is_stopping = True
        server.is_draining = True
        self._log.info("Stopping.", open_requests=server.open_requests)
        end = started + self._settings.bounds.grace_s - STOP_MARGIN_S
        self.gateway.stop_planned(PlannedStop(started, end))
        await asyncio.sleep(min(ROTATION_DELAY_S, max(0.0, end - time.monotonic())))
        await server.stop_listening()
        while time.monotonic() < end:
            server.close_idle()
            if not server.connections:
                return
            await asyncio.sleep(0.02)

    async def _fetch_snapshot(self) -> None:
        await self._peer_snapshots.fetch_from_seeds(self._other_seeds())

    def _other_seeds(self) -> list[Address]:
        return [seed for seed in self._settings.seeds if seed != self._settings.peer_listener]

    async def _send_heartbeats(self) -> None:
        while True:
            self.gateway.agent_links.send_heartbeats()
            await asyncio.sleep(HEARTBEAT_S)

    async def _compare_crashes(self) -> None:
        while True:
            await asyncio.sleep(CRASH_COMPARISON_S * random.uniform(0.8, 1.2))
            self.gateway.agent_links.compare_crashes()

    async def _check_liveness(self) -> None:
        while True:
            self.gateway.agent_links.ping_silent_agents()
            self.gateway.silent_engines.probe(self.gateway.table.views.values())
            await asyncio.sleep(LIVENESS_CHECK_S)

    async def _run_housekeeping(self) -> None:
        last = time.monotonic()
        was_stable = False
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
            now = time.monotonic()
            if now - last > PAUSE_THRESHOLD_S:
                self._log.warning("The process was paused.", for_s=round(now - last, 3))
            last = now
            watch = self._registry_watch
            is_stable = watch.contact.is_settled
            if is_stable and not was_stable:
                self._log.info(
                    "The registry is stable after an outage or start.",
                    runners=len(self.gateway.table.views),
                )
            was_stable = is_stable
            self._refresh_quarantine()
            self.gateway.budget.set_gateways(self.gateway.agent_links.count_gateways())
            self.gateway.registry.expire()
            if self.gateway.registry.has_missing and not is_stable:
                # Those that come back are to be seen before the doubt ends.
                self._registry_watch.read_soon()
            self.gateway.origins.tell_uncertain()
            self.gateway.account_limits.flush()
            self.gateway.pool.close_expired(now)
            self._update_metrics(now)
            self._reload(force=False)

    def _note_restored(self) -> None:
        self._operator_watch.note_restored()
        self._registry_watch.note_restored()
        self._write_crashes(self._crash_archive.repeat(self.gateway.quarantine.causes))

    def _refresh_quarantine(self) -> None:
        added, removed = self.gateway.quarantine.refresh()
        for trait in added:
            self._write_crashes(self._crash_archive.save(trait))
        for trait in removed:
            self._write_crashes(self._crash_archive.remove(trait))

    def _write_crashes(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _update_metrics(self, now: float) -> None:
        gateway, metrics = self.gateway, self._metrics
        configuration = gateway.catalogue.configuration
        metrics.set_level("waiting_requests", gateway.demands.waiting_count)
        metrics.set_level("runner_connections_opened", gateway.pool.connections_opened)
        metrics.set_level("quarantined_traits", gateway.quarantine.size)
        metrics.set_level("client_connections", len(gateway.server.connections))
        metrics.set_level("runners", len(gateway.table.views))
        views = gateway.table.views.values()
        metrics.set_level("limited_runners", sum(view.limit_per_s is not None for view in views))
        metrics.set_level("leaving_runners", sum(view.is_ending(now) for view in views))
        turned_away = sum(view.gate.state(now) is SendState.TURNED_AWAY for view in views)
        metrics.set_level("turned_away_runners", turned_away)
        metrics.set_level("load_unevenness", gateway.table.unevenness(now))
        metrics.set_level("config_version", configuration.version if configuration else 0)
        metrics.set_level("config_ignored", int(gateway.catalogue.is_newest_invalid))
        accounts = configuration.accounts if configuration is not None else None
        self._has_account_levels |= accounts is not None
        if self._has_account_levels:
            self._set_account_levels(AccountDirectory({}) if accounts is None else accounts)
        for watch in (self._operator_watch, self._registry_watch):
            unavailable_since = watch.unavailable_since
            metrics.set_level(
                f"store_lost_s_{watch.table}",
                0 if unavailable_since is None else now - unavailable_since,
            )
        if self._log_writer is not None:
            metrics.set_level("log_lines_dropped", self._log_writer.dropped)

    def _set_account_levels(self, accounts: AccountDirectory) -> None:
        ignored = sum(summary.count for summary in accounts.problems.values())
        self._metrics.set_level("accounts", len(accounts.accounts))
        self._metrics.set_level("account_keys", len(accounts))
        self._metrics.set_level("account_problems", ignored)

    def _reload(self, force: bool) -> None:
        if self._settings_file.reload_if_changed(force):
            self._settings = self._settings_file.current
            self._store.address = self._settings.store
            limits = self._settings.descriptor_limits
            self.gateway.server.most_connections = limits.client_connections
            self._ready_server.most_connections = limits.readiness_connections

    async def _serve_readiness(self, request: ClientRequest, responder: Responder) -> None:
        del request
        is_ready = self.is_ready
        responder.send(200 if is_ready else 503, [], b"ready" if is_ready else b"not ready")


@final
class AgentDaemon:
    """The agent process on the VM of an engine."""

    def __init__(self, settings_file: SettingsFile) -> None:
        self._settings_file = settings_file
        settings = settings_file.current
        self._settings = settings
        self._metrics = Metrics()
        self._log = JsonLogger("daemon")
        self._stop = asyncio.Event()
        budget = ByteBudget(
            settings.memory_bytes, lambda: self._metrics.count_event("byte_budget_exceeded")
        )
        pool = ConnectionPool(budget)
        self._pool = pool
        self._store = MetadataStore(
            settings.store, pool, self._metrics.count_event, self._metrics.observe_store_call
        )
        self._catalogue = Catalogue(
            on_configuration=lambda configuration: self._agent.request_replan(),
            on_version=lambda key, version: self._agent.request_replan(),
            count=self._metrics.count_event,
        )
        self._operator_watch = TableWatch(
            self._store,
            OPERATOR_TABLE,
            self._catalogue.apply,
            wait_s=LONG_FEED_WAIT_S,
            rules=OPERATOR_RULES,
            count=self._metrics.count_event,
        )
        self._store.subscribe_restored(self._operator_watch.note_restored)
        assert settings.engine is not None
        engine = HttpEngineControl(settings.engine, settings.vm, pool)
        service = ServiceName(settings.service) if settings.service else None
        self._agent = Agent(
            settings.vm,
            service,
            engine,
            self._store,
            self._catalogue,
            self._metrics,
            settings.engine,
        )
        self._agent.operator_watch = self._operator_watch
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def run(self) -> None:
        """Serve until SIGTERM."""
        _handle_signals(self._stop.set, lambda: self._reload(force=True))
        await self.start()
        await self._stop.wait()
        await self.close()

    async def start(self) -> None:
        """Start watching the store and the engine, and accept connections from gateways."""
        settings = self._settings
        self._tasks = [
            _start_task(self._log, "operator", self._operator_watch.run),
            _start_task(self._log, "agent", self._agent.run),
            _start_task(self._log, "pulse", self._send_heartbeats),
            _start_task(self._log, "limits", self._repeat_limits),
            _start_task(self._log, "housekeeping", self._run_housekeeping),
        ]
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(self._agent), settings.ip, settings.agent_port, reuse_address=True
        )
        port = AGENT_METRICS_PORT
        self._metrics_server = await _listen_metrics(self._metrics, settings.ip, port, self._log)
        self._log.info("Started.", role="agent", vm=settings.vm, engine=settings.engine)

    async def close(self) -> None:
        """Stop immediately; gateways keep using the adapters that the engine holds."""
        self._log.info("Stopped.")
        if self._server is not None:
            self._server.close()
        self._metrics_server.abort()
        self._agent.close()
        await _cancel_tasks(self._tasks)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self._agent.send_heartbeats())

    async def _repeat_limits(self) -> None:
        while True:
            await asyncio.sleep(LIMIT_REPETITION_S)
            self._agent.repeat_limits()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
            self._pool.close_expired(time.monotonic())
            self._reload(force=False)

    def _reload(self, force: bool) -> None:
        if self._settings_file.reload_if_changed(force):
            self._settings = self._settings_file.current
            self._store.address = self._settings.store


def _confirmation_wait_s(bounds: Bounds) -> float:
    """Return the wait of a gateway with client accounts for a change of the operator's table.

    Where keys lapse without contact with the store, each call has to confirm them in time, also if
    the one before was lost.
    """
    if bounds.max_key_age_s is None:
        return LONG_FEED_WAIT_S
    return max(MIN_CONFIRMATION_S, min(FEED_WAIT_S, CONFIRMATION_SHARE * bounds.max_key_age_s))


def run_role() -> int:
    """Run the daemon selected by the settings; return the exit status."""
    try:
        settings_file = SettingsFile()
    except UsageError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    settings = settings_file.current
    writer = setup_json_logging(settings.vm)
    asyncio.run(_run(settings_file, settings, writer))
    return 0


async def _run(settings_file: SettingsFile, settings: DaemonSettings, writer: LogWriter) -> None:
    try:
        if settings.client_listener is not None:
            await GatewayDaemon(settings_file, writer).run()
        else:
            await AgentDaemon(settings_file).run()
    finally:
        _ignore_signals()


def _start_task(
    log: JsonLogger,
    name: str,
    run: Callable[[], Coroutine[None, None, None]],
    runner: Callable[..., Coroutine[None, None, None]] = supervise,
) -> asyncio.Task[None]:
    return asyncio.get_running_loop().create_task(runner(log, name, run))


async def _cancel_tasks(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _handle_signals(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


def _ignore_signals() -> None:
    """Let a process that has stopped exit with its own status, and write its last log lines."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def _listen(server: HttpServer, address: Address) -> None:
    host, _, port = address.rpartition(":")
    await server.listen(host, int(port))


async def _listen_metrics(metrics: Metrics, ip: str, port: int, log: JsonLogger) -> HttpServer:
    async def serve_metrics(request: ClientRequest, responder: Responder) -> None:
        del request
        body, content_type = metrics.render()
        responder.send(200, [(b"Content-Type", content_type.encode())], body)

    server = HttpServer(serve_metrics, IngressLimits())
    try:
        await server.listen(ip, port)
    except OSError as error:
        # Metrics are not required for serving requests.
        log.error(
            "The metrics endpoint could not be opened; metrics are not served.",
            port=port,
            error=str(error),
        )
    return server
