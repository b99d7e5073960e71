"""Splits a stream of server-sent events into complete events."""

from typing import final

from dragonflyhold.gateway.limits import MAX_EVENT_BYTES
from dragonflyhold.gateway.numbers import parse_digits

# Bytes before new data in which the end of an event may begin.
_END_OVERLAP = 3


class EventTooLargeError(Exception):
    """An event of a stream exceeds the limit, or never ends."""


@final
class EventSplitter:
    """Forwards only complete events and tracks the id of the last one.

    After a resume, events that were already forwarded are dropped.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self.forwarded_count = 0
        self._partial = bytearray()
        self._error: EventTooLargeError | None = None

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def drop_partial(self) -> None:
        """Discard the incomplete event."""
        self._partial.clear()
        self._error = None

    def check(self) -> None:
        """Raise ``EventTooLargeError`` if what followed the returned events is too large."""
        if self._error is not None:
            raise self._error

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, without those already forwarded.

        Raises ``EventTooLargeError`` for an event larger than ``MAX_EVENT_BYTES``; if other events
        precede it in ``data``, ``check`` does.
        """
        self.check()
        searched = max(0, len(self._partial) - _END_OVERLAP)
        self._partial += data
        new_events = []
        start = 0
        while (end := _event_end(self._partial, max(start, searched))) > 0:
            event = bytes(self._partial[start:end])
            start = end
            if self._accept(event):
                new_events.append(event)
        del self._partial[:start]
        if len(self._partial) > MAX_EVENT_BYTES:
            self._partial.clear()
            self._error = EventTooLargeError(f"event of more than {MAX_EVENT_BYTES} bytes")
            if not new_events:
                raise self._error
        self.forwarded_count += len(new_events)
        return b"".join(new_events)

    def _accept(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        number = parse_digits(event_id)
        last = parse_digits(self.last_id) if self.last_id is not None else None
        if number is not None and last is not None and number <= last:
            return False
        self.last_id = event_id
        return True


def _event_end(data: bytearray, start: int) -> int:
    """Return the index after the blank line that ends an event, or -1."""
    plain = data.find(b"\n\n", start)
    crlf = data.find(b"\r\n\r\n", start)
    if crlf >= 0 and (plain < 0 or crlf < plain):
        return crlf + 4
    return plain + 2 if plain >= 0 else -1


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
