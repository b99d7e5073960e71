"""A bounded in-memory log of request events, served by the ``explain`` command."""

import collections
import dataclasses
import threading
import time
from collections.abc import Callable
from typing import final

MAX_REQUESTS = 4096
MAX_EVENTS_PER_REQUEST = 64


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ExplainEvent:
    """One event of a request; ``at_ms`` is Unix time in milliseconds."""

    at_ms: int
    text: str


@final
class ExplainLog:
    """Keeps the events of the ``MAX_REQUESTS`` most recently updated requests."""

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._events: collections.OrderedDict[str, list[ExplainEvent]] = collections.OrderedDict()
        self._lock = threading.Lock()

    def add(self, request_id: str, text: str) -> None:
        """Record an event of a request, unless it has ``MAX_EVENTS_PER_REQUEST`` already."""
        event = ExplainEvent(int(self._wall_clock() * 1000), text)
        with self._lock:
            events = self._events.setdefault(request_id, [])
            self._events.move_to_end(request_id)
            if len(events) < MAX_EVENTS_PER_REQUEST:
                events.append(event)
            while len(self._events) > MAX_REQUESTS:
                self._events.popitem(last=False)

    def move(self, old_id: str, new_id: str) -> None:
        """Move the events of ``old_id`` to ``new_id``, before those already recorded there."""
        with self._lock:
            events = self._events.pop(old_id, None)
            if events is not None:
                self._events[new_id] = events + self._events.get(new_id, [])

    def get(self, request_id: str) -> list[ExplainEvent]:
        """Return the events of a request, oldest first; empty for an unknown request."""
        with self._lock:
            return list(self._events.get(request_id, ()))
