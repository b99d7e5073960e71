"""Slot interface for plain services, which have no adapter slots."""

from collections.abc import Collection
from typing import final

from dragonflyhold.ids import AdapterKey, EngineAdapterName


@final
class NoSlots:
    """Implements ``Pins`` and ``Residency`` without any slots."""

    @property
    def count(self) -> int:
        """Number of slots, always 0."""
        return 0

    def resident(self) -> list[AdapterKey]:
        """Return an empty list."""
        return []

    def find(self, key: AdapterKey) -> int | None:
        """Return ``None``."""
        return None

    def may_start_batch(self, key: AdapterKey, batch_slots: Collection[int]) -> bool:
        """Return ``True``: without slots, nothing limits batch requests."""
        return True

    def engine_name(self, index: int) -> EngineAdapterName:
        """Raise ``LookupError``."""
        raise LookupError("a plain service has no slots")

    def record_request(self, key: AdapterKey, now: float) -> None:
        """Do nothing."""

    def pin(self, index: int, now: float) -> None:
        """Do nothing."""

    def unpin(self, index: int, now: float) -> None:
        """Do nothing."""

    def unpin_when_idle(self, index: int, now: float) -> None:
        """Do nothing."""

    def mark_missing(self, index: int) -> None:
        """Do nothing."""

    def stall_s(self, index: int, queued_at: float) -> float:
        """Return 0."""
        return 0.0

    def clear(self, now: float) -> None:
        """Do nothing."""
