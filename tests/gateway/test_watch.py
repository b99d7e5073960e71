"""Tests of the table watch: truncated history, stale reads, removals, lost calls."""

import asyncio
from collections.abc import Callable

import pytest

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway.table_rows import NO_RULES, TableRows
from dragonflyhold.gateway.watch import HINT_DELAY_S, TableWatch
from dragonflyhold.platform.store import RowSet, StoredRow, StorePosition

KNOWN, HINT = StorePosition(0, 5), StorePosition(0, 8)


class _Recorder:
    def __init__(self) -> None:
        self.changes: list[str] = []
        self.rows = TableRows("table", self._record, NO_RULES)

    def _record(self, row: StoredRow) -> None:
        self.changes.append(f"{'-' if row.removed else '+'}{row.key}@{row.version}")


def _row(key: str, version: int, removed: bool = False) -> StoredRow:
    return StoredRow(key, version, b"{}", removed)


class TestTableWatch:
    """Changes that a watch delivers for a sequence of reads."""

    def test_each_change_is_delivered_once(self) -> None:
        recorder = _Recorder()
        recorder.rows.apply_snapshot(RowSet([_row("a", 3)], 5))
        recorder.rows.apply_changes(RowSet([_row("a", 3), _row("b", 6)], 6))
        assert recorder.changes == ["+a@3", "+b@6"]

    def test_stale_read_does_not_revert_newer_changes(self) -> None:
        """After its history is truncated, the store may return data that is seconds old."""
        recorder = _Recorder()
        recorder.rows.apply_snapshot(RowSet([_row("a", 3)], 5))
        recorder.rows.apply_changes(RowSet([_row("a", 9), _row("b", 8)], 9))
        recorder.rows.apply_snapshot(RowSet([_row("a", 3)], 7))
        assert recorder.changes == ["+a@3", "+a@9", "+b@8"]

    def test_key_missing_from_newer_read_is_removed(self) -> None:
        """A removal in the truncated part of the history is visible only as a missing key."""
        recorder = _Recorder()
        recorder.rows.apply_snapshot(RowSet([_row("a", 3), _row("b", 4)], 5))
        recorder.rows.apply_snapshot(RowSet([_row("a", 3)], 9))
        assert recorder.changes[-1] == "-b@9"

    def test_removed_key_can_be_added_again(self) -> None:
        recorder = _Recorder()
        recorder.rows.apply_snapshot(RowSet([_row("a", 3)], 5))
        recorder.rows.apply_changes(RowSet([_row("a", 6, removed=True), _row("a", 8)], 8))
        assert recorder.changes == ["+a@3", "-a@6", "+a@8"]

    def test_peer_rows_that_an_own_read_lacks_are_ignored(self) -> None:
        """Guards against an upstream that left and is used again after a restart.

        A peer that was cut off from the store may still know it, and may answer a starting gateway
        after the gateway's own first read.
        """
        recorder = _Recorder()
        recorder.rows.apply_snapshot(RowSet([_row("a", 3)], 9))
        recorder.rows.apply_peer_rows([_row("left", 5), _row("a", 3), _row("joined", 12)])
        assert recorder.changes == ["+a@3", "+joined@12"]

    def test_peer_rows_are_used_before_the_first_own_read(self) -> None:
        recorder = _Recorder()
        recorder.rows.apply_peer_rows([_row("left", 5), _row("a", 3)])
        recorder.rows.apply_snapshot(RowSet([_row("a", 3)], 9))
        assert recorder.changes == ["+left@5", "+a@3", "-left@9"]

    def test_removal_of_unknown_key_is_ignored(self) -> None:
        recorder = _Recorder()
        recorder.rows.apply_changes(RowSet([_row("a", 6, removed=True)], 6))
        assert recorder.changes == []


