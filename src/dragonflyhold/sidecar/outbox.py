"""Outgoing items of Exchange streams, and the answers that each stream reads."""

import collections
import dataclasses
import threading
from collections.abc import Callable, Iterator
from typing import final

from dragonflyhold.ids import RequestId
from dragonflyhold.requests import AnswerEnd, AnswerStore
from dragonflyhold.sidecar.wire import end_item
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# Maximum time after which the thread of a stream checks again whether the stream was closed.
MAX_WAIT_S = 1.0


@final
@dataclasses.dataclass(slots=True)
class _Cursor:
    request_id: RequestId
    next_sequence: int


@final
class StreamOutbox:
    """Collects items from any thread and yields them as frames in the thread of the stream.

    An idle stream sends an item immediately. Items that arrive while a frame is being sent are
    combined in the next frame.
    """

    def __init__(
        self,
        answers: AnswerStore,
        hub: "StreamHub",
        revision: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self.entry = ""
        # Address of the entry's peer service, empty if the entry did not send one.
        self.address = ""
        self.last_received_at = clock()
        self._answers = answers
        self._hub = hub
        self._revision = revision
        self._clock = clock
        self._condition = threading.Condition()
        self._items: collections.deque[pb.SidecarItem] = collections.deque()
        self._heartbeat: pb.SidecarHeartbeat | None = None
        self._cursors: dict[int, _Cursor] = {}
        self._tags: dict[RequestId, set[int]] = {}
        self._dirty: dict[int, None] = {}
        self._closed = False
        # Serialised resident adapters in the last full heartbeat; ``None`` before the first one.
        self._sent_resident: list[bytes] | None = None

    @property
    def has_open_answers(self) -> bool:
        """Whether an answer is being read on the stream."""
        return bool(self._cursors)

    @property
    def is_closed(self) -> bool:
        """Whether the stream has ended."""
        return self._closed

    def put(self, item: pb.SidecarItem) -> None:
        """Queue an item for sending."""
        with self._condition:
            self._items.append(item)
            self._condition.notify()

    def put_heartbeat(self, heartbeat: pb.SidecarHeartbeat) -> None:
        """Queue a heartbeat for sending; it replaces one that has not been sent yet."""
        with self._condition:
            self._heartbeat = heartbeat
            self._condition.notify()

    def subscribe(self, request_id: RequestId, tag: int, first: int) -> bool:
        """Send an answer, starting with piece ``first``.

        Return whether both the answer and the stream still exist.
        """
        with self._condition:
            if self._closed or not self._answers.attach(request_id):
                return False
            self._drop_cursor(tag)
            self._cursors[tag] = _Cursor(request_id, first)
            self._tags.setdefault(request_id, set()).add(tag)
            self._hub.add_reader(request_id, self)
            self._dirty[tag] = None
            self._condition.notify()
            return True

    def unsubscribe(self, request_id: RequestId) -> None:
        """Stop sending an answer."""
        with self._condition:
            for tag in list(self._tags.get(request_id, ())):
                self._drop_cursor(tag)

    def mark_dirty(self, request_id: RequestId) -> None:
        """Schedule the new pieces of an answer for sending."""
        with self._condition:
            for tag in self._tags.get(request_id, ()):
                self._dirty[tag] = None
            self._condition.notify()

    def close(self) -> None:
        """End the stream; its answers can be attached to another stream."""
        with self._condition:
            self._closed = True
            for tag in list(self._cursors):
                self._drop_cursor(tag)
            self._condition.notify()

    def frames(self) -> Iterator[pb.SidecarFrame]:
        """Yield frames until the stream is closed."""
        while True:
            with self._condition:
                while not (self._closed or self._items or self._dirty or self._heartbeat):
                    self._condition.wait(MAX_WAIT_S)
                if self._closed:
                    return
                frame = self._next_frame()
            if frame.items:
                yield frame

    def _next_frame(self) -> pb.SidecarFrame:
        frame = pb.SidecarFrame(config_revision=self._revision())
        frame.items.extend(self._items)
        self._items.clear()
        if self._heartbeat is not None:
            frame.items.add().heartbeat.CopyFrom(self._omit_unchanged_resident(self._heartbeat))
            self._heartbeat = None
        for tag in list(self._dirty):
            self._add_pieces(tag, frame)
        self._dirty.clear()
        return frame

    def _omit_unchanged_resident(self, heartbeat: pb.SidecarHeartbeat) -> pb.SidecarHeartbeat:
        """Omit the resident adapters if they have not changed since the last heartbeat.

        They make up most of a heartbeat, at 35 bytes each.
        """
        resident = [ref.SerializeToString(deterministic=True) for ref in heartbeat.load.resident]
        if resident != self._sent_resident:
            self._sent_resident = resident
            return heartbeat
        shortened = pb.SidecarHeartbeat()
        shortened.CopyFrom(heartbeat)
        del shortened.load.resident[:]
        shortened.load.resident_unchanged = True
        return shortened

    def _add_pieces(self, tag: int, frame: pb.SidecarFrame) -> None:
        cursor = self._cursors[tag]
        chunk = self._answers.read(cursor.request_id, cursor.next_sequence)
        if chunk is None:
            self._drop_cursor(tag)
            return
        for sequence, data in enumerate(chunk.pieces, cursor.next_sequence):
            piece = frame.items.add().piece
            piece.tag = tag
            piece.sequence = sequence
            piece.data = data
        cursor.next_sequence += len(chunk.pieces)
        if chunk.end is not None:
            self._add_end(frame, tag, cursor.request_id, chunk.end)
            self._drop_cursor(tag)

    def _add_end(
        self, frame: pb.SidecarFrame, tag: int, request_id: RequestId, end: AnswerEnd
    ) -> None:
        frame.items.append(end_item(tag, request_id, end))

    def _drop_cursor(self, tag: int) -> None:
        cursor = self._cursors.pop(tag, None)
        self._dirty.pop(tag, None)
        if cursor is None:
            return
        tags = self._tags[cursor.request_id]
        tags.discard(tag)
        if not tags:
            del self._tags[cursor.request_id]
            self._hub.remove_reader(cursor.request_id, self)
        self._answers.detach(cursor.request_id, self._clock())


@final
class StreamHub:
    """All open Exchange streams, and the streams that read each answer.

    Lock order: a thread that holds the lock of a stream may acquire the lock of the hub, but not
    vice versa.
    """

    def __init__(self) -> None:
        self._outboxes: set[StreamOutbox] = set()
        self._readers: dict[RequestId, set[StreamOutbox]] = {}
        self._lock = threading.Lock()

    def add(self, outbox: StreamOutbox) -> None:
        """Add an open stream."""
        with self._lock:
            self._outboxes.add(outbox)

    def remove(self, outbox: StreamOutbox) -> None:
        """Close a stream and remove it."""
        outbox.close()
        with self._lock:
            self._outboxes.discard(outbox)

    def all(self) -> list[StreamOutbox]:
        """Return the open streams."""
        with self._lock:
            return list(self._outboxes)

    def add_reader(self, request_id: RequestId, outbox: StreamOutbox) -> None:
        """Record that a stream reads an answer."""
        with self._lock:
            self._readers.setdefault(request_id, set()).add(outbox)

    def remove_reader(self, request_id: RequestId, outbox: StreamOutbox) -> None:
        """Record that a stream no longer reads an answer."""
        with self._lock:
            readers = self._readers.get(request_id, set())
            readers.discard(outbox)
            if not readers:
                self._readers.pop(request_id, None)

    def notify_readers(self, request_id: RequestId) -> None:
        """Notify the streams that read an answer; called for each piece and for the end."""
        with self._lock:
            readers = list(self._readers.get(request_id, ()))
        for outbox in readers:
            outbox.mark_dirty(request_id)
