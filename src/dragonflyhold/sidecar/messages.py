"""Messages to the owner of a sidecar's tables."""

import dataclasses
from typing import final

from dragonflyhold.sidecar.outbox import StreamOutbox
from dragonflyhold.transport.schema import sidecar_pb2 as pb


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame of an entry."""

    outbox: StreamOutbox
    frame: pb.EntryFrame


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream of an entry has ended."""

    outbox: StreamOutbox


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LeavingChanged:
    """A source, such as the VM list, says whether the upstream is leaving."""

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
    """Asks for a ``ProbeReply``."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IssueCall:
    """Asks for an ``IssuePermitsReply``."""

    request: pb.IssuePermitsRequest


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LookupCall:
    """Asks for a ``LookupReply``."""

    request_id: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DeclineCall:
    """Asks to decline a request; the reply is a ``LookupReply``."""

    request_id: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IsDrainedCall:
    """Asks whether no request is open and no answer waits to be fetched."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IsReadyCall:
    """Asks whether new work is taken."""
