"""Configuration services with real gRPC servers on loopback."""

import contextlib
import time
from collections.abc import Callable, Iterator

from dragonflyhold.config.peers import DaemonIdentity
from dragonflyhold.config.service import ConfigService
from dragonflyhold.ids import DataCentre, Incarnation, Region
from dragonflyhold.observability import Metrics
from dragonflyhold.operations import OperatorService
from dragonflyhold.requests.crashes import CrashExchange
from dragonflyhold.settings import ConfigSettings, TlsSettings
from dragonflyhold.timers import TimerService
from dragonflyhold.transport.grpc_endpoints import bind_server, make_server
from dragonflyhold.transport.schema import operator_pb2 as pb
from tests.fakes import FakeObjectStore, FakeTable

# Upper bound for waiting on real threads; no test asserts a shorter time.
WAIT_S = 30.0
NO_TLS = TlsSettings()


def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        time.sleep(0.01)


class Daemon:
    """A configuration service with its server and timers."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        table: FakeTable,
        object_store: FakeObjectStore,
        seeds: tuple[str, ...] = (),
        tls: TlsSettings = NO_TLS,
        crashes: CrashExchange | None = None,
    ) -> None:
        self.timers = TimerService()
        self.server = make_server(8)
        self.address = f"127.0.0.1:{bind_server(self.server, '127.0.0.1:0', tls)}"
        identity = DaemonIdentity(
            name, Region("almaty"), DataCentre(data_centre), self.address, Incarnation("0" * 16)
        )
        self.service = ConfigService(
            ConfigSettings(
                seeds=seeds, compare_period_s=0.1, head_read_period_s=0.2, snapshot_every=4
            ),
            identity,
            table,
            object_store,
            tls,
            self.timers,
            Metrics(),
            crashes,
        )
        self.service.add_to_server(self.server)
        OperatorService(self.service, self._explain, self._status, tls).add_to_server(self.server)
        self.server.start()
        self.service.start()
        self.timers.start()

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.service.view.revision

    def stop(self) -> None:
        """Stop the timers, the service and the server."""
        self.timers.stop()
        self.service.stop()
        self.server.stop(None).wait()

    def _explain(self, request_id: str) -> pb.ExplainReply:
        reply = pb.ExplainReply()
        reply.events.add(at_ms=1_700_000_000_123, text=f"routed {request_id}")
        return reply

    def _status(self) -> pb.StatusReply:
        reply = pb.StatusReply(daemon="entry-1", config_revision=self.revision)
        reply.upstreams.add(name="runner-1", service="tapster-lm", state=1, why="draining")
        return reply


class Cluster:
    """Daemons that share an object store and are stopped together."""

    def __init__(self) -> None:
        self.object_store = FakeObjectStore()
        self._stack = contextlib.ExitStack()

    def start(
        self,
        name: str,
        data_centre: str,
        table: FakeTable,
        seeds: tuple[str, ...] = (),
        tls: TlsSettings = NO_TLS,
        crashes: CrashExchange | None = None,
    ) -> Daemon:
        """Start a daemon that runs until the cluster is stopped."""
        daemon = Daemon(name, data_centre, table, self.object_store, seeds, tls, crashes)
        self._stack.callback(daemon.stop)
        return daemon

    def stop(self) -> None:
        """Stop all daemons."""
        self._stack.close()


@contextlib.contextmanager
def running_cluster() -> Iterator[Cluster]:
    """Provide a cluster and stop its daemons at the end."""
    cluster = Cluster()
    try:
        yield cluster
    finally:
        cluster.stop()
