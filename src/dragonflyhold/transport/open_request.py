"""State and events of one request attempt that is open on a link to a sidecar."""

import contextlib
import dataclasses
import queue
from typing import final

from dragonflyhold.errors import RefusalInfo
from dragonflyhold.ids import Incarnation
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# Events returned at once; bounds the size of one write to the caller.
MAX_EVENTS = 256


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestAccepted:
    """The sidecar accepted the request and assigned an id."""

    request_id: str
    resident: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PieceReceived:
    """The next piece of the answer."""

    sequence: int
    data: bytes


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The request ended and all its pieces were received."""

    end: pb.End


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused:
    """The sidecar refused the request, or has no answer for it."""

    refused: pb.Refused


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestLost:
    """The link ended the request without a complete answer.

    If ``was_sent``, the sidecar may have received the request.
    """

    info: RefusalInfo
    was_sent: bool


RequestEvent = RequestAccepted | PieceReceived | AnswerEnded | RequestRefused | RequestLost


@final
@dataclasses.dataclass(slots=True, eq=False)
class OpenRequest:
    """State shared by a request's thread and the stream; modified under the link's lock."""

    tag: int
    # None for a request that only reads an existing answer.
    submit: pb.Submit | None
    # Monotonic time in seconds.
    deadline: float
    opened_at: float
    # A permit, the id to attach to, or empty until the sidecar assigns an id.
    request_id: str = ""
    # Sequence number of the next piece to deliver.
    next_sequence: int = 0
    # gRPC has taken a frame that contains the request.
    is_sent: bool = False
    is_accepted: bool = False
    # The caller disconnected before the id was known.
    is_abandoned: bool = False
    abandon_detach: bool = False
    is_ended: bool = False
    # Incarnation that the request was sent to.
    sent_to: Incarnation | None = None
    # Resynchronizations since the last piece, and the sequence number the latest one started at.
    resyncs: int = 0
    resync_from: int = -1
    events: "queue.SimpleQueue[RequestEvent]" = dataclasses.field(default_factory=queue.SimpleQueue)

    def next_event(self, timeout_s: float) -> RequestEvent | None:
        """Wait for the next event; return ``None`` after ``timeout_s`` seconds without one."""
        try:
            return self.events.get(timeout=max(timeout_s, 0.0))
        except queue.Empty:
            return None

    def next_events(self, timeout_s: float) -> "list[RequestEvent]":
        """Wait for an event and return all queued events; empty after ``timeout_s`` seconds."""
        first = self.next_event(timeout_s)
        if first is None:
            return []
        events = [first]
        with contextlib.suppress(queue.Empty):
            while len(events) < MAX_EVENTS:
                events.append(self.events.get_nowait())
        return events

    def start_item(self, now: float) -> pb.EntryItem:
        """Return the item that starts or resumes this request on a stream."""
        if self.is_accepted or self.submit is None:
            attach = pb.Attach(
                tag=self.tag, request_id=self.request_id, from_sequence=self.next_sequence
            )
            return pb.EntryItem(attach=attach)
        submit = pb.Submit()
        submit.CopyFrom(self.submit)
        submit.tag = self.tag
        submit.deadline_ms = max(int((self.deadline - now) * 1000), 0)
        return pb.EntryItem(submit=submit)
