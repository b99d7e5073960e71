"""Deployments, request arrivals and disruptions of the deployment simulation.

``token-hall`` and ``ticket-desk`` model the two deployments; ``wide`` is a larger variant.
"""

import dataclasses
import enum
import math
import random
from collections.abc import Iterator
from typing import final

from dragonflyhold.gateway.model import ModelAdapter, ModelName, RetrySafety
from dragonflyhold.ids import AdapterName

MODEL = ModelName("base")
# Length of a run and of its warm-up, whose requests are not measured.
RUN_S = 30.0
WARM_UP_S = 4.0
# Start and end of the disruption.
DISRUPTION_S = (10.0, 18.0)


class Pattern(enum.Enum):
    """Disruption of the traffic or the engines during ``DISRUPTION_S``."""

    CALM = "calm"
    BURST = "burst"
    RARE_FLOOD = "rare_flood"
    SHIFT = "shift"
    LOSE_ENGINES = "lose_engines"
    SLOW_ENGINE = "slow_engine"
    LIMITED_ENGINES = "limited_engines"
    # Engines of different speed during the whole run, with figures of their load and without.
    UNEVEN_ENGINES = "uneven_engines"
    UNEVEN_SILENT = "uneven_silent"
    RETRY_STORM = "retry_storm"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one kind; sizes are means of lognormal distributions.

    A response whose first event comes after ``target_s`` earns only ``late_utility``; clients give
    up after ``timeout_s``.
    """

    name: str
    requests_per_s: float
    prompt_tokens: float
    events: float
    target_s: float
    timeout_s: float
    utility: float
    late_utility: float
    priority: int
    retry_safety: RetrySafety


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSpec:
    """Size and traffic of a deployment and the speed of its engines."""

    name: str
    gateways: int
    engines: int
    adapter_slots: int
    batch: int
    step_s: float
    prefill_tokens_per_s: float
    tokens_per_event: int
    zipf: float
    classes: tuple[RequestClass, ...]
    adapters: int = 3000
    # Share of the requests that name an adapter.
    adapter_share: float = 0.95
    load_s: float = 0.25
    host_cached_load_s: float = 0.025
    # Concurrent loads from the weight store above which each takes proportionally longer.
    full_speed_loads: int = 24
    # Requests in a batch at which a step takes twice as long.
    batch_doubling: float = 40.0


TOKEN_HALL = DeploymentSpec(
    name="token-hall",
    gateways=4,
    engines=5,
    adapter_slots=17,
    batch=64,
    step_s=0.0034,
    prefill_tokens_per_s=44200.0,
    tokens_per_event=7,
    zipf=1.2,
    classes=(
        RequestClass("gate", 54.0, 646, 10, 0.5, 4.0, 1.9, 0.19, 1, RetrySafety.RESUMABLE),
        RequestClass("note", 8.9, 646, 10, 1.0, 6.0, 2.8, 0.28, 0, RetrySafety.ONCE),
        RequestClass("settle", 1.1, 9190, 7, 0.8, 4.0, 7.7, 0.77, 2, RetrySafety.RESUMABLE),
    ),
)
TICKET_DESK = DeploymentSpec(
    name="ticket-desk",
    gateways=5,
    engines=6,
    adapter_slots=18,
    batch=64,
    step_s=0.00547,
    prefill_tokens_per_s=38700.0,
    tokens_per_event=5,
    zipf=1.3,
    classes=(
        RequestClass("counter", 60.0, 646, 14, 0.6, 6.0, 2.0, 0.61, 0, RetrySafety.RESUMABLE),
        RequestClass("queued", 4.4, 646, 14, 1.0, 12.0, 2.0, 0.61, 0, RetrySafety.ONCE),
        RequestClass("digest", 1.3, 9190, 10, 0.8, 5.0, 5.2, 1.6, 2, RetrySafety.RESUMABLE),
    ),
)
# More engines with fewer adapter slots each, and a flatter popularity distribution.
WIDE = dataclasses.replace(
    TICKET_DESK, name="wide", gateways=8, engines=16, adapter_slots=10, zipf=1.1
)
DEPLOYMENTS = {spec.name: spec for spec in (TOKEN_HALL, TICKET_DESK, WIDE)}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at the time of its first attempt."""

    number: int
    at: float
    request_class: RequestClass
    adapter: ModelAdapter | None
    prompt_tokens: int
    events: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """Parameters of one run."""

    deployment: str
    pattern: Pattern
    # Factor on the deployment's request rate.
    level: float
    seed: int

    @property
    def name(self) -> str:
        """Name of the cell without its seed, under which runs are grouped."""
        return f"{self.deployment}/{self.pattern.value}/x{self.level:g}"


def is_disrupted(now: float) -> bool:
    """Return whether the disruption is in progress."""
    return DISRUPTION_S[0] <= now < DISRUPTION_S[1]


def make_arrivals(cell: Cell) -> Iterator[Arrival]:
    """Yield the arrivals of a run in the order of their time."""
    rng = random.Random(f"{cell.deployment} {cell.pattern.value} {cell.level} {cell.seed}")
    spec = DEPLOYMENTS[cell.deployment]
    weights = [1.0 / rank**spec.zipf for rank in range(1, spec.adapters + 1)]
    order = list(range(spec.adapters))
    rng.shuffle(order)
    cumulative = []
    total = 0.0
    for weight in weights:
        total += weight
        cumulative.append(total)
    rate = cell.level * sum(request_class.requests_per_s for request_class in spec.classes)
    shares = [request_class.requests_per_s for request_class in spec.classes]
    now, number = 0.0, 0
    while True:
        is_burst = cell.pattern is Pattern.BURST and is_disrupted(now)
        now += rng.expovariate(rate * (2.0 if is_burst else 1.0))
        if now >= RUN_S:
            return
        request_class = rng.choices(spec.classes, shares)[0]
        rank = _find_rank(cumulative, rng.random() * total)
        if cell.pattern is Pattern.RARE_FLOOD and is_disrupted(now) and rng.random() < 0.3:
            rank = rng.randrange(spec.adapters // 4, spec.adapters)
        if cell.pattern is Pattern.SHIFT:
            rank = (rank + _popularity_offset(now)) % spec.adapters
        has_adapter = rng.random() < spec.adapter_share
        number += 1
        yield Arrival(
            number=number,
            at=now,
            request_class=request_class,
            adapter=ModelAdapter(MODEL, AdapterName(f"a{order[rank]}")) if has_adapter else None,
            prompt_tokens=max(8, round(_lognormal(rng, request_class.prompt_tokens, 0.9))),
            events=max(
                1, round(min(_lognormal(rng, request_class.events, 1.2), 4 * request_class.events))
            ),
        )


def _popularity_offset(now: float) -> int:
    """Return by how many ranks the popularity has shifted: 40 over the disruption."""
    start, end = DISRUPTION_S
    return int(40 * min(max(now - start, 0.0) / (end - start), 1.0))


def _find_rank(cumulative: list[float], value: float) -> int:
    low, high = 0, len(cumulative) - 1
    while low < high:
        middle = (low + high) // 2
        if cumulative[middle] < value:
            low = middle + 1
        else:
            high = middle
    return low


def _lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
