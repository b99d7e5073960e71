"""Judges from outside what became of requests whose upstreams pause and that others take over.

All times are seconds of one clock. Nothing here depends on how a gateway works.
"""

import dataclasses
import enum
import itertools
import math
from collections.abc import Iterable, Mapping, Sequence

# Start and end of a time.
Span = tuple[float, float]

# Longest time for which a stream may run at its old and its new upstream, and a run may go on after
# its client has left, while the upstreams are reachable.
MAX_OVERLAP_S = 0.4
MAX_WORK_AFTER_S = 0.5
# Time for which bytes may be underway; an upstream that goes on later than this before its client
# leaves goes on too late.
TRANSFER_S = 0.1
# Requests sent until then after the signal of a planned stop may end in the last sixth of its
# grace period if their upstream is still at work.
LATEST_EXCUSED_S = 3.0
EXCUSED_SHARE = 5 / 6
REFUSALS = (408, 421, 429, 503)


class Kind(enum.Enum):
    """How often a request may run."""

    SAFE = "safe"
    RESUMABLE = "resumable"
    ONCE = "once"


class Ending(enum.Enum):
    """How an exchange ended for its client."""

    WHOLE = "whole response"
    REFUSED = "refused"
    FAILED = "failure of the gateway's own"
    CUT = "cut"
    CLOSED = "closed without a response"
    LEFT = "the client left"


@dataclasses.dataclass
class Run:
    """What an upstream made of a request that it accepted, or has not looked at."""

    upstream: str
    accepted_at: float
    ended_at: float
    # Time of its first byte, and of the head if that begins a sound answer.
    begun_at: float | None = None
    head_at: float | None = None
    # Whether the upstream itself broke it off, withheld its answer or spoilt it.
    is_faulty: bool = False
    # Whether the upstream could not yet look at the request, so that nothing has run.
    is_unread: bool = False
    # Times in which it could not go on, also those after its gateway had closed it.
    pauses: Sequence[Span] = ()

    def goes_on_at(self, at: float) -> float:
        """Return the time from ``at`` on at which the run goes on, or would have gone on."""
        for start, end in sorted(self.pauses):
            if start <= at < end:
                at = end
        return at


@dataclasses.dataclass
class Request:
    """A request and what its client got."""

    number: str
    service: str
    kind: Kind
    max_attempts: int
    sent_at: float
    # Time for which the client waits in all, and for each event.
    limit_s: float
    patience_s: float = math.inf
    ended_at: float = math.inf
    ending: Ending = Ending.WHOLE
    status: int = 200
    # Ids of the events received, ``None`` for a response of another kind, and of a whole stream.
    events: list[int] | None = None
    all_events: int = 0
    # Whether all bytes received are those of the upstream's response.
    is_genuine: bool = True
    last_event_at: float | None = None
    # Time at which its gateway got the signal for a planned stop.
    stopped_at: float = math.inf
    runs: list[Run] = dataclasses.field(default_factory=list)
    # Times at which it arrived at upstreams, also those that refused it.
    arrivals: list[float] = dataclasses.field(default_factory=list)

    @property
    def leaves_at(self) -> float:
        """Return when the client leaves if it gets nothing more."""
        last = self.sent_at if self.last_event_at is None else self.last_event_at
        return min(last + self.patience_s, self.sent_at + self.limit_s)


@dataclasses.dataclass
class Budget:
    """Extra arrivals that a service may get in any window."""

    ratio: float
    window_s: float
    slack: float


