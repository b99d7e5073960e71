"""Decides which gateways an agent tells about its engine, and when; does no I/O.

A gateway whose requests wait at the engine hears of each change at once. The others hear of evicted
adapters within ``EVICTION_WINDOW_S``, so that they send few requests in vain, and of other changes
merged over a window. They also get heartbeats with the engine's load. The window and the interval
between heartbeats grow with the number of gateways: an agent sends at most ``MAX_MESSAGES_PER_S``
of each to all gateways together until they reach their upper bounds.
"""

import dataclasses
from collections.abc import Hashable
from typing import Generic, TypeVar, final

from dragonflyhold.gateway.messages import EngineUpdate

# Limit for the periodic messages of one kind to all gateways together.
MAX_MESSAGES_PER_S = 100
MIN_HEARTBEAT_S = 0.05
MAX_HEARTBEAT_S = 0.5
MAX_WINDOW_S = 0.5
EVICTION_WINDOW_S = 0.05
# Longest interval between updates to a gateway whose requests wait.
WAITING_UPDATE_S = 0.25
# Updates to gateways that announce no protocol version are sent this often.
COMPATIBLE_UPDATE_S = 0.25
# The gap that heartbeats leave if one is skipped because of a recent message.
GAP_RATIO = 1.5
# Protocol version from which on a gateway expects heartbeats with an announced gap.
GAP_PROTOCOL = 2

Gateway = TypeVar("Gateway", bound=Hashable)


@final
@dataclasses.dataclass(slots=True)
class _Subscription:
    """What one gateway was told last."""

    protocol: int = 1
    update: EngineUpdate | None = None
    updated_at: float = -1e9
    is_waiting: bool = False
    # Set when requests of the gateway begin to wait: what it knows may be as old as the window.
    needs_update: bool = False


@final
class Publication(Generic[Gateway]):
    """Subscriptions of all gateways; a gateway is any hashable key."""

    def __init__(self) -> None:
        self._subscriptions: dict[Gateway, _Subscription] = {}

    @property
    def heartbeat_s(self) -> float:
        """Return the interval between heartbeats, in seconds."""
        if any(item.protocol < GAP_PROTOCOL for item in self._subscriptions.values()):
            return MIN_HEARTBEAT_S
        wanted = len(self._subscriptions) / MAX_MESSAGES_PER_S
        return min(max(wanted, MIN_HEARTBEAT_S), MAX_HEARTBEAT_S)

    @property
    def gap_s(self) -> float:
        """Return the longest gap between two messages to a gateway, in seconds."""
        return GAP_RATIO * self.heartbeat_s

    @property
    def window_s(self) -> float:
        """Return the time over which changes are merged, in seconds; 0 for a few gateways."""
        wanted = len(self._subscriptions) / MAX_MESSAGES_PER_S
        return min(wanted, MAX_WINDOW_S) if wanted > MIN_HEARTBEAT_S else 0.0

    def add(self, gateway: Gateway) -> None:
        """Add a gateway that knows nothing yet."""
        self._subscriptions[gateway] = _Subscription()

    def remove(self, gateway: Gateway) -> None:
        """Forget a gateway."""
        self._subscriptions.pop(gateway, None)

    def note_protocol(self, gateway: Gateway, protocol: int) -> None:
        """Record the protocol version that a gateway announces."""
        subscription = self._subscriptions.get(gateway)
        if subscription is not None:
            subscription.protocol = protocol

    def protocol(self, gateway: Gateway) -> int:
        """Return the protocol version that a gateway announced."""
        subscription = self._subscriptions.get(gateway)
        return subscription.protocol if subscription is not None else 1

    def note_waiting(self, gateway: Gateway, is_waiting: bool) -> None:
        """Record whether requests of a gateway wait at the engine."""
        subscription = self._subscriptions.get(gateway)
        if subscription is not None:
            subscription.needs_update |= is_waiting and not subscription.is_waiting
            subscription.is_waiting = is_waiting

    def note_sent(self, gateway: Gateway, update: EngineUpdate, now: float) -> None:
        """Record an update that is sent to a gateway."""
        subscription = self._subscriptions[gateway]
        subscription.update, subscription.updated_at = update, now
        subscription.needs_update = False

    def due(self, update: EngineUpdate, now: float) -> list[Gateway]:
        """Return the gateways that should get the engine's state now."""
        # Most gateways were told the same state last.
        differences: dict[int, _Difference] = {}
        due = []
        for gateway, subscription in self._subscriptions.items():
            last = subscription.update
            if last is None or subscription.needs_update:
                due.append(gateway)
                continue
            difference = differences.get(id(last))
            if difference is None:
                difference = differences[id(last)] = _compare(last, update)
            if self._is_due(subscription, difference, now):
                due.append(gateway)
        return due

    def _is_due(self, subscription: _Subscription, difference: "_Difference", now: float) -> bool:
        age_s = now - subscription.updated_at
        if difference.is_urgent:
            return True
        if subscription.protocol < GAP_PROTOCOL:
            return difference.is_slot_change or age_s >= COMPATIBLE_UPDATE_S
        if subscription.is_waiting:
            return difference.is_slot_change or age_s >= WAITING_UPDATE_S
        window_s = (
            min(self.window_s, EVICTION_WINDOW_S) if difference.is_eviction else self.window_s
        )
        return difference.is_change and age_s >= window_s


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Difference:
    """How the engine's state differs from the one that a gateway knows."""

    # Requests could be sent where they must not run, or not where they may.
    is_urgent: bool
    # An adapter became usable or unusable, or slots ran out or became free.
    is_slot_change: bool
    # A usable adapter is no longer usable.
    is_eviction: bool
    # Anything changed but the load, which heartbeats carry.
    is_change: bool


def _compare(old: EngineUpdate, new: EngineUpdate) -> _Difference:
    is_resident_change = old.resident != new.resident
    return _Difference(
        is_urgent=_is_urgent(old, new),
        is_slot_change=is_resident_change
        or (old.free_adapter_slots > 0) != (new.free_adapter_slots > 0),
        is_eviction=is_resident_change and not set(old.resident) <= set(new.resident),
        is_change=is_resident_change
        or (old.loading, old.backlog, old.free_adapter_slots)
        != (new.loading, new.backlog, new.free_adapter_slots),
    )


def _is_urgent(old: EngineUpdate, new: EngineUpdate) -> bool:
    """Return whether requests could be sent where they must not run, or not where they may."""
    return (old.start_time_ms, old.upstream_id, old.has_model, old.is_draining, old.can_load) != (
        new.start_time_ms,
        new.upstream_id,
        new.has_model,
        new.is_draining,
        new.can_load,
    )
