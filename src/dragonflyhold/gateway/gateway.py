"""The gateway: accepts client requests and forwards each to an upstream."""

import asyncio
import contextlib
import math
import random
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, final

from dragonflyhold.accounts import (
    Caller,
    ClientAccount,
    StoreContact,
    UnconfirmedKeyError,
    Unidentified,
    UnknownKeyError,
    judge_freshness,
)
from dragonflyhold.balancing import LoadRow
from dragonflyhold.fairness import AccountNeed, Claim, NeedLevel
from dragonflyhold.gateway.account_limits import AccountLimits, Decision
from dragonflyhold.gateway.budget import RetryBudget
from dragonflyhold.gateway.byte_budget import ByteBudget
from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.client_age import ClientAges
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.copies import ReplicaRequests
from dragonflyhold.gateway.crash_evidence import CrashEvidence, RequestTraits, crash_id
from dragonflyhold.gateway.dispatch import UpstreamTable
from dragonflyhold.gateway.engines import AgentLinks
from dragonflyhold.gateway.http_client import Head, strip_hop_by_hop
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.http_server import HttpServer
from dragonflyhold.gateway.logs import JsonLogger, describe
from dragonflyhold.gateway.model import (
    Configuration,
    IngressLimits,
    ModelAdapter,
    RequestInfo,
    Route,
    Upstream,
    UpstreamId,
)
from dragonflyhold.gateway.notices import UpstreamNotices
from dragonflyhold.gateway.origin_directory import OriginDirectory
from dragonflyhold.gateway.outcomes import InDoubtError, Reason, RefusedError
from dragonflyhold.gateway.quarantine import Quarantine
from dragonflyhold.gateway.registry import Registry
from dragonflyhold.gateway.request import RequestRun
from dragonflyhold.gateway.responder import Responder, ResponseStateError
from dragonflyhold.gateway.shutdown import PlannedStop
from dragonflyhold.gateway.silent_engines import SilentEngines
from dragonflyhold.gateway.upstream_view import UpstreamView
from dragonflyhold.gateway.watch import TableWatch
from dragonflyhold.ids import ServiceName, Version
from dragonflyhold.ingress import Standing
from dragonflyhold.observability.metrics import Metrics
from dragonflyhold.platform import codec
from dragonflyhold.platform.settings import DaemonSettings
from dragonflyhold.platform.store import StorePosition

# Share of the platform's limit on serving an old adapter version during which requests may still
# start on it after a new one is published; the rest covers the wait in the upstream's queue.
VERSION_GRACE_SHARE = 0.4
# Retry delay suggested to refused clients, and the range of the random delay added to it.
RETRY_AFTER_S = 0.3
RETRY_JITTER_S = 0.5
# Weight of the newest request in the moving average of a route's request sizes.
SIZE_WEIGHT = 0.02
# Multiple of the mean beyond which a size counts as this multiple in the mean.
MAX_SIZE_RATIO = 20.0
# Utility of loading an adapter whose engine is silent: that of a request of mean size.
LOAD_UTILITY = 1.0
# Engines support 10 urgency levels, 0 to 9.
MAX_URGENCY = 9
_KEY_OUTCOMES = (Reason.UNKNOWN_KEY.value, Reason.KEY_UNCONFIRMED.value)
# Cost of an output token relative to a prompt token, as in the platform's price list.
OUTPUT_TOKEN_WEIGHT = 10


