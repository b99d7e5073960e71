"""HTTP server, JSON helpers and fault injection shared by all stand-ins."""

import dataclasses
import json
import select
import socket
import threading
import time
import urllib.parse
from collections.abc import Mapping
from typing import Any

import cheroot.server

DEFAULT_ADDRESS = "127.0.0.1:0"
# Also limits concurrent requests; further connections wait in the server's queue.
DEFAULT_THREADS = 64
STOP_TIMEOUT_S = 2.0
# cheroot's defaults (5 queued, 10 kept alive) are below the number of connections in a test.
MAX_CONNECTIONS = 256


class DropConnection(Exception):  # noqa: N818 - control flow, not an error
    """Raised by a handler to close the connection without completing the response."""


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a stand-in simulates; set and cleared through ``POST /control``."""

    # "closed": connections are accepted and closed; "503": calls get that status; "": no fault.
    down: str = ""
    # Calls are accepted and get no response.
    frozen: bool = False
    # Delay before each call is handled.
    slow_ms: float = 0.0
    # Number of subsequent writes that take effect but whose response is lost; -1: all.
    fail_after_effect: int = 0
    # How the response is lost: "close", "hang" or "half" (half of the body).
    fail_mode: str = "close"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


def json_response(data: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(data).encode())


def error_response(status: int, code: str, message: str = "") -> Response:
    """Return an error response in the format of OpenAI-compatible services."""
    return json_response({"error": {"code": code, "message": message or code}}, status)


class RateLimit:
    """A thread-safe token bucket."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated = time.monotonic()
        self._lock = threading.Lock()

    def take(self, count: float = 1.0) -> bool:
        """Take ``count`` tokens if available; return whether they were.

        A count above the burst is allowed at a full bucket and leaves it in debt.
        """
        with self._lock:
            self._refill()
            if self._tokens < min(count, self._burst):
                return False
            self._tokens -= count
            return True

    def reserve(self) -> float:
        """Take a token, on credit if necessary; return the seconds until it is available."""
        with self._lock:
            self._refill()
            self._tokens -= 1.0
            return max(0.0, -self._tokens / self.rate_per_s)

    def _refill(self) -> None:
        now = time.monotonic()
        refill = (now - self._updated) * self.rate_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._updated = now


