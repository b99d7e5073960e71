"""One attempt: sends a request to an upstream and relays its response.

A request leaves an upstream that is silent only for one that has accepted it. Until then the old
exchange stays open beside the attempt at the other upstream, its successor, and goes on if it is
the first to send something or if the successor is refused.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar, final

from dragonflyhold.accounts import Caller
from dragonflyhold.gateway.answers import AnswerUse, decide_use, is_refusal_certain
from dragonflyhold.gateway.connection_pool import SendWithdrawnError
from dragonflyhold.gateway.crash_evidence import RequestTraits
from dragonflyhold.gateway.dispatch import SendNow, WaitFor
from dragonflyhold.gateway.events import EventOrderError, EventSplitter, EventTooLargeError
from dragonflyhold.gateway.http_client import Call, Exchange, ExchangeError, FailureReason, Head
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.limits import MAX_REFUSAL_BYTES
from dragonflyhold.gateway.model import (
    RequestInfo,
    RetrySafety,
    Route,
    SendOptions,
    Upstream,
    UpstreamId,
)
from dragonflyhold.gateway.outcomes import (
    Answered,
    FailureResponse,
    MayHaveRun,
    NotRun,
    Outcome,
    Reason,
)
from dragonflyhold.gateway.progress import Progress, silence_limit
from dragonflyhold.gateway.responder import Responder
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
    # Who sent the request, as of the configuration in force when it was admitted.
    caller: Caller
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
@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Another upstream accepted the request; the successor relays its response."""

    successor: "Attempt"


class _SupersededError(Exception):
    """Another upstream has accepted the request."""

    def __init__(self, successor: "Attempt") -> None:
        super().__init__()
        self.successor = successor