class _SilentStore:
    """Never answers the first wait for changes, as on a connection that fell silent."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.reads = 0
        self.failures = 0

    async def read_table(self, table: str) -> RowSet:
        self.reads += 1
        return RowSet([_row("a", 3)], 5)

    async def read_changes(self, table: str, after: StorePosition, wait_s: float) -> RowSet:
        self.waits.append(wait_s)
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailableError("store: no answer")
        if len(self.waits) != 2:
            await asyncio.Event().wait()
        return RowSet([_row("a", 8)], 8)


async def _run_for(watch: TableWatch, seconds: float, action: Callable[[], None]) -> None:
    task = asyncio.ensure_future(watch.run())
    await asyncio.sleep(0.02)
    action()
    await asyncio.sleep(seconds)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()


class TestLostCall:
    """A wait for changes whose connection fell silent."""

    def test_a_peers_later_change_ends_the_wait(self) -> None:
        """Guards against a configuration that stays old until a long wait ends."""
        store, rows = _SilentStore(), list[StoredRow]()
        watch = TableWatch(store, "op", rows.append, wait_s=20.0)  # type: ignore[arg-type]
        asyncio.run(_run_for(watch, HINT_DELAY_S + 0.1, lambda: watch.note_hint(HINT)))
        assert [row.version for row in rows] == [3, 8]
        assert watch.table_rows.last_change == (0, 8)

    def test_a_hint_of_a_later_era_ends_the_wait_whatever_its_version(self) -> None:
        """Guards against waits on a silent connection to a store that was restored meanwhile."""
        store = _SilentStore()
        watch = TableWatch(store, "op", lambda row: None, wait_s=20.0)  # type: ignore[arg-type]
        hint = StorePosition(1, 2)
        asyncio.run(_run_for(watch, HINT_DELAY_S + 0.1, lambda: watch.note_hint(hint)))
        assert store.reads == 2, "a feed could wait at a position that exists again"

    def test_the_first_call_after_a_failed_one_waits_for_nothing(self) -> None:
        """Guards against waits at a position that exists again, in a store that was restored."""
        store = _SilentStore()
        store.failures = 1
        watch = TableWatch(store, "op", lambda row: None, wait_s=20.0)  # type: ignore[arg-type]
        asyncio.run(_run_for(watch, 0.2, lambda: None))
        assert store.waits[1] == 0.0

    def test_a_hint_of_an_earlier_era_is_ignored(self) -> None:
        """Guards against calls without end because a peer knows high versions that were lost."""
        store = _SilentStore()
        watch = TableWatch(store, "op", lambda row: None, wait_s=20.0)  # type: ignore[arg-type]
        hint = StorePosition(-1, 1_000_000)
        asyncio.run(_run_for(watch, HINT_DELAY_S + 0.1, lambda: watch.note_hint(hint)))
        assert len(store.waits) == 1

    def test_a_change_that_is_known_does_not_end_the_wait(self) -> None:
        store = _SilentStore()
        watch = TableWatch(store, "op", lambda row: None, wait_s=20.0)  # type: ignore[arg-type]
        asyncio.run(_run_for(watch, HINT_DELAY_S + 0.1, lambda: watch.note_hint(KNOWN)))
        assert len(store.waits) == 1

    def test_wrong_hints_do_not_cause_a_flood_of_calls(self) -> None:
        store = _SilentStore()
        watch = TableWatch(store, "op", lambda row: None, wait_s=20.0)  # type: ignore[arg-type]

        async def scenario() -> None:
            task = asyncio.ensure_future(watch.run())
            for _ in range(40):
                await asyncio.sleep(0.02)
                watch.note_hint(StorePosition(0, 1_000_000))
            task.cancel()

        asyncio.run(scenario())
        assert len(store.waits) <= 3

    def test_a_silent_link_ends_the_wait_once(self) -> None:
        """Guards against a long wait on a connection that fell silent with the links."""
        store, rows = _SilentStore(), list[StoredRow]()
        watch = TableWatch(store, "op", rows.append, wait_s=20.0)  # type: ignore[arg-type]

        def note_silent_links() -> None:
            for _ in range(30):
                watch.note_silent_peer()

        asyncio.run(_run_for(watch, 0.1, note_silent_links))
        assert [row.version for row in rows] == [3, 8]
        assert len(store.waits) == 3, "the wait, the read after it, and the next wait"

    def test_a_watch_that_is_cancelled_as_it_restarts_ends(self) -> None:
        """Guards against a daemon that does not stop, as its watch goes on."""
        store = _SilentStore()
        watch = TableWatch(store, "op", lambda row: None, wait_s=20.0)  # type: ignore[arg-type]

        async def scenario() -> bool:
            task = asyncio.ensure_future(watch.run())
            await asyncio.sleep(0.02)
            watch.note_silent_peer()
            task.cancel()
            await asyncio.wait({task}, timeout=0.2)
            is_over = task.done()
            task.cancel()
            return is_over

        assert asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("limit_s", "shortest_s", "longest_s"), [(0.35, 2.0, 2.0), (5.0, 3.75, 5.0), (90, 15, 20)]
    )
    def test_waits_are_as_long_as_the_limit_allows(
        self, limit_s: float, shortest_s: float, longest_s: float
    ) -> None:
        """Guards against waits beyond those that few gateways may take, and calls beyond them."""

        async def draw() -> list[float]:
            store = _SilentStore()
            watch = TableWatch(
                store,  # type: ignore[arg-type]
                "op",
                lambda row: None,
                wait_s=20.0,
                wait_limit=lambda: limit_s,
            )
            watch.unavailable_since = None
            return [watch._draw_wait() for _ in range(200)]

        waits = asyncio.run(draw())
        assert shortest_s <= min(waits) <= max(waits) <= longest_s

    def test_a_watch_tells_when_the_store_is_back(self) -> None:
        """Its owner then restarts the other watches, whose calls may be lost."""
        store, recovered = _SilentStore(), list[bool]()
        store.failures = 1
        watch = TableWatch(
            store,  # type: ignore[arg-type]
            "servers",
            lambda row: None,
            on_recovered=lambda: recovered.append(True),
        )
        asyncio.run(_run_for(watch, 0.2, lambda: recovered.clear()))
        assert recovered == [True]


class _SlowStore:
    """Answers with rows at given positions, each of which was read 3 s before it is received."""

    def __init__(self, positions: list[int]) -> None:
        self.now = 100.0
        self._positions = positions

    async def read_table(self, table: str) -> RowSet:
        return await self._read()

    async def read_changes(self, table: str, after: StorePosition, wait_s: float) -> RowSet:
        return await self._read()

    async def _read(self) -> RowSet:
        if not self._positions:
            await asyncio.Event().wait()
        self.now += 3.0
        position = self._positions.pop(0)
        return RowSet([_row("a", position)], position)


class TestTimeOfARead:
    """Guards against rows that are taken for newer than they are, as after a freeze of the VM."""

    def test_is_that_of_the_start_of_the_call(self) -> None:
        store = _SlowStore([5, 8])
        watch = TableWatch(store, "table", lambda row: None, clock=lambda: store.now)  # type: ignore[arg-type]
        assert watch.read_at is None
        asyncio.run(_run_for(watch, 0.02, lambda: None))
        assert (watch.read_at, store.now) == (103.0, 106.0)

    def test_does_not_count_if_the_rows_are_older_than_known_ones(self) -> None:
        """After its history is truncated, the store may return data that is seconds old."""
        store = _SlowStore([8, 5])
        watch = TableWatch(store, "table", lambda row: None, clock=lambda: store.now)  # type: ignore[arg-type]
        asyncio.run(_run_for(watch, 0.02, lambda: None))
        assert (watch.read_at, store.now) == (100.0, 106.0)
