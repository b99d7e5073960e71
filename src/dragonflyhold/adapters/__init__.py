"""Adapter slots, popularity, load order and the load budget, as pure logic without I/O."""

from dragonflyhold.adapters.backoff import LoadBackoff
from dragonflyhold.adapters.broker import (
    BrokerGrant,
    LoadBroker,
    LoadRequest,
    LocalLoadShare,
    choose_broker,
)
from dragonflyhold.adapters.plan import (
    StartEvict,
    StartLoad,
    WaitingAdapter,
    may_start_batch,
    plan_slots,
)
from dragonflyhold.adapters.slots import Slot, SlotState, SlotTable, SlotTransitionError
from dragonflyhold.popularity import Popularity

__all__ = [
    "BrokerGrant",
    "LoadBackoff",
    "LoadBroker",
    "LoadRequest",
    "LocalLoadShare",
    "Popularity",
    "Slot",
    "SlotState",
    "SlotTable",
    "SlotTransitionError",
    "StartEvict",
    "StartLoad",
    "WaitingAdapter",
    "choose_broker",
    "may_start_batch",
    "plan_slots",
]
