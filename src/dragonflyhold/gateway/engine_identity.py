"""Which service the engine beside an agent belongs to.

The address of an engine that has ended may pass on to an engine of another service. What the
settings name is therefore only the service of the first one; the entry under the id that an engine
states names its service. A full engine may reject health checks and so state no id. Its entry is
then the one with its address and the start time that its reports state.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import final

import orjson

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import Address, EngineSpec, Upstream, UpstreamId
from dragonflyhold.ids import ServiceName
from dragonflyhold.platform.codec import DecodeError, decode_upstream, find_upstream
from dragonflyhold.platform.engine import EngineControl
from dragonflyhold.platform.store import REGISTRY_TABLE, MetadataStore

# Delay before an entry that is missing, or that the store could not return, is read again: doubles
# up to the maximum, with jitter.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# The same for reads of the whole registry, which cost a call for each page of it.
MIN_TABLE_BACKOFF_S = 0.2
MAX_TABLE_BACKOFF_S = 5.0


@final
class EngineIdentity:
    """The id of an agent's engine and its service, unknown after each start of an engine.

    Ids are never given to another engine, so that an entry is read once for each id. No entry is
    read if the only engine service of the configuration is the one in the settings. ``address`` is
    the engine's; without it, the engine's entry can't be found unless it states its id.
    """

    def __init__(
        self,
        address: Address | None,
        named: ServiceName | None,
        catalogue: Catalogue,
        store: MetadataStore,
        on_known: Callable[[], None],
    ) -> None:
        self.upstream_id: UpstreamId | None = None
        self._address = address
        # Start time that the engine's reports state; 0 if it is unknown.
        self._start_time_ms = 0
        # Health checks since the last start of an engine, none of which told its id.
        self._failed_checks = 0
        self._id_changed = asyncio.Event()
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

    def forget(self, start_time_ms: int) -> None:
        """Note that another engine, or the same one anew, answers at the address."""
        self.upstream_id = None
        self._start_time_ms = start_time_ms
        self._failed_checks = 0
        self._id_changed.set()

    async def update(self, engine: EngineControl) -> None:
        """Ask the engine for its id if that is unknown; begin to read its entry if needed.

        Each call asks at the health path of one service, in turn.
        """
        if self.upstream_id is None:
            await self._ask(engine)
        if self._service_name() is not None or not self._can_read():
            return
        if self._reading is None or self._reading.done():
            self._reading = asyncio.get_running_loop().create_task(self._read_entry())

    async def _ask(self, engine: EngineControl) -> None:
        paths = self._health_paths()
        if not paths:
            return
        stated = await engine.identify(paths[self._failed_checks % len(paths)])
        if stated is not None:
            self.upstream_id = stated
            self._id_changed.set()
        elif self.upstream_id is None:
            self._failed_checks += 1

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

    def _can_read(self) -> bool:
        return self.upstream_id is not None or self._failed_checks > 0

    async def _read_entry(self) -> None:
        backoff_s, table_backoff_s = MIN_BACKOFF_S, MIN_TABLE_BACKOFF_S
        while self._service_name() is None and self._can_read():
            self._id_changed.clear()
            is_id_known = self.upstream_id is not None
            try:
                entry = await (self._read_own() if is_id_known else self._search())
            except (PlatformUnavailableError, DecodeError, ValueError) as error:
                self._log.info(
                    "The engine's entry could not be read; nothing is ordered meanwhile.",
                    runner=self.upstream_id,
                    born=self._start_time_ms,
                    error=str(error),
                )
                wait_s = backoff_s if is_id_known else table_backoff_s
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s * random.uniform(0.5, 1.0)):
                        await self._id_changed.wait()
                if is_id_known:
                    backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                else:
                    table_backoff_s = min(table_backoff_s * 2, MAX_TABLE_BACKOFF_S)
                continue
            self._entry = (entry.upstream_id, entry.service)
            self._log.info(
                "The engine's service is known.",
                runner=entry.upstream_id,
                service=entry.service,
                named_in_settings=self._named,
                is_id_stated=is_id_known,
            )
            self._on_known()

    async def _read_own(self) -> Upstream:
        """Read the entry under the id that the engine stated."""
        assert self.upstream_id is not None
        row = await self._store.read_row(REGISTRY_TABLE, self.upstream_id)
        if row is None:
            raise DecodeError("there is no entry")
        return decode_upstream(row.key, orjson.loads(row.value))

    async def _search(self) -> Upstream:
        """Search the registry for the entry of the engine's address and start time."""
        start_time_ms = self._start_time_ms
        if self._address is None or not start_time_ms:
            raise DecodeError("neither the engine's id nor its address and start time are known")
        rows = (await self._store.read_table(REGISTRY_TABLE)).rows
        upstream = find_upstream(rows, self._address, start_time_ms)
        if upstream is None:
            raise DecodeError("there is no entry with the engine's address and start time")
        if self.upstream_id is not None or self._start_time_ms != start_time_ms:
            raise DecodeError("the engine's id or start time changed meanwhile")
        self.upstream_id = upstream.upstream_id
        return upstream