class TakeoverOracle:
    """Finds which guarantees were broken."""

    def __init__(
        self,
        requests: Sequence[Request],
        *,
        # Times in which an upstream's VM could not be reached.
        unreachable: Mapping[str, Sequence[Span]],
        budget: Budget,
        grace_s: float,
    ) -> None:
        self._requests = requests
        self._unreachable = unreachable
        self._budget = budget
        self._grace_s = grace_s

    def find_violations(self) -> list[str]:
        """Return a line for each violation."""
        return [
            *(line for request in self._requests for line in self._judge(request)),
            *self._overspent(),
        ]

    def _judge(self, request: Request) -> Iterable[str]:
        checks = {
            "cut": self._is_cut(request),
            "order": _is_out_of_order(request),
            "repeated": _is_repeated(request),
            "refused although it ran": _is_refused_after_run(request),
            "runs twice at a time": self._runs_twice(request),
            "goes on without its client": self._outlives_client(request),
            "too many upstreams": _count_upstreams(request) > request.max_attempts,
        }
        return (
            f"{name}: {request.number} {request.kind.value} {request.ending.value} "
            f"{request.status} at {request.ended_at:.3f}, sent at {request.sent_at:.3f}"
            for name, is_broken in checks.items()
            if is_broken
        )

    def _is_cut(self, request: Request) -> bool:
        """Return whether the gateway ended a request that would have gone on in time."""
        if request.ending not in (Ending.FAILED, Ending.CUT, Ending.CLOSED):
            return False
        at = request.ended_at
        if at >= request.sent_at + request.limit_s - TRANSFER_S or self._is_excused(request):
            return False
        run = _current_run(request)
        if run is None:
            # The request was sent to no upstream, so that it can be refused.
            return True
        return not run.is_faulty and run.goes_on_at(at) <= request.leaves_at - TRANSFER_S

    def _is_excused(self, request: Request) -> bool:
        """Return whether a planned stop may end the request."""
        return (
            request.sent_at <= request.stopped_at + LATEST_EXCUSED_S
            and request.ended_at >= request.stopped_at + EXCUSED_SHARE * self._grace_s
            and _current_run(request) is not None
        )

    def _runs_twice(self, request: Request) -> bool:
        """Return whether a stream ran at two upstreams for too long while both were reachable."""
        begun = [run for run in request.runs if run.begun_at is not None]
        if request.kind is Kind.SAFE:
            return False
        for one, other in itertools.combinations(begun, 2):
            assert one.begun_at is not None
            assert other.begun_at is not None
            span = (max(one.begun_at, other.begun_at), min(one.ended_at, other.ended_at))
            holes = [
                *self._unreachable.get(one.upstream, ()),
                *self._unreachable.get(other.upstream, ()),
            ]
            if _longest_part(span, holes) > MAX_OVERLAP_S:
                return True
        return False

    def _outlives_client(self, request: Request) -> bool:
        """Return whether a run goes on, or a request arrives, long after the client has left."""
        if request.ending is not Ending.LEFT:
            return False
        left_at = request.ended_at
        return any(at > left_at + MAX_WORK_AFTER_S for at in request.arrivals) or any(
            _longest_part(
                (max(left_at, run.accepted_at), run.ended_at),
                self._unreachable.get(run.upstream, ()),
            )
            > MAX_WORK_AFTER_S
            for run in request.runs
        )

    def _overspent(self) -> Iterable[str]:
        """Return the windows in which a service got more extra arrivals than the budget allows."""
        window_s = self._budget.window_s
        for service in sorted({request.service for request in self._requests}):
            own = [request for request in self._requests if request.service == service]
            sent = [request.sent_at for request in own]
            extra = sorted(at for request in own for at in sorted(request.arrivals)[1:])
            for end in extra:
                arrived = sum(end - window_s < at <= end for at in extra)
                asked = max(
                    sum(end - back - window_s < at <= end - back for at in sent)
                    for back in (0.0, window_s / 2, window_s)
                )
                allowed = self._budget.ratio * asked + self._budget.slack
                if arrived > allowed:
                    yield (
                        f"budget: {arrived} extra arrivals at {service} in the window until "
                        f"{end:.3f}, {allowed:.1f} allowed"
                    )
                    break


def _current_run(request: Request) -> Run | None:
    """Return the run on which a request depended when it ended.

    That is the last one that sent a head which may be relayed; before there is any, the last one
    that no fault affects.
    """
    with_head = [run for run in request.runs if run.head_at is not None]
    if with_head:
        return max(with_head, key=lambda run: run.head_at or 0.0)
    sound = [run for run in request.runs if not run.is_faulty]
    return max(sound or request.runs, key=lambda run: run.accepted_at, default=None)


def _is_out_of_order(request: Request) -> bool:
    if request.ending is Ending.WHOLE and not request.is_genuine:
        return True
    if request.events is None:
        return False
    expected = list(range(1, request.all_events + 1))
    if request.ending is Ending.WHOLE:
        return request.events != expected
    return not request.is_genuine or request.events != expected[: len(request.events)]


def _is_repeated(request: Request) -> bool:
    return request.kind is Kind.ONCE and len(_accepted_runs(request)) > 1


def _is_refused_after_run(request: Request) -> bool:
    is_refused = request.ending is Ending.REFUSED
    return request.kind is Kind.ONCE and is_refused and bool(_accepted_runs(request))


def _accepted_runs(request: Request) -> list[Run]:
    return [run for run in request.runs if not run.is_unread]


def _count_upstreams(request: Request) -> int:
    return len({run.upstream for run in request.runs if run.begun_at is not None})


def _longest_part(span: Span, holes: Iterable[Span]) -> float:
    """Return the length of the longest part of a span outside all holes."""
    start, end = span
    longest = 0.0
    for hole_start, hole_end in sorted(holes):
        if hole_end <= start or hole_start >= end:
            continue
        longest = max(longest, hole_start - start)
        start = max(start, hole_end)
    return max(longest, end - start)
