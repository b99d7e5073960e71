"""Tests of the caller interface against malformed input and faulty callers."""

import dataclasses
import json
import pathlib
import re
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from dragonflyhold.entry.replies import STATUS_BY_CODE
from dragonflyhold.errors import ErrorCode
from tests.entry.fake_config import MODEL
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import WAIT_S, EntryHarness, make_settings, running_entry, wait_until

VALID_BODY = {"model": MODEL, "prompt": "a"}


@pytest.fixture(scope="class")
def entry() -> Iterator[EntryHarness]:
    with running_entry() as harness:
        harness.add_sidecar("runner-1")
        yield harness


def _connect(entry: EntryHarness) -> socket.socket:
    return socket.create_connection(("127.0.0.1", entry.daemon.http_port), WAIT_S)


def _send_raw(entry: EntryHarness, data: bytes) -> bytes:
    """Send bytes and return everything received until the connection closes."""
    with _connect(entry) as sock:
        sock.sendall(data)
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
        return received


class TestInputChecks:
    """Guards against invalid input that reaches a sidecar or causes an internal error."""

    @pytest.mark.parametrize(
        ("change", "code"),
        [
            ({"model": None}, "bad_request"),
            ({"model": 5}, "bad_request"),
            ({"model": "tapster-lm"}, "bad_request"),
            ({"model": "tapster-lm/stout:x"}, "bad_request"),
            ({"model": "tapster-lm/stout:" + "9" * 300}, "bad_request"),
            ({"model": "\ud800/a:1"}, "bad_request"),
            ({"model": "other/stout:3"}, "unknown_service"),
            ({"model": "ticket-desk/stout:3"}, "bad_request"),
            ({"model": "tapster-lm/porter:3"}, "unknown_adapter"),
            ({"model": "tapster-lm/stout:4"}, "unknown_version"),
            ({"prompt": ["a"]}, "bad_request"),
            ({"stream": "yes"}, "bad_request"),
            ({"max_tokens": 0}, "bad_request"),
            ({"max_tokens": True}, "bad_request"),
            ({"n": 2}, "bad_request"),
        ],
    )
    def test_invalid_fields(self, entry: EntryHarness, change: dict[str, Any], code: str) -> None:
        response = entry.call("POST", "/v1/completions", {**VALID_BODY, **change})
        assert (response.error["code"], response.error["outcome"]) == (code, "not_run")
        assert entry.sidecars["runner-1"].submits == []

    @pytest.mark.parametrize(
        "body", [b"", b"{", b"[]", b"null", b"\xff", b'{"model": NaN}', b"[" * 100_000]
    )
    def test_invalid_bodies(self, entry: EntryHarness, body: bytes) -> None:
        response = entry.call("POST", "/v1/completions", body)
        assert (response.status, response.error["code"]) == (400, "bad_request")

    @pytest.mark.parametrize(
        ("name", "value", "code"),
        [
            ("X-Request-Kind", "nightly", "unknown_kind"),
            ("X-Request-Kind", "a b", "bad_request"),
            ("X-Caller-Id", "\xe9", "bad_request"),
            ("X-Caller-Id", "c" * 300, "bad_request"),
            ("X-Deadline-Ms", "soon", "bad_request"),
            ("X-Deadline-Ms", "0", "deadline_expired"),
            ("X-Deadline-Ms", "-5", "deadline_expired"),
            ("Idempotency-Key", "mine", "bad_request"),
        ],
    )
    def test_invalid_headers(self, entry: EntryHarness, name: str, value: str, code: str) -> None:
        response = entry.call("POST", "/v1/completions", VALID_BODY, {name: value})
        assert (response.error["code"], response.error["outcome"]) == (code, "not_run")

    def test_invalid_paths_and_methods(self, entry: EntryHarness) -> None:
        assert entry.call("GET", "/v1/models").error["code"] == "not_found"
        assert entry.call("PUT", "/v1/completions").error["code"] == "method_not_allowed"
        call = "/v1/services/ticket-desk/call"
        for path in ("/../admin", "/a/%2e%2E/b", "/a%2f..%2fb"):
            assert entry.call("GET", call + path).error["code"] == "bad_request"
        assert entry.call("GET", "/v1/services/x/call/a").error["code"] == "unknown_service"

    def test_body_over_the_limit(self) -> None:
        with running_entry() as entry:
            size = entry.settings.http.max_body_bytes + 1
            head = b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
            received = _send_raw(entry, head % size + b"x" * 1000)
            assert received.startswith(b"HTTP/1.1 413 ")
            assert b'"code":"body_too_large"' in received
            chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
            head = b"POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            assert b'"code":"body_too_large"' in _send_raw(entry, head + chunk)

    @pytest.mark.parametrize(
        "data",
        [
            b"\r\n\r\n\r\n",
            b"GET\r\n\r\n",
            b"get / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
            b"GET /" + b"a" * 40_000 + b" HTTP/1.1\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: br\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ],
    )
    def test_malformed_http_is_a_typed_error(self, entry: EntryHarness, data: bytes) -> None:
        received = _send_raw(entry, data)
        body = received.partition(b"\r\n\r\n")[2]
        assert json.loads(body)["error"]["outcome"] == "not_run"
        assert b"Traceback" not in received


class TestFaultyCallers:
    """Guards against threads and requests that faulty callers occupy indefinitely."""

    def test_slow_caller_is_disconnected(self) -> None:
        with running_entry() as entry:
            with _connect(entry) as sock:
                sock.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{")
                received = sock.recv(65_536)
            assert received == b"" or b'"code":"bad_request"' in received
            wait_until(lambda: entry.daemon.open_requests == 0)

    def test_trickling_caller_is_disconnected(self) -> None:
        with running_entry() as entry, _connect(entry) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n")
            sock.settimeout(0.05)
            received = None
            while received is None:
                try:
                    sock.sendall(b"A: b\r\n")
                    received = sock.recv(65_536)
                except TimeoutError:
                    continue
                except ConnectionError:
                    received = b""

    def test_idle_connections_occupy_no_thread(self) -> None:
        settings = make_settings()
        http = dataclasses.replace(settings.http, idle_timeout_s=60.0)
        with running_entry(make_settings(http=http)) as entry:
            entry.add_sidecar("runner-1")
            idle_connections = [_connect(entry) for _ in range(entry.settings.http.threads * 3)]
            assert entry.complete().status == 200
            for sock in idle_connections:
                sock.close()

    def test_disconnected_caller_detaches_its_request(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
            for stream in (True, False):
                sidecar.requests.clear()
                connection = entry.connect()
                body = json.dumps({**VALID_BODY, "stream": stream})
                connection.request("POST", "/v1/completions", body)
                wait_until(lambda: len(sidecar.requests) == 1)
                (request,) = sidecar.requests.values()
                connection.close()
                wait_until(lambda request=request: request.cancelled == [True])
                wait_until(lambda: entry.daemon.open_requests == 0)
            gate.set()

    def test_busy_server_refuses_with_a_typed_error(self) -> None:
        settings = make_settings()
        http = dataclasses.replace(settings.http, threads=1)
        with running_entry(make_settings(http=http)) as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            sidecar.plan = lambda submit: Plan(gate=gate)
            body = json.dumps(VALID_BODY)
            connections = [entry.connect() for _ in range(12)]
            connections[0].request("POST", "/v1/completions", body)
            wait_until(lambda: len(sidecar.requests) == 1)
            for connection in connections[1:]:
                connection.request("POST", "/v1/completions", body)
            wait_until(lambda: b'{code="queue_full"} 7' in entry.metrics.render()[0])
            gate.set()
            statuses = [connection.getresponse().status for connection in connections]
            assert sorted(statuses) == [200] * 5 + [503] * 7
            for connection in connections:
                connection.close()


class TestShutdown:
    """Guards against requests interrupted by a graceful shutdown."""

    def test_open_requests_are_finished(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
            texts: list[str] = []
            callers = [
                threading.Thread(target=lambda: texts.append(entry.complete().text))
                for _ in range(5)
            ]
            for caller in callers:
                caller.start()
            wait_until(lambda: len(sidecar.requests) == 5)
            entry.daemon.request_stop()
            wait_until(lambda: _is_closed(entry))
            # Longer than cheroot's default shutdown timeout of 5 s.
            assert not entry.daemon.wait(5.5)
            gate.set()
            for caller in callers:
                caller.join()
            assert texts == ["one two three"] * 5

    def test_readiness_fails_before_the_listener_closes(self) -> None:
        with running_entry(make_settings(balancer_lag_s=0.5)) as entry:
            entry.add_sidecar("runner-1")
            assert entry.call("GET", "/readyz").status == 200
            entry.daemon.request_stop()
            assert entry.call("GET", "/readyz").status == 503
            assert entry.call("GET", "/healthz").status == 200
            assert entry.complete().status == 200


class TestErrorTable:
    """Guards against an error code without an HTTP status or an entry in the reference."""

    def test_every_code_has_a_status(self) -> None:
        assert set(STATUS_BY_CODE) == set(ErrorCode)

    def test_reference_lists_every_code_with_its_status(self) -> None:
        text = (pathlib.Path(__file__).parents[2] / "docs/errors.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| `(\w+)` \| (\d+) \|", text, re.M)
        expected = {(code.value, str(status)) for code, status in STATUS_BY_CODE.items()}
        assert set(rows) == expected
        assert len(rows) == len(expected)


def _is_closed(entry: EntryHarness) -> bool:
    try:
        socket.create_connection(("127.0.0.1", entry.daemon.http_port), 1).close()
    except OSError:
        return True
    return False
