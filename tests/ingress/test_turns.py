"""Tests of the turns that connections with much to do take."""

from collections.abc import Callable

import pytest

from dragonflyhold.ingress import Turns
from dragonflyhold.ingress.turns import TURN_S


class _Loop:
    """Runs what was scheduled one turn at a time; work takes no time of its own."""

    def __init__(self) -> None:
        self.now = 0.0
        self.scheduled: list[Callable[[], None]] = []
        self.turns = Turns(self.scheduled.append, lambda: self.now)

    def run_turn(self) -> None:
        due, self.scheduled[:] = list(self.scheduled), []
        for call in due:
            call()


class TestTurns:
    """Guards against a turn of the event loop that one client makes long."""

    def test_work_runs_at_once_in_calm(self) -> None:
        loop, done = _Loop(), []
        loop.turns.offer(lambda: done.append(1))
        assert done == [1]
        loop.run_turn()
        assert not loop.scheduled

    def test_a_turn_ends_when_its_time_is_used_up(self) -> None:
        loop, done = _Loop(), []
        for number in range(10):
            loop.turns.offer(lambda number=number: done.append(number), TURN_S / 2)  # type: ignore[misc]
        assert done == [0, 1]
        loop.run_turn()
        assert done == [0, 1, 2, 3]
        for _ in range(4):
            loop.run_turn()
        assert done == list(range(10))
        assert not loop.scheduled

    def test_work_that_offers_itself_again_comes_after_the_others(self) -> None:
        loop, done = _Loop(), []

        def greedy() -> None:
            done.append("greedy")
            loop.turns.offer(greedy, TURN_S)

        loop.turns.offer(greedy, TURN_S)
        loop.turns.offer(lambda: done.append("other"))
        for _ in range(2):
            loop.run_turn()
        assert done == ["greedy", "greedy", "other", "greedy"]

    def test_an_error_does_not_stop_the_others(self) -> None:
        loop, done = _Loop(), []

        def fail() -> None:
            raise ValueError("broken")

        loop.turns.offer(lambda: None, TURN_S)
        loop.turns.offer(fail)
        loop.turns.offer(lambda: done.append(1))
        with pytest.raises(ValueError, match="broken"):
            loop.run_turn()
        loop.run_turn()
        assert done == [1]
