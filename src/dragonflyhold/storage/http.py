"""HTTP client for the services of the platform."""

import dataclasses
import json
from typing import final
from urllib.parse import quote

import urllib3

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.settings import PlatformSettings

# 429 and 503 mean that the service did not accept the request; the calling code may retry it.
_UNAVAILABLE_STATUSES = (429, 503)
_MAX_POOL_CONNECTIONS = 8


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and body of a response."""

    status: int
    body: bytes


@final
class PlatformHttpClient:
    """Sends requests to one base URL; safe to use from any thread.

    No request is retried: if the response to a write was lost, a retry could hide that the write
    took effect.
    """

    def __init__(self, base_url: str, settings: PlatformSettings) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = settings.timeout_ms / 1000
        self._pool = urllib3.PoolManager(maxsize=_MAX_POOL_CONNECTIONS, retries=False)

    def send(self, method: str, path: str, body: bytes | None = None) -> HttpResponse:
        """Send a request; raise ``PlatformUnavailableError`` if there is no usable response."""
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
        if response.status in _UNAVAILABLE_STATUSES or response.status >= 500:
            raise PlatformUnavailableError(f"platform: {method} {url}: answered {response.status}")
        return HttpResponse(response.status, response.data)


def quote_key(key: str) -> str:
    """Return a key quoted as a single path segment."""
    return quote(key, safe="")


def parse_json_response(response: HttpResponse, resource: str) -> dict[str, object]:
    """Return the JSON object of a response with status 200.

    Raise ``PlatformUnavailableError`` for any other response.
    """
    if response.status != 200:
        raise PlatformUnavailableError(f"platform: {resource}: answered {response.status}")
    return parse_json_body(response, resource)


def parse_json_body(response: HttpResponse, resource: str) -> dict[str, object]:
    """Return the JSON object in the body of a response, whatever its status.

    Raise ``PlatformUnavailableError`` if the body is not a JSON object.
    """
    try:
        value = json.loads(response.body)
    except ValueError as error:
        raise PlatformUnavailableError(f"platform: {resource}: not JSON: {error}") from error
    if not isinstance(value, dict):
        raise PlatformUnavailableError(f"platform: {resource}: not a JSON object")
    return value
