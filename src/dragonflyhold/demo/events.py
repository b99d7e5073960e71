"""Parses the server-sent events of an entry daemon."""

import dataclasses
import json
from collections.abc import Iterable, Iterator
from typing import Any, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServerEvent:
    """One server-sent event; ``name`` is empty for pieces of an answer."""

    name: str
    data: Any

    @property
    def piece(self) -> str:
        """Text of a piece; only for events without a name."""
        return str(self.data["choices"][0]["text"])


def read_events(lines: Iterable[bytes]) -> Iterator[ServerEvent]:
    """Yield the events of a stream; skip comments."""
    name = ""
    for line in lines:
        field, _, value = line.decode().rstrip("\n").partition(": ")
        match field:
            case "event":
                name = value
            case "data":
                yield ServerEvent(name, json.loads(value))
            case "":
                name = ""
