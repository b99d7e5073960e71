"""Limits what a process keeps for all its peers together.

The limits in ``limits`` bound one response or one request. Many peers in trouble at once could
still fill the process up, so the bytes that it keeps are charged to one budget.
"""

from collections.abc import Callable
from typing import final

# Share of the process's memory limit. Copies of the largest items, which last no longer than a
# call, and everything else that the process holds need the remainder.
MEMORY_SHARE = 0.25
# Share of the budget that may hold what can't be broken off, such as requests in progress.
STAYING_SHARE = 0.75
DEFAULT_MEMORY_BYTES = 200_000_000


@final
class ByteBudget:
    """Counts the bytes that are kept for peers, and breaks off the largest item at the limit.

    ``on_exceeded`` is called for each item that is broken off. For use in one event loop.
    """

    def __init__(
        self,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        on_exceeded: Callable[[], None] = lambda: None,
    ) -> None:
        self.limit_bytes = int(memory_bytes * MEMORY_SHARE)
        self.kept_bytes = 0
        self._on_exceeded = on_exceeded
        # Bytes that can't be broken off.
        self._staying_bytes = 0
        # Accounts with bytes that can be broken off.
        self._items: set[ByteAccount] = set()

    def open_account(self, break_off: Callable[[], None] | None = None) -> "ByteAccount":
        """Return an account without bytes.

        ``break_off`` discards what the account counts; without it, other items make room.
        """
        return ByteAccount(self, break_off)

    def may_stay(self, count: int) -> bool:
        """Return whether an account that can't be broken off may grow by ``count`` bytes."""
        return self._staying_bytes + count <= self.limit_bytes * STAYING_SHARE

    def _charge(self, account: "ByteAccount", added: int) -> None:
        self.kept_bytes += added
        if account.break_off is None:
            self._staying_bytes += added
        elif account.kept_bytes:
            self._items.add(account)
        else:
            self._items.discard(account)
        if added > 0:
            self._shed()

    def _shed(self) -> None:
        while self.kept_bytes > self.limit_bytes and self._items:
            largest = max(self._items, key=lambda account: account.kept_bytes)
            assert largest.break_off is not None
            largest.set(0)
            self._on_exceeded()
            largest.break_off()


@final
class ByteAccount:
    """The bytes that are kept for one purpose of one peer."""

    __slots__ = ("_budget", "break_off", "kept_bytes")

    def __init__(self, budget: ByteBudget, break_off: Callable[[], None] | None) -> None:
        self.kept_bytes = 0
        self.break_off = break_off
        self._budget = budget

    def add(self, count: int) -> None:
        """Count more bytes; this may break off any item, also the one that grows."""
        self.set(self.kept_bytes + count)

    def set(self, count: int) -> None:
        """Replace the number of bytes; a larger one may break off any item."""
        added, self.kept_bytes = count - self.kept_bytes, count
        if added:
            self._budget._charge(self, added)
