"""Tests with a server in trouble, which sends bytes without end until the caller closes."""

import asyncio
import time
import tracemalloc
from collections.abc import Callable

import pytest

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.events import EventSplitter, EventTooLargeError
from dragonflyhold.gateway.http_client import (
    MAX_READ_BYTES,
    Call,
    ExchangeError,
    FailureReason,
)
from dragonflyhold.gateway.http_server import HttpServer
from dragonflyhold.gateway.limits import (
    MAX_EVENT_BYTES,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_REFUSAL_BYTES,
)
from dragonflyhold.gateway.model import Address, IngressLimits

CALL = Call(b"GET", b"/x", [(b"Host", b"a")])
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * 16_384
# What the kernel's buffers take beyond what the caller reads.
KERNEL_BUFFER_BYTES = 16 * 1024 * 1024
MEMORY_LIMIT_BYTES = 4 * 1024 * 1024

# Start of the response, and what is repeated without end.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "header name": (b"HTTP/1.1 200 OK\r\n", FILLER),
    "header value": (b"HTTP/1.1 200 OK\r\nA: ", FILLER),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 2000),
    "empty lines before the head": (b"", b"\r\n" * 8000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
    "chunk extension": (CHUNKED + b"5;", FILLER),
    "trailers": (CHUNKED + b"5\r\nhello\r\n0\r\n", b"A: b\r\n" * 2000),
    "trailer value": (CHUNKED + b"5\r\nhello\r\n0\r\nA: ", FILLER),
    "body": (CHUNKED, b"4000\r\n" + FILLER + b"\r\n"),
    "body without length": (b"HTTP/1.1 200 OK\r\n\r\n", FILLER),
}


async def _read_from_endless_server(
    start: bytes, repeated: bytes, read: Callable[[Address], "asyncio.Future[object]"]
) -> tuple[object, int]:
    """Return the result of ``read`` and the bytes that the server could send."""
    sent = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.read(1000)
        try:
            writer.write(start)
            while sent < 64 * KERNEL_BUFFER_BYTES:
                writer.write(repeated)
                sent += len(repeated)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        async with asyncio.timeout(10):
            result = await read(Address(f"{host}:{port}"))
        await asyncio.sleep(0.05)
        return result, sent
    finally:
        server.close()


async def _exchange(address: Address) -> object:
    pool = ConnectionPool()
    exchange = await pool.send(address, CALL)
    try:
        await exchange.read_head()
        return await exchange.read_body(MAX_REFUSAL_BYTES)
    except ExchangeError as error:
        return error
    finally:
        pool.release(address, exchange)


class TestEndlessResponses:
    """Each place of a response in which bytes may come without end."""

    @pytest.mark.parametrize("place", ENDLESS)
    def test_the_connection_is_closed_and_memory_stays_bounded(self, place: str) -> None:
        """Guards against a gateway that one upstream in trouble fills up or keeps busy."""
        start, repeated = ENDLESS[place]
        tracemalloc.start()
        started = time.process_time()
        result, sent = asyncio.run(_read_from_endless_server(start, repeated, _exchange))  # type: ignore[arg-type]
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert isinstance(result, ExchangeError)
        assert result.reason is FailureReason.OVERSIZED or (
            place == "headers" and result.reason is FailureReason.MALFORMED
        )
        assert result.sent, "the request may have run"
        assert sent < KERNEL_BUFFER_BYTES
        assert peak < MEMORY_LIMIT_BYTES
        assert time.process_time() - started < 2.0

    def test_sound_responses_stay_within_the_limits(self) -> None:
        """Guards against limits that count the whole of a long stream of small chunks."""
        pieces = b"".join(b"1;ext=%d\r\nx\r\n" % number for number in range(20_000))

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1000)
            writer.write(CHUNKED + pieces + b"0\r\nTrailer: a\r\n\r\n")
            await writer.drain()
            writer.close()

        async def scenario() -> object:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            result = await _exchange(Address(f"{host}:{port}"))
            server.close()
            return result

        assert len(pieces) > MAX_FRAMING_BYTES + MAX_HEAD_BYTES
        assert asyncio.run(scenario()) == b"x" * 20_000


