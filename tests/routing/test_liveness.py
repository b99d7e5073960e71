"""Tests of the stream failure detector."""

from dragonflyhold.ids import Incarnation
from dragonflyhold.routing.liveness import (
    Alive,
    Closed,
    Down,
    FrameReceived,
    Moved,
    ProbeAnswered,
    ProbeFailed,
    Probing,
    RequestPending,
    Step,
    StreamAction,
    StreamEnded,
    TimerTicked,
    Unresponsive,
    step,
)
from dragonflyhold.settings import TransportSettings

SETTINGS = TransportSettings()
OLD = Incarnation("0" * 16)
NEW = Incarnation("1" * 16)


class TestUnresponsiveStream:
    """Guards against waiting on a dead connection and against unnecessary reconnections."""

    def test_stream_without_frames_is_probed_while_requests_are_open(self) -> None:
        alive = Alive(OLD, 10.0)
        assert step(alive, TimerTicked(12.9, 5.0), SETTINGS) == Step(alive)
        probed = step(alive, TimerTicked(13.0, 5.0), SETTINGS)
        assert probed == Step(Unresponsive(OLD, 3), StreamAction.PROBE)

    def test_idle_stream_is_not_probed(self) -> None:
        assert step(Alive(OLD, 10.0), TimerTicked(99.0, None), SETTINGS) == Step(Alive(OLD, 10.0))

    def test_wait_for_a_frame_starts_with_the_first_open_request(self) -> None:
        alive = Alive(OLD, 10.0)
        assert step(alive, TimerTicked(51.0, 50.0), SETTINGS) == Step(alive)

    def test_new_stream_without_frames_is_probed_again(self) -> None:
        result = step(Moved(OLD, 10.0), TimerTicked(13.0, 5.0), SETTINGS)
        assert result.action is StreamAction.PROBE

    def test_stream_that_carries_frames_again_is_kept(self) -> None:
        assert step(Unresponsive(OLD, 3), FrameReceived(14.0), SETTINGS) == Step(Alive(OLD, 14.0))
        late = step(Alive(OLD, 14.0), ProbeAnswered(14.1, OLD), SETTINGS)
        assert late.action is StreamAction.NONE


class TestProbes:
    """Guards against failover from a live process and against waiting for a dead one."""

    def test_same_incarnation_continues_on_the_new_connection(self) -> None:
        result = step(Unresponsive(OLD, 3), ProbeAnswered(14.0, OLD), SETTINGS)
        assert result == Step(Moved(OLD, 14.0), StreamAction.MOVE)

    def test_new_incarnation_fails_over_requests_of_the_old_one(self) -> None:
        result = step(Probing(OLD, 3, 2), ProbeAnswered(14.0, NEW), SETTINGS)
        assert result == Step(Moved(NEW, 14.0), StreamAction.MOVE_TO_NEW_INCARNATION)

    def test_upstream_is_down_after_three_failed_probes(self) -> None:
        state = step(Alive(OLD, 0.0), TimerTicked(3.0, 0.0), SETTINGS).state
        actions = []
        for _ in range(3):
            result = step(state, ProbeFailed(4.0), SETTINGS)
            state = result.state
            actions.append(result.action)
        assert actions == [StreamAction.PROBE, StreamAction.PROBE, StreamAction.FAIL_OVER]
        assert state == Down(4.0, OLD)

    def test_first_connection_fails_over_after_one_probe(self) -> None:
        state = step(Closed(), RequestPending(), SETTINGS).state
        assert step(state, ProbeFailed(1.0), SETTINGS).action is StreamAction.FAIL_OVER

    def test_ended_stream_is_probed_only_with_open_requests(self) -> None:
        alive = Alive(OLD, 0.0)
        assert step(alive, StreamEnded(True), SETTINGS).action is StreamAction.PROBE
        assert step(alive, StreamEnded(False), SETTINGS) == Step(Closed(OLD))

    def test_restart_between_requests_is_detected(self) -> None:
        state = step(Closed(OLD), RequestPending(), SETTINGS).state
        result = step(state, ProbeAnswered(5.0, NEW), SETTINGS)
        assert result.action is StreamAction.MOVE_TO_NEW_INCARNATION
