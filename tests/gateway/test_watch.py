"""Tests of the watch of a table: lost history, stale reads, outages."""

from dragonflyhold.gateway.watch import TableWatch
from dragonflyhold.platform.store import RowSet, StoredRow


class _Seen:
    def __init__(self) -> None:
        self.rows: dict[str, int] = {}
        self.log: list[str] = []
        self.watch = TableWatch(None, "table", self._change)  # type: ignore[arg-type]

    def _change(self, row: StoredRow) -> None:
        self.log.append(f"{'-' if row.removed else '+'}{row.key}@{row.version}")


def _row(key: str, version: int, removed: bool = False) -> StoredRow:
    return StoredRow(key, version, b"{}", removed)


class TestTableWatch:
    """Table watch."""

    def test_each_change_is_delivered_once(self) -> None:
        seen = _Seen()
        seen.watch.apply_snapshot(RowSet([_row("a", 3)], 5))
        seen.watch.apply_changes(RowSet([_row("a", 3), _row("b", 6)], 6))
        assert seen.log == ["+a@3", "+b@6"]

    def test_a_stale_read_undoes_nothing(self) -> None:
        """After its history was dropped the store may answer with reads of seconds ago."""
        seen = _Seen()
        seen.watch.apply_snapshot(RowSet([_row("a", 3)], 5))
        seen.watch.apply_changes(RowSet([_row("a", 9), _row("b", 8)], 9))
        seen.watch.apply_snapshot(RowSet([_row("a", 3)], 7))
        assert seen.log == ["+a@3", "+a@9", "+b@8"]

    def test_a_key_that_a_newer_read_lacks_is_removed(self) -> None:
        """A removal that fell into the lost history shows only as an absence."""
        seen = _Seen()
        seen.watch.apply_snapshot(RowSet([_row("a", 3), _row("b", 4)], 5))
        seen.watch.apply_snapshot(RowSet([_row("a", 3)], 9))
        assert seen.log[-1] == "-b@9"

    def test_a_removed_key_may_come_back(self) -> None:
        seen = _Seen()
        seen.watch.apply_snapshot(RowSet([_row("a", 3)], 5))
        seen.watch.apply_changes(RowSet([_row("a", 6, removed=True), _row("a", 8)], 8))
        assert seen.log == ["+a@3", "-a@6", "+a@8"]

    def test_a_removal_of_what_was_never_seen_is_nothing(self) -> None:
        seen = _Seen()
        seen.watch.apply_changes(RowSet([_row("a", 6, removed=True)], 6))
        assert seen.log == []
