"""Splits a stream of server-sent events into complete events."""

import re
from typing import final

from dragonflyhold.gateway.limits import MAX_EVENT_BYTES
from dragonflyhold.gateway.numbers import parse_digits

# Bytes before new data in which the end of an event may begin.
_END_OVERLAP = 3
_END = re.compile(rb"\n\n|\r\n\r\n")


class UnsoundStreamError(Exception):
    """What follows in a stream may not be forwarded."""


class EventTooLargeError(UnsoundStreamError):
    """An event of a stream exceeds the limit, or never ends."""


class EventOrderError(UnsoundStreamError):
    """The next event does not follow the last one that was forwarded."""


@final
class EventSplitter:
    """Forwards only complete events, in the order of their ids, and tracks the last id.

    A stream may consist of several runs. Each run after the first must go on after the last event:
    its events need numbers as ids, and the first of them follows without a gap. A gap shows only if
    each id before was one more than the id before it, since ids need not count by one. The same
    holds for the first run if the client itself resumes a stream, after ``resumed_after``.
    """

    def __init__(self, resumed_after: str | None = None) -> None:
        self._last_number = parse_digits(resumed_after) if resumed_after else None
        self.last_id = resumed_after if self._last_number is not None else None
        self.forwarded_count = 0
        # Whether a new run can go on after the events forwarded so far.
        self.can_resume = True
        self._partial = bytearray()
        self._error: UnsoundStreamError | None = None
        # Whether the run goes on after ``last_id``, and whether its first event has come.
        self._is_resumed = False
        self._has_begun = False
        # Whether all ids so far counted by one, ``None`` before there is a step.
        self._counts_by_one: bool | None = None

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def run_has_begun(self) -> bool:
        """Whether the current run has brought an event."""
        return self._has_begun

    def start_run(self) -> None:
        """Discard an incomplete event; a new run follows."""
        self._partial.clear()
        self._error = None
        self._is_resumed = self.last_id is not None
        self._has_begun = False

    def check(self) -> None:
        """Raise ``UnsoundStreamError`` if what followed the returned events is unsound."""
        if self._error is not None:
            raise self._error

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes.

        Raises ``UnsoundStreamError`` for an event that is larger than ``MAX_EVENT_BYTES`` or out of
        order; if other events precede it in ``data``, ``check`` does.
        """
        self.check()
        searched = max(0, len(self._partial) - _END_OVERLAP)
        self._partial += data
        new_events = []
        start = 0
        try:
            while (end := _event_end(self._partial, max(start, searched))) > 0:
                event = bytes(self._partial[start:end])
                start = end
                if self._accept(event):
                    new_events.append(event)
            if len(self._partial) - start > MAX_EVENT_BYTES:
                raise EventTooLargeError(f"event of more than {MAX_EVENT_BYTES} bytes")
        except UnsoundStreamError as error:
            self._error = error
            start = len(self._partial)
        del self._partial[:start]
        if not new_events:
            self.check()
        self.forwarded_count += len(new_events)
        return b"".join(new_events)

    def _accept(self, event: bytes) -> bool:
        """Return whether to forward an event; raise ``EventOrderError``."""
        event_id, has_data = _parse_event(event)
        if event_id is None and not has_data:
            # A comment. Those before the first event of a later run belong to no stream.
            return self._has_begun or not self.forwarded_count
        number = parse_digits(event_id) if event_id is not None else None
        if number is None:
            if self._is_resumed:
                raise EventOrderError("an event without a number as its id")
            self.can_resume = False
        else:
            self._check_order(number)
            self._last_number = number
        self._has_begun = True
        self.last_id = event_id if event_id is not None else self.last_id
        return True

    def _check_order(self, number: int) -> None:
        last = self._last_number
        if last is None:
            # The ids of a whole stream that counts by one begin with 1.
            self._counts_by_one = True if number == 1 else None
            return
        if number <= last:
            raise EventOrderError(f"event {number} after event {last}")
        is_next = number == last + 1
        if self._is_resumed and not self._has_begun and self._counts_by_one and not is_next:
            raise EventOrderError(f"a gap from event {last} to event {number}")
        self._counts_by_one = is_next and self._counts_by_one is not False


def _event_end(data: bytearray, start: int) -> int:
    """Return the index after the blank line that ends an event, or -1."""
    # One search for both: a search for the one that a stream does not use would read all of it.
    end = _END.search(data, start)
    return end.end() if end is not None else -1


def _parse_event(event: bytes) -> tuple[str | None, bool]:
    """Return the id of an event, if it has one, and whether it is more than a comment."""
    has_data = False
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1"), True
        has_data = has_data or line.startswith(b"data")
    return None, has_data
