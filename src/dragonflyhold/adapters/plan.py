"""Which adapter loads next, and which slot is freed for it."""

import dataclasses
from collections.abc import Sequence
from typing import final

from dragonflyhold.adapters.backoff import LoadBackoff
from dragonflyhold.adapters.popularity import Popularity
from dragonflyhold.adapters.slots import Slot, SlotState, SlotTable
from dragonflyhold.ids import AdapterKey
from dragonflyhold.settings.model import SlotSettings


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaitingAdapter:
    """Queued requests of one adapter version.

    ``worth`` is the sum of the worth of the requests, ``oldest_s`` the age of the oldest.
    """

    key: AdapterKey
    requests: int
    worth: float
    oldest_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartLoad:
    """Load an adapter into an empty slot, once the load budget allows it."""

    index: int
    key: AdapterKey
    worth: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartEvict:
    """Evict the idle adapter of a slot."""

    index: int


def plan_slots(
    slots: SlotTable,
    waiting: Sequence[WaitingAdapter],
    popularity: Popularity,
    backoff: LoadBackoff,
    now: float,
    settings: SlotSettings,
) -> list[StartLoad | StartEvict]:
    """Return the loads and evictions to start at ``now``, the most valuable first.

    ``waiting`` lists every adapter with queued requests, resident or not: a resident one is kept
    while its requests drain. A load is a wish: ``begin_load`` follows once the load budget grants
    it, and a wish that is not granted may be replaced by a better one in a later plan. An
    eviction can start at once.
    """
    wanted = _wanted(slots, waiting, backoff, now)
    empty = [slot for slot in slots.slots if slot.state is SlotState.EMPTY]
    actions: list[StartLoad | StartEvict] = [
        StartLoad(slot.index, waiter.key, waiter.worth)
        for slot, waiter in zip(empty, wanted, strict=False)
    ]
    evicting = sum(slot.state is SlotState.EVICTING for slot in slots.slots)
    # One freed slot ahead of the load budget is enough: a slot that waits empty for a grant
    # serves nothing.
    if len(wanted) > len(empty) and not empty and not evicting:
        victim = _victim(slots, waiting, popularity, now)
        if victim is not None:
            actions.append(StartEvict(victim.index))
    return actions


def _wanted(
    slots: SlotTable, waiting: Sequence[WaitingAdapter], backoff: LoadBackoff, now: float
) -> list[WaitingAdapter]:
    wanted = [
        waiter
        for waiter in waiting
        if slots.holder(waiter.key) is None and backoff.ready_at(waiter.key) <= now
    ]
    wanted.sort(key=lambda waiter: (-waiter.worth, -waiter.oldest_s, waiter.key))
    return wanted


def _victim(
    slots: SlotTable, waiting: Sequence[WaitingAdapter], popularity: Popularity, now: float
) -> Slot | None:
    kept = {waiter.key for waiter in waiting}
    idle = [slot for slot in slots.slots if slot.is_idle and slot.key not in kept]
    return min(
        idle,
        key=lambda slot: (popularity.estimate(slot.key, now) if slot.key else 0.0, slot.last_used),
        default=None,
    )
