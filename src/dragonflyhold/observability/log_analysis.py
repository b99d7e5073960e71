"""Reads the structured logs of many processes and tells what happened to requests.

Clocks of VMs differ; the difference to a gateway's clock is taken from lines that several processes
write at the same moment: a row of the store, at its version, came into force.
"""

import collections
import dataclasses
import pathlib
import statistics
from collections.abc import Iterable, Sequence
from typing import Any, final

import orjson

from dragonflyhold.errors import UsageError

# Facts about a request's adapter and runner are told from this long before it began, in seconds.
BACKGROUND_S = 1.0
ENDED = "A request ended."
# Ids shown for each cause.
EXAMPLES = 3


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a process; ``fields`` holds everything but the time and the node."""

    at: float
    node: str
    fields: dict[str, Any]

    def get(self, name: str) -> Any:
        """Return a field or ``None``."""
        return self.fields.get(name)

    def text(self, start: float) -> str:
        """Return the line for a reader, with the time since ``start``."""
        shown = {"t", "node", "level", "part", "event", "id"}
        facts = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in shown and value is not None
        )
        where = f"{self.node}/{self.get('part')}"
        return f"{(self.at - start) * 1000:+9.1f} ms  {where:32}  {self.get('event')} {facts}"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LogSet:
    """Lines of all processes in the order of one clock; ``skipped`` counts unreadable ones."""

    lines: Sequence[LogLine]
    skipped: int


def read_logs(paths: Iterable[pathlib.Path]) -> LogSet:
    """Read logs; raise ``UsageError`` if a file cannot be read or no line is usable."""
    lines: list[LogLine] = []
    skipped = 0
    for path in paths:
        try:
            data = path.read_bytes()
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from error
        for raw in data.splitlines():
            line = _parse(raw)
            if line is not None:
                lines.append(line)
            elif raw.strip():
                skipped += 1
    if not lines:
        raise UsageError("the logs hold no line of a daemon")
    return LogSet(_align(lines), skipped)


def _parse(raw: bytes) -> LogLine | None:
    """Return a line, or ``None`` for text that is none, such as a torn line."""
    start = raw.find(b"{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(raw[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or not isinstance(fields.get("t"), int | float):
        return None
    return LogLine(float(fields["t"]), str(fields.get("node", "")), fields)


def _align(lines: list[LogLine]) -> list[LogLine]:
    marks: dict[str, dict[object, float]] = collections.defaultdict(dict)
    for line in lines:
        if line.get("row_version") is not None:
            mark = (line.get("event"), line.get("row_version"), line.get("runner"))
            marks[line.node].setdefault(mark, line.at)
    if not marks:
        return sorted(lines, key=lambda line: line.at)
    reference = max(marks.values(), key=len)
    offsets = {node: _offset(own, reference) for node, own in marks.items()}
    aligned = [
        dataclasses.replace(line, at=line.at - offsets.get(line.node, 0.0)) for line in lines
    ]
    return sorted(aligned, key=lambda line: line.at)


def _offset(own: dict[object, float], reference: dict[object, float]) -> float:
    shared = [own[mark] - reference[mark] for mark in own.keys() & reference.keys()]
    return statistics.median(shared) if shared else 0.0


def trace_request(logs: LogSet, request_id: str) -> list[str]:
    """Return one request's story; raise ``UsageError`` for an id that no line has."""
    own = [line for line in logs.lines if line.get("id") == request_id]
    if not own:
        raise UsageError(f"no line has the id {request_id!r}")
    start, end = own[0].at, own[-1].at
    runners = {line.get("runner") for line in own} - {None}
    adapters = {line.get("adapter") for line in own} - {None}
    addresses = _addresses(logs.lines, runners)
    nodes = {
        line.node
        for line in logs.lines
        if line.get("engine") in addresses and line.get("event") == "Started."
    }
    told = [
        line
        for line in logs.lines
        if line.get("id") == request_id
        or (
            start - BACKGROUND_S <= line.at <= end
            and _concerns(line, own[0].node, runners, adapters, nodes)
        )
    ]
    return [line.text(start) for line in told]


def _concerns(
    line: LogLine, gateway: str, runners: set[Any], adapters: set[Any], agents: set[str]
) -> bool:
    """Whether a line that is about no request bears on one."""
    if line.get("id") is not None:
        return False
    if line.node in agents:
        is_order = line.get("event") == "An order was given."
        return not is_order or line.get("adapter") in adapters or line.get("adapter") is None
    return line.node == gateway and (
        line.get("runner") in runners or line.get("part") in ("store", "daemon", "config")
    )


def _addresses(lines: Sequence[LogLine], runners: set[Any]) -> set[Any]:
    return {line.get("address") for line in lines if line.get("runner") in runners} - {None}


def group_failures(logs: LogSet) -> list[tuple[str, int, list[str]]]:
    """Return causes of failed requests with their counts and some ids, the most frequent first.

    The cause is the outcome, with what the gateway last wrote of the request before.
    """
    last: dict[tuple[str, str], LogLine] = {}
    causes: dict[str, list[str]] = collections.defaultdict(list)
    for line in logs.lines:
        request_id = line.get("id")
        if request_id is None:
            continue
        key = (line.node, request_id)
        if line.get("event") != ENDED:
            last[key] = line
            continue
        before = last.pop(key, None)
        if line.get("outcome") != "answered":
            causes[_cause(line, before)].append(request_id)
    groups = [(cause, len(ids), ids[:EXAMPLES]) for cause, ids in causes.items()]
    return sorted(groups, key=lambda group: (-group[1], group[0]))


def _cause(ended: LogLine, before: LogLine | None) -> str:
    cause = str(ended.get("outcome"))
    if before is not None:
        reason = before.get("reason") or before.get("status")
        cause += f"; before: {before.get('event')}" + (f" {reason}" if reason else "")
    return cause
