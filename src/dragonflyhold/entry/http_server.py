"""HTTP server for callers, based on ``cheroot``; errors of the server itself are typed too."""

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
# A body shares a gRPC message with other items, and an oversized message ends the stream.
MAX_BODY_BYTES = MAX_MESSAGE_BYTES // 2
LISTEN_BACKLOG = 512
# Limits on reading remaining input while a connection is closed.
LINGER_S = 0.1
LINGER_READS = 64
LINGER_READ_BYTES = 65_536
# Connections queued per thread; further ones are refused immediately.
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
# Statuses whose responses have neither a body nor a Content-Length.
_BODILESS_STATUSES = frozenset({204, 304})
# Error codes for statuses that cheroot sends itself, before a handler runs.
_CODE_BY_SERVER_STATUS = {
    "405": ErrorCode.METHOD_NOT_ALLOWED,
    "413": ErrorCode.BODY_TOO_LARGE,
    "500": ErrorCode.INTERNAL,
    "503": ErrorCode.QUEUE_FULL,
}

Handler = Callable[["CallerExchange"], None]


class CallerDisconnectedError(Exception):
    """The caller closed its connection or no longer reads from it."""


@final
class CallerExchange:
    """One HTTP request of a caller and its response."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self.method: str = request.method.decode("latin-1")
        path, _, query = request.uri.decode("latin-1").partition("?")
        # As received, with percent-encoding.
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
        """Whether the status line was sent."""
        return bool(self._request.sent_headers)

    def query(self, name: str) -> str | None:
        """Return the first value of a query parameter, or ``None``."""
        try:
            values = urllib.parse.parse_qs(self.raw_query, max_num_fields=32)
        except ValueError as error:
            raise bad_request("too many query parameters") from error
        return values[name][0] if name in values else None

    def read_body(self) -> bytes:
        """Read the body; raise ``bad_request`` or ``body_too_large`` if it is invalid."""
        try:
            return self._read_body()
        finally:
            self._request.server.reading_ended(self._request.conn)

    def reply(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Send a complete response."""
        # An unread body would be parsed as the next request.
        if getattr(self._request.rfile, "remaining", 0):
            self._request.close_connection = True
        length = {} if status in _BODILESS_STATUSES else {"Content-Length": str(len(body))}
        self._set_status(status, {**headers, **length})
        self._write(body if self.method != "HEAD" and status not in _BODILESS_STATUSES else b"")

    def reply_json(self, status: int, value: Any, headers: Mapping[str, str] = {}) -> None:
        """Send a JSON response."""
        self.reply(status, {"Content-Type": JSON_TYPE, **headers}, to_json(value))

    def reply_error(self, info: RefusalInfo, request_id: str = "") -> None:
        """Send a typed error."""
        body = to_json(error_body(info, request_id))
        self.reply(STATUS_BY_CODE[info.code], error_headers(info, request_id), body)

    def start_stream(self, headers: Mapping[str, str]) -> None:
        """Send the status and headers of a response of unknown length."""
        self._set_status(200, headers)
        self._write(b"")

    def send(self, data: bytes) -> None:
        """Send a part of a streamed response."""
        self._write(data)

    def is_caller_disconnected(self) -> bool:
        """Return whether the caller closed its side of the connection."""
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
        # Trailers are not read, so the connection cannot be reused.
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
            raise CallerDisconnectedError from error


class _CallerRequest(cheroot_server.HTTPRequest):
    """Sends errors of the server itself as typed errors and tracks the time to read a request."""

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
        status_code = STATUS_BY_CODE[code]
        head = (
            f"HTTP/1.1 {status_code} {_REASONS[status_code]}\r\nContent-Type: {JSON_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.close_connection = True
        self.sent_headers = True
        self.server.count_refusal(code)
        try:
            self.conn.wfile.write(head.encode("ascii") + body)
        except OSError:
            # The caller disconnected; the error cannot be delivered.
            return


class _CallerConnection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _CallerRequest

    def close(self) -> None:
        """Close the connection after briefly reading what the caller still sends.

        Closing a socket with unread data resets the connection, which can discard the response.
        """
        self.server.reading_ended(self)
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(LINGER_S)
            for _ in range(LINGER_READS):
                if not self.socket.recv(LINGER_READ_BYTES):
                    break
        except OSError:
            # The caller closed first, or sent nothing more before the timeout.
            pass
        super().close()


class _CallerGateway(cheroot_server.Gateway):
    """Passes requests to the handler of the server."""

    def respond(self) -> None:
        """Handle the request and send its response."""
        server = self.req.server
        exchange = CallerExchange(self.req)
        if not exchange.has_body:
            server.reading_ended(self.req.conn)
        try:
            server.handler(exchange)
        except CallerDisconnectedError:
            self.req.close_connection = True


@final
class CallerServer(cheroot_server.HTTPServer):
    """Serves callers with a fixed number of threads."""

    ConnectionClass = _CallerConnection
    _unservicable_conns: "queue.Queue[Any]"
    keep_alive_conn_limit = 4096
    # Seconds; bounds how long a stop waits for the accepting thread.
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
        # No limit: a stop waits for all open requests, which end at their deadlines.
        self.shutdown_timeout = None  # type: ignore[assignment]
        # The accepting thread must not block on a full queue.
        self.requests = threadpool.ThreadPool(
            self,
            min=settings.threads,
            max=settings.threads,
            accepted_queue_size=settings.threads * QUEUED_PER_THREAD,
            accepted_queue_timeout=0,
        )
        self._reading_since: dict[Any, float] = {}
        self._reading_lock = threading.Lock()
        self._serve_thread = threading.Thread(target=self.serve, name="http", daemon=True)

    @property
    def port(self) -> int:
        """Port that the server is bound to."""
        port: int = self.bind_addr[1]
        return port

    def open(self) -> None:
        """Bind the address and serve from a thread; raise ``OSError`` on failure."""
        self.prepare()
        self._serve_thread.start()

    def close(self) -> None:
        """Close the listener and idle connections, then wait for the open requests."""
        self.stop()

    def process_conn(self, conn: Any) -> None:
        """Assign a connection to a thread once its caller has sent data."""
        if conn.last_used is None:
            # Waiting for the first byte in a worker thread would let idle connections block it.
            self.put_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            self._unservicable_conns.put(conn)

    def reading_started(self, conn: Any) -> None:
        """Record that reading of a request started."""
        with self._reading_lock:
            self._reading_since[conn] = time.monotonic()

    def reading_ended(self, conn: Any) -> None:
        """Record that a request was read completely or its connection closed."""
        with self._reading_lock:
            self._reading_since.pop(conn, None)

    def end_slow_reads(self, now: float) -> None:
        """Stop reading requests that have taken longer than ``idle_timeout_s`` to arrive."""
        cutoff = now - self.settings.idle_timeout_s
        with self._reading_lock:
            slow_connections = [
                conn for conn, started_at in self._reading_since.items() if started_at < cutoff
            ]
            for conn in slow_connections:
                del self._reading_since[conn]
        for conn in slow_connections:
            try:
                conn.socket.shutdown(socket.SHUT_RD)
            except OSError:
                # The connection is already closed.
                continue

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Log a message from cheroot."""
        if traceback:
            _log.exception("HTTP server reported an error.", message=msg)
        else:
            _log.info("HTTP server reported a message.", message=msg)

    def _serve_unservicable(self) -> None:
        while self.ready:
            conn = self._unservicable_conns.get()
            if not isinstance(conn, cheroot_server.HTTPConnection):
                return
            request = _CallerRequest(self, conn)
            request.simple_response("503", "all threads are busy")
            conn.close()
