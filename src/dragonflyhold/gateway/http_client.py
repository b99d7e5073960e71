"""Asyncio HTTP/1.1 client with strict framing, persistent connections and streamed responses.

Parses with ``httptools``. A response that is truncated or malformed fails its exchange; one with
bytes beyond its end, or an unexpected response, makes the connection unusable for later requests.

A peer may write the beginning of an earlier response before the own one. The parser then reads both
as one head, with the second status line inside the reason phrase or a header's value: no statement
of such a head counts, and the exchange fails. A head is one response's own if there is no status
line within it and it names the request; the response is certain if nothing else came before it.

The end of the stream completes a response without a length only if the peer has taken the whole
request and does not reset the connection.
"""

import asyncio
import dataclasses
import enum
import fcntl
import os
import re
import socket
import struct
import termios
import time
from collections.abc import Callable, Sequence
from typing import final

import httptools

from dragonflyhold.gateway.byte_budget import ByteBudget
from dragonflyhold.gateway.limits import MAX_FRAMING_BYTES, MAX_HEAD_BYTES, MAX_RESPONSE_BYTES
from dragonflyhold.gateway.numbers import parse_digits

# The kernel closes a connection whose sent bytes stay unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 2000
# Idle timeout that is assumed for a peer that sends no Keep-Alive header.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Time within which a peer that has not read the whole request resets a connection that it ends.
RESET_DELAY_S = 0.02
# Reading from the peer pauses while more unread body bytes than this are buffered.
MAX_BUFFERED_BYTES = 256 * 1024
# What a reader gets at once; it may consist of thousands of events, and other tasks run between two
# such parts.
MAX_READ_BYTES = 16 * 1024
MAX_HEADER_BYTES = 32 * 1024
# A connection that has carried this many ids is not reused, which bounds its memory.
MAX_CARRIED_IDS = 1024
# Statuses that the protocol has; those below 200 are of interim responses.
STATUSES = range(100, 600)
# The start of a response, which may also begin where an earlier one was cut.
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
_STATUS_LINE_PREFIXES = tuple(b"HTTP/"[:length] for length in range(1, 6))

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
    """Why an exchange ended without a complete response."""

    CONNECT = "connect"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "garbled"
    # The peer exceeded a limit of ``limits``.
    OVERSIZED = "oversized"
    TIMEOUT = "timeout"


