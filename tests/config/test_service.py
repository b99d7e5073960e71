"""Tests of the configuration service with real gRPC peers on loopback."""

import hashlib
import socket
import time
from collections.abc import Callable, Iterator, Sequence

import pytest

from dragonflyhold.ids import Fingerprint, Revision, ServiceName
from dragonflyhold.requests.crashes import CrashReport
from dragonflyhold.transport.schema import operator_pb2 as pb
from tests.config import builders
from tests.config.daemons import WAIT_S, Cluster, Daemon, running_cluster, wait_for
from tests.fakes import FakeTable


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    with running_cluster() as running:
        yield running


def dead_table() -> FakeTable:
    table = FakeTable()
    table.is_unavailable = True
    return table


def accept(daemon: Daemon, change_id: str, *operations: pb.Operation) -> None:
    reply = daemon.service.apply(builders.change(change_id, *operations))
    assert reply.result == pb.CHANGE_RESULT_ACCEPTED, reply


class _Crashes:
    """Crash reports of a daemon, as the request tables keep them."""

    def __init__(self, *reports: CrashReport) -> None:
        self.known = {report.fingerprint: report for report in reports}

    def reports(self) -> Sequence[CrashReport]:
        return list(self.known.values())

    def merge(self, reports: Sequence[CrashReport]) -> None:
        self.known.update({report.fingerprint: report for report in reports})

    def subscribe(self, on_change: Callable[[], None]) -> None:
        self.on_change = on_change


class TestConfigService:
    """Guards against changes that do not reach all daemons, and against starts that hang."""

    def test_change_reaches_a_daemon_without_the_table(self, cluster: Cluster) -> None:
        entry = cluster.start("entry-1", "almaty-a", FakeTable())
        accept(entry, "c1", builders.put(builders.service()))
        sidecar = cluster.start("sidecar-1", "almaty-a", dead_table(), (entry.address,))
        wait_for(lambda: sidecar.revision == 1)
        accept(entry, "c2", builders.put(builders.adapter("a")))
        reply = entry.service.wait_in_force(Revision(2), WAIT_S)
        assert (reply.in_force, list(reply.missing), reply.daemons_asked) == (True, [], 2)
        assert sidecar.service.view.has_adapter(ServiceName("tapster-lm"), "a")
        wait_for(lambda: sidecar.service.is_fresh(time.monotonic()))

    def test_start_reads_snapshot_and_change_rows(self, cluster: Cluster) -> None:
        table = FakeTable()
        entry = cluster.start("entry-1", "almaty-a", table)
        for number in range(6):
            accept(entry, f"c{number}", builders.put(builders.service(f"service-{number}")))
        wait_for(lambda: "config/snapshot" in table.rows)
        # Without the rows that the snapshot covers, only the snapshot can give the first services.
        covered = int(next(iter(cluster.object_store.objects)).rpartition("/")[2])
        for revision in range(1, covered + 1):
            del table.rows[f"config/change/{revision:020d}"]
        other = cluster.start("entry-2", "almaty-a", table)
        wait_for(lambda: other.revision == 6)
        assert other.service.view.service(ServiceName("service-0")) is not None

    def test_start_without_the_snapshot_reads_all_change_rows(self, cluster: Cluster) -> None:
        table = FakeTable()
        entry = cluster.start("entry-1", "almaty-a", table)
        for number in range(5):
            accept(entry, f"c{number}", builders.put(builders.service(f"service-{number}")))
        cluster.object_store.is_unavailable = True
        other = cluster.start("entry-2", "almaty-a", table)
        wait_for(lambda: other.revision == 5)

    def test_silent_peers_do_not_stop_the_others(self, cluster: Cluster) -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent:
            # It accepts connections and never answers.
            silent_address = f"127.0.0.1:{silent.getsockname()[1]}"
            entry = cluster.start("entry-1", "almaty-a", FakeTable(), (silent_address,))
            accept(entry, "c1", builders.put(builders.service()))
            seeds = (silent_address, entry.address)
            sidecar = cluster.start("sidecar-1", "almaty-a", dead_table(), seeds)
            wait_for(lambda: sidecar.revision == 1)

    def test_daemon_without_table_and_peers_is_not_fresh(self, cluster: Cluster) -> None:
        lonely = cluster.start("sidecar-1", "almaty-a", dead_table())
        assert not lonely.service.is_fresh(time.monotonic())

    def test_crash_reports_travel_with_compares(self, cluster: Cluster) -> None:
        report = CrashReport(Fingerprint(b"f" * 32), 2, False)
        knows, learns = _Crashes(report), _Crashes()
        entry = cluster.start("entry-1", "almaty-a", FakeTable(), crashes=knows)
        cluster.start("sidecar-1", "almaty-a", dead_table(), (entry.address,), crashes=learns)
        wait_for(lambda: learns.known == {report.fingerprint: report})

    def test_crash_reports_are_pushed_at_once(self, cluster: Cluster) -> None:
        report = CrashReport(Fingerprint(b"f" * 32), 2, True)
        knows, learns = _Crashes(), _Crashes()
        entry = cluster.start("entry-1", "almaty-a", FakeTable(), crashes=knows)
        other = cluster.start(
            "sidecar-1", "almaty-a", dead_table(), (entry.address,), crashes=learns
        )
        wait_for(lambda: entry.address in other.service.replica.peers())
        wait_for(lambda: other.address in entry.service.replica.peers())
        # Without a push the report would have to wait for a comparison that never comes.
        entry.timers.stop()
        other.timers.stop()
        knows.known[report.fingerprint] = report
        knows.on_change()
        wait_for(lambda: learns.known == {report.fingerprint: report})

    def test_large_change_travels_in_parts(self, cluster: Cluster) -> None:
        table = FakeTable()
        entry = cluster.start("entry-1", "almaty-a", table)
        # Names that do not compress, so that the change does not fit one row.
        names = [hashlib.sha256(b"%d" % number).hexdigest() for number in range(8_000)]
        adapters = builders.puts(builders.adapter(name) for name in names)
        accept(entry, "c1", builders.put(builders.service()), *adapters)
        assert any(key.startswith("config/part/") for key in table.rows)
        other = cluster.start("entry-2", "almaty-a", table)
        wait_for(lambda: other.revision == 1)
        assert all(other.service.view.has_adapter(ServiceName("tapster-lm"), n) for n in names)
