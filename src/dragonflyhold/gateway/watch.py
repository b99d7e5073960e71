"""Watches one table of the metadata store and keeps a local copy of its rows.

Each key is kept with the version of its last change, so that a stale read never reverts a newer
change. The rows are kept during an outage; ``unavailable_since`` is the time at which it began.
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

# Longest wait for a change in one call. Together with the response timeout it stays below the 3 s
# after which a VM whose connections fell silent counts as in contact again.
FEED_WAIT_S = 2.0
# Delay after a failed call: doubles up to the maximum, with jitter.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5


@final
@dataclasses.dataclass(slots=True)
class _KeyState:
    version: int
    removed: bool


@final
class TableWatch:
    """Delivers each change of a table once, ordered by version for each key."""

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
        # Monotonic time since which no call has succeeded, ``None`` while the store is available.
        self.unavailable_since: float | None = clock()
        self.available_since = clock()
        self.rows: dict[str, StoredRow] = {}
        self._store = store
        self._on_change = on_change
        self._pause_s = pause_s
        self._clock = clock
        self._key_states: dict[str, _KeyState] = {}
        self._version: int | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._log = JsonLogger("store")

    async def run(self) -> None:
        """Watch the table until cancelled."""
        while True:
            try:
                await self._read_once()
            except HistoryTruncatedError as error:
                self._log.warning(
                    "The store no longer has the requested changes; the whole table is read again.",
                    table=self.table,
                    error=str(error),
                )
                self._version = None
            except PlatformUnavailableError as error:
                self._note_unavailable(error)
                await asyncio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
                self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
            else:
                if self._pause_s:
                    await asyncio.sleep(self._pause_s)

    async def _read_once(self) -> None:
        if self._version is None:
            rows = await self._store.read_table(self.table)
            self._note_available()
            self.apply_snapshot(rows)
        else:
            rows = await self._store.read_changes(self.table, self._version, FEED_WAIT_S)
            self._note_available()
            self.apply_changes(rows)

    def apply_snapshot(self, rows: RowSet) -> None:
        """Apply a read of the whole table.

        A key that the read lacks was removed, unless its last change is newer than the read.
        """
        for row in rows.rows:
            self._apply(row)
        present = {row.key for row in rows.rows}
        for key, state in list(self._key_states.items()):
            if key not in present and not state.removed and state.version <= rows.version:
                self._apply(StoredRow(key, rows.version, b"", removed=True))
        self._version = rows.version
        self.has_read = True

    def apply_peer_rows(self, rows: Iterable[StoredRow]) -> None:
        """Apply rows that a peer has read; the store is read as well when it is available."""
        for row in rows:
            self._apply(row)

    def apply_changes(self, rows: RowSet) -> None:
        """Apply changes from the feed."""
        for row in rows.rows:
            self._apply(row)
        self._version = max(rows.version, self._version or 0)

    def _apply(self, row: StoredRow) -> None:
        state = self._key_states.get(row.key)
        if state is not None and (
            row.version < state.version
            or (row.version == state.version and row.removed == state.removed)
        ):
            return
        if state is None and row.removed:
            return
        self._key_states[row.key] = _KeyState(row.version, row.removed)
        if row.removed:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row
        self._on_change(row)

    def _note_unavailable(self, error: PlatformUnavailableError) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = self._clock()
            self._log.warning("The store is unavailable.", table=self.table, error=str(error))

    def _note_available(self) -> None:
        self._backoff_s = MIN_BACKOFF_S
        if self.unavailable_since is not None:
            now = self._clock()
            self._log.info(
                "The store is available.",
                table=self.table,
                lost_for_s=round(now - self.unavailable_since, 3),
            )
            self.unavailable_since = None
            self.available_since = now
