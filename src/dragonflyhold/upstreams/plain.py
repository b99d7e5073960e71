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
# Shortest time given to a read when the call's time is nearly up.
MIN_READ_S = 0.001

# Headers that belong to one connection, and those that this client sets itself.
_OWN_HEADERS = frozenset(
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
    """Calls to a plain service; it never repeats one."""

    def __init__(
        self, settings: UpstreamSettings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._settings = settings
        self._clock = clock

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> PlainResponse:
        """Send one call, never repeated by the client.

        ``timeout_s`` bounds the time from the request to the end of the answer. Raises
        ``UpstreamNotSentError`` or ``UpstreamInterruptedError``. Any complete answer is returned,
        also one with an error status.
        """
        deadline = self._clock() + timeout_s
        kept = _without_own_headers(headers)
        call = send_call(self._settings, method, path, kept, body, self._read_s(deadline))
        try:
            answer = self._read_body(call, deadline)
            return PlainResponse(call.status, _without_own_headers(call.headers), answer)
        finally:
            call.close()

    def is_healthy(self) -> bool:
        """Whether a new connection is answered, with any status."""
        try:
            seconds = self._settings.connect_timeout_s
            send_call(self._settings, "GET", HEALTH_PATH, {}, b"", seconds).close()
        except (UpstreamNotSentError, UpstreamInterruptedError):
            return False
        return True

    def _read_body(self, call: HttpCall, deadline: float) -> bytes:
        if not call.has_known_end:
            raise UpstreamInterruptedError("the answer states no length")
        chunks = []
        while chunk := call.read():
            chunks.append(chunk)
            if self._clock() >= deadline:
                raise UpstreamInterruptedError("the answer did not end in time")
            call.set_read_timeout(self._read_s(deadline))
        return b"".join(chunks)

    def _read_s(self, deadline: float) -> float:
        left = max(MIN_READ_S, deadline - self._clock())
        return min(self._settings.read_timeout_s, left)


def _without_own_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {name: value for name, value in headers.items() if name.lower() not in _OWN_HEADERS}
