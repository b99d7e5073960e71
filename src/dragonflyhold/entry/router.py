"""Actor that owns the upstream table and the retry budget of an entry daemon."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Any, final

import pykka

from dragonflyhold.config.objects import Upstream
from dragonflyhold.config.view import ConfigView
from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import AdapterKey, Incarnation, Revision, ServiceName, UpstreamName
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.routing import (
    LoadSnapshot,
    NoRoute,
    RouteRequest,
    RouteTo,
    UpstreamTable,
    choose_upstream,
)
from dragonflyhold.routing.retry import (
    FailedAttempt,
    NoRetry,
    RetryAfter,
    RetryBudget,
    decide_retry,
)
from dragonflyhold.settings import RetrySettings, RoutingSettings
from dragonflyhold.states import UpstreamMode, UpstreamState

_log = ComponentLogger("routing")


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChooseRoute:
    """Query for a route; the reply is ``RouteTo`` or ``NoRoute``. Counts the request as sent."""

    request: RouteRequest
    now: float
    is_first_attempt: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RouteFixed:
    """Count a request as sent to the only upstream that may run it."""

    upstream: UpstreamName
    key: AdapterKey | None
    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Count an attempt as ended; ``refusal`` is the error code if the sidecar refused it."""

    upstream: UpstreamName
    key: AdapterKey | None
    refusal: ErrorCode | None
    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdapterResident:
    """An upstream has an adapter loaded."""

    upstream: UpstreamName
    key: AdapterKey
    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportReceived:
    """A sidecar reported its state and load."""

    upstream: UpstreamName
    incarnation: Incarnation
    state: UpstreamState
    load: LoadSnapshot
    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """An upstream started or stopped answering probes."""

    upstream: UpstreamName
    is_up: bool
    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VmListRead:
    """The VM list was read; ``leaving`` are the upstreams it reports as leaving."""

    leaving: frozenset[UpstreamName]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DecideRetry:
    """Query whether a failed attempt is retried; the reply is ``RetryAfter`` or ``NoRetry``."""

    attempt: FailedAttempt
    now: float
    deadline: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ListUpstreams:
    """Query for the known upstreams; the reply is a list of ``UpstreamSummary``."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSummary:
    """State of one upstream in the table of this entry."""

    upstream: Upstream
    state: UpstreamState
    own_requests: int
    is_down: bool


RouterMessage = (
    ChooseRoute
    | RouteFixed
    | AttemptEnded
    | AdapterResident
    | ReportReceived
    | ReachabilityChanged
    | VmListRead
    | DecideRetry
    | ListUpstreams
)


@final
class RouterActor(pykka.ThreadingActor):
    """Serializes access to the upstream table and the retry budget."""

    use_daemon_thread = True

    def __init__(
        self,
        view: ConfigView,
        routing: RoutingSettings,
        retry: RetrySettings,
        rng: random.Random,
        now: float,
    ) -> None:
        super().__init__()
        self._view = view
        self._routing = routing
        self._retry = retry
        self._rng = rng
        self._table = UpstreamTable(routing)
        self._budget = RetryBudget(retry, now)
        self._services: set[ServiceName] = set()
        self._synced_revision: Revision | None = None
        self._leaving: frozenset[UpstreamName] = frozenset()

    def on_receive(self, message: RouterMessage) -> Any:
        """Handle one message."""
        match message:
            case ChooseRoute() | DecideRetry() | ListUpstreams():
                return self._handle_query(message)
            case _:
                return self._handle_observation(message)

    def _handle_query(self, message: ChooseRoute | DecideRetry | ListUpstreams) -> Any:
        match message:
            case ChooseRoute():
                return self._choose(message)
            case DecideRetry(attempt, now, deadline):
                return self._decide_retry(attempt, now, deadline)
            case ListUpstreams():
                return self._summaries()

    def _handle_observation(self, message: RouterMessage) -> None:
        try:
            self._apply(message)
        except Exception:
            # Pykka stops an actor when a message sent with ``tell`` raises.
            _log.exception("Recording an observation failed; it is dropped.", message=message)

    def _apply(self, message: RouterMessage) -> None:
        match message:
            case RouteFixed(upstream, key, now):
                self._table.record_sent(upstream, key, now)
            case AttemptEnded(upstream, key, refusal, now):
                self._table.record_ended(upstream, key, now)
                if refusal is not None:
                    self._table.record_refusal(upstream, refusal, now)
            case AdapterResident(upstream, key, now):
                self._table.record_residency(upstream, key, now)
            case ReportReceived(upstream, incarnation, state, load, now):
                self._table.record_report(upstream, incarnation, state, load, now)
            case ReachabilityChanged(upstream, is_up, now):
                record = self._table.record_up if is_up else self._table.record_down
                record(upstream, now)
            case VmListRead(leaving):
                self._leaving = leaving
                self._synced_revision = None

    def _choose(self, message: ChooseRoute) -> RouteTo | NoRoute:
        request, now = message.request, message.now
        if message.is_first_attempt:
            self._budget.record_request()
        self._sync(request.service, now)
        route = choose_upstream(request, self._table, now, self._routing, self._rng)
        if isinstance(route, RouteTo):
            self._table.record_sent(route.upstream, request.key, now)
        return route

    def _decide_retry(
        self, attempt: FailedAttempt, now: float, deadline: float
    ) -> RetryAfter | NoRetry:
        return decide_retry(attempt, now, deadline, self._budget, self._retry, self._rng)

    def _sync(self, service: ServiceName, now: float) -> None:
        """Update the table to the configuration in force, for all services routed to so far."""
        revision = self._view.revision
        if self._synced_revision == revision and service in self._services:
            return
        if self._view.service(service) is not None:
            self._services.add(service)
        self._table.sync([self._with_effective_mode(row) for row in self._upstreams()], now)
        self._synced_revision = revision

    def _upstreams(self) -> Iterable[Upstream]:
        for service in sorted(self._services):
            yield from self._view.upstreams_of(service)

    def _with_effective_mode(self, upstream: Upstream) -> Upstream:
        if upstream.name not in self._leaving:
            return upstream
        return dataclasses.replace(upstream, mode=UpstreamMode.DRAINING)

    def _summaries(self) -> list[UpstreamSummary]:
        rows = (row for service in sorted(self._services) for row in self._table.rows(service))
        return [
            UpstreamSummary(row.config, row.state, row.own_requests, row.is_down) for row in rows
        ]


@final
class Router:
    """Typed, thread-safe interface to the actor."""

    def __init__(self, ref: "pykka.ActorRef[RouterActor]") -> None:
        self._ref = ref

    def choose(self, message: ChooseRoute) -> RouteTo | NoRoute:
        """Choose a route and count the request as sent."""
        route: RouteTo | NoRoute = self._ask(message)
        return route

    def decide_retry(self, message: DecideRetry) -> RetryAfter | NoRetry:
        """Decide whether a failed attempt is retried."""
        decision: RetryAfter | NoRetry = self._ask(message)
        return decision

    def upstreams(self) -> list[UpstreamSummary]:
        """Return a summary of each known upstream."""
        summaries: list[UpstreamSummary] = self._ask(ListUpstreams())
        return summaries

    def record(self, message: RouterMessage) -> None:
        """Record an observation without waiting for the actor."""
        # Open requests may still end after the actor stopped; their observations are dropped.
        if self._ref.is_alive():
            self._ref.tell(message)

    def stop(self) -> None:
        """Stop the actor."""
        self._ref.stop()

    def _ask(self, message: RouterMessage) -> Any:
        return self._ref.ask(message)
