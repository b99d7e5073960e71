"""Exchange of store snapshots between gateways, so that one can start during a store outage."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, final

import msgpack

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.limits import MAX_SNAPSHOT_BYTES
from dragonflyhold.gateway.logs import JsonLogger, describe
from dragonflyhold.gateway.model import Address
from dragonflyhold.gateway.responder import Responder
from dragonflyhold.gateway.tasks import limit_time
from dragonflyhold.gateway.watch import TableWatch
from dragonflyhold.platform.fields import DECODING_ERRORS, DecodeError, integer
from dragonflyhold.platform.store import FIRST_ERA, StoredRow

SNAPSHOT_TARGET = b"/snapshot"
# Time to wait for the store before peers are queried, and the delay between two rounds of queries.
PEER_DELAY_S = 0.3
ROUND_PAUSE_S = 0.5
READ_CHECK_S = 0.02
FETCH_TIMEOUT_S = 1.0


# Tables of a snapshot that hold the eras of the rows of another one, in place of their versions. An
# earlier build ignores tables that it does not know.
ERA_SUFFIX = "@era"


class PeerError(DragonflyholdError):
    """A peer returned no usable snapshot."""


@final
class PeerSnapshots:
    """Serves this gateway's tables to peers, and fetches theirs at the start if that is needed.

    It is while the store is unavailable, and if the store was ever restored: it may not have got
    back yet what it has lost, while peers know it.
    """

    def __init__(
        self,
        watches: Sequence[TableWatch],
        pool: ConnectionPool,
        was_store_restored: Callable[[], bool],
    ) -> None:
        # Whether the tables are as new as the store or a peer can tell.
        self.is_complete = False
        self._watches = {watch.table: watch for watch in watches}
        self._pool = pool
        self._was_store_restored = was_store_restored
        self._log = JsonLogger("peers")

    async def serve_snapshot(self, request: ClientRequest, responder: Responder) -> None:
        """Handle a peer's request for the rows of all tables."""
        if request.target != SNAPSHOT_TARGET:
            responder.send(404, [])
            return
        tables = {
            name: [(row.key, row.version, row.value) for row in watch.table_rows.rows.values()]
            for name, watch in self._watches.items()
        }
        eras = {
            name + ERA_SUFFIX: [(row.key, row.era, b"") for row in watch.table_rows.rows.values()]
            for name, watch in self._watches.items()
        }
        responder.send(200, [], msgpack.packb({**tables, **eras}))

    async def fetch_from_seeds(self, seeds: Sequence[Address]) -> None:
        """Query seeds until all tables are read from the store or a seed has returned rows.

        If the store was ever restored, each seed is queried once even then.
        """
        if await self._is_read_within(PEER_DELAY_S) and not self._was_store_restored():
            self.is_complete = True
            return
        while True:
            has_rows = False
            for seed in random.sample(list(seeds), len(seeds)):
                try:
                    tables = await self._fetch_snapshot(seed)
                except PeerError as error:
                    self._log.warning(
                        "A seed returned no usable snapshot.", seed=seed, error=str(error)
                    )
                    continue
                for name, watch in self._watches.items():
                    watch.table_rows.apply_peer_rows(tables.get(name, []))
                rows = sum(len(table) for table in tables.values())
                self._log.info("A snapshot was fetched from a seed.", seed=seed, rows=rows)
                has_rows |= rows > 0
                if rows and not self._was_store_restored():
                    break
            if has_rows:
                self.is_complete = True
                return
            if await self._is_read_within(ROUND_PAUSE_S):
                self.is_complete = True
                return

    async def _is_read_within(self, seconds: float) -> bool:
        """Wait until all tables are read from the store; return whether they are in time."""
        end = time.monotonic() + seconds
        while not all(watch.has_read for watch in self._watches.values()):
            if time.monotonic() >= end:
                return False
            await asyncio.sleep(READ_CHECK_S)
        return True

    async def _fetch_snapshot(self, seed: Address) -> dict[str, list[StoredRow]]:
        started = time.monotonic()
        exchange = None
        try:
            async with limit_time(FETCH_TIMEOUT_S):
                call = Call(b"GET", SNAPSHOT_TARGET, [(b"Host", seed.encode())])
                exchange = await self._pool.send(seed, call)
                head = await exchange.read_head()
                data = await exchange.read_body(MAX_SNAPSHOT_BYTES)
            if head.status != 200:
                raise PeerError(f"unexpected status {head.status}")
            tables = msgpack.unpackb(data)
            return {name: _decode_table(tables, name) for name in self._watches}
        except (ExchangeError, TimeoutError, *DECODING_ERRORS) as error:
            elapsed = time.monotonic() - started
            raise PeerError(f"{describe(error)} after {elapsed:.3f} s") from error
        finally:
            if exchange is not None:
                self._pool.release(seed, exchange)


def _decode_table(tables: dict[str, Any], name: str) -> list[StoredRow]:
    eras = {key: integer(era) for key, era, _ in tables.get(name + ERA_SUFFIX, [])}
    return [_decode_row(eras, *row) for row in tables.get(name, [])]


def _decode_row(eras: dict[str, int], key: Any, version: Any, value: Any) -> StoredRow:
    if not isinstance(key, str) or not isinstance(value, bytes):
        raise DecodeError("a row has no valid key or value")
    return StoredRow(key, integer(version), value, era=eras.get(key, FIRST_ERA))
