"""Tests of the fault schedules of experiments."""

from dragonflyhold.faults.schedule import (
    FAULT_SHARE,
    CrashEngine,
    FreezeProcess,
    KillProcess,
    SetStandInFault,
    StopProcess,
    Targets,
    draw_schedule,
)

TARGETS = Targets(["entry-1", "entry-2"], ["sidecar-a", "sidecar-b"], ["a"], ["b"])
SECONDS = 60.0
SEEDS = range(50)


class TestDrawSchedule:
    """Guards against experiments that are not reproducible or never inject some kinds of faults."""

    def test_schedule_is_determined_by_the_seed(self) -> None:
        assert draw_schedule(3, SECONDS, TARGETS) == draw_schedule(3, SECONDS, TARGETS)
        assert draw_schedule(3, SECONDS, TARGETS) != draw_schedule(4, SECONDS, TARGETS)

    def test_every_kind_is_drawn(self) -> None:
        kinds = {type(t.fault) for seed in SEEDS for t in draw_schedule(seed, SECONDS, TARGETS)}
        assert kinds == {CrashEngine, FreezeProcess, KillProcess, SetStandInFault, StopProcess}

    def test_faults_overlap_and_leave_time_to_recover(self) -> None:
        overlaps = 0
        for seed in SEEDS:
            schedule = draw_schedule(seed, SECONDS, TARGETS)
            assert all(timed.at_s < SECONDS * FAULT_SHARE for timed in schedule)
            ends = 0.0
            for timed in schedule:
                overlaps += timed.at_s < ends
                down_s = 0.0 if isinstance(timed.fault, CrashEngine) else timed.fault.down_s
                ends = max(ends, timed.at_s + down_s)
        assert overlaps > len(SEEDS)
