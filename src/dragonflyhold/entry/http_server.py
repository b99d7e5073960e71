"""The HTTP server for callers, on ``cheroot``; its own refusals are typed errors as well."""

import queue
import select
import socket
import threading
import time
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any, final

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
from cheroot.workers import threadpool

from dragonflyhold.entry.caller_input import bad_request
from dragonflyhold.entry.replies import (
    JSON_TYPE,
    STATUS_BY_CODE,
    error_body,
    error_headers,
    to_json,
)
from dragonflyhold.errors import ErrorCode, RefusalInfo, not_run
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.settings import HttpSettings
from dragonflyhold.states import Outcome
from dragonflyhold.transport.grpc_endpoints import MAX_MESSAGE_BYTES

_log = ComponentLogger("entry")

MAX_HEADER_BYTES = 32 * 1024
# A body travels in one gRPC message with other items; one that is too large ends the stream.
MAX_BODY_BYTES = MAX_MESSAGE_BYTES // 2
LISTEN_BACKLOG = 512
# Bounds on reading from a connection that is being closed.
LINGER_S = 0.1
LINGER_READS = 64
LINGER_READ_BYTES = 65_536
# Connections that wait for a thread, per thread; more are refused at once.
QUEUED_PER_THREAD = 4

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    428: "Precondition Required",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
# Statuses whose answers have neither a body nor a length.
_BODILESS = frozenset({204, 304})
# Statuses that cheroot answers by itself, before a handler runs.
_CODE_BY_SERVER_STATUS = {
    "405": ErrorCode.METHOD_NOT_ALLOWED,
    "413": ErrorCode.BODY_TOO_LARGE,
    "500": ErrorCode.INTERNAL,
    "503": ErrorCode.QUEUE_FULL,
}

Handler = Callable[["CallerExchange"], None]


class CallerGoneError(Exception):
    """The caller closed its connection or takes nothing any more."""


