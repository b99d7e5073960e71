"""Queue of items to send on one stream, batched into frames."""

import threading
from collections.abc import Callable, Iterator, Sequence
from typing import final

from dragonflyhold.transport.open_request import OpenRequest
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# Keeps one frame well under the message size limit; bodies are at most a few megabytes.
MAX_FRAME_ITEMS = 256
MAX_FRAME_BYTES = 4 * 1024 * 1024


@final
class Outbox(Iterator[pb.EntryFrame]):
    """Iterator of frames; a frame batches the items queued while the previous one was sent.

    gRPC requests the next frame once the connection has accepted the previous one, so an item on
    an idle stream is sent without delay.
    """

    def __init__(self, config_revision: Callable[[], int]) -> None:
        self._config_revision = config_revision
        self._items: list[tuple[pb.EntryItem, OpenRequest | None]] = []
        self._closed = False
        self._changed = threading.Condition()

    def put(self, item: pb.EntryItem, request: OpenRequest | None = None) -> None:
        """Queue an item; ``request`` is marked as sent once a frame includes the item."""
        with self._changed:
            if not self._closed:
                self._items.append((item, request))
                self._changed.notify()

    def withdraw(self, request: OpenRequest) -> bool:
        """Remove a request that no frame includes yet; return whether it was still queued."""
        with self._changed:
            before = len(self._items)
            self._items = [pair for pair in self._items if pair[1] is not request]
            return len(self._items) < before

    def close(self) -> None:
        """End the stream; queued items are never sent."""
        with self._changed:
            self._closed = True
            self._items.clear()
            self._changed.notify_all()

    def __next__(self) -> pb.EntryFrame:
        """Wait for items and return them as one frame."""
        with self._changed:
            while not self._items and not self._closed:
                self._changed.wait()
            if self._closed:
                raise StopIteration
            count = self._next_frame_item_count()
            taken, self._items = self._items[:count], self._items[count:]
            for _, request in taken:
                if request is not None:
                    request.is_sent = True
        return self._make_frame([item for item, _ in taken])

    def _next_frame_item_count(self) -> int:
        size = 0
        for index, (item, _) in enumerate(self._items[:MAX_FRAME_ITEMS]):
            size += item.ByteSize()
            if index and size > MAX_FRAME_BYTES:
                return index
        return min(len(self._items), MAX_FRAME_ITEMS)

    def _make_frame(self, items: Sequence[pb.EntryItem]) -> pb.EntryFrame:
        return pb.EntryFrame(items=items, config_revision=self._config_revision())
