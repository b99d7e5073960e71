"""Reserves adapter slots for loads that got no response and may still be executed."""

import dataclasses
from typing import final

from dragonflyhold.gateway.model import AdapterCommand, CommandKind, EngineReport, ModelAdapter
from dragonflyhold.gateway.placement import MAX_CONCURRENT_LOADS

# Time within which an unanswered command may still be executed: the protocol's limit and a margin.
MAX_COMMAND_DELAY_S = 14.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedLoad:
    """An unanswered load: the sequence for which it is valid, and the time of sending."""

    sequence: int
    sent_at: float


@final
class UnconfirmedLoads:
    """The unanswered loads of one engine."""

    def __init__(self) -> None:
        self._loads: list[UnconfirmedLoad] = []

    def add(self, sequence: int, now: float) -> None:
        """Record an unanswered load."""
        self._loads.append(UnconfirmedLoad(sequence, now))

    def reserved_slots(self, report: EngineReport, now: float) -> int:
        """Return the number of adapter slots to reserve for loads that may still be executed.

        An unanswered load is valid only at its sequence, but an engine counts sequences from zero
        again after a restart and may then execute it.
        """
        self._loads = [load for load in self._loads if now - load.sent_at < MAX_COMMAND_DELAY_S]
        return min(
            MAX_CONCURRENT_LOADS, sum(load.sequence >= report.sequence for load in self._loads)
        )


def has_free_slot(command: AdapterCommand, report: EngineReport, slots: int) -> bool:
    """Return whether a slot is free for a load; a planned unload may still wait for requests."""
    if command.kind is CommandKind.UNLOAD or command.adapter is None:
        return True
    occupied = report.adapters.keys() | report.loading.keys()
    return ModelAdapter(command.model, command.adapter) in occupied or len(occupied) < slots