@final
class CallerExchange:
    """One request of a caller and the connection to answer on."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self.method: str = request.method.decode("latin-1")
        path, _, query = request.uri.decode("latin-1").partition("?")
        # As sent, with percent escapes.
        self.raw_path: str = path
        self.raw_query: str = query
        self.headers: Mapping[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }

    @property
    def has_body(self) -> bool:
        """Whether the caller announced a body."""
        return self._request.chunked_read or self.headers.get("content-length", "0") != "0"

    @property
    def has_started(self) -> bool:
        """Whether the status was sent."""
        return bool(self._request.sent_headers)

    def query(self, name: str) -> str | None:
        """Return a query parameter."""
        try:
            values = urllib.parse.parse_qs(self.raw_query, max_num_fields=32)
        except ValueError as error:
            raise bad_request("too many query parameters") from error
        return values[name][0] if name in values else None

    def read_body(self) -> bytes:
        """Return the body; raise ``bad_request`` or ``body_too_large``."""
        try:
            return self._read_body()
        finally:
            self._request.server.reading_ended(self._request.conn)

    def reply(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Send a whole answer."""
        # A body that nobody read would be taken for the next request.
        if getattr(self._request.rfile, "remaining", 0):
            self._request.close_connection = True
        length = {} if status in _BODILESS else {"Content-Length": str(len(body))}
        self._set_status(status, {**headers, **length})
        self._write(body if self.method != "HEAD" and status not in _BODILESS else b"")

    def reply_json(self, status: int, value: Any, headers: Mapping[str, str] = {}) -> None:
        """Send a JSON answer."""
        self.reply(status, {"Content-Type": JSON_TYPE, **headers}, to_json(value))

    def reply_error(self, info: RefusalInfo, request_id: str = "") -> None:
        """Send a typed error."""
        body = to_json(error_body(info, request_id))
        self.reply(STATUS_BY_CODE[info.code], error_headers(info, request_id), body)

    def start_stream(self, headers: Mapping[str, str]) -> None:
        """Send the status and headers of an answer of unknown length."""
        self._set_status(200, headers)
        self._write(b"")

    def send(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        self._write(data)

    def is_caller_gone(self) -> bool:
        """Whether the caller closed its side of the connection."""
        sock = self._request.conn.socket
        try:
            readable, _, _ = select.select([sock], [], [], 0)
            return bool(readable) and sock.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    def _read_body(self) -> bytes:
        request = self._request
        length = self.headers.get("content-length", "0")
        if request.chunked_read and "content-length" in self.headers:
            request.close_connection = True
            raise bad_request("both Content-Length and Transfer-Encoding")
        if not (length.isascii() and length.isdigit()):
            request.close_connection = True
            raise bad_request("Content-Length must be a whole number")
        if request.chunked_read:
            return self._read_chunked()
        body: bytes = request.rfile.read()
        if len(body) != int(length):
            request.close_connection = True
            raise bad_request("the body ended early")
        return body

    def _read_chunked(self) -> bytes:
        request = self._request
        # Trailers are not read, so the connection cannot be used again.
        request.close_connection = True
        limit = request.server.max_request_body_size
        request.rfile.rfile = cheroot_server.SizeCheckWrapper(request.conn.rfile, 2 * limit)
        try:
            body: bytes = request.rfile.read()
        except (cheroot_errors.MaxSizeExceeded, ValueError) as error:
            raise self._chunk_error(error) from error
        except OSError as error:
            if isinstance(error, TimeoutError) or error.errno is not None:
                raise
            raise self._chunk_error(cheroot_errors.MaxSizeExceeded()) from error
        return body

    def _chunk_error(self, error: Exception) -> Exception:
        if isinstance(error, cheroot_errors.MaxSizeExceeded):
            limit = self._request.server.max_request_body_size
            return not_run(ErrorCode.BODY_TOO_LARGE, f"the body has more than {limit} bytes")
        return bad_request("the body is not in chunked coding")

    def _set_status(self, status: int, headers: Mapping[str, str]) -> None:
        reason = _REASONS.get(status, "Status")
        self._request.status = f"{status} {reason}".encode("ascii")
        self._request.outheaders[:] = [
            (name.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
            for name, value in headers.items()
        ]

    def _write(self, data: bytes) -> None:
        try:
            self._request.ensure_headers_sent()
            if data:
                self._request.write(data)
        except OSError as error:
            self._request.close_connection = True
            raise CallerGoneError from error


class _CallerRequest(cheroot_server.HTTPRequest):
    """Writes the server's own refusals as typed errors and limits the time to read a request."""

    def parse_request(self) -> None:
        """Read the request line and the headers."""
        self.server.reading_started(self.conn)
        super().parse_request()

    def simple_response(self, status: Any, msg: Any = "") -> None:
        """Send a typed error and close the connection."""
        code = _CODE_BY_SERVER_STATUS.get(str(status)[:3], ErrorCode.BAD_REQUEST)
        text = msg.decode("latin-1") if isinstance(msg, bytes) else str(msg)
        info = RefusalInfo(code, text or str(status), Outcome.NOT_RUN)
        body = to_json(error_body(info, ""))
        number = STATUS_BY_CODE[code]
        head = (
            f"HTTP/1.1 {number} {_REASONS[number]}\r\nContent-Type: {JSON_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        self.sent_headers = True
        self.server.count_refusal(code)
        try:
            self.conn.wfile.write(head.encode("ascii") + body)
        except OSError:
            # The caller is gone; there is nobody to tell.
            return


class _CallerConnection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _CallerRequest

    def close(self) -> None:
        """Close the connection, after reading for a moment what the caller still sends.

        Closing with unread data resets the connection, and the caller may lose the answer.
        """
        self.server.reading_ended(self)
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(LINGER_S)
            for _ in range(LINGER_READS):
                if not self.socket.recv(LINGER_READ_BYTES):
                    break
        except OSError:
            # The caller closed first, or keeps the connection open without a word.
            pass
        super().close()


class _CallerGateway(cheroot_server.Gateway):
    """Passes a request to the server's handler."""

    def respond(self) -> None:
        """Answer the request."""
        server = self.req.server
        exchange = CallerExchange(self.req)
        if not exchange.has_body:
            server.reading_ended(self.req.conn)
        try:
            server.handler(exchange)
        except CallerGoneError:
            self.req.close_connection = True


@final
class CallerServer(cheroot_server.HTTPServer):
    """Serves callers with a fixed number of threads."""

    ConnectionClass = _CallerConnection
    _unservicable_conns: "queue.Queue[Any]"
    keep_alive_conn_limit = 4096
    # Bounds the time that a stop waits for the accepting thread, in seconds.
    expiration_interval = 0.2
    max_request_header_size = MAX_HEADER_BYTES

    def __init__(
        self,
        settings: HttpSettings,
        handler: Handler,
        count_refusal: Callable[[ErrorCode], None],
    ) -> None:
        host, _, port = settings.address.rpartition(":")
        super().__init__((host.strip("[]"), int(port)), _CallerGateway, server_name="dragonflyhold")
        self.settings = settings
        self.handler = handler
        self.count_refusal = count_refusal
        self.timeout = settings.idle_timeout_s  # type: ignore[assignment]
        self.request_queue_size = LISTEN_BACKLOG
        self.max_request_body_size = min(settings.max_body_bytes, MAX_BODY_BYTES)
        # A stop waits for all open requests; they end at their deadlines.
        self.shutdown_timeout = None  # type: ignore[assignment]
        # The thread that accepts must not wait for room in the queue.
        self.requests = threadpool.ThreadPool(
            self,
            min=settings.threads,
            max=settings.threads,
            accepted_queue_size=settings.threads * QUEUED_PER_THREAD,
            accepted_queue_timeout=0,
        )
        self._reading: dict[Any, float] = {}
        self._reading_lock = threading.Lock()
        self._serving = threading.Thread(target=self.serve, name="http", daemon=True)

    @property
    def port(self) -> int:
        """The port that was bound."""
        port: int = self.bind_addr[1]
        return port

    def open(self) -> None:
        """Bind the address and serve from a thread; raises ``OSError``."""
        self.prepare()
        self._serving.start()

    def close(self) -> None:
        """Close the listener and idle connections, and wait for the open requests."""
        self.stop()

    def process_conn(self, conn: Any) -> None:
        """Give a connection to a thread once its caller sent something."""
        if conn.last_used is None:
            # A thread that waits for the first byte of a silent caller serves nobody else.
            self.put_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            self._unservicable_conns.put(conn)

    def reading_started(self, conn: Any) -> None:
        """Note that a request is being read."""
        with self._reading_lock:
            self._reading[conn] = time.monotonic()

    def reading_ended(self, conn: Any) -> None:
        """Note that a request was read, or that its connection ends."""
        with self._reading_lock:
            self._reading.pop(conn, None)

    def end_slow_reads(self, now: float) -> None:
        """Stop reading from callers that take longer than ``idle_timeout_s`` for a request."""
        limit = now - self.settings.idle_timeout_s
        with self._reading_lock:
            slow = [conn for conn, since in self._reading.items() if since < limit]
            for conn in slow:
                del self._reading[conn]
        for conn in slow:
            try:
                conn.socket.shutdown(socket.SHUT_RD)
            except OSError:
                # Already closed.
                continue

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log a message of the server."""
        if traceback:
            _log.exception("HTTP server.", message=msg)
        else:
            _log.info("HTTP server.", message=msg)

    def _serve_unservicable(self) -> None:
        while self.ready:
            conn = self._unservicable_conns.get()
            if not isinstance(conn, cheroot_server.HTTPConnection):
                return
            request = _CallerRequest(self, conn)
            request.simple_response("503", "all threads are busy")
            conn.close()
