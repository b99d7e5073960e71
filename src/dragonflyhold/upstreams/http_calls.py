"""One HTTP call per connection, with errors that tell whether a byte was written.

Each call opens its own connection. A kept connection can be closed or go silent while it is idle,
and a failure on it would leave in doubt whether the request was received.
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

READ_BYTES = 65_536

# What the libraries raise when a connection breaks off or answers in a wrong form.
_BREAKS = (OSError, urllib3.exceptions.HTTPError, http.client.HTTPException, ValueError)


@final
class HttpCall:
    """A request that was sent; ``status`` and ``headers`` are those of the answer."""

    def __init__(
        self, connection: urllib3.connection.HTTPConnection, sock: socket.socket, read_s: float
    ) -> None:
        self._connection = connection
        # The connection gives its reference up when it has read the head of the answer.
        self._socket = sock
        self._is_cancelled = False
        self._lock = threading.Lock()
        sock.settimeout(read_s)
        try:
            self._response = connection.getresponse()
        except _BREAKS as error:
            self.close()
            raise UpstreamInterruptedError(f"no answer came: {error}") from error

    @property
    def status(self) -> int:
        """Status of the answer."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the answer; repeated ones are joined by commas."""
        return self._response.headers

    @property
    def has_known_end(self) -> bool:
        """Whether the end of the body can be told from a connection that broke off."""
        return self._response.chunked or self._response.length_remaining is not None

    def read(self) -> bytes:
        """Return what has arrived of the body; empty at its end."""
        try:
            data = b"" if self._is_cancelled else self._response.read1(READ_BYTES)
        except _BREAKS as error:
            reason = "the call was cancelled" if self._is_cancelled else str(error)
            raise UpstreamInterruptedError(f"the answer broke off: {reason}") from error
        if not data and self._is_cancelled:
            # A connection that was shut down here can look like the end of the answer.
            raise UpstreamInterruptedError("the call was cancelled")
        return data

    def set_read_timeout(self, seconds: float) -> None:
        """Bound the time of each following read."""
        try:
            self._socket.settimeout(seconds)
        except OSError as error:
            raise UpstreamInterruptedError(f"the answer broke off: {error}") from error

    def cancel(self) -> None:
        """Break the connection off at once, also while another thread reads from it."""
        with self._lock:
            self._is_cancelled = True
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

    def close(self) -> None:
        """Release the connection; only from the thread that reads."""
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
    read_s: float,
) -> HttpCall:
    """Connect, send a request and read the head of the answer.

    Raises ``UpstreamNotSentError`` or ``UpstreamInterruptedError``. ``path`` is below the base
    URL. ``read_s`` bounds the time until the head comes and each later read.
    """
    base = urllib.parse.urlsplit(settings.url)
    connection = _make_connection(base, settings.connect_timeout_s)
    try:
        connection.connect()
        sock = connection.sock
        if sock is None:
            raise UpstreamNotSentError("the connection was closed")
    except (*_BREAKS, UpstreamNotSentError) as error:
        connection.close()
        raise UpstreamNotSentError(f"no connection to {settings.url}: {error}") from error
    connection.timeout = read_s
    target = f"{base.path.rstrip('/')}/{path.lstrip('/')}"
    try:
        connection.request(method, target, body=body, headers=headers, preload_content=False)
    except (ValueError, http.client.InvalidURL) as error:
        # The method, path or headers are refused before the first byte is written.
        connection.close()
        raise UpstreamNotSentError(f"not a valid request: {error}") from error
    except _BREAKS as error:
        connection.close()
        raise UpstreamInterruptedError(f"the request broke off: {error}") from error
    return HttpCall(connection, sock, read_s)


def _make_connection(
    base: urllib.parse.SplitResult, timeout_s: float
) -> urllib3.connection.HTTPConnection:
    host = base.hostname or ""
    if base.scheme == "https":
        return urllib3.connection.HTTPSConnection(host, base.port or 443, timeout=timeout_s)
    return urllib3.connection.HTTPConnection(host, base.port or 80, timeout=timeout_s)
