"""Tests of the table watch: truncated history, stale reads, removals."""

from dragonflyhold.gateway.watch import TableWatch
from dragonflyhold.platform.store import RowSet, StoredRow


class _Recorder:
    def __init__(self) -> None:
        self.rows: dict[str, int] = {}
        self.changes: list[str] = []
        self.watch = TableWatch(None, "table", self._record)  # type: ignore[arg-type]

    def _record(self, row: StoredRow) -> None:
        self.changes.append(f"{'-' if row.removed else '+'}{row.key}@{row.version}")


def _row(key: str, version: int, removed: bool = False) -> StoredRow:
    return StoredRow(key, version, b"{}", removed)


class TestTableWatch:
    """Changes that a watch delivers for a sequence of reads."""

    def test_each_change_is_delivered_once(self) -> None:
        recorder = _Recorder()
        recorder.watch.apply_snapshot(RowSet([_row("a", 3)], 5))
        recorder.watch.apply_changes(RowSet([_row("a", 3), _row("b", 6)], 6))
        assert recorder.changes == ["+a@3", "+b@6"]

    def test_stale_read_does_not_revert_newer_changes(self) -> None:
        """After its history is truncated, the store may return data that is seconds old."""
        recorder = _Recorder()
        recorder.watch.apply_snapshot(RowSet([_row("a", 3)], 5))
        recorder.watch.apply_changes(RowSet([_row("a", 9), _row("b", 8)], 9))
        recorder.watch.apply_snapshot(RowSet([_row("a", 3)], 7))
        assert recorder.changes == ["+a@3", "+a@9", "+b@8"]

    def test_key_missing_from_newer_read_is_removed(self) -> None:
        """A removal in the truncated part of the history is visible only as a missing key."""
        recorder = _Recorder()
        recorder.watch.apply_snapshot(RowSet([_row("a", 3), _row("b", 4)], 5))
        recorder.watch.apply_snapshot(RowSet([_row("a", 3)], 9))
        assert recorder.changes[-1] == "-b@9"

    def test_removed_key_can_be_added_again(self) -> None:
        recorder = _Recorder()
        recorder.watch.apply_snapshot(RowSet([_row("a", 3)], 5))
        recorder.watch.apply_changes(RowSet([_row("a", 6, removed=True), _row("a", 8)], 8))
        assert recorder.changes == ["+a@3", "-a@6", "+a@8"]

    def test_removal_of_unknown_key_is_ignored(self) -> None:
        recorder = _Recorder()
        recorder.watch.apply_changes(RowSet([_row("a", 6, removed=True)], 6))
        assert recorder.changes == []