@final
class Gateway:
    """Serves client requests and owns the process's state; runs on a single event loop."""

    def __init__(self, settings: DaemonSettings, metrics: Metrics) -> None:
        self.log = JsonLogger("gateway")
        # Per-request log lines have a rate limit of their own.
        self.request_log = JsonLogger("request")
        # Crowds of clients must not use up the lines of others.
        self._ingress_log = JsonLogger("ingress")
        # A crowd with unknown keys must not crowd out the lines of failures.
        self._key_log = JsonLogger("keys")
        # Bytes of upstreams, clients, the store and peers.
        self.byte_budget = ByteBudget(
            settings.memory_bytes, lambda: metrics.count_event("byte_budget_exceeded")
        )
        self.pool = ConnectionPool(self.byte_budget)
        self.catalogue = Catalogue(
            self._configuration_changed, self._version_changed, count=metrics.count_event
        )
        self.table = UpstreamTable(settings.data_centre, random.Random())
        self.registry = Registry(
            self,
            self._is_store_stable,
            count=metrics.count_event,
            describe_contact=self._describe_store_contact,
            may_have_expired=self._may_have_expired,
        )
        self.budget = RetryBudget(
            settings.bounds.retry_ratio,
            settings.bounds.retry_window_s,
            settings.bounds.retry_slack,
        )
        self.crashes = CrashEvidence()
        self.quarantine = Quarantine(self.crashes)
        self.agent_links = AgentLinks(
            self.table,
            self.catalogue,
            self.crashes,
            settings.agent_port,
            self.required_version,
            self._incarnation_reported,
            metrics.count_event,
        )
        # Where streams began, of this gateway and of others.
        self.origins = OriginDirectory(
            self.agent_links,
            self._registry_read_at,
            metrics.count_event,
            -math.inf if settings.is_first_start else time.monotonic(),
            settings.bounds.drain_s,
            self.table.has_run_since,
        )
        self.agent_links.origins = self.origins
        self.agent_links.read_registry_soon = self._read_registry_soon
        # Tokens of limited accounts, shared with the other gateways.
        self.account_limits = AccountLimits(
            self.agent_links,
            settings.bounds.quota,
            metrics.count_event,
            is_first_start=settings.is_first_start,
        )
        self.agent_links.account_limits = self.account_limits
        self.table.registry_read_at = self._registry_read_at
        self.table.count_gateways = self.agent_links.count_gateways
        # Watches the registry; set by the daemon.
        self.registry_watch: TableWatch | None = None
        # Whether peers were asked for what a restored store may have lost; set by the daemon.
        self.has_newest_rows: Callable[[], bool] = lambda: True
        self.silent_engines = SilentEngines(
            self.pool, settings.vm, self.agent_links.release_waiting
        )
        self.demands = self.agent_links.demands
        self.permits = self.agent_links.permits
        # What accounts usually ask for with an adapter, and without one by service.
        self.account_need = self.agent_links.account_need
        self._plain_needs: dict[ServiceName, AccountNeed] = {}
        self.notices = UpstreamNotices(
            self.table, self.pool, self.agent_links.release_waiting, metrics.count_event
        )
        self.server = HttpServer(
            self.handle,
            IngressLimits(),
            self._log_rejected_request,
            self._log_unanswered_request,
            self._log_failed_request,
            self.byte_budget,
            settings.descriptor_limits.client_connections,
            self.note_overload,
        )
        # Set while the process stops as planned.
        self._planned_stop: PlannedStop | None = None
        # Time limits of the open requests.
        self._limits: set[asyncio.Timeout] = set()
        self._settings = settings
        self._metrics = metrics
        self._mean_sizes: dict[str, float] = {}
        self._replica_requests = ReplicaRequests(self.table, self.demands, self.log)
        self.client_ages = ClientAges()
        self._tasks: set[asyncio.Task[None]] = set()
        self._rng = random.Random()

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served: a configuration and some upstreams are known."""
        return self.catalogue.configuration is not None and bool(self.registry.upstreams)

    # Request handling

    async def handle(self, request: ClientRequest, responder: Responder) -> None:
        """Serve one client request and log its outcome."""
        request_info = codec.decode_request(request.fields)
        run: RequestRun | None = None
        try:
            run = self._admit(request, request_info, responder)
            async with self._limit_time(run):
                await run.run()
            self._log_end(run, request_info, "answered", responder)
        except RefusedError as error:
            self._refuse(responder, error, request_info, run)
        except InDoubtError as error:
            self._fail(responder, 502, error.reason, request_info, run, error.detail)
        except TimeoutError:
            if _is_unsent(run, responder):
                refusal = RefusedError(Reason.TIMEOUT, RETRY_AFTER_S)
                self._refuse(responder, refusal, request_info, run)
            else:
                self._fail(responder, 504, Reason.TIMEOUT, request_info, run)
        except asyncio.CancelledError:
            self._log_end(run, request_info, "client_left", responder)
            raise
        except ResponseStateError as error:
            self.log.error(
                "A response was to be written in a wrong state; its connection is closed.",
                id=request_info.request_id,
                error=str(error),
            )
            self._metrics.count_event("response_state_error")
            self._fail(responder, 502, Reason.INTERNAL, request_info, run)
        except Exception as error:
            # The client gets a response even after an unexpected error; one in this branch is
            # handled by the server.
            self._metrics.count_event("request_failed_unexpectedly")
            self.log.error(
                "An unexpected error ended a request.",
                id=request_info.request_id,
                error=describe(error),
            )
            if _is_unsent(run, responder):
                refusal = RefusedError(Reason.INTERNAL, RETRY_AFTER_S)
                self._refuse(responder, refusal, request_info, run)
            else:
                self._fail(responder, 502, Reason.INTERNAL, request_info, run)

    @contextlib.asynccontextmanager
    async def _limit_time(self, run: RequestRun) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` at the request's deadline, or before a planned stop ends."""
        until = run.deadline
        if self._planned_stop is not None:
            until = min(until, self._planned_stop.answers_by)
        async with asyncio.timeout(max(0.0, until - time.monotonic())) as limit:
            self._limits.add(limit)
            try:
                yield
            finally:
                self._limits.discard(limit)

    def stop_planned(self, stop: PlannedStop) -> None:
        """Answer all requests before a stop ends, and accept only those that can be done by then.

        Those that were sent to no upstream are refused, the others are in doubt.
        """
        self._planned_stop = stop
        loop = asyncio.get_running_loop()
        latest = loop.time() + stop.answers_by - time.monotonic()
        for limit in self._limits:
            when = limit.when()
            if when is None or when > latest:
                limit.reschedule(latest)

    def check_stop(self, deadline: float, service: ServiceName) -> None:
        """Raise ``RefusedError`` for a request that may last longer than the process."""
        stop, now = self._planned_stop, time.monotonic()
        if stop is not None and not stop.accepts(now, deadline - now):
            raise RefusedError(Reason.STOPPING, self.retry_after(service))

    def _admit(
        self, request: ClientRequest, request_info: RequestInfo, responder: Responder
    ) -> RequestRun:
        configuration = self.catalogue.configuration
        if configuration is None:
            raise RefusedError(Reason.NO_CONFIGURATION, RETRY_AFTER_S)
        host = request.fields.get(b"host", b"").decode("latin-1").lower()
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = configuration.find_route(host, path) or configuration.find_route(
            host.rpartition(":")[0], path
        )
        if route is None:
            raise RefusedError(Reason.NO_ROUTE, 0.0)
        caller = self._identify(configuration, route, request, request_info)
        service = self._pick_service(route)
        self.budget.note_request(service)
        self.request_log.info(
            "A request was admitted.",
            id=request_info.request_id,
            route=route.name,
            config=configuration.version,
            service=service,
            account=caller.name if isinstance(caller, ClientAccount) else None,
            left_ms=None
            if request_info.time_left_s is None
            else round(request_info.time_left_s * 1000),
            adapter=request_info.target.adapter if request_info.target else None,
            tokens=request_info.prompt_tokens,
            resumes=request_info.resumed_request_id,
            last_event=request_info.last_event_id,
        )
        run = RequestRun(
            self, request, request_info, route, service, caller, responder, configuration.version
        )
        self.check_stop(run.deadline, service)
        return run

    def _identify(
        self,
        configuration: Configuration,
        route: Route,
        request: ClientRequest,
        request_info: RequestInfo,
    ) -> Caller:
        """Return who sent a request; raise ``RefusedError`` if its key is not accepted.

        The caller stays the same until the request ends, whatever becomes of the key meanwhile.
        """
        if configuration.accounts is None:
            return Unidentified()
        keys, now = codec.client_keys(request.headers), time.monotonic()
        contact = self._store_contact()
        freshness = judge_freshness(contact, self._settings.bounds.max_key_age_s, now)
        try:
            return configuration.accounts.identify(keys, route.allows_anonymous, freshness)
        except UnknownKeyError as error:
            refusal = RefusedError(Reason.UNKNOWN_KEY, 0.0, error.rejection.value)
        except UnconfirmedKeyError as error:
            retry_after_s = RETRY_AFTER_S + self._rng.random() * RETRY_JITTER_S
            refusal = RefusedError(Reason.KEY_UNCONFIRMED, retry_after_s, error.rejection.value)
        self._log_rejected_key(refusal, configuration, route, request_info, contact, now)
        raise refusal

    def _store_contact(self) -> StoreContact:
        watch = self.agent_links.operator_watch
        if watch is None:
            return StoreContact(None, is_behind=True)
        return StoreContact(watch.read_at, watch.is_behind or not self.has_newest_rows())

    def _log_rejected_key(
        self,
        refusal: RefusedError,
        configuration: Configuration,
        route: Route,
        request_info: RequestInfo,
        contact: StoreContact,
        now: float,
    ) -> None:
        self._metrics.count_event(f"key_rejected_{refusal.detail}")
        self._key_log.info(
            "A request's key was not accepted.",
            id=request_info.request_id,
            reason=refusal.detail,
            route=route.name,
            config=configuration.version,
            confirmed_ms_ago=None
            if contact.confirmed_at is None
            else round((now - contact.confirmed_at) * 1000),
            is_behind=contact.is_behind,
        )

    def _pick_service(self, route: Route) -> ServiceName:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service

    def _refuse(
        self,
        responder: Responder,
        error: RefusedError,
        request_info: RequestInfo,
        run: RequestRun | None,
    ) -> None:
        if responder.is_started:
            self.log.error(
                "A refusal came after the response had begun; its connection is closed.",
                id=request_info.request_id,
                reason=error.reason.value,
            )
            self._fail(responder, 502, error.reason, request_info, run, error.detail)
            return
        self._metrics.count_refusal(error.reason.value)
        match error.reason:
            case Reason.NO_ROUTE:
                responder.send(404, [(b"Content-Type", b"text/plain")], b"no route")
            case Reason.UNKNOWN_KEY:
                responder.send(401, [(b"Content-Type", b"text/plain")], b"unknown key")
            case reason:
                status = 429 if reason is Reason.ACCOUNT_LIMIT else 503
                headers = codec.refusal_headers(error.retry_after_s)
                responder.send(status, headers, f"not run: {reason.value}\n".encode())
        self._log_end(run, request_info, error.reason.value, responder, error.detail)

    def _fail(
        self,
        responder: Responder,
        status: int,
        reason: Reason,
        request_info: RequestInfo,
        run: RequestRun | None,
        detail: str = "",
    ) -> None:
        self._metrics.count_event(f"failed_{reason.value}")
        if not responder.is_started:
            responder.send(status, [(b"Content-Type", b"text/plain")], b"in doubt\n")
        elif not responder.is_ended:
            responder.abort()
        self._log_end(run, request_info, f"in doubt: {reason.value}", responder, detail)

    def _log_end(
        self,
        run: RequestRun | None,
        request_info: RequestInfo,
        outcome: str,
        responder: Responder,
        detail: str = "",
    ) -> None:
        fields: dict[str, object] = {"id": request_info.request_id, "outcome": outcome}
        fields["status"] = responder.status
        if detail:
            fields["detail"] = detail
        if run is not None:
            progress = run.progress
            fields.update(
                runner=progress.upstream,
                waited_ms=round(progress.waited_s * 1000),
                total_ms=round((time.monotonic() - progress.received_at) * 1000),
                paced_ms=round(progress.paced_s * 1000),
                attempts=progress.attempts,
                refusals=progress.refusals,
            )
            if progress.limit_decided_by is not None:
                fields["limit_decided_by"] = progress.limit_decided_by
            if progress.software:
                # One entry for each run that brought events.
                fields["software"] = progress.software
            if progress.first_byte_s is not None:
                fields["first_ms"] = round(progress.first_byte_s * 1000)
                self._metrics.observe_first_token("all", progress.first_byte_s)
            if progress.dispatch_wait_s is not None:
                self._metrics.observe_dispatch_wait(progress.dispatch_wait_s)
            if progress.last_piece_at is not None and not responder.is_complete:
                fields["silent_ms"] = round((time.monotonic() - progress.last_piece_at) * 1000)
            if progress.longest_pause_s is not None:
                fields["longest_pause_ms"] = round(progress.longest_pause_s * 1000)
                self._metrics.observe_longest_pause(progress.longest_pause_s)
            if request_info.target is not None:
                fields["adapter"] = request_info.target.adapter
                if progress.waited_s:
                    self._metrics.observe_load_stall("all", progress.waited_s)
        self._metrics.count_request("all", outcome.partition(" ")[0])
        if outcome == "answered":
            self.request_log.info("A request ended.", **fields)
        elif not responder.is_complete:
            self._metrics.count_event("response_incomplete")
            fields["connection"] = responder.connection_end
            if run is not None:
                progress = run.progress
                fields["limit_ms"] = round((run.deadline - progress.received_at) * 1000)
                if progress.last_sent_at is not None:
                    fields["sent_ms"] = round((time.monotonic() - progress.last_sent_at) * 1000)
            self.request_log.loss("A request ended.", **fields)
        elif outcome in _KEY_OUTCOMES:
            self._key_log.info("A request ended.", **fields)
        else:
            self.request_log.failure("A request ended.", **fields)

    def _log_rejected_request(self, status: int, detail: str) -> None:
        self._metrics.count_refusal(f"ingress_{status}")
        self.log.failure(
            "A request was rejected for its framing, its size or a timeout.",
            status=status,
            detail=detail,
        )

    def _log_unanswered_request(self, request: ClientRequest, detail: str) -> None:
        self._metrics.count_event("request_unanswered")
        self.log.loss(
            "A connection was closed without a response to a request.",
            id=codec.request_id(request.fields),
            detail=detail,
        )

    def _log_failed_request(self, request: ClientRequest, detail: str) -> None:
        self._metrics.count_event("request_failed_unexpectedly")
        self.log.error(
            "An unexpected error ended the handling of a request.",
            id=codec.request_id(request.fields),
            detail=detail,
        )

    def note_overload(self, standing: Standing) -> None:
        """Log and count a client's connection that was closed for a new one."""
        self._metrics.count_event(f"connection_gave_way_{standing.value}")
        self._ingress_log.info(
            "A client's connection was closed, as there are too many.", waited_for=standing.value
        )

    # Queries and updates by request runs

    def required_version(self, target: ModelAdapter | None) -> Version:
        """Return the oldest adapter version on which a request may start now."""
        if target is None or target not in self.catalogue.versions:
            return Version(0)
        grace_s = VERSION_GRACE_SHARE * self._settings.bounds.version_s
        if time.monotonic() - self.catalogue.first_seen_at[target] < grace_s:
            return Version(0)
        return self.catalogue.versions[target]

    def estimate_utility(self, route: Route, request_info: RequestInfo) -> float:
        """Return the utility of a request, by its size relative to its route's mean, 0.3 to 4."""
        size = request_info.prompt_tokens + OUTPUT_TOKEN_WEIGHT * request_info.output_tokens
        if size <= 0:
            return 1.0
        mean = self._mean_sizes.get(route.name, float(size))
        self._mean_sizes[route.name] = mean + SIZE_WEIGHT * (
            min(size, MAX_SIZE_RATIO * mean) - mean
        )
        return min(4.0, 0.3 + 0.7 * size / max(mean, 1.0))

    def note_claim(self, claim: Claim, service: ServiceName, has_adapter: bool) -> NeedLevel:
        """Count an account's request; return what it is to the account's usual need."""
        need = self.account_need
        if not has_adapter:
            need = self._plain_needs.setdefault(service, AccountNeed())
        return need.note_request(claim.account, time.monotonic())

    def urgency(self, route: Route, caller: Caller) -> int | None:
        """Return the urgency to send to an engine, ``None`` for plain services."""
        if not route.is_stream:
            return None
        if isinstance(caller, ClientAccount) and caller.priority is not None:
            return min(MAX_URGENCY, caller.priority)
        return min(MAX_URGENCY, route.priority)

    def forwarded_headers(self, request: ClientRequest) -> list[tuple[bytes, bytes]]:
        """Return the client's headers that are forwarded, without hop-by-hop headers."""
        return strip_hop_by_hop(request.headers, request.fields)

    def retry_after(self, service: ServiceName) -> float:
        """Return the retry delay in seconds for a refused client, with random jitter."""
        del service
        return RETRY_AFTER_S + self._rng.random() * RETRY_JITTER_S

    def request_replica_if_overloaded(
        self, service: ServiceName, target: ModelAdapter | None, holder: UpstreamId
    ) -> None:
        """Request a replica of an adapter on another upstream if its holder is overloaded."""
        if target is not None:
            upstream_id = self._replica_requests.find_upstream(service, target, holder)
            if upstream_id is not None:
                self._spawn(self._replica_requests.request_replica(upstream_id, target))

    def request_load(self, upstream_id: UpstreamId, target: ModelAdapter) -> None:
        """Ask for an adapter on another upstream, to which requests of a silent one may move."""
        if not self._replica_requests.is_requested(target):
            self._spawn(self._replica_requests.request_replica(upstream_id, target, LOAD_UTILITY))

    def note_started(
        self, upstream_id: UpstreamId, target: ModelAdapter | None, tokens: int
    ) -> None:
        """Count a request that is sent to an upstream and holds so many tokens there."""
        self.table.request_started(upstream_id, time.monotonic(), tokens)
        if target is not None:
            self.demands.request_started(upstream_id, target)

    def note_ended(self, upstream_id: UpstreamId, target: ModelAdapter | None, tokens: int) -> None:
        """Count a request that ended at an upstream and held so many tokens there."""
        self.table.request_ended(upstream_id, tokens)
        if target is not None:
            self.demands.request_ended(upstream_id, target)

    def note_load(self, upstream: Upstream, head: Head) -> None:
        """Record the load that an upstream reports in its response headers."""
        load = codec.server_load(head)
        if load is not None:
            now = time.monotonic()
            self.table.report_load(upstream, load, now)
            if not self.agent_links.is_engine(upstream):
                row = LoadRow(upstream.incarnation_id, load.other_requests, load.slowness, 0.0)
                self.agent_links.loads.note(row, now)

    def note_limit(self, view: UpstreamView, head: Head, sent_at: float) -> None:
        """Record the limit that an upstream states in a response, or its end.

        ``sent_at`` is the monotonic time at which the request was sent.
        """
        limit = codec.server_limit(head)
        if limit is not None:
            self.permits.note_stated(view, limit)
        elif codec.states_no_limit(head):
            self.permits.note_unstated(view, sent_at)

    def note_outcome(self, upstream_id: UpstreamId, failed: bool) -> None:
        """Record whether an attempt succeeded, for the upstream's failure rate."""
        self.table.record_outcome(upstream_id, failed, time.monotonic())

    def report_successor_error(self, request_id: str, error: Exception) -> None:
        """Log and count an unexpected error of an attempt beside another one, which goes on."""
        self._metrics.count_event("request_failed_unexpectedly")
        self.log.error(
            "An unexpected error ended an attempt at a successor.",
            id=request_id,
            error=describe(error),
        )

    def note_limited(
        self, request_info: RequestInfo, account: ClientAccount, tokens: int, decision: Decision
    ) -> None:
        """Log and count a request beyond its account's limit, or without room below it."""
        self._metrics.count_event(f"account_limited_{decision.cause.value}")
        self.request_log.info(
            "An account's limit allows no request now.",
            id=request_info.request_id,
            account=account.name,
            tokens=tokens,
            decided_by=decision.cause.value,
            return_ms=round(decision.return_s * 1000),
        )

    def count_oversized_response(self) -> None:
        """Count a response that exceeded a limit."""
        self._metrics.count_event("upstream_oversized_response")

    def count_doubtful_refusal(self) -> None:
        """Count a refusal that may belong to another request."""
        self._metrics.count_event("upstream_doubtful_refusal")

    def count_unsound_stream(self) -> None:
        """Count a run of a stream that does not follow the events before it."""
        self._metrics.count_event("upstream_unsound_stream")

    def count_stream_run(self, is_resumed: bool) -> None:
        """Count a run that brought events, by whether others had come before."""
        self._metrics.count_event("stream_resumed" if is_resumed else "stream_begun")

    def count_retry(self, reason: Reason) -> None:
        """Count a retried request."""
        self._metrics.count_retry(reason.value)

    def check_crash(
        self, upstream: Upstream, traits: RequestTraits, request_info: RequestInfo
    ) -> None:
        """Check whether an upstream that closed a connection has crashed.

        The traits of a request that was in flight at a crash may be its cause.
        """
        self._spawn(self._check_crash(upstream, traits, request_info))

    async def _check_crash(
        self, upstream: Upstream, traits: RequestTraits, request_info: RequestInfo
    ) -> None:
        if self.table.is_ending(upstream, time.monotonic()) or await self.pool.can_connect(
            upstream.address
        ):
            return
        self.table.suspend(upstream.upstream_id, time.monotonic())
        news = self.crashes.record_crash(crash_id(upstream), traits)
        self._metrics.count_event("request_in_crash")
        self.log.failure(
            "A request was running when an upstream crashed.",
            id=request_info.request_id,
            parts=[part.decode("latin-1") for part in request_info.prompt_parts],
            traits=[trait.hex() for trait in traits],
            runner=upstream.upstream_id,
        )
        self.agent_links.share_crashes(news)

    def note_answered(self, traits: RequestTraits) -> None:
        """Record a whole answer of an upstream, which shows that the request crashed nothing."""
        self.agent_links.share_crashes(self.crashes.note_answered(traits))

    # Events from the metadata store

    def _configuration_changed(self, configuration: Configuration) -> None:
        self.server.limits = configuration.limits
        self.origins.note_configuration(configuration)
        for service in self._plain_needs.keys() - configuration.services.keys():
            del self._plain_needs[service]
        for upstream in self.registry.upstreams.values():
            # Which upstreams are engines is known only from the configuration.
            self.agent_links.ensure_link(upstream)

    def _version_changed(self, key: ModelAdapter, version: Version) -> None:
        del version
        self.demands.notify_target_waiters(key)

    def _is_store_stable(self) -> bool:
        watch = self.registry_watch
        return watch is not None and watch.contact.is_settled

    def _may_have_expired(self, removed_at: StorePosition) -> bool:
        watch = self.registry_watch
        return watch is None or watch.contact.may_have_expired(removed_at)

    def _describe_store_contact(self) -> dict[str, Any]:
        watch = self.registry_watch
        return watch.contact.describe() if watch is not None else {}

    def _incarnation_reported(self, upstream: Upstream) -> None:
        self.registry.report_incarnation(upstream)
        if upstream.software is None:
            # Its entry states the software, without which streams rather begin elsewhere.
            self._read_registry_soon()

    def _read_registry_soon(self) -> None:
        if self.registry_watch is not None:
            self.registry_watch.read_soon()

    def _registry_read_at(self) -> float | None:
        return self.registry_watch.read_at if self.registry_watch is not None else None

    def upstream_changed(self, upstream: Upstream) -> None:
        """Add or update an upstream."""
        known = self.table.views.get(upstream.upstream_id)
        begins_at = self.origins.upstream_changed(known.upstream if known else None, upstream)
        is_new = self.table.put(upstream, self.agent_links.is_engine(upstream), time.monotonic())
        self.table.views[upstream.upstream_id].begins_streams_at = begins_at
        if is_new:
            self.pool.close_idle(upstream.address)
        self.agent_links.ensure_link(upstream)
        self.demands.notify_upstream_waiters(upstream.upstream_id)

    def upstream_removed(self, upstream: Upstream) -> None:
        """Remove an upstream; its running requests continue."""
        known = self.table.views.get(upstream.upstream_id)
        if known is not None:
            self.origins.upstream_removed(known.upstream)
        self.table.remove(upstream.upstream_id)
        self.demands.remove_upstream(upstream.upstream_id)
        self.pool.close_idle(upstream.address)

    def close(self) -> None:
        """Close the links to all agents."""
        self.silent_engines.close()
        self.agent_links.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _is_unsent(run: RequestRun | None, responder: Responder) -> bool:
    """Return whether a request was sent to no upstream, so that it can be refused as not run."""
    return (run is None or run.progress.upstream is None) and not responder.is_started
