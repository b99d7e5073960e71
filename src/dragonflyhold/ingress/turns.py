"""Lets connections with much to do take turns, so that no turn of the event loop gets long."""

import collections
from collections.abc import Callable
from typing import final

# Time for such work in one turn of the event loop.
TURN_S = 0.005


@final
class Turns:
    """Runs work at once while this turn of the event loop has time for it, else in a later one."""

    def __init__(
        self,
        call_soon: Callable[[Callable[[], None]], object],
        clock: Callable[[], float],
    ) -> None:
        self._call_soon = call_soon
        self._clock = clock
        self._waiting: collections.deque[tuple[Callable[[], None], float]] = collections.deque()
        self._spent_s = 0.0
        self._is_running = False
        self._is_scheduled = False

    def offer(self, work: Callable[[], None], cost_s: float = 0.0) -> None:
        """Run work in its turn; it counts as ``cost_s`` at least, for what it causes later.

        Work that is offered by other work comes after what waits.
        """
        self._waiting.append((work, cost_s))
        self._schedule()
        if not self._is_running:
            self._run_waiting()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._spent_s = 0.0
        if self._waiting:
            # Also for the time that is used up in this turn, and after an error.
            self._schedule()
            self._run_waiting()

    def _run_waiting(self) -> None:
        self._is_running = True
        try:
            while self._waiting and self._spent_s < TURN_S:
                work, cost_s = self._waiting.popleft()
                started = self._clock()
                try:
                    work()
                finally:
                    self._spent_s += max(cost_s, self._clock() - started)
        finally:
            self._is_running = False
