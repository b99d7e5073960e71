"""End-to-end tests with entry and sidecar processes, and stand-ins for the rest."""

import contextlib
import hashlib
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import threading
import urllib.request
from collections.abc import Iterator
from typing import Any

import pytest

from dragonflyhold.settings import TlsSettings
from dragonflyhold.standins import (
    EngineOptions,
    EngineStandIn,
    ObjectStoreStandIn,
    PlainServiceStandIn,
    StandIn,
    TableStandIn,
    VmListStandIn,
)
from dragonflyhold.standins.ports import free_port
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc as pb_grpc
from tests.entry.harness import WAIT_S, Response, wait_until

SERVICE = "tapster-lm"
ADAPTERS = ("stout", "porter", "pale")
ENGINE_UPSTREAMS = ("runner-1", "runner-2", "runner-3")
TRANSPORT = {"heartbeat_s": 0.2, "silence_s": 1.0, "probe_timeout_s": 0.5, "probes": 2}


class Deployment:
    """One entry, three engine upstreams and one plain service."""

    def __init__(self, directory: pathlib.Path, stack: contextlib.ExitStack) -> None:
        self._directory = directory
        self._stack = stack
        platform = [TableStandIn(), ObjectStoreStandIn(), VmListStandIn()]
        names = ("table_url", "object_store_url", "vm_list_url")
        self._platform = {
            name: self._start_stand_in(stand_in).url
            for name, stand_in in zip(names, platform, strict=True)
        }
        options = EngineOptions(tokens_per_s=200.0, checks_fencing=True)
        self.engines = {
            name: self._start_stand_in(EngineStandIn(options=options)) for name in ENGINE_UPSTREAMS
        }
        self.plain_service = self._start_stand_in(PlainServiceStandIn())
        self.http_port, grpc_port = free_port(), free_port()
        self._seed = f"127.0.0.1:{grpc_port}"
        entry = {
            "http": {"address": f"127.0.0.1:{self.http_port}", "threads": 32, "keepalive_s": 0.5},
            "transport": TRANSPORT,
            # A failed upstream loses up to 12 requests at once, above the default floor of 10.
            "retry": {"budget_floor_per_s": 100},
            "balancer_lag_s": 0.2,
        }
        self.entry = self._start_daemon("entry", "entry-1", self._seed, entry)
        self.sidecars: dict[str, subprocess.Popen[bytes]] = {}
        self._addresses: dict[str, str] = {}
        for name, engine in self.engines.items():
            self.start_sidecar(name, "engine", engine.url)
        self.start_sidecar("desk-1", "plain", self.plain_service.url)
        wait_until(lambda: self._is_ready())
        self._configure()
        wait_until(lambda: self.complete("warm").status == 200)
        wait_until(lambda: self.permit_status() == 200)

    def start_sidecar(self, name: str, kind: str, url: str) -> None:
        address = self._addresses.setdefault(name, f"127.0.0.1:{free_port()}")
        settings = {
            "http_address": f"127.0.0.1:{free_port()}",
            "upstream": {"name": name, "type": kind, "url": url},
            "config": {"seeds": [self._seed]},
            "transport": TRANSPORT,
        }
        self.sidecars[name] = self._start_daemon("sidecar", name, address, settings)

    def complete(self, prompt: str, **extra: Any) -> Response:
        adapter = ADAPTERS[len(prompt) % len(ADAPTERS)]
        body = {"model": f"{SERVICE}/{adapter}:1", "prompt": prompt, "max_tokens": 20}
        return self.call("POST", "/v1/completions", {**body, "stream": True, **extra})

    def call(self, method: str, path: str, body: Any = None, **headers: str) -> Response:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        with contextlib.closing(
            http.client.HTTPConnection("127.0.0.1", self.http_port, timeout=WAIT_S * 2)
        ) as connection:
            connection.request(method, path, json.dumps(body) if body is not None else None, names)
            response = connection.getresponse()
            return Response(response.status, response.headers, response.read())

    def permit_status(self) -> int:
        return self.call("POST", "/v1/permits", {"service": "ticket-desk", "kind": "book"}).status

    def journal(self, stand_in: StandIn) -> Any:
        with urllib.request.urlopen(f"{stand_in.url}/v1/journal", timeout=WAIT_S) as response:
            return json.load(response)

    def _start_stand_in(self, stand_in: Any) -> Any:
        stand_in.start()
        self._stack.callback(stand_in.stop)
        return stand_in

    def _start_daemon(
        self, daemon: str, name: str, address: str, extra: dict[str, Any]
    ) -> "subprocess.Popen[bytes]":
        settings = {
            "name": name,
            "region": "almaty",
            "data_centre": "almaty-a",
            "grpc_address": address,
            "platform": self._platform,
            "log": {"level": "warning"},
            **extra,
        }
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = [sys.executable, "-m", "dragonflyhold", "run", daemon, str(path)]
        process = subprocess.Popen(command)
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def _is_ready(self) -> bool:
        try:
            return self.call("GET", "/readyz").status == 200
        except OSError:
            return False

    def _configure(self) -> None:
        change = pb.ChangeRequest(change_id="first", author="test")
        for service, type_ in ((SERVICE, 1), ("ticket-desk", 2)):
            row = pb.Service(name=service, region="almaty", type=pb.ServiceType.ValueType(type_))
            row.base_model = "base" if type_ == 1 else ""
            change.operations.add().put.service.CopyFrom(row)
            kind = pb.RequestKind(service=service, name="default", worth=1.0, deadline_ms=20_000)
            kind.idempotent = True
            change.operations.add().put.kind.CopyFrom(kind)
            kind.name, kind.idempotent = "book", False
            change.operations.add().put.kind.CopyFrom(kind)
        for name, address in self._addresses.items():
            upstream = pb.Upstream(
                name=name,
                service="ticket-desk" if name == "desk-1" else SERVICE,
                data_centre="almaty-a",
                sidecar_address=address,
                slots=8,
                batch_limit=32,
                checks_fencing=name != "desk-1",
                mode=pb.UPSTREAM_MODE_ACTIVE,
            )
            change.operations.add().put.upstream.CopyFrom(upstream)
        for adapter in ADAPTERS:
            change.operations.add().put.adapter.CopyFrom(pb.Adapter(service=SERVICE, name=adapter))
            version = pb.AdapterVersion(service=SERVICE, adapter=adapter, version=1, weights="w")
            change.operations.add().put.version.CopyFrom(version)
        with make_channel(self._seed, TlsSettings()) as channel:
            reply = pb_grpc.OperatorStub(channel).Apply(change, timeout=WAIT_S)
        assert reply.result == pb.CHANGE_RESULT_ACCEPTED, reply


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Iterator[Deployment]:
    with contextlib.ExitStack() as stack:
        yield Deployment(tmp_path, stack)


