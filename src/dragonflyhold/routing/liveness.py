"""State of the stream to one sidecar, as steps of a pure state machine.

A stream that says nothing while requests are open is probed on a new connection: the same
incarnation takes the open requests over there, another one or none fails them over.
"""

import dataclasses
import enum
from typing import final

from dragonflyhold.ids import Incarnation
from dragonflyhold.settings import TransportSettings


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """No connection; ``incarnation`` is the last one known, if any."""

    incarnation: Incarnation | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Alive:
    """The stream carries frames; the last came at ``last_frame_at``."""

    incarnation: Incarnation
    last_frame_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Unresponsive:
    """Nothing came for ``silence_s`` or the connection broke; the first probe is under way."""

    incarnation: Incarnation | None
    # Failed probes after which the upstream counts as down.
    max_failures: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """At least one probe failed and another is under way."""

    incarnation: Incarnation | None
    max_failures: int
    failures: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """A new stream was opened at ``moved_at`` and has not carried a frame yet."""

    incarnation: Incarnation
    moved_at: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Down:
    """No probe was answered."""

    since: float
    incarnation: Incarnation | None = None


StreamState = Closed | Alive | Unresponsive | Probing | Moved | Down


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestPending:
    """A request is to be sent."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame came on the current stream."""

    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TimerTicked:
    """A tick of the timer; ``waiting_since`` is when the oldest wait began, ``None`` if none."""

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
    """What the owner of the stream does after a step."""

    NONE = "none"
    # Probe on a new connection.
    PROBE = "probe"
    # Open a stream on the probed connection and continue the open requests there.
    MOVE = "move"
    # As MOVE, but requests that were sent to the old incarnation are failed over.
    MOVE_TO_NEW_INCARNATION = "move_to_new_incarnation"
    # Fail over all open requests.
    FAIL_OVER = "fail_over"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one event."""

    state: StreamState
    action: StreamAction = StreamAction.NONE


def step(state: StreamState, event: StreamEvent, settings: TransportSettings) -> Step:
    """Return the state after ``event`` and what to do."""
    match event:
        case RequestPending():
            return _step_needed(state)
        case FrameReceived(now):
            return _step_heard(state, now)
        case TimerTicked(now, waiting_since):
            return _step_checked(state, now, waiting_since, settings)
        case StreamEnded(has_open_requests):
            return _step_broken(state, has_open_requests, settings)
        case ProbeAnswered(now, incarnation):
            return _step_answered(state, now, incarnation)
        case ProbeFailed(now):
            return _step_failed(state, now)


def _step_needed(state: StreamState) -> Step:
    match state:
        case Closed(incarnation) | Down(_, incarnation):
            # Nothing is open there, so one failed probe is enough to try another upstream.
            return Step(Unresponsive(incarnation, max_failures=1), StreamAction.PROBE)
        case _:
            return Step(state)


def _step_heard(state: StreamState, now: float) -> Step:
    match state:
        case Alive(incarnation) | Moved(incarnation):
            return Step(Alive(incarnation, now))
        case Unresponsive(incarnation) | Probing(incarnation) if incarnation is not None:
            return Step(Alive(incarnation, now))
        case _:
            return Step(state)


def _step_checked(
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


def _step_broken(state: StreamState, has_open_requests: bool, settings: TransportSettings) -> Step:
    match state:
        case Alive(incarnation) | Moved(incarnation):
            if not has_open_requests:
                return Step(Closed(incarnation))
            return Step(Unresponsive(incarnation, settings.probes), StreamAction.PROBE)
        case _:
            return Step(state)


def _step_answered(state: StreamState, now: float, incarnation: Incarnation) -> Step:
    match state:
        case Unresponsive(known) | Probing(known):
            same = known is None or known == incarnation
            action = StreamAction.MOVE if same else StreamAction.MOVE_TO_NEW_INCARNATION
            return Step(Moved(incarnation, now), action)
        case _:
            return Step(state)


def _step_failed(state: StreamState, now: float) -> Step:
    match state:
        case Unresponsive(known, max_failures):
            return _count_failure(known, max_failures, 1, now)
        case Probing(known, max_failures, failures):
            return _count_failure(known, max_failures, failures + 1, now)
        case _:
            return Step(state)


def _count_failure(known: Incarnation | None, max_failures: int, failures: int, now: float) -> Step:
    if failures >= max_failures:
        return Step(Down(now, known), StreamAction.FAIL_OVER)
    return Step(Probing(known, max_failures, failures), StreamAction.PROBE)
