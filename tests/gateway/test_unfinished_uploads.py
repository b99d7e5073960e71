"""Tests of answers without a length from upstreams that end them before an upload is taken."""

import asyncio
import contextlib
import enum
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.standins.site import PLAIN_SERVICE, running_deployment

HEAD = b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
# The first fits into the buffers of both kernels, the second doesn't.
SIZES = (20_000, 8_000_000)
# Time after which an upstream closes a connection that brings no request.
IDLE_S = 0.2
# A reset that comes later than this after the end of the stream can't be told from a usual close.
DELAYS_S = (0.0, 0.005)


class _End(enum.Enum):
    """How an upstream ends the connection after a part of its answer."""

    RESET = "reset"
    # Closes with the rest of the upload unread, which makes its kernel reset the connection.
    CLOSE = "close"
    END_OF_STREAM = "end of stream"
    END_THEN_RESET = "end of stream, then reset"
    END_THEN_CLOSE = "end of stream, then close"


def _end(sock: socket.socket, end: _End, delay_s: float) -> None:
    if end in (_End.END_OF_STREAM, _End.END_THEN_RESET, _End.END_THEN_CLOSE):
        sock.shutdown(socket.SHUT_WR)
        time.sleep(0.5 if end is _End.END_OF_STREAM else delay_s)
    if end in (_End.RESET, _End.END_THEN_RESET):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def _read_until(sock: socket.socket, size: int | None) -> None:
    """Read the head and, if a size is given, the whole body of a request."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(1024)
    left = 0 if size is None else size - len(data.partition(b"\r\n\r\n")[2])
    while left > 0:
        left -= len(sock.recv(65_536))


@contextlib.contextmanager
def _upstream(serve: Callable[[socket.socket], None]) -> Iterator[Address]:
    """Run an upstream that serves each connection once, in a thread of its own."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.settimeout(IDLE_S)
                threading.Thread(target=serve_once, args=(sock,), daemon=True).start()

    def serve_once(sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            serve(sock)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    host, port = listener.getsockname()
    try:
        yield Address(f"{host}:{port}")
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join(5)


def _fetch(address: Address, size: int, busy_s: float = 0.0) -> bytes | None:
    """Return the body of an answer, ``None`` if it is not complete.

    The event loop does nothing else for ``busy_s`` once the request is on its way.
    """

    async def run() -> bytes | None:
        pool = ConnectionPool()
        call = Call(b"POST", b"/x", [(b"Host", b"h")], b"u" * size, (b"id", b"1"))
        async with asyncio.timeout(5):
            exchange = await pool.send(address, call)
            time.sleep(busy_s)
            try:
                await exchange.read_head()
                return await exchange.read_body()
            except ExchangeError:
                return None
            finally:
                pool.release(address, exchange)

    return asyncio.run(run())


@pytest.mark.parametrize("body", [b"part", EVENTS], ids=["plain", "between events"])
@pytest.mark.parametrize("size", SIZES)
class TestUnfinishedUploads:
    """Guards against a part of an answer that a client takes for the whole one."""

    @pytest.mark.parametrize("busy_s", [0.0, 0.1])
    @pytest.mark.parametrize("delay_s", DELAYS_S)
    @pytest.mark.parametrize(
        "end", [_End.RESET, _End.CLOSE, _End.END_THEN_RESET, _End.END_THEN_CLOSE]
    )
    def test_answer_that_is_reset_is_not_complete(
        self, body: bytes, size: int, end: _End, delay_s: float, busy_s: float
    ) -> None:
        """With a busy loop, all that the upstream does is noticed within one turn of it."""

        def serve(sock: socket.socket) -> None:
            _read_until(sock, None)
            sock.sendall(HEAD + body)
            _end(sock, end, delay_s)

        with _upstream(serve) as address:
            assert _fetch(address, size, busy_s) is None

    def test_answer_that_ends_after_the_upload_is_complete(self, body: bytes, size: int) -> None:
        """Guards against the loss of answers beside which nothing is wrong."""

        def serve(sock: socket.socket) -> None:
            _read_until(sock, size)
            sock.sendall(HEAD + body)
            sock.close()

        with _upstream(serve) as address:
            assert _fetch(address, size) == body


class TestEndOfStreamBeforeTheUpload:
    """An upstream that takes no more of an upload has not given its whole answer to it."""

    def test_answer_is_not_complete(self) -> None:
        """Guards against an answer whose end comes while most of the upload is on its way."""

        def serve(sock: socket.socket) -> None:
            _read_until(sock, None)
            sock.sendall(HEAD + b"part")
            _end(sock, _End.END_OF_STREAM, 0.0)

        with _upstream(serve) as address:
            assert _fetch(address, SIZES[1]) is None


class TestClients:
    """What a client of a gateway gets from such an upstream."""

    @pytest.mark.parametrize("path", ["/book/1", "/read/1"])
    @pytest.mark.parametrize("end", [end for end in _End if end is not _End.END_OF_STREAM])
    def test_no_part_is_a_success(self, path: str, end: _End) -> None:
        """Guards against the part of an answer that reaches a client as a whole one."""

        def serve(sock: socket.socket) -> None:
            data = b""
            while b"\r\n\r\n" not in data:
                data += sock.recv(1024)
            attempt = next(
                line for line in data.split(b"\r\n") if line.lower().startswith(b"attempt-id:")
            )
            sock.sendall(b"HTTP/1.1 200 OK\r\n%s\r\nResponse-Signature: s\r\n\r\npart" % attempt)
            _end(sock, end, 0.0)

        async def run(address: Address) -> int:
            async with running_deployment(engines=0, plain=1) as deployment:
                entry = {**deployment.upstreams["p0"].entry(), "address": address}
                deployment.store.put("servers", "odd", {**entry, "service": PLAIN_SERVICE})
                deployment.store.remove("servers", "p0")
                views = deployment.gateways[0].gateway.table.views
                async with asyncio.timeout(5):
                    while set(views) != {"odd"}:
                        await asyncio.sleep(0.01)
                status = (await deployment.call(path, body=b"u" * 60_000)).status
                pool = deployment.gateways[0].gateway.pool
                # Connections that carry nothing, such as a probe of the upstream, end before the
                # event loop does.
                await asyncio.sleep(2 * IDLE_S)
                pool.close_idle(address)
                await asyncio.sleep(IDLE_S)
                return status

        with _upstream(serve) as address:
            assert asyncio.run(run(address)) == 502
