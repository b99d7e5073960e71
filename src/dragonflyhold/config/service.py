"""The configuration service of a daemon: threads and timers around a replica."""

import concurrent.futures
import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import final

import grpc

from dragonflyhold.config.commit import Committer
from dragonflyhold.config.grpc_peers import ConfigPeerServicer, GrpcPeerClient
from dragonflyhold.config.peers import COMPARE_TIMEOUT_S, DaemonIdentity, PeerUnavailableError
from dragonflyhold.config.propagation import Propagation
from dragonflyhold.config.replica import ConfigReplica
from dragonflyhold.config.schedule import Schedule
from dragonflyhold.config.state import ConfigState
from dragonflyhold.config.store import ConfigStore
from dragonflyhold.config.view import ConfigView
from dragonflyhold.ids import ChangeId, Revision
from dragonflyhold.observability import ComponentLogger, Metrics
from dragonflyhold.requests.crashes import CrashExchange
from dragonflyhold.settings import ConfigSettings, TlsSettings
from dragonflyhold.storage.interface import ObjectStore, Table
from dragonflyhold.timers import Subscription, Tick, TimerService
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc as pb_grpc

_LOG = ComponentLogger("config")

TICK_S = 0.1
# Tasks of a kind that may be outstanding; a silent peer or table holds a thread for its timeout.
_MAX_COMPARES = 4
_WORKERS = 8
_WAIT_WORKERS = 16
_PUSH_WORKERS = 16
_WAIT_POLL_S = 0.1


