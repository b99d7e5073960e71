"""Outgoing items of one Exchange stream, and which streams read which answers."""

import collections
import dataclasses
import threading
from collections.abc import Callable, Iterator
from typing import final

from dragonflyhold.ids import RequestId
from dragonflyhold.requests import AnswerEnd, AnswerStore
from dragonflyhold.sidecar.wire import end_item
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# A stream thread looks this often whether its stream was closed under it.
MAX_WAIT_S = 1.0


@final
@dataclasses.dataclass(slots=True)
class _Cursor:
    request_id: RequestId
    next_sequence: int


@final
class StreamOutbox:
    """Collects items from any thread; the stream's thread takes all of them as one frame.

    A frame is sent at once when the stream is idle. While one is being sent, further items wait
    and leave together.
    """

    def __init__(
        self,
        answers: AnswerStore,
        hub: "StreamHub",
        revision: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self.entry = ""
        # Address of the entry's peer interface, if it told one.
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
        # Serialised pairs of the last heartbeat, ``None`` before the first.
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
        """Send an item."""
        with self._condition:
            self._items.append(item)
            self._condition.notify()

    def put_heartbeat(self, heartbeat: pb.SidecarHeartbeat) -> None:
        """Send a heartbeat; it replaces one that still waits."""
        with self._condition:
            self._heartbeat = heartbeat
            self._condition.notify()

    def subscribe(self, request_id: RequestId, tag: int, first: int) -> bool:
        """Send an answer from piece ``first`` on; ``False`` if it or the stream is gone."""
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
        """Send no more of an answer."""
        with self._condition:
            for tag in list(self._tags.get(request_id, ())):
                self._drop_cursor(tag)

    def mark_dirty(self, request_id: RequestId) -> None:
        """Note new pieces of an answer."""
        with self._condition:
            for tag in self._tags.get(request_id, ()):
                self._dirty[tag] = None
            self._condition.notify()

    def close(self) -> None:
        """End the stream; its answers may be attached to another."""
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
        """Leave out the resident adapters if the entry has them from the last heartbeat.

        They make up most of a heartbeat: 35 of its bytes for each.
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
    """All open Exchange streams, and which of them read an answer.

    Its lock is taken inside those of the streams and never the other way round.
    """

    def __init__(self) -> None:
        self._outboxes: set[StreamOutbox] = set()
        self._readers: dict[RequestId, set[StreamOutbox]] = {}
        self._lock = threading.Lock()

    def add(self, outbox: StreamOutbox) -> None:
        """Add a stream."""
        with self._lock:
            self._outboxes.add(outbox)

    def remove(self, outbox: StreamOutbox) -> None:
        """Close a stream and forget it."""
        outbox.close()
        with self._lock:
            self._outboxes.discard(outbox)

    def all(self) -> list[StreamOutbox]:
        """Return the open streams."""
        with self._lock:
            return list(self._outboxes)

    def add_reader(self, request_id: RequestId, outbox: StreamOutbox) -> None:
        """Note that a stream reads an answer."""
        with self._lock:
            self._readers.setdefault(request_id, set()).add(outbox)

    def remove_reader(self, request_id: RequestId, outbox: StreamOutbox) -> None:
        """Note that a stream reads an answer no more."""
        with self._lock:
            readers = self._readers.get(request_id, set())
            readers.discard(outbox)
            if not readers:
                self._readers.pop(request_id, None)

    def notify_readers(self, request_id: RequestId) -> None:
        """Tell the streams that read an answer that it has grown; called for each piece."""
        with self._lock:
            readers = list(self._readers.get(request_id, ()))
        for outbox in readers:
            outbox.mark_dirty(request_id)
