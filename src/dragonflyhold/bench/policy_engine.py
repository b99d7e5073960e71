"""Models of an engine with its sidecar, and of the weight store.

An engine is a set of slots and a batch. The queue of a sidecar is a deque per adapter in which
interactive kinds come first.
"""

import collections
import dataclasses
import random
from collections.abc import Iterator
from typing import TYPE_CHECKING, final

from dragonflyhold.adapters import (
    LoadBackoff,
    LoadRequest,
    Popularity,
    SlotState,
    SlotTable,
    StartEvict,
    StartLoad,
    WaitingAdapter,
    may_start_batch,
)
from dragonflyhold.bench.policy_workloads import Request
from dragonflyhold.config.objects import Upstream
from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import AdapterKey, EngineAdapterName, Incarnation, UpstreamName
from dragonflyhold.routing import LoadSnapshot
from dragonflyhold.settings.model import LoadBudgetSettings

if TYPE_CHECKING:
    from dragonflyhold.bench.policy_model import Simulation

ONE_WAY_S = 0.001
PREFILL_S = 0.06
TOKEN_S = 0.025
# Added to the time of a token by each request in the batch.
TOKEN_PER_REQUEST_S = 0.0004
LOAD_S = 0.25
EVICT_S = 0.01
FULL_SPEED_LOADS = 24
ENGINE_RESTART_S = 2.0
# Time after which entries take a lost runner for down.
SILENCE_S = 3.0
MAX_QUEUE = 512
INTERACTIVE_RESERVE = 0.25
INCARNATION = Incarnation("0" * 16)

Plan = list[StartLoad | StartEvict]


@final
@dataclasses.dataclass(slots=True)
class Counters:
    """Totals over the measured part of a run."""

    loads: list[float] = dataclasses.field(default_factory=list)
    load_failures: int = 0
    evictions: list[float] = dataclasses.field(default_factory=list)
    # Integrals over time per second of the run: requests in batches, engines at work.
    running: dict[int, float] = dataclasses.field(default_factory=dict)
    busy: dict[int, float] = dataclasses.field(default_factory=dict)


@final
class Store:
    """The weight store: a rate, a burst, and a transit time."""

    def __init__(self, budget: LoadBudgetSettings) -> None:
        self.in_transit = 0
        self.slowdown = 1.0
        self.failure_share = 0.0
        self._interval = 1.0 / budget.loads_per_s
        self._burst = budget.burst
        self._due = 0.0

    def start(self, now: float, unlimited: bool) -> float:
        """Return the duration of a load that starts now; loads above the rate wait."""
        self.in_transit += 1
        transit = LOAD_S * max(self.in_transit / FULL_SPEED_LOADS, 1.0)
        if unlimited:
            return transit
        interval = self._interval * self.slowdown
        begin = max(now, self._due - (self._burst - 1) * interval)
        self._due = max(now, self._due) + interval
        return begin - now + transit * self.slowdown


