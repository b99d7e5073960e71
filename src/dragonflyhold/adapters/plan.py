"""Selection of the next adapters to load and of the slots to evict."""

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

# Adapters that only batch requests wait for are loaded only while more than this share of the slots
# is empty or idle, because a long batch request pins its slot for tens of seconds.
BATCH_FREE_SHARE = 0.375
# Idle time, in mean gaps between requests, after which the popularity of an adapter is discounted.
MAX_IDLE_GAPS = 3.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaitingAdapter:
    """Queued requests of one adapter version.

    ``utility`` is the sum over the requests, ``oldest_age_s`` the age of the oldest one in seconds,
    ``batch`` whether all of them are of batch kinds.
    """

    key: AdapterKey
    requests: int
    utility: float
    oldest_age_s: float
    batch: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartLoad:
    """Load an adapter into an empty slot once the load budget grants it."""

    index: int
    key: AdapterKey
    utility: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartEvict:
    """Evict the idle adapter of a slot."""

    index: int


# Sort key of idle slots for eviction; the lowest is evicted first.
EvictionRank = Callable[[Slot], tuple[float, ...]]


def plan_slots(
    slots: SlotTable,
    waiting: Sequence[WaitingAdapter],
    popularity: Popularity[AdapterKey],
    backoff: LoadBackoff,
    now: float,
    settings: SlotSettings,
) -> list[StartLoad | StartEvict]:
    """Return the loads and evictions to start at ``now``, the highest utility first.

    ``waiting`` lists every adapter with queued requests, resident or not; a resident one is not
    evicted while it has queued requests. A ``StartLoad`` is only a request: ``begin_load`` follows
    once the load budget grants it, and a later plan may replace it with one of higher utility. An
    eviction may start immediately.
    """

    def rank(slot: Slot) -> tuple[float, ...]:
        return (_expected_use(slot, popularity, now, settings), slot.last_used)

    return plan_with_rank(slots, waiting, backoff, now, rank)


def may_start_batch(slots: SlotTable, key: AdapterKey, batch_slots: Collection[int]) -> bool:
    """Return whether a batch request may start on its resident adapter.

    ``batch_slots`` are the indexes of the slots with batch requests in flight. A request may use
    one of these slots. It may use another one only while enough slots remain for interactive
    requests, because it would keep that slot pinned after the interactive requests there ended.
    """
    slot = slots.find(key)
    if slot is None:
        return False
    max_batch_slots = (1.0 - BATCH_FREE_SHARE) * len(slots.slots)
    return slot.index in batch_slots or len(batch_slots) + 1 <= max_batch_slots


def plan_with_rank(
    slots: SlotTable,
    waiting: Sequence[WaitingAdapter],
    backoff: LoadBackoff,
    now: float,
    rank: EvictionRank,
) -> list[StartLoad | StartEvict]:
    """Plan like ``plan_slots``, but evict in the order given by ``rank``."""
    empty = [slot for slot in slots.slots if slot.state is SlotState.EMPTY]
    if empty:
        to_load = _select_loads(slots, waiting, backoff, now, len(empty))
        return [
            StartLoad(slot.index, waiter.key, waiter.utility)
            for slot, waiter in zip(empty, to_load, strict=False)
        ]
    # Evict at most one slot ahead of the load budget, because a slot that is empty while it waits
    # for a grant serves no requests.
    if any(slot.state is SlotState.EVICTING for slot in slots.slots):
        return []
    to_load = _select_loads(slots, waiting, backoff, now, 1)
    if not to_load:
        return []
    # An interactive request may evict a resident adapter that only batch requests wait for.
    kept = {waiter.key for waiter in waiting if to_load[0].batch or not waiter.batch}
    idle = [slot for slot in slots.slots if slot.is_idle and slot.key not in kept]
    if not idle:
        return []
    return [StartEvict(min(idle, key=rank).index)]


def _select_loads(
    slots: SlotTable,
    waiting: Sequence[WaitingAdapter],
    backoff: LoadBackoff,
    now: float,
    count: int,
) -> list[WaitingAdapter]:
    """Return up to ``count`` adapters to load, the highest utility first."""
    unpinned = sum(slot.is_idle or slot.state is SlotState.EMPTY for slot in slots.slots)
    batch_may_load = unpinned > BATCH_FREE_SHARE * len(slots.slots)
    to_load = [
        waiter
        for waiter in waiting
        if slots.holder(waiter.key) is None
        and backoff.ready_at(waiter.key) <= now
        and (batch_may_load or not waiter.batch)
    ]
    # Among adapters of equal utility the one whose oldest request is newest comes first: when the
    # budget is insufficient, the oldest requests are about to miss their deadline, and a load for
    # them is often wasted.
    return heapq.nsmallest(
        count, to_load, key=lambda waiter: (-waiter.utility, waiter.oldest_age_s, waiter.key)
    )


def _expected_use(
    slot: Slot, popularity: Popularity[AdapterKey], now: float, settings: SlotSettings
) -> float:
    """Return the decayed request count, discounted if the adapter has been idle for too long.

    At its estimated rate an adapter is idle for ``MAX_IDLE_GAPS`` mean gaps with a probability of
    5%, so a longer idle time indicates that its popularity has changed.
    """
    if slot.key is None:
        return 0.0
    estimate = popularity.estimate(slot.key, now)
    rate = estimate * math.log(2) / settings.popularity_half_life_s
    idle_gaps = rate * (now - slot.last_used)
    return estimate * math.exp(min(MAX_IDLE_GAPS - idle_gaps, 0.0))
