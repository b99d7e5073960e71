"""Tests of rows of the store that another writer left: odd values, types, sizes and nesting."""

from dragonflyhold.gateway.watch import TableWatch
from dragonflyhold.platform.store import RowSet, StoredRow


class TestRowsThatFail:
    """Guards against watches that end, or repeat a read, because of one row."""

    def test_a_row_that_fails_keeps_no_other_row_back(self) -> None:
        events, applied = list[str](), list[str]()

        def apply(row: StoredRow) -> None:
            if row.key == "odd":
                raise RecursionError("x" * 100_000)
            applied.append(row.key)

        watch = TableWatch(None, "servers", apply, count=events.append)  # type: ignore[arg-type]
        rows = [StoredRow(key, number, b"{}") for number, key in enumerate(("a", "odd", "b"))]
        watch.table_rows.apply_peer_rows(rows[:2])
        watch.table_rows.apply_snapshot(RowSet(rows, 5))
        more = [StoredRow("odd", 6, b""), StoredRow("c", 7, b"{}")]
        watch.table_rows.apply_changes(RowSet(more, 7))
        assert applied == ["a", "b", "c"]
        assert events == ["store_row_failed"] * 2
        assert watch.table_rows.last_change.version == 7
