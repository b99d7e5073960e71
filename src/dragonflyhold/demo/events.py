"""Reads server-sent events of an entry daemon."""

import dataclasses
import json
from collections.abc import Iterable, Iterator
from typing import Any, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServerEvent:
    """One event; ``name`` is empty for pieces of an answer."""

    name: str
    data: Any

    @property
    def piece(self) -> str:
        """Text of a piece."""
        return str(self.data["choices"][0]["text"])


def read_events(lines: Iterable[bytes]) -> Iterator[ServerEvent]:
    """Yield the events of a stream; comments are left out."""
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