@final
class Attempt:
    """Sends one request to the chosen upstream."""

    def __init__(
        self,
        gateway: "Gateway",
        context: RequestContext,
        choice: SendNow,
        predecessors: frozenset[UpstreamId] = frozenset(),
    ) -> None:
        # Whether the upstream may have received a byte of the request.
        self.is_sent = False
        self._gateway = gateway
        self._context = context
        self._request_info = context.request_info
        self._responder = context.responder
        self._choice = choice
        self._view = gateway.table.views[choice.upstream_id]
        self._upstream = self._view.upstream
        self._address = self._upstream.address
        self._sent_at = 0.0
        # Silent upstreams at which the request goes on until this attempt is accepted.
        self._predecessors = predecessors
        self._is_counted = False
        self._is_crash_checked = False
        self._exchange: Exchange | None = None
        self._head: Head | None = None
        # Whether what the answer states about its upstream has been applied.
        self._has_noted = False

    @property
    def upstream(self) -> Upstream:
        """Return the incarnation that the request is sent to."""
        return self._upstream

    @property
    def choice(self) -> SendNow:
        """Return the choice of the upstream."""
        return self._choice

    @property
    def _is_successor(self) -> bool:
        """Whether another attempt goes on until this one is accepted."""
        return bool(self._predecessors)

    async def run(self) -> Outcome | Superseded:
        """Send the request, once it may start, and relay the response."""
        outcome = await self._open()
        return outcome if outcome is not None else await self.finish()

    async def accept(self) -> Outcome | Superseded | None:
        """Send the request as a successor; return ``None`` once its upstream has accepted it.

        The head of a response that can be relayed shows that. Any other outcome closes the attempt,
        so that an error of its own does not end the request, which goes on elsewhere.
        """
        try:
            outcome = await self._open()
            return outcome if outcome is not None else await self._check_accepted()
        except Exception as error:
            self._gateway.report_successor_error(self._request_info.request_id, error)
            self.close()
            return MayHaveRun(Reason.INTERNAL)

    async def _check_accepted(self) -> Outcome | None:
        exchange, head = self._exchange, self._head
        assert exchange is not None
        assert head is not None
        if self._is_accepted(head):
            return None
        use = decide_use(head, self._context.route.is_stream, self._responder.is_started)
        try:
            if use in (AnswerUse.TRY_NEXT, AnswerUse.FORWARD_REJECTION):
                return await self._handle_refusal(exchange, head, AnswerUse.TRY_NEXT)
            self._log_discarded(head)
            self._gateway.note_outcome(self._choice.upstream_id, failed=True)
            return MayHaveRun(Reason.UPSTREAM_FAILED)
        finally:
            self.close()

    def _is_accepted(self, head: Head) -> bool:
        use = decide_use(head, self._context.route.is_stream, self._responder.is_started)
        return use in (AnswerUse.RELAY_EVENTS, AnswerUse.FORWARD_WHOLE)

    async def finish(self) -> Outcome | Superseded:
        """Relay the response whose head has been read."""
        self._predecessors = frozenset()
        assert self._exchange is not None
        assert self._head is not None
        try:
            return await self._handle_response(self._exchange, self._head)
        except _SupersededError as error:
            return Superseded(error.successor)
        finally:
            self.close()

    def close(self) -> None:
        """End the exchange, if there is one; may be called again."""
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            # An answer also counts if its client has left.
            self._note_stated(exchange)
            self._gateway.pool.release(self._address, exchange)
        if self._is_counted:
            self._is_counted = False
            info = self._request_info
            self._gateway.note_ended(self._choice.upstream_id, info.target, info.held_tokens)

    async def _open(self) -> Outcome | Superseded | None:
        """Send the request and read the head; return an outcome if there is none."""
        info = self._request_info
        self._gateway.note_started(self._choice.upstream_id, info.target, info.held_tokens)
        self._is_counted = True
        try:
            outcome = await self._start()
        except BaseException:
            self.close()
            raise
        if outcome is not None:
            self.close()
        return outcome

    async def _start(self) -> Outcome | Superseded | None:
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

    async def _wait_for_start(self) -> bool:
        """Wait for the engine's turn; return whether that delayed the request.

        The adapter counts as used meanwhile.
        """
        context = self._context
        if self._request_info.target is None or context.progress.attempts or self._is_successor:
            return False
        delay_s = await self._gateway.agent_links.starts.wait(
            self._view, context.route, self._request_info, context.target_at
        )
        context.progress.paced_s += delay_s
        return delay_s > 0

    async def _send(self) -> Outcome | Superseded | None:
        choice, view = self._choice, self._view
        started = self._sent_at = time.monotonic()
        if not self._may_send():
            return NotRun(Reason.WITHDRAWN, reached_upstream=False)
        self._context.progress.upstream = choice.upstream_id
        self._context.progress.note_sent(started)
        self._gateway.request_log.info(
            "A request was sent.",
            id=self._request_info.request_id,
            runner=choice.upstream_id,
            load=view.load(started),
            state_age_ms=view.report_age_ms(started),
            own=view.in_flight,
            slowness=view.slowness.rounded(started),
            candidates=choice.basis.candidates if choice.basis else None,
            eligible=choice.basis.eligible if choice.basis else None,
            unreported=round(choice.basis.unreported, 1) if choice.basis else None,
            probability=round(choice.basis.probability, 2) if choice.basis else None,
            version=choice.version,
            software=self._upstream.software,
            resume_after=self._context.events.last_id if self._responder.is_started else None,
            is_successor=self._is_successor,
        )
        try:
            self._address = view.upstream.address
            exchange = self._exchange = await self._gateway.pool.send(
                self._address, self._build_call(), self._may_send
            )
            self.is_sent = True
            head = self._head = await self._read_head(exchange)
        except ExchangeError as error:
            return self._handle_exchange_error(error)
        except SendWithdrawnError:
            return NotRun(Reason.WITHDRAWN, reached_upstream=False)
        except _SupersededError as error:
            return Superseded(error.successor)
        self._note_stated(exchange)
        if head.status == 200:
            elapsed = time.monotonic() - started
            self._gateway.table.note_first_byte(choice.upstream_id, elapsed)
            self._gateway.agent_links.starts.note_read(
                choice.upstream_id, self._request_info.prompt_tokens, elapsed
            )
        self._gateway.note_limit(view, head, started)
        self._gateway.note_load(self._upstream, head)
        return None

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
            urgency=self._gateway.urgency(self._context.route, self._context.caller),
            expected_version=required if target is not None and required > 0 else None,
            resume_after=resume_after,
            caller=self._context.caller,
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

    async def _read_chunk(self, exchange: Exchange) -> bytes:
        return await self._read(exchange.read_chunk, self._pause_limit())

    async def _read_events(self, exchange: Exchange) -> bytes:
        """Return the next whole events, empty at the end of the body.

        Bytes that complete no event are no sign that the upstream goes on.
        """

        async def read() -> bytes:
            while chunk := await exchange.read_chunk():
                if new_events := self._context.events.feed(chunk):
                    return new_events
            return b""

        return await self._read(read, self._pause_limit())

    def _pause_limit(self) -> float:
        return silence_limit(self._view, self._request_info.prompt_tokens, first=False)

    async def _read(
        self,
        read: Callable[[], Awaitable[Read]],
        silence_s: float,
    ) -> Read:
        """Read from the upstream; raise ``_SupersededError`` if a successor goes on instead.

        A request that cannot be sent to another upstream waits until its deadline.
        """
        silent_at = time.monotonic() + silence_s
        while True:
            wait_s = silent_at - time.monotonic()
            try:
                async with limit_time(
                    min(wait_s, SILENCE_CHECK_S) if wait_s > 0 else SILENCE_CHECK_S
                ):
                    result = await read()
            except TimeoutError:
                now = time.monotonic()
                if now < silent_at and not self._is_unreachable(now):
                    continue
                successor = await self._find_successor(now)
                if successor is None:
                    continue
                found = await self._read_beside(read, successor)
                if found is None:
                    continue
                result = found
            self._gateway.table.note_received(self._choice.upstream_id, time.monotonic())
            return result

    async def _read_beside(
        self, read: Callable[[], Awaitable[Read]], successor: "Attempt"
    ) -> Read | None:
        """Return what arrives while a successor is opened, ``None`` if that is not accepted.

        Raises ``_SupersededError`` once the successor is accepted, and ``ExchangeError`` if this
        exchange fails and the successor is not accepted either.
        """
        reading = asyncio.ensure_future(read())
        opening: asyncio.Task[Outcome | Superseded | None] | None = None
        is_settled = False
        try:
            # What has arrived meanwhile comes first.
            await asyncio.wait({reading}, timeout=0.0)
            if reading.done():
                return reading.result()
            opening = asyncio.get_running_loop().create_task(successor.accept())
            await asyncio.wait({reading, opening}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done() and self._goes_on(reading):
                return reading.result()
            if not opening.done():
                # This exchange has failed or was refused, and only the successor is left.
                self._note_broken(reading.exception())
                await asyncio.wait({opening})
            outcome, is_settled = opening.result(), True
            match outcome:
                case NotRun() | MayHaveRun():
                    self._note_successor_failed(successor, outcome)
                    return reading.result() if reading.done() else None
                case Superseded():
                    self._note_successor_failed(successor, MayHaveRun(Reason.SILENT))
                    successor = outcome.successor
            self._note_superseded(successor, reading)
            raise _SupersededError(successor)
        finally:
            _discard(reading)
            if not is_settled:
                self._withdraw(successor, opening)

    def _goes_on(self, reading: asyncio.Future[Read]) -> bool:
        """Return whether what was read is a part of a response that can be relayed."""
        if reading.exception() is not None:
            return False
        result = reading.result()
        return not isinstance(result, Head) or self._is_accepted(result)

    def _withdraw(
        self, successor: "Attempt", opening: asyncio.Task[Outcome | Superseded | None] | None
    ) -> None:
        """Close a successor of which nothing is used; it may run by now."""
        progress = self._context.progress
        outcome = opening.result() if opening is not None and opening.done() else None
        if not isinstance(outcome, NotRun):
            progress.attempts += successor.is_sent
        if isinstance(outcome, Superseded):
            progress.attempts += outcome.successor.is_sent
            outcome.successor.close()
        if opening is not None:
            opening.cancel()
        successor.close()
        progress.upstream = self._choice.upstream_id

    def _note_successor_failed(self, successor: "Attempt", outcome: Outcome) -> None:
        progress = self._context.progress
        progress.tried.add(successor.choice.upstream_id)
        progress.upstream = self._choice.upstream_id
        match outcome:
            case NotRun():
                progress.refusals += 1
            case MayHaveRun(reason):
                progress.attempts += 1
                successor.check_crash(reason)
        self._gateway.request_log.failure(
            "A successor has not accepted a request from a silent upstream.",
            id=self._request_info.request_id,
            runner=self._choice.upstream_id,
            successor=successor.choice.upstream_id,
            outcome=type(outcome).__name__,
            reason=outcome.reason.value if not isinstance(outcome, Answered) else "",
            attempts=progress.attempts,
        )

    def _note_superseded(self, successor: "Attempt", reading: asyncio.Future[Read]) -> None:
        """Record that a successor goes on, and how this exchange has failed if it has."""
        if reading.done():
            if isinstance(error := reading.exception(), ExchangeError):
                self._handle_exchange_error(error)
        else:
            self._gateway.note_outcome(self._choice.upstream_id, failed=True)
        self._gateway.request_log.failure(
            "A successor has accepted a request from a silent upstream.",
            id=self._request_info.request_id,
            runner=self._choice.upstream_id,
            successor=successor.choice.upstream_id,
            is_unreachable=self._is_unreachable(time.monotonic()),
        )

    def check_crash(self, reason: Reason) -> None:
        """Check whether the upstream has crashed if the attempt ended for this reason."""
        if reason is Reason.BROKEN and not self._is_crash_checked:
            self._is_crash_checked = True
            self._gateway.check_crash(self._upstream, self._context.traits, self._request_info)

    def _note_broken(self, error: BaseException | None) -> None:
        if isinstance(error, ExchangeError) and error.reason in (
            FailureReason.RESET,
            FailureReason.CLOSED,
        ):
            self.check_crash(Reason.BROKEN)

    def _is_unreachable(self, now: float) -> bool:
        return self._gateway.table.is_unreachable(self._choice.upstream_id, now)

    async def _find_successor(self, now: float) -> "Attempt | None":
        """Return an attempt at an upstream that seems to take the request now, if there is one.

        It is paid from the retry budget, and the next one waits for a time that doubles.
        """
        progress = self._context.progress
        if now < progress.successor_at or not self._may_repeat(now):
            return None
        choice = self._choose_successor(now)
        if choice is None and await self._is_connection_dead(now):
            choice = SendNow(self._choice.upstream_id, self._choice.version)
        if choice is None or not self._gateway.budget.try_spend(self._context.service):
            return None
        progress.note_successor(time.monotonic())
        left = self._predecessors | {self._upstream.upstream_id}
        return Attempt(self._gateway, self._context, choice, predecessors=left)

    async def _is_connection_dead(self, now: float) -> bool:
        """Return whether only the connection may be silent, and the upstream accepts a new one."""
        return (
            self._is_only_request(now)
            and await self._gateway.pool.can_connect(self._upstream.address)
            and self._gateway.table.views.get(self._choice.upstream_id) is self._view
        )

    def _choose_successor(self, now: float) -> SendNow | None:
        """Choose another upstream that seems to take the request now.

        If all others have to load the adapter first, one of them is asked to do so.
        """
        context, target = self._context, self._request_info.target
        if not self._is_origin_sure():
            return None
        min_version = self._gateway.required_version(target)
        # A sound upstream may just have queued the request, so that it would wait there twice.
        left = {self._upstream.upstream_id, *self._predecessors}
        for excluded in ({*context.progress.tried, *left}, left):
            choice = self._gateway.table.choose(
                context.service,
                target,
                min_version,
                now,
                excluded,
                context.progress.origin,
                self._request_info.held_tokens,
            )
            if isinstance(choice, SendNow):
                view = self._gateway.table.views[choice.upstream_id]
                return choice if view.limit_per_s is None else None
        if isinstance(choice, WaitFor) and target is not None:
            self._gateway.request_load(choice.upstream_id, target)
        return None

    def _is_origin_sure(self) -> bool:
        """Return whether it is known which incarnation began the stream, if any has."""
        progress = self._context.progress
        if progress.origin is None or progress.unsure_since is None:
            return True
        incarnation = progress.origin.incarnation
        if not self._gateway.table.has_run_since(incarnation, progress.unsure_since):
            return False
        progress.unsure_since = None
        return True

    @property
    def _open_attempts(self) -> int:
        """Return the number of attempts that are open, this one and those before it."""
        return 1 + len(self._predecessors)

    def _may_repeat(self, now: float) -> bool:
        context = self._context
        return (
            context.can_repeat
            and context.progress.attempts + self._open_attempts < context.route.max_attempts
            and context.deadline - now >= MIN_ATTEMPT_S
            and self._gateway.budget.has_room(context.service)
            and not self._gateway.quarantine.is_refused(context.traits)
        )

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

    async def _handle_response(self, exchange: Exchange, head: Head) -> Outcome:
        choice = self._choice
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
            body = exchange.take_body()
        if not is_refusal_certain(exchange, body):
            return self._handle_doubtful_refusal(exchange, head)
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

    def _handle_doubtful_refusal(self, exchange: Exchange, head: Head) -> Outcome:
        """Close the connection of a refusal beside which other bytes came."""
        exchange.discard()
        self._gateway.count_doubtful_refusal()
        self._gateway.request_log.failure(
            "A refusal came with bytes of another answer; the request may have run.",
            id=self._request_info.request_id,
            runner=self._choice.upstream_id,
            status=head.status,
        )
        self._gateway.note_outcome(self._choice.upstream_id, failed=True)
        return MayHaveRun(Reason.UPSTREAM_FAILED)

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
        has_begun = False
        try:
            while new_events := await self._read_events(exchange):
                if not has_begun:
                    has_begun = True
                    self._note_run_begun()
                if not self._responder.is_started:
                    self._responder.start_stream(head.status, head.end_to_end())
                self._context.progress.note_piece(time.monotonic())
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


def _discard(reading: asyncio.Future[Read]) -> None:
    """Cancel a read, or mark its error as seen."""
    if not reading.done():
        reading.cancel()
    elif not reading.cancelled():
        reading.exception()
