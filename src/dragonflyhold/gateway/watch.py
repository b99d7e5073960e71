"""Watches one table of the metadata store and keeps a local copy of its rows.

The rows are kept during an outage; ``unavailable_since`` is the time at which it began.
"""

import asyncio
import random
from collections.abc import Callable
from typing import final

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.store_contact import StoreContact
from dragonflyhold.gateway.table_rows import NO_RULES, TableRows, TableRules
from dragonflyhold.platform.store import (
    FIRST_ERA,
    HistoryTruncatedError,
    MetadataStore,
    StoredRow,
    StorePosition,
)

# Longest wait for a change in one call, for a watch that nothing else tells of silent connections.
# Together with the response timeout it stays below the 3 s after which a VM whose connections fell
# silent counts as in contact again.
FEED_WAIT_S = 2.0
# Longest wait of a watch that is restarted once peers know of a later change, once a link to a peer
# has fallen silent, or once calls to the store work again. The waits of different processes end at
# different times.
LONG_FEED_WAIT_S = 20.0
LONG_WAIT_JITTER = 0.25
# Time per gateway that the waits of a gateway's watch may last: the first of all gateways whose
# call is new since its connections fell silent tells the others of a change.
WAIT_PER_GATEWAY_S = 0.35
# Time for which a change that a peer knows of may still arrive by the own call, and the shortest
# interval between two restarts.
HINT_DELAY_S = 0.15
MIN_RESTART_S = 1.0
# Delay after a failed call: doubles up to the maximum, with jitter.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5