class Call:
    """One HTTP call to a stand-in."""

    def __init__(self, request: Any) -> None:
        self._request = request
        url_parts = urllib.parse.urlsplit(request.uri.decode("ascii", "replace"))
        self.method: str = request.method.decode("ascii")
        # Still percent-encoded, so that keys may contain slashes.
        self.path = url_parts.path
        self.query = dict(urllib.parse.parse_qsl(url_parts.query))
        self.body: bytes = request.rfile.read()

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object; raise ``ValueError`` if it is not one."""
        data = json.loads(self.body or b"{}")
        if not isinstance(data, dict):
            raise ValueError("the body is not a JSON object")
        return data

    def header(self, name: str) -> str:
        """Return a request header, or an empty string."""
        value: bytes = self._request.inheaders.get(name.title().encode(), b"")
        return value.decode("latin-1")

    def key(self, prefix: str) -> str:
        """Return the decoded rest of the path after ``prefix``."""
        return urllib.parse.unquote(self.path.removeprefix(prefix))

    def is_disconnected(self) -> bool:
        """Whether the caller closed the connection."""
        sock: socket.socket = self._request.conn.socket
        try:
            readable, _, _ = select.select([sock], [], [], 0)
            return bool(readable) and sock.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    def start_stream(self, content_type: str) -> None:
        """Send the headers of a response without a length; ``write`` sends its body."""
        self._request.status = b"200 OK"
        self._request.outheaders = [(b"Content-Type", content_type.encode())]
        self._request.ensure_headers_sent()

    def write(self, data: bytes) -> None:
        """Send a part of a streamed response; raise ``OSError`` if the caller disconnected."""
        self._request.write(data)

    def send(self, response: Response, length: int | None = None) -> None:
        """Send a response; with ``length``, only that many bytes of its body."""
        phrase = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}.get(response.status, "-")
        self._request.status = f"{response.status} {phrase}".encode()
        self._request.outheaders = [
            (b"Content-Type", response.content_type.encode()),
            (b"Content-Length", str(len(response.body)).encode()),
        ]
        self._request.ensure_headers_sent()
        if response.body and length != 0:
            self._request.write(response.body[:length])

    def drop(self) -> None:
        """Close the connection without sending anything more; callable from any thread."""
        self._detach()
        try:
            self._request.conn.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def keep_silent(self) -> socket.socket:
        """Leave the connection open but send nothing more; return the socket for a later close."""
        self._detach()
        # With this flag, the server releases the socket without closing it.
        self._request.conn.linger = True
        silent_socket: socket.socket = self._request.conn.socket
        return silent_socket

    def _detach(self) -> None:
        self._request.close_connection = True
        self._request.sent_headers = True
        self._request.chunked_write = False


class StandIn:
    """Base class of stand-ins: a server on a loopback port with fault injection."""

    name = "stand-in"

    def __init__(self, address: str = DEFAULT_ADDRESS, threads: int = DEFAULT_THREADS) -> None:
        self.faults = Faults()
        self._address = address
        self._threads = threads
        self._stopping = threading.Event()
        self._silent_sockets: list[socket.socket] = []
        self._faults_lock = threading.Lock()
        self._server: Any = None
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """The ``host:port`` that the stand-in listens on."""
        return self._address

    @property
    def url(self) -> str:
        """Base URL; fixed after the first start."""
        return f"http://{self._address}"

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    def start(self) -> None:
        """Start to serve in background threads, after a stop on the same port again."""
        stand_in = self

        class Gateway(cheroot.server.Gateway):
            def respond(self) -> None:
                stand_in._serve(Call(self.req))

        host, _, port = self._address.rpartition(":")
        server: Any = cheroot.server.HTTPServer(
            (host, int(port)), Gateway, minthreads=self._threads, maxthreads=self._threads
        )
        server.shutdown_timeout = STOP_TIMEOUT_S
        server.request_queue_size = MAX_CONNECTIONS
        server.keep_alive_conn_limit = MAX_CONNECTIONS
        # Also bounds the time that a stop takes; the default of 0.5 s slows down tests.
        server.expiration_interval = 0.05
        self._stopping.clear()
        server.prepare()
        # cheroot sets this only for fixed ports. Accepted connections inherit it, so that they do
        # not prevent the port from being bound again after a stop.
        server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._address = f"{host}:{server.bind_addr[1]}"
        self._server = server
        self._thread = threading.Thread(target=self._server.serve, name=self.name, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._stopping.set()
        self.close_silent_connections()
        if self._server is not None:
            self._server.stop()
            self._server = None
        if self._thread is not None:
            self._thread.join()
            self._thread = None

    def handle(self, call: Call) -> Response | None:
        """Handle a call and return its response, or ``None`` if it was streamed."""
        raise NotImplementedError

    def control(self, data: Mapping[str, Any]) -> object:
        """Set and clear faults; return the data for the response."""
        with self._faults_lock:
            for field in dataclasses.fields(Faults):
                if field.name in data:
                    setattr(self.faults, field.name, data[field.name])
        if not self.faults.frozen:
            self.close_silent_connections()
        return dataclasses.asdict(self.faults)

    def close_silent_connections(self) -> None:
        """Close the connections that are kept open without a response."""
        with self._faults_lock:
            silent_sockets, self._silent_sockets = self._silent_sockets, []
        for sock in silent_sockets:
            sock.close()

    def pause(self, seconds: float) -> None:
        """Sleep; return early on ``stop``."""
        self._stopping.wait(seconds)

    def _serve(self, call: Call) -> None:
        try:
            if call.path == "/control":
                call.send(json_response(self.control(call.json())))
            else:
                self._serve_with_faults(call)
        except (DropConnection, OSError):
            call.drop()
        except (ValueError, KeyError, TypeError) as error:
            call.send(error_response(400, "bad_request", repr(error)))

    def _serve_with_faults(self, call: Call) -> None:
        if self.faults.frozen:
            self._keep_silent(call)
            return
        if self.faults.down == "503":
            call.send(error_response(503, "unavailable"))
            return
        if self.faults.down:
            raise DropConnection
        if self.faults.slow_ms:
            self.pause(self.faults.slow_ms / 1000)
        response = self.handle(call)
        if response is None:
            return
        if call.method == "GET" or not self._consume_lost_response():
            call.send(response)
            return
        match self.faults.fail_mode:
            case "hang":
                self._keep_silent(call)
            case "half":
                call.send(response, len(response.body) // 2)
                raise DropConnection
            case _:
                raise DropConnection

    def _consume_lost_response(self) -> bool:
        with self._faults_lock:
            remaining = self.faults.fail_after_effect
            if remaining > 0:
                self.faults.fail_after_effect = remaining - 1
            return remaining != 0

    def _keep_silent(self, call: Call) -> None:
        with self._faults_lock:
            self._silent_sockets.append(call.keep_silent())
