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


def unavailable_table() -> FakeTable:
    table = FakeTable()
    table.is_unavailable = True
    return table


def accept(daemon: Daemon, change_id: str, *operations: pb.Operation) -> None:
    reply = daemon.service.apply(builders.change(change_id, *operations))
    assert reply.result == pb.CHANGE_RESULT_ACCEPTED, reply


class _CrashReports:
    """Crash reports of one daemon; implements ``CrashExchange``."""

    def __init__(self, *reports: CrashReport) -> None:
        self.stored = {report.fingerprint: report for report in reports}

    def reports(self) -> Sequence[CrashReport]:
        return list(self.stored.values())

    def merge(self, reports: Sequence[CrashReport]) -> None:
        self.stored.update({report.fingerprint: report for report in reports})

    def subscribe(self, on_change: Callable[[], None]) -> None:
        self.on_change = on_change


class TestConfigService:
    """Guards against changes that do not reach all daemons and startups that hang."""

    def test_change_reaches_daemon_without_table(self, cluster: Cluster) -> None:
        entry = cluster.start("entry-1", "almaty-a", FakeTable())
        accept(entry, "c1", builders.put(builders.service()))
        sidecar = cluster.start("sidecar-1", "almaty-a", unavailable_table(), (entry.address,))
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
        # Without the covered change rows, the first services are available only in the snapshot.
        covered = int(next(iter(cluster.object_store.objects)).rpartition("/")[2])
        for revision in range(1, covered + 1):
            del table.rows[f"config/change/{revision:020d}"]
        other = cluster.start("entry-2", "almaty-a", table)
        wait_for(lambda: other.revision == 6)
        assert other.service.view.service(ServiceName("service-0")) is not None

    def test_start_without_snapshot_reads_all_change_rows(self, cluster: Cluster) -> None:
        table = FakeTable()
        entry = cluster.start("entry-1", "almaty-a", table)
        for number in range(5):
            accept(entry, f"c{number}", builders.put(builders.service(f"service-{number}")))
        cluster.object_store.is_unavailable = True
        other = cluster.start("entry-2", "almaty-a", table)
        wait_for(lambda: other.revision == 5)

    def test_unresponsive_peer_does_not_block_others(self, cluster: Cluster) -> None:
        with socket.create_server(("127.0.0.1", 0)) as unresponsive:
            # The socket accepts connections and never replies.
            unresponsive_address = f"127.0.0.1:{unresponsive.getsockname()[1]}"
            entry = cluster.start("entry-1", "almaty-a", FakeTable(), (unresponsive_address,))
            accept(entry, "c1", builders.put(builders.service()))
            seeds = (unresponsive_address, entry.address)
            sidecar = cluster.start("sidecar-1", "almaty-a", unavailable_table(), seeds)
            wait_for(lambda: sidecar.revision == 1)

    def test_daemon_without_table_and_peers_is_not_fresh(self, cluster: Cluster) -> None:
        isolated = cluster.start("sidecar-1", "almaty-a", unavailable_table())
        assert not isolated.service.is_fresh(time.monotonic())

    def test_crash_reports_are_exchanged_in_compares(self, cluster: Cluster) -> None:
        report = CrashReport(Fingerprint(b"f" * 32), 2, False)
        sender, receiver = _CrashReports(report), _CrashReports()
        entry = cluster.start("entry-1", "almaty-a", FakeTable(), crashes=sender)
        cluster.start(
            "sidecar-1", "almaty-a", unavailable_table(), (entry.address,), crashes=receiver
        )
        wait_for(lambda: receiver.stored == {report.fingerprint: report})

    def test_new_crash_reports_are_pushed(self, cluster: Cluster) -> None:
        report = CrashReport(Fingerprint(b"f" * 32), 2, True)
        sender, receiver = _CrashReports(), _CrashReports()
        entry = cluster.start("entry-1", "almaty-a", FakeTable(), crashes=sender)
        other = cluster.start(
            "sidecar-1", "almaty-a", unavailable_table(), (entry.address,), crashes=receiver
        )
        wait_for(lambda: entry.address in other.service.replica.peers())
        wait_for(lambda: other.address in entry.service.replica.peers())
        # Without timers there are no periodic compares, so only a push can deliver the report.
        entry.timers.stop()
        other.timers.stop()
        sender.stored[report.fingerprint] = report
        sender.on_change()
        wait_for(lambda: receiver.stored == {report.fingerprint: report})

    def test_large_change_is_stored_in_parts(self, cluster: Cluster) -> None:
        table = FakeTable()
        entry = cluster.start("entry-1", "almaty-a", table)
        # The names do not compress, so the change does not fit into one row.
        names = [hashlib.sha256(b"%d" % number).hexdigest() for number in range(8_000)]
        adapters = builders.puts(builders.adapter(name) for name in names)
        accept(entry, "c1", builders.put(builders.service()), *adapters)
        assert any(key.startswith("config/part/") for key in table.rows)
        other = cluster.start("entry-2", "almaty-a", table)
        wait_for(lambda: other.revision == 1)
        assert all(other.service.view.has_adapter(ServiceName("tapster-lm"), n) for n in names)
