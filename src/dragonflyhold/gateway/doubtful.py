"""Reserves adapter slots for loads that may still be executed.

These are loads without a response, and those whose response the engine's sequence doesn't confirm:
it may be a late copy of the response to an earlier command.
"""

import dataclasses
from typing import final

from dragonflyhold.gateway.model import (
    AdapterCommand,
    CommandKind,
    EngineReport,
    ModelAdapter,
    UpstreamId,
)
from dragonflyhold.gateway.placement import MAX_CONCURRENT_LOADS

# Time within which an unanswered command may still be executed: the protocol's limit and a margin.
MAX_COMMAND_DELAY_S = 14.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedLoad:
    """A load: for which sequence and incarnation it is valid, and when it was sent."""

    sequence: int
    # ``None`` for a load that any incarnation may execute.
    upstream_id: UpstreamId | None
    sent_at: float
    is_answered: bool


@final
class UnconfirmedLoads:
    """The unconfirmed loads of one engine."""

    def __init__(self) -> None:
        self._loads: list[UnconfirmedLoad] = []

    def add(
        self, sequence: int, upstream_id: UpstreamId | None, now: float, is_answered: bool
    ) -> None:
        """Record a load that was just sent."""
        self._loads.append(UnconfirmedLoad(sequence, upstream_id, now, is_answered))

    def confirm(self, sequence: int) -> None:
        """Drop the answered loads that an engine at ``sequence`` has taken or refused."""
        self._loads = [
            load for load in self._loads if not load.is_answered or load.sequence >= sequence
        ]

    def reserved_slots(
        self, report: EngineReport, upstream_id: UpstreamId | None, now: float
    ) -> int:
        """Return the number of adapter slots to reserve for loads that may still be executed.

        A load is valid only at its sequence, but an engine counts sequences from zero again after a
        restart, and may then execute it if it kept its id.
        """
        self._loads = [load for load in self._loads if now - load.sent_at < MAX_COMMAND_DELAY_S]
        valid = (
            load.sequence >= report.sequence
            for load in self._loads
            if upstream_id is None or load.upstream_id in (None, upstream_id)
        )
        return min(MAX_CONCURRENT_LOADS, sum(valid))


def has_free_slot(command: AdapterCommand, report: EngineReport, slots: int) -> bool:
    """Return whether a slot is free for a load; a planned unload may still wait for requests."""
    if command.kind is CommandKind.UNLOAD or command.adapter is None:
        return True
    occupied = report.adapters.keys() | report.loading.keys()
    return ModelAdapter(command.model, command.adapter) in occupied or len(occupied) < slots
