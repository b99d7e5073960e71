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

# Longest wait for a change in one call, for a watch that nothing else tells of silent connections.
# Together with the response timeout it stays below the 3 s after which a VM whose connections fell
# silent counts as in contact again.
FEED_WAIT_S = 2.0
# Longest wait of a watch that is restarted once peers know of a later change, or once calls to the
# store work again. The waits of different processes end at different times.
LONG_FEED_WAIT_S = 20.0
LONG_WAIT_JITTER = 0.25
# Time for which a change that a peer knows of may still arrive by the own call, and the shortest
# interval between two restarts.
HINT_DELAY_S = 0.15
MIN_RESTART_S = 1.0
# Ignored rows of one read that are logged with their versions.
MAX_LOGGED_ROWS = 8
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
        wait_s: float = FEED_WAIT_S,
        on_recovered: Callable[[], None] = lambda: None,
    ) -> None:
        self.table = table
        # Highest version of a change that was applied.
        self.last_change = 0
        self.has_read = False
        # Monotonic time since which no call has succeeded, ``None`` while the store is available.
        self.unavailable_since: float | None = clock()
        self.available_since = clock()
        self.rows: dict[str, StoredRow] = {}
        self._store = store
        self._on_change = on_change
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._on_recovered = on_recovered
        self._clock = clock
        self._key_states: dict[str, _KeyState] = {}
        self._version: int | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._read: asyncio.Task[None] | None = None
        self._is_restarting = False
        self._restarted_at = -MIN_RESTART_S
        self._is_hint_pending = False
        self._log = JsonLogger("store")

    def note_hint(self, change: int) -> None:
        """Restart the read soon if a peer knows of a change that this watch lacks.

        The connection of the pending call may have fallen silent.
        """
        if not self._lacks(change) or self._is_hint_pending:
            return
        self._is_hint_pending = True
        asyncio.get_running_loop().call_later(HINT_DELAY_S, self._check_hint, change)

    def restart(self) -> None:
        """Give up the pending call and read again on another connection."""
        if self._read is not None and self._version is not None:
            self._is_restarting = True
            self._restarted_at = self._clock()
            self._read.cancel()

    def _lacks(self, change: int) -> bool:
        return self._version is not None and change > max(self._version, self.last_change)

    def _check_hint(self, change: int) -> None:
        self._is_hint_pending = False
        if self._lacks(change) and self._clock() - self._restarted_at >= MIN_RESTART_S:
            self._log.warning(
                "A peer knows of a later change; the table is read again.",
                table=self.table,
                change=change,
                position=self._version,
            )
            self.restart()

    async def run(self) -> None:
        """Watch the table until cancelled."""
        while True:
            try:
                await self._read_or_restart()
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

    async def _read_or_restart(self) -> None:
        self._read = asyncio.get_running_loop().create_task(self._read_once())
        try:
            await self._read
        except asyncio.CancelledError:
            if not self._is_restarting:
                raise
        finally:
            self._is_restarting = False
            self._read = None

    async def _read_once(self) -> None:
        if self._version is None:
            rows = await self._store.read_table(self.table)
            self._note_available()
            self.apply_snapshot(rows)
        else:
            jitter = random.uniform(1 - LONG_WAIT_JITTER, 1.0)
            wait_s = self._wait_s if self._wait_s <= FEED_WAIT_S else self._wait_s * jitter
            rows = await self._store.read_changes(self.table, self._version, wait_s)
            self._note_available()
            self.apply_changes(rows)

    def apply_snapshot(self, rows: RowSet) -> None:
        """Apply a read of the whole table.

        A key that the read lacks was removed, unless its last change is newer than the read.
        """
        self._apply_all(rows)
        present = {row.key for row in rows.rows}
        for key, state in list(self._key_states.items()):
            if key not in present and not state.removed and state.version <= rows.version:
                self._apply(StoredRow(key, rows.version, b"", removed=True))
        self._version = rows.version
        self.has_read = True

    def apply_peer_rows(self, rows: Iterable[StoredRow]) -> None:
        """Apply rows that a peer has read; the store is read as well when it is available.

        A row that an own read of the same or a later version lacks was removed, and is ignored.
        """
        position = self._version if self._version is not None else -1
        for row in rows:
            if row.key in self._key_states or row.version > position:
                self._apply(row)

    def apply_changes(self, rows: RowSet) -> None:
        """Apply changes from the feed."""
        self._apply_all(rows)
        self._version = max(rows.version, self._version or 0)

    def _apply_all(self, rows: RowSet) -> None:
        older = [row for row in rows.rows if self._is_older(row)]
        for row in rows.rows:
            self._apply(row)
        if older:
            self._log.info(
                "Rows older than the known ones were ignored.",
                table=self.table,
                rows={row.key: row.version for row in older[:MAX_LOGGED_ROWS]},
                known={
                    row.key: self._key_states[row.key].version for row in older[:MAX_LOGGED_ROWS]
                },
                count=len(older),
                position=rows.version,
            )

    def _is_older(self, row: StoredRow) -> bool:
        state = self._key_states.get(row.key)
        return state is not None and row.version < state.version

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
        self.last_change = max(self.last_change, row.version)
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
            self._on_recovered()
