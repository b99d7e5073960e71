"""Which service the engine beside an agent belongs to.

The address of an engine that has ended may pass on to an engine of another service. What the
settings name is therefore only the service of the first one; the entry under the id that an engine
states names its service.
"""

import asyncio
import random
from collections.abc import Callable
from typing import final

import orjson

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import EngineSpec, UpstreamId
from dragonflyhold.ids import ServiceName
from dragonflyhold.platform.codec import DecodeError, decode_upstream
from dragonflyhold.platform.engine import EngineControl
from dragonflyhold.platform.store import REGISTRY_TABLE, MetadataStore, StoredRow

# Delay before an entry that is missing, or that the store could not return, is read again: doubles
# up to the maximum, with jitter.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


@final
class EngineIdentity:
    """The id of an agent's engine and its service, unknown after each start of an engine.

    Ids are never given to another engine, so that an entry is read once for each id. No entry is
    read if the only engine service of the configuration is the one in the settings.
    """

    def __init__(
        self,
        named: ServiceName | None,
        catalogue: Catalogue,
        store: MetadataStore,
        on_known: Callable[[], None],
    ) -> None:
        self.upstream_id: UpstreamId | None = None
        self._named = named
        self._catalogue = catalogue
        self._store = store
        self._on_known = on_known
        # The last entry that was read: whose it is, and the service that it names.
        self._entry: tuple[UpstreamId, ServiceName] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._log = JsonLogger("agent")

    @property
    def spec(self) -> EngineSpec | None:
        """Return the engine limits of the engine's service, ``None`` while that is unknown."""
        name = self._service_name()
        return self._catalogue.engine_spec(name) if name is not None else None

    def forget(self) -> None:
        """Note that another engine, or the same one anew, answers at the address."""
        self.upstream_id = None

    async def update(self, engine: EngineControl) -> None:
        """Ask the engine for its id if that is unknown; begin to read its entry if needed."""
        if self.upstream_id is None:
            for path in self._health_paths():
                self.upstream_id = await engine.identify(path)
                if self.upstream_id is not None:
                    break
        if self.upstream_id is None or self._service_name() is not None:
            return
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._read_entry())

    def close(self) -> None:
        """Stop reading."""
        if self._reading is not None:
            self._reading.cancel()

    def _service_name(self) -> ServiceName | None:
        sole = self._catalogue.sole_engine_service()
        if sole is not None and self._named in (None, sole.name):
            return sole.name
        if self._entry is not None and self._entry[0] == self.upstream_id:
            return self._entry[1]
        return None

    def _health_paths(self) -> list[str]:
        """Return the health paths of all engine services, first that of the named one."""
        services = sorted(
            self._catalogue.engine_services(), key=lambda service: service.name != self._named
        )
        return list(dict.fromkeys(service.health_path for service in services))

    async def _read_entry(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while (upstream_id := self.upstream_id) is not None and self._service_name() is None:
            try:
                row = await self._store.read_row(REGISTRY_TABLE, upstream_id)
                name = _decode_service(row)
            except (PlatformUnavailableError, DecodeError, ValueError) as error:
                self._log.info(
                    "The engine's entry could not be read; nothing is ordered meanwhile.",
                    runner=upstream_id,
                    error=str(error),
                )
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            self._entry = (upstream_id, name)
            self._log.info(
                "The engine's service is known.",
                runner=upstream_id,
                service=name,
                named_in_settings=self._named,
            )
            self._on_known()


def _decode_service(row: StoredRow | None) -> ServiceName:
    if row is None:
        raise DecodeError("there is no entry")
    return decode_upstream(row.key, orjson.loads(row.value)).service