@final
class TableWatch:
    """Reads a table and its changes; ``table_rows`` delivers each change once."""

    def __init__(
        self,
        store: MetadataStore,
        table: str,
        on_change: Callable[[StoredRow], None],
        pause_s: float = 0.0,
        clock: Callable[[], float] = monotonic_now,
        wait_s: float = FEED_WAIT_S,
        on_recovered: Callable[[], None] = lambda: None,
        rules: TableRules = NO_RULES,
        count: Callable[[str], None] = lambda event: None,
        renewal_s: float = 0.0,
        binding_s: float = float("inf"),
        wait_limit: Callable[[], float] = lambda: LONG_FEED_WAIT_S,
    ) -> None:
        self.table = table
        self.has_read = False
        # Monotonic time since which no call has succeeded, ``None`` while the store is available.
        self.unavailable_since: float | None = clock()
        # Whether rows that disappear were removed. Owners renew theirs every ``renewal_s``, and
        # removals bind this process from ``binding_s`` after an outage.
        self.contact = StoreContact(renewal_s, clock, binding_s)
        # Monotonic time for which the rows are complete, ``None`` before the first read: the start
        # of the last call, whose response may have been read much later.
        self.read_at: float | None = None
        # Longest wait for a change in one call, from the next call on.
        self.wait_s = wait_s
        self.table_rows = TableRows(table, on_change, rules, clock, count)
        self._store = store
        self._pause_s = pause_s
        self._wait_limit = wait_limit
        self._on_recovered = on_recovered
        self._clock = clock
        self._backoff_s = MIN_BACKOFF_S
        self._read: asyncio.Task[None] | None = None
        self._is_wanted = asyncio.Event()
        self._is_restarting = False
        self._restarted_at = -MIN_RESTART_S
        self._is_hint_pending = False
        # Latest change that a peer knows of.
        self._latest_hint = StorePosition(FIRST_ERA, 0)
        self._log = JsonLogger("store")

    @property
    def is_behind(self) -> bool:
        """Whether the whole table is to be read again, or a peer knows of a later change."""
        return self.table_rows.position is None or self._lacks(self._latest_hint)

    def note_restored(self) -> None:
        """Read the whole table again: the store was restored, and its versions start anew."""
        self.contact.note_restored()
        self.table_rows.position = None
        if self._read is not None and self._read is not asyncio.current_task():
            self._cancel_read()

    def read_soon(self) -> None:
        """End the pause before the next read."""
        self._is_wanted.set()

    def note_hint(self, change: StorePosition) -> None:
        """Restart the read soon if a peer knows of a change that this watch lacks.

        The connection of the pending call may have fallen silent.
        """
        self._latest_hint = max(self._latest_hint, change)
        if not self._lacks(change) or self._is_hint_pending:
            return
        self._is_hint_pending = True
        asyncio.get_running_loop().call_later(HINT_DELAY_S, self._check_hint, change)

    def note_silent_peer(self) -> None:
        """Read again: a link fell silent, and the connection of the pending call may have too.

        Does nothing if the read was restarted lately.
        """
        if self._clock() - self._restarted_at >= MIN_RESTART_S:
            self.restart()

    def restart(self) -> None:
        """Give up the pending call and read again on another connection."""
        if self._read is not None and self.table_rows.position is not None:
            self._cancel_read()

    def _cancel_read(self) -> None:
        assert self._read is not None
        self._is_restarting = True
        self._restarted_at = self._clock()
        self._read.cancel()

    def _lacks(self, change: StorePosition) -> bool:
        position = self.table_rows.position
        return position is not None and change > max(position, self.table_rows.last_change)

    def _check_hint(self, change: StorePosition) -> None:
        self._is_hint_pending = False
        if self._lacks(change) and self._clock() - self._restarted_at >= MIN_RESTART_S:
            self._log.warning(
                "A peer knows of a later change; the table is read again.",
                table=self.table,
                change=change,
                position=self.table_rows.position,
            )
            position = self.table_rows.position
            if position is not None and change.era > position.era:
                # A feed could wait at a position that exists again, and state no era meanwhile.
                self.note_restored()
            else:
                self.restart()

    async def run(self) -> None:
        """Watch the table until cancelled."""
        while True:
            started_at = self._clock()
            try:
                await self._read_or_restart()
            except HistoryTruncatedError as error:
                self._log.warning(
                    "The store no longer has the requested changes; the whole table is read again.",
                    table=self.table,
                    error=str(error),
                )
                self.table_rows.position = None
            except PlatformUnavailableError as error:
                self._note_unavailable(error, started_at)
                # A call that has waited in vain has spared the store for as long.
                delay_s = self._backoff_s * random.uniform(0.5, 1.0)
                waited_s = self._clock() - started_at
                await asyncio.sleep(max(MIN_BACKOFF_S, delay_s - waited_s))
                self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
            else:
                if self._pause_s:
                    await self._pause()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self._pause_s):
                await self._is_wanted.wait()
        except TimeoutError:
            pass
        self._is_wanted.clear()

    async def _read_or_restart(self) -> None:
        self._read = asyncio.get_running_loop().create_task(self._read_once())
        try:
            await self._read
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not self._is_restarting or (task is not None and task.cancelling()):
                raise
        finally:
            self._is_restarting = False
            self._read = None

    async def _read_once(self) -> None:
        position, known = self.table_rows.position, self.table_rows.last_change
        started_at = self._clock()
        if position is None:
            rows = await self._store.read_table(self.table)
            self._note_available(started_at, rows.position)
            self.table_rows.apply_snapshot(rows)
            self.has_read = True
        else:
            rows = await self._store.read_changes(self.table, position, self._draw_wait())
            self._note_available(started_at, rows.position)
            self.table_rows.apply_changes(rows)
        if rows.position >= known:
            # Else the store has returned what it was before.
            self.read_at = started_at

    def _draw_wait(self) -> float:
        """Return the time for which the next call waits for a change, in seconds."""
        if self.unavailable_since is not None:
            # The store may have been restored; its first response tells.
            return 0.0
        wait_s = min(self.wait_s, max(FEED_WAIT_S, self._wait_limit()))
        if wait_s <= FEED_WAIT_S:
            return wait_s
        return max(FEED_WAIT_S, wait_s * random.uniform(1 - LONG_WAIT_JITTER, 1.0))

    def _note_unavailable(self, error: PlatformUnavailableError, started_at: float) -> None:
        self.contact.note_failed(started_at)
        if self.unavailable_since is None:
            self.unavailable_since = self._clock()
            self._log.warning("The store is unavailable.", table=self.table, error=str(error))

    def _note_available(self, started_at: float, position: StorePosition) -> None:
        self.contact.note_read(started_at, position)
        self._backoff_s = MIN_BACKOFF_S
        if self.unavailable_since is not None:
            now = self._clock()
            self._log.info(
                "The store is available.",
                table=self.table,
                lost_for_s=round(now - self.unavailable_since, 3),
            )
            self.unavailable_since = None
            self.table_rows.note_outage_ended()
            self._on_recovered()
