"""Tests of the sidecar as a separate process."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from dragonflyhold.process import EXIT_CANNOT_START
from dragonflyhold.standins.engine import EngineStandIn
from dragonflyhold.standins.objects import ObjectStoreStandIn
from dragonflyhold.standins.ports import free_address
from dragonflyhold.standins.table import TableStandIn
from dragonflyhold.standins.vms import VmListStandIn

# Generous limit for slow machines; the result of a test does not depend on it.
TIMEOUT_S = 60.0


class ExternalServices:
    """Stand-ins for all services that the process uses."""

    def __init__(self) -> None:
        self.engine = EngineStandIn()
        self.table = TableStandIn()
        self.objects = ObjectStoreStandIn()
        self.vms = VmListStandIn()
        self._all = [self.engine, self.table, self.objects, self.vms]
        for stand_in in self._all:
            stand_in.start()

    def settings(self, grpc_address: str) -> dict[str, object]:
        """Return the settings of a sidecar for the engine."""
        return {
            "name": "sidecar-1",
            "region": "almaty",
            "data_centre": "almaty-a",
            "grpc_address": grpc_address,
            "http_address": free_address(),
            "upstream": {"name": "runner-1", "type": "engine", "url": self.engine.url},
            "platform": {
                "table_url": self.table.url,
                "object_store_url": self.objects.url,
                "vm_list_url": self.vms.url,
            },
        }

    def stop(self) -> None:
        """Stop all stand-ins."""
        for stand_in in self._all:
            stand_in.stop()


@pytest.fixture
def external() -> Iterator[ExternalServices]:
    external = ExternalServices()
    yield external
    external.stop()


def start(path: pathlib.Path, settings: dict[str, object]) -> "subprocess.Popen[bytes]":
    path.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "dragonflyhold", "run", "sidecar", str(path)]
    return subprocess.Popen(command, stderr=subprocess.DEVNULL)


def wait_for_port(address: str) -> None:
    host, port = address.split(":")
    for _ in range(int(TIMEOUT_S / 0.05)):
        with socket.socket() as probe:
            if probe.connect_ex((host, int(port))) == 0:
                return
        time.sleep(0.05)
    raise AssertionError("sidecar did not start listening in time")


class TestProcess:
    """Guards against two processes that own one upstream, and against a stop that hangs."""

    def test_suspended_owner_keeps_the_port_and_stops_on_sigterm(
        self, external: ExternalServices, tmp_path: pathlib.Path
    ) -> None:
        address = free_address()
        owner = start(tmp_path / "owner.json", external.settings(address))
        try:
            wait_for_port(address)
            owner.send_signal(signal.SIGSTOP)
            second = start(tmp_path / "second.json", external.settings(address))
            assert second.wait(TIMEOUT_S) == EXIT_CANNOT_START
            owner.send_signal(signal.SIGCONT)
            owner.send_signal(signal.SIGTERM)
            assert owner.wait(TIMEOUT_S) == 0
        finally:
            owner.kill()
            owner.wait()
