"""The actor that owns an entry daemon's view of the upstreams and its retry budget."""

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
    """Ask for a route; answered by ``RouteTo`` or ``NoRoute``. The request counts as sent."""

    request: RouteRequest
    now: float
    is_first: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RouteFixed:
    """Count a request that only one upstream may run."""

    upstream: UpstreamName
    key: AdapterKey | None
    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Count the end of an attempt; ``refusal`` is its code if the sidecar refused it."""

    upstream: UpstreamName
    key: AdapterKey | None
    refusal: ErrorCode | None
    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdapterResident:
    """An adapter was found loaded."""

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
    """An upstream stopped or started to answer probes."""

    upstream: UpstreamName
    is_up: bool
    now: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VmListRead:
    """Upstreams that the VM list reports as leaving."""

    leaving: frozenset[UpstreamName]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AskRetry:
    """Ask what follows a failed attempt; answered by ``RetryAfter`` or ``NoRetry``."""

    attempt: FailedAttempt
    now: float
    deadline: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ListUpstreams:
    """Ask for the known upstreams; answered by a list of ``UpstreamSummary``."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSummary:
    """One upstream as the entry sees it."""

    upstream: Upstream
    state: UpstreamState
    own: int
    is_down: bool


RouterMessage = (
    ChooseRoute
    | RouteFixed
    | AttemptEnded
    | AdapterResident
    | ReportReceived
    | ReachabilityChanged
    | VmListRead
    | AskRetry
    | ListUpstreams
)


@final
class RouterActor(pykka.ThreadingActor):
    """Serialises all use of the upstream table and the retry budget."""

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
        self._synced: Revision | None = None
        self._leaving: frozenset[UpstreamName] = frozenset()

    def on_receive(self, message: RouterMessage) -> Any:
        """Handle one message."""
        match message:
            case ChooseRoute() | AskRetry() | ListUpstreams():
                return self._answer(message)
            case _:
                return self._observe(message)

    def _answer(self, message: ChooseRoute | AskRetry | ListUpstreams) -> Any:
        match message:
            case ChooseRoute():
                return self._choose(message)
            case AskRetry(attempt, now, deadline):
                return self._decide(attempt, now, deadline)
            case ListUpstreams():
                return self._summaries()

    def _observe(self, message: RouterMessage) -> None:
        try:
            self._record(message)
        except Exception:
            # An actor ends with the first message that fails and has no asker.
            _log.exception("Observation failed.", message=message)

    def _record(self, message: RouterMessage) -> None:
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
                self._synced = None

    def _choose(self, message: ChooseRoute) -> RouteTo | NoRoute:
        request, now = message.request, message.now
        if message.is_first:
            self._budget.record_request()
        self._sync(request.service, now)
        route = choose_upstream(request, self._table, now, self._routing, self._rng)
        if isinstance(route, RouteTo):
            self._table.record_sent(route.upstream, request.key, now)
        return route

    def _decide(self, attempt: FailedAttempt, now: float, deadline: float) -> RetryAfter | NoRetry:
        return decide_retry(attempt, now, deadline, self._budget, self._retry, self._rng)

    def _sync(self, service: ServiceName, now: float) -> None:
        """Bring the table up to the configuration in force, for the services asked for so far."""
        revision = self._view.revision
        if self._synced == revision and service in self._services:
            return
        if self._view.service(service) is not None:
            self._services.add(service)
        self._table.sync([self._with_mode(row) for row in self._upstreams()], now)
        self._synced = revision

    def _upstreams(self) -> Iterable[Upstream]:
        for service in sorted(self._services):
            yield from self._view.upstreams_of(service)

    def _with_mode(self, upstream: Upstream) -> Upstream:
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
    """Typed access to the actor, safe from any thread."""

    def __init__(self, ref: "pykka.ActorRef[RouterActor]") -> None:
        self._ref = ref

    def choose(self, message: ChooseRoute) -> RouteTo | NoRoute:
        """Return a route."""
        route: RouteTo | NoRoute = self._ask(message)
        return route

    def decide(self, message: AskRetry) -> RetryAfter | NoRetry:
        """Return what follows a failed attempt."""
        decision: RetryAfter | NoRetry = self._ask(message)
        return decision

    def upstreams(self) -> list[UpstreamSummary]:
        """Return the known upstreams."""
        summaries: list[UpstreamSummary] = self._ask(ListUpstreams())
        return summaries

    def tell(self, message: RouterMessage) -> None:
        """Pass on an observation."""
        # Observations that come after the actor stopped are of no use.
        if self._ref.is_alive():
            self._ref.tell(message)

    def stop(self) -> None:
        """Stop the actor."""
        self._ref.stop()

    def _ask(self, message: RouterMessage) -> Any:
        return self._ref.ask(message)
