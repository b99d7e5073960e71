"""Demand of all gateways for the adapters of one engine, kept by adapter.

Only adapters with waiting or running requests are summed up, so that the work of a plan follows the
requests at the engine, not the adapters that were ever used there.
"""

from collections.abc import Hashable
from typing import Generic, TypeVar, final

from dragonflyhold.fairness import Claim
from dragonflyhold.gateway.messages import AdapterDemand
from dragonflyhold.gateway.model import ModelAdapter
from dragonflyhold.gateway.placement import TimedDemand, TotalDemand, sum_demands, utility_at

Gateway = TypeVar("Gateway", bound=Hashable)


@final
class DemandTable(Generic[Gateway]):
    """Current demand by gateway and adapter; a gateway is any hashable key."""

    def __init__(self) -> None:
        self._by_gateway: dict[Gateway, dict[ModelAdapter, TimedDemand]] = {}
        # Requests that each gateway has ever sent for an adapter, also for those without demand.
        self._started: dict[Gateway, dict[ModelAdapter, int]] = {}
        self._waiting: dict[Gateway, int] = {}
        # Demands that name the accounts that wait.
        self._claimed: dict[ModelAdapter, set[Gateway]] = {}

    def __len__(self) -> int:
        return len(self._by_gateway)

    def add_gateway(self, gateway: Gateway) -> None:
        """Add a gateway without demand."""
        self.remove_gateway(gateway)
        self._by_gateway[gateway] = {}
        self._started[gateway] = {}
        self._waiting[gateway] = 0

    def remove_gateway(self, gateway: Gateway) -> None:
        """Drop a gateway and its demand."""
        for key in self._by_gateway.pop(gateway, {}):
            self._drop_claim(gateway, key)
        self._started.pop(gateway, None)
        self._waiting.pop(gateway, None)

    def gateways(self) -> list[Gateway]:
        """Return the known gateways."""
        return list(self._by_gateway)

    def has_waiters(self, gateway: Gateway) -> bool:
        """Return whether requests of a gateway wait for an adapter."""
        return self._waiting.get(gateway, 0) > 0

    def apply(self, gateway: Gateway, demand: AdapterDemand, now: float) -> int:
        """Replace a gateway's demand for one adapter; return the requests that began since."""
        if gateway not in self._by_gateway:
            self.add_gateway(gateway)
        current, started = self._by_gateway[gateway], self._started[gateway]
        old = current.get(demand.key)
        self._waiting[gateway] += demand.waiting - (old.demand.waiting if old else 0)
        if demand.waiting > 0 or demand.running > 0:
            current[demand.key] = TimedDemand(demand, now + demand.slack_s)
        else:
            current.pop(demand.key, None)
        if demand.shares and demand.waiting > 0:
            self._claimed.setdefault(demand.key, set()).add(gateway)
        else:
            self._drop_claim(gateway, demand.key)
        before = started.get(demand.key, 0)
        started[demand.key] = demand.started
        return max(0, demand.started - before)

    def totals(
        self, now: float, host_cached: frozenset[ModelAdapter]
    ) -> dict[ModelAdapter, TotalDemand]:
        """Return the sums over all gateways of the adapters that have demand."""
        return sum_demands(self._by_gateway.values(), now, host_cached)

    def claims(
        self, now: float, host_cached: frozenset[ModelAdapter]
    ) -> dict[ModelAdapter, dict[Claim, float]]:
        """Return the waiting utility by adapter and claim, where gateways name accounts."""
        claims: dict[ModelAdapter, dict[Claim, float]] = {}
        for key, gateways in self._claimed.items():
            by_claim = claims[key] = {}
            for gateway in gateways:
                timed = self._by_gateway[gateway][key]
                for share in timed.demand.shares:
                    utility = utility_at(timed, share.utility, now, host_cached)
                    by_claim[share.claim] = by_claim.get(share.claim, 0.0) + utility
        return claims

    def _drop_claim(self, gateway: Gateway, key: ModelAdapter) -> None:
        gateways = self._claimed.get(key)
        if gateways is not None:
            gateways.discard(gateway)
            if not gateways:
                del self._claimed[key]
