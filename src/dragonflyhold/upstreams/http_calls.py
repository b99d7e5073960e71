"""HTTP calls whose errors show whether any byte of the request was written.

Each call opens its own connection. A pooled connection can be closed or stop responding while it is
idle, and a failure on it would leave in doubt whether the request was received.
"""

import http.client
import socket
import threading
import urllib.parse
from collections.abc import Mapping
from typing import final

import urllib3
import urllib3.connection
import urllib3.exceptions

from dragonflyhold.settings import UpstreamSettings
from dragonflyhold.upstreams.interface import UpstreamInterruptedError, UpstreamNotSentError

READ_CHUNK_BYTES = 65_536
# Statuses that the protocol has.
STATUSES = range(100, 600)

# Exceptions that the libraries raise if a connection fails or a response is malformed.
_CONNECTION_ERRORS = (OSError, urllib3.exceptions.HTTPError, http.client.HTTPException, ValueError)


@final
class HttpCall:
    """A request that was sent; ``status`` and ``headers`` are those of the response."""

    def __init__(
        self,
        connection: urllib3.connection.HTTPConnection,
        sock: socket.socket,
        read_timeout_s: float,
    ) -> None:
        self._connection = connection
        # The connection drops its own reference once it has read the response headers.
        self._socket = sock
        self._is_cancelled = False
        self._lock = threading.Lock()
        sock.settimeout(read_timeout_s)
        try:
            self._response = connection.getresponse()
        except _CONNECTION_ERRORS as error:
            self.close()
            raise UpstreamInterruptedError(f"no response received: {error}") from error
        if self.status not in STATUSES:
            self.close()
            raise UpstreamInterruptedError(f"status {self.status} is none of the protocol")

    @property
    def status(self) -> int:
        """Status code of the response."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the response; values of repeated headers are joined by commas."""
        return self._response.headers

    @property
    def has_delimited_body(self) -> bool:
        """Whether the end of the body can be distinguished from a closed connection."""
        return self._response.chunked or self._response.length_remaining is not None

    def read(self) -> bytes:
        """Return the available bytes of the body; empty at its end."""
        try:
            data = b"" if self._is_cancelled else self._response.read1(READ_CHUNK_BYTES)
        except _CONNECTION_ERRORS as error:
            reason = "call was cancelled" if self._is_cancelled else str(error)
            raise UpstreamInterruptedError(f"response was interrupted: {reason}") from error
        if not data and self._is_cancelled:
            # After ``cancel`` has shut the socket down, a read can look like the end of the body.
            raise UpstreamInterruptedError("call was cancelled")
        return data

    def set_read_timeout(self, seconds: float) -> None:
        """Set the timeout of all further reads."""
        try:
            self._socket.settimeout(seconds)
        except OSError as error:
            raise UpstreamInterruptedError(f"response was interrupted: {error}") from error

    def cancel(self) -> None:
        """Shut the connection down at once, even while another thread reads from it."""
        with self._lock:
            self._is_cancelled = True
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

    def close(self) -> None:
        """Release the connection; must be called from the thread that reads."""
        with self._lock:
            if hasattr(self, "_response"):
                self._response.close()
            self._connection.close()
            self._socket.close()


def send_call(
    settings: UpstreamSettings,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    read_timeout_s: float,
) -> HttpCall:
    """Connect, send a request and read the response headers.

    ``path`` is relative to the base URL. ``read_timeout_s`` bounds the wait for the headers and
    each later read. Raise ``UpstreamNotSentError`` or ``UpstreamInterruptedError`` on failure.
    """
    base = urllib.parse.urlsplit(settings.url)
    connection = _make_connection(base, settings.connect_timeout_s)
    try:
        connection.connect()
        sock = connection.sock
        if sock is None:
            raise UpstreamNotSentError("connection was closed")
    except (*_CONNECTION_ERRORS, UpstreamNotSentError) as error:
        connection.close()
        raise UpstreamNotSentError(f"cannot connect to {settings.url}: {error}") from error
    connection.timeout = read_timeout_s
    target = f"{base.path.rstrip('/')}/{path.lstrip('/')}"
    try:
        connection.request(method, target, body=body, headers=headers, preload_content=False)
    except (ValueError, http.client.InvalidURL) as error:
        # The library rejects an invalid method, path or header before it writes any byte.
        connection.close()
        raise UpstreamNotSentError(f"request is not valid: {error}") from error
    except _CONNECTION_ERRORS as error:
        connection.close()
        raise UpstreamInterruptedError(f"request was interrupted: {error}") from error
    return HttpCall(connection, sock, read_timeout_s)


def _make_connection(
    base: urllib.parse.SplitResult, timeout_s: float
) -> urllib3.connection.HTTPConnection:
    host = base.hostname or ""
    if base.scheme == "https":
        return urllib3.connection.HTTPSConnection(host, base.port or 443, timeout=timeout_s)
    return urllib3.connection.HTTPConnection(host, base.port or 80, timeout=timeout_s)