@final
class Runner:
    """An engine with its sidecar."""

    def __init__(self, sim: "Simulation", upstream: Upstream, rng: random.Random) -> None:
        self.sim = sim
        self.config = upstream
        self.slots = SlotTable(upstream.slots)
        self.popularity: Popularity[AdapterKey] = Popularity(
            sim.slot_settings.popularity_half_life_s
        )
        self.backoff = LoadBackoff(sim.slot_settings, rng)
        self.running: set[Request] = set()
        self.interactive: dict[AdapterKey, collections.deque[Request]] = {}
        self.batch: dict[AdapterKey, collections.deque[Request]] = {}
        self.queued = 0
        self.is_lost = False
        self.down_until = 0.0
        self._generation = 0
        self._load_number = 0
        self._changed = 0.0
        self._ask_at = 0.0
        self._load_request_numbers: dict[AdapterKey, int] = {}

    def snapshot(self) -> LoadSnapshot:
        """Return the load report."""
        resident = tuple(
            slot.key for slot in self.slots.slots if slot.key and self.slots.find(slot.key)
        )
        return LoadSnapshot(
            len(self.running), self.queued, self.config.batch_limit, self.config.slots, resident
        )

    def submit(self, request: Request, now: float) -> None:
        """Queue a request, or refuse it."""
        if self.is_lost:
            self.sim.at(now + SILENCE_S, self.sim.refuse, request, ErrorCode.UPSTREAM_DOWN)
            return
        if self.queued >= MAX_QUEUE:
            self.sim.at(now + ONE_WAY_S, self.sim.refuse, request, ErrorCode.QUEUE_FULL)
            return
        self.popularity.record(request.key, now)
        request.queued = True
        request.enqueued = now
        request.stalled_since = None if self.slots.find(request.key) else now
        queues = self.batch if request.kind.batch else self.interactive
        queues.setdefault(request.key, collections.deque()).append(request)
        self.queued += 1
        self.sim.at(request.deadline, self._expire, request, self.config.name)
        self.pump(now)

    def tick(self, now: float) -> None:
        """Plan loads and evictions."""
        if self.is_lost or now < self.down_until or not self.queued:
            return
        waiting = list(self._waiting(now))
        plan = self.sim.policy.plan(self.slots, waiting, self.popularity, self.backoff, now)
        load_requests: list[LoadRequest] = []
        for action in plan:
            match action:
                case StartEvict(index=index):
                    self._evict(index, now)
                case StartLoad(index=index, key=key, utility=utility):
                    if self.sim.policy.unlimited_loads:
                        self._load(index, key, now)
                    else:
                        number = self._load_request_numbers.setdefault(key, self._next_number())
                        load_requests.append(LoadRequest(number, str(key), utility))
        if load_requests and now >= self._ask_at:
            self._ask_broker(plan, load_requests, now)

    def pump(self, now: float) -> None:
        """Start queued requests whose adapter is resident while the batch has room."""
        if now < self.down_until or self.is_lost:
            return
        limit = self.config.batch_limit
        while len(self.running) < limit:
            request = self._pop(self.interactive)
            if request is None and len(self.running) < limit * (1 - INTERACTIVE_RESERVE):
                request = self._pop(self.batch)
            if request is None:
                return
            self._start(request, now)

    def restart_engine(self, now: float) -> None:
        """Lose all slots and running requests; the sidecar lives on."""
        self.integrate(now)
        self._generation += 1
        self.slots.clear(now)
        self.down_until = now + ENGINE_RESTART_S
        lost = sorted(self.running, key=lambda request: request.arrival)
        self.running.clear()
        for request in lost:
            self.sim.interrupt(request, now)
        for queues in (self.interactive, self.batch):
            for request in (r for queue in queues.values() for r in queue if r.queued):
                request.stalled_since = now

    def lose(self, now: float) -> None:
        """Vanish with everything."""
        self.restart_engine(now)
        self.is_lost = True
        self.sim.at(now + SILENCE_S, self.sim.mark_down, self.config.name)
        for queues in (self.interactive, self.batch):
            for request in [r for queue in queues.values() for r in queue if r.queued]:
                self._leave_queue(request, now)
                self.sim.at(now + SILENCE_S, self.sim.interrupt, request)
        self.interactive.clear()
        self.batch.clear()

    def integrate(self, now: float) -> None:
        """Add the time since the last change of the batch to the totals."""
        elapsed = now - self._changed
        second = int(self._changed)
        if self.running:
            counters = self.sim.counters
            batch = len(self.running) / self.config.batch_limit * elapsed
            counters.running[second] = counters.running.get(second, 0.0) + batch
            counters.busy[second] = counters.busy.get(second, 0.0) + elapsed
        self._changed = now

    def _next_number(self) -> int:
        self._load_number += 1
        return self._load_number

    def _waiting(self, now: float) -> Iterator[WaitingAdapter]:
        for key in [*self.interactive, *(key for key in self.batch if key not in self.interactive)]:
            requests = [
                request
                for queues in (self.interactive, self.batch)
                for request in queues.get(key, ())
                if request.queued
            ]
            if not requests:
                self.interactive.pop(key, None)
                self.batch.pop(key, None)
                continue
            utility = sum(request.kind.worth for request in requests)
            oldest = now - min(request.enqueued for request in requests)
            is_batch = all(request.kind.batch for request in requests)
            yield WaitingAdapter(key, len(requests), utility, oldest, is_batch)

    def _ask_broker(self, plan: Plan, load_requests: list[LoadRequest], now: float) -> None:
        grant = self.sim.broker.acquire(
            self.config.name, INCARNATION, load_requests, now + ONE_WAY_S
        )
        self._ask_at = now + 2 * ONE_WAY_S + grant.retry_after_s
        granted = set(grant.granted)
        for action in plan:
            if (
                isinstance(action, StartLoad)
                and self._load_request_numbers.get(action.key) in granted
            ):
                self.sim.at(now + 2 * ONE_WAY_S, self._use_grant, action)

    def _use_grant(self, action: StartLoad, now: float) -> None:
        number = self._load_request_numbers.pop(action.key, 0)
        slot = self.slots.slots[action.index]
        if slot.state is not SlotState.EMPTY or self.slots.holder(action.key) is not None:
            self.sim.broker.release(self.config.name, INCARNATION, (number,), now)
            return
        self._load(action.index, action.key, now, number)

    def _load(self, index: int, key: AdapterKey, now: float, number: int = 0) -> None:
        name = EngineAdapterName(f"{key.adapter}-{self._next_number()}")
        self.slots.begin_load(index, key, name, now)
        self.sim.counters.loads.append(now)
        duration = self.sim.store.start(now, self.sim.policy.unlimited_loads)
        self.sim.at(now + duration, self._loaded, index, key, number, self._generation)

    def _loaded(self, index: int, key: AdapterKey, number: int, run: int, now: float) -> None:
        self.sim.store.in_transit -= 1
        self.sim.broker.release(self.config.name, INCARNATION, (number,), now)
        if run != self._generation:
            return
        if self.sim.rng.random() < self.sim.store.failure_share:
            self.slots.fail_load(index, now)
            self.backoff.record_failure(key, now)
            self.sim.counters.load_failures += 1
            return
        self.slots.finish_load(index, now)
        self.backoff.record_success(key)
        for queues in (self.interactive, self.batch):
            for request in queues.get(key, ()):
                if request.queued:
                    self._end_stall(request, now)
        self.pump(now)

    def _evict(self, index: int, now: float) -> None:
        self.slots.begin_evict(index, now)
        self.sim.counters.evictions.append(now)
        self.sim.at(now + EVICT_S, self._evicted, index, self._generation)

    def _evicted(self, index: int, run: int, now: float) -> None:
        if run == self._generation:
            self.slots.finish_evict(index, now)

    def _pop(self, queues: dict[AdapterKey, collections.deque[Request]]) -> Request | None:
        best: collections.deque[Request] | None = None
        for slot in self.slots.slots:
            if slot.state is not SlotState.RESIDENT or slot.key is None:
                continue
            queue = queues.get(slot.key)
            while queue and not queue[0].queued:
                queue.popleft()
            if queue and queue is self.batch.get(slot.key) and not self._may_start(slot.key):
                continue
            if queue and (best is None or queue[0].enqueued < best[0].enqueued):
                best = queue
        return best.popleft() if best else None

    def _may_start(self, key: AdapterKey) -> bool:
        used = {request.key for request in self.running if request.kind.batch}
        slots = (self.slots.find(key) for key in used)
        return may_start_batch(self.slots, key, {slot.index for slot in slots if slot})

    def _start(self, request: Request, now: float) -> None:
        self._leave_queue(request, now)
        slot = self.slots.find(request.key)
        assert slot is not None
        self.slots.pin(slot.index, now)
        self.integrate(now)
        self.running.add(request)
        token_s = TOKEN_S + TOKEN_PER_REQUEST_S * len(self.running)
        self.sim.at(now + PREFILL_S, self._first_token, request, self._generation)
        end = now + PREFILL_S + request.tokens * token_s
        self.sim.at(end, self._finish, request, slot.index, self._generation)

    def _first_token(self, request: Request, run: int, now: float) -> None:
        if run == self._generation:
            request.first_token = now
            self.sim.learn_residency(request, now)

    def _finish(self, request: Request, index: int, run: int, now: float) -> None:
        if run != self._generation:
            return
        self.integrate(now)
        self.running.discard(request)
        self.slots.unpin(index, now)
        self.sim.end(request, "done", now)
        self.pump(now)

    def _expire(self, request: Request, upstream: UpstreamName, now: float) -> None:
        if request.queued and request.upstream == upstream:
            self._leave_queue(request, now)
            self.sim.end(request, ErrorCode.DEADLINE_EXPIRED.value, now)

    def _leave_queue(self, request: Request, now: float) -> None:
        request.queued = False
        self.queued -= 1
        self._end_stall(request, now)

    def _end_stall(self, request: Request, now: float) -> None:
        if request.stalled_since is not None:
            request.stall_s += now - request.stalled_since
            request.stalled_since = None
