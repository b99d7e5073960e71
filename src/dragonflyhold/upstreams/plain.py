"""Client of a plain service."""

import time
from collections.abc import Callable, Mapping
from typing import final

from dragonflyhold.settings import UpstreamSettings
from dragonflyhold.upstreams.http_calls import HttpCall, send_call
from dragonflyhold.upstreams.interface import (
    PlainResponse,
    UpstreamInterruptedError,
    UpstreamNotSentError,
)

HEALTH_PATH = "/healthz"
# Lower bound of the read timeout when the deadline of a call is near or has passed.
MIN_READ_TIMEOUT_S = 0.001

# Hop-by-hop headers, and headers that the HTTP client sets itself.
_UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@final
class HttpPlainClient:
    """Client of a plain service; never retries a call."""

    def __init__(
        self, settings: UpstreamSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> PlainResponse:
        """Send a call and return its response, whatever its status.

        ``timeout_s`` bounds the time from the request to the end of the response. Raise
        ``UpstreamNotSentError`` or ``UpstreamInterruptedError`` if no complete response was
        received.
        """
        deadline = self._clock() + timeout_s
        forwarded_headers = _filter_headers(headers)
        call = send_call(
            self._settings, method, path, forwarded_headers, body, self._read_timeout_s(deadline)
        )
        try:
            response_body = self._read_body(call, deadline)
            return PlainResponse(call.status, _filter_headers(call.headers), response_body)
        finally:
            call.close()

    def is_healthy(self) -> bool:
        """Return whether the service responds on a new connection, with any status."""
        try:
            seconds = self._settings.connect_timeout_s
            send_call(self._settings, "GET", HEALTH_PATH, {}, b"", seconds).close()
        except (UpstreamNotSentError, UpstreamInterruptedError):
            return False
        return True

    def _read_body(self, call: HttpCall, deadline: float) -> bytes:
        if not call.has_delimited_body:
            raise UpstreamInterruptedError("response does not state its length")
        chunks = []
        while chunk := call.read():
            chunks.append(chunk)
            if self._clock() >= deadline:
                raise UpstreamInterruptedError("response did not end before the deadline")
            call.set_read_timeout(self._read_timeout_s(deadline))
        return b"".join(chunks)

    def _read_timeout_s(self, deadline: float) -> float:
        remaining_s = max(MIN_READ_TIMEOUT_S, deadline - self._clock())
        return min(self._settings.read_timeout_s, remaining_s)


def _filter_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: value for name, value in headers.items() if name.lower() not in _UNFORWARDED_HEADERS
    }
