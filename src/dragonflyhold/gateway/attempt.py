"""One attempt: sends a request to an upstream and relays its response."""

import contextlib
import dataclasses
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar, final

from dragonflyhold.gateway.answers import AnswerUse, decide_use
from dragonflyhold.gateway.connection_pool import SendWithdrawnError
from dragonflyhold.gateway.crash_evidence import RequestTraits
from dragonflyhold.gateway.dispatch import SendNow, WaitFor
from dragonflyhold.gateway.events import EventOrderError, EventSplitter, EventTooLargeError
from dragonflyhold.gateway.http_client import Call, Exchange, ExchangeError, FailureReason, Head
from dragonflyhold.gateway.http_server import ClientRequest, Responder
from dragonflyhold.gateway.limits import MAX_REFUSAL_BYTES
from dragonflyhold.gateway.model import RequestInfo, RetrySafety, Route, SendOptions, Upstream
from dragonflyhold.gateway.outcomes import (
    Answered,
    FailureResponse,
    MayHaveRun,
    NotRun,
    Outcome,
    Reason,
)
from dragonflyhold.gateway.progress import Progress, silence_limit
from dragonflyhold.gateway.stream_origins import origin_of
from dragonflyhold.gateway.tasks import limit_time
from dragonflyhold.ids import ServiceName
from dragonflyhold.platform import codec

if TYPE_CHECKING:
    from dragonflyhold.gateway.gateway import Gateway

Read = TypeVar("Read")

# Minimum time before the deadline that allows another attempt.
MIN_ATTEMPT_S = 0.05
# Interval at which a waiting request checks for another upstream.
CHECK_PERIOD_S = 0.25
# Interval at which a request that waits for bytes checks whether to leave its upstream.
SILENCE_CHECK_S = 0.1
# Silence after which a request that may be repeated is sent to the same upstream on a new
# connection.
RECONNECT_SILENCE_S = 1.0
# Time for the body of a refusal, whose head says all; then the connection is closed.
REFUSAL_BODY_TIMEOUT_S = 0.1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """State of a client request that its attempts share."""

    request: ClientRequest
    request_info: RequestInfo
    route: Route
    service: ServiceName
    # What may crash an upstream in the request.
    traits: RequestTraits
    responder: Responder
    # Monotonic time by which the response must be complete.
    deadline: float
    # Monotonic time by which the response should begin.
    target_at: float
    progress: Progress
    # Stream events relayed so far.
    events: EventSplitter

    @property
    def can_repeat(self) -> bool:
        """Whether another upstream may run the request and go on with its response."""
        if self.route.retry_safety is RetrySafety.ONCE:
            return False
        return not self.responder.is_started or self.events.can_resume


