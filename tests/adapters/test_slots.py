"""Tests of the slot table."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dragonflyhold.adapters import SlotState, SlotTable, SlotTransitionError
from dragonflyhold.ids import AdapterKey, AdapterName, EngineAdapterName, ServiceName, Version

SLOTS = 3
KEYS = [AdapterKey(ServiceName("s"), AdapterName(f"a{n}"), Version(1)) for n in range(5)]

indexes = st.integers(0, SLOTS - 1)
keys = st.sampled_from(KEYS)


class _SlotModel:
    """Reference model of one slot: its state, its key and the number of requests in flight."""

    def __init__(self) -> None:
        self.state = "empty"
        self.key: AdapterKey | None = None
        self.requests_in_flight = 0


class SlotTableMachine(RuleBasedStateMachine):
    """Compares the table with a reference model for arbitrary sequences of calls."""

    def __init__(self) -> None:
        super().__init__()
        self.table = SlotTable(SLOTS)
        self.models = [_SlotModel() for _ in range(SLOTS)]
        self.now = 0.0

    def _call(self, is_legal: bool, operation: str, *args: object) -> bool:
        self.now += 1.0
        call = getattr(self.table, operation)
        if is_legal:
            call(*args, self.now)
        else:
            with pytest.raises(SlotTransitionError):
                call(*args, self.now)
        return is_legal

    def _holds(self, key: AdapterKey) -> bool:
        return any(slot.key == key for slot in self.models)

    @rule(index=indexes, key=keys)
    def begin_load(self, index: int, key: AdapterKey) -> None:
        slot = self.models[index]
        is_legal = slot.state == "empty" and not self._holds(key)
        if self._call(is_legal, "begin_load", index, key, EngineAdapterName("n")):
            slot.state, slot.key = "loading", key

    @rule(index=indexes, key=keys, in_flight=st.integers(0, 2))
    def adopt(self, index: int, key: AdapterKey, in_flight: int) -> None:
        slot = self.models[index]
        is_legal = slot.state == "empty" and not self._holds(key)
        if self._call(is_legal, "adopt", index, key, EngineAdapterName("n"), in_flight):
            slot.state, slot.key, slot.requests_in_flight = "resident", key, in_flight

    @rule(index=indexes)
    def finish_load(self, index: int) -> None:
        slot = self.models[index]
        if self._call(slot.state == "loading", "finish_load", index):
            slot.state = "resident"

    @rule(index=indexes)
    def fail_load(self, index: int) -> None:
        slot = self.models[index]
        if self._call(slot.state == "loading", "fail_load", index):
            slot.state, slot.key = "empty", None

    @rule(index=indexes)
    def pin(self, index: int) -> None:
        slot = self.models[index]
        if self._call(slot.state == "resident", "pin", index):
            slot.requests_in_flight += 1

    @rule(index=indexes)
    def unpin(self, index: int) -> None:
        slot = self.models[index]
        if self._call(slot.state == "resident" and slot.requests_in_flight > 0, "unpin", index):
            slot.requests_in_flight -= 1

    @rule(index=indexes)
    def begin_evict(self, index: int) -> None:
        slot = self.models[index]
        if self._call(
            slot.state == "resident" and slot.requests_in_flight == 0, "begin_evict", index
        ):
            slot.state = "evicting"

    @rule(index=indexes)
    def finish_evict(self, index: int) -> None:
        slot = self.models[index]
        if self._call(slot.state == "evicting", "finish_evict", index):
            slot.state, slot.key = "empty", None

    @rule(index=indexes)
    def fail_evict(self, index: int) -> None:
        slot = self.models[index]
        if self._call(slot.state == "evicting", "fail_evict", index):
            slot.state = "resident"

    @rule()
    def clear(self) -> None:
        self.table.clear(self.now)
        self.models = [_SlotModel() for _ in range(SLOTS)]

    @invariant()
    def table_agrees_with_the_model(self) -> None:
        for slot, model in zip(self.table.slots, self.models, strict=True):
            assert slot.state.value == model.state
            assert slot.key == model.key
            assert slot.in_flight == model.requests_in_flight
            assert slot.in_flight == 0 or slot.state is SlotState.RESIDENT

    @invariant()
    def find_returns_exactly_the_resident_adapters(self) -> None:
        for key in KEYS:
            found = self.table.find(key)
            resident = [s for s in self.models if s.key == key and s.state == "resident"]
            assert (found.key if found else None) == (resident[0].key if resident else None)


class TestSlotTable(SlotTableMachine.TestCase):  # type: ignore[misc]
    """Guards against eviction of an adapter in use and against two slots for one adapter."""

    settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)
