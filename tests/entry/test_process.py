"""Tests of an entry daemon process with stand-ins for the platform."""

import contextlib
import dataclasses
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator

import grpc
import pytest

from dragonflyhold.settings import TlsSettings
from dragonflyhold.standins import ObjectStoreStandIn, TableStandIn, VmListStandIn
from dragonflyhold.standins.ports import free_port
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc as pb_grpc
from tests.entry.certificates import Authority
from tests.entry.fake_config import MODEL
from tests.entry.fake_sidecar import FakeSidecar, Plan
from tests.entry.harness import WAIT_S, wait_until

BODY = json.dumps({"model": MODEL, "prompt": "a"}).encode()


@dataclasses.dataclass
class EntryProcess:
    """An entry process with its ports, operator certificate and sidecar."""

    process: subprocess.Popen[bytes]
    http_port: int
    grpc_port: int
    operator: TlsSettings
    sidecar: FakeSidecar

    def operator_stub(self, tls: TlsSettings | None = None) -> pb_grpc.OperatorStub:
        address = f"127.0.0.1:{self.grpc_port}"
        return pb_grpc.OperatorStub(make_channel(address, tls or self.operator))

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection("127.0.0.1", self.http_port, timeout=WAIT_S)

    def get_status(self, path: str) -> int:
        with contextlib.closing(self.connect()) as connection:
            connection.request("GET", path)
            return connection.getresponse().status


def _write_settings(
    path: pathlib.Path, urls: list[str], tls: TlsSettings, ports: list[int]
) -> None:
    settings = {
        "name": "entry-1",
        "region": "almaty",
        "data_centre": "almaty-a",
        "http": {"address": f"127.0.0.1:{ports[0]}", "threads": 8},
        "grpc_address": f"127.0.0.1:{ports[1]}",
        "platform": dict(zip(("table_url", "object_store_url", "vm_list_url"), urls, strict=True)),
        "tls": {
            "certificate": tls.certificate,
            "key": tls.key,
            "authority": tls.authority,
            "operator_names": ["operator"],
        },
        "balancer_lag_s": 0.2,
    }
    path.write_text(json.dumps(settings), encoding="utf-8")


def _start_process(path: pathlib.Path) -> "subprocess.Popen[bytes]":
    command = [sys.executable, "-m", "dragonflyhold", "run", "entry", str(path)]
    return subprocess.Popen(command, stderr=subprocess.PIPE)


def _is_ready(entry: EntryProcess) -> bool:
    try:
        return entry.get_status("/readyz") == 200
    except OSError:
        return False


@pytest.fixture
def entry(tmp_path: pathlib.Path) -> Iterator[EntryProcess]:
    authority = Authority(tmp_path)
    with contextlib.ExitStack() as stack:
        stand_ins = [TableStandIn(), ObjectStoreStandIn(), VmListStandIn()]
        for stand_in in stand_ins:
            stand_in.start()
            stack.callback(stand_in.stop)
        ports = [free_port(), free_port()]
        path = tmp_path / "entry.json"
        tls = authority.issue("entry-1")
        _write_settings(path, [stand_in.url for stand_in in stand_ins], tls, ports)
        sidecar = FakeSidecar("runner-1", tls=authority.issue("runner-1"))
        stack.callback(sidecar.stop)
        process = _start_process(path)
        stack.callback(process.wait)
        stack.callback(process.kill)
        assert process.stderr is not None
        stack.callback(process.stderr.close)
        entry_process = EntryProcess(process, *ports, authority.issue("operator"), sidecar)
        wait_until(lambda: _is_ready(entry_process))
        _configure(entry_process)
        yield entry_process


