"""Discrete-event simulation of policies with simulated upstreams and weight store.

Routing, slot planning and the load broker are the production code; the network has a constant
delay.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol, final

from dragonflyhold.adapters import LoadBackoff, LoadBroker, Popularity, SlotTable, WaitingAdapter
from dragonflyhold.bench.policy_engine import (
    INCARNATION,
    ONE_WAY_DELAY_S,
    Counters,
    Plan,
    SimulatedUpstream,
    WeightStore,
)
from dragonflyhold.bench.policy_workloads import (
    DEPLOYMENTS,
    RUN_S,
    Cell,
    Disturbance,
    Request,
    disturbance_time,
    make_requests,
)
from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import AdapterKey, Fingerprint, UpstreamName
from dragonflyhold.routing import NoRoute, RouteRequest, RouteTo, UpstreamTable
from dragonflyhold.settings.model import RoutingSettings, SlotSettings
from dragonflyhold.states import UpstreamState

HEARTBEAT_S = 1.0
WEIGHT_STORE_FAULT_S = 60.0
MAX_ATTEMPTS = 6
FIRST_RETRY_DELAY_S = 0.02


class Policy(Protocol):
    """Routing and slot planning decisions of a simulation."""

    name: str
    # Whether loads bypass the load broker and the rate limit of the weight store.
    unlimited_loads: bool

    def prepare(self, requests: Sequence[Request]) -> None:
        """Prepare for a run; only the upper bound uses the requests to come."""

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose an upstream for a request."""

    def plan(
        self,
        slots: SlotTable,
        waiting: Sequence[WaitingAdapter],
        popularity: Popularity[AdapterKey],
        backoff: LoadBackoff,
        now: float,
    ) -> Plan:
        """Choose loads and evictions for an engine."""


@final
class Simulation:
    """Simulation of one cell under one policy."""

    def __init__(
        self,
        cell: Cell,
        policy: Policy,
        slot_settings: SlotSettings,
        routing_settings: RoutingSettings,
    ) -> None:
        self.cell = cell
        self.policy = policy
        self.slot_settings = slot_settings
        self.rng = random.Random(f"run {cell.seed}")
        self.deployment = DEPLOYMENTS[cell.deployment]
        self.requests = make_requests(cell)
        self.counters = Counters()
        self.broker = LoadBroker(self.deployment.budget)
        self.weight_store = WeightStore(self.deployment.budget)
        configs = self.deployment.upstreams()
        self.upstreams = {
            config.name: SimulatedUpstream(self, config, self.rng) for config in configs
        }
        self.tables = [UpstreamTable(routing_settings) for _ in range(self.deployment.entries)]
        for table in self.tables:
            table.sync(configs, 0.0)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def schedule(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule ``callback(*args, now)`` at the time ``when``."""
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, callback, args))

    def run(self) -> None:
        """Process all events up to the end of the run."""
        self.policy.prepare(self.requests)
        for request in self.requests:
            request.entry = self.rng.randrange(len(self.tables))
            self.schedule(request.arrival, self.route, request)
        for number, name in enumerate(self.upstreams):
            offset = number / len(self.upstreams)
            self.schedule(offset * HEARTBEAT_S, self._heartbeat, name)
            self.schedule(offset * self.slot_settings.tick_s, self._tick, name)
        self.schedule(disturbance_time(self.cell), self._apply_disturbance)
        while self._events and self._events[0][0] <= RUN_S:
            when, _, callback, args = heapq.heappop(self._events)
            callback(*args, when)
        for upstream in self.upstreams.values():
            upstream.update_counters(RUN_S)

    def route(self, request: Request, now: float) -> None:
        """Choose an upstream and send the request to it."""
        if now > request.deadline:
            self.end(request, ErrorCode.DEADLINE_EXPIRED.value, now)
            return
        table = self.tables[request.entry]
        route_request = RouteRequest(
            request.key.service,
            request.key,
            Fingerprint(request.fingerprint),
            request.kind.batch,
            False,
            request.tried,
        )
        match self.policy.route(route_request, table, now, self.rng):
            case RouteTo(upstream=name):
                request.upstream = name
                request.attempts += 1
                table.record_sent(name, request.key, now)
                self.schedule(now + ONE_WAY_DELAY_S, self.upstreams[name].submit, request)
            case NoRoute(code=code):
                self._retry(request, code, now)

    def refuse(self, request: Request, code: ErrorCode, now: float) -> None:
        """Record a refusal in the entry's table and retry the request."""
        assert request.upstream is not None
        table = self.tables[request.entry]
        table.record_ended(request.upstream, request.key, now)
        if code is ErrorCode.UPSTREAM_DOWN:
            table.record_down(request.upstream, now)
        else:
            table.record_refusal(request.upstream, code, now)
        request.tried |= {request.upstream}
        self._retry(request, code, now)

    def interrupt(self, request: Request, now: float) -> None:
        """Retry a request interrupted by its upstream, unless tokens have been delivered."""
        if request.first_token is not None:
            self.end(request, ErrorCode.UPSTREAM_CRASHED.value, now)
            return
        self.refuse(request, ErrorCode.UPSTREAM_CRASHED, now)

    def mark_down(self, name: UpstreamName, now: float) -> None:
        """Mark an upstream as down in all entries."""
        for table in self.tables:
            table.record_down(name, now)

    def record_residency(self, request: Request, now: float) -> None:
        """Record in the entry that the adapter of an answered request is resident."""
        if request.upstream is not None:
            self.tables[request.entry].record_residency(request.upstream, request.key, now)

    def end(self, request: Request, outcome: str, now: float) -> None:
        """Record the outcome of a request."""
        request.outcome = outcome
        if request.upstream is not None:
            self.tables[request.entry].record_ended(request.upstream, request.key, now)

    def _retry(self, request: Request, code: ErrorCode, now: float) -> None:
        request.upstream = None
        if request.attempts >= MAX_ATTEMPTS:
            self.end(request, code.value, now)
            return
        delay = FIRST_RETRY_DELAY_S * 2.0**request.attempts * (0.5 + self.rng.random() / 2)
        self.schedule(now + delay, self.route, request)

    def _tick(self, name: UpstreamName, now: float) -> None:
        self.upstreams[name].tick(now)
        self.schedule(now + self.slot_settings.tick_s, self._tick, name)

    def _heartbeat(self, name: UpstreamName, now: float) -> None:
        upstream = self.upstreams[name]
        if upstream.is_unreachable:
            return
        state = UpstreamState.DOWN if now < upstream.down_until else UpstreamState.ACTIVE
        for table in self.tables:
            table.record_report(name, INCARNATION, state, upstream.snapshot(), now)
        self.schedule(now + HEARTBEAT_S, self._heartbeat, name)

    def _apply_disturbance(self, now: float) -> None:
        match self.cell.disturbance:
            case Disturbance.RESTART_ALL:
                for upstream in self.upstreams.values():
                    upstream.restart_engine(now)
            case Disturbance.LOSE_ONE:
                next(iter(self.upstreams.values())).become_unreachable(now)
            case Disturbance.STORE_SLOW:
                self.weight_store.slowdown = 4.0
                self.schedule(now + WEIGHT_STORE_FAULT_S, self._restore_weight_store)
            case Disturbance.STORE_FAILING:
                self.weight_store.failure_probability = 0.5
                self.schedule(now + WEIGHT_STORE_FAULT_S, self._restore_weight_store)
            case _:
                pass

    def _restore_weight_store(self, now: float) -> None:
        del now
        self.weight_store.slowdown = 1.0
        self.weight_store.failure_probability = 0.0