class TestOtherTasks:
    """Guards against one response that keeps all other clients of the process waiting."""

    def test_they_run_between_the_parts_of_a_body(self) -> None:
        body, turns, turns_between = b"\n" * (8 * MAX_READ_BYTES), 0, []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1000)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            writer.close()

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        async def scenario() -> list[bytes]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            pool, address, parts = ConnectionPool(), Address(f"{host}:{port}"), []
            exchange = await pool.send(address, CALL)
            # All of the body has arrived.
            await asyncio.sleep(0.2)
            other = asyncio.create_task(count_turns())
            while part := await exchange.read_chunk():
                parts.append(part)
                turns_between.append(turns)
            other.cancel()
            pool.release(address, exchange)
            pool.close_idle(address)
            server.close()
            return parts

        parts = asyncio.run(scenario())
        assert b"".join(parts) == body
        assert max(map(len, parts)) <= MAX_READ_BYTES
        assert len(set(turns_between)) == len(parts)


class TestEndlessEvents:
    """Events of a stream that never end."""

    def test_an_event_without_end_is_given_up(self) -> None:
        """Guards against work that is quadratic in the size of the event."""
        splitter, started = EventSplitter(), time.process_time()

        def feed_without_end() -> None:
            for _ in range(50_000):
                splitter.feed(b"data: " + b"x" * 1000)

        with pytest.raises(EventTooLargeError):
            feed_without_end()
        assert time.process_time() - started < 0.5
        assert not splitter.has_partial

    @pytest.mark.parametrize("event", [b":\n\n", b":\r\n\r\n", b"id:\n\n", b"\n\n"])
    def test_many_small_events_cost_what_their_bytes_do(self, event: bytes) -> None:
        """Guards against work that is quadratic in the events of one read."""
        splitter, data, started = (
            EventSplitter(),
            event * (MAX_EVENT_BYTES // 3),
            time.process_time(),
        )
        assert splitter.feed(data) == data
        assert time.process_time() - started < 2.0

    def test_events_before_an_oversized_one_are_forwarded(self) -> None:
        """Guards against a stream that is resumed after an event that its client never got."""
        splitter, event = EventSplitter(), b"id: 1\ndata: x\n\n"
        assert splitter.feed(event + b"x" * (MAX_EVENT_BYTES + 1)) == event
        assert splitter.last_id == "1"
        assert not splitter.has_partial
        with pytest.raises(EventTooLargeError):
            splitter.check()

    def test_large_events_and_torn_ends_are_forwarded(self) -> None:
        event = b"id: 1\r\ndata: " + b"x" * (MAX_EVENT_BYTES - 100) + b"\r\n\r\n"
        splitter, forwarded = EventSplitter(), b""
        for start in range(0, len(event), 777):
            forwarded += splitter.feed(event[start : start + 777])
        assert forwarded == event
        assert [splitter.feed(part) for part in (b"id: 2\n", b"\nid: 3\r\n\r", b"\n")] == [
            b"",
            b"id: 2\n\n",
            b"id: 3\r\n\r\n",
        ]


class TestEndlessRequests:
    """Requests of clients that never end."""

    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"GET /", FILLER),
            (b"GET / HTTP/1.1\r\nHost: a\r\nA: ", FILLER),
            (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;", FILLER),
            (
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                b"A: b\r\n" * 2000,
            ),
        ],
        ids=["target", "header value", "chunk extension", "trailers"],
    )
    def test_the_connection_is_closed(self, start: bytes, repeated: bytes) -> None:
        async def scenario() -> int:
            async def handle(request: object, responder: object) -> None:
                raise AssertionError("an endless request reached the handler")

            server, sent = HttpServer(handle, IngressLimits()), 0
            await server.listen("127.0.0.1", 0)
            assert server._server is not None
            host, port = server._server.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(host, port)
            try:
                async with asyncio.timeout(10):
                    writer.write(start)
                    while sent < 64 * KERNEL_BUFFER_BYTES:
                        writer.write(repeated)
                        sent += len(repeated)
                        await writer.drain()
            except ConnectionError:
                pass
            finally:
                writer.transport.abort()
                server.abort()
                await asyncio.sleep(0.05)
            return sent

        assert asyncio.run(scenario()) < KERNEL_BUFFER_BYTES
