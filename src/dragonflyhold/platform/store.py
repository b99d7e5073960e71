"""Client of the platform's metadata store: rows, transactions and the change feed."""

import asyncio
import base64
import dataclasses
import time
import weakref
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, final
from urllib.parse import urlencode

import orjson

from dragonflyhold.errors import DragonflyholdError, PlatformUnavailableError
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import (
    Call,
    Connection,
    Exchange,
    ExchangeError,
    FailureReason,
    Head,
)
from dragonflyhold.gateway.limits import MAX_STORE_BYTES
from dragonflyhold.gateway.logs import JsonLogger, describe
from dragonflyhold.gateway.model import Address
from dragonflyhold.gateway.tasks import limit_time
from dragonflyhold.platform.fields import DECODING_ERRORS, DecodeError, integer

# A call without a response for this long counts as failed. The store responds in 4 ms, or in 60
# times that when it is slow.
RESPONSE_TIMEOUT_S = 0.8
PAGE_ROWS = 500
# The operator's table, its key for the configuration and its key prefix for adapter versions.
OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
VERSION_PREFIX = "version/"
# The registry of upstreams; the platform calls them servers.
REGISTRY_TABLE = "servers"

# Header of all responses; the number rises by one each time that the store comes back from a copy
# some seconds old, after which row versions are given out again.
ERA_HEADER = b"store-era"
# Era of a store that does not state one, and of one that was never restored.
FIRST_ERA = 0
ERA_OF_NEW_STORE = 1
MAX_ERA_DIGITS = 9

# Calls whose latency is recorded. Calls to the feed are left out, as they wait for changes.
_OBSERVED_CALLS = {"/rows-get": "read", "/rows-tx": "write"}


@final
class HistoryTruncatedError(DragonflyholdError):
    """Raised if the feed does not hold all changes after the requested position."""


class StorePosition(NamedTuple):
    """A moment in the store's history.

    A version counts only within its era: a store that is restored from a copy begins a new era and
    gives out again the versions that it has lost.
    """

    era: int
    version: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the store; ``removed`` marks a deletion in the change feed."""

    key: str
    version: int
    value: bytes
    removed: bool = False
    era: int = FIRST_ERA

    @property
    def position(self) -> StorePosition:
        """Return the position of the row's last change."""
        return StorePosition(self.era, self.version)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RowSet:
    """Rows and the position of the whole store at which they were read."""

    rows: Sequence[StoredRow]
    version: int
    era: int = FIRST_ERA

    @property
    def position(self) -> StorePosition:
        """Return the position at which the rows were read."""
        return StorePosition(self.era, self.version)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    fields: dict[str, Any]
    era: int