@final
class ConfigService:
    """Keeps the configuration of a daemon current and accepts changes."""

    def __init__(
        self,
        settings: ConfigSettings,
        identity: DaemonIdentity,
        table: Table,
        object_store: ObjectStore,
        tls: TlsSettings,
        timers: TimerService,
        metrics: Metrics,
        crashes: CrashExchange | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._timers = timers
        self._clock = clock
        rng = random.Random(f"{identity.name}/{identity.incarnation}")
        self._replica = ConfigReplica(settings, identity, crashes, clock, rng)
        self._peers = GrpcPeerClient(tls)
        store = ConfigStore(table, object_store)
        self._propagation = Propagation(
            settings,
            self._replica,
            store,
            self._peers,
            metrics,
            clock,
            self._after_install,
            self._run_all,
        )
        self._committer = Committer(
            settings,
            self._replica,
            store,
            self._propagation,
            metrics,
            clock,
            time.sleep,
            self._after_accept,
        )
        self._schedule = Schedule(settings, rng)
        self._pool = concurrent.futures.ThreadPoolExecutor(_WORKERS, "config")
        self._running: dict[str, int] = {}
        self._lock = threading.Lock()
        self._subscription: Subscription | None = None
        self._stopped = False
        if crashes is not None:
            # A caller may send a crashing request again at once, through another entry.
            crashes.subscribe(self._push_news)

    @property
    def view(self) -> ConfigView:
        """Read access to the configuration in force."""
        return self._replica

    @property
    def replica(self) -> ConfigReplica:
        """This daemon's copy of the configuration."""
        return self._replica

    @property
    def state(self) -> ConfigState:
        """The configuration in force, for lists."""
        return self._replica.state

    def start(self) -> None:
        """Read the configuration in the background and start to compare with peers."""
        self._replica.record_tick(self._clock(), 0.0)
        self._subscription = self._timers.subscribe(TICK_S, self._on_tick)
        self._submit("head", 1, self._propagation.read_head)
        self._submit("compare", _MAX_COMPARES, self._propagation.compare_once)

    def stop(self) -> None:
        """End all work and close the connections."""
        self._stopped = True
        if self._subscription is not None:
            self._subscription.cancel()
        self._peers.close()
        self._pool.shutdown(wait=True, cancel_futures=True)

    def is_fresh(self, now: float) -> bool:
        """Whether the daemon may take new work at ``now`` (monotonic seconds)."""
        return self._replica.is_fresh(now)

    def table_age_s(self, now: float) -> float:
        """Return the age of the last table read in seconds."""
        return self._replica.table_age(now)

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Note a revision that a peer named; fetch it in the background if it is missing."""
        if self._replica.observe_revision(revision):
            self._submit("fetch", 2, lambda: self._propagation.fetch_from(address, revision))

    def add_to_server(self, server: grpc.Server) -> None:
        """Register the ``ConfigPeer`` service."""
        servicer = ConfigPeerServicer(self._replica, self.observe_revision)
        pb_grpc.add_ConfigPeerServicer_to_server(servicer, server)

    def apply(self, change: pb.ChangeRequest) -> pb.ChangeReply:
        """Accept or refuse a change; takes up to some seconds in a table outage."""
        return self._committer.apply(change)

    def get_change(self, change_id: ChangeId) -> pb.ChangeReply:
        """Return the fate of a change."""
        return self._committer.get_change(change_id)

    def wait_in_force(self, revision: Revision, timeout: float) -> pb.WaitInForceReply:
        """Wait until all daemons that answer have ``revision`` in force.

        Daemons that do not answer are listed as missing. They refuse new work ``stale_s`` and one
        second after their last contact, so then the revision is in force without them.
        """
        started = self._clock()
        cut_off = started + self._settings.stale_s + 1.0
        behind: dict[str, bool] = {}
        asked = 0
        with concurrent.futures.ThreadPoolExecutor(_WAIT_WORKERS, "config-wait") as pool:
            while True:
                behind = self._ask_all(pool, revision, behind)
                asked = max(asked, len(self._replica.peers()) + 1)
                now = self._clock()
                silent_only = all(not answered for answered in behind.values())
                in_force = not behind or (silent_only and now >= cut_off)
                if in_force or now - started >= timeout or self._stopped:
                    return pb.WaitInForceReply(
                        in_force=in_force, daemons_asked=asked, missing=sorted(behind)
                    )
                time.sleep(_WAIT_POLL_S)

    def _ask_all(
        self,
        pool: concurrent.futures.Executor,
        revision: Revision,
        behind: dict[str, bool],
    ) -> dict[str, bool]:
        """Return the daemons without the revision; the value tells whether one answered."""
        addresses = sorted(behind) if behind else sorted(self._replica.peers())
        answers = pool.map(self._peer_revision, addresses)
        missing = {
            address: answer is not None
            for address, answer in zip(addresses, answers, strict=True)
            if answer is None or answer < revision
        }
        if self._replica.revision < revision:
            missing["this daemon"] = True
        return missing

    def _peer_revision(self, address: str) -> int | None:
        if address == "this daemon":
            return self._replica.revision
        request = self._replica.compare_request(self._clock())
        try:
            return self._peers.compare(address, request, COMPARE_TIMEOUT_S).revision
        except PeerUnavailableError:
            return None

    def _on_tick(self, tick: Tick) -> None:
        self._replica.record_tick(tick.now, tick.paused_s)
        due = self._schedule.due(tick.now, self._replica, bool(tick.paused_s))
        for _ in range(due.compares):
            self._submit("compare", _MAX_COMPARES, self._propagation.compare_once)
        if due.head_read:
            self._submit("head", 1, self._propagation.read_head)
        if due.snapshot:
            self._submit("snapshot", 1, self._write_snapshot)

    def _after_install(self) -> None:
        """Pass a newly installed revision on."""
        self._push_news()

    def _push_news(self) -> None:
        self._submit("push", 2, self._propagation.push)

    def _after_accept(self) -> None:
        self._submit("snapshot", 1, self._write_snapshot)

    def _run_all(self, tasks: Sequence[Callable[[], None]]) -> None:
        """Run the calls to several data centres side by side: one that is cut off costs seconds."""
        if self._stopped:
            return
        with concurrent.futures.ThreadPoolExecutor(_PUSH_WORKERS, "config-push") as pool:
            for future in [pool.submit(task) for task in tasks]:
                future.result()

    def _write_snapshot(self) -> None:
        if not self._propagation.write_snapshot():
            self._schedule.retry_snapshot(self._clock())

    def _submit(self, kind: str, limit: int, task: Callable[[], object]) -> None:
        """Run a task on a worker, unless ``limit`` tasks of its kind are outstanding."""
        with self._lock:
            if self._stopped or self._running.get(kind, 0) >= limit:
                return
            self._running[kind] = self._running.get(kind, 0) + 1
        try:
            self._pool.submit(self._run, kind, task)
        except RuntimeError:
            # The pool was shut down meanwhile.
            self._end(kind)

    def _run(self, kind: str, task: Callable[[], object]) -> None:
        try:
            task()
        except Exception:
            # A fault in one task must not end the propagation.
            _LOG.exception("Task failed.", kind=kind)
        finally:
            self._end(kind)

    def _end(self, kind: str) -> None:
        with self._lock:
            self._running[kind] -= 1
