"""The adapter slots of an engine and their state transitions."""

import dataclasses
import enum
from typing import final

from dragonflyhold.ids import AdapterKey, EngineAdapterName


class SlotState(enum.Enum):
    """State of an adapter slot."""

    EMPTY = "empty"
    LOADING = "loading"
    RESIDENT = "resident"
    EVICTING = "evicting"


class SlotTransitionError(ValueError):
    """Raised for a transition that the state of the slot does not allow."""


@final
@dataclasses.dataclass(slots=True)
class Slot:
    """One adapter slot; times are in seconds of the caller's clock.

    ``key`` and ``engine_name`` are set in every state except ``EMPTY``. ``since`` is the time of
    the last transition, ``last_used`` the time of the last pin or unpin.
    """

    index: int
    state: SlotState = SlotState.EMPTY
    key: AdapterKey | None = None
    engine_name: EngineAdapterName | None = None
    in_flight: int = 0
    since: float = 0.0
    last_used: float = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the slot is resident without requests in flight and may be evicted."""
        return self.state is SlotState.RESIDENT and self.in_flight == 0


@final
class SlotTable:
    """The adapter slots of an engine; a key is in at most one slot.

    A call that the state of the slot does not allow raises ``SlotTransitionError``.
    """

    def __init__(self, count: int) -> None:
        self._slots = tuple(Slot(index) for index in range(count))
        # Slots that are loading, resident or evicting.
        self._by_key: dict[AdapterKey, Slot] = {}

    @property
    def slots(self) -> tuple[Slot, ...]:
        """All slots by index; callers must not modify them."""
        return self._slots

    def find(self, key: AdapterKey) -> Slot | None:
        """Return the slot in which the adapter is resident, if any."""
        slot = self._by_key.get(key)
        return slot if slot is not None and slot.state is SlotState.RESIDENT else None

    def holder(self, key: AdapterKey) -> Slot | None:
        """Return the slot that holds the adapter in any state, if any."""
        return self._by_key.get(key)

    def pin(self, index: int, now: float) -> None:
        """Count a request that started on the slot."""
        slot = self._require_state(index, SlotState.RESIDENT, "pin")
        slot.in_flight += 1
        slot.last_used = now

    def unpin(self, index: int, now: float) -> None:
        """Count the end of a request on the slot."""
        slot = self._require_state(index, SlotState.RESIDENT, "unpin")
        if slot.in_flight == 0:
            raise SlotTransitionError(f"slot {index}: unpin with no request in flight")
        slot.in_flight -= 1
        slot.last_used = now

    def begin_load(
        self, index: int, key: AdapterKey, engine_name: EngineAdapterName, now: float
    ) -> None:
        """Reserve an empty slot for an adapter before the load command is sent."""
        slot = self._require_state(index, SlotState.EMPTY, "begin_load")
        self._require_absent(key, "begin_load")
        self._fill(slot, SlotState.LOADING, key, engine_name, now)

    def finish_load(self, index: int, now: float) -> None:
        """Make a loaded adapter available."""
        slot = self._require_state(index, SlotState.LOADING, "finish_load")
        slot.state = SlotState.RESIDENT
        slot.since = now
        slot.last_used = now

    def fail_load(self, index: int, now: float) -> None:
        """Empty the slot of a failed load."""
        self._empty(self._require_state(index, SlotState.LOADING, "fail_load"), now)

    def begin_evict(self, index: int, now: float) -> None:
        """Make an idle slot unavailable to requests before the unload command is sent."""
        slot = self._require_state(index, SlotState.RESIDENT, "begin_evict")
        if slot.in_flight:
            raise SlotTransitionError(f"slot {index}: evict with {slot.in_flight} in flight")
        slot.state = SlotState.EVICTING
        slot.since = now

    def finish_evict(self, index: int, now: float) -> None:
        """Empty the slot of an unloaded adapter."""
        self._empty(self._require_state(index, SlotState.EVICTING, "finish_evict"), now)

    def fail_evict(self, index: int, now: float) -> None:
        """Make an adapter available again after its unload command did not run."""
        slot = self._require_state(index, SlotState.EVICTING, "fail_evict")
        slot.state = SlotState.RESIDENT
        slot.since = now

    def adopt(
        self,
        index: int,
        key: AdapterKey,
        engine_name: EngineAdapterName,
        in_flight: int,
        now: float,
    ) -> None:
        """Record an adapter that is already loaded in the engine."""
        slot = self._require_state(index, SlotState.EMPTY, "adopt")
        self._require_absent(key, "adopt")
        if in_flight < 0:
            raise SlotTransitionError(f"slot {index}: adopt with {in_flight} in flight")
        self._fill(slot, SlotState.RESIDENT, key, engine_name, now)
        slot.in_flight = in_flight

    def clear(self, now: float) -> None:
        """Empty all slots after a restart of the engine, which then holds no adapter."""
        for slot in self._slots:
            self._empty(slot, now)

    def _require_state(self, index: int, state: SlotState, operation: str) -> Slot:
        slot = self._slots[index]
        if slot.state is not state:
            raise SlotTransitionError(f"slot {index}: {operation} while {slot.state.value}")
        return slot

    def _require_absent(self, key: AdapterKey, operation: str) -> None:
        existing = self._by_key.get(key)
        if existing is not None:
            raise SlotTransitionError(f"{operation} of {key}: already in slot {existing.index}")

    def _fill(
        self,
        slot: Slot,
        state: SlotState,
        key: AdapterKey,
        engine_name: EngineAdapterName,
        now: float,
    ) -> None:
        slot.state = state
        slot.key = key
        slot.engine_name = engine_name
        slot.in_flight = 0
        slot.since = now
        slot.last_used = now
        self._by_key[key] = slot

    def _empty(self, slot: Slot, now: float) -> None:
        if slot.key is not None:
            del self._by_key[slot.key]
        slot.state = SlotState.EMPTY
        slot.key = None
        slot.engine_name = None
        slot.in_flight = 0
        slot.since = now
