"""Workloads of the two deployments and disturbances for policy simulations."""

import bisect
import dataclasses
import enum
import itertools
import math
import random
from typing import final

from dragonflyhold.config.objects import Upstream
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    DataCentre,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.settings.model import LoadBudgetSettings

# Requests of the warm-up, in which the adapter slots fill up, are not measured.
WARM_UP_S = 60.0
RUN_S = 300.0


class Disturbance(enum.Enum):
    """Disturbance at a random time of a run; ``STEADY`` is a run without one."""

    STEADY = "steady"
    SHIFT = "shift"
    COLD_BUSIEST = "cold_busiest"
    RESTART_ALL = "restart_all"
    LOSE_ONE = "lose_one"
    STORE_SLOW = "store_slow"
    STORE_FAILING = "store_failing"
    FLOOD = "flood"


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """Request kind with its traffic; ``rate`` is in requests per second at level 1."""

    name: str
    service: ServiceName
    utility: float
    deadline_s: float
    mean_tokens: int
    rate: float
    batch: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentSpec:
    """One region of a deployment."""

    name: str
    # Numbers of upstreams and adapters by service.
    upstream_counts: dict[ServiceName, int]
    adapter_counts: dict[ServiceName, int]
    kinds: tuple[Kind, ...]
    budget: LoadBudgetSettings
    load_stall_weight: float
    batch_efficiency_weight: float
    entries: int = 4
    slots: int = 8
    batch_limit: int = 32

    def upstreams(self) -> list[Upstream]:
        """Return the configuration objects of the upstreams."""
        return [
            Upstream(
                name=UpstreamName(f"{service}-{number}"),
                service=service,
                data_centre=DataCentre(f"dc-{number % 3}"),
                sidecar_address="127.0.0.1:1",
                slots=self.slots,
                batch_limit=self.batch_limit,
            )
            for service, count in self.upstream_counts.items()
            for number in range(count)
        ]


TAPSTER = ServiceName("tapster-lm")
KERNEL = ServiceName("kernel-assist")
DESK = ServiceName("ticket-desk")


def association(night: bool) -> DeploymentSpec:
    """Return the association's deployment: gate traffic by day, settlement drafts at night."""
    gate, settlement = (1.0, 1.5) if night else (10.0, 0.1)
    return DeploymentSpec(
        name="association-night" if night else "association",
        upstream_counts={TAPSTER: 5},
        adapter_counts={TAPSTER: 3000},
        kinds=(
            Kind(
                name="gate",
                service=TAPSTER,
                utility=10.0,
                deadline_s=3.0,
                mean_tokens=24,
                rate=gate,
            ),
            Kind(
                name="settlement",
                service=TAPSTER,
                utility=0.2,
                deadline_s=3600.0,
                mean_tokens=600,
                rate=settlement,
                batch=True,
            ),
        ),
        budget=LoadBudgetSettings(loads_per_s=6.0, burst=3, max_in_transit=24),
        load_stall_weight=3.0,
        batch_efficiency_weight=1.0,
    )


def kauri_ridge(night: bool) -> DeploymentSpec:
    """Return Kauri Ridge's deployment: counters by day, long summaries overnight."""
    counter, assist, summary = (0.5, 1.0, 1.5) if night else (4.0, 5.0, 0.1)
    return DeploymentSpec(
        name="kauri-ridge-night" if night else "kauri-ridge",
        upstream_counts={KERNEL: 6, DESK: 3},
        adapter_counts={KERNEL: 2000, DESK: 1000},
        kinds=(
            Kind(
                name="counter",
                service=DESK,
                utility=10.0,
                deadline_s=5.0,
                mean_tokens=40,
                rate=counter,
            ),
            Kind(
                name="assist",
                service=KERNEL,
                utility=5.0,
                deadline_s=5.0,
                mean_tokens=80,
                rate=assist,
            ),
            Kind(
                name="summary",
                service=KERNEL,
                utility=0.2,
                deadline_s=3600.0,
                mean_tokens=900,
                rate=summary,
                batch=True,
            ),
        ),
        budget=LoadBudgetSettings(loads_per_s=4.5, burst=3, max_in_transit=24),
        load_stall_weight=1.0,
        batch_efficiency_weight=3.0,
    )


DEPLOYMENTS = {
    deployment.name: deployment
    for make in (association, kauri_ridge)
    for deployment in (make(False), make(True))
}


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cell:
    """Parameters of one run."""

    deployment: str
    disturbance: Disturbance
    # Factor on the request rates.
    level: float
    zipf: float
    seed: int

    @property
    def name(self) -> str:
        """Name of the cell without its seed."""
        return f"{self.deployment}/{self.disturbance.value}/x{self.level:g}/zipf{self.zipf:g}"


