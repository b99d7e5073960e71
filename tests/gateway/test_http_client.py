"""Tests of the HTTP client against well-behaved and misbehaving servers."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine

import pytest

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError, FailureReason, Head
from dragonflyhold.gateway.model import Address

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[None, None, None]]
CALL = Call(b"POST", b"/x", [(b"Host", b"h"), (b"Id", b"1")], b"body", (b"id", b"1"))
OK = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nabc"


@contextlib.asynccontextmanager
async def _serve(script: Script) -> AsyncIterator[Address]:
    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await script(reader, writer)
        writer.close()

    server = await asyncio.start_server(run, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield Address(f"{host}:{port}")
    finally:
        server.close()


def _respond(*responses: bytes) -> Script:
    """Return a script that sends one response per request, then closes the connection."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for response in responses:
            await reader.readuntil(b"body")
            writer.write(response)
            await writer.drain()

    return script


async def _exchange(
    pool: ConnectionPool, address: Address, call: Call = CALL
) -> tuple[Head, bytes]:
    exchange = await pool.send(address, call)
    try:
        head = await exchange.read_head()
        return head, await exchange.read_body()
    finally:
        pool.release(address, exchange)


def _run(script: Script, times: int = 1) -> tuple[list[tuple[int, bytes]], int]:
    async def run() -> tuple[list[tuple[int, bytes]], int]:
        pool = ConnectionPool()
        results = []
        async with _serve(script) as address, asyncio.timeout(5):
            for _ in range(times):
                head, body = await _exchange(pool, address)
                results.append((head.status, body))
                await asyncio.sleep(0.02)
            pool.close_idle(address)
        return results, pool.connections_opened

    return asyncio.run(run())


def _run_failing(script: Script) -> ExchangeError:
    with pytest.raises(ExchangeError) as caught:
        _run(script)
    return caught.value


class TestCompleteResponses:
    """Responses that the client accepts, and whether it reuses their connection."""

    def test_connection_is_reused(self) -> None:
        assert _run(_respond(OK, OK), 2) == ([(200, b"abc")] * 2, 1)

    def test_connection_close_header_prevents_reuse(self) -> None:
        closing = OK.replace(b"Id: 1", b"Id: 1\r\nConnection: close")
        results, opened = _run(_respond(closing, OK), 2)
        assert results == [(200, b"abc")] * 2
        assert opened == 2

    def test_response_without_length_ends_when_connection_closes(self) -> None:
        assert _run(_respond(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc"))[0] == [(200, b"abc")]

    def test_interim_responses_are_skipped(self) -> None:
        assert _run(_respond(b"HTTP/1.1 100 Continue\r\n\r\n" + OK))[0] == [(200, b"abc")]

    def test_response_to_earlier_request_is_skipped(self) -> None:
        """A duplicate response that arrives late must not be taken for the next one."""
        other = OK.replace(b"Id: 1", b"Id: 0").replace(b"abc", b"xyz")
        results, opened = _run(_respond(other + OK, OK), 2)
        assert results == [(200, b"abc")] * 2
        assert opened == 2, "a connection with an unexpected response must not be reused"

    @pytest.mark.parametrize(
        "extra", [b"junk", OK, b"HTTP/1.1 500 x\r\nContent-Length: 1\r\n\r\ny"]
    )
    def test_bytes_after_response_prevent_reuse(self, extra: bytes) -> None:
        results, opened = _run(_respond(OK + extra, OK), 2)
        assert results == [(200, b"abc")] * 2
        assert opened == 2

    def test_bytes_on_idle_connection_close_it(self) -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"body")
            writer.write(OK)
            await asyncio.sleep(0.005)
            writer.write(OK.replace(b"abc", b"xyz"))
            await reader.readuntil(b"body")
            writer.write(OK)

        results, opened = _run(script, 2)
        assert results == [(200, b"abc")] * 2
        assert opened == 2

    def test_early_response_does_not_truncate_request_body(self) -> None:
        """An upstream that responds early still reads the whole body from the connection."""
        body = b"x" * 3_000_000
        seen: list[int] = []

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)
            await asyncio.sleep(0.05)
            seen.append(len((await reader.readexactly(len(body))).strip(b"x")))
            await reader.readuntil(b"body")
            writer.write(OK)

        async def run() -> None:
            pool = ConnectionPool()
            async with _serve(script) as address, asyncio.timeout(5):
                await _exchange(
                    pool, address, Call(b"POST", b"/x", CALL.headers, body, CALL.required_header)
                )
                await _exchange(pool, address)
                pool.close_idle(address)

        asyncio.run(run())
        assert seen == [0]


