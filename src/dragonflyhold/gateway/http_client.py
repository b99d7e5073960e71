"""HTTP/1.1 client for the event loop: strict framing, kept connections, answers as they arrive.

The parser is ``httptools``. What an answer may not do (overlap another, end short of its length,
carry bytes beyond its end) ends the exchange with an error or the connection's reuse.
"""

import asyncio
import collections
import dataclasses
import enum
import socket
import time
from collections.abc import Callable, Sequence
from typing import final

import httptools

# Unacknowledged bytes for this long mean that the peer cannot be reached.
USER_TIMEOUT_MS = 2000
# Reuse limit where the peer announces none, in seconds.
DEFAULT_IDLE_S = 4.0
# Bytes of one answer that may wait for its reader before reading pauses.
MAX_BUFFERED = 256 * 1024
MAX_HEADER_BYTES = 32 * 1024

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class FailureReason(enum.Enum):
    """Why an exchange ended without a complete answer."""

    CONNECT = "connect"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "garbled"
    TIMEOUT = "timeout"


@final
class ExchangeError(Exception):
    """An exchange without a complete answer; ``sent`` tells whether any byte was handed over."""

    def __init__(self, reason: FailureReason, sent: bool, detail: str = "") -> None:
        super().__init__(f"{reason.value} (sent={sent}) {detail}")
        self.reason = reason
        self.sent = sent


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer; ``fields`` has lower-case names and the last value."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    fields: dict[bytes, bytes]

    def end_to_end(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that are passed on."""
        return strip_hop_by_hop(self.headers, self.fields)


def strip_hop_by_hop(
    headers: Sequence[tuple[bytes, bytes]], fields: dict[bytes, bytes]
) -> list[tuple[bytes, bytes]]:
    """Return the headers that concern more than one connection."""
    named = {part.strip().lower() for part in fields.get(b"connection", b"").split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    ]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request; ``required_header`` is a header and value that the response must carry."""

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes = b""
    required_header: tuple[bytes, bytes] | None = None

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        lines = [b"%s %s HTTP/1.1\r\n" % (self.method, self.target)]
        lines.extend(b"%s: %s\r\n" % header for header in self.headers)
        if self.body or self.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d\r\n" % len(self.body))
        lines.append(b"\r\n")
        lines.append(self.body)
        return b"".join(lines)


@final
class Connection(asyncio.Protocol):
    """One connection; carries one exchange at a time."""

    def __init__(self, on_unusable: Callable[["Connection"], None]) -> None:
        self.created = time.monotonic()
        self.idle_since = self.created
        self.idle_limit_s = DEFAULT_IDLE_S
        self._on_unusable = on_unusable
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._reusable = True
        self._closed = False

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may start."""
        return self._reusable and not self._closed and self._exchange is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and detect dead peers by their missing acknowledgements."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_dead_peer_detection(sock)

    def start(self, call: Call) -> "Exchange":
        """Send a request; the answer is read from the exchange."""
        assert self.is_usable
        assert self._transport is not None
        exchange = Exchange(self, call)
        self._exchange = exchange
        self._parser = httptools.HttpResponseParser(exchange)
        self._transport.write(call.encode())
        return exchange

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the current answer; bytes without an exchange spoil the connection."""
        exchange, parser = self._exchange, self._parser
        if exchange is None or parser is None:
            self.abort()
            return
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            if exchange.is_complete:
                # Bytes after the end of a complete answer belong to no request.
                self._reusable = False
            else:
                self._fail(FailureReason.MALFORMED, str(error))
                return
        if exchange.is_complete:
            self._finish(exchange)

    def eof_received(self) -> bool | None:
        """End an answer without a length; any other is cut short."""
        exchange = self._exchange
        self._reusable = False
        if exchange is not None and not exchange.is_complete:
            if exchange.ends_with_connection:
                exchange.complete()
                self._finish(exchange)
            else:
                self._fail(FailureReason.CLOSED, "end of stream")
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that is still open."""
        self._closed = True
        if self._exchange is not None:
            reason = FailureReason.RESET if exc is not None else FailureReason.CLOSED
            self._exchange.fail(ExchangeError(reason, True, str(exc or "")))
            self._exchange = None
        self._on_unusable(self)

    def set_reading(self, enabled: bool) -> None:
        """Pause or resume reading from the peer."""
        if self._transport is None or self._closed or self._transport.is_closing():
            return
        if enabled:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def abort(self) -> None:
        """Close the connection at once; the peer drops what it was doing for it."""
        self._reusable = False
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: FailureReason, detail: str) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.fail(ExchangeError(reason, True, detail))
        self.abort()

    def _finish(self, exchange: "Exchange") -> None:
        self._exchange = None
        self._parser = None
        if exchange.is_suspect or not exchange.keeps_connection:
            self._reusable = False
        self.idle_limit_s = exchange.idle_limit_s
        self.idle_since = time.monotonic()
        if not self._reusable and self._transport is not None:
            self._transport.close()


@final
class Exchange:
    """One request and its answer; the parser's callbacks fill it."""

    def __init__(self, connection: Connection, call: Call) -> None:
        self.is_complete = False
        self.is_suspect = False
        self.keeps_connection = True
        self.ends_with_connection = False
        self.idle_limit_s = DEFAULT_IDLE_S
        self.head: Head | None = None
        self._connection = connection
        self._call = call
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._skipping = False
        self._headers_done = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._paused = False
        self._error: ExchangeError | None = None
        self._changed = asyncio.Event()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start an answer; one after the end of ours belongs to no request."""
        if self.is_complete:
            self.is_suspect = True
            return
        self._headers = []
        self._headers_done = False
        self._skipping = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are left out."""
        if self.is_complete or self._headers_done:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ValueError("header section is too large")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Accept the head, or skip an answer that belongs to an earlier request."""
        if self.is_complete:
            return
        self._headers_done = True
        parser = self._connection._parser
        assert parser is not None
        fields = {name.lower(): value for name, value in self._headers}
        head = Head(parser.get_status_code(), self._headers, fields)
        if head.status < 200:
            self._skipping = True
            return
        if self._call.required_header is not None:
            name, value = self._call.required_header
            if fields.get(name, value) != value:
                self._skipping = True
                self.is_suspect = True
                return
        self.head = head
        self.keeps_connection = parser.should_keep_alive() and self._call.method != b"HEAD"
        self.ends_with_connection = not (
            b"content-length" in fields or b"transfer-encoding" in fields
        ) and head.status not in (204, 304)
        if self.ends_with_connection:
            self.keeps_connection = False
        self.idle_limit_s = _idle_limit(fields)
        if self._call.method == b"HEAD":
            self.is_complete = True
        self._changed.set()

    def on_body(self, data: bytes) -> None:
        """Queue bytes of the body for the reader."""
        if self.is_complete or self._skipping:
            return
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED and not self._paused:
            self._paused = True
            self._connection.set_reading(False)
        self._changed.set()

    def on_message_complete(self) -> None:
        """End the answer, unless it was skipped."""
        if self._skipping:
            self._skipping = False
            return
        if not self.is_complete and self.head is not None:
            self.complete()

    # Calls of the connection.

    def complete(self) -> None:
        """Mark the answer as whole."""
        self.is_complete = True
        self._changed.set()

    def fail(self, error: ExchangeError) -> None:
        """End the exchange with an error, unless it is complete."""
        if not self.is_complete:
            self._error = error
        self._changed.set()

    # Calls of the reader.

    async def read_head(self) -> Head:
        """Return the head once it is there; raise ``ExchangeError``."""
        while self.head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self.head

    async def read_chunk(self) -> bytes:
        """Return what has arrived of the body, empty at its end; raise ``ExchangeError``."""
        while not self._chunks:
            if self.is_complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._paused:
            self._paused = False
            self._connection.set_reading(True)
        return data

    async def read_body(self) -> bytes:
        """Return the whole body; raise ``ExchangeError`` if it is cut short."""
        parts = []
        while chunk := await self.read_chunk():
            parts.append(chunk)
        return b"".join(parts)

    def close(self) -> None:
        """Give up an exchange that is not complete: its connection is closed."""
        if not self.is_complete:
            self._connection.abort()

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()


def set_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer acknowledges nothing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _idle_limit(fields: dict[bytes, bytes]) -> float:
    for part in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return float(int(value))
    return DEFAULT_IDLE_S
