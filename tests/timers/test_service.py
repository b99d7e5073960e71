"""Tests of the timer service."""

from dragonflyhold.timers import Tick, TimerService


class _Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


class TestTimerService:
    """Guards against missed ticks and against unreported pauses of the process."""

    def test_ticks_arrive_once_per_period(self) -> None:
        clock = _Clock()
        service = TimerService(clock)
        ticks: list[Tick] = []
        service.subscribe(1.0, ticks.append)
        for now in (100.0, 100.9, 101.0, 101.5, 102.0):
            service.run_due(now)
        assert [tick.now for tick in ticks] == [101.0, 102.0]

    def test_pause_is_reported_to_every_subscriber(self) -> None:
        service = TimerService(_Clock())
        ticks: list[Tick] = []
        service.subscribe(1.0, ticks.append)
        service.subscribe(60.0, ticks.append)
        service.run_due(100.0)
        service.run_due(110.0)
        assert [tick.paused_s for tick in ticks] == [10.0, 10.0]
        service.run_due(111.0)
        assert ticks[-1].paused_s == 0.0

    def test_failing_subscriber_does_not_affect_others(self) -> None:
        service = TimerService(_Clock())
        ticks: list[Tick] = []

        def fail(tick: Tick) -> None:
            raise RuntimeError

        service.subscribe(1.0, fail)
        service.subscribe(1.0, ticks.append)
        service.run_due(101.0)
        assert len(ticks) == 1
