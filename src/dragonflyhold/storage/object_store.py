"""Client of the object store."""

from typing import final

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.settings import PlatformSettings
from dragonflyhold.storage.http import HttpService, quote_key


@final
class HttpObjectStore:
    """Implements ``ObjectStore`` over HTTP; safe to use from any thread."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._http = HttpService(settings.object_store_url, settings)

    def get(self, key: str) -> bytes | None:
        """Return an object."""
        reply = self._http.send("GET", f"/v1/objects/{quote_key(key)}")
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise PlatformUnavailableError(f"platform: object {key!r}: answered {reply.status}")
        return reply.body

    def put(self, key: str, data: bytes) -> None:
        """Write an object whole."""
        reply = self._http.send("PUT", f"/v1/objects/{quote_key(key)}", data)
        if reply.status not in (200, 201, 204):
            raise PlatformUnavailableError(f"platform: object {key!r}: answered {reply.status}")
