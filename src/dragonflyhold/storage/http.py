"""One HTTP exchange with a service of the platform."""

import dataclasses
import json
from typing import final
from urllib.parse import quote

import urllib3

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.settings import PlatformSettings

# 429 and 503 say that the service did not take the request on; the caller decides on a retry.
_UNAVAILABLE = (429, 503)
_MAX_POOL = 8


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Status and body of an answer."""

    status: int
    body: bytes


@final
class HttpService:
    """Sends requests to one base URL; safe to use from any thread.

    No request is repeated: a retry of a write whose answer was lost could hide that it took
    effect.
    """

    def __init__(self, base_url: str, settings: PlatformSettings) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = settings.timeout_ms / 1000
        self._pool = urllib3.PoolManager(maxsize=_MAX_POOL, retries=False)

    def send(self, method: str, path: str, body: bytes | None = None) -> HttpReply:
        """Send a request; raise ``PlatformUnavailableError`` without a usable answer."""
        url = self._base_url + path
        try:
            response = self._pool.request(
                method,
                url,
                body=body,
                timeout=urllib3.Timeout(total=self._timeout_s),
                redirect=False,
                headers={"Content-Type": "application/octet-stream"},
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailableError(f"platform: {method} {url}: {error}") from error
        if response.status in _UNAVAILABLE or response.status >= 500:
            raise PlatformUnavailableError(f"platform: {method} {url}: answered {response.status}")
        return HttpReply(response.status, response.data)


def quote_key(key: str) -> str:
    """Return a key as one path segment."""
    return quote(key, safe="")


def parse_object(reply: HttpReply, what: str) -> dict[str, object]:
    """Return a JSON object; raise ``PlatformUnavailableError`` if the answer is not one."""
    if reply.status != 200:
        raise PlatformUnavailableError(f"platform: {what}: answered {reply.status}")
    return parse_body(reply, what)


def parse_body(reply: HttpReply, what: str) -> dict[str, object]:
    """Return the JSON object in a body of any status."""
    try:
        value = json.loads(reply.body)
    except ValueError as error:
        raise PlatformUnavailableError(f"platform: {what}: not JSON: {error}") from error
    if not isinstance(value, dict):
        raise PlatformUnavailableError(f"platform: {what}: not a JSON object")
    return value
