"""Follows one table of the metadata store and keeps what it last said.

State per key carries the version of its last change, so that a stale read never undoes a newer
change. An outage keeps the last state; ``unavailable_since`` tells its age.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Iterable
from typing import final

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.platform.store import HistoryTruncatedError, MetadataStore, RowSet, StoredRow

# How long one call waits for a change: with the answer timeout it stays under the 3 s after which
# a VM whose channels went silent counts as in touch again.
FEED_WAIT_S = 2.0
# Pause after a failed call, doubling up to the maximum, with jitter.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5


@final
@dataclasses.dataclass(slots=True)
class _Known:
    version: int
    removed: bool


@final
class TableWatch:
    """Delivers each change of a table once, in the order of the versions of each key."""

    def __init__(
        self,
        store: MetadataStore,
        table: str,
        on_change: Callable[[StoredRow], None],
        pause_s: float = 0.0,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self.table = table
        self.has_read = False
        # Monotonic time since when no call succeeded, ``None`` while the store answers.
        self.unavailable_since: float | None = clock()
        self.available_since = clock()
        self.rows: dict[str, StoredRow] = {}
        self._store = store
        self._on_change = on_change
        self._pause_s = pause_s
        self._clock = clock
        self._known: dict[str, _Known] = {}
        self._version: int | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._log = JsonLogger("store")

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryTruncatedError as error:
                self._log.warning("The feed's history is lost.", table=self.table, error=str(error))
                self._version = None
            except PlatformUnavailableError as error:
                self._note_unavailable(error)
                await asyncio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
                self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
            else:
                if self._pause_s:
                    await asyncio.sleep(self._pause_s)

    async def _step(self) -> None:
        if self._version is None:
            rows = await self._store.read_table(self.table)
            self._regained()
            self.apply_snapshot(rows)
        else:
            rows = await self._store.read_changes(self.table, self._version, FEED_WAIT_S)
            self._regained()
            self.apply_changes(rows)

    def apply_snapshot(self, rows: RowSet) -> None:
        """Take in a whole read; keys that it lacks are gone unless they are newer than it."""
        for row in rows.rows:
            self._apply(row)
        present = {row.key for row in rows.rows}
        for key, known in list(self._known.items()):
            if key not in present and not known.removed and known.version <= rows.version:
                self._apply(StoredRow(key, rows.version, b"", removed=True))
        self._version = rows.version
        self.has_read = True

    def apply_peer_rows(self, rows: Iterable[StoredRow]) -> None:
        """Take in rows that a peer had read; the store's own word follows when it answers."""
        for row in rows:
            self._apply(row)

    def apply_changes(self, rows: RowSet) -> None:
        """Take in a part of the feed."""
        for row in rows.rows:
            self._apply(row)
        self._version = max(rows.version, self._version or 0)

    def _apply(self, row: StoredRow) -> None:
        known = self._known.get(row.key)
        if known is not None and (
            row.version < known.version
            or (row.version == known.version and row.removed == known.removed)
        ):
            return
        if known is None and row.removed:
            return
        self._known[row.key] = _Known(row.version, row.removed)
        if row.removed:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row
        self._on_change(row)

    def _note_unavailable(self, error: PlatformUnavailableError) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = self._clock()
            self._log.warning("The store is lost.", table=self.table, error=str(error))

    def _regained(self) -> None:
        self._backoff_s = MIN_BACKOFF_S
        if self.unavailable_since is not None:
            now = self._clock()
            self._log.info(
                "The store answers.",
                table=self.table,
                lost_for_s=round(now - self.unavailable_since, 3),
            )
            self.unavailable_since = None
            self.available_since = now
