"""The policies that are compared; all use the same slots, load order, broker and information."""

import bisect
import dataclasses
import math
import random
from collections.abc import Sequence

from dragonflyhold.adapters import (
    LoadBackoff,
    Popularity,
    Slot,
    SlotTable,
    WaitingAdapter,
    plan_slots,
)
from dragonflyhold.adapters.plan import plan_with_rank
from dragonflyhold.bench.policy_engine import Plan
from dragonflyhold.bench.policy_model import Policy
from dragonflyhold.bench.policy_workloads import Request
from dragonflyhold.errors import ErrorCode
from dragonflyhold.hashing import hash64
from dragonflyhold.ids import AdapterKey
from dragonflyhold.routing import (
    NoRoute,
    RouteReason,
    RouteRequest,
    RouteTo,
    UpstreamTable,
    choose_upstream,
)
from dragonflyhold.routing.table import UpstreamRow
from dragonflyhold.settings.model import RoutingSettings, SlotSettings


@dataclasses.dataclass
class LruPolicy:
    """Base of the baselines: evicts the least recently used adapter."""

    name: str
    unlimited_loads: bool = False

    def prepare(self, requests: Sequence[Request]) -> None:
        """Need nothing."""

    def plan(
        self,
        slots: SlotTable,
        waiting: Sequence[WaitingAdapter],
        popularity: Popularity[AdapterKey],
        backoff: LoadBackoff,
        now: float,
    ) -> Plan:
        """Evict the least recently used adapter."""
        del popularity
        return plan_with_rank(slots, waiting, backoff, now, lambda slot: (slot.last_used,))

    def candidates(
        self, request: RouteRequest, table: UpstreamTable, now: float
    ) -> list[UpstreamRow]:
        """Return the upstreams that take work."""
        rows = [
            row
            for row in table.rows(request.service)
            if row.is_usable() and not row.is_excluded(now)
        ]
        return [row for row in rows if row.config.name not in request.tried] or rows


NOTHING = NoRoute(ErrorCode.NO_UPSTREAM, "no upstream")


class RandomPolicy(LruPolicy):
    """Any upstream."""

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose at random."""
        rows = self.candidates(request, table, now)
        if not rows:
            return NOTHING
        return RouteTo(rng.choice(rows).config.name, RouteReason.LEAST_LOADED)


class LeastLoadedPolicy(LruPolicy):
    """The upstream with the lowest load in the entry's view, ties at random."""

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose the least loaded."""
        rows = self.candidates(request, table, now)
        if not rows:
            return NOTHING
        best = min(rows, key=lambda row: (row.load(now), rng.random()))
        return RouteTo(best.config.name, RouteReason.LEAST_LOADED)


@dataclasses.dataclass
class ConsistentHashPolicy(LruPolicy):
    """Rendezvous hashing, skipping candidates above ``factor`` times the mean load."""

    factor: float = math.inf

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose the first candidate that is not overloaded."""
        rows = self.candidates(request, table, now)
        if not rows:
            return NOTHING
        mean = (sum(row.load(now) for row in rows) + 1) / len(rows)
        limit = max(self.factor * mean, rows[0].batch_limit / 2)
        ranking = table.ranking(request.service, hash64(str(request.key).encode()))
        for row in ranking:
            if row in rows and row.load(now) < limit:
                return RouteTo(row.config.name, RouteReason.RANKED)
        best = min(rows, key=lambda row: (row.load(now), rng.random()))
        return RouteTo(best.config.name, RouteReason.LEAST_LOADED)


@dataclasses.dataclass
class ProductPolicy(LruPolicy):
    """The decision code of this version."""

    routing: RoutingSettings = RoutingSettings()
    slot_settings: SlotSettings = SlotSettings()

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose as the product does."""
        return choose_upstream(request, table, now, self.routing, rng)

    def plan(
        self,
        slots: SlotTable,
        waiting: Sequence[WaitingAdapter],
        popularity: Popularity[AdapterKey],
        backoff: LoadBackoff,
        now: float,
    ) -> Plan:
        """Plan as the product does."""
        return plan_slots(slots, waiting, popularity, backoff, now, self.slot_settings)


class ClairvoyantPolicy(ProductPolicy):
    """Unattainable: evicts the adapter that is needed last, and loads without limit."""

    def prepare(self, requests: Sequence[Request]) -> None:
        """Learn the arrivals to come."""
        self._arrivals: dict[AdapterKey, list[float]] = {}
        for request in requests:
            self._arrivals.setdefault(request.key, []).append(request.arrival)

    def plan(
        self,
        slots: SlotTable,
        waiting: Sequence[WaitingAdapter],
        popularity: Popularity[AdapterKey],
        backoff: LoadBackoff,
        now: float,
    ) -> Plan:
        """Evict the adapter whose next request is farthest away."""
        del popularity
        return plan_with_rank(
            slots, waiting, backoff, now, lambda slot: (self._nearness(slot, now),)
        )

    def _nearness(self, slot: Slot, now: float) -> float:
        arrivals = self._arrivals.get(slot.key, []) if slot.key is not None else []
        index = bisect.bisect_right(arrivals, now)
        return -arrivals[index] if index < len(arrivals) else -math.inf


def make_policy(name: str) -> Policy:
    """Return the policy of a name in ``POLICY_NAMES``; ``ValueError`` if there is none."""
    match name.split("@"):
        case ["random"]:
            return RandomPolicy(name)
        case ["least-loaded"]:
            return LeastLoadedPolicy(name)
        case ["consistent"]:
            return ConsistentHashPolicy(name)
        case ["consistent", factor]:
            return ConsistentHashPolicy(name, factor=float(factor))
        case ["product"]:
            return ProductPolicy(name)
        case ["bound"]:
            return ClairvoyantPolicy(name, unlimited_loads=True)
        case _:
            raise ValueError(f"unknown policy {name!r}")


POLICY_NAMES = ("product", "random", "least-loaded", "consistent", "consistent@1.25", "bound")
