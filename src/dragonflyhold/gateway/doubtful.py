"""Reserves adapter slots for loads that got no response and may still be executed."""

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
    """An unanswered load: for which sequence and incarnation it is valid, and when it was sent."""

    sequence: int
    # ``None`` for a load that any incarnation may execute.
    upstream_id: UpstreamId | None
    sent_at: float


@final
class UnconfirmedLoads:
    """The unanswered loads of one engine."""

    def __init__(self) -> None:
        self._loads: list[UnconfirmedLoad] = []

    def add(self, sequence: int, upstream_id: UpstreamId | None, now: float) -> None:
        """Record an unanswered load."""
        self._loads.append(UnconfirmedLoad(sequence, upstream_id, now))

    def reserved_slots(
        self, report: EngineReport, upstream_id: UpstreamId | None, now: float
    ) -> int:
        """Return the number of adapter slots to reserve for loads that may still be executed.

        An unanswered load is valid only at its sequence, but an engine counts sequences from zero
        again after a restart, and may then execute it if it kept its id.
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
