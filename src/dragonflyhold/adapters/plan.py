"""Which adapter loads next, and which slot is freed for it."""

import dataclasses
import heapq
import math
from collections.abc import Callable, Collection, Sequence
from typing import final

from dragonflyhold.adapters.backoff import LoadBackoff
from dragonflyhold.adapters.slots import Slot, SlotState, SlotTable
from dragonflyhold.ids import AdapterKey
from dragonflyhold.popularity import Popularity
from dragonflyhold.settings.model import SlotSettings

# Adapters that only batch requests wait for are loaded while more than this share of the slots is
# empty or idle: a long batch request pins its slot for tens of seconds.
BATCH_FREE_SHARE = 0.375
# Mean gaps between requests after which a silent adapter counts as no longer popular.
STALE_GAPS = 3.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaitingAdapter:
    """Queued requests of one adapter version.

    ``utility`` is the sum of the worth of the requests, ``oldest_s`` the age of the oldest, in
    seconds, ``batch`` whether all of them are of batch kinds.
    """

    key: AdapterKey
    requests: int
    utility: float
    oldest_s: float
    batch: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartLoad:
    """Load an adapter into an empty slot, once the load budget allows it."""

    index: int
    key: AdapterKey
    utility: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartEvict:
    """Evict the idle adapter of a slot."""

    index: int


# Order in which idle slots are evicted: the lowest first.
VictimRank = Callable[[Slot], tuple[float, ...]]


def plan_slots(
    slots: SlotTable,
    waiting: Sequence[WaitingAdapter],
    popularity: Popularity[AdapterKey],
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

    def rank(slot: Slot) -> tuple[float, ...]:
        return (_likely_use(slot, popularity, now, settings), slot.last_used)

    return plan_with_rank(slots, waiting, backoff, now, rank)


def may_start_batch(slots: SlotTable, key: AdapterKey, batch_slots: Collection[int]) -> bool:
    """Whether a batch request may start on its resident adapter.

    ``batch_slots`` are the indexes of the slots with batch requests in flight. A request may join
    them, and a slot more may be taken only while enough others are left: a batch request that
    joins interactive ones would otherwise keep their slot after they ended.
    """
    slot = slots.find(key)
    if slot is None:
        return False
    most = (1.0 - BATCH_FREE_SHARE) * len(slots.slots)
    return slot.index in batch_slots or len(batch_slots) + 1 <= most


def plan_with_rank(
    slots: SlotTable,
    waiting: Sequence[WaitingAdapter],
    backoff: LoadBackoff,
    now: float,
    rank: VictimRank,
) -> list[StartLoad | StartEvict]:
    """Plan like ``plan_slots`` with another order of eviction."""
    empty = [slot for slot in slots.slots if slot.state is SlotState.EMPTY]
    if empty:
        wanted = _wanted(slots, waiting, backoff, now, len(empty))
        return [
            StartLoad(slot.index, waiter.key, waiter.utility)
            for slot, waiter in zip(empty, wanted, strict=False)
        ]
    # One freed slot ahead of the load budget is enough: a slot that waits empty for a grant
    # serves nothing.
    if any(slot.state is SlotState.EVICTING for slot in slots.slots):
        return []
    wanted = _wanted(slots, waiting, backoff, now, 1)
    if not wanted:
        return []
    # Batch requests that wait for a resident adapter give way to interactive ones.
    kept = {waiter.key for waiter in waiting if wanted[0].batch or not waiter.batch}
    idle = [slot for slot in slots.slots if slot.is_idle and slot.key not in kept]
    if not idle:
        return []
    return [StartEvict(min(idle, key=rank).index)]


def _wanted(
    slots: SlotTable,
    waiting: Sequence[WaitingAdapter],
    backoff: LoadBackoff,
    now: float,
    count: int,
) -> list[WaitingAdapter]:
    """Return the ``count`` adapters to load, best first."""
    unpinned = sum(slot.is_idle or slot.state is SlotState.EMPTY for slot in slots.slots)
    batch_may_load = unpinned > BATCH_FREE_SHARE * len(slots.slots)
    wanted = [
        waiter
        for waiter in waiting
        if slots.holder(waiter.key) is None
        and backoff.ready_at(waiter.key) <= now
        and (batch_may_load or not waiter.batch)
    ]
    # Among equal loads the newest waiter is first: when the budget does not suffice, the oldest
    # ones are about to pass their deadline, and a load for them is often wasted.
    return heapq.nsmallest(
        count, wanted, key=lambda waiter: (-waiter.utility, waiter.oldest_s, waiter.key)
    )


def _likely_use(
    slot: Slot, popularity: Popularity[AdapterKey], now: float, settings: SlotSettings
) -> float:
    """Return the decayed request count, lowered once the adapter is silent for too long.

    At its estimated rate an adapter is silent for ``STALE_GAPS`` mean gaps with a probability of
    5%, so a longer silence means that its popularity has changed.
    """
    if slot.key is None:
        return 0.0
    estimate = popularity.estimate(slot.key, now)
    rate = estimate * math.log(2) / settings.popularity_half_life_s
    gaps = rate * (now - slot.last_used)
    return estimate * math.exp(min(STALE_GAPS - gaps, 0.0))
