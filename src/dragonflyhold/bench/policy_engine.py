"""Simulated upstreams, each an engine with its sidecar, and the simulated weight store.

An engine is a set of adapter slots and a batch. A sidecar has a queue per adapter for interactive
kinds, which come first, and one for batch kinds.
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

ONE_WAY_DELAY_S = 0.001
PREFILL_S = 0.06
TOKEN_S = 0.025
# Each request in the batch adds this much to the time of a token.
TOKEN_S_PER_BATCHED_REQUEST = 0.0004
LOAD_S = 0.25
EVICT_S = 0.01
# Concurrent loads above which each takes proportionally longer.
FULL_SPEED_LOADS = 24
ENGINE_RESTART_S = 2.0
# Entries mark an upstream as down after this time without a heartbeat.
HEARTBEAT_TIMEOUT_S = 3.0
MAX_QUEUED_REQUESTS = 512
# Share of a batch that requests of batch kinds leave to interactive ones.
INTERACTIVE_RESERVE = 0.25
INCARNATION = Incarnation("0" * 16)

Plan = list[StartLoad | StartEvict]


@final
@dataclasses.dataclass(slots=True)
class Counters:
    """Loads, evictions and batch use of a run."""

    load_times: list[float] = dataclasses.field(default_factory=list)
    load_failures: int = 0
    eviction_times: list[float] = dataclasses.field(default_factory=list)
    # By second of the run, summed over engines: integral of the batch fill ratio, and busy time.
    batch_fill_s: dict[int, float] = dataclasses.field(default_factory=dict)
    busy_s: dict[int, float] = dataclasses.field(default_factory=dict)


@final
class WeightStore:
    """Weight store with a load rate limit, a burst and a transfer time."""

    def __init__(self, budget: LoadBudgetSettings) -> None:
        self.loads_in_progress = 0
        self.slowdown = 1.0
        self.failure_probability = 0.0
        self._interval = 1.0 / budget.loads_per_s
        self._burst = budget.burst
        self._due = 0.0

    def start(self, now: float, unlimited: bool) -> float:
        """Return the duration of a load that starts now, including the wait for the rate limit."""
        self.loads_in_progress += 1
        transfer_s = LOAD_S * max(self.loads_in_progress / FULL_SPEED_LOADS, 1.0)
        if unlimited:
            return transfer_s
        interval = self._interval * self.slowdown
        begin = max(now, self._due - (self._burst - 1) * interval)
        self._due = max(now, self._due) + interval
        return begin - now + transfer_s * self.slowdown


@final
class SimulatedUpstream:
    """Engine with its sidecar."""

    def __init__(self, sim: "Simulation", config: Upstream, rng: random.Random) -> None:
        self.sim = sim
        self.config = config
        self.slots = SlotTable(config.slots)
        self.popularity: Popularity[AdapterKey] = Popularity(
            sim.slot_settings.popularity_half_life_s
        )
        self.backoff = LoadBackoff(sim.slot_settings, rng)
        self.running: set[Request] = set()
        self.interactive: dict[AdapterKey, collections.deque[Request]] = {}
        self.batch: dict[AdapterKey, collections.deque[Request]] = {}
        self.queued = 0
        self.is_unreachable = False
        self.down_until = 0.0
        self._generation = 0
        self._load_number = 0
        self._counted_until = 0.0
        self._next_broker_call_at = 0.0
        self._load_request_numbers: dict[AdapterKey, int] = {}

    def snapshot(self) -> LoadSnapshot:
        """Return the current load report."""
        resident = tuple(
            slot.key for slot in self.slots.slots if slot.key and self.slots.find(slot.key)
        )
        return LoadSnapshot(
            len(self.running), self.queued, self.config.batch_limit, self.config.slots, resident
        )

    def submit(self, request: Request, now: float) -> None:
        """Queue a request, or refuse it if the upstream is unreachable or its queue is full."""
        if self.is_unreachable:
            self.sim.schedule(
                now + HEARTBEAT_TIMEOUT_S, self.sim.refuse, request, ErrorCode.UPSTREAM_DOWN
            )
            return
        if self.queued >= MAX_QUEUED_REQUESTS:
            self.sim.schedule(now + ONE_WAY_DELAY_S, self.sim.refuse, request, ErrorCode.QUEUE_FULL)
            return
        self.popularity.record(request.key, now)
        request.queued = True
        request.enqueued = now
        request.stalled_since = None if self.slots.find(request.key) else now
        queues = self.batch if request.kind.batch else self.interactive
        queues.setdefault(request.key, collections.deque()).append(request)
        self.queued += 1
        self.sim.schedule(request.deadline, self._expire, request, self.config.name)
        self.start_queued(now)

    def tick(self, now: float) -> None:
        """Plan loads and evictions."""
        if self.is_unreachable or now < self.down_until or not self.queued:
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
        if load_requests and now >= self._next_broker_call_at:
            self._request_loads(plan, load_requests, now)

    def start_queued(self, now: float) -> None:
        """Start queued requests whose adapter is resident while the batch has room."""
        if now < self.down_until or self.is_unreachable:
            return
        limit = self.config.batch_limit
        while len(self.running) < limit:
            request = self._pop_runnable(self.interactive)
            if request is None and len(self.running) < limit * (1 - INTERACTIVE_RESERVE):
                request = self._pop_runnable(self.batch)
            if request is None:
                return
            self._start(request, now)

    def restart_engine(self, now: float) -> None:
        """Clear all slots and interrupt running requests; the sidecar keeps its queue."""
        self.update_counters(now)
        self._generation += 1
        self.slots.clear(now)
        self.down_until = now + ENGINE_RESTART_S
        interrupted = sorted(self.running, key=lambda request: request.arrival)
        self.running.clear()
        for request in interrupted:
            self.sim.interrupt(request, now)
        for queues in (self.interactive, self.batch):
            for request in (r for queue in queues.values() for r in queue if r.queued):
                request.stalled_since = now

    def become_unreachable(self, now: float) -> None:
        """Disconnect the VM for good, together with all its requests."""
        self.restart_engine(now)
        self.is_unreachable = True
        self.sim.schedule(now + HEARTBEAT_TIMEOUT_S, self.sim.mark_down, self.config.name)
        for queues in (self.interactive, self.batch):
            for request in [r for queue in queues.values() for r in queue if r.queued]:
                self._leave_queue(request, now)
                self.sim.schedule(now + HEARTBEAT_TIMEOUT_S, self.sim.interrupt, request)
        self.interactive.clear()
        self.batch.clear()

    def update_counters(self, now: float) -> None:
        """Add the time since the last change of the batch to the counters."""
        elapsed = now - self._counted_until
        second = int(self._counted_until)
        if self.running:
            counters = self.sim.counters
            fill_s = len(self.running) / self.config.batch_limit * elapsed
            counters.batch_fill_s[second] = counters.batch_fill_s.get(second, 0.0) + fill_s
            counters.busy_s[second] = counters.busy_s.get(second, 0.0) + elapsed
        self._counted_until = now

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
            utility = sum(request.kind.utility for request in requests)
            oldest_wait_s = now - min(request.enqueued for request in requests)
            is_batch = all(request.kind.batch for request in requests)
            yield WaitingAdapter(key, len(requests), utility, oldest_wait_s, is_batch)

    def _request_loads(self, plan: Plan, load_requests: list[LoadRequest], now: float) -> None:
        grant = self.sim.broker.acquire(
            self.config.name, INCARNATION, load_requests, now + ONE_WAY_DELAY_S
        )
        self._next_broker_call_at = now + 2 * ONE_WAY_DELAY_S + grant.retry_after_s
        granted = set(grant.granted)
        for action in plan:
            if (
                isinstance(action, StartLoad)
                and self._load_request_numbers.get(action.key) in granted
            ):
                self.sim.schedule(now + 2 * ONE_WAY_DELAY_S, self._use_grant, action)

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
        self.sim.counters.load_times.append(now)
        duration = self.sim.weight_store.start(now, self.sim.policy.unlimited_loads)
        self.sim.schedule(
            now + duration, self._on_load_finished, index, key, number, self._generation
        )

    def _on_load_finished(
        self, index: int, key: AdapterKey, number: int, generation: int, now: float
    ) -> None:
        self.sim.weight_store.loads_in_progress -= 1
        self.sim.broker.release(self.config.name, INCARNATION, (number,), now)
        if generation != self._generation:
            return
        if self.sim.rng.random() < self.sim.weight_store.failure_probability:
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
        self.start_queued(now)

    def _evict(self, index: int, now: float) -> None:
        self.slots.begin_evict(index, now)
        self.sim.counters.eviction_times.append(now)
        self.sim.schedule(now + EVICT_S, self._on_evict_finished, index, self._generation)

    def _on_evict_finished(self, index: int, generation: int, now: float) -> None:
        if generation == self._generation:
            self.slots.finish_evict(index, now)

    def _pop_runnable(self, queues: dict[AdapterKey, collections.deque[Request]]) -> Request | None:
        best: collections.deque[Request] | None = None
        for slot in self.slots.slots:
            if slot.state is not SlotState.RESIDENT or slot.key is None:
                continue
            queue = queues.get(slot.key)
            while queue and not queue[0].queued:
                queue.popleft()
            if queue and queue is self.batch.get(slot.key) and not self._may_start_batch(slot.key):
                continue
            if queue and (best is None or queue[0].enqueued < best[0].enqueued):
                best = queue
        return best.popleft() if best else None

    def _may_start_batch(self, key: AdapterKey) -> bool:
        used = {request.key for request in self.running if request.kind.batch}
        slots = (self.slots.find(key) for key in used)
        return may_start_batch(self.slots, key, {slot.index for slot in slots if slot})

    def _start(self, request: Request, now: float) -> None:
        self._leave_queue(request, now)
        slot = self.slots.find(request.key)
        assert slot is not None
        self.slots.pin(slot.index, now)
        self.update_counters(now)
        self.running.add(request)
        token_s = TOKEN_S + TOKEN_S_PER_BATCHED_REQUEST * len(self.running)
        self.sim.schedule(now + PREFILL_S, self._first_token, request, self._generation)
        end = now + PREFILL_S + request.tokens * token_s
        self.sim.schedule(end, self._finish, request, slot.index, self._generation)

    def _first_token(self, request: Request, generation: int, now: float) -> None:
        if generation == self._generation:
            request.first_token = now
            self.sim.record_residency(request, now)

    def _finish(self, request: Request, index: int, generation: int, now: float) -> None:
        if generation != self._generation:
            return
        self.update_counters(now)
        self.running.discard(request)
        self.slots.unpin(index, now)
        self.sim.end(request, "done", now)
        self.start_queued(now)

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
