"""Handles one client request from its arrival to its response."""

import asyncio
import dataclasses
import random
import time
from typing import TYPE_CHECKING, final

from dragonflyhold.accounts import Caller, ClientAccount
from dragonflyhold.fairness import NeedLevel, is_out_of_room, is_queue_too_long, make_claim
from dragonflyhold.gateway.account_limits import Taken
from dragonflyhold.gateway.attempt import (
    CHECK_PERIOD_S,
    MIN_ATTEMPT_S,
    Attempt,
    RequestContext,
    Superseded,
)
from dragonflyhold.gateway.crash_evidence import compute_traits
from dragonflyhold.gateway.dispatch import NoUpstream, SendNow, WaitFor
from dragonflyhold.gateway.events import EventSplitter
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.model import RequestInfo, RetrySafety, Route, UpstreamId
from dragonflyhold.gateway.outcomes import (
    Answered,
    InDoubtError,
    MayHaveRun,
    NotRun,
    Reason,
    RefusedError,
)
from dragonflyhold.gateway.progress import Progress
from dragonflyhold.gateway.responder import Responder
from dragonflyhold.gateway.stream_origins import StreamOrigin
from dragonflyhold.gateway.tasks import limit_time
from dragonflyhold.gateway.upstream_view import UpstreamView
from dragonflyhold.gateway.waiting import Waiter
from dragonflyhold.ids import ServiceName
from dragonflyhold.ratelimits import count_tokens

if TYPE_CHECKING:
    from dragonflyhold.gateway.gateway import Gateway

# Share of the route's target latency for which a request waits while no upstream is available.
NO_UPSTREAM_WAIT_SHARE = 0.12
# Interval between checks for an available upstream while there is none.
NO_UPSTREAM_POLL_S = 0.02
# Refusals by upstreams after which the gateway refuses a request that has not run.
MAX_REFUSALS = 4
# Time after which a request that may have run is sent again after as many refusals; it doubles each
# time.
REFUSAL_PAUSE_S = 0.05
# Share of its remaining time for which the retry of a refused client waits for its adapter.
CLIENT_RETRY_WAIT_SHARE = 0.25
# A client that has been trying for longer than this share of the target latency is retrying after
# a refusal.
CLIENT_RETRY_AGE_SHARE = 0.3
# Retry delay suggested for a request that crashes upstreams.
SUSPECT_RETRY_AFTER_S = 60.0
# Silence of a stream after which its client leaves at the earliest.
CLIENT_PATIENCE_S = 2.0
# Range, as a share of the time until then, over which clients return to upstreams that all turn
# requests away.
RETURN_SPREAD_SHARE = 0.5
# Share of the time until the deadline for which a request may wait for its adapter.
WAIT_SHARE = 0.55


