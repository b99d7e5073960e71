"""Messages to the thread that owns the tables of a sidecar."""

import dataclasses
from typing import final

from dragonflyhold.sidecar.outbox import StreamOutbox
from dragonflyhold.transport.schema import sidecar_pb2 as pb


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame from an entry has arrived."""

    outbox: StreamOutbox
    frame: pb.EntryFrame


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """The stream of an entry has ended."""

    outbox: StreamOutbox


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeavingChanged:
    """A source, such as the VM list, reports whether the upstream is leaving."""

    source: str
    is_leaving: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TimerTick:
    """Periodic work is due."""

    paused_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatTick:
    """Heartbeats and the slower periodic work are due."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ProbeCall:
    """Call that returns a ``ProbeReply``."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IssueCall:
    """Call that issues permits and returns an ``IssuePermitsReply``."""

    request: pb.IssuePermitsRequest


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LookupCall:
    """Call that returns the state of a request as a ``LookupReply``."""

    request_id: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DeclineCall:
    """Call that declines a request and returns its state as a ``LookupReply``."""

    request_id: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IsDrainedCall:
    """Call that returns whether no request is open and no answer is undelivered."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IsReadyCall:
    """Call that returns whether new work is accepted."""
