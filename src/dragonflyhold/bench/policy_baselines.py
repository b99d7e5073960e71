"""Policies under comparison; all use the same slots, load order, broker and information."""

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
    """Base class that evicts the least recently used adapter."""

    name: str
    unlimited_loads: bool = False

    def prepare(self, requests: Sequence[Request]) -> None:
        """Ignore the requests to come."""

    def plan(
        self,
        slots: SlotTable,
        waiting: Sequence[WaitingAdapter],
        popularity: Popularity[AdapterKey],
        backoff: LoadBackoff,
        now: float,
    ) -> Plan:
        """Plan loads, evicting the least recently used adapters."""
        del popularity
        return plan_with_rank(slots, waiting, backoff, now, lambda slot: (slot.last_used,))

    def candidate_rows(
        self, request: RouteRequest, table: UpstreamTable, now: float
    ) -> list[UpstreamRow]:
        """Return the usable upstreams, preferably those not yet tried."""
        rows = [
            row
            for row in table.rows(request.service)
            if row.is_usable() and not row.is_excluded(now)
        ]
        return [row for row in rows if row.config.name not in request.tried] or rows


NO_ROUTE = NoRoute(ErrorCode.NO_UPSTREAM, "no upstream")


class RandomPolicy(LruPolicy):
    """Routes to a random upstream."""

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose an upstream at random."""
        rows = self.candidate_rows(request, table, now)
        if not rows:
            return NO_ROUTE
        return RouteTo(rng.choice(rows).config.name, RouteReason.LEAST_LOADED)


class LeastLoadedPolicy(LruPolicy):
    """Routes to the upstream with the lowest load known to the entry, with random tie-breaking."""

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose the least loaded upstream."""
        rows = self.candidate_rows(request, table, now)
        if not rows:
            return NO_ROUTE
        best = min(rows, key=lambda row: (row.load(now), rng.random()))
        return RouteTo(best.config.name, RouteReason.LEAST_LOADED)


@dataclasses.dataclass
class ConsistentHashPolicy(LruPolicy):
    """Rendezvous hashing that skips upstreams above ``factor`` times the mean load."""

    factor: float = math.inf

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose the highest-ranked upstream that is not overloaded."""
        rows = self.candidate_rows(request, table, now)
        if not rows:
            return NO_ROUTE
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
    """The production decision code."""

    routing: RoutingSettings = RoutingSettings()
    slot_settings: SlotSettings = SlotSettings()

    def route(
        self, request: RouteRequest, table: UpstreamTable, now: float, rng: random.Random
    ) -> RouteTo | NoRoute:
        """Choose with ``choose_upstream``."""
        return choose_upstream(request, table, now, self.routing, rng)

    def plan(
        self,
        slots: SlotTable,
        waiting: Sequence[WaitingAdapter],
        popularity: Popularity[AdapterKey],
        backoff: LoadBackoff,
        now: float,
    ) -> Plan:
        """Plan with ``plan_slots``."""
        return plan_slots(slots, waiting, popularity, backoff, now, self.slot_settings)


class ClairvoyantPolicy(ProductPolicy):
    """Upper bound that knows all arrivals: evicts the adapter needed last, loads unthrottled."""

    def prepare(self, requests: Sequence[Request]) -> None:
        """Record the arrival times of each adapter's requests."""
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
        """Plan loads, evicting the adapters whose next request is latest."""
        del popularity
        return plan_with_rank(
            slots, waiting, backoff, now, lambda slot: (self._next_use_rank(slot, now),)
        )

    def _next_use_rank(self, slot: Slot, now: float) -> float:
        arrivals = self._arrivals.get(slot.key, []) if slot.key is not None else []
        index = bisect.bisect_right(arrivals, now)
        return -arrivals[index] if index < len(arrivals) else -math.inf


def make_policy(name: str) -> Policy:
    """Return the policy with a name; raise ``ValueError`` if there is none.

    ``consistent`` takes any load factor, as in ``consistent@1.25``.
    """
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
