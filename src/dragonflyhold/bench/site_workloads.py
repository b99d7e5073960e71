"""Sites, loads and troubles that the model of the serving path is played with.

The two sites carry the figures of the deployments' sheets; ``wide`` is a size of our own.
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
# Length of a played day; requests of the first part count for nothing.
DAY_S = 30.0
WARM_UP_S = 4.0
# When a trouble begins and ends.
TROUBLE_S = (10.0, 18.0)


class Pattern(enum.Enum):
    """What happens between the two moments of ``TROUBLE_S``."""

    CALM = "calm"
    BURST = "burst"
    RARE_FLOOD = "rare_flood"
    SHIFT = "shift"
    LOSE_ENGINES = "lose_engines"
    SLOW_ENGINE = "slow_engine"
    RETRY_STORM = "retry_storm"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of one kind; sizes are means of lognormal distributions."""

    name: str
    per_s: float
    prompt_tokens: float
    events: float
    aim_s: float
    limit_s: float
    utility: float
    late_utility: float
    priority: int
    retry_safety: RetrySafety


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SiteSheet:
    """A deployment's sizes and the speed of its engines."""

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
    # Loads on their way from the weight store beyond which each takes longer in proportion.
    full_speed_loads: int = 24
    # Requests in a batch at which a step takes twice as long; from measured days.
    batch_doubling: float = 40.0


TOKEN_HALL = SiteSheet(
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
TICKET_DESK = SiteSheet(
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
# More engines with fewer places each, and flatter demand.
WIDE = dataclasses.replace(
    TICKET_DESK, name="wide", gateways=8, engines=16, adapter_slots=10, zipf=1.1
)
SITES = {sheet.name: sheet for sheet in (TOKEN_HALL, TICKET_DESK, WIDE)}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A client's first call."""

    number: int
    at: float
    kind: RequestClass
    adapter: ModelAdapter | None
    prompt_tokens: int
    events: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One day of the model."""

    site: str
    pattern: Pattern
    # Multiple of the site's traffic.
    level: float
    seed: int

    @property
    def name(self) -> str:
        """Return the name under which seeds are brought together."""
        return f"{self.site}/{self.pattern.value}/x{self.level:g}"


def is_troubled(now: float) -> bool:
    """Whether the trouble of the day is on."""
    return TROUBLE_S[0] <= now < TROUBLE_S[1]


def make_arrivals(cell: Cell) -> Iterator[Arrival]:
    """Yield the calls of a day in the order of their time."""
    rng = random.Random(f"{cell.site} {cell.pattern.value} {cell.level} {cell.seed}")
    sheet = SITES[cell.site]
    weights = [1.0 / rank**sheet.zipf for rank in range(1, sheet.adapters + 1)]
    order = list(range(sheet.adapters))
    rng.shuffle(order)
    cumulative = []
    total = 0.0
    for weight in weights:
        total += weight
        cumulative.append(total)
    rate = cell.level * sum(kind.per_s for kind in sheet.classes)
    shares = [kind.per_s for kind in sheet.classes]
    now, number = 0.0, 0
    while True:
        is_burst = cell.pattern is Pattern.BURST and is_troubled(now)
        now += rng.expovariate(rate * (2.0 if is_burst else 1.0))
        if now >= DAY_S:
            return
        kind = rng.choices(sheet.classes, shares)[0]
        rank = _rank(cumulative, rng.random() * total)
        if cell.pattern is Pattern.RARE_FLOOD and is_troubled(now) and rng.random() < 0.3:
            rank = rng.randrange(sheet.adapters // 4, sheet.adapters)
        if cell.pattern is Pattern.SHIFT:
            rank = (rank + _shift(now)) % sheet.adapters
        has_adapter = rng.random() < sheet.adapter_share
        number += 1
        yield Arrival(
            number=number,
            at=now,
            kind=kind,
            adapter=ModelAdapter(MODEL, AdapterName(f"a{order[rank]}")) if has_adapter else None,
            prompt_tokens=max(8, round(_lognormal(rng, kind.prompt_tokens, 0.9))),
            events=max(1, round(min(_lognormal(rng, kind.events, 1.2), 4 * kind.events))),
        )


def _shift(now: float) -> int:
    """Return by how many places the demand has moved on: 40 over the trouble's time."""
    start, end = TROUBLE_S
    return int(40 * min(max(now - start, 0.0) / (end - start), 1.0))


def _rank(cumulative: list[float], value: float) -> int:
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