@final
class RequestRun:
    """Runs one request on the shared state that the gateway owns."""

    def __init__(
        self,
        gateway: "Gateway",
        request: ClientRequest,
        request_info: RequestInfo,
        route: Route,
        service: ServiceName,
        caller: Caller,
        responder: Responder,
        config_version: int = 0,
    ) -> None:
        self.progress = Progress(request.received)
        self._gateway = gateway
        self._request = request
        self._request_info = request_info
        self._route = route
        self._service = service
        # Version of the configuration that names the caller and its limit.
        self._config_version = config_version
        self._responder = responder
        # Tokens of the request, if its account has a limit.
        self._taken: Taken | None = None
        limit = route.timeout_s
        if request_info.time_left_s is not None:
            limit = min(limit, request_info.time_left_s)
        self._deadline = request.received + limit
        # Monotonic time until which a request that may have run can wait for another upstream.
        self._retry_until = self._deadline
        self._refusal_pause_s = REFUSAL_PAUSE_S
        self._utility = gateway.estimate_utility(route, request_info)
        self._claim = make_claim(caller, route.priority)
        # Requests beyond their account's usual need give way to those of the others.
        self._standing = NeedLevel.USUAL
        if self._claim is not None:
            has_adapter = request_info.target is not None
            self._standing = gateway.note_claim(self._claim, service, has_adapter)
        age = gateway.client_ages.estimate(route.name, request_info.time_left_s, route.timeout_s)
        self._is_client_retry = age > CLIENT_RETRY_AGE_SHARE * route.target_latency_s
        self._target_at = request.received - age + route.target_latency_s
        is_resumable = route.retry_safety is RetrySafety.RESUMABLE
        self._context = RequestContext(
            request,
            request_info,
            route,
            service,
            caller,
            compute_traits(request, request_info),
            responder,
            self._deadline,
            self._target_at,
            self.progress,
            EventSplitter(request_info.last_event_id if is_resumable else None),
        )

    @property
    def deadline(self) -> float:
        """Return the monotonic time by which the response must be complete."""
        return self._deadline

    async def run(self) -> None:
        """Serve the request; raise ``RefusedError`` or ``InDoubtError``."""
        await self._take_tokens()
        try:
            await self._serve()
        except RefusedError:
            # Not run: its tokens are free again, also if an upstream turned it away.
            self._put_back_tokens()
            raise
        finally:
            if self.progress.last_sent_at is None:
                self._put_back_tokens()

    async def _serve(self) -> None:
        if self._route.is_stream and self._request_info.takes_up_stream:
            await self._find_origin()
        traits = self._context.traits
        while True:
            choice = await self._choose_or_wait()
            attempt = Attempt(self._gateway, self._context, choice)
            outcome = await attempt.run()
            while isinstance(outcome, Superseded):
                self._note_superseded(attempt.choice, outcome.successor.choice)
                attempt = outcome.successor
                outcome = await attempt.finish()
            choice = attempt.choice
            match outcome:
                case Answered():
                    self._gateway.note_answered(traits)
                    return
                case NotRun(reason, reached_upstream):
                    await self._handle_refusal(choice, reason, reached_upstream)
                case MayHaveRun():
                    attempt.check_crash(outcome.reason)
                    if outcome.failure is not None:
                        self._gateway.note_answered(traits)
                    self._handle_failed_attempt(choice, outcome)

    # Limit of the account

    async def _take_tokens(self) -> None:
        """Count the request against its account's limit; raise ``RefusedError`` if that is used."""
        gateway, caller, info = self._gateway, self._context.caller, self._request_info
        if not isinstance(caller, ClientAccount) or caller.limit is None:
            return
        tokens = count_tokens(caller.limit, info.prompt_tokens, info.output_tokens)
        decision = await gateway.account_limits.acquire(
            caller.name, caller.limit, self._config_version, tokens
        )
        self.progress.limit_decided_by = decision.cause.value
        if decision.is_granted:
            self._taken = Taken(caller.name, tokens, time.monotonic(), decision.source)
            return
        gateway.note_limited(info, caller, tokens, decision)
        delay_s = decision.return_s * (1 + RETURN_SPREAD_SHARE * random.random())
        detail = f"account={caller.name} tokens={tokens} decided_by={decision.cause.value}"
        raise self._terminal_error(Reason.ACCOUNT_LIMIT, detail, delay_s)

    def _put_back_tokens(self) -> None:
        taken, self._taken = self._taken, None
        if taken is not None:
            self._gateway.account_limits.put_back(taken)

    def _charge_again(self) -> None:
        """Count the request once more, as it may run once more."""
        if self._taken is not None:
            self._gateway.account_limits.charge(self._taken)

    async def _find_origin(self) -> None:
        """Find out what began the stream that the client takes up, where alone it may go on."""
        info = self._request_info
        origin = await self._gateway.origins.find(info.resumed_request_id, self._route)
        is_allowed = origin is not None and any(
            share.service == origin.service for share in self._route.shares
        )
        self._gateway.request_log.info(
            "A stream is taken up.",
            id=info.request_id,
            resumes=info.resumed_request_id,
            service=origin.service if origin else None,
            software=origin.software if origin else None,
            began_at=origin.incarnation if origin else None,
        )
        if origin is None:
            raise self._terminal_error(Reason.STREAM_UNKNOWN, f"resumes={info.resumed_request_id}")
        if not is_allowed:
            raise self._terminal_error(Reason.STREAM_VERSION_GONE, str(origin.service))
        self.progress.origin = origin
        if origin.service != self._service:
            self._service = origin.service
            self._context = dataclasses.replace(self._context, service=origin.service)

    # Choice of an upstream

    async def _choose_or_wait(self) -> SendNow:
        """Return the upstream to send to; wait for the adapter if it is not resident."""
        gateway, target = self._gateway, self._request_info.target
        wait_until = self._request.received + NO_UPSTREAM_WAIT_SHARE * self._route.target_latency_s
        if self.progress.attempts:
            wait_until = self._retry_until
        elif self.progress.refusals:
            wait_until = time.monotonic() + NO_UPSTREAM_WAIT_SHARE * self._route.target_latency_s
        if gateway.agent_links.has_starting_engine(self._service) or self.progress.origin:
            wait_until = max(wait_until, self._request.received + self._route.target_latency_s)
        while True:
            origin = await self._confirm_origin(wait_until)
            now = time.monotonic()
            if not self.progress.attempts:
                gateway.check_stop(self._deadline, self._service)
            if gateway.quarantine.is_refused(self._context.traits):
                raise self._terminal_error(Reason.SUSPECT)
            if self._deadline - now < MIN_ATTEMPT_S:
                raise self._terminal_error(Reason.TIMEOUT)
            min_version = gateway.required_version(target)
            table, tried = gateway.table, self.progress.tried
            tokens = self._request_info.held_tokens
            match table.choose_again(
                self._service, target, min_version, now, tried, origin, tokens
            ):
                case SendNow() as choice:
                    self._give_way_if_full(table.views[choice.upstream_id], now)
                    gateway.request_replica_if_overloaded(self._service, target, choice.upstream_id)
                    if await self._acquire_permit(choice):
                        return choice
                case WaitFor(upstream_id):
                    await self._wait_for(upstream_id, now)
                case NoUpstream(
                    known_upstreams, free_at, is_turned_away, all_leave, is_gone, is_memory_full
                ):
                    until = min(wait_until, self._deadline - MIN_ATTEMPT_S)
                    detail = f"known={known_upstreams}"
                    if is_gone and origin is not None:
                        detail = f"software={origin.software}"
                        raise self._terminal_error(Reason.STREAM_VERSION_GONE, detail)
                    if all_leave and not self.progress.attempts:
                        raise self._terminal_error(Reason.UPSTREAMS_LEAVING, detail)
                    if free_at is not None and max(now, free_at) >= until:
                        reason = (
                            Reason.UPSTREAM_TURNED_AWAY if is_turned_away else Reason.UPSTREAM_LIMIT
                        )
                        raise self._terminal_error(reason, detail, free_at - now)
                    if now >= until and is_memory_full:
                        raise self._terminal_error(Reason.UPSTREAM_MEMORY, f"tokens={tokens}")
                    if now >= until:
                        raise self._terminal_error(Reason.NO_UPSTREAM, detail)
                    await asyncio.sleep(NO_UPSTREAM_POLL_S)

    async def _confirm_origin(self, wait_until: float) -> StreamOrigin | None:
        """Return what began the stream, ``None`` before its first event.

        Waits until it is known which incarnation that was; raises an error if it can't be.
        """
        progress, gateway = self.progress, self._gateway
        if progress.origin is None:
            return None
        while progress.unsure_since is not None:
            incarnation = progress.origin.incarnation
            has_run = gateway.table.has_run_since(incarnation, progress.unsure_since)
            if has_run:
                progress.unsure_since = None
            elif has_run is None and time.monotonic() < wait_until:
                await asyncio.sleep(NO_UPSTREAM_POLL_S)
            else:
                raise self._terminal_error(Reason.STREAM_UNKNOWN)
        progress.origin = gateway.origins.resolve(progress.origin)
        return progress.origin

    async def _acquire_permit(self, choice: SendNow) -> bool:
        """Return whether the upstream may get the request now, as far as it states a limit."""
        gateway, target = self._gateway, self._request_info.target
        view = gateway.table.views[choice.upstream_id]
        if not await gateway.permits.acquire(view):
            gateway.request_log.info(
                "An upstream's limit allows no request now.",
                id=self._request_info.request_id,
                runner=choice.upstream_id,
                limit_per_s=view.limit_per_s,
                wait_ms=round((view.no_permit_until - time.monotonic()) * 1000),
            )
            return False
        # The state may have changed during the wait for the permit.
        return (
            gateway.table.views.get(choice.upstream_id) is view
            and view.gate.may_send(time.monotonic())
            and (target is None or target in view.resident)
        )

    async def _wait_for(self, upstream_id: UpstreamId, now: float) -> None:
        target = self._request_info.target
        assert target is not None
        view = self._gateway.table.views[upstream_id]
        in_time_until = self._target_at - view.first_byte_s
        until = self._wait_limit(view, in_time_until)
        if now >= until:
            raise self._terminal_error(Reason.ADAPTER_WAIT, str(upstream_id))
        self._give_way_if_late(view, in_time_until, now)
        self._gateway.request_log.info(
            "A request waits for its adapter.",
            id=self._request_info.request_id,
            runner=upstream_id,
            adapter=target.adapter,
            free=view.free_adapter_slots,
            backlog=view.backlog,
            state_age_ms=round((now - view.reported_at) * 1000),
            until_ms=round((until - now) * 1000),
            **self._claim_fields(),
        )
        waiter = Waiter(
            target, upstream_id, self._utility, in_time_until, asyncio.Event(), self._claim
        )
        self._gateway.demands.add_waiter(waiter)
        self._gateway.table.note_waiting(upstream_id)
        try:
            async with limit_time(min(until - now, CHECK_PERIOD_S)):
                await waiter.ready.wait()
        except TimeoutError:
            # Choose again: the choice and the limit depend on the engine's current state.
            pass
        finally:
            self._gateway.demands.remove_waiter(waiter)
            self.progress.waited_s += time.monotonic() - now

    def _claim_fields(self) -> dict[str, object]:
        """Return the fields of log lines that tell for whom the request asks."""
        if self._claim is None:
            return {}
        return {
            "account_tag": f"{self._claim.account:08x}",
            "rank": self._claim.rank,
            "standing": self._standing.name.lower(),
        }

    @property
    def _may_give_way(self) -> bool:
        """Whether the request is beyond its account's usual need and belongs to no begun work.

        A request that has waited keeps its place: the load for it is under way or next to come.
        """
        progress = self.progress
        has_begun = progress.attempts or progress.waited_s or progress.origin is not None
        return self._standing is not NeedLevel.USUAL and not has_begun

    def _give_way_if_late(self, view: UpstreamView, in_time_until: float, now: float) -> None:
        """Refuse a request in excess of its account's need behind a backlog that is too long."""
        is_next = view.backlog == 0 or self._request_info.target in view.loading_or_awaited
        if is_next or not self._may_give_way or self._standing is not NeedLevel.EXCESS:
            return
        spec = self._gateway.catalogue.engine_spec(self._service)
        slots = spec.adapter_slots if spec is not None else 1
        if is_out_of_room(view.backlog, slots, in_time_until - now):
            raise self._account_error(view, f"backlog={view.backlog}")

    def _give_way_if_full(self, view: UpstreamView, now: float) -> None:
        """Refuse a request beyond its account's usual need if the upstream's queue is too long.

        The upstream is the least loaded one that could serve the request.
        """
        if not self._may_give_way:
            return
        load, slots, left_s = view.load(now), view.upstream.slots, self._target_at - now
        if is_queue_too_long(self._standing, load, slots, view.first_byte_s, left_s):
            first_ms = round(1000 * view.first_byte_s)
            raise self._account_error(view, f"load={load:.0f} slots={slots} first_ms={first_ms}")

    def _account_error(self, view: UpstreamView, detail: str) -> RefusedError | InDoubtError:
        standing = self._standing.name.lower()
        detail = f"{view.upstream.upstream_id} {detail} standing={standing}"
        return self._terminal_error(Reason.ACCOUNT_SHARE, detail)

    def _wait_limit(self, view: UpstreamView, in_time_until: float) -> float:
        """Return the monotonic time until which to wait for an adapter at an upstream.

        If the engine has a backlog, a request that can no longer be answered in time is refused
        with a retry delay. The client's retry is late in any case, so it waits for a fixed share
        of its remaining time. A request that may have run can't be refused: it waits for as long as
        its client does.
        """
        if self.progress.attempts:
            return self._retry_until
        received_at, time_left_s = self._request.received, self._deadline - self._request.received
        if view.backlog == 0 or self._request_info.target in view.loading:
            return received_at + WAIT_SHARE * time_left_s
        if self._is_client_retry:
            return received_at + CLIENT_RETRY_WAIT_SHARE * time_left_s
        return min(received_at + WAIT_SHARE * time_left_s, in_time_until)

    # Outcomes of attempts

    async def _handle_refusal(
        self, choice: SendNow, reason: Reason, reached_upstream: bool
    ) -> None:
        if reason is Reason.WITHDRAWN:
            self._gateway.count_retry(reason)
            return
        self.progress.refusals += 1
        self.progress.tried.add(choice.upstream_id)
        if self.progress.refusals >= MAX_REFUSALS:
            if not self.progress.attempts and not self._responder.is_started:
                raise self._terminal_error(reason)
            await self._pause_after_refusal(reason)
        if reached_upstream and not self._gateway.budget.try_spend(self._service):
            raise self._terminal_error(Reason.RETRY_BUDGET)
        self._gateway.count_retry(reason)

    async def _pause_after_refusal(self, reason: Reason) -> None:
        """Wait before a request that may have run is sent again, as its client can't be refused."""
        pause_s, self._refusal_pause_s = self._refusal_pause_s, 2 * self._refusal_pause_s
        if time.monotonic() + pause_s >= self._retry_until:
            raise self._terminal_error(reason)
        await asyncio.sleep(pause_s)

    def _note_superseded(self, left: SendNow, successor: SendNow) -> None:
        """Count an attempt whose upstream was silent as failed."""
        self.progress.attempts += 1
        self.progress.tried.add(left.upstream_id)
        self.progress.upstream = successor.upstream_id
        self._set_retry_limit()
        self._charge_again()
        self._gateway.count_retry(Reason.SILENT)

    def _set_retry_limit(self) -> None:
        self._retry_until = min(
            time.monotonic() + CLIENT_PATIENCE_S, self._deadline - MIN_ATTEMPT_S
        )

    def _handle_failed_attempt(self, choice: SendNow, outcome: MayHaveRun) -> None:
        self.progress.attempts += 1
        self.progress.tried.add(choice.upstream_id)
        self._set_retry_limit()
        may_retry = (
            self._context.can_repeat
            and self.progress.attempts < self._route.max_attempts
            and self._deadline - time.monotonic() > MIN_ATTEMPT_S
            and self._gateway.budget.try_spend(self._service)
        )
        self._gateway.request_log.failure(
            "An attempt failed.",
            id=self._request_info.request_id,
            runner=choice.upstream_id,
            reason=outcome.reason.value,
            attempts=self.progress.attempts,
            repeats=may_retry,
            kind=self._route.retry_safety.value,
        )
        if may_retry:
            self._charge_again()
            self._gateway.count_retry(outcome.reason)
            return
        failure = outcome.failure
        if failure is not None and not self._responder.is_started:
            self._responder.send(failure.status, failure.headers, failure.body)
        raise InDoubtError(outcome.reason)

    def _terminal_error(
        self, reason: Reason, detail: str = "", min_retry_after_s: float = 0.0
    ) -> RefusedError | InDoubtError:
        """Return the error that ends a request without a complete response."""
        if self.progress.attempts or self._responder.is_started:
            return InDoubtError(reason, detail)
        if reason is Reason.SUSPECT:
            return RefusedError(reason, SUSPECT_RETRY_AFTER_S, detail)
        if reason is Reason.UPSTREAM_TURNED_AWAY:
            min_retry_after_s *= 1 + RETURN_SPREAD_SHARE * random.random()
        return RefusedError(reason, min_retry_after_s + self._retry_after(), detail)

    def _retry_after(self) -> float:
        return self._gateway.retry_after(self._service)