@final
class MetadataStore:
    """Client of the store; a call without a valid response raises ``PlatformUnavailableError``.

    ``count`` receives the outcome of each call, ``observe`` the latency of reads and writes.
    """

    def __init__(
        self,
        address: Address,
        pool: ConnectionPool,
        count: Callable[[str], None] = lambda event: None,
        observe: Callable[[str, float], None] = lambda kind, seconds: None,
    ) -> None:
        self.address = address
        # Newest era that a response stated.
        self.era = FIRST_ERA
        self._subscribers: list[Callable[[], None]] = []
        self._log = JsonLogger("store")
        self._pool = pool
        self._count = count
        self._observe = observe
        # Era, time and hash of the last response on each connection.
        self._answered: weakref.WeakKeyDictionary[Connection, tuple[int, int, int]] = (
            weakref.WeakKeyDictionary()
        )

    async def read_table(self, table: str) -> RowSet:
        """Return all rows of a table in the part with the empty name, read page by page."""
        rows: list[StoredRow] = []
        position: StorePosition | None = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                query["from"] = start
            response = await self._call("GET", f"/rows-get?{urlencode(query)}")
            _check_status(response, table)
            page = _decode_rows(response)
            if position is not None and page.era != position.era:
                raise PlatformUnavailableError(f"store: {table}: restored between two pages")
            rows.extend(page.rows)
            # The feed after the first page's version covers changes made between the pages.
            position = page.position if position is None else position
            if not response.fields.get("more_pages") or not page.rows:
                return RowSet(rows, position.version, position.era)
            start = page.rows[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> StoredRow | None:
        """Return the row with a key in the part with the empty name, ``None`` without one."""
        query = {"table": table, "part": "", "from": key, "to": key + "\0", "limit": "1"}
        response = await self._call("GET", f"/rows-get?{urlencode(query)}")
        _check_status(response, table)
        return next((row for row in _decode_rows(response).rows if row.key == key), None)

    async def read_changes(self, table: str, after: StorePosition, wait_s: float) -> RowSet:
        """Return the changes after a position; wait up to ``wait_s`` if there is none yet."""
        query = {"table": table, "after": str(after.version), "wait_ms": str(int(wait_s * 1000))}
        response = await self._call("GET", f"/rows-feed?{urlencode(query)}", wait_s=wait_s)
        if response.status == 410 or response.era != after.era:
            raise HistoryTruncatedError(
                f"store: era {response.era} has not all changes of {table!r} after {after}"
            )
        _check_status(response, table)
        return _decode_rows(response)

    async def write(self, table: str, key: str, value: bytes, part: str = "") -> StorePosition:
        """Write a row and return the position of the write, after any earlier position.

        If it raises, the write may still have taken effect.
        """
        name = {"table": table, "part": part, "key": key}
        body = {
            "expected": [],
            "writes": [{**name, "value": base64.b64encode(value).decode()}],
            "remove": [],
        }
        response = await self._call("POST", "/rows-tx", orjson.dumps(body))
        _check_status(response, table)
        return StorePosition(response.era, _decode_version(response.fields))

    async def remove(self, table: str, key: str) -> None:
        """Remove a row, if it exists; if it raises, the row may still have been removed."""
        row = {"table": table, "part": "", "key": key}
        body = {"expected": [], "writes": [], "remove": [row]}
        _check_status(await self._call("POST", "/rows-tx", orjson.dumps(body)), table)

    def subscribe_restored(self, subscriber: Callable[[], None]) -> None:
        """Call ``subscriber`` each time that a response states a later era than those before."""
        self._subscribers.append(subscriber)

    @property
    def was_restored(self) -> bool:
        """Whether the store has ever been restored, as far as known."""
        return self.era > ERA_OF_NEW_STORE

    def _note_era(self, head: Head) -> int:
        """Return the era of a response; raise ``PlatformUnavailableError`` if it is over."""
        era = _decode_era(head)
        if era is None:
            return self.era
        if era < self.era:
            raise PlatformUnavailableError(f"store: response of era {era} in era {self.era}")
        if era > self.era:
            before, self.era = self.era, era
            if before != FIRST_ERA:
                self._log.warning("The store was restored from a copy.", era=era, before=before)
                self._count("store_restored")
                for subscriber in self._subscribers:
                    subscriber()
        return era

    def _check_order(
        self, exchange: Exchange, head: Head, fields: dict[str, Any] | None, content_hash: int
    ) -> None:
        """Raise ``ExchangeError`` for a response that came before on the same connection.

        Responses don't name their calls, but state the store's clock. A connection is not reused
        after one that states none, as the own response may still follow it.
        """
        now_ms = fields.get("now_ms") if fields is not None else None
        if not isinstance(now_ms, int):
            exchange.discard()
            return
        last = self._answered.get(exchange.connection)
        era = _decode_era(head)
        if era is None:
            era = last[0] if last is not None else FIRST_ERA
        sent_at = (era, now_ms)
        if last is not None and (sent_at < last[:2] or (*sent_at, content_hash) == last):
            exchange.discard()
            raise ExchangeError(FailureReason.MALFORMED, True, "the response to an earlier call")
        self._answered[exchange.connection] = (*sent_at, content_hash)

    async def _call(
        self, method: str, target: str, body: bytes = b"", wait_s: float = 0.0
    ) -> _Response:
        headers = [(b"Host", self.address.encode()), (b"Content-Type", b"application/json")]
        call = Call(method.encode(), target.encode(), headers, body)
        exchange = None
        started = time.monotonic()
        try:
            async with limit_time(wait_s + RESPONSE_TIMEOUT_S):
                exchange = await self._pool.send(self.address, call)
                head = await exchange.read_head()
                data = await exchange.read_body(MAX_STORE_BYTES)
            fields = _decode_object(data)
            self._check_order(exchange, head, fields, hash(data))
        except asyncio.CancelledError:
            # The caller doubts the connection, and those that were idle meanwhile are no better.
            self._pool.close_idle(self.address)
            raise
        except (ExchangeError, TimeoutError) as error:
            if isinstance(error, TimeoutError):
                self._pool.close_idle(self.address)
            self._count("store_call_lost")
            raise PlatformUnavailableError(f"store: {method} {target}: {error!r}") from error
        finally:
            if exchange is not None:
                self._pool.release(self.address, exchange)
            kind = _OBSERVED_CALLS.get(target.partition("?")[0])
            if kind is not None:
                self._observe(kind, time.monotonic() - started)
        era = self._note_era(head)
        self._count(f"store_call_{head.status}")
        if head.status in (429, 503) or head.status >= 500:
            raise PlatformUnavailableError(
                f"store: {method} {target}: unexpected status {head.status}"
            )
        if fields is None:
            raise PlatformUnavailableError(f"store: {method} {target}: not an object")
        return _Response(head.status, fields, era)


def _check_status(response: _Response, table: str) -> None:
    if response.status != 200:
        raise PlatformUnavailableError(f"store: {table}: unexpected status {response.status}")


def _decode_object(data: bytes) -> dict[str, Any] | None:
    """Return the object in a response, empty for an empty one, ``None`` if it is not valid."""
    try:
        fields = orjson.loads(data) if data else {}
    except ValueError:
        return None
    return fields if isinstance(fields, dict) else None


def _decode_version(fields: dict[str, Any]) -> int:
    try:
        return integer(fields.get("row_version"))
    except DecodeError as error:
        raise PlatformUnavailableError("store: the response has no valid version") from error


def _decode_era(head: Head) -> int | None:
    value = head.fields.get(ERA_HEADER, b"")
    return int(value) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else None


def _decode_rows(response: _Response) -> RowSet:
    try:
        rows = [_decode_row(row, response.era) for row in response.fields["rows"]]
    except DECODING_ERRORS as error:
        raise PlatformUnavailableError(f"store: invalid row: {describe(error)}") from error
    return RowSet(rows, _decode_version(response.fields), response.era)


def _decode_row(fields: dict[str, Any], era: int) -> StoredRow:
    key = fields["key"]
    if not isinstance(key, str):
        raise TypeError("the key is not a text")
    try:
        value = base64.b64decode(fields.get("value") or "", validate=True)
    except (TypeError, ValueError):
        # Its reader rejects an empty value; the other rows must not wait for a valid one.
        value = b""
    return StoredRow(key, integer(fields["row_version"]), value, bool(fields.get("removed")), era)