class TestIncompleteResponses:
    """Truncated, malformed and missing responses fail with a reason."""

    def test_truncated_body_fails(self) -> None:
        error = _run_failing(_respond(OK[:-1]))
        assert (error.reason, error.sent) == (FailureReason.CLOSED, True)

    def test_unterminated_chunked_body_fails(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert _run_failing(_respond(head + b"3\r\nabc\r\n")).reason is FailureReason.CLOSED

    def test_malformed_status_line_fails(self) -> None:
        assert _run_failing(_respond(b"\x00\x01 garbage\r\n\r\n")).reason is FailureReason.MALFORMED

    def test_content_length_with_chunked_encoding_fails(self) -> None:
        both = OK.replace(b"Content-Length: 3", b"Content-Length: 3\r\nTransfer-Encoding: chunked")
        assert _run_failing(_respond(both)).reason is FailureReason.MALFORMED

    def test_reset_fails_response_without_length(self) -> None:
        """Only an orderly close completes a close-delimited response."""

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"body")
            writer.write(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab")
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        assert _run_failing(script).reason is FailureReason.RESET

    def test_connect_error_reports_nothing_sent(self) -> None:
        async def run() -> None:
            async with _serve(_respond()) as address:
                pass
            await ConnectionPool().send(address, CALL)

        with pytest.raises(ExchangeError) as caught:
            asyncio.run(run())
        assert caught.value.sent is False

    def test_releasing_open_exchange_closes_connection(self) -> None:
        """The upstream cancels a request when its connection closes."""
        closed = []

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"body")
            with contextlib.suppress(ConnectionError):
                closed.append(await reader.read())

        async def run() -> None:
            pool = ConnectionPool()
            async with _serve(script) as address, asyncio.timeout(5):
                exchange = await pool.send(address, CALL)
                await asyncio.sleep(0.05)
                pool.release(address, exchange)
                await asyncio.sleep(0.05)

        asyncio.run(run())
        assert closed in ([b""], [])


class TestOddStatuses:
    """Guards against an answer that is none, and against a wait for what follows it."""

    @pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
    @pytest.mark.parametrize("length", [b"", b"Content-Length: 3\r\n"])
    def test_it_fails_the_exchange_at_once(self, status: bytes, length: bytes) -> None:
        response = b"HTTP/1.1 %s X\r\nId: 1\r\n%s\r\nabc" % (status, length)

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"body")
            writer.write(response)
            # Stays open, as that of an upstream in trouble may.
            await reader.read()

        async def run() -> ExchangeError:
            async with _serve(script) as address, asyncio.timeout(1):
                with pytest.raises(ExchangeError) as caught:
                    await _exchange(ConnectionPool(), address)
                await asyncio.sleep(0.05)
            return caught.value

        assert asyncio.run(run()).reason is FailureReason.MALFORMED

    @pytest.mark.parametrize("status", [200, 299, 400, 599])
    def test_others_are_answers(self, status: int) -> None:
        response = OK.replace(b"200 OK", b"%d X" % status)
        assert _run(_respond(response))[0] == [(status, b"abc")]


class TestUnusableAddresses:
    """Guards against addresses that end a request, as no connection can be tried."""

    @pytest.mark.parametrize(
        "address",
        ["127.0.0.1:65536", "127.0.0.1:" + "9" * 400, "127.0.0.1:x", "a\0b:80", "a..b:80", "x:²"],
    )
    def test_nothing_was_sent_to_an_address_that_no_socket_accepts(self, address: str) -> None:
        async def run() -> bool:
            pool = ConnectionPool()
            with pytest.raises(ExchangeError) as error:
                await pool.send(Address(address), CALL)
            return error.value.sent or await pool.can_connect(Address(address))

        assert not asyncio.run(run())


class TestKeepAlive:
    """Guards against answers that are lost because of the idle timeout that they state."""

    @pytest.mark.parametrize("value", [b"9" * 400, b"9" * 5000, b"\xb2", b"-1", b"", b"1e3"])
    def test_an_odd_idle_timeout_fails_no_exchange(self, value: bytes) -> None:
        answer = b"HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=" + value
        answers, _ = _run(_respond(answer + b"\r\nContent-Length: 3\r\n\r\nabc"))
        assert answers == [(200, b"abc")]
