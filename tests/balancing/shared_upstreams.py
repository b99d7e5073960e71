"""Upstreams shared by gateways that each know old reports; drives a choice without a network."""

import bisect
import dataclasses
import heapq
import random
from collections.abc import Callable, Sequence

from dragonflyhold.balancing import ArrivalRate, Candidate, choose
from dragonflyhold.gateway.dispatch import MAX_DRAWN

SLOTS = 8
SERVICE_S = 0.25
# A request that waits longer than this for a slot begins late.
LATE_S = 0.25
SAMPLE_S = 0.05


@dataclasses.dataclass(frozen=True)
class Load:
    """A pattern of load; each request may go to ``holders`` upstreams, 0 for all of them."""

    gateways: int
    upstreams: int
    report_s: float
    utilization: float = 0.8
    slowness: Sequence[float] = (1.0,)
    holders: int = 0
    # Gateways that get ten times the requests of the others.
    busy_gateways: int = 0
    duration_s: float = 12.0


@dataclasses.dataclass
class Figures:
    """What callers and upstreams saw."""

    # Requests that began late, and that waited while another candidate had a free slot.
    late: float
    idle_elsewhere: float
    # Longest queue relative to the mean load, averaged over time.
    unevenness: float
    choices: int


@dataclasses.dataclass(slots=True)
class _Upstream:
    slowness: float
    phase_s: float
    free_at: list[float] = dataclasses.field(default_factory=lambda: [0.0] * SLOTS)
    ends: list[float] = dataclasses.field(default_factory=list)
    reported: int = 0
    reported_at: float = -1.0
    sent: dict[int, int] = dataclasses.field(default_factory=dict)

    def refresh(self, now: float, report_s: float) -> None:
        """Take the last report that was due."""
        due = (now - self.phase_s) // report_s * report_s + self.phase_s
        if due > self.reported_at:
            self.reported_at, self.reported = due, self.load(due)
            self.sent.clear()

    def load(self, now: float) -> int:
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return len(self.ends)

    def run(self, now: float, work_s: float) -> float:
        """Run a request; return how long it waits for a slot."""
        start = max(now, heapq.heappop(self.free_at))
        end = start + work_s * self.slowness
        heapq.heappush(self.free_at, end)
        heapq.heappush(self.ends, end)
        return start - now


@dataclasses.dataclass(frozen=True)
class View:
    """What one gateway knows when it chooses; ``ids`` are those of the candidates."""

    gateway: int
    gateways: int
    ids: Sequence[int]
    candidates: Sequence[Candidate]
    others_per_s: float


Policy = Callable[[View, random.Random], int]


def load_interpretation(view: View, rng: random.Random) -> int:
    return choose(view.candidates, view.others_per_s, rng)[0]


def play(load: Load, policy: Policy, seed: int = 1) -> Figures:
    """Play a load; the rate of the others is estimated as the gateways do."""
    rng = random.Random(f"{seed} {load.gateways} {load.upstreams}")
    upstreams = [
        _Upstream(load.slowness[index % len(load.slowness)], rng.random() * load.report_s)
        for index in range(load.upstreams)
    ]
    capacity = sum(SLOTS / upstream.slowness for upstream in upstreams)
    arrivals_per_s = load.utilization * capacity / SERVICE_S
    rates = [ArrivalRate() for _ in range(load.gateways)]
    gateway_weights = [10.0 if n < load.busy_gateways else 1.0 for n in range(load.gateways)]
    gateway_ends = [sum(gateway_weights[: n + 1]) for n in range(load.gateways)]
    now, sample_at, unevenness, counts = 0.0, 2.0, [], [0, 0, 0]
    while now < load.duration_s:
        now += rng.expovariate(arrivals_per_s)
        gateway = bisect.bisect(gateway_ends, rng.random() * gateway_ends[-1])
        if load.holders:
            first = rng.randrange(load.upstreams)
            ids = [(first + n) % load.upstreams for n in range(load.holders)]
        else:
            ids = rng.sample(range(load.upstreams), min(load.upstreams, MAX_DRAWN))
        allowed = [upstreams[index] for index in ids]
        for upstream in allowed:
            upstream.refresh(now, load.report_s)
        candidates = [
            Candidate(
                upstream.reported,
                upstream.sent.get(gateway, 0),
                SLOTS / upstream.slowness,
                now - upstream.reported_at,
            )
            for upstream in allowed
        ]
        others_per_s = rates[gateway].per_s(now) * (load.gateways - 1) / load.upstreams
        view = View(gateway, load.gateways, ids, candidates, others_per_s)
        chosen = allowed[policy(view, rng)]
        rates[gateway].note(now)
        chosen.sent[gateway] = chosen.sent.get(gateway, 0) + 1
        is_idle = any(upstream.load(now) < SLOTS for upstream in allowed)
        wait_s = chosen.run(now, rng.expovariate(1 / SERVICE_S))
        if now < 2.0:
            continue
        counts[0] += 1
        counts[1] += wait_s > LATE_S
        counts[2] += wait_s > 0.0 and is_idle
        if now >= sample_at:
            sample_at += SAMPLE_S
            loads = [upstream.load(now) * upstream.slowness for upstream in upstreams]
            unevenness.append(max(loads) / max(1.0, sum(loads) / len(loads)))
    return Figures(
        counts[1] / counts[0],
        counts[2] / counts[0],
        sum(unevenness) / len(unevenness),
        counts[0],
    )