def _assert_complete(response: Response) -> None:
    assert response.status == 200, response.body
    name, _, data = response.events[-1]
    assert name == "end", response.body
    assert data["digest"] == hashlib.sha256(response.text.encode()).hexdigest()


class TestEndToEnd:
    """Guards against daemons that work with fakes but not with each other."""

    def test_concurrent_completions(self, deployment: Deployment) -> None:
        responses: list[Response] = []
        callers = [
            threading.Thread(target=lambda n=n: responses.append(deployment.complete("p" * n)))
            for n in range(1, 25)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        for response in responses:
            _assert_complete(response)
        assert len(responses) == 24

    def test_booking_runs_once(self, deployment: Deployment) -> None:
        body = {"service": "ticket-desk", "kind": "book", "count": 2}
        permits = deployment.call("POST", "/v1/permits", body).json["permits"]
        path = "/v1/services/ticket-desk/call/book"
        headers = {"X_Request_Kind": "book", "Idempotency_Key": permits[0]}
        responses = [deployment.call("POST", path, {"account": "a"}, **headers) for _ in range(3)]
        assert [response.status for response in responses] == [200] * 3
        assert len({response.body for response in responses}) == 1
        assert len(deployment.journal(deployment.plain_service)["calls"]) == 1
        headers["Idempotency_Key"] = responses[0].headers["X-Next-Permit"]
        assert deployment.call("POST", path, {"account": "a"}, **headers).status == 200
        assert len(deployment.journal(deployment.plain_service)["calls"]) == 2

    @pytest.mark.parametrize("fault", [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM])
    def test_upstream_failure_or_shutdown(
        self, deployment: Deployment, fault: signal.Signals
    ) -> None:
        responses: list[Response] = []
        callers = [
            threading.Thread(
                target=lambda n=n: responses.append(deployment.complete("p" * n, max_tokens=200))
            )
            for n in range(1, 13)
        ]
        for caller in callers:
            caller.start()
        deployment.sidecars["runner-1"].send_signal(fault)
        for caller in callers:
            caller.join()
        for response in responses:
            assert response.status == 200, response.body
            if fault is signal.SIGTERM or response.events[-1][0] == "end":
                _assert_complete(response)
            else:
                # Pieces were delivered, so the request cannot be retried on another upstream.
                assert response.error["outcome"] == "in_doubt"
                assert response.text
        for n in range(1, 7):
            _assert_complete(deployment.complete("q" * n))
        if fault is signal.SIGSTOP:
            deployment.sidecars["runner-1"].send_signal(signal.SIGCONT)

    def test_request_state_after_completion(self, deployment: Deployment) -> None:
        streamed = deployment.complete("resume", max_tokens=20)
        _assert_complete(streamed)
        not_streamed = deployment.complete("resume", max_tokens=50, stream=False)
        request_id = not_streamed.headers["X-Request-Id"]
        state = deployment.call("GET", f"/v1/requests/{request_id}").json
        assert (state["state"], state["outcome"]) == ("done", "ok")
