"""Execution of one validated request: routing, retries and in-order delivery of each piece once."""

import contextlib
import dataclasses
import hashlib
from collections.abc import Generator, Iterable, Iterator
from typing import final

from dragonflyhold.entry.caller_input import CallerCall, in_doubt_if_permit
from dragonflyhold.entry.context import RunContext
from dragonflyhold.entry.lookups import call_owner
from dragonflyhold.entry.outcomes import error_from_wire
from dragonflyhold.entry.router import (
    AdapterResident,
    AttemptEnded,
    ChooseRoute,
    DecideRetry,
    RouteFixed,
)
from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError, failed, in_doubt, not_run
from dragonflyhold.ids import UpstreamName, parse_request_id
from dragonflyhold.requests.crashes import CrashReport
from dragonflyhold.routing import RouteRequest, RouteTo
from dragonflyhold.routing.retry import FailedAttempt, NoRetry, RetryAfter, combine_outcomes
from dragonflyhold.states import Outcome
from dragonflyhold.transport.open_request import (
    AnswerEnded,
    OpenRequest,
    PieceReceived,
    RequestAccepted,
    RequestEvent,
    RequestLost,
    RequestRefused,
)
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.upstream_stream import UpstreamLink

# The sidecar ends a request at its deadline; the entry waits this much longer for its reply.
DEADLINE_GRACE_S = 1.0
# Interval at which a wait without events checks whether the caller disconnected.
POLL_INTERVAL_S = 0.5


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestStarted:
    """A sidecar accepted the request; repeated with another id after a retry."""

    request_id: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PiecesReceived:
    """Consecutive pieces of the answer; ``sequence`` is the number of the first one."""

    sequence: int
    pieces: tuple[bytes, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """No event arrived within ``POLL_INTERVAL_S``, or a retry is delayed."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCompleted:
    """The answer is complete."""

    request_id: str
    end: pb.End


RunEvent = RequestStarted | PiecesReceived | Waiting | AnswerCompleted


@final
class RequestRun:
    """One caller request; iterate over ``events`` once and close the iterator."""

    def __init__(self, call: CallerCall, context: RunContext) -> None:
        self._call = call
        self._context = context
        self._tried: set[UpstreamName] = set()
        self._attempts = 0
        self._earlier_outcome = Outcome.NOT_RUN
        self._has_delivered_pieces = False
        # Error code that the sidecar returned for the current attempt. Closed connections do not
        # set it, because the link reports them to the router.
        self._refusal_code: ErrorCode | None = None
        self._arrived_at = context.clock()
        self._local_id = context.new_local_id()
        self._digest = hashlib.sha256()
        # Id with which the caller can look the request up.
        self.request_id: str = call.permit or ""

    @property
    def public_id(self) -> str:
        """Request id, or the local id of this entry until a request id is assigned."""
        return self.request_id or self._local_id

    def events(self) -> Generator[RunEvent, None, None]:
        """Yield the events of the run; raise ``RequestError`` if the answer stays incomplete."""
        while True:
            try:
                # Closing this generator closes the attempt, which detaches the request.
                with contextlib.closing(self._attempt()) as attempt:
                    yield from attempt
            except RequestError as error:
                self._explain(f"attempt {self._attempts}: {error}")
                self._context.metrics.count_refusal(error.info.code.value)
                yield from self._wait_for_retry(error.info)
            else:
                return

    def _wait_for_retry(self, info: RefusalInfo) -> Generator[RunEvent, None, None]:
        context, call = self._context, self._call
        if info.code is ErrorCode.CONFIG_STALE and self._refusal_code is None:
            # The configuration of the entry itself is stale, so retries would only spend the retry
            # budget.
            outcome = combine_outcomes(self._earlier_outcome, info.outcome)
            raise RequestError(dataclasses.replace(info, outcome=outcome))
        attempt = FailedAttempt(
            info=info,
            earlier_outcome=self._earlier_outcome,
            idempotent=call.kind.idempotent,
            has_permit=call.permit is not None,
            has_delivered_pieces=self._has_delivered_pieces,
            attempts=self._attempts,
        )
        match context.router.decide_retry(DecideRetry(attempt, context.clock(), call.deadline)):
            case NoRetry(final_info):
                raise RequestError(final_info)
            case RetryAfter(delay_s, reason):
                self._explain(f"retry in {delay_s * 1000:.0f} ms because of {reason.value}")
                context.metrics.count_retry(reason.value)
                self._earlier_outcome = combine_outcomes(self._earlier_outcome, info.outcome)
                yield Waiting()
                context.sleep(delay_s)

    def _attempt(self) -> Generator[RunEvent, None, None]:
        call, context = self._call, self._context
        self._attempts += 1
        self._refusal_code = None
        self._check_admission()
        name = self._route()
        try:
            upstream = context.config.view.upstream(name)
            if upstream is None:
                raise not_run(ErrorCode.NO_UPSTREAM, f"upstream {name} was removed")
            link = context.pool.link(upstream)
            open_request = link.submit(self._submit_message(), call.deadline)
            try:
                yield from self._receive(link, open_request)
            finally:
                if not open_request.is_ended:
                    link.abandon(open_request, detach=True)
        except RequestError:
            self._tried.add(name)
            raise
        finally:
            context.router.record(AttemptEnded(name, call.key, self._refusal_code, context.clock()))

    def _check_admission(self) -> None:
        call, context = self._call, self._context
        error: RequestError | None = None
        if not context.config.is_fresh(context.clock()):
            message = "the entry cannot tell whether its configuration is current"
            error = not_run(ErrorCode.CONFIG_STALE, message, 1000)
        elif context.is_quarantined(call.fingerprint):
            error = not_run(ErrorCode.QUARANTINED, "requests like this one crash upstreams")
            if self._is_permit_declined():
                raise error
        elif not call.kind.idempotent and call.permit is None:
            message = f"kind {call.kind.name} needs a permit in Idempotency-Key"
            error = not_run(ErrorCode.PERMIT_REQUIRED, message)
        if error is not None:
            raise in_doubt_if_permit(error, call.permit)

    def _is_permit_declined(self) -> bool:
        """Ask the owner to decline the permit; return whether it is declined."""
        permit = self._call.permit
        if permit is None:
            return False
        try:
            message = pb.DeclineRequest(request_id=permit)
            reply = call_owner("Decline", message, permit, self._context)
        except RequestError:
            return False
        return bool(reply.state == pb.REQUEST_STATE_DECLINED)

    def _route(self) -> UpstreamName:
        call, context = self._call, self._context
        now = context.clock()
        if call.permit is not None:
            name = self._permit_owner()
            context.router.record(RouteFixed(name, call.key, now))
            self._explain(f"route to {name}: owner of the permit")
            return name
        request = RouteRequest(
            service=call.service,
            key=call.key,
            fingerprint=call.fingerprint,
            batch=call.kind.batch,
            suspected=context.suspected_crashes(call.fingerprint) > 0,
            tried=frozenset(self._tried),
        )
        route = context.router.choose(ChooseRoute(request, now, self._attempts == 1))
        if not isinstance(route, RouteTo):
            # Refusing upstreams are excluded for this time; an earlier retry would find no route.
            wait_ms = int(context.settings.routing.exclude_s * 1000)
            raise not_run(route.code, route.message, wait_ms)
        self._explain(f"route to {route.upstream}: {route.reason.value}")
        return route.upstream

    def _permit_owner(self) -> UpstreamName:
        assert self._call.permit is not None
        name = parse_request_id(self._call.permit).upstream
        upstream = self._context.config.view.upstream(name)
        if upstream is None:
            raise in_doubt(ErrorCode.NO_UPSTREAM, f"the permit's upstream {name} was removed")
        if upstream.service != self._call.service:
            message = f"the permit is of service {upstream.service}"
            raise in_doubt(ErrorCode.WRONG_UPSTREAM, message)
        return name

    def _submit_message(self) -> pb.Submit:
        call = self._call
        submit = pb.Submit(
            request_id=call.permit or "",
            service=call.service,
            kind=call.kind.name,
            caller=call.caller,
            idempotent=call.kind.idempotent,
            stream=call.stream,
            body=call.body,
            fingerprint=call.fingerprint,
            attempt=self._attempts - 1,
            suspected_crashes=self._context.suspected_crashes(call.fingerprint),
        )
        if call.key is not None:
            submit.adapter = call.key.adapter
            submit.version = call.key.version
        if call.plain is not None:
            plain = call.plain
            target = pb.PlainCall(method=plain.method, path=plain.path, headers=plain.headers)
            submit.call.CopyFrom(target)
        return submit

    def _receive(
        self, link: UpstreamLink, open_request: OpenRequest
    ) -> Generator[RunEvent, None, None]:
        self._digest = hashlib.sha256()
        receive_until = self._call.deadline + DEADLINE_GRACE_S
        while True:
            remaining_s = receive_until - self._context.clock()
            if remaining_s <= 0:
                raise self._deadline_error(link, open_request)
            events = open_request.next_events(min(remaining_s, POLL_INTERVAL_S))
            if not events:
                yield Waiting()
            for event in merge_pieces(events):
                match event:
                    case PiecesReceived():
                        yield self._deliver(event)
                    case RequestAccepted(request_id, resident):
                        yield self._record_accepted(link, request_id, resident)
                    case AnswerEnded(end):
                        yield self._complete(link, open_request, end)
                        return
                    case RequestRefused(refused):
                        raise self._refusal_error(refused)
                    case RequestLost(info):
                        self.request_id = open_request.request_id or self.request_id
                        raise lost_request_error(info, self._call)

    def _record_accepted(
        self, link: UpstreamLink, request_id: str, resident: bool
    ) -> RequestStarted:
        if self.request_id:
            self._explain(f"continued as {request_id}")
        else:
            self._context.explain.move(self._local_id, request_id)
        self.request_id = request_id
        residency_text = "adapter loaded" if resident else "adapter not loaded"
        self._explain(f"accepted by {link.upstream}, {residency_text}")
        return RequestStarted(request_id)

    def _deliver(self, pieces_received: PiecesReceived) -> PiecesReceived:
        if not self._has_delivered_pieces:
            wait_s = self._context.clock() - self._arrived_at
            self._context.metrics.observe_first_token(self._call.kind.name, wait_s)
        # Only streamed completions reach the caller before the end; other answers are sent whole.
        self._has_delivered_pieces = self._call.plain is None and self._call.stream
        self._digest.update(b"".join(pieces_received.pieces))
        return pieces_received

    def _complete(
        self, link: UpstreamLink, open_request: OpenRequest, end: pb.End
    ) -> AnswerCompleted:
        call = self._call
        if end.crashed:
            # Merge the sidecar's count. Counting locally would count a crash twice that a peer has
            # already reported.
            report = CrashReport(call.fingerprint, end.suspected_crashes, end.quarantined)
            self._context.crashes.merge([report])
        if end.outcome != pb.OUTCOME_OK:
            raise self._record_refusal(error_from_wire(end.code, end.message, end.outcome))
        if open_request.submit is not None and open_request.submit.suspected_crashes:
            # A suspect runs exclusively, so a successful end clears the suspicion.
            self._context.crashes.clear(call.fingerprint)
        if end.count != open_request.next_sequence or end.digest != self._digest.digest():
            raise failed(ErrorCode.UPSTREAM_ERROR, "the answer does not match its digest")
        if call.key is not None and end.adapter:
            if (end.adapter, end.version) != (call.key.adapter, call.key.version):
                message = f"answered by adapter {end.adapter}:{end.version}"
                raise failed(ErrorCode.UPSTREAM_ERROR, message)
            router = self._context.router
            router.record(AdapterResident(link.upstream, call.key, self._context.clock()))
        if end.load_stall_ms:
            stall_s = end.load_stall_ms / 1000
            self._context.metrics.observe_load_stall(call.kind.name, stall_s)
        link.acknowledge(open_request)
        self._explain(f"ended with {end.count} pieces")
        return AnswerCompleted(self.request_id, end)

    def _refusal_error(self, refused: pb.Refused) -> RequestError:
        self.request_id = refused.request_id or self.request_id
        error = error_from_wire(
            refused.code, refused.message, refused.outcome, refused.retry_after_ms
        )
        return self._record_refusal(error)

    def _record_refusal(self, error: RequestError) -> RequestError:
        self._refusal_code = error.info.code
        return error

    def _deadline_error(self, link: UpstreamLink, open_request: OpenRequest) -> RequestError:
        if link.abandon(open_request, detach=False):
            error = not_run(ErrorCode.DEADLINE_EXPIRED, "the deadline expired before it was sent")
            return in_doubt_if_permit(error, self._call.permit)
        return in_doubt(ErrorCode.DEADLINE_EXPIRED, "no answer came until the deadline")

    def _explain(self, text: str) -> None:
        self._context.explain.add(self.public_id, text)


def merge_pieces(events: Iterable[RequestEvent]) -> Iterator[RequestEvent | PiecesReceived]:
    """Yield the events with consecutive pieces joined, for a single write to the caller."""
    sequence = 0
    pieces: list[bytes] = []
    for event in events:
        if isinstance(event, PieceReceived):
            if not pieces:
                sequence = event.sequence
            pieces.append(event.data)
            continue
        if pieces:
            yield PiecesReceived(sequence, tuple(pieces))
            pieces = []
        yield event
    if pieces:
        yield PiecesReceived(sequence, tuple(pieces))


def lost_request_error(info: RefusalInfo, call: CallerCall) -> RequestError:
    """Return the error of a lost request; one with a permit is never reported as not run."""
    error = RequestError(info)
    return in_doubt_if_permit(error, call.permit) if info.outcome is Outcome.NOT_RUN else error
