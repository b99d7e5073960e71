"""Steps the decision code on a virtual clock against models of engines and the weight store.

Only the decisions are real; the network is a constant delay.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol, final

from dragonflyhold.adapters import LoadBackoff, LoadBroker, Popularity, SlotTable, WaitingAdapter
from dragonflyhold.bench.policy_engine import INCARNATION, ONE_WAY_S, Counters, Plan, Runner, Store
from dragonflyhold.bench.policy_workloads import (
    DEPLOYMENTS,
    RUN_S,
    Cell,
    Disturbance,
    Request,
    disturbed_at,
    make_requests,
)
from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import AdapterKey, Fingerprint, UpstreamName
from dragonflyhold.routing import NoRoute, RouteRequest, RouteTo, UpstreamTable
from dragonflyhold.settings.model import RoutingSettings, SlotSettings
from dragonflyhold.states import UpstreamState

HEARTBEAT_S = 1.0
STORE_FAULT_S = 60.0
MAX_ATTEMPTS = 6
FIRST_RETRY_S = 0.02


class Policy(Protocol):
    """Decisions under measurement."""

    name: str
    # Whether loads need no grant of the broker.
    unlimited_loads: bool

    def prepare(self, requests: Sequence[Request]) -> None:
        """Start a run; only the unattainable bound looks at the requests to come."""

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose an upstream."""

    def plan(
        self,
        slots: SlotTable,
        waiting: Sequence[WaitingAdapter],
        popularity: Popularity[AdapterKey],
        backoff: LoadBackoff,
        now: float,
    ) -> Plan:
        """Choose loads and evictions."""


@final
class Simulation:
    """One run of one cell under one policy."""

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
        self.store = Store(self.deployment.budget)
        upstreams = self.deployment.upstreams()
        self.runners = {u.name: Runner(self, u, self.rng) for u in upstreams}
        self.tables = [UpstreamTable(routing_settings) for _ in range(self.deployment.entries)]
        for table in self.tables:
            table.sync(upstreams, 0.0)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule ``call(*args, now)``."""
        self._sequence += 1
        heapq.heappush(self._events, (when, self._sequence, call, args))

    def run(self) -> None:
        """Run to the end."""
        self.policy.prepare(self.requests)
        for request in self.requests:
            request.entry = self.rng.randrange(len(self.tables))
            self.at(request.arrival, self.route, request)
        for number, name in enumerate(self.runners):
            offset = number / len(self.runners)
            self.at(offset * HEARTBEAT_S, self._heartbeat, name)
            self.at(offset * self.slot_settings.tick_s, self._tick, name)
        self.at(disturbed_at(self.cell), self._disturb)
        while self._events and self._events[0][0] <= RUN_S:
            when, _, call, args = heapq.heappop(self._events)
            call(*args, when)
        for runner in self.runners.values():
            runner.integrate(RUN_S)

    def route(self, request: Request, now: float) -> None:
        """Choose an upstream and send."""
        if now > request.deadline:
            self.end(request, ErrorCode.DEADLINE_EXPIRED.value, now)
            return
        table = self.tables[request.entry]
        wanted = RouteRequest(
            request.key.service,
            request.key,
            Fingerprint(request.fingerprint),
            request.kind.batch,
            False,
            request.tried,
        )
        match self.policy.route(wanted, table, now, self.rng):
            case RouteTo(upstream=name):
                request.upstream = name
                request.attempts += 1
                table.record_sent(name, request.key, now)
                self.at(now + ONE_WAY_S, self.runners[name].submit, request)
            case NoRoute(code=code):
                self._retry(request, code, now)

    def refuse(self, request: Request, code: ErrorCode, now: float) -> None:
        """Take back a refused request in its entry."""
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
        """Retry a request that its runner lost, unless tokens were passed on."""
        if request.first_token is not None:
            self.end(request, ErrorCode.UPSTREAM_CRASHED.value, now)
            return
        self.refuse(request, ErrorCode.UPSTREAM_CRASHED, now)

    def mark_down(self, name: UpstreamName, now: float) -> None:
        """Let all entries take a runner for down."""
        for table in self.tables:
            table.record_down(name, now)

    def learn_residency(self, request: Request, now: float) -> None:
        """Pass on what an answer tells about residency."""
        if request.upstream is not None:
            self.tables[request.entry].record_residency(request.upstream, request.key, now)

    def end(self, request: Request, outcome: str, now: float) -> None:
        """Record the end of a request."""
        request.outcome = outcome
        if request.upstream is not None:
            self.tables[request.entry].record_ended(request.upstream, request.key, now)

    def _retry(self, request: Request, code: ErrorCode, now: float) -> None:
        request.upstream = None
        if request.attempts >= MAX_ATTEMPTS:
            self.end(request, code.value, now)
            return
        delay = FIRST_RETRY_S * 2.0**request.attempts * (0.5 + self.rng.random() / 2)
        self.at(now + delay, self.route, request)

    def _tick(self, name: UpstreamName, now: float) -> None:
        self.runners[name].tick(now)
        self.at(now + self.slot_settings.tick_s, self._tick, name)

    def _heartbeat(self, name: UpstreamName, now: float) -> None:
        runner = self.runners[name]
        if runner.is_lost:
            return
        state = UpstreamState.DOWN if now < runner.down_until else UpstreamState.ACTIVE
        for table in self.tables:
            table.record_report(name, INCARNATION, state, runner.snapshot(), now)
        self.at(now + HEARTBEAT_S, self._heartbeat, name)

    def _disturb(self, now: float) -> None:
        match self.cell.disturbance:
            case Disturbance.RESTART_ALL:
                for runner in self.runners.values():
                    runner.restart_engine(now)
            case Disturbance.LOSE_ONE:
                next(iter(self.runners.values())).lose(now)
            case Disturbance.STORE_SLOW:
                self.store.slowdown = 4.0
                self.at(now + STORE_FAULT_S, self._heal_store)
            case Disturbance.STORE_FAILING:
                self.store.failure_share = 0.5
                self.at(now + STORE_FAULT_S, self._heal_store)
            case _:
                pass

    def _heal_store(self, now: float) -> None:
        del now
        self.store.slowdown = 1.0
        self.store.failure_share = 0.0
