"""Decides whether an upstream may be sent requests, from what its own answers state; does no I/O.

A gate belongs to one incarnation. It outlives the incarnation's entry in the table of upstreams, so
that nothing that the registry, an agent or another gateway says later opens it again.
"""

import dataclasses
import enum
import math
import random
import weakref
from typing import final

from dragonflyhold.gateway.model import Upstream, UpstreamId

# Closed gates, and ids of incarnations that are not known yet, that are kept at most.
MAX_KEPT_GATES = 4096
MAX_KEPT_IDS = 256

# Longest time for which one answer closes a gate. No planned pause of an upstream is as long, and a
# value that is damaged or absurd must not take an upstream out for the rest of its life: after this
# time one request asks it again.
MAX_TURNED_AWAY_S = 300.0
# A gateway returns later than it may by up to this share of the time, and at most by this time, as
# the times of all gateways may end together.
RETURN_DELAY_SHARE = 0.25
MAX_RETURN_DELAY_S = 0.5
# Time within which an upstream gets its full share of requests again.
RETURN_S = 1.0

# Id and start time of an incarnation.
Incarnation = tuple[UpstreamId, int]


class SendState(enum.Enum):
    """Whether an upstream takes requests; values appear in logs."""

    OPEN = "open"
    # It has refused a request and stated for how long it wants no others.
    TURNED_AWAY = "turned_away"
    # That time is over; the upstream gets its share again little by little.
    RETURNING = "returning"
    # It is about to end: nothing more is sent to this incarnation.
    LEAVING = "leaving"


@final
@dataclasses.dataclass(slots=True, eq=False, weakref_slot=True)
class SendGate:
    """What one incarnation of an upstream has stated."""

    _state: SendState = SendState.OPEN
    # Monotonic time of the end of the current state, if it ends by itself.
    _ends_at: float = math.inf

    def state(self, now: float) -> SendState:
        """Return the state at a monotonic time."""
        if now >= self._ends_at:
            if self._state is SendState.TURNED_AWAY:
                self._state, self._ends_at = SendState.RETURNING, self._ends_at + RETURN_S
            if now >= self._ends_at:
                self._state, self._ends_at = SendState.OPEN, math.inf
        return self._state

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent."""
        return self._state is SendState.OPEN or self.state(now) in (
            SendState.OPEN,
            SendState.RETURNING,
        )

    def free_at(self, now: float) -> float | None:
        """Return the monotonic time from which on requests may be sent, ``None`` if never."""
        match self.state(now):
            case SendState.LEAVING:
                return None
            case SendState.TURNED_AWAY:
                return self._ends_at
            case SendState.OPEN | SendState.RETURNING:
                return now

    def return_load(self, now: float) -> float:
        """Return the share of its capacity that a returning upstream does not get yet, 0 to 1."""
        if self._state is SendState.OPEN or self.state(now) is not SendState.RETURNING:
            return 0.0
        return min(1.0, (self._ends_at - now) / RETURN_S)

    def leave(self) -> bool:
        """Close the gate for good; return whether it was not closed so before."""
        is_news = self._state is not SendState.LEAVING
        self._state, self._ends_at = SendState.LEAVING, math.inf
        return is_news

    def turn_away(self, wait_s: float, now: float) -> bool:
        """Close the gate for a time in seconds; return whether it was open.

        A time that ends before the one that is known changes nothing.
        """
        state = self.state(now)
        if state is SendState.LEAVING or wait_s <= 0:
            return False
        wait_s = min(wait_s, MAX_TURNED_AWAY_S)
        delay_s = min(RETURN_DELAY_SHARE * wait_s, MAX_RETURN_DELAY_S) * random.random()
        was_open = state is not SendState.TURNED_AWAY
        if was_open or now + wait_s > self._ends_at:
            self._state, self._ends_at = SendState.TURNED_AWAY, now + wait_s + delay_s
        return was_open


@final
class SendGates:
    """The gates of all incarnations that are in use, and of those that have stated something."""

    def __init__(self) -> None:
        self._gates: weakref.WeakValueDictionary[Incarnation, SendGate] = (
            weakref.WeakValueDictionary()
        )
        # In the order in which they were closed.
        self._kept: dict[Incarnation, SendGate] = {}
        self._leaving_ids: dict[UpstreamId, None] = {}

    def find(self, upstream: Upstream) -> SendGate:
        """Return the gate of an incarnation, a new one if it has none yet."""
        incarnation = (upstream.upstream_id, upstream.start_time_ms)
        gate = self._gates.get(incarnation)
        if gate is None:
            gate = self._gates[incarnation] = SendGate()
            if upstream.upstream_id in self._leaving_ids:
                del self._leaving_ids[upstream.upstream_id]
                self.note_leaving(upstream)
        return gate

    def note_leaving(self, upstream: Upstream) -> bool:
        """Record that an incarnation leaves; return whether that is news."""
        gate = self.find(upstream)
        self._keep(upstream, gate)
        return gate.leave()

    def note_turned_away(self, upstream: Upstream, wait_s: float, now: float) -> bool:
        """Record for how long an incarnation wants no request; return whether its gate was open."""
        gate = self.find(upstream)
        self._keep(upstream, gate)
        return gate.turn_away(wait_s, now)

    def note_leaving_id(self, upstream_id: UpstreamId) -> None:
        """Record that an incarnation leaves of which only the id is known."""
        self._leaving_ids[upstream_id] = None
        if len(self._leaving_ids) > MAX_KEPT_IDS:
            del self._leaving_ids[next(iter(self._leaving_ids))]

    def _keep(self, upstream: Upstream, gate: SendGate) -> None:
        incarnation = (upstream.upstream_id, upstream.start_time_ms)
        self._kept.pop(incarnation, None)
        self._kept[incarnation] = gate
        if len(self._kept) > MAX_KEPT_GATES:
            del self._kept[next(iter(self._kept))]
