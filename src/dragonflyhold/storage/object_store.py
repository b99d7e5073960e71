"""Client of the object store."""

from typing import final

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.settings import PlatformSettings
from dragonflyhold.storage.http import PlatformHttpClient, quote_key


@final
class HttpObjectStore:
    """Implements ``ObjectStore`` over HTTP; safe to use from any thread."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._client = PlatformHttpClient(settings.object_store_url, settings)

    def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        response = self._client.send("GET", f"/v1/objects/{quote_key(key)}")
        if response.status == 404:
            return None
        if response.status != 200:
            raise PlatformUnavailableError(f"platform: object {key!r}: answered {response.status}")
        return response.body

    def put(self, key: str, data: bytes) -> None:
        """Create or replace an object."""
        response = self._client.send("PUT", f"/v1/objects/{quote_key(key)}", data)
        if response.status not in (200, 201, 204):
            raise PlatformUnavailableError(f"platform: object {key!r}: answered {response.status}")
