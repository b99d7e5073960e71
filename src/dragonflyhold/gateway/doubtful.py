"""Loads that got no answer and may still be carried out: the places kept for them."""

import dataclasses
from typing import final

from dragonflyhold.gateway.model import AdapterCommand, CommandKind, EngineReport, ModelAdapter
from dragonflyhold.gateway.placement import MAX_CONCURRENT_LOADS

# An order without an answer may be carried out for this long; from the protocol, with a margin.
MAX_COMMAND_DELAY_S = 14.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedLoad:
    """A load that got no answer: the sequence at which it holds, and when it was sent."""

    sequence: int
    sent_at: float


@final
class UnconfirmedLoads:
    """The unanswered loads of one engine."""

    def __init__(self) -> None:
        self._loads: list[UnconfirmedLoad] = []

    def add(self, sequence: int, now: float) -> None:
        """Remember a load that got no answer."""
        self._loads.append(UnconfirmedLoad(sequence, now))

    def reserved_slots(self, report: EngineReport, now: float) -> int:
        """Return the places kept for loads that may still be carried out.

        A load without an answer holds only at its sequence; that number comes up again after a
        restart of the engine.
        """
        self._loads = [load for load in self._loads if now - load.sent_at < MAX_COMMAND_DELAY_S]
        return min(
            MAX_CONCURRENT_LOADS, sum(load.sequence >= report.sequence for load in self._loads)
        )


def has_free_slot(command: AdapterCommand, report: EngineReport, slots: int) -> bool:
    """Whether a load fits: an unload before it may still wait for its runs."""
    if command.kind is CommandKind.UNLOAD or command.adapter is None:
        return True
    occupied = report.adapters.keys() | report.loading.keys()
    return ModelAdapter(command.model, command.adapter) in occupied or len(occupied) < slots
