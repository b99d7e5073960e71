"""Writes and frames the response to one client request."""

import enum
from collections.abc import Sequence
from typing import Protocol, final

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ResponseTransport(Protocol):
    """The connection to which a response is written."""

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the current response."""

    @property
    def end(self) -> enum.Enum:
        """Return what ended the connection, with a text as its value."""

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closed."""

    async def drain(self) -> None:
        """Wait until the write buffer has room."""

    def close_after_response(self) -> None:
        """Close the connection once the buffered bytes are written."""

    def abort(self) -> None:
        """Close the connection at once and discard buffered bytes."""

    def reset_on_close(self, enabled: bool) -> None:
        """Let any close of the connection reset it, also that of a process that is killed."""


class ResponseState(enum.Enum):
    """How far a response has come."""

    NOT_STARTED = "not started"
    STREAMING = "streaming"
    # A run of the stream broke off, and no event has followed yet.
    INTERRUPTED = "interrupted"
    COMPLETE = "complete"
    ABORTED = "aborted"


class ResponseStateError(Exception):
    """A response was to be written in a state that does not allow it; its connection is closed."""


@final
class Responder:
    """Writes the response to one request, either whole or as a stream."""

    def __init__(
        self,
        connection: ResponseTransport,
        keep_alive: bool,
        http_10: bool,
        has_body: bool = True,
    ) -> None:
        self.status = 0
        # A response to HEAD ends with its head.
        self._has_body = has_body
        self._state = ResponseState.NOT_STARTED
        self._connection = connection
        self._keep_alive = keep_alive
        self._http_10 = http_10
        self._chunked = False

    @property
    def is_started(self) -> bool:
        """Whether the client may have received a part of the response."""
        return self._state is not ResponseState.NOT_STARTED

    @property
    def is_interrupted(self) -> bool:
        """Whether nothing has followed since a run of the stream broke off."""
        return self._state is ResponseState.INTERRUPTED

    @property
    def is_complete(self) -> bool:
        """Whether a whole response was written."""
        return self._state is ResponseState.COMPLETE

    @property
    def connection_end(self) -> str:
        """Return what ended the client's connection."""
        return str(self._connection.end.value)

    @property
    def is_ended(self) -> bool:
        """Whether nothing more may be written."""
        return self._state in (ResponseState.COMPLETE, ResponseState.ABORTED)

    def send(self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes = b"") -> None:
        """Send a complete response."""
        self._require(ResponseState.NOT_STARTED)
        self._start(status, headers, b"Content-Length: %d\r\n" % len(body), body)
        self._end()

    def start_stream(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Send the head of a response of unknown length.

        To an HTTP/1.0 client, a closed connection is the end of the response. Until the response is
        complete, it can only be reset.
        """
        self._require(ResponseState.NOT_STARTED)
        if self._http_10:
            self._keep_alive = False
            self._start(status, headers, b"", b"")
            self._connection.reset_on_close(True)
            return
        self._chunked = True
        self._start(status, headers, b"Transfer-Encoding: chunked\r\n", b"")

    async def write(self, data: bytes) -> None:
        """Send a part of the body, and wait while the write buffer is full."""
        self._require(ResponseState.STREAMING, ResponseState.INTERRUPTED)
        if not data:
            # An empty chunk would be the end of the body.
            return
        self._state = ResponseState.STREAMING
        if not self._has_body:
            return
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._connection.write(data)
        await self._connection.drain()

    def interrupt(self) -> None:
        """Require more of the body before its end, since what was its source has broken off."""
        self._require(ResponseState.STREAMING, ResponseState.INTERRUPTED)
        self._state = ResponseState.INTERRUPTED

    def end_stream(self) -> None:
        """Mark the body as complete; an interrupted one can't be."""
        self._require(ResponseState.STREAMING)
        if not self._chunked:
            self._connection.reset_on_close(False)
        elif self._has_body:
            self._connection.write(b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Close the connection, so that the client sees an incomplete response."""
        self._state = ResponseState.ABORTED
        self._connection.abort()

    def _require(self, *allowed: ResponseState) -> None:
        state = self._state
        if state in allowed:
            return
        if state is ResponseState.COMPLETE:
            self._connection.close_after_response()
        else:
            self.abort()
        names = " or ".join(expected.value for expected in allowed)
        raise ResponseStateError(f"the response is {state.value}, not {names}")

    def _start(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], framing: bytes, body: bytes
    ) -> None:
        keep = self._keep_alive and not self._connection.is_closing
        reason = _REASONS.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, reason)]
        lines.extend(b"%s: %s\r\n" % header for header in headers)
        lines.append(framing)
        if not keep:
            self._keep_alive = False
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        if self._has_body:
            lines.append(body)
        # Only now: a response that can't be built leaves room for another one.
        self._state = ResponseState.STREAMING
        self.status = status
        self._connection.write(b"".join(lines))

    def _end(self) -> None:
        self._state = ResponseState.COMPLETE
        if not self._keep_alive:
            self._connection.close_after_response()
