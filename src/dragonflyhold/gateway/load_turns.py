"""Orders the loads of one engine by the turns of the client accounts that wait for them."""

import dataclasses
from collections.abc import Mapping
from typing import final

from dragonflyhold.fairness import Claim, TurnOrder
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.messages import AdapterDemand
from dragonflyhold.gateway.model import ModelAdapter
from dragonflyhold.gateway.placement import PLACE_USE_S, TotalDemand
from dragonflyhold.observability.metrics import Metrics


@final
class LoadTurns:
    """The turns at one engine; without claims in the demand nothing is changed."""

    def __init__(self, log: JsonLogger, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics
        self._order: TurnOrder[ModelAdapter] = TurnOrder()
        # As of the last call of ``apply``.
        self._claims: Mapping[ModelAdapter, Mapping[Claim, float]] = {}
        self._weighed: Mapping[ModelAdapter, float] = {}

    def note_demand(self, demand: AdapterDemand) -> None:
        """Learn the needs of the accounts that a gateway's demand names."""
        for share in demand.shares:
            self._order.note_need(share)

    def apply(
        self,
        totals: dict[ModelAdapter, TotalDemand],
        claims: Mapping[ModelAdapter, Mapping[Claim, float]],
    ) -> dict[ModelAdapter, TotalDemand]:
        """Return the demands with the utilities by which they are ordered."""
        self._claims = claims
        if not claims:
            self._weighed = {}
            return totals
        utilities = {key: totals[key].utility for key in claims}
        self._weighed = self._order.weigh(claims, utilities)
        return totals | {
            key: dataclasses.replace(totals[key], utility=utility)
            for key, utility in self._weighed.items()
        }

    def note_load(self, key: ModelAdapter, load_s: float, slots: int) -> None:
        """Charge a load that begins to the accounts that wait for it."""
        by_claim = self._claims.get(key)
        if by_claim is None:
            return
        weighed = self._weighed.get(key)
        if weighed is not None:
            self._metrics.count_event("load_ordered_by_account")
            self._log.info(
                "A load was ordered by the turns of accounts.",
                adapter=key.adapter,
                worth=round(sum(by_claim.values()), 2),
                weighed=round(weighed, 2),
                accounts=[
                    {
                        "account": f"{claim.account:08x}",
                        "rank": claim.rank,
                        "worth": round(by_claim[claim], 2),
                        "lead_s": round(self._order.lead_s(claim.account), 2),
                        "factor": round(self._order.factor(claim), 3),
                    }
                    for claim in by_claim
                ],
            )
        self._order.charge(by_claim, (load_s + PLACE_USE_S) / max(1, slots))