@final
class ExchangeError(Exception):
    """Raised for an exchange without a complete response.

    ``sent`` is false if the peer can have received no byte of the request.
    """

    def __init__(self, reason: FailureReason, sent: bool, detail: str = "") -> None:
        super().__init__(f"{reason.value} (sent={sent}) {detail}")
        self.reason = reason
        self.sent = sent


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response; ``fields`` maps lower-case names to the last value."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    fields: dict[bytes, bytes]

    def end_to_end(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that a proxy forwards."""
        return strip_hop_by_hop(self.headers, self.fields)


def strip_hop_by_hop(
    headers: Sequence[tuple[bytes, bytes]], fields: dict[bytes, bytes]
) -> list[tuple[bytes, bytes]]:
    """Return the headers without those that concern a single connection."""
    named = {part.strip().lower() for part in fields.get(b"connection", b"").split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    ]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request to send.

    A response with another value for the header ``required_header`` belongs to another request. One
    without the header counts only as the first of its connection, or if the required value is
    empty; its connection is not reused, so that no later call can take a copy for its own response.
    A connection carries calls with the same ``request_id`` only once, since a late copy of the
    first one's response would be taken for the response to the second.
    """

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes = b""
    required_header: tuple[bytes, bytes] | None = None
    request_id: bytes = b""

    def encode(self) -> bytes:
        """Return the request as sent on the connection."""
        lines = [b"%s %s HTTP/1.1\r\n" % (self.method, self.target)]
        lines.extend(b"%s: %s\r\n" % header for header in self.headers)
        if self.body or self.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d\r\n" % len(self.body))
        lines.append(b"\r\n")
        lines.append(self.body)
        return b"".join(lines)


@final
class Connection(asyncio.Protocol):
    """A client connection that carries one exchange at a time."""

    def __init__(
        self, on_unusable: Callable[["Connection"], None], budget: ByteBudget | None = None
    ) -> None:
        self.budget = budget if budget is not None else ByteBudget()
        self.created = time.monotonic()
        self.idle_since = self.created
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        # Whether an earlier exchange was completed, whose response may come once more.
        self.has_responded = False
        self._on_unusable = on_unusable
        self._transport: asyncio.Transport | None = None
        self._socket: socket.socket | None = None
        self._exchange: Exchange | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._is_reusable = True
        self._closed = False
        # Bytes received since the end of the head or the last byte of the body.
        self._unused_bytes = 0
        # Bytes of the request that the peer has not taken yet.
        self._unsent = self.budget.open_account()
        self._is_writing_paused = False
        # Completes a response that has ended, unless the peer resets the connection before.
        self._end_timer: asyncio.TimerHandle | None = None
        # Hashes of the ids of the requests sent so far.
        self._carried_ids: set[int] = set()

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may start."""
        return self._is_reusable and not self._closed and self._exchange is None

    def has_carried(self, call: Call) -> bool:
        """Return whether a request with the id of ``call`` was sent on this connection."""
        return bool(call.request_id) and hash(call.request_id) in self._carried_ids

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable the detection of dead peers."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        if self._socket is not None:
            set_dead_peer_detection(self._socket)

    def start(self, call: Call) -> "Exchange":
        """Send a request and return the exchange from which its response is read."""
        assert self.is_usable
        assert self._transport is not None
        exchange = Exchange(self, call)
        self._exchange = exchange
        self._unused_bytes = 0
        if call.request_id:
            self._carried_ids.add(hash(call.request_id))
        self._parser = httptools.HttpResponseParser(exchange)
        self._transport.write(call.encode())
        if self._is_writing_paused:
            self._unsent.set(self._transport.get_write_buffer_size())
        return exchange

    def pause_writing(self) -> None:
        """Note that the peer does not take the whole request at once."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """End the count of what the peer has not taken."""
        self._is_writing_paused = False
        self._unsent.set(0)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the current response; abort the connection if no exchange is open."""
        exchange, parser = self._exchange, self._parser
        if exchange is None or parser is None:
            self.abort()
            return
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if exchange.is_complete:
                # Bytes after the end of a complete response belong to no request.
                self._is_reusable = False
            else:
                self._fail(FailureReason.MALFORMED, str(error))
                return
        exchange.charge()
        if exchange.is_complete:
            self._finish(exchange)
        else:
            self._check_limits(exchange, len(data))

    def _check_limits(self, exchange: "Exchange", received: int) -> None:
        """Fail an exchange whose head or framing is too large; called after each read.

        The parser reports no position, so a read counts in full unless it brought the head's end
        or a byte of the body.
        """
        if exchange.made_progress:
            exchange.made_progress = False
            self._unused_bytes = 0
            return
        self._unused_bytes += received
        limit = MAX_HEAD_BYTES if exchange.head is None else MAX_FRAMING_BYTES
        if self._unused_bytes > limit:
            self._fail(FailureReason.OVERSIZED, f"more than {limit} bytes of head or framing")

    def eof_received(self) -> bool | None:
        """Complete a close-delimited response; fail any other as truncated.

        Return whether the transport stays open for now.
        """
        exchange = self._exchange
        self._is_reusable = False
        if exchange is None or exchange.is_complete:
            return None
        if not exchange.is_close_delimited:
            self._fail(FailureReason.CLOSED, "end of stream")
        elif self._has_untaken_bytes():
            self._fail(FailureReason.CLOSED, "end of stream before the request was taken")
        elif exchange.has_body:
            loop = asyncio.get_running_loop()
            self._end_timer = loop.call_later(RESET_DELAY_S, self._complete_ended, exchange)
            return True
        else:
            self._complete_ended(exchange)
        return None

    def _complete_ended(self, exchange: "Exchange") -> None:
        """Complete a response whose stream has ended, unless the connection was reset."""
        if self._exchange is not exchange:
            return
        # Reading reports the end of the stream only, whatever came after it.
        sock = self._socket
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if sock is not None else 0
        if error:
            self._fail(FailureReason.RESET, f"after the end of the stream: {os.strerror(error)}")
        else:
            exchange.complete()
            self._finish(exchange)

    def _has_untaken_bytes(self) -> bool:
        """Return whether a part of the request has not reached the peer."""
        if self._transport is not None and self._transport.get_write_buffer_size():
            return True
        if self._socket is None:
            return False
        try:
            answer = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError:
            # Not all systems count the bytes that were not acknowledged.
            return False
        return struct.unpack("i", answer)[0] > 0

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the open exchange, if there is one."""
        self._closed = True
        self._unsent.set(0)
        if self._end_timer is not None:
            self._end_timer.cancel()
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
        """Close the connection at once, so that the peer cancels the request."""
        self._is_reusable = False
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: FailureReason, detail: str) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.is_certain &= reason is not FailureReason.MALFORMED
            exchange.fail(ExchangeError(reason, True, detail))
        self.abort()

    def _finish(self, exchange: "Exchange") -> None:
        self._exchange = None
        self._parser = None
        self.has_responded = True
        if (
            exchange.has_unexpected_response
            or exchange.is_unnamed
            or not exchange.keep_alive
            or len(self._carried_ids) >= MAX_CARRIED_IDS
        ):
            self._is_reusable = False
        self.idle_timeout_s = exchange.idle_timeout_s
        self.idle_since = time.monotonic()
        if not self._is_reusable and self._transport is not None:
            self._transport.close()


@final
class Exchange:
    """A request and its response, which the parser's callbacks fill in."""

    def __init__(self, connection: Connection, call: Call) -> None:
        self.is_complete = False
        self.has_unexpected_response = False
        # Whether no other bytes came before or in the response, and it names the request at most
        # once.
        self.is_certain = True
        # Whether the response lacks the required header, so that a late copy names no request.
        self.is_unnamed = False
        # Set when the head ends and with each part of the body; cleared by the connection.
        self.made_progress = False
        self.keep_alive = True
        self.is_close_delimited = False
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.head: Head | None = None
        self._connection = connection
        # Of the call, but not its body, which would be kept for as long as the exchange.
        self.has_body = bool(call.body)
        self._method = call.method
        self._required_header = call.required_header
        self._reason_phrase = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._is_skipping = False
        # Body bytes of skipped responses.
        self._skipped_bytes = 0
        self._headers_done = False
        # Body bytes that were not read yet.
        self._buffer = bytearray()
        # Parts of a body that is read whole, and their size.
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        # Counts both.
        self._account = connection.budget.open_account(self._break_off)
        self._paused = False
        # Whether the last read has left bytes in the buffer.
        self._must_yield = False
        self._error: ExchangeError | None = None
        self._updated = asyncio.Event()

    @property
    def connection(self) -> Connection:
        """Return the connection of the request."""
        return self._connection

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a response; one that follows a complete response belongs to no request."""
        if self.is_complete:
            self.has_unexpected_response = True
            return
        self._reason_phrase = bytearray()
        self._headers = []
        self._headers_done = False
        self._is_skipping = False

    def on_status(self, part: bytes) -> None:
        """Collect the reason phrase."""
        if not self.is_complete:
            self._reason_phrase += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are discarded."""
        if self.is_complete:
            return
        _check_single(value)
        if self._headers_done:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ValueError("header section is too large")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Accept the head, or skip an interim response or one to an earlier request."""
        if self.is_complete:
            return
        self._headers_done = True
        _check_single(self._reason_phrase)
        parser = self._connection._parser
        assert parser is not None
        fields = {name.lower(): value for name, value in self._headers}
        head = Head(parser.get_status_code(), self._headers, fields)
        if head.status not in STATUSES:
            raise ValueError(f"status {head.status} is none of the protocol")
        if head.status < 200:
            self._is_skipping = True
            self.is_certain = False
            return
        if not self._is_own(head):
            if not parser.should_keep_alive() or _is_close_delimited(head):
                raise ValueError("nothing can follow a response to an earlier request")
            self._is_skipping = True
            self.has_unexpected_response = True
            self.is_certain = False
            return
        self.head = head
        self.made_progress = True
        self.keep_alive = parser.should_keep_alive() and self._method != b"HEAD"
        self.is_close_delimited = _is_close_delimited(head)
        if self.is_close_delimited:
            self.keep_alive = False
        self.idle_timeout_s = _idle_timeout(fields)
        if self._method == b"HEAD":
            self.is_complete = True
        self._updated.set()

    def _is_own(self, head: Head) -> bool:
        """Return whether a response belongs to this call; raise ``ValueError`` if that is unclear.

        A response that lacks the required header can only be told from a late copy of an earlier
        one if there is no earlier one.
        """
        if self._required_header is None:
            return True
        name, required = self._required_header
        named = [value.strip() for key, value in head.headers if key.lower() == name]
        values = set(named) - {b""}
        self.is_unnamed = not values
        self.is_certain &= len(named) <= 1
        if not required.strip():
            return self.is_unnamed
        if self.is_unnamed:
            if self._connection.has_responded:
                raise ValueError("the response does not name its request")
            return True
        if required.strip() not in values:
            return False
        if len(values) > 1:
            raise ValueError("the response names several requests")
        return True

    def on_body(self, data: bytes) -> None:
        """Buffer bytes of the body, and pause reading if the buffer is full."""
        if self._is_skipping:
            self._skipped_bytes += len(data)
            self.made_progress = self._skipped_bytes <= MAX_RESPONSE_BYTES
            return
        if self.is_complete or self._error is not None:
            return
        self.made_progress = True
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._connection.set_reading(False)
        self._updated.set()

    def on_message_complete(self) -> None:
        """Complete the response, unless it was skipped."""
        if self._is_skipping:
            self._is_skipping = False
            return
        if not self.is_complete and self.head is not None:
            self.complete()

    # Called by the connection.

    def charge(self) -> None:
        """Update the count of what is kept; this may break the exchange off."""
        if self._error is None:
            self._account.set(len(self._buffer) + self._kept_bytes)

    def complete(self) -> None:
        """Mark the response as complete, unless the exchange has failed."""
        self.is_complete = self._error is None
        self._updated.set()

    def fail(self, error: ExchangeError) -> None:
        """End the exchange with an error, unless it is complete."""
        if not self.is_complete:
            self._error = error
        self._updated.set()

    # Called by the reader.

    async def read_head(self) -> Head:
        """Wait for the head and return it; raise ``ExchangeError``."""
        while self.head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self.head

    async def read_chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end; raise ``ExchangeError``.

        They are at most ``MAX_READ_BYTES``.
        """
        if self._must_yield:
            await asyncio.sleep(0)
        while not self._buffer:
            if self.is_complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        data = bytes(self._buffer[:MAX_READ_BYTES])
        del self._buffer[:MAX_READ_BYTES]
        self._must_yield = bool(self._buffer)
        self.charge()
        if self._paused and not self._buffer:
            self._paused = False
            self._connection.set_reading(True)
        return data

    async def read_body(self, max_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
        """Return the whole body; raise ``ExchangeError`` if it is incomplete or too large."""
        while chunk := await self.read_chunk():
            self.keep(chunk, max_bytes)
        return self.take_body()

    def keep(self, chunk: bytes, max_bytes: int = MAX_RESPONSE_BYTES) -> None:
        """Keep a part of a body that is read whole; raise ``ExchangeError`` if it is too large."""
        self._kept_bytes += len(chunk)
        if self._kept_bytes > max_bytes:
            raise self.fail_oversized(f"body of more than {max_bytes} bytes")
        self._kept.append(chunk)
        self.charge()

    def take_body(self) -> bytes:
        """Return all parts that were kept."""
        body = b"".join(self._kept)
        self._kept.clear()
        return body

    def release(self) -> None:
        """Discard what is kept; nothing more is read."""
        self._discard_bytes()
        self._account.set(0)
        # Its traceback refers to the readers' frames, and these to this exchange.
        self._error = None

    def _discard_bytes(self) -> None:
        self._buffer.clear()
        self._kept.clear()

    def _break_off(self) -> None:
        self.fail_oversized("the process keeps too many bytes")
        self._updated.set()

    def fail_oversized(self, detail: str) -> ExchangeError:
        """Close the connection because of a breach of a limit; return the error to raise."""
        error = ExchangeError(FailureReason.OVERSIZED, True, detail)
        self._discard_bytes()
        self.is_complete = False
        self._error = error
        self._connection.abort()
        return error

    def close(self) -> None:
        """Abort the connection if the exchange is not complete."""
        if not self.is_complete:
            self._connection.abort()

    def discard(self) -> None:
        """Close the connection, whose next bytes may belong to this call instead of the next."""
        self._connection.abort()

    async def _wait(self) -> None:
        self._updated.clear()
        await self._updated.wait()


def set_dead_peer_detection(sock: socket.socket) -> None:
    """Let the kernel close the connection if the peer stops acknowledging; disable Nagle."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def may_hold_status_line(content: bytes) -> bool:
    """Return whether another response may begin in a body, also in its last bytes."""
    return b"HTTP/" in content or content.endswith(_STATUS_LINE_PREFIXES)


def _check_single(part: bytes | bytearray) -> None:
    """Raise ``ValueError`` if a part of a head holds the status line of another response."""
    if _STATUS_LINE.search(part):
        raise ValueError("the head holds the beginning of another response")


def _is_close_delimited(head: Head) -> bool:
    is_framed = b"content-length" in head.fields or b"transfer-encoding" in head.fields
    return not is_framed and head.status not in (204, 304)


def _idle_timeout(fields: dict[bytes, bytes]) -> float:
    for part in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        seconds = parse_digits(value.strip())
        if name.lower() == b"timeout" and seconds is not None:
            return float(seconds)
    return DEFAULT_IDLE_TIMEOUT_S
