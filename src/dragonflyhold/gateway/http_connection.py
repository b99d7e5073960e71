"""A client's connection to the HTTP server: strict framing, one request served at a time.

A client disconnect cancels the task that serves its request. A request that violates the framing
rules or the configured limits gets a 4xx response, and its connection is closed.
"""

import asyncio
import collections
import dataclasses
import enum
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, final

import httptools

from dragonflyhold.gateway.http_client import set_dead_peer_detection
from dragonflyhold.gateway.limits import MAX_FRAMING_BYTES, MAX_REJECTED_BYTES
from dragonflyhold.gateway.logs import describe
from dragonflyhold.gateway.responder import Responder
from dragonflyhold.ingress import REUSE_S, Standing

if TYPE_CHECKING:
    from dragonflyhold.gateway.http_server import HttpServer

# Reading pauses while this many pipelined requests wait behind the one in progress.
MAX_PIPELINED = 8
# The same for the bytes of that request and of those behind it.
MAX_PIPELINED_BYTES = 256 * 1024
# What a header takes beside its bytes.
HEADER_OVERHEAD_BYTES = 128
# Retry delay suggested to clients whose requests find no room in memory.
RETRY_AFTER_S = 0.5
# Largest read of a connection.
READ_BYTES = 64 * 1024
# Bytes parsed at a time outside of a body and in a body in chunks, so that only a few requests that
# follow each other are parsed before their turn.
HEAD_SLICE_BYTES = 1024
BODY_SLICE_BYTES = 4096
# A read of at most this size is parsed at once, a larger one in turns with other connections.
SMALL_READ_BYTES = 4096
# What a request that was sent ahead counts for in a turn of the event loop, in seconds.
SENT_AHEAD_COST_S = 0.001
# Limit for receiving the body of a request after its head.
BODY_TIMEOUT_S = 10.0
# A client that reads nothing from a full write buffer for this long is disconnected.
WRITE_TIMEOUT_S = 10.0
# Time for which a rejected client may go on sending. A close before that resets the connection,
# and the rejection can be lost.
LINGER_S = 1.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete client request; ``fields`` maps lower-case names to the last value."""

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]]
    fields: dict[bytes, bytes]
    body: bytes
    # Monotonic time at which the last byte arrived.
    received: float

    @property
    def kept_bytes(self) -> int:
        """Return the approximate memory that the request takes."""
        return len(self.body) + sum(map(_header_bytes, self.headers))


def _header_bytes(header: tuple[bytes, bytes]) -> int:
    name, value = header
    return len(name) + len(value) + HEADER_OVERHEAD_BYTES


Handler = Callable[[ClientRequest, Responder], Awaitable[None]]


class ConnectionEnd(enum.Enum):
    """Who ended a client's connection, and how; values appear in logs."""

    OPEN = "open"
    # The client has shut its sending side, or closed the connection.
    CLIENT_CLOSED = "client closed"
    CLIENT_RESET = "client reset"
    # The kernel gave up, as the client did not acknowledge what was sent.
    UNACKNOWLEDGED = "unacknowledged"
    # The client left the write buffer full for too long.
    UNREAD = "unread"
    IDLE = "idle"
    # It gave way to a new one, as the server had too many.
    OVERLOAD = "overload"
    # After a response, which was complete or not.
    RESPONSE = "response"
    # The server closed all connections.
    SERVER_CLOSED = "server closed"