@final
@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request and its progress; times are in seconds since the start of the run."""

    kind: Kind
    key: AdapterKey
    arrival: float
    tokens: int
    fingerprint: bytes
    tried: frozenset[UpstreamName] = frozenset()
    attempts: int = 0
    entry: int = 0
    upstream: UpstreamName | None = None
    enqueued: float = 0.0
    stalled_since: float | None = None
    stall_s: float = 0.0
    queued: bool = False
    first_token: float | None = None
    outcome: str = ""

    @property
    def deadline(self) -> float:
        """Time by which the request must start."""
        return self.arrival + self.kind.deadline_s


class _ZipfSampler:
    """Samples the adapters of a service by a Zipf distribution with randomly assigned ranks."""

    def __init__(self, service: ServiceName, count: int, zipf: float, rng: random.Random) -> None:
        self._keys = [
            AdapterKey(service, AdapterName(f"adapter-{n:05d}"), Version(1)) for n in range(count)
        ]
        weights = (1.0 / math.pow(rank, zipf) for rank in range(1, count + 1))
        self._cumulative = list(itertools.accumulate(weights))
        self._rng = rng
        self.shuffle()

    def shuffle(self) -> None:
        self._rng.shuffle(self._keys)

    def swap_hottest_and_coldest(self) -> None:
        self._keys[0], self._keys[-1] = self._keys[-1], self._keys[0]

    def sample(self) -> AdapterKey:
        point = self._rng.random() * self._cumulative[-1]
        return self._keys[bisect.bisect_left(self._cumulative, point)]

    @property
    def middle_key(self) -> AdapterKey:
        return self._keys[len(self._keys) // 2]


FLOOD_S = 60.0
# Rate of a flood on one adapter, as a multiple of the first kind's rate.
FLOOD_FACTOR = 3.0
# The rate of interactive traffic is a sine wave around its mean, with this period and with an
# amplitude of this share of the mean.
PEAK_PERIOD_S = 40.0
PEAK_SHARE = 0.5


def disturbance_time(cell: Cell) -> float:
    """Return the time of the disturbance, which depends on the seed."""
    return WARM_UP_S + 60.0 + 30.0 * random.Random(f"moment {cell.seed}").random()


def make_requests(cell: Cell) -> list[Request]:
    """Return all requests of a run in order of arrival."""
    deployment = DEPLOYMENTS[cell.deployment]
    rng = random.Random(f"requests {cell.deployment} {cell.seed}")
    disturbance_at = disturbance_time(cell)
    samplers = {
        service: _ZipfSampler(service, count, cell.zipf, rng)
        for service, count in deployment.adapter_counts.items()
    }
    times = sorted(
        (at, kind_index)
        for kind_index, kind in enumerate(deployment.kinds)
        for at in _arrival_times(kind, cell.level, rng)
    )
    if cell.disturbance is Disturbance.FLOOD:
        rate = FLOOD_FACTOR * deployment.kinds[0].rate * cell.level
        flood = [(disturbance_at + n / rate, -1) for n in range(int(rate * FLOOD_S))]
        times = sorted(times + flood)
    requests = []
    has_changed = False
    for at, kind_index in times:
        if at >= disturbance_at and not has_changed:
            has_changed = True
            _change_popularity(cell.disturbance, samplers)
        kind = deployment.kinds[max(kind_index, 0)]
        sampler = samplers[kind.service]
        key = sampler.middle_key if kind_index < 0 else sampler.sample()
        tokens = max(int(rng.expovariate(1.0 / kind.mean_tokens)), 4)
        requests.append(Request(kind, key, at, tokens, rng.randbytes(8)))
    return requests


def _change_popularity(disturbance: Disturbance, samplers: dict[ServiceName, _ZipfSampler]) -> None:
    for sampler in samplers.values():
        match disturbance:
            case Disturbance.SHIFT:
                sampler.shuffle()
            case Disturbance.COLD_BUSIEST:
                sampler.swap_hottest_and_coldest()
            case _:
                pass


def _arrival_times(kind: Kind, level: float, rng: random.Random) -> list[float]:
    rate = kind.rate * level
    peak_rate = rate * (1.0 + PEAK_SHARE)
    times = []
    at = rng.expovariate(peak_rate)
    while at < RUN_S:
        wave = 0.0 if kind.batch else PEAK_SHARE * math.sin(2 * math.pi * at / PEAK_PERIOD_S)
        if rng.random() * peak_rate < rate * (1.0 + wave):
            times.append(at)
        at += rng.expovariate(peak_rate)
    return times
