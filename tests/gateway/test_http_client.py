"""Tests of the HTTP client against servers that answer in every wrong way."""

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


def _answers(*answers: bytes) -> Script:
    """Answer request after request on one connection, then close it."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for answer in answers:
            await reader.readuntil(b"body")
            writer.write(answer)
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


def _break(script: Script) -> ExchangeError:
    with pytest.raises(ExchangeError) as caught:
        _run(script)
    return caught.value


class TestWholeAnswers:
    """Whole answers."""

    def test_a_connection_is_kept(self) -> None:
        assert _run(_answers(OK, OK), 2) == ([(200, b"abc")] * 2, 1)

    def test_connection_close_is_obeyed(self) -> None:
        closing = OK.replace(b"Id: 1", b"Id: 1\r\nConnection: close")
        results, opened = _run(_answers(closing, OK), 2)
        assert results == [(200, b"abc")] * 2
        assert opened == 2

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        assert _run(_answers(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc"))[0] == [(200, b"abc")]

    def test_interim_answers_are_skipped(self) -> None:
        assert _run(_answers(b"HTTP/1.1 100 Continue\r\n\r\n" + OK))[0] == [(200, b"abc")]

    def test_an_answer_to_an_earlier_request_is_skipped(self) -> None:
        """A second answer may arrive late, where the next one is expected."""
        other = OK.replace(b"Id: 1", b"Id: 0").replace(b"abc", b"xyz")
        results, opened = _run(_answers(other + OK, OK), 2)
        assert results == [(200, b"abc")] * 2
        assert opened == 2, "a connection with a second answer must not be used again"

    @pytest.mark.parametrize(
        "extra", [b"junk", OK, b"HTTP/1.1 500 x\r\nContent-Length: 1\r\n\r\ny"]
    )
    def test_bytes_after_the_answer_belong_to_no_request(self, extra: bytes) -> None:
        results, opened = _run(_answers(OK + extra, OK), 2)
        assert results == [(200, b"abc")] * 2
        assert opened == 2

    def test_bytes_on_an_idle_connection_end_it(self) -> None:
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

    def test_an_answer_before_the_body_was_read_leaves_the_body_whole(self) -> None:
        """A runner that answers early reads the rest of the body later on the same connection."""
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


class TestBrokenAnswers:
    """Broken answers."""

    def test_a_short_body_is_no_answer(self) -> None:
        error = _break(_answers(OK[:-1]))
        assert (error.reason, error.sent) == (FailureReason.CLOSED, True)

    def test_an_unfinished_chunked_body_is_no_answer(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert _break(_answers(head + b"3\r\nabc\r\n")).reason is FailureReason.CLOSED

    def test_bytes_that_are_no_answer(self) -> None:
        assert _break(_answers(b"\x00\x01 garbage\r\n\r\n")).reason is FailureReason.MALFORMED

    def test_two_lengths_are_no_answer(self) -> None:
        both = OK.replace(b"Content-Length: 3", b"Content-Length: 3\r\nTransfer-Encoding: chunked")
        assert _break(_answers(both)).reason is FailureReason.MALFORMED

    def test_a_reset_ends_an_answer_without_a_length(self) -> None:
        """An answer without a length that is reset on the way is not complete."""

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"body")
            writer.write(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nab")
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        assert _break(script).reason is FailureReason.RESET

    def test_no_connection_means_that_nothing_was_sent(self) -> None:
        async def run() -> None:
            async with _serve(_answers()) as address:
                pass
            await ConnectionPool().send(address, CALL)

        with pytest.raises(ExchangeError) as caught:
            asyncio.run(run())
        assert caught.value.sent is False

    def test_giving_up_closes_the_connection(self) -> None:
        """The runner stops work when its channel closes."""
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
