"""Keeps the crashes that led to a refusal in the store, for a restart of all VMs at once."""

import asyncio
import dataclasses
import functools
import random
import time
from collections.abc import Awaitable, Callable
from typing import final

import msgpack

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway.crash_evidence import CrashEvidence, CrashRecord, Trait
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.messages import CrashUpdate, MessageError, decode, encode
from dragonflyhold.platform.store import MetadataStore, StoredRow

CRASH_TABLE = "dragonflyhold-crashes"
RETRY_S = 1.0
MAX_RETRIES = 20
# All gateways find a cause at about the same time; they write its row one after the other.
MAX_WRITE_DELAY_S = 1.0
# All gateways write their rows again after a restore of the store.
MAX_REWRITE_DELAY_S = 5.0
# Removed rows that are kept in mind for a restore.
MAX_REMOVED = 64
# Records of a cause that are kept, and requests of each of them.
MAX_RECORDS = 8
MAX_REQUESTS = 2


@final
class CrashArchive:
    """Rows of the store, one for each trait that is refused."""

    def __init__(
        self,
        store: MetadataStore,
        evidence: CrashEvidence,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._evidence = evidence
        self._wall_clock = wall_clock
        self._removed: dict[Trait, None] = {}
        self._log = JsonLogger("quarantine")

    async def load(self) -> None:
        """Add the stored records to the evidence, as soon as the store can be read."""
        while True:
            try:
                rows = (await self._store.read_table(CRASH_TABLE)).rows
                break
            except PlatformUnavailableError:
                await asyncio.sleep(RETRY_S)
        for row in rows:
            try:
                self._evidence.apply(self._decode(row))
            except (MessageError, ValueError, TypeError, msgpack.UnpackException) as error:
                self._log.warning("A stored crash can't be read.", key=row.key, error=repr(error))
        self._log.info("The stored crashes were read.", traits=len(rows))

    async def save(self, trait: Trait) -> None:
        """Write the records of a trait that is refused now."""
        self._removed.pop(trait, None)
        await asyncio.sleep(random.uniform(0.0, MAX_WRITE_DELAY_S))
        if trait in self._removed:
            return
        records = [
            _shorten(record, trait)
            for record in self._evidence.records()
            if trait in record.traits() and trait not in record.sound
        ]
        update = self._evidence.encode(records[-MAX_RECORDS:])
        value = msgpack.packb((self._wall_clock(), encode(update)))
        await self._retry(lambda: self._store.write(CRASH_TABLE, trait.hex(), value))

    async def remove(self, trait: Trait) -> None:
        """Remove the row of a trait that is no longer refused."""
        self._removed[trait] = None
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        await self._retry(lambda: self._store.remove(CRASH_TABLE, trait.hex()))

    async def repeat(self, refused: frozenset[Trait]) -> None:
        """Write and remove the rows again that a restored store has lost, or has back.

        All gateways do so; most find that another one was faster.
        """
        await asyncio.sleep(random.uniform(0.0, MAX_REWRITE_DELAY_S))
        try:
            stored = {row.key for row in (await self._store.read_table(CRASH_TABLE)).rows}
        except PlatformUnavailableError:
            stored = {trait.hex() for trait in self._removed}
        for trait in refused:
            if trait.hex() not in stored and trait not in self._removed:
                await self.save(trait)
        for trait in list(self._removed):
            if trait.hex() in stored:
                await self._retry(functools.partial(self._store.remove, CRASH_TABLE, trait.hex()))

    async def _retry(self, call: Callable[[], Awaitable[object]]) -> None:
        for _ in range(MAX_RETRIES):
            try:
                await call()
                return
            except PlatformUnavailableError:
                await asyncio.sleep(RETRY_S)
        self._log.warning("The store did not take what is known of crashes.")

    def _decode(self, row: StoredRow) -> CrashUpdate:
        written_at, data = msgpack.unpackb(row.value)
        message = decode(msgpack.unpackb(data))
        if not isinstance(message, CrashUpdate):
            raise MessageError(f"{message!r} is no crash record")
        passed_s = max(0.0, self._wall_clock() - written_at)
        return CrashUpdate(
            [dataclasses.replace(crash, age_s=crash.age_s + passed_s) for crash in message.rows]
        )


def _shorten(record: CrashRecord, trait: Trait) -> CrashRecord:
    """Return a record with only a few of the requests that have a trait."""
    requests = {
        content: tuple(part for part in parts if part == trait)
        for content, parts in sorted(record.requests.items())
        if trait in (content, *parts)
    }
    return dataclasses.replace(
        record, requests=dict(list(requests.items())[:MAX_REQUESTS]), sound=set()
    )
