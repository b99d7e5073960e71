"""Tests of the slot plan."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyhold.adapters import (
    LoadBackoff,
    Popularity,
    SlotState,
    SlotTable,
    StartEvict,
    StartLoad,
    WaitingAdapter,
    may_start_batch,
    plan_slots,
)
from dragonflyhold.ids import AdapterKey, AdapterName, EngineAdapterName, ServiceName, Version
from dragonflyhold.settings.model import SlotSettings

SETTINGS = SlotSettings()
NOW = 1000.0


def _key(number: int) -> AdapterKey:
    return AdapterKey(ServiceName("s"), AdapterName(f"a{number}"), Version(1))


def _waiter(
    number: int, utility: float = 1.0, oldest_age_s: float = 1.0, batch: bool = False
) -> WaitingAdapter:
    return WaitingAdapter(_key(number), 1, utility, oldest_age_s, batch)


class _Harness:
    """A slot table in which the first adapters are resident, and the inputs of ``plan_slots``."""

    def __init__(self, slots: int, resident: int) -> None:
        self.slots = SlotTable(slots)
        for index in range(resident):
            self.slots.adopt(index, _key(index), EngineAdapterName(f"e{index}"), 0, NOW - 50.0)
        self.popularity = Popularity(SETTINGS.popularity_half_life_s)
        self.backoff = LoadBackoff(SETTINGS, random.Random(1))

    def plan(self, *waiting: WaitingAdapter) -> list[StartLoad | StartEvict]:
        return plan_slots(self.slots, waiting, self.popularity, self.backoff, NOW, SETTINGS)


class TestPlanSlots:
    """Guards against loads in the wrong order and evictions of adapters that are in use."""

    def test_loads_the_adapter_with_the_highest_utility_first(self) -> None:
        plan = _Harness(1, 0).plan(_waiter(1, utility=1.0), _waiter(2, utility=5.0))
        assert plan == [StartLoad(0, _key(2), 5.0)]

    def test_equal_utility_prefers_the_newest_requests(self) -> None:
        plan = _Harness(1, 0).plan(_waiter(1, oldest_age_s=2.9), _waiter(2, oldest_age_s=0.1))
        assert plan == [StartLoad(0, _key(2), 1.0)]

    def test_evicts_the_least_popular_not_the_least_recently_used(self) -> None:
        harness = _Harness(2, 2)
        for _ in range(20):
            harness.popularity.record(_key(0), NOW - 40.0)
        harness.popularity.record(_key(1), NOW - 1.0)
        harness.slots.slots[0].last_used = NOW - 2.0
        harness.slots.slots[1].last_used = NOW - 1.0
        assert harness.plan(_waiter(9)) == [StartEvict(1)]

    def test_evicts_a_formerly_popular_adapter_that_is_idle(self) -> None:
        harness = _Harness(2, 2)
        for second in range(60):
            harness.popularity.record(_key(0), NOW - 120.0 + second)
        for at in (NOW - 50.0, NOW - 20.0, NOW - 3.0):
            harness.popularity.record(_key(1), at)
        harness.slots.slots[0].last_used = NOW - 60.0
        harness.slots.slots[1].last_used = NOW - 3.0
        assert harness.plan(_waiter(9)) == [StartEvict(0)]

    def test_keeps_a_resident_adapter_with_queued_requests(self) -> None:
        assert _Harness(1, 1).plan(_waiter(9, utility=100.0), _waiter(0)) == []

    def test_failed_adapter_backs_off_without_delaying_others(self) -> None:
        harness = _Harness(1, 0)
        harness.backoff.record_failure(_key(1), NOW)
        plan = harness.plan(_waiter(1, utility=9.0), _waiter(2))
        assert plan == [StartLoad(0, _key(2), 1.0)]

    def test_batch_requests_leave_slots_to_interactive_requests(self) -> None:
        harness = _Harness(8, 8)
        for index in range(5):
            harness.slots.pin(index, NOW)
        assert harness.plan(_waiter(9, batch=True)) == []
        assert len(harness.plan(_waiter(9, batch=False))) == 1

    def test_interactive_request_evicts_an_adapter_with_only_batch_requests(self) -> None:
        harness = _Harness(1, 1)
        assert harness.plan(_waiter(0, batch=True), _waiter(9)) == [StartEvict(0)]
        assert harness.plan(_waiter(0, batch=True), _waiter(9, batch=True)) == []

    def test_evicts_one_slot_at_a_time(self) -> None:
        harness = _Harness(4, 4)
        plan = harness.plan(_waiter(8), _waiter(9))
        assert len(plan) == 1
        assert isinstance(plan[0], StartEvict)
        harness.slots.begin_evict(plan[0].index, NOW)
        assert harness.plan(_waiter(8), _waiter(9)) == []

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        pins=st.lists(st.integers(0, 3), min_size=6, max_size=6),
        states=st.lists(st.sampled_from(list(SlotState)), min_size=6, max_size=6),
        waiting=st.dictionaries(
            st.integers(0, 12), st.tuples(st.floats(0, 10), st.floats(0, 5), st.booleans())
        ),
    )
    def test_every_action_is_a_legal_transition(
        self,
        pins: list[int],
        states: list[SlotState],
        waiting: dict[int, tuple[float, float, bool]],
    ) -> None:
        harness = _Harness(6, 0)
        for index, state in enumerate(states):
            if state is SlotState.EMPTY:
                continue
            harness.slots.begin_load(index, _key(index), EngineAdapterName("e"), NOW)
            if state is SlotState.LOADING:
                continue
            harness.slots.finish_load(index, NOW)
            if state is SlotState.EVICTING:
                harness.slots.begin_evict(index, NOW)
                continue
            for _ in range(pins[index]):
                harness.slots.pin(index, NOW)
        waiters = [_waiter(n, *values) for n, values in waiting.items()]
        for action in harness.plan(*waiters):
            # The slot table raises on an illegal transition.
            match action:
                case StartLoad(index=index, key=key):
                    harness.slots.begin_load(index, key, EngineAdapterName("e"), NOW)
                case StartEvict(index=index):
                    key = harness.slots.slots[index].key
                    assert key not in [w.key for w in waiters if not w.batch]
                    # An adapter that only batch requests wait for gives way to an interactive one.
                    has_interactive = any(
                        not w.batch and harness.slots.holder(w.key) is None for w in waiters
                    )
                    assert has_interactive or key not in [w.key for w in waiters]
                    harness.slots.begin_evict(index, NOW)


class TestMayStartBatch:
    """Guards against long batch requests that hold all slots and starve interactive ones."""

    def test_uses_slots_that_already_run_batch_requests(self) -> None:
        assert may_start_batch(_Harness(8, 8).slots, _key(2), {0, 1, 2, 3, 4})

    def test_uses_no_slot_beyond_the_batch_share(self) -> None:
        slots = _Harness(8, 8).slots
        assert may_start_batch(slots, _key(7), {0, 1, 2, 3})
        assert not may_start_batch(slots, _key(7), {0, 1, 2, 3, 4})

    def test_does_not_pin_a_slot_of_interactive_requests(self) -> None:
        slots = _Harness(8, 8).slots
        slots.pin(7, NOW)
        assert not may_start_batch(slots, _key(7), {0, 1, 2, 3, 4})

    def test_requires_a_resident_adapter(self) -> None:
        assert not may_start_batch(_Harness(8, 2).slots, _key(7), set())
