"""Fuzz tests of the caller interface."""

import contextlib
import json
import socket
from collections.abc import Iterator

import hypothesis
import pytest
from hypothesis import strategies as st

from dragonflyhold.errors import ErrorCode
from tests.entry.fake_config import MODEL, PLAIN_SERVICE
from tests.entry.harness import WAIT_S, EntryHarness, running_entry, wait_until

FUZZ = hypothesis.settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
CODES = {code.value for code in ErrorCode} - {ErrorCode.INTERNAL.value}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
models = st.sampled_from([MODEL, "tapster-lm/stout:4", "a/b:1", "/:", ""]) | st.text(max_size=30)
completions = st.fixed_dictionaries(
    {},
    optional={
        "model": models | json_values,
        "prompt": st.text(max_size=50) | json_values,
        "stream": st.booleans() | json_values,
        "max_tokens": st.integers() | json_values,
        "service": st.sampled_from(["tapster-lm", "ticket-desk"]) | json_values,
        "adapter": st.just("stout:3") | json_values,
        "kind": st.sampled_from(["default", "issue"]) | json_values,
        "count": st.integers(-1, 3) | json_values,
    },
).map(lambda value: json.dumps(value).encode())
bodies = completions | json_values.map(lambda value: json.dumps(value).encode()) | st.binary()
header_values = st.binary(max_size=40).map(
    lambda value: value.translate(None, b"\r\n\0").strip()
) | st.sampled_from([b"issue", b"default", b"0", b"250", b"runner-1." + b"0" * 16 + b".1"])
headers = st.dictionaries(
    st.sampled_from(
        [b"X-Request-Kind", b"X-Caller-Id", b"X-Deadline-Ms", b"Idempotency-Key", b"Accept"]
    ),
    header_values,
    max_size=3,
)
paths = st.sampled_from(
    [
        b"/v1/completions",
        b"/v1/permits",
        b"/v1/requests/runner-1." + b"0" * 16 + b".1",
        b"/v1/requests/runner-1." + b"0" * 16 + b".1/answer?from=1",
        b"/v1/services/ticket-desk/call/seats?a=b",
        b"/healthz",
    ]
) | st.binary(max_size=40).map(lambda tail: b"/v1/" + tail.translate(None, b" \r\n\t\0\v\f"))
methods = st.sampled_from([b"GET", b"POST", b"POST", b"POST", b"DELETE", b"PUT", b"HEAD", b"QUERY"])


@pytest.fixture(scope="module")
def entry() -> Iterator[EntryHarness]:
    with running_entry() as harness:
        harness.add_sidecar("runner-1")
        harness.add_sidecar("desk-1", service=PLAIN_SERVICE)
        yield harness


def _exchange(entry: EntryHarness, data: bytes) -> bytes:
    with contextlib.closing(
        socket.create_connection(("127.0.0.1", entry.daemon.http_port), WAIT_S)
    ) as sock:
        received = b""
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while chunk := sock.recv(65_536):
                received += chunk
    return received


def _check(entry: EntryHarness, received: bytes) -> None:
    assert b"Traceback" not in received
    assert b'"internal"' not in received
    head, _, body = received.partition(b"\r\n\r\n")
    if head:
        status = int(head.split(b" ", 2)[1])
        assert status != 500
        if status >= 400 and body and b"application/json" in head:
            payload = json.loads(body)
            assert "ready" in payload or payload["error"]["code"] in CODES
    wait_until(lambda: entry.daemon.open_requests == 0)


class TestFuzz:
    """Guards against input that causes an internal error, a hang or a leaked request."""

    @FUZZ
    @hypothesis.given(method=methods, path=paths, head=headers, body=bodies)
    def test_requests(
        self,
        entry: EntryHarness,
        method: bytes,
        path: bytes,
        head: dict[bytes, bytes],
        body: bytes,
    ) -> None:
        lines = [name + b": " + value for name, value in head.items()]
        lines += [b"Host: a", b"Connection: close", b"Content-Length: %d" % len(body)]
        start = method + b" " + path + b" HTTP/1.1\r\n"
        _check(entry, _exchange(entry, start + b"\r\n".join(lines) + b"\r\n\r\n" + body))

    @FUZZ
    @hypothesis.given(
        length=st.integers(-20, 200).map(lambda value: b"%d" % value)
        | st.sampled_from([b"+3", b"1_0", b"x", b"", b"0x5", b"9" * 30]),
        body=bodies,
    )
    def test_wrong_lengths(self, entry: EntryHarness, length: bytes, body: bytes) -> None:
        head = b"POST /v1/completions HTTP/1.1\r\nContent-Length: " + length
        _check(entry, _exchange(entry, head + b"\r\nConnection: close\r\n\r\n" + body))

    @FUZZ
    @hypothesis.given(data=st.binary(max_size=200))
    def test_bytes(self, entry: EntryHarness, data: bytes) -> None:
        _check(entry, _exchange(entry, data))

    @FUZZ
    @hypothesis.given(
        chunks=st.lists(st.binary(max_size=30), max_size=4),
        sizes=st.lists(st.sampled_from([b"5", b"0", b"-1", b"zz", b"", b"ffffffffff"]), max_size=4),
    )
    def test_chunked_bodies(
        self, entry: EntryHarness, chunks: list[bytes], sizes: list[bytes]
    ) -> None:
        head = b"POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        parts = [
            size + b"\r\n" + chunk + b"\r\n" for size, chunk in zip(sizes, chunks, strict=False)
        ]
        _check(entry, _exchange(entry, head + b"".join(parts)))

    def test_no_request_is_left_open(self, entry: EntryHarness) -> None:
        assert entry.complete().text == "one two three"
        assert entry.daemon.open_requests == 0
