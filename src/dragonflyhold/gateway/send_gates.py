"""Decides whether an upstream may be sent requests, from what its own answers state; does no I/O.

A gate belongs to one incarnation. It outlives the incarnation's entry in the table of upstreams, so
that nothing that the registry, an agent or another gateway says later opens it again.
"""

import dataclasses
import enum
import weakref
from typing import final

from dragonflyhold.gateway.model import Upstream, UpstreamId

# Closed gates, and ids of incarnations that are not known yet, that are kept at most.
MAX_KEPT_GATES = 4096
MAX_KEPT_IDS = 256

# Id and start time of an incarnation.
Incarnation = tuple[UpstreamId, int]


class SendState(enum.Enum):
    """Whether an upstream takes requests; values appear in logs."""

    OPEN = "open"
    # It is about to end: nothing more is sent to this incarnation.
    LEAVING = "leaving"


@final
@dataclasses.dataclass(slots=True, eq=False, weakref_slot=True)
class SendGate:
    """What one incarnation of an upstream has stated."""

    state: SendState = SendState.OPEN

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent at a monotonic time."""
        del now
        return self.state is SendState.OPEN


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
        if gate.state is SendState.LEAVING:
            return False
        gate.state = SendState.LEAVING
        self._keep(upstream, gate)
        return True

    def note_leaving_id(self, upstream_id: UpstreamId) -> None:
        """Record that an incarnation leaves of which only the id is known."""
        self._leaving_ids[upstream_id] = None
        if len(self._leaving_ids) > MAX_KEPT_IDS:
            del self._leaving_ids[next(iter(self._leaving_ids))]

    def _keep(self, upstream: Upstream, gate: SendGate) -> None:
        self._kept[upstream.upstream_id, upstream.start_time_ms] = gate
        if len(self._kept) > MAX_KEPT_GATES:
            del self._kept[next(iter(self._kept))]