@final
class Attempt:
    """Sends one request to the chosen upstream."""

    def __init__(self, gateway: "Gateway", context: RequestContext, choice: SendNow) -> None:
        self._gateway = gateway
        self._context = context
        self._request_info = context.request_info
        self._responder = context.responder
        self._choice = choice
        self._view = gateway.table.views[choice.upstream_id]
        self._upstream = self._view.upstream
        self._sent_at = 0.0
        # Whether what the answer states about its upstream has been applied.
        self._has_noted = False

    @property
    def upstream(self) -> Upstream:
        """Return the incarnation that the request is sent to."""
        return self._upstream

    async def run(self) -> Outcome:
        """Send the request, once it may start, and relay the response."""
        target = self._request_info.target
        self._gateway.note_started(self._choice.upstream_id, target)
        try:
            is_delayed = await self._wait_for_start()
            now = time.monotonic()
            if is_delayed and self._gateway.table.is_silent(self._choice.upstream_id, now):
                # No grant came: the VM may have frozen during the wait.
                return NotRun(Reason.SILENT, reached_upstream=False)
            if self._gateway.quarantine.is_refused(self._context.traits):
                return NotRun(Reason.SUSPECT, reached_upstream=False)
            if self._context.deadline - now < MIN_ATTEMPT_S:
                # The process may have been paused since the upstream was chosen.
                return NotRun(Reason.TIMEOUT, reached_upstream=False)
            return await self._send()
        finally:
            self._gateway.note_ended(self._choice.upstream_id, target)

    async def _wait_for_start(self) -> bool:
        """Wait for the engine's turn; return whether that delayed the request.

        The adapter counts as used meanwhile.
        """
        context = self._context
        if self._request_info.target is None or context.progress.attempts:
            return False
        delay_s = await self._gateway.agent_links.starts.wait(
            self._view, context.route, self._request_info, context.target_at
        )
        context.progress.paced_s += delay_s
        return delay_s > 0

    async def _send(self) -> Outcome:
        choice, view = self._choice, self._view
        started = self._sent_at = time.monotonic()
        if not self._may_send():
            return NotRun(Reason.WITHDRAWN, reached_upstream=False)
        self._context.progress.upstream = choice.upstream_id
        self._context.progress.note_sent(started)
        exchange: Exchange | None = None
        self._gateway.request_log.info(
            "A request was sent.",
            id=self._request_info.request_id,
            runner=choice.upstream_id,
            load=view.load(started),
            state_age_ms=round((started - view.reported_at) * 1000),
            version=choice.version,
            software=self._upstream.software,
            resume_after=self._context.events.last_id if self._responder.is_started else None,
        )
        try:
            try:
                exchange = await self._gateway.pool.send(
                    view.upstream.address,
                    self._build_call(),
                    self._may_send,
                )
                head = await self._read_head(exchange)
                self._note_stated(exchange)
                if head.status == 200:
                    elapsed = time.monotonic() - started
                    self._gateway.table.note_first_byte(choice.upstream_id, elapsed)
                    self._gateway.agent_links.starts.note_read(
                        choice.upstream_id, self._request_info.prompt_tokens, elapsed
                    )
            except ExchangeError as error:
                return self._handle_exchange_error(error)
            except SendWithdrawnError:
                return NotRun(Reason.WITHDRAWN, reached_upstream=False)
            self._gateway.note_limit(view, head, started)
            return await self._handle_response(exchange, head)
        finally:
            if exchange is not None:
                # An answer also counts if its client has left.
                self._note_stated(exchange)
                self._gateway.pool.release(view.upstream.address, exchange)

    def _may_send(self) -> bool:
        """Return whether the chosen incarnation still takes the request."""
        origin = self._context.progress.origin
        if origin is not None:
            current = self._gateway.table.views.get(self._choice.upstream_id)
            if current is not self._view or not origin.allows(self._view.upstream):
                return False
        return self._view.gate.may_send(time.monotonic())

    def _note_stated(self, exchange: Exchange) -> None:
        """Apply what the answer's head states about its upstream, once."""
        if exchange.head is not None and not self._has_noted:
            self._has_noted = True
            self._gateway.notices.note_answer(
                self._upstream, exchange.head, self._request_info.request_id
            )

    def _build_call(self) -> Call:
        target = self._request_info.target
        required = self._gateway.required_version(target)
        resume_after = self._context.events.last_id if self._responder.is_started else None
        options = SendOptions(
            upstream=self._choice.upstream_id,
            time_left_s=self._context.deadline - time.monotonic(),
            urgency=self._gateway.urgency(self._context.route),
            expected_version=required if target is not None and required > 0 else None,
            resume_after=resume_after,
        )
        headers = codec.upstream_headers(
            self._gateway.forwarded_headers(self._context.request), options
        )
        request_id = self._request_info.request_id.encode("latin-1")
        return Call(
            self._context.request.method,
            self._context.request.target,
            headers,
            self._context.request.body,
            required_header=(codec.REQUEST_ID, request_id),
            request_id=request_id,
        )

    async def _read_head(self, exchange: Exchange) -> Head:
        limit = silence_limit(self._view, self._request_info.prompt_tokens, first=True)
        return await self._read(exchange.read_head, limit)

    async def _read_chunk(self, exchange: Exchange, progress_at: float | None = None) -> bytes:
        """Read a part of the body; ``progress_at`` is the time of the last whole event."""
        limit = silence_limit(self._view, self._request_info.prompt_tokens, first=False)
        return await self._read(exchange.read_chunk, limit, progress_at)

    async def _read(
        self,
        read: Callable[[], Awaitable[Read]],
        silence_s: float,
        progress_at: float | None = None,
    ) -> Read:
        """Read from the upstream; raise ``ExchangeError`` to fail over if it is silent.

        The request stays at a silent upstream until another one can start it at once, since the
        silent one may go on. A request that cannot fail over waits until its deadline.
        """
        silent_at = (time.monotonic() if progress_at is None else progress_at) + silence_s
        while True:
            wait_s = silent_at - time.monotonic()
            try:
                async with limit_time(
                    min(wait_s, SILENCE_CHECK_S) if wait_s > 0 else SILENCE_CHECK_S
                ):
                    result = await read()
            except TimeoutError:
                now = time.monotonic()
                is_unreachable = self._gateway.table.is_unreachable(self._choice.upstream_id, now)
                if (is_unreachable or now >= silent_at) and self._can_fail_over(now):
                    detail = "VM is unreachable" if is_unreachable else "silence"
                    raise ExchangeError(FailureReason.TIMEOUT, True, detail) from None
                if now < silent_at or not self._is_only_request(now):
                    continue
                found = await self._read_after_probe(read)
                if found is None:
                    continue
                result = found
            self._gateway.table.note_received(self._choice.upstream_id, time.monotonic())
            return result

    def _can_fail_over(self, now: float) -> bool:
        """Return whether the request may be repeated and an upstream can start it now.

        If all others have to load the adapter first, one of them is asked to do so.
        """
        context, target = self._context, self._request_info.target
        if not self._may_repeat(now):
            return False
        tried = {*context.progress.tried, self._upstream.upstream_id}
        min_version = self._gateway.required_version(target)
        choice = self._gateway.table.choose_again(
            context.service, target, min_version, now, tried, context.progress.origin
        )
        if isinstance(choice, WaitFor) and target is not None:
            self._gateway.request_load(choice.upstream_id, target)
        return isinstance(choice, SendNow) and self._can_start_at(choice, now)

    def _may_repeat(self, now: float) -> bool:
        context = self._context
        return (
            context.can_repeat
            and context.progress.attempts + 1 < context.route.max_attempts
            and context.deadline - now >= MIN_ATTEMPT_S
            and self._gateway.budget.has_room(context.service)
        )

    def _can_start_at(self, choice: SendNow, now: float) -> bool:
        """Return whether a choice is neither the silent VM once more nor in need of a permit."""
        view = self._gateway.table.views[choice.upstream_id]
        if view is self._view and view.is_heartbeat_overdue(now):
            return False
        return view.limit_per_s is None

    def _is_only_request(self, now: float) -> bool:
        """Return whether only this request's connection may be silent.

        Nothing else depends on the upstream, so a new connection tells whether it still responds.
        """
        view, target = self._view, self._request_info.target
        return (
            self._may_repeat(now)
            and self._gateway.table.views.get(self._choice.upstream_id) is view
            and view.in_flight == 1
            and now - max(view.last_received_at, self._sent_at) > RECONNECT_SILENCE_S
            and view.accepts_work(now)
            and not view.is_heartbeat_overdue(now)
            and (target is None or target in view.resident)
        )

    async def _read_after_probe(self, read: Callable[[], Awaitable[Read]]) -> Read | None:
        """Try a new connection; return what has arrived on the old one meanwhile.

        Raises ``ExchangeError`` if only the old one is silent; returns ``None`` if both are.
        """
        if not await self._gateway.pool.can_connect(self._upstream.address):
            return None
        with contextlib.suppress(TimeoutError):
            async with limit_time(0.0):
                return await read()
        raise ExchangeError(FailureReason.TIMEOUT, True, "silent connection")

    async def _handle_response(self, exchange: Exchange, head: Head) -> Outcome:
        choice = self._choice
        self._gateway.note_load(choice.upstream_id, head)
        use = decide_use(head, self._context.route.is_stream, self._responder.is_started)
        if use in (AnswerUse.TRY_NEXT, AnswerUse.FORWARD_REJECTION):
            return await self._handle_refusal(exchange, head, use)
        if self._context.progress.first_byte_s is None:
            self._context.progress.first_byte_s = time.monotonic() - self._context.request.received
        if use is AnswerUse.RELAY_EVENTS:
            return await self._relay(exchange, head)
        is_failed = head.status >= 500
        if use is AnswerUse.DISCARD and self._responder.is_started:
            # Nothing waits for the body; an upstream that withholds it must not delay the next one.
            self._log_discarded(head)
            self._gateway.note_outcome(choice.upstream_id, failed=is_failed)
            return MayHaveRun(Reason.UPSTREAM_FAILED)
        try:
            body = await self._read_whole_body(exchange)
        except ExchangeError as error:
            return self._handle_exchange_error(error)
        self._gateway.note_outcome(choice.upstream_id, failed=is_failed)
        match use:
            case AnswerUse.FORWARD_WHOLE:
                self._responder.send(head.status, head.end_to_end(), body)
                return Answered(head.status)
            case AnswerUse.KEEP_FAILURE:
                failure = FailureResponse(head.status, tuple(head.end_to_end()), body)
                return MayHaveRun(Reason.UPSTREAM_FAILED, failure)
            case _:
                self._log_discarded(head)
                return MayHaveRun(Reason.UPSTREAM_FAILED)

    def _log_discarded(self, head: Head, detail: str = "") -> None:
        self._gateway.request_log.failure(
            "An upstream's answer was discarded.",
            id=self._request_info.request_id,
            runner=self._choice.upstream_id,
            status=head.status,
            has_begun=self._responder.is_started,
            resume_after=self._context.events.last_id,
            detail=detail,
        )

    async def _read_whole_body(self, exchange: Exchange) -> bytes:
        while chunk := await self._read_chunk(exchange):
            exchange.keep(chunk)
        return exchange.take_body()

    async def _handle_refusal(self, exchange: Exchange, head: Head, use: AnswerUse) -> Outcome:
        choice, view, target = self._choice, self._view, self._request_info.target
        body = b""
        try:
            # Read the body to its end, so that the connection can be reused.
            async with limit_time(REFUSAL_BODY_TIMEOUT_S):
                body = await exchange.read_body(MAX_REFUSAL_BYTES)
        except (ExchangeError, TimeoutError) as error:
            if isinstance(error, ExchangeError) and error.reason is FailureReason.OVERSIZED:
                return self._handle_exchange_error(error)
            self._gateway.request_log.info(
                "The connection ended before a refusal was read to its end.",
                id=self._request_info.request_id,
                error=repr(error),
            )
        if use is AnswerUse.FORWARD_REJECTION:
            self._responder.send(head.status, head.end_to_end(), body)
            return Answered(head.status)
        if head.status == 421:
            if target is not None and target in view.resident:
                self._gateway.table.drop_resident(choice.upstream_id, target)
            else:
                self._gateway.table.suspend(choice.upstream_id, time.monotonic())
        self._gateway.request_log.failure(
            "An upstream refused a request.",
            id=self._request_info.request_id,
            runner=choice.upstream_id,
            answered_by=codec.instance_id(head),
            status=head.status,
            load=view.load(time.monotonic()),
            adapter=target.adapter if target else None,
            version=choice.version,
        )
        return NotRun(Reason.UPSTREAM_REFUSED, reached_upstream=True)

    def _handle_exchange_error(self, error: ExchangeError) -> Outcome:
        choice, now = self._choice, time.monotonic()
        self._gateway.request_log.failure(
            "The exchange with an upstream failed.",
            id=self._request_info.request_id,
            runner=choice.upstream_id,
            reason=error.reason.value,
            sent=error.sent,
            detail=str(error),
        )
        self._gateway.note_outcome(choice.upstream_id, failed=True)
        if error.reason is not FailureReason.TIMEOUT:
            self._gateway.table.note_broken(choice.upstream_id, now)
        if not error.sent:
            self._gateway.table.suspend(choice.upstream_id, now)
            return NotRun(Reason.CONNECT, reached_upstream=False)
        if error.reason is FailureReason.TIMEOUT:
            return MayHaveRun(Reason.SILENT)
        if error.reason is FailureReason.OVERSIZED:
            self._gateway.count_oversized_response()
        if error.reason in (FailureReason.MALFORMED, FailureReason.OVERSIZED):
            return MayHaveRun(Reason.UPSTREAM_FAILED)
        return MayHaveRun(Reason.BROKEN)

    def _lacks_events(self, exchange: Exchange) -> bool:
        """Return whether a stream without framing ended before its first event.

        What goes on after its last event may be empty.
        """
        is_whole_stream = not self._request_info.takes_up_stream
        has_events = self._context.events.run_has_begun
        return exchange.is_close_delimited and is_whole_stream and not has_events

    def _note_run_begun(self) -> None:
        """Record the first event of this run."""
        is_resumed = self._responder.is_started or bool(self._request_info.last_event_id)
        progress = self._context.progress
        progress.software.append(self._upstream.software)
        if progress.origin is None:
            progress.origin, now = origin_of(self._upstream), time.monotonic()
            if not self._gateway.table.is_confirmed(self._upstream, now):
                progress.unsure_since = now
        if self._context.route.retry_safety is RetrySafety.RESUMABLE:
            self._gateway.origins.note_begun(
                self._request_info.request_id,
                self._context.route,
                progress.origin,
                progress.unsure_since is None,
            )
        self._gateway.count_stream_run(is_resumed)

    async def _relay(self, exchange: Exchange, head: Head) -> Outcome:
        """Relay a stream event by event; its response begins with the first one."""
        choice, events = self._choice, self._context.events
        events.start_run()
        if self._responder.is_started:
            self._responder.interrupt()
        event_at = time.monotonic()
        has_begun = False
        try:
            while chunk := await self._read_chunk(exchange, event_at):
                if new_events := events.feed(chunk):
                    if not has_begun:
                        has_begun = True
                        self._note_run_begun()
                    if not self._responder.is_started:
                        self._responder.start_stream(head.status, head.end_to_end())
                    event_at = time.monotonic()
                    self._context.progress.note_piece(event_at)
                    await self._responder.write(new_events)
                events.check()
        except EventOrderError as error:
            self._log_discarded(head, str(error))
            self._gateway.count_unsound_stream()
            self._gateway.note_outcome(choice.upstream_id, failed=True)
            return MayHaveRun(Reason.UPSTREAM_FAILED)
        except EventTooLargeError as error:
            return self._handle_exchange_error(exchange.fail_oversized(str(error)))
        except ExchangeError as error:
            return self._handle_exchange_error(error)
        if events.has_partial or self._lacks_events(exchange):
            # A stream without framing may end like this when its upstream crashes.
            self._gateway.note_outcome(choice.upstream_id, failed=True)
            return MayHaveRun(Reason.BROKEN)
        if self._responder.is_interrupted:
            # Whether the last event is missing can't be told. The client asks for what follows, and
            # gets this end as the whole answer to its own request.
            self._log_discarded(head, "the resumed stream has no events")
            self._gateway.count_unsound_stream()
            return MayHaveRun(Reason.UPSTREAM_FAILED)
        if not self._responder.is_started:
            self._responder.start_stream(head.status, head.end_to_end())
        self._responder.end_stream()
        progress = self._context.progress
        if not progress.attempts and progress.longest_pause_s is not None:
            self._gateway.agent_links.starts.note_stream(
                self._view, self._context.route, progress.longest_pause_s
            )
        self._gateway.note_outcome(choice.upstream_id, failed=False)
        return Answered(head.status)
