"""Slots as the execution of requests sees them."""

from collections.abc import Collection
from typing import Protocol, final

from dragonflyhold.ids import AdapterKey, EngineAdapterName
from dragonflyhold.requests import QueuedRequest
from dragonflyhold.sidecar.tables import Tables


class Pins(Protocol):
    """Slots that requests keep while they are in flight."""

    def find(self, key: AdapterKey) -> int | None:
        """Return the slot of a usable adapter version."""

    def may_start_batch(self, key: AdapterKey, batch_slots: Collection[int]) -> bool:
        """Whether a batch request may start beside those that hold the slots ``batch_slots``."""

    def engine_name(self, index: int) -> EngineAdapterName:
        """Return the engine-side name of the adapter in a slot."""

    def pin(self, index: int, now: float) -> None:
        """Keep a slot for one request."""

    def unpin(self, index: int, now: float) -> None:
        """Let go of a slot."""

    def unpin_when_idle(self, index: int, now: float) -> None:
        """Let go of a slot once the engine shows no request in flight on it."""

    def mark_missing(self, index: int) -> None:
        """Use a slot no more."""

    def stall_s(self, index: int, queued_at: float) -> float:
        """Return how long a request that was queued then waited for the load."""

    def clear(self, now: float) -> None:
        """Empty all slots after a crash."""


@final
class BatchSlots:
    """Slots that batch requests hold in one round; a long one pins its slot for a long time."""

    def __init__(self, tables: Tables, pins: Pins) -> None:
        self._pins = pins
        self._reserved = {
            row.slot for row in tables.inflight if row.is_batch and row.slot is not None
        }

    def reserve(self, item: QueuedRequest) -> bool:
        """Whether a batch request may start; its slot then counts as held."""
        if item.key is None:
            return True
        if not self._pins.may_start_batch(item.key, self._reserved):
            return False
        slot = self._pins.find(item.key)
        if slot is not None:
            self._reserved.add(slot)
        return True
