"""Entry daemon: construction, startup and graceful shutdown."""

import random
import threading
import time
from typing import final

import grpc

from dragonflyhold.entry.context import RunContext
from dragonflyhold.entry.handlers import CallerHandlers
from dragonflyhold.entry.http_server import CallerServer
from dragonflyhold.entry.observer import LinkObserver, VmListReader
from dragonflyhold.entry.parts import EntryParts, make_parts
from dragonflyhold.entry.recovery import RecoveryProbes
from dragonflyhold.entry.router import Router, RouterActor
from dragonflyhold.observability import ComponentLogger, ExplainLog
from dragonflyhold.settings import EntrySettings
from dragonflyhold.timers import Tick
from dragonflyhold.transport.channel_pool import ChannelPool
from dragonflyhold.transport.grpc_endpoints import bind_server, make_server
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.upstream_stream import LinkContext

_log = ComponentLogger("entry")

# Threads for calls of operators and peers; each open call occupies one.
GRPC_THREADS = 32
GRPC_STOP_GRACE_S = 1.0
SLOW_READ_CHECK_PERIOD_S = 0.5
CRASH_TABLE_PERIOD_S = 1.0


@final
class EntryDaemon:
    """Accepts caller requests and forwards them to sidecars."""

    def __init__(self, settings: EntrySettings, parts: EntryParts | None = None) -> None:
        self._settings = settings
        self._parts = parts if parts is not None else make_parts(settings)
        self._metrics = self._parts.metrics
        self._stop_requested = threading.Event()
        self._stopped = threading.Event()
        self._grpc_server: grpc.Server | None = None
        self.explain = ExplainLog()
        parts = self._parts
        actor = RouterActor.start(
            parts.config.view, settings.routing, settings.retry, random.Random(), time.monotonic()
        )
        self._router = Router(actor)
        observer = LinkObserver(self._router, parts.config)
        link_context = LinkContext(
            settings=settings.transport,
            tls=settings.tls,
            hello=pb.Hello(
                entry=settings.name,
                incarnation=parts.incarnation,
                address=settings.grpc_address,
            ),
            listener=observer,
            metrics=self._metrics,
            config_revision=lambda: int(parts.config.view.revision),
        )
        self._pool = ChannelPool(link_context)
        self._recovery = RecoveryProbes(self._router, link_context)
        self.context = RunContext(
            settings=settings,
            incarnation=parts.incarnation,
            config=parts.config,
            router=self._router,
            pool=self._pool,
            crashes=parts.crashes,
            explain=self.explain,
            metrics=self._metrics,
        )
        self._handlers = CallerHandlers(self.context, self._is_ready)
        self._http = CallerServer(
            settings.http,
            self._handlers.handle,
            lambda code: self._metrics.count_refusal(code.value),
        )

    @property
    def http_port(self) -> int:
        """Port of the caller interface; set by ``start``."""
        return self._http.port

    @property
    def grpc_port(self) -> int:
        """Port of the operator and peer interface; set by ``start``."""
        return self._grpc_port

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return self._handlers.open_requests

    def start(self) -> None:
        """Bind both addresses and serve; raise ``AddressInUseError`` or ``OSError`` on failure."""
        settings, parts = self._settings, self._parts
        server = make_server(GRPC_THREADS)
        self._grpc_port = bind_server(server, settings.grpc_address, settings.tls)
        self._grpc_server = server
        parts.add_to_server(server, self.context)
        server.start()
        parts.config.start()
        transport = settings.transport
        # Half the heartbeat period, so that overdue heartbeats are detected promptly.
        parts.timers.subscribe(transport.heartbeat_s / 2, self._pool.tick)
        parts.timers.subscribe(transport.heartbeat_s, self._recovery.tick)
        parts.timers.subscribe(SLOW_READ_CHECK_PERIOD_S, self._check_slow_reads)
        crashes = parts.crashes
        parts.timers.subscribe(CRASH_TABLE_PERIOD_S, lambda tick: crashes.advance(tick.now))
        vm_list_reader = VmListReader(parts.vm_list, self._router)
        parts.timers.subscribe(settings.platform.vm_list_period_s, vm_list_reader.tick)
        parts.timers.start()
        self._http.open()
        _log.info("Started.", name=settings.name, http=self.http_port, grpc=self.grpc_port)

    def request_stop(self) -> None:
        """Begin a graceful shutdown; idempotent and safe to call from a signal handler."""
        if not self._stop_requested.is_set():
            self._stop_requested.set()
            threading.Thread(target=self._stop, name="stop", daemon=True).start()

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until a requested shutdown is complete; return whether it is."""
        return self._stopped.wait(timeout_s)

    def _is_ready(self) -> bool:
        if self._stop_requested.is_set():
            return False
        return self._parts.config.is_fresh(time.monotonic())

    def _check_slow_reads(self, tick: Tick) -> None:
        self._http.end_slow_reads(tick.now)

    def _stop(self) -> None:
        """Wait for the load balancer to remove this entry, drain the open requests, and close."""
        _log.info("Stopping.", open=self.open_requests)
        # Closes keep-alive connections, so that callers reconnect through the load balancer.
        self._http.keep_alive_conn_limit = 0
        time.sleep(self._settings.balancer_lag_s)
        self._http.close()
        self._pool.close()
        self._parts.timers.stop()
        self._parts.config.stop()
        if self._grpc_server is not None:
            self._grpc_server.stop(GRPC_STOP_GRACE_S).wait()
        self._router.stop()
        _log.info("Stopped.")
        self._stopped.set()
