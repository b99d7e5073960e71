"""Failure detection for the stream to a sidecar, as a pure state machine.

A stream that carries no frames while requests are open triggers a probe on a new connection. If the
same incarnation answers, the open requests continue on that connection; if another incarnation or
none answers, they are failed over.
"""

import dataclasses
import enum
from typing import final

from dragonflyhold.ids import Incarnation
from dragonflyhold.settings import TransportSettings


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """There is no connection; ``incarnation`` is the last one known, if any."""

    incarnation: Incarnation | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Alive:
    """The stream carries frames; the last one arrived at ``last_frame_at``."""

    incarnation: Incarnation
    last_frame_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Unresponsive:
    """The first probe is in progress.

    No frame arrived for ``silence_s``, the stream ended, or a connection is being opened.
    """

    incarnation: Incarnation | None
    # Number of failed probes after which the upstream counts as down.
    max_failures: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """At least one probe failed and another one is in progress."""

    incarnation: Incarnation | None
    max_failures: int
    failures: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """A new stream was opened at ``moved_at`` and no frame has arrived on it yet."""

    incarnation: Incarnation
    moved_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Down:
    """All allowed probes failed."""

    since: float
    incarnation: Incarnation | None = None


StreamState = Closed | Alive | Unresponsive | Probing | Moved | Down


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestPending:
    """A request is waiting to be sent, or an upstream that is down is to be probed again."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame arrived on the current stream."""

    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TimerTicked:
    """The periodic timer fired.

    ``waiting_since`` is the start of the wait for a frame, ``None`` if no request is open.
    """

    now: float
    waiting_since: float | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """The current stream ended with an error."""

    has_open_requests: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A probe on a new connection was answered."""

    now: float
    incarnation: Incarnation


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A probe on a new connection was not answered in time."""

    now: float


StreamEvent = (
    RequestPending | FrameReceived | TimerTicked | StreamEnded | ProbeAnswered | ProbeFailed
)


class StreamAction(enum.Enum):
    """What the owner of the stream has to do after an event."""

    NONE = "none"
    # Probe on a new connection.
    PROBE = "probe"
    # Open a stream on the probed connection and continue the open requests on it.
    MOVE = "move"
    # Like MOVE, but fail over the requests that were sent to the old incarnation.
    MOVE_TO_NEW_INCARNATION = "move_to_new_incarnation"
    # Fail over all open requests.
    FAIL_OVER = "fail_over"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """State after an event, and the action that the event requires."""

    state: StreamState
    action: StreamAction = StreamAction.NONE


def step(state: StreamState, event: StreamEvent, settings: TransportSettings) -> Step:
    """Return the state after ``event`` and the required action."""
    match event:
        case RequestPending():
            return _on_request_pending(state)
        case FrameReceived(now):
            return _on_frame_received(state, now)
        case TimerTicked(now, waiting_since):
            return _on_timer_ticked(state, now, waiting_since, settings)
        case StreamEnded(has_open_requests):
            return _on_stream_ended(state, has_open_requests, settings)
        case ProbeAnswered(now, incarnation):
            return _on_probe_answered(state, now, incarnation)
        case ProbeFailed(now):
            return _on_probe_failed(state, now)


def _on_request_pending(state: StreamState) -> Step:
    match state:
        case Closed(incarnation) | Down(_, incarnation):
            # No request has been sent yet, so one failed probe is enough to try another upstream.
            return Step(Unresponsive(incarnation, max_failures=1), StreamAction.PROBE)
        case _:
            return Step(state)


def _on_frame_received(state: StreamState, now: float) -> Step:
    match state:
        case Alive(incarnation) | Moved(incarnation):
            return Step(Alive(incarnation, now))
        case Unresponsive(incarnation) | Probing(incarnation) if incarnation is not None:
            return Step(Alive(incarnation, now))
        case _:
            return Step(state)


def _on_timer_ticked(
    state: StreamState, now: float, waiting_since: float | None, settings: TransportSettings
) -> Step:
    match state:
        case Alive(incarnation, last_frame_at) | Moved(incarnation, last_frame_at):
            if waiting_since is None:
                return Step(state)
            if now - max(last_frame_at, waiting_since) < settings.silence_s:
                return Step(state)
            return Step(Unresponsive(incarnation, settings.probes), StreamAction.PROBE)
        case _:
            return Step(state)


def _on_stream_ended(
    state: StreamState, has_open_requests: bool, settings: TransportSettings
) -> Step:
    match state:
        case Alive(incarnation) | Moved(incarnation):
            if not has_open_requests:
                return Step(Closed(incarnation))
            return Step(Unresponsive(incarnation, settings.probes), StreamAction.PROBE)
        case _:
            return Step(state)


def _on_probe_answered(state: StreamState, now: float, incarnation: Incarnation) -> Step:
    match state:
        case Unresponsive(last_incarnation) | Probing(last_incarnation):
            is_same_incarnation = last_incarnation is None or last_incarnation == incarnation
            action = (
                StreamAction.MOVE if is_same_incarnation else StreamAction.MOVE_TO_NEW_INCARNATION
            )
            return Step(Moved(incarnation, now), action)
        case _:
            return Step(state)


def _on_probe_failed(state: StreamState, now: float) -> Step:
    match state:
        case Unresponsive(last_incarnation, max_failures):
            return _count_failure(last_incarnation, max_failures, 1, now)
        case Probing(last_incarnation, max_failures, failures):
            return _count_failure(last_incarnation, max_failures, failures + 1, now)
        case _:
            return Step(state)


def _count_failure(
    last_incarnation: Incarnation | None, max_failures: int, failures: int, now: float
) -> Step:
    if failures >= max_failures:
        return Step(Down(now, last_incarnation), StreamAction.FAIL_OVER)
    return Step(Probing(last_incarnation, max_failures, failures), StreamAction.PROBE)
