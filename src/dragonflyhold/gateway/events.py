"""Splits a stream of server-sent events at the ends of its events."""

from typing import final


@final
class EventSplitter:
    """Passes on whole events only and remembers the id of the last one.

    After a resume, events that were already passed on are dropped.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self.forwarded_count = 0
        self._rest = b""

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    def drop_partial(self) -> None:
        """Forget an event that was cut off."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are now whole, without those passed on before."""
        data = self._rest + data
        passed = []
        start = 0
        while (end := _event_end(data, start)) > 0:
            event = data[start:end]
            start = end
            if self._accept(event):
                passed.append(event)
        self._rest = data[start:]
        self.forwarded_count += len(passed)
        return b"".join(passed)

    def _accept(self, event: bytes) -> bool:
        event_id = _event_id(event)
        if event_id is None:
            return True
        last = self.last_id
        if (
            last is not None
            and last.isdigit()
            and event_id.isdigit()
            and int(event_id) <= int(last)
        ):
            return False
        self.last_id = event_id
        return True


def _event_end(data: bytes, start: int) -> int:
    """Return the index behind the blank line that ends an event, or -1."""
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