def _configure(entry: EntryProcess) -> None:
    service = pb.Service(name="tapster-lm", region="almaty", type=pb.SERVICE_TYPE_ENGINE)
    service.base_model = "base"
    upstream = pb.Upstream(
        name="runner-1",
        service="tapster-lm",
        data_centre="almaty-a",
        sidecar_address=entry.sidecar.address,
        slots=8,
        batch_limit=32,
        mode=pb.UPSTREAM_MODE_ACTIVE,
    )
    version = pb.AdapterVersion(service="tapster-lm", adapter="stout", version=3, weights="w/3")
    kind = pb.RequestKind(
        service="tapster-lm", name="default", worth=1.0, deadline_ms=10_000, idempotent=True
    )
    objects = [
        pb.ConfigObject(service=service),
        pb.ConfigObject(upstream=upstream),
        pb.ConfigObject(adapter=pb.Adapter(service="tapster-lm", name="stout")),
        pb.ConfigObject(version=version),
        pb.ConfigObject(kind=kind),
    ]
    change = pb.ChangeRequest(change_id="first", author="test")
    for item in objects:
        change.operations.add(put=item)
    reply = entry.operator_stub().Apply(change, timeout=WAIT_S)
    assert reply.result == pb.CHANGE_RESULT_ACCEPTED, reply


class TestEntryProcess:
    """Guards against components that work separately but not in a daemon process."""

    def test_serves_and_stops_gracefully(self, entry: EntryProcess) -> None:
        gate = threading.Event()
        entry.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
        with contextlib.closing(entry.connect()) as connection:
            connection.request("POST", "/v1/completions", BODY)
            wait_until(lambda: len(entry.sidecar.requests) == 1)
            entry.process.send_signal(signal.SIGTERM)
            wait_until(lambda: entry.get_status("/readyz") == 503)
            gate.set()
            response = connection.getresponse()
            assert response.status == 200
            text = json.loads(response.read())["choices"][0]["text"]
            assert text == "one two three"
        assert entry.process.wait(WAIT_S) == 0

    def test_explain_shows_the_route_of_a_request(self, entry: EntryProcess) -> None:
        with contextlib.closing(entry.connect()) as connection:
            connection.request("POST", "/v1/completions", BODY)
            response = connection.getresponse()
            request_id = response.headers["X-Request-Id"]
            assert response.status == 200
        operator = entry.operator_stub()
        reply = operator.Explain(pb.ExplainRequest(request_id=request_id), timeout=WAIT_S)
        texts = [event.text for event in reply.events]
        assert texts[0].startswith("entry-1: route to runner-1")
        assert reply.state.complete
        status = operator.Status(pb.StatusRequest(), timeout=WAIT_S)
        assert status.table_reachable
        assert [row.name for row in status.upstreams] == ["runner-1"]

    def test_daemon_certificate_has_no_operator_access(
        self, entry: EntryProcess, tmp_path: pathlib.Path
    ) -> None:
        authority = pathlib.Path(entry.operator.authority)
        daemon = TlsSettings(
            certificate=str(authority.with_name("authority-entry-1.pem")),
            key=str(authority.with_name("authority-entry-1.key")),
            authority=str(authority),
        )
        with pytest.raises(grpc.RpcError) as caught:
            entry.operator_stub(daemon).Status(pb.StatusRequest(), timeout=WAIT_S)
        assert caught.value.code() is grpc.StatusCode.PERMISSION_DENIED
        with pytest.raises(grpc.RpcError):
            entry.operator_stub(TlsSettings()).Status(pb.StatusRequest(), timeout=WAIT_S)


class TestExitStatus:
    """Guards against a failed start without the exit status that a process manager expects."""

    def test_invalid_settings(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "entry.json"
        path.write_text("{}", encoding="utf-8")
        process = _start_process(path)
        _, stderr_text = process.communicate()
        assert process.returncode == 2
        assert b"http" in stderr_text

    def test_port_in_use(self, tmp_path: pathlib.Path) -> None:
        tls = Authority(tmp_path).issue("entry-1")
        with socket.create_server(("127.0.0.1", 0)) as listener:
            path = tmp_path / "entry.json"
            port = listener.getsockname()[1]
            _write_settings(path, ["http://127.0.0.1:1"] * 3, tls, [port, free_port()])
            process = _start_process(path)
            _, stderr_text = process.communicate()
        assert process.returncode == 3
        assert b"cannot start" in stderr_text
