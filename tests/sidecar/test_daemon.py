"""Tests of the daemon over gRPC, with a fake upstream."""

import hashlib
import time
import urllib.error
import urllib.request
from collections.abc import Iterator

import pytest

from dragonflyhold.sidecar.daemon import SidecarDaemon, Surroundings
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.sidecar.client import TIMEOUT_S, EntryClient, make_submit
from tests.sidecar.fakes import FakeConfig, FakeEngine, FakeTable, FakeVms, make_settings


class Rig:
    """A daemon beside a fake engine."""

    def __init__(self, engine: FakeEngine | None = None) -> None:
        self.engine = engine or FakeEngine()
        self.config = FakeConfig()
        self.table = FakeTable()
        self.vms = FakeVms()
        surroundings = Surroundings(table=self.table, vms=self.vms, engine=self.engine)
        self.daemon = SidecarDaemon(
            make_settings(detach_grace_s=0.5), surroundings, lambda *args: self.config
        )
        self.daemon.start()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until the daemon takes work."""
        for _ in range(int(TIMEOUT_S / 0.02)):
            try:
                self.get("/readyz")
                return
            except urllib.error.HTTPError:
                time.sleep(0.02)
        raise AssertionError("daemon is not ready")

    def get(self, path: str) -> str:
        """Read from the status server."""
        url = f"http://127.0.0.1:{self.daemon.http_port}{path}"
        with urllib.request.urlopen(url, timeout=TIMEOUT_S) as response:
            return response.read().decode()

    def stop(self) -> None:
        """Stop the daemon."""
        self.engine.gate.set()
        self.daemon.request_stop()
        assert self.daemon.wait(TIMEOUT_S * 2)


@pytest.fixture
def rig() -> Iterator[Rig]:
    rig = Rig()
    yield rig
    rig.stop()


class TestExchange:
    """Guards against answers that are cut, doubled or sent to another request."""

    def test_completion_comes_whole_with_count_and_digest(self, rig: Rig) -> None:
        client = EntryClient(rig.daemon.grpc_port)
        client.submit(make_submit(7))
        pieces, end = client.answer(7)
        assert end.outcome == pb.OUTCOME_OK
        assert (end.count, end.digest) == (3, hashlib.sha256(b"".join(pieces)).digest())
        assert (end.adapter, end.version) == ("pale", 1)
        client.acknowledge(end)
        client.close()
