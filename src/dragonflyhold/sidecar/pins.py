"""Interface through which the request executor uses adapter slots."""

from collections.abc import Collection
from typing import Protocol, final

from dragonflyhold.ids import AdapterKey, EngineAdapterName
from dragonflyhold.requests import QueuedRequest
from dragonflyhold.sidecar.tables import Tables


class Pins(Protocol):
    """Adapter slots that are pinned while requests on them are in flight."""

    def find(self, key: AdapterKey) -> int | None:
        """Return the slot in which an adapter version is resident and usable, if any."""

    def may_start_batch(self, key: AdapterKey, batch_slots: Collection[int]) -> bool:
        """Return whether a batch request may start while others occupy ``batch_slots``."""

    def engine_name(self, index: int) -> EngineAdapterName:
        """Return the name under which the engine holds the adapter of a slot."""

    def pin(self, index: int, now: float) -> None:
        """Pin a slot for a request in flight, so that its adapter is not evicted."""

    def unpin(self, index: int, now: float) -> None:
        """Release the pin of a request that has ended."""

    def unpin_when_idle(self, index: int, now: float) -> None:
        """Release a pin once the engine reports no request in flight on the slot."""

    def mark_missing(self, index: int) -> None:
        """Stop using a slot whose adapter the engine does not hold."""

    def stall_s(self, index: int, queued_at: float) -> float:
        """Return how long a request queued at ``queued_at`` waited for the load of the slot."""

    def clear(self, now: float) -> None:
        """Reset all slots after a crash of the upstream."""


@final
class BatchSlots:
    """Limits how many adapter slots batch requests occupy, including those started in one step.

    A long batch request pins its slot for a long time.
    """

    def __init__(self, tables: Tables, pins: Pins) -> None:
        self._pins = pins
        self._reserved = {
            request.slot
            for request in tables.inflight
            if request.is_batch and request.slot is not None
        }

    def reserve(self, request: QueuedRequest) -> bool:
        """Return whether a batch request may start, and if so, reserve its slot."""
        if request.key is None:
            return True
        if not self._pins.may_start_batch(request.key, self._reserved):
            return False
        slot = self._pins.find(request.key)
        if slot is not None:
            self._reserved.add(slot)
        return True