@final
class ServerConnection(asyncio.BufferedProtocol):
    """A client's connection."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[tuple[ClientRequest, bool, bool]] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._deadline: asyncio.TimerHandle | None = None
        # Loop time at which the connection was last opened or a response ended.
        self._idle_since = 0.0
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._must_close = False
        # Bytes that were received and not parsed yet; nothing more is read meanwhile.
        self._unparsed = bytearray()
        self._is_reading = True
        # Whether the parser, or the next request, waits for its turn.
        self._awaits_parsing = False
        self._awaits_start = False
        self._end = ConnectionEnd.OPEN
        # Whether no more requests are read, and the bytes received since.
        self._input_ended = False
        self._ignored_bytes = 0
        # Status and detail of a rejection that waits for the responses before it.
        self._rejection: tuple[int, str] | None = None
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._headers_done = False
        self._in_message = False
        # Whether the client waits for an interim response before it sends the body.
        self._expects_continue = False
        self._body = bytearray()
        self._body_bytes = 0
        # Length of the body that is being read, ``None`` if it is not known before its end.
        self._body_length: int | None = None
        # Bytes received in reads without the end of a head or a byte of the body.
        self._framing_bytes = 0
        self._has_progressed = False
        # The request that is being read, those that were read, and what the client has not read.
        self._receiving = server.budget.open_account(self._refuse)
        self._received = server.budget.open_account()
        self._unread = server.budget.open_account(lambda: self.abort(ConnectionEnd.UNREAD))
        # Approximate memory of the headers that are being read.
        self._kept_head_bytes = 0
        # Bytes of the request that is being served.
        self._served_bytes = 0

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the current response.

        A draining server first answers or rejects the requests that it has read behind it.
        """
        is_last = not self._queue and not self._unparsed and self._rejection is None
        return self._must_close or (self._server.is_draining and is_last)

    @property
    def end(self) -> ConnectionEnd:
        """Return what ended the connection first."""
        return self._end

    @property
    def is_idle(self) -> bool:
        """Whether no request is open or partly received."""
        return (
            self._task is None and not self._queue and not self._in_message and not self._unparsed
        )

    @property
    def _has_requests(self) -> bool:
        """Whether a request is served, or waits for its turn."""
        return self._task is not None or bool(self._queue)

    @property
    def _has_unsent(self) -> bool:
        """Whether the kernel has not taken all that was written."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    @property
    def _standing(self) -> Standing:
        if not self._can_write.is_set() or (self._task is None and self._has_unsent):
            return Standing.READER
        if self._unparsed and self._queue:
            return Standing.TURN
        if self._has_requests or self._rejection is not None:
            return Standing.RESPONSE
        return Standing.CLIENT

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_dead_peer_detection(sock)
        self._start_idle_timeout()
        peer = transport.get_extra_info("peername")
        self._server.add_connection(self, peer[0] if peer else "")

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being served."""
        match exc:
            case None:
                self._note_end(ConnectionEnd.CLIENT_CLOSED)
            case TimeoutError():
                self._note_end(ConnectionEnd.UNACKNOWLEDGED)
            case _:
                self._note_end(ConnectionEnd.CLIENT_RESET)
        self._server.remove_connection(self)
        self._clear_deadline()
        if self._must_close:
            for request, _, _ in self._queue:
                self._server.on_unanswered(request, "the connection closed before its turn")
        self._queue.clear()
        self._discard_input()
        self._receiving.set(0)
        self._note_received()
        self._unread.set(0)
        self._can_write.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool | None:
        """Treat a half-closed connection as closed."""
        self._note_end(ConnectionEnd.CLIENT_CLOSED)
        return None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        del sizehint
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read."""
        self.data_received(bytes(self._server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; many of them, and many requests, in turns with other clients."""
        if self._input_ended:
            self._ignored_bytes += len(data)
            if self._must_close and self._ignored_bytes > MAX_REJECTED_BYTES:
                self.abort()
            return
        if self._must_close and self._task is None:
            return
        self._unparsed += data
        if len(data) <= SMALL_READ_BYTES and not self._awaits_parsing:
            self._parse()
        else:
            self._offer_parsing()

    def _offer_parsing(self) -> None:
        if not self._awaits_parsing:
            self._awaits_parsing = True
            self._server.turns.offer(self._parse_in_turn)
            self._note_parsed()

    def _parse_in_turn(self) -> None:
        self._awaits_parsing = False
        if self._must_close and self._task is None:
            return
        try:
            self._parse()
        except Exception as error:
            # Another connection may have run this work.
            self._server.log.error("Received bytes could not be handled.", error=describe(error))
            self.abort()

    def _parse(self) -> None:
        """Parse what was received until enough requests wait behind the one in progress."""
        parsed = 0
        while self._unparsed and not self._input_ended and not self._has_enough:
            if parsed >= READ_BYTES // 4:
                self._offer_parsing()
                return
            size = self._slice_bytes()
            data = bytes(self._unparsed[:size])
            del self._unparsed[:size]
            parsed += len(data)
            self._parse_slice(data)
        if self._input_ended:
            self._unparsed.clear()
        self._note_parsed()

    @property
    def _has_enough(self) -> bool:
        """Whether enough requests wait behind the one in progress."""
        if not self._queue:
            return False
        return len(self._queue) >= MAX_PIPELINED or self._received.kept_bytes > MAX_PIPELINED_BYTES

    def _slice_bytes(self) -> int:
        """Return how much to parse at a time, at most to the end of a body of known length."""
        if not (self._in_message and self._headers_done):
            return HEAD_SLICE_BYTES
        if self._body_length is None:
            return BODY_SLICE_BYTES
        return max(1, self._body_length - self._body_bytes)

    def _note_parsed(self) -> None:
        """Read on once everything is parsed, and charge what is not."""
        if self._transport is None or self._transport.is_closing():
            return
        must_read = not self._unparsed
        if must_read != self._is_reading:
            self._is_reading = must_read
            if must_read:
                self._transport.resume_reading()
            else:
                self._transport.pause_reading()
        if not self._input_ended:
            self._receiving.set(self._kept_head_bytes + len(self._body) + len(self._unparsed))
        self.note_standing(restarts=False)

    def note_standing(self, *, restarts: bool) -> None:
        """Tell the server what the connection waits for."""
        self._server.note_connection(self, self._standing, restarts=restarts)

    def _parse_slice(self, data: bytes) -> None:
        if not self._headers_done:
            # The parser reports no position, so each read counts in full until the head ends.
            self._head_bytes += len(data)
        self._has_progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered without an upgrade, and what follows can't be read.
            self._input_ended = True
        except httptools.HttpParserError as error:
            self._reject(400, str(error))
        if not self._headers_done and self._head_bytes > self._server.limits.header_bytes:
            self._reject(431, "header section is too large")
        if self._headers_done and not self._has_progressed:
            self._framing_bytes += len(data)
            if self._framing_bytes > MAX_FRAMING_BYTES:
                self._reject(413, "chunk extensions or trailers are too large")
        else:
            self._framing_bytes = 0

    def pause_writing(self) -> None:
        """Block ``drain`` while the write buffer is full."""
        self._can_write.clear()
        self.note_standing(restarts=True)

    def resume_writing(self) -> None:
        """Unblock ``drain``."""
        self._unread.set(0)
        self._can_write.set()
        self.note_standing(restarts=True)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Reset the parsing state and start the header timeout."""
        self._url = b""
        self._headers = []
        self._headers_done = False
        self._in_message = True
        self._expects_continue = False
        self._body.clear()
        self._kept_head_bytes = 0
        self._body_bytes = 0
        self._body_length = None
        if not self._has_requests:
            self._await_rest()
            self.note_standing(restarts=True)

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are discarded."""
        if not self._headers_done:
            self._headers.append((name, value))
            self._kept_head_bytes += _header_bytes((name, value))

    def on_headers_complete(self) -> None:
        """Check the head before the body is read."""
        self._headers_done = True
        self._has_progressed = True
        self._head_bytes = 0
        # The least that was received, as the space before a value may be absent.
        size = sum(len(name) + len(value) + 3 for name, value in self._headers) + len(self._url)
        limits = self._server.limits
        fields = {name.lower(): value for name, value in self._headers}
        hosts = sum(name.lower() == b"host" for name, _ in self._headers)
        length = fields.get(b"content-length", b"0")
        if size > limits.header_bytes:
            self._reject(431, "header section is too large")
        elif hosts != 1:
            self._reject(400, "exactly one Host header is required")
        elif int(length) > limits.body_bytes:
            self._reject(413, "body is too large")
        else:
            self._expects_continue = fields.get(b"expect", b"").lower() == b"100-continue"
            if b"transfer-encoding" not in fields:
                self._body_length = int(length)
        if not self._has_requests and not self._input_ended:
            self._await_rest()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._has_progressed = True
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.body_bytes:
            self._reject(413, "body is too large")
        elif not self._input_ended:
            self._body += data

    def on_message_complete(self) -> None:
        """Queue a complete request; pause reading if the pipeline is full."""
        self._in_message = False
        if self._input_ended:
            return
        fields = {name.lower(): value for name, value in self._headers}
        request = ClientRequest(
            method=self._parser.get_method(),
            target=self._url,
            headers=self._headers,
            fields=fields,
            body=bytes(self._body),
            received=time.monotonic(),
        )
        self._body.clear()
        self._kept_head_bytes = 0
        self._receiving.set(0)
        if not self._server.budget.may_stay(request.kept_bytes):
            self._refuse()
            return
        http_10 = self._parser.get_http_version() == "1.0"
        keep_alive = self._parser.should_keep_alive() and not self._parser.should_upgrade()
        self._queue.append((request, keep_alive, http_10))
        self._headers_done = False
        self._clear_deadline()
        self._note_received()
        if self._task is None and not self._awaits_start:
            self._start_next()

    # Called by the responder and the server.

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closed."""
        if self._transport is not None and not self._must_close:
            self._transport.write(data)
            if not self._can_write.is_set():
                self._unread.set(self._transport.get_write_buffer_size())

    async def drain(self) -> None:
        """Wait until the write buffer has room; disconnect a client that stops reading."""
        while not self._can_write.is_set():
            assert self._transport is not None
            unread = self._transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await self._can_write.wait()
            except TimeoutError:
                if self._transport.get_write_buffer_size() >= unread:
                    self.abort(ConnectionEnd.UNREAD)
                    return

    def close_after_response(self, end: ConnectionEnd = ConnectionEnd.RESPONSE) -> None:
        """Close the connection once the buffered bytes are written."""
        self._note_end(end)
        self._must_close = True
        if self._transport is None:
            return
        if not self._input_ended or not self._transport.can_write_eof():
            self._transport.close()
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The client has reset the connection.
            self._transport.close()
        else:
            self._set_deadline(LINGER_S, self._transport.close)

    def abort(self, end: ConnectionEnd = ConnectionEnd.RESPONSE) -> None:
        """Close the connection at once and discard buffered bytes."""
        self._note_end(end)
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def reset_on_close(self, enabled: bool) -> None:
        """Let any close of the connection reset it, also that of a process that is killed."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0))

    def close_if_idle(self) -> None:
        """Close the connection if it has no open request, also none that waits in the kernel.

        One that was just opened, or kept open after a response, stays open for the next request.
        """
        if self.is_idle and not self._must_close:
            idle_s = asyncio.get_running_loop().time() - self._idle_since
            # The event loop reads what has arrived before it runs timers that are due.
            self._set_deadline(max(0.0, REUSE_S - idle_s), self._close_idle)

    def extend_idle_timeout(self) -> None:
        """Let a raised limit hold at once; the client may use the connection for that long.

        A lowered one holds from the next response, as clients may rely on the one before.
        """
        if self._deadline is None or not self.is_idle or self._must_close:
            return
        end = self._idle_since + self._server.limits.idle_timeout_s
        if end > self._deadline.when():
            self._set_deadline(end - asyncio.get_running_loop().time(), self._close_idle)

    def _start_idle_timeout(self) -> None:
        self._idle_since = asyncio.get_running_loop().time()
        self._set_deadline(self._server.limits.idle_timeout_s, self._close_idle)

    def _start_next(self) -> None:
        if not self._queue or self._must_close:
            return
        request, keep_alive, http_10 = self._queue.popleft()
        self._served_bytes = request.kept_bytes
        responder = Responder(self, keep_alive, http_10, has_body=request.method != b"HEAD")
        self._task = asyncio.get_running_loop().create_task(self._serve(request, responder))
        self.note_standing(restarts=True)

    def _offer_start(self) -> None:
        """Serve the next request, which was sent ahead, when it is its turn."""
        if not self._awaits_start:
            self._awaits_start = True
            self._server.turns.offer(self._start_in_turn, SENT_AHEAD_COST_S)

    def _start_in_turn(self) -> None:
        self._awaits_start = False
        if self._task is None:
            self._start_next()

    def _await_rest(self) -> None:
        """Limit the time for the rest of a request, the next one to be served."""
        if not self._headers_done:
            self._set_deadline(self._server.limits.header_timeout_s, self._request_timeout)
            return
        if self._expects_continue and not self._body_bytes:
            self._expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._set_deadline(BODY_TIMEOUT_S, self._request_timeout)

    async def _serve(self, request: ClientRequest, responder: Responder) -> None:
        detail = ""
        try:
            await self._server.handler(request, responder)
            if not responder.is_ended:
                detail = "the handler returned without a response"
            # The next response must not pile up behind one that the client does not read.
            await self.drain()
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                self.abort()
                raise
            # Nobody has cancelled the task: what it awaited was cancelled.
            detail = "the handler was cancelled from within"
        except Exception as error:
            detail = describe(error)
        finally:
            self._task = None
            self._served_bytes = 0
            self._note_received()
        if detail:
            self._end_failed(request, responder, detail)
        if self._transport is None or self._transport.is_closing() or self._must_close:
            return
        if self._unparsed and not self._input_ended:
            self._offer_parsing()
        self._go_on()

    def _go_on(self) -> None:
        """Turn to what follows a response."""
        if self._task is not None or self._must_close:
            # The bytes that were just parsed held the next request, or one that was rejected.
            return
        self.note_standing(restarts=True)
        if self._queue:
            self._offer_start()
        elif self._rejection is not None:
            self._send_rejection(*self._rejection)
        elif self._in_message and not self._input_ended:
            self._await_rest()
        else:
            self._start_idle_timeout()

    def _end_failed(self, request: ClientRequest, responder: Responder, detail: str) -> None:
        """End a request whose handler failed; nothing is known of whether it has run."""
        if not responder.is_started:
            responder.send(502, [(b"Content-Type", b"text/plain")], b"in doubt\n")
        elif not responder.is_ended:
            responder.abort()
        try:
            self._server.on_failed(request, detail)
        except Exception as error:
            self._server.log.error("A failure could not be reported.", error=describe(error))

    def _reject(self, status: int, detail: str) -> None:
        """Reject a request before it reaches the handler, and close the connection.

        The requests before it are answered first.
        """
        if self._input_ended:
            return
        self._input_ended = True
        self._server.on_rejected(status, detail)
        if self._has_requests:
            self._rejection = status, detail
        else:
            self._send_rejection(status, detail)

    def _send_rejection(self, status: int, detail: str) -> None:
        responder = Responder(self, False, False)
        headers = [(b"Content-Type", b"text/plain")]
        if status == 503:
            headers.append((b"Retry-After", b"%.2f" % RETRY_AFTER_S))
        responder.send(status, headers, detail.encode())

    def _refuse(self) -> None:
        """Refuse the request that is being read, or was just read: there is no room for it."""
        self._discard_input()
        self._reject(503, "not run: no memory")
        self._note_parsed()

    def _discard_input(self) -> None:
        self._body.clear()
        self._unparsed.clear()
        self._headers = []
        self._kept_head_bytes = 0

    def _note_received(self) -> None:
        waiting = sum(request.kept_bytes for request, _, _ in self._queue)
        self._received.set(self._served_bytes + waiting)

    def _request_timeout(self) -> None:
        self._reject(408, "the request was not complete in time")

    def _close_idle(self) -> None:
        if self.is_idle:
            self.close_after_response(ConnectionEnd.IDLE)

    def _note_end(self, end: ConnectionEnd) -> None:
        if self._end is ConnectionEnd.OPEN:
            self._end = end

    def _set_deadline(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._clear_deadline()
        self._deadline = asyncio.get_running_loop().call_later(delay_s, callback)

    def _clear_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
