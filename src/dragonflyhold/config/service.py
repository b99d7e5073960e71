"""The configuration service of a daemon: runs a replica with threads, timers and gRPC."""

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
# Maximum number of outstanding compares; an unresponsive peer occupies a thread for its timeout.
_MAX_COMPARES = 4
_TASK_WORKERS = 8
_WAIT_WORKERS = 16
_PUSH_WORKERS = 16
_WAIT_POLL_S = 0.1


@final
class ConfigService:
    """Keeps the configuration of a daemon current and commits changes."""

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
            self._on_installed,
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
            self._on_accepted,
        )
        self._schedule = Schedule(settings, rng)
        self._pool = concurrent.futures.ThreadPoolExecutor(_TASK_WORKERS, "config")
        self._outstanding: dict[str, int] = {}
        self._lock = threading.Lock()
        self._subscription: Subscription | None = None
        self._stopped = False
        if crashes is not None:
            # A caller may retry a crashing request immediately through another entry daemon.
            crashes.subscribe(self._schedule_push)

    @property
    def view(self) -> ConfigView:
        """Read access to the configuration in force."""
        return self._replica

    @property
    def replica(self) -> ConfigReplica:
        """The replica that holds this daemon's copy of the configuration."""
        return self._replica

    @property
    def state(self) -> ConfigState:
        """The configuration in force, for listing objects."""
        return self._replica.state

    def start(self) -> None:
        """Start to read the table and to compare with peers, in the background."""
        self._replica.record_tick(self._clock(), 0.0)
        self._subscription = self._timers.subscribe(TICK_S, self._on_tick)
        self._submit("head", 1, self._propagation.read_head)
        self._submit("compare", _MAX_COMPARES, self._propagation.compare_once)

    def stop(self) -> None:
        """Stop all tasks and close the connections."""
        self._stopped = True
        if self._subscription is not None:
            self._subscription.cancel()
        self._peers.close()
        self._pool.shutdown(wait=True, cancel_futures=True)

    def is_fresh(self, now: float) -> bool:
        """Return whether the daemon may accept new requests at ``now`` (monotonic seconds)."""
        return self._replica.is_fresh(now)

    def table_age_s(self, now: float) -> float:
        """Return the seconds since the last table read."""
        return self._replica.table_age_s(now)

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Record a revision that a peer reported; fetch it in the background if missing."""
        if self._replica.observe_revision(revision):
            self._submit("fetch", 2, lambda: self._propagation.fetch_from(address, revision))

    def add_to_server(self, server: grpc.Server) -> None:
        """Register the ``ConfigPeer`` service."""
        servicer = ConfigPeerServicer(self._replica, self.observe_revision)
        pb_grpc.add_ConfigPeerServicer_to_server(servicer, server)

    def apply(self, change: pb.ChangeRequest) -> pb.ChangeReply:
        """Commit or reject a change; can take several seconds during a table outage."""
        return self._committer.apply(change)

    def get_change(self, change_id: ChangeId) -> pb.ChangeReply:
        """Return the outcome of a change."""
        return self._committer.get_change(change_id)

    def wait_in_force(self, revision: Revision, timeout_s: float) -> pb.WaitInForceReply:
        """Wait until all reachable daemons have ``revision`` in force.

        Unreachable daemons are listed as missing. They refuse new requests from ``stale_s`` plus
        one second after their last contact, so from then on the revision is in force without them.
        """
        started_at = self._clock()
        unreachable_stale_at = started_at + self._settings.stale_s + 1.0
        behind: dict[str, bool] = {}
        asked = 0
        with concurrent.futures.ThreadPoolExecutor(_WAIT_WORKERS, "config-wait") as pool:
            while True:
                behind = self._poll_revisions(pool, revision, behind)
                asked = max(asked, len(self._replica.peers()) + 1)
                now = self._clock()
                only_unreachable = all(not replied for replied in behind.values())
                in_force = not behind or (only_unreachable and now >= unreachable_stale_at)
                if in_force or now - started_at >= timeout_s or self._stopped:
                    return pb.WaitInForceReply(
                        in_force=in_force, daemons_asked=asked, missing=sorted(behind)
                    )
                time.sleep(_WAIT_POLL_S)

    def _poll_revisions(
        self,
        pool: concurrent.futures.Executor,
        revision: Revision,
        behind: dict[str, bool],
    ) -> dict[str, bool]:
        """Return the daemons that lack the revision, each with whether it replied."""
        addresses = sorted(behind) if behind else sorted(self._replica.peers())
        revisions = pool.map(self._peer_revision, addresses)
        missing = {
            address: installed is not None
            for address, installed in zip(addresses, revisions, strict=True)
            if installed is None or installed < revision
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

    def _on_installed(self) -> None:
        """Announce a newly installed revision."""
        self._schedule_push()

    def _schedule_push(self) -> None:
        self._submit("push", 2, self._propagation.push)

    def _on_accepted(self) -> None:
        self._submit("snapshot", 1, self._write_snapshot)

    def _run_all(self, tasks: Sequence[Callable[[], None]]) -> None:
        """Run tasks concurrently, because one for an unreachable data centre takes seconds."""
        if self._stopped:
            return
        with concurrent.futures.ThreadPoolExecutor(_PUSH_WORKERS, "config-push") as pool:
            for future in [pool.submit(task) for task in tasks]:
                future.result()

    def _write_snapshot(self) -> None:
        if not self._propagation.write_snapshot():
            self._schedule.schedule_snapshot_retry(self._clock())

    def _submit(self, kind: str, limit: int, task: Callable[[], object]) -> None:
        """Run a task in the thread pool, unless ``limit`` tasks of its kind are outstanding.

        An unresponsive peer or table occupies a thread for its timeout.
        """
        with self._lock:
            if self._stopped or self._outstanding.get(kind, 0) >= limit:
                return
            self._outstanding[kind] = self._outstanding.get(kind, 0) + 1
        try:
            self._pool.submit(self._run_task, kind, task)
        except RuntimeError:
            # The pool was shut down concurrently.
            self._finish_task(kind)

    def _run_task(self, kind: str, task: Callable[[], object]) -> None:
        try:
            task()
        except Exception:
            # An error in one task must not stop the propagation.
            _LOG.exception("A configuration task failed.", kind=kind)
        finally:
            self._finish_task(kind)

    def _finish_task(self, kind: str) -> None:
        with self._lock:
            self._outstanding[kind] -= 1
