"""Tests of the HTTP server: framing, limits, clients that leave."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from dragonflyhold.gateway.http_server import ClientRequest, HttpServer, Responder
from dragonflyhold.gateway.model import IngressLimits

LIMITS = IngressLimits(header_bytes=1024, body_bytes=2048, header_timeout_s=0.2, idle_timeout_s=0.3)


POST = b"POST / HTTP/1.1\r\nHost: a\r\n"


class _Site:
    """A server on loopback that records what its handler was given."""

    def __init__(self) -> None:
        self.requests: list[ClientRequest] = []
        self.cancelled = 0
        self.hold = asyncio.Event()
        self.hold.set()
        self.server = HttpServer(self._handle, LIMITS)
        self.port = 0

    async def _handle(self, request: ClientRequest, responder: Responder) -> None:
        self.requests.append(request)
        try:
            await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if request.target == b"/stream":
            responder.start_stream(200, [])
            await responder.write(b"one")
            await responder.write(b"two")
            responder.end_stream()
        elif request.target == b"/cut":
            responder.start_stream(200, [])
            await responder.write(b"one")
            responder.abort()
        else:
            responder.send(200, [(b"X", b"y")], request.body or b"empty")

    async def exchange(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer


@contextlib.asynccontextmanager
async def _site() -> AsyncIterator[_Site]:
    site = _Site()
    await site.server.listen("127.0.0.1", 0)
    assert site.server._server is not None
    site.port = site.server._server.sockets[0].getsockname()[1]
    try:
        yield site
    finally:
        site.server.close_listener()
        for connection in list(site.server.connections):
            connection.abort()


async def _exchange(data: bytes) -> tuple[bytes, list[ClientRequest]]:
    async with _site() as site:
        async with asyncio.timeout(5):
            return await site.exchange(data), site.requests


class TestFraming:
    """Framing."""

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
    def test_improper_requests_get_400_and_go_nowhere(self, head: bytes) -> None:
        """Bytes that two parsers read differently smuggle a request past one of them."""
        answer, requests = asyncio.run(_exchange(head))
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert b"Connection: close" in answer
        assert requests == []

    def test_an_upgrade_is_served_plainly_and_ends_the_connection(self) -> None:
        head = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
        answer, requests = asyncio.run(_exchange(head + head))
        assert answer.count(b"HTTP/1.1 200 OK") == 1
        assert len(requests) == 1

    def test_a_chunked_body_is_joined_and_trailers_are_dropped(self) -> None:
        data = (
            POST + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nEvil: 1\r\n\r\n"
        )
        answer, requests = asyncio.run(_exchange(data))
        assert answer.endswith(b"abcde")
        assert b"evil" not in requests[0].fields

    def test_pipelined_requests_are_answered_in_their_order(self) -> None:
        data = (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2"
        )
        answer, requests = asyncio.run(_exchange(data))
        assert answer.count(b"HTTP/1.1 200") == 2
        assert [request.body for request in requests] == [b"1", b"2"]

    def test_a_stream_ends_with_its_last_chunk(self) -> None:
        data = b"GET /stream HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        answer, _ = asyncio.run(_exchange(data))
        assert answer.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")

    def test_a_stream_that_breaks_off_does_not_look_complete(self) -> None:
        async def run() -> bytes:
            async with _site() as site:
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(b"GET /cut HTTP/1.1\r\nHost: a\r\n\r\n")
                data = b""
                with contextlib.suppress(ConnectionResetError):
                    while part := await reader.read(100):
                        data += part
                writer.close()
                return data

        assert not asyncio.run(run()).endswith(b"0\r\n\r\n")

    def test_an_old_client_gets_no_chunks(self) -> None:
        answer, _ = asyncio.run(_exchange(b"GET /stream HTTP/1.0\r\nHost: a\r\n\r\n"))
        assert answer.endswith(b"\r\n\r\nonetwo")


class TestLimits:
    """Limits."""

    def test_a_large_header_section_gets_431(self) -> None:
        data = b"GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n" % (b"x" * 2000)
        answer, requests = asyncio.run(_exchange(data))
        assert answer.startswith(b"HTTP/1.1 431 ")
        assert requests == []

    def test_a_large_body_gets_413_before_it_is_read(self) -> None:
        data = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n"
        answer, _ = asyncio.run(_exchange(data))
        assert answer.startswith(b"HTTP/1.1 413 ")

    def test_a_slow_header_gets_408(self) -> None:
        answer, _ = asyncio.run(_exchange(b"GET / HTTP/1.1\r\nHos"))
        assert answer.startswith(b"HTTP/1.1 408 ")

    def test_an_idle_connection_is_closed(self) -> None:
        answer, _ = asyncio.run(_exchange(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
        assert answer.startswith(b"HTTP/1.1 200 ")


class TestClientsThatLeave:
    """Clients that leave."""

    def test_the_work_is_cancelled_at_once(self) -> None:
        async def run() -> int:
            async with _site() as site:
                site.hold.clear()
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                while not site.requests:
                    await asyncio.sleep(0.01)
                writer.close()
                async with asyncio.timeout(5):
                    while not site.cancelled:
                        await asyncio.sleep(0.01)
                del reader
                return site.cancelled

        assert asyncio.run(run()) == 1


class TestDraining:
    """Draining."""

    def test_open_requests_end_and_their_connection_closes(self) -> None:
        async def run() -> bytes:
            async with _site() as site:
                site.hold.clear()
                reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                while not site.requests:
                    await asyncio.sleep(0.01)
                site.server.is_draining = True
                site.server.close_idle()
                site.hold.set()
                async with asyncio.timeout(5):
                    answer = await reader.read()
                writer.close()
                return answer

        answer = asyncio.run(run())
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close" in answer
