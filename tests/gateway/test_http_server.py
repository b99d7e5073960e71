"""Tests of the HTTP server: framing, limits, client disconnects and draining."""

import asyncio
import contextlib
import dataclasses
import re
import socket
import struct
import time
from collections.abc import AsyncIterator

import pytest

from dragonflyhold.gateway import http_connection
from dragonflyhold.gateway.http_connection import ClientRequest, ConnectionEnd
from dragonflyhold.gateway.http_server import HttpServer
from dragonflyhold.gateway.model import IngressLimits
from dragonflyhold.gateway.responder import Responder

LIMITS = IngressLimits(header_bytes=1024, body_bytes=2048, header_timeout_s=0.2, idle_timeout_s=0.3)


GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
UPGRADE = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"


class _ServerHarness:
    """Runs a server on loopback and records the requests passed to its handler."""

    def __init__(self) -> None:
        self.requests: list[ClientRequest] = []
        self.cancelled = 0
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.failed: list[str] = []
        self.ends: list[str] = []
        self.report_fails = False
        self.server = HttpServer(self._handle, LIMITS, on_failed=self._note_failed)
        self.port = 0

    def _note_failed(self, request: ClientRequest, detail: str) -> None:
        del request
        self.failed.append(detail)
        if self.report_fails:
            raise RuntimeError("the log is broken")

    async def _handle(self, request: ClientRequest, responder: Responder) -> None:
        self.requests.append(request)
        try:
            await self.may_respond.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            self.ends.append(responder.connection_end)
            raise
        if request.target == b"/error":
            raise RuntimeError("unexpected")
        if request.target == b"/nothing":
            return
        if request.target == b"/cancelled":
            cancelled = asyncio.get_running_loop().create_future()
            cancelled.cancel()
            await cancelled
        if request.target == b"/begun":
            responder.start_stream(200, [])
            await responder.write(b"one")
            raise RuntimeError("unexpected")
        if request.target == b"/stream":
            responder.start_stream(200, [])
            await responder.write(b"one")
            await responder.write(b"two")
            responder.end_stream()
        elif request.target == b"/open":
            responder.start_stream(200, [])
            await responder.write(b"one")
            await asyncio.Event().wait()
        elif request.target == b"/cut":
            responder.start_stream(200, [])
            await responder.write(b"one")
            responder.abort()
        else:
            responder.send(200, [(b"X", b"y")], request.body or b"empty")

    async def exchange(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        response = await reader.read()
        writer.close()
        return response


@contextlib.asynccontextmanager
async def _running_server() -> AsyncIterator[_ServerHarness]:
    harness = _ServerHarness()
    await harness.server.listen("127.0.0.1", 0)
    assert harness.server._server is not None
    harness.port = harness.server._server.sockets[0].getsockname()[1]
    try:
        yield harness
    finally:
        harness.server.close_listener()
        for connection in list(harness.server.connections):
            connection.abort()


@contextlib.asynccontextmanager
async def _connected(
    harness: _ServerHarness,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    try:
        async with asyncio.timeout(5):
            yield reader, writer
    finally:
        writer.transport.abort()


def _statuses(response: bytes) -> list[int]:
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+) ", response)]


def _receive_all(client: socket.socket) -> bytes:
    with client:
        client.settimeout(5)
        response = b""
        with contextlib.suppress(ConnectionResetError):
            while part := client.recv(65536):
                response += part
        return response


async def _exchange(data: bytes) -> tuple[bytes, list[ClientRequest]]:
    async with _running_server() as harness:
        async with asyncio.timeout(5):
            return await harness.exchange(data), harness.requests


class TestFraming:
    """Requests and responses are delimited unambiguously."""

    @pytest.mark.parametrize(
        "head",
        [
            POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
            b"POST / HTTP/1.1\r\nHost : a\r\nContent-Length: 3\r\n\r\nabc",
            b"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n folded\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\nHost: a\n\n",
            b"no request at all\r\n\r\n",
        ],
    )
    def test_malformed_request_gets_400_and_is_not_handled(self, head: bytes) -> None:
        """Bytes that two parsers interpret differently allow request smuggling."""
        response, requests = asyncio.run(_exchange(head))
        assert response.startswith(b"HTTP/1.1 400 ")
        assert b"Connection: close" in response
        assert requests == []

    def test_upgrade_request_is_served_without_upgrade_and_closes_connection(self) -> None:
        head = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
        response, requests = asyncio.run(_exchange(head + head))
        assert response.count(b"HTTP/1.1 200 OK") == 1
        assert len(requests) == 1

    def test_chunked_body_is_joined_and_trailers_are_dropped(self) -> None:
        data = (
            POST + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nEvil: 1\r\n\r\n"
        )
        response, requests = asyncio.run(_exchange(data))
        assert response.endswith(b"abcde")
        assert b"evil" not in requests[0].fields

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        data = (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2"
        )
        response, requests = asyncio.run(_exchange(data))
        assert response.count(b"HTTP/1.1 200") == 2
        assert [request.body for request in requests] == [b"1", b"2"]

    @pytest.mark.parametrize("target", [b"/", b"/stream"])
    def test_response_to_head_has_no_body(self, target: bytes) -> None:
        """Its bytes would be read as the start of the next response."""
        request = b"HEAD %s HTTP/1.1\r\nHost: a\r\n\r\n" % target
        response, _ = asyncio.run(_exchange(request + request))
        heads = response.split(b"\r\n\r\n")
        assert [head[:13] for head in heads] == [b"HTTP/1.1 200 ", b"HTTP/1.1 200 ", b""]

    def test_stream_ends_with_last_chunk(self) -> None:
        data = b"GET /stream HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        response, _ = asyncio.run(_exchange(data))
        assert response.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")

    def test_aborted_stream_has_no_last_chunk(self) -> None:
        async def run() -> bytes:
            async with _running_server() as harness:
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(b"GET /cut HTTP/1.1\r\nHost: a\r\n\r\n")
                data = b""
                with contextlib.suppress(ConnectionResetError):
                    while part := await reader.read(100):
                        data += part
                writer.close()
                return data

        assert not asyncio.run(run()).endswith(b"0\r\n\r\n")

    def test_http_10_client_gets_no_chunked_encoding(self) -> None:
        response, _ = asyncio.run(_exchange(b"GET /stream HTTP/1.0\r\nHost: a\r\n\r\n"))
        assert response.endswith(b"\r\n\r\nonetwo")


class TestClientsWithoutChunks:
    """HTTP/1.0 clients, to whom a closed connection is the end of a stream."""

    def test_an_incomplete_stream_is_reset(self) -> None:
        """Guards against streams that look complete although their upstream broke off."""
        with pytest.raises(ConnectionResetError):
            asyncio.run(_exchange(b"GET /cut HTTP/1.0\r\nHost: a\r\n\r\n"))

    def test_a_server_that_closes_resets_an_open_stream(self) -> None:
        async def scenario() -> None:
            async with _running_server() as harness:
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(b"GET /open HTTP/1.0\r\nHost: a\r\n\r\n")
                await reader.readuntil(b"one")
                harness.server.abort()
                with pytest.raises(ConnectionResetError):
                    await reader.read()
                writer.transport.abort()

        asyncio.run(scenario())


class TestLimits:
    """Requests that exceed a size or time limit are rejected."""

    def test_large_header_section_gets_431(self) -> None:
        data = b"GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n" % (b"x" * 2000)
        response, requests = asyncio.run(_exchange(data))
        assert response.startswith(b"HTTP/1.1 431 ")
        assert requests == []

    def test_large_body_gets_413_before_it_is_read(self) -> None:
        data = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n"
        response, _ = asyncio.run(_exchange(data))
        assert response.startswith(b"HTTP/1.1 413 ")

    def test_slow_header_gets_408(self) -> None:
        response, _ = asyncio.run(_exchange(b"GET / HTTP/1.1\r\nHos"))
        assert response.startswith(b"HTTP/1.1 408 ")

    def test_idle_connection_is_closed(self) -> None:
        response, _ = asyncio.run(_exchange(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
        assert response.startswith(b"HTTP/1.1 200 ")


class TestClientDisconnect:
    """A disconnect cancels the request that is being served."""

    def test_handler_is_cancelled(self) -> None:
        async def run() -> int:
            async with _running_server() as harness:
                harness.may_respond.clear()
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                while not harness.requests:
                    await asyncio.sleep(0.01)
                writer.close()
                async with asyncio.timeout(5):
                    while not harness.cancelled:
                        await asyncio.sleep(0.01)
                del reader
                return harness.cancelled

        assert asyncio.run(run()) == 1

    def test_handler_is_cancelled_behind_a_large_request(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a close that isn't seen, as a byte behind the request stays unparsed."""
        monkeypatch.setattr(http_connection, "MAX_PIPELINED_BYTES", 0)

        async def run() -> int:
            async with _running_server() as harness, _connected(harness) as (_, writer):
                harness.may_respond.clear()
                writer.write(POST + b"Content-Length: 2000\r\n\r\n" + bytes(2000) + b"\r\n")
                while not harness.requests:
                    await asyncio.sleep(0.01)
                writer.close()
                while not harness.cancelled:
                    await asyncio.sleep(0.01)
                return harness.cancelled

        assert asyncio.run(run()) == 1

    @pytest.mark.parametrize(
        ("how", "end"),
        [
            ("close", ConnectionEnd.CLIENT_CLOSED),
            ("shut down sending", ConnectionEnd.CLIENT_CLOSED),
            ("reset", ConnectionEnd.CLIENT_RESET),
            ("server", ConnectionEnd.SERVER_CLOSED),
        ],
    )
    def test_who_ended_the_connection_is_known(self, how: str, end: ConnectionEnd) -> None:
        """Guards against a lost response whose log line doesn't tell who closed the connection."""

        async def run() -> list[str]:
            async with _running_server() as harness, asyncio.timeout(5):
                harness.may_respond.clear()
                _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(POST + b"\r\n")
                while not harness.requests:
                    await asyncio.sleep(0.01)
                match how:
                    case "close":
                        writer.close()
                    case "shut down sending":
                        writer.write_eof()
                    case "reset":
                        sock = writer.get_extra_info("socket")
                        linger = struct.pack("ii", 1, 0)
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                        writer.transport.abort()
                    case "server":
                        harness.server.abort()
                while not harness.ends:
                    await asyncio.sleep(0.01)
                writer.transport.abort()
                return harness.ends

        assert asyncio.run(run()) == [end.value]


class TestFailedHandlers:
    """Guards against a request that is read and then gets neither an answer nor a log line."""

    @pytest.mark.parametrize(
        ("target", "detail"),
        [
            (b"/error", "RuntimeError('unexpected')"),
            (b"/nothing", "the handler returned without a response"),
            (b"/cancelled", "the handler was cancelled from within"),
        ],
    )
    @pytest.mark.parametrize("report_fails", [False, True])
    def test_a_request_whose_handler_fails_gets_502(
        self, target: bytes, detail: str, report_fails: bool
    ) -> None:
        """Unlike 503, it does not tell that the request was not run."""
        request = POST + b"\r\n"

        async def scenario() -> tuple[bytes, list[str]]:
            async with _running_server() as harness, asyncio.timeout(5):
                harness.report_fails = report_fails
                response = await harness.exchange(request.replace(b"/", target, 1) + request)
                return response, harness.failed

        response, failed = asyncio.run(scenario())
        assert response.startswith(b"HTTP/1.1 502 ")
        assert b"HTTP/1.1 200 " in response, "the next request on the connection got no answer"
        assert failed == [detail]

    def test_a_stream_that_has_begun_is_broken_off(self) -> None:
        """Guards against a part that looks whole, or that is followed by another answer."""

        async def scenario() -> tuple[bytes, list[str]]:
            async with _running_server() as harness, asyncio.timeout(5):
                request = (POST + b"\r\n").replace(b"/", b"/begun", 1)
                with contextlib.suppress(ConnectionResetError):
                    return await harness.exchange(request), harness.failed
                return b"", harness.failed

        response, failed = asyncio.run(scenario())
        assert b"HTTP/1.1 502" not in response
        assert not response.endswith(b"0\r\n\r\n")
        assert failed == ["RuntimeError('unexpected')"]


class TestDraining:
    """A draining server completes open requests and closes their connections."""

    def test_open_request_completes_before_connection_closes(self) -> None:
        async def run() -> bytes:
            async with _running_server() as harness:
                harness.may_respond.clear()
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                while not harness.requests:
                    await asyncio.sleep(0.01)
                harness.server.is_draining = True
                harness.server.close_idle()
                harness.may_respond.set()
                async with asyncio.timeout(5):
                    response = await reader.read()
                writer.close()
                return response

        response = asyncio.run(run())
        assert response.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close" in response

    def test_requests_that_were_read_behind_it_are_answered(self) -> None:
        """Guards against pipelined requests that are read and whose connection then closes."""

        async def run() -> bytes:
            async with _running_server() as harness:
                harness.may_respond.clear()
                reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(3 * b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                while not harness.requests:
                    await asyncio.sleep(0.01)
                harness.server.is_draining = True
                harness.may_respond.set()
                async with asyncio.timeout(5):
                    response = await reader.read()
                writer.close()
                return response

        response = asyncio.run(run())
        assert response.count(b"HTTP/1.1 200 ") == 3
        assert response.count(b"Connection: close") == 1

    def test_a_request_that_waits_in_the_kernel_is_answered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a reset by a close of idle connections that a request has reached."""
        # The connection counts as idle for long enough to be closed.
        monkeypatch.setattr(http_connection, "REUSE_S", 0.0)

        async def scenario() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                writer.write(GET)
                await reader.readuntil(b"empty")
                harness.server.is_draining = True
                writer.write(GET)
                harness.server.close_idle()
                return await reader.read()

        response = asyncio.run(scenario())
        assert _statuses(response) == [200]
        assert b"Connection: close" in response

    def test_a_new_connection_stays_open_for_its_first_request(self) -> None:
        """Guards against a reset of a request that follows the opening of its connection."""

        async def scenario() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                harness.server.is_draining = True
                await harness.server.stop_listening()
                for _ in range(5):
                    harness.server.close_idle()
                    await asyncio.sleep(0.01)
                writer.write(GET)
                return await reader.read()

        response = asyncio.run(scenario())
        assert _statuses(response) == [200]
        assert b"Connection: close" in response

    def test_a_new_connection_without_a_request_is_closed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(http_connection, "REUSE_S", 0.05)

        async def scenario() -> None:
            async with _running_server() as harness, _connected(harness) as (reader, _):
                harness.server.limits = dataclasses.replace(LIMITS, idle_timeout_s=60.0)
                closed = asyncio.create_task(reader.read())
                while not closed.done():
                    harness.server.close_idle()
                    await asyncio.sleep(0.01)
                assert closed.result() == b""

        asyncio.run(scenario())

    def test_idle_connections_are_closed(self) -> None:
        async def scenario() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                harness.server.limits = dataclasses.replace(LIMITS, idle_timeout_s=60.0)
                writer.write(GET)
                await reader.readuntil(b"empty")
                harness.server.close_idle()
                return await reader.read()

        assert asyncio.run(scenario()) == b""


async def _send_behind(harness: _ServerHarness, data: bytes) -> bytes:
    """Send bytes while a request before them is served; return all that comes back."""
    async with _connected(harness) as (reader, writer):
        harness.may_respond.clear()
        writer.write(GET)
        while not harness.requests:
            await asyncio.sleep(0.01)
        writer.write(data)
        await asyncio.sleep(0.05)
        harness.may_respond.set()
        return await reader.read()


async def _exchange_behind(data: bytes) -> bytes:
    async with _running_server() as harness:
        return await _send_behind(harness, data)


class TestRejectionsBehindRequests:
    """Guards against whole requests that get nothing since what follows them is rejected."""

    @pytest.mark.parametrize(
        ("rejected", "status"),
        [
            (b"no request at all\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
            (POST + b"Content-Length: 9999\r\n\r\n", 413),
            (b"GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n" % (b"x" * 2000), 431),
        ],
    )
    @pytest.mark.parametrize("waiting", [0, 1, 3])
    def test_the_rejection_comes_after_the_answers(
        self, waiting: int, rejected: bytes, status: int
    ) -> None:
        response = asyncio.run(_exchange_behind(waiting * GET + rejected))
        assert _statuses(response) == [200] * (1 + waiting) + [status]
        assert response.count(b"Connection: close") == 1

    def test_it_does_so_in_a_draining_server(self) -> None:
        async def scenario() -> bytes:
            async with _running_server() as harness:
                harness.server.is_draining = True
                return await _send_behind(harness, GET + b"no request at all\r\n\r\n")

        assert _statuses(asyncio.run(scenario())) == [200, 200, 400]

    @pytest.mark.parametrize("waiting", [0, 2])
    def test_a_waiting_upgrade_request_is_answered_without_upgrade(self, waiting: int) -> None:
        response = asyncio.run(_exchange_behind(waiting * GET + UPGRADE))
        assert _statuses(response) == [200] * (2 + waiting)
        assert response.count(b"Connection: close") == 1


class TestRequestsParsedLater:
    """Guards against requests that are mixed up as the bytes behind them are parsed later."""

    @pytest.fixture(autouse=True)
    def _small_slices(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(http_connection, "HEAD_SLICE_BYTES", len(GET))
        monkeypatch.setattr(http_connection, "LINGER_S", 0.05)

    @pytest.mark.parametrize("most", [1, 2, 3])
    @pytest.mark.parametrize("count", range(1, 8))
    def test_a_rejection_comes_last_and_closes_the_connection(
        self, most: int, count: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(http_connection, "MAX_PIPELINED", most)

        async def run() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                writer.write(count * GET + b"malformed\r\n\r\n")
                response = await reader.read()
                while harness.server.connections:
                    await asyncio.sleep(0.01)
                return response

        assert _statuses(asyncio.run(run())) == count * [200] + [400]

    @pytest.mark.parametrize("most", [1, 2, 3])
    @pytest.mark.parametrize("count", range(1, 8))
    def test_an_interim_response_comes_after_the_responses_before_it(
        self, most: int, count: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(http_connection, "MAX_PIPELINED", most)

        async def run() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                writer.write(count * GET + POST + b"Expect: 100-continue\r\n")
                writer.write(b"Content-Length: 1\r\nConnection: close\r\n\r\n")
                response = await reader.readuntil(b"HTTP/1.1 100 Continue\r\n\r\n")
                writer.write(b"x")
                return response + await reader.read()

        assert _statuses(asyncio.run(run())) == count * [200] + [100, 200]


class TestRefusedBytes:
    """Guards against reading that stays paused for bytes that made room for others."""

    def test_a_close_is_seen(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(http_connection, "HEAD_SLICE_BYTES", len(GET))

        async def run() -> int:
            async with _running_server() as harness, _connected(harness) as (_, writer):
                harness.may_respond.clear()
                writer.write(50 * GET)
                while not harness.requests:
                    await asyncio.sleep(0.01)
                budget = harness.server.budget
                budget.limit_bytes = 0
                budget.open_account().add(1)
                writer.close()
                while not harness.cancelled:
                    await asyncio.sleep(0.01)
                return budget.kept_bytes

        assert asyncio.run(run()) == 1


class TestPartsBehindRequests:
    """Guards against a request that is read in part while another is served, and then forgotten."""

    @pytest.mark.parametrize(
        "part", [b"GET / HTTP/1.1\r\nHos", POST + b"Content-Length: 3\r\n\r\na"]
    )
    def test_a_request_that_stays_incomplete_gets_408(
        self, part: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(http_connection, "BODY_TIMEOUT_S", LIMITS.header_timeout_s)
        response = asyncio.run(_exchange_behind(part))
        assert _statuses(response) == [200, 408]

    def test_a_draining_server_does_not_wait_for_it_without_limit(self) -> None:
        async def scenario() -> None:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                writer.write(GET + b"GET / HTTP/1.1\r\nHos")
                await reader.readuntil(b"empty")
                harness.server.is_draining = True
                while harness.server.open_requests:
                    await asyncio.sleep(0.01)

        asyncio.run(scenario())

    def test_a_client_that_waits_to_send_its_body_is_told_to_go_on(self) -> None:
        async def scenario() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                harness.may_respond.clear()
                writer.write(GET)
                while not harness.requests:
                    await asyncio.sleep(0.01)
                writer.write(POST + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n")
                await asyncio.sleep(0.05)
                harness.may_respond.set()
                response = await reader.readuntil(b"100 Continue\r\n\r\n")
                writer.write(b"1")
                return response + await reader.read()

        assert _statuses(asyncio.run(scenario())) == [200, 100, 200]

    @pytest.mark.parametrize("part", [b"GET / HTT", POST + b"Content-Length: 3\r\n\r\na"])
    def test_a_request_that_is_completed_later_is_answered(self, part: bytes) -> None:
        rest = b"bc" if part.startswith(b"POST") else b"P/1.1\r\nHost: a\r\n\r\n"

        async def scenario() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                harness.may_respond.clear()
                writer.write(GET + part)
                while not harness.requests:
                    await asyncio.sleep(0.01)
                harness.may_respond.set()
                response = await reader.readuntil(b"empty")
                writer.write(rest)
                return response + await reader.read()

        assert _statuses(asyncio.run(scenario())) == [200, 200]


class TestSplitRequests:
    """Guards against requests that are misread where the network has split them."""

    REQUESTS = (
        POST + b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: u\r\n\r\n",
        GET,
        POST + b"Content-Length: 3\r\n\r\nabc",
        POST + b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n1",
        b"HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    )

    def test_requests_that_are_split_at_any_byte_are_answered(self) -> None:
        data = b"".join(self.REQUESTS)

        async def scenario() -> list[list[int]]:
            async with _running_server() as harness:
                return [
                    await self._send_split(harness, data, position)
                    for position in range(1, len(data))
                ]

        for statuses in asyncio.run(scenario()):
            assert [status for status in statuses if status != 100] == [200] * len(self.REQUESTS)

    async def _send_split(self, harness: _ServerHarness, data: bytes, position: int) -> list[int]:
        async with _connected(harness) as (reader, writer):
            writer.write(data[:position])
            await asyncio.sleep(0.002)
            writer.write(data[position:])
            return _statuses(await reader.read())

    @pytest.mark.parametrize(
        "before",
        [
            POST + b"Content-Length: 40000\r\n\r\n" + 40_000 * b"x",
            POST + b"X: %s\r\n" % (40_000 * b"x"),
        ],
    )
    def test_what_comes_before_a_body_does_not_count_as_chunk_extensions(
        self, before: bytes
    ) -> None:
        """Guards against a 413 for requests within all limits."""
        head = b"Content-Length: 1\r\n\r\n"
        if before.endswith(b"xx"):
            head = POST + head

        async def scenario() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                limits = dataclasses.replace(LIMITS, header_bytes=100_000, body_bytes=100_000)
                harness.server.limits = limits
                writer.write(before + head)
                await asyncio.sleep(0.1)
                writer.write(b"1")
                return await reader.read()

        statuses = _statuses(asyncio.run(scenario()))
        assert statuses == [200] * (1 + before.endswith(b"xx"))


class TestIdleTimeouts:
    """Guards against a close of connections that their clients may still use."""

    @pytest.mark.parametrize("has_served", [False, True])
    def test_a_raised_limit_holds_for_connections_that_are_idle(self, has_served: bool) -> None:
        async def scenario() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                if has_served:
                    writer.write(GET)
                    await reader.readuntil(b"empty")
                await asyncio.sleep(LIMITS.idle_timeout_s / 3)
                harness.server.limits = dataclasses.replace(LIMITS, idle_timeout_s=2.0)
                await asyncio.sleep(2 * LIMITS.idle_timeout_s)
                writer.write(GET)
                return await reader.readuntil(b"empty")

        assert _statuses(asyncio.run(scenario())) == [200]

    def test_it_is_counted_from_the_last_response(self) -> None:
        async def scenario() -> float:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                writer.write(GET)
                await reader.readuntil(b"empty")
                (connection,) = harness.server.connections
                assert connection._deadline is not None
                before = connection._deadline.when()
                await asyncio.sleep(LIMITS.idle_timeout_s / 3)
                limits = dataclasses.replace(LIMITS, idle_timeout_s=2 * LIMITS.idle_timeout_s)
                harness.server.limits = limits
                return connection._deadline.when() - before

        assert asyncio.run(scenario()) == pytest.approx(LIMITS.idle_timeout_s, abs=0.1)

    def test_a_lowered_limit_holds_from_the_next_response(self) -> None:
        """A client may rely on the limit that was in force when its last response ended."""

        async def scenario() -> float:
            async with _running_server() as harness:
                harness.server.limits = dataclasses.replace(LIMITS, idle_timeout_s=5.0)
                async with _connected(harness) as (reader, writer):
                    writer.write(GET)
                    await reader.readuntil(b"empty")
                    harness.server.limits = dataclasses.replace(LIMITS, idle_timeout_s=0.01)
                    await asyncio.sleep(0.1)
                    writer.write(GET)
                    await reader.readuntil(b"empty")
                    answered_at = time.monotonic()
                    assert await reader.read() == b""
                    return time.monotonic() - answered_at

        assert asyncio.run(scenario()) < 2.5

    def test_a_request_that_has_come_during_a_stall_is_answered(self) -> None:
        async def scenario() -> bytes:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                writer.write(GET)
                await reader.readuntil(b"empty")
                writer.write(GET)
                time.sleep(2 * LIMITS.idle_timeout_s)
                return await reader.readuntil(b"empty")

        assert _statuses(asyncio.run(scenario())) == [200]


class TestStoppedListening:
    """Guards against requests on connections that the kernel has accepted, but not the server."""

    @pytest.mark.parametrize("turns", range(4))
    def test_they_are_answered(self, turns: int) -> None:
        """However far the event loop has come with accepting them."""

        async def scenario() -> list[bytes]:
            async with _running_server() as harness, asyncio.timeout(5):
                address = ("127.0.0.1", harness.port)
                harness.server.is_draining = True
                clients = [socket.create_connection(address) for _ in range(3)]
                for client in clients:
                    client.sendall(GET)
                for _ in range(turns):
                    await asyncio.sleep(0)
                await harness.server.stop_listening()
                harness.server.close_idle()
                responses = [await asyncio.to_thread(_receive_all, client) for client in clients]
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(*address)
                return responses

        for response in asyncio.run(scenario()):
            assert _statuses(response) == [200]
            assert b"Connection: close" in response

    def test_a_server_that_does_not_listen_stays_closed(self) -> None:
        async def scenario() -> None:
            async with _running_server() as harness:
                await harness.server.stop_listening()
                await harness.server.stop_listening()

        asyncio.run(scenario())


class TestRejectionsOfSendingClients:
    """Guards against a rejection that is lost as its client still sends when the server closes."""

    HEAD = POST + b"Content-Length: 50000000\r\n\r\n"

    @pytest.mark.parametrize("pause_s", [0.0, 0.005])
    def test_the_rejection_arrives(self, pause_s: float) -> None:
        def send(port: int) -> bytes:
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.settimeout(5)
                client.sendall(self.HEAD)
                for _ in range(10):
                    client.sendall(50_000 * b"x")
                    time.sleep(pause_s)
                client.shutdown(socket.SHUT_WR)
                return _receive_all(client)

        async def scenario() -> bytes:
            async with _running_server() as harness:
                return await asyncio.to_thread(send, harness.port)

        assert _statuses(asyncio.run(scenario())) == [413]

    @pytest.mark.parametrize(
        ("linger_s", "max_bytes"), [(0.2, 10**9), (60.0, 10_000)], ids=["time", "bytes"]
    )
    def test_a_client_that_goes_on_is_disconnected(
        self, linger_s: float, max_bytes: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(http_connection, "LINGER_S", linger_s)
        monkeypatch.setattr(http_connection, "MAX_REJECTED_BYTES", max_bytes)

        async def scenario() -> None:
            async with _running_server() as harness, _connected(harness) as (reader, writer):
                writer.write(self.HEAD)
                assert _statuses(await reader.read()) == [413]
                with contextlib.suppress(ConnectionError):
                    while harness.server.connections:
                        writer.write(1000 * b"x")
                        await writer.drain()
                        await asyncio.sleep(0.01)

        asyncio.run(scenario())
