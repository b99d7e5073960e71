"""Local copy of the rows of one table, as read from the store and told by peers; does no I/O.

Each key is kept with the position of its last change, so that a stale read never reverts a newer
change. After a restore of the store, positions do not tell whether a row of the copy is older than
the known one of its key: their contents decide, until a row was written after the restore.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.logs import JsonLogger, describe
from dragonflyhold.platform.store import FIRST_ERA, RowSet, StoredRow, StorePosition

# Time after a restore within which the owners of lost rows write them again.
REWRITE_S = 2.2
# Time after a restore within which the store removes rows whose owners have left.
LEFT_OWNER_S = 5.0
# Ignored rows of one read that are logged with their positions.
MAX_LOGGED_ROWS = 8

# Order of the contents of one key, higher for later ones; ``None`` if it can't be told.
ContentOrder = tuple[int, ...] | None


def _unknown_order(row: StoredRow) -> ContentOrder:
    del row
    return None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TableRules:
    """What is known of the contents of a table, for reads after a restore of the store."""

    order: Callable[[StoredRow], ContentOrder] = _unknown_order
    # Whether nobody removes rows, so that a missing one is lost and will be written again.
    rows_stay: bool = False


NO_RULES = TableRules()


@final
@dataclasses.dataclass(slots=True)
class _KeyState:
    position: StorePosition
    removed: bool
    # Order of the last content of a removed key.
    last_order: ContentOrder = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRow:
    """A row that takes effect at a monotonic time unless the store states another one before."""

    row: StoredRow
    due_at: float


@final
class TableRows:
    """The newest known row of each key; delivers each change once."""

    def __init__(
        self,
        table: str,
        on_change: Callable[[StoredRow], None],
        rules: TableRules,
        clock: Callable[[], float] = monotonic_now,
        count: Callable[[str], None] = lambda event: None,
    ) -> None:
        self.rows: dict[str, StoredRow] = {}
        # Latest position of a change that was read.
        self.last_change = StorePosition(FIRST_ERA, 0)
        # Position up to which the table was read, ``None`` if the whole table is to be read.
        self.position: StorePosition | None = None
        self._table = table
        self._on_change = on_change
        self._rules = rules
        self._clock = clock
        self._count = count
        self._key_states: dict[str, _KeyState] = {}
        self._pending: dict[str, _PendingRow] = {}
        # Position of the first read in the newest era; later rows were written after the restore.
        self._era_read_at = StorePosition(FIRST_ERA, 0)
        self._log = JsonLogger("store")

    def apply_snapshot(self, rows: RowSet) -> None:
        """Apply a read of the whole table.

        A key that the read lacks was removed, unless its last change is newer than the read. One
        that was last read in an earlier era may be lost.
        """
        present = {row.key for row in rows.rows}
        if rows.era > self._era_read_at.era:
            self._era_read_at = rows.position
            self._pending.clear()
        for key, pending in list(self._pending.items()):
            if key not in present and not pending.row.removed:
                del self._pending[key]
        self._apply_all(rows)
        for key in sorted(self.rows.keys() - present):
            known_at = self._key_states[key].position
            if known_at > rows.position:
                continue
            removal = StoredRow(key, rows.version, b"", removed=True, era=rows.era)
            if known_at.era == rows.era:
                self._apply(removal)
            elif not self._rules.rows_stay:
                self._pending.setdefault(key, _PendingRow(removal, self._clock() + REWRITE_S))
        self.position = rows.position

    def apply_changes(self, rows: RowSet) -> None:
        """Apply changes from the feed."""
        self._apply_all(rows)
        self.position = max(rows.position, self.position or rows.position)

    def apply_peer_rows(self, rows: Iterable[StoredRow]) -> None:
        """Apply rows that a peer has read; the store is read as well when it is available.

        A row that an own read of the same or a later version lacks was removed, and is ignored. A
        row of an earlier era may be one that the store has lost.
        """
        for row in rows:
            if self.position is not None and row.era < self.position.era:
                self._apply_lost_row(row)
            elif (
                self.position is None or row.key in self._key_states or row.position > self.position
            ):
                self._apply(row)

    def note_outage_ended(self) -> None:
        """Give owners and the store their whole time again; nothing was written in an outage."""
        now = self._clock()
        for key, pending in self._pending.items():
            delay_s = REWRITE_S if pending.row.removed else LEFT_OWNER_S
            self._pending[key] = _PendingRow(pending.row, now + delay_s)

    def _apply_all(self, rows: RowSet) -> None:
        older = [row for row in rows.rows if self._is_older(row)]
        for row in rows.rows:
            self._apply(row)
        self._apply_pending()
        if older:
            self._log_ignored(older, rows.position)

    def _is_older(self, row: StoredRow) -> bool:
        state = self._key_states.get(row.key)
        return state is not None and row.position < state.position

    def _apply(self, row: StoredRow) -> None:
        state = self._key_states.get(row.key)
        if state is not None and (
            row.position < state.position
            or (row.position == state.position and row.removed == state.removed)
            or (row.position == state.position and row.key in self._pending)
        ):
            return
        if state is None and row.removed:
            return
        self.last_change = max(self.last_change, row.position)
        self._pending.pop(row.key, None)
        if (
            state is None
            or state.position.era == row.era
            or self._is_written_after_restore(row)
            or self._is_later_content(row, state)
        ):
            self._put(row)
            return
        state.position = row.position
        if state.removed:
            # The store removes the row again, unless its owner is back.
            self._pending[row.key] = _PendingRow(row, self._clock() + LEFT_OWNER_S)

    def _is_written_after_restore(self, row: StoredRow) -> bool:
        return row.era == self._era_read_at.era and row.position > self._era_read_at

    def _is_later_content(self, row: StoredRow, state: _KeyState) -> bool:
        known = self.rows.get(row.key)
        known_order = state.last_order if known is None else self._rules.order(known)
        order = self._rules.order(row)
        return known_order is None or (order is not None and order > known_order)

    def _apply_lost_row(self, row: StoredRow) -> None:
        state = self._key_states.get(row.key)
        if state is None:
            if self._rules.rows_stay:
                self._put(row)
        elif not state.removed and self._is_later_content(row, state):
            self._put(row, state.position)

    def _apply_pending(self) -> None:
        now = self._clock()
        for key, pending in list(self._pending.items()):
            if now >= pending.due_at:
                del self._pending[key]
                self._put(pending.row)

    def _put(self, row: StoredRow, position: StorePosition | None = None) -> None:
        old = self._key_states.get(row.key)
        state = _KeyState(position or row.position, row.removed)
        self._key_states[row.key] = state
        if not row.removed:
            self.rows[row.key] = row
        elif (known := self.rows.pop(row.key, None)) is not None:
            state.last_order = self._rules.order(known)
        elif old is not None:
            state.last_order = old.last_order
        try:
            self._on_change(row)
        except Exception as error:
            # The other rows hold, and this one would fail again.
            self._count("store_row_failed")
            self._log.error(
                "A row can't be handled and is ignored.",
                table=self._table,
                key=row.key,
                row_version=row.version,
                error=describe(error),
            )

    def _log_ignored(self, older: list[StoredRow], position: StorePosition) -> None:
        logged = older[:MAX_LOGGED_ROWS]
        self._log.info(
            "Rows older than the known ones were ignored.",
            table=self._table,
            rows={row.key: row.position for row in logged},
            known={row.key: self._key_states[row.key].position for row in logged},
            count=len(older),
            position=position,
        )
