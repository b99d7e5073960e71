"""Loads that got no answer and may still be carried out: the places kept for them."""

import dataclasses
from typing import final

from dragonflyhold.gateway.model import EngineReport, ModelAdapter, Order, OrderKind
from dragonflyhold.gateway.placement import MAX_COMING

# An order without an answer may be carried out for this long; from the protocol, with a margin.
MAX_ORDER_DELAY_S = 14.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DoubtfulLoad:
    """A load that got no answer: the sequence at which it holds, and when it was sent."""

    sequence: int
    sent_at: float


@final
class DoubtfulLoads:
    """The unanswered loads of one engine."""

    def __init__(self) -> None:
        self._loads: list[DoubtfulLoad] = []

    def add(self, sequence: int, now: float) -> None:
        """Remember a load that got no answer."""
        self._loads.append(DoubtfulLoad(sequence, now))

    def reserved(self, report: EngineReport, now: float) -> int:
        """Return the places kept for loads that may still be carried out.

        A load without an answer holds only at its sequence; that number comes up again after a
        restart of the engine.
        """
        self._loads = [load for load in self._loads if now - load.sent_at < MAX_ORDER_DELAY_S]
        return min(MAX_COMING, sum(load.sequence >= report.sequence for load in self._loads))


def has_room(order: Order, report: EngineReport, slots: int) -> bool:
    """Whether a load fits: an unload before it may still wait for its runs."""
    if order.kind is OrderKind.UNLOAD or order.adapter is None:
        return True
    held = report.adapters.keys() | report.coming.keys()
    return ModelAdapter(order.model, order.adapter) in held or len(held) < slots
