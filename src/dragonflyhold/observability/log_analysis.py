"""Analyses the structured logs of many processes: traces of requests and causes of failures.

The clocks of VMs differ. Their offsets are estimated from lines that several processes write at
about the same time: each of them logs when a version of a store row takes effect.

Event texts and field names that this module compares must not change, as it also reads the logs of
older builds.
"""

import collections
import dataclasses
import pathlib
import statistics
from collections.abc import Iterable, Sequence
from typing import Any, final

import orjson

from dragonflyhold.errors import UsageError

# A trace includes related lines from this long before the request's first line.
CONTEXT_S = 1.0
REQUEST_ENDED_EVENT = "A request ended."
# Why nothing was sent to an upstream: for good, or for the line's ``wait_ms`` and the delay of the
# return.
LEAVING_EVENT = "An upstream leaves; nothing more is sent to it."
TURNED_AWAY_EVENT = "An upstream turns requests away; nothing is sent to it for a time."
MAX_RETURN_DELAY_S = 0.5
DROPPED_EVENT = "An upstream was dropped."
KEY_REJECTED_EVENT = "A request's key was not accepted."
# Lines that name a version of the configuration: when it took effect, and what of it was ignored.
CONFIG_EVENTS = (
    "A configuration is in force.",
    "A part of the configuration's accounts is ignored.",
)
# Example request ids listed per cause.
MAX_EXAMPLES = 3


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a process; ``time_s`` is corrected for the offset of its clock."""

    time_s: float
    node: str
    fields: dict[str, Any]

    def get(self, name: str) -> Any:
        """Return the value of a field, or ``None`` if it is missing."""
        return self.fields.get(name)

    def format(self, start_s: float) -> str:
        """Return the line in readable form, with its time relative to ``start_s``."""
        omitted = {"t", "node", "level", "part", "event", "id"}
        details = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in omitted and value is not None
        )
        source = f"{self.node}/{self.get('part')}"
        return (
            f"{(self.time_s - start_s) * 1000:+9.1f} ms  {source:32}  {self.get('event')} {details}"
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LogSet:
    """Log lines of all processes in order of time; ``skipped`` counts unreadable lines."""

    lines: Sequence[LogLine]
    skipped: int


def read_logs(paths: Iterable[pathlib.Path]) -> LogSet:
    """Read log files; raise ``UsageError`` if one is unreadable or none has a usable line."""
    lines: list[LogLine] = []
    skipped = 0
    for path in paths:
        try:
            data = path.read_bytes()
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from error
        for raw in data.splitlines():
            line = _parse_line(raw)
            if line is not None:
                lines.append(line)
            elif raw.strip():
                skipped += 1
    if not lines:
        raise UsageError("the logs contain no line written by a daemon")
    return LogSet(_align_clocks(lines), skipped)


def _parse_line(raw: bytes) -> LogLine | None:
    """Parse a line after any prefix; return ``None`` for other text, such as a truncated line."""
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


def _align_clocks(lines: list[LogLine]) -> list[LogLine]:
    """Subtract the clock offset of each node and sort the lines by time."""
    sync_times: dict[str, dict[object, float]] = collections.defaultdict(dict)
    for line in lines:
        if line.get("row_version") is not None:
            sync_event = (line.get("event"), line.get("row_version"), line.get("runner"))
            sync_times[line.node].setdefault(sync_event, line.time_s)
    if not sync_times:
        return sorted(lines, key=lambda line: line.time_s)
    reference = max(sync_times.values(), key=len)
    offsets = {node: _clock_offset(times, reference) for node, times in sync_times.items()}
    aligned = [
        dataclasses.replace(line, time_s=line.time_s - offsets.get(line.node, 0.0))
        for line in lines
    ]
    return sorted(aligned, key=lambda line: line.time_s)


def _clock_offset(times: dict[object, float], reference: dict[object, float]) -> float:
    differences = [times[event] - reference[event] for event in times.keys() & reference.keys()]
    return statistics.median(differences) if differences else 0.0


def trace_request(logs: LogSet, request_id: str) -> list[str]:
    """Return the lines of a request and the lines of other events that affected it.

    Raise ``UsageError`` if no line has the id.
    """
    request_lines = [line for line in logs.lines if line.get("id") == request_id]
    if not request_lines:
        raise UsageError(f"no line has the id {request_id!r}")
    start_s, end_s = request_lines[0].time_s, request_lines[-1].time_s
    upstreams = {line.get("runner") for line in request_lines} - {None}
    adapters = {line.get("adapter") for line in request_lines} - {None}
    addresses = _addresses(logs.lines, upstreams)
    agent_nodes = {
        line.node
        for line in logs.lines
        if line.get("engine") in addresses and line.get("event") == "Started."
    }
    earlier = _closed_upstreams(logs.lines, request_lines, start_s, end_s)
    earlier |= _deciding_configurations(logs.lines, request_lines)
    trace = [
        line
        for line in logs.lines
        if line.get("id") == request_id
        or id(line) in earlier
        or (
            start_s - CONTEXT_S <= line.time_s <= end_s
            and _is_related(line, request_lines[0].node, upstreams, adapters, agent_nodes)
        )
    ]
    return [line.format(start_s) for line in trace]


def _closed_upstreams(
    lines: Sequence[LogLine], request_lines: Sequence[LogLine], start_s: float, end_s: float
) -> set[int]:
    """Return the ids of the lines why the request's gateway sent nothing to some upstreams then.

    A statement of long ago is no longer listed once the upstream is dropped.
    """
    gateway = request_lines[0].node
    services = {line.get("service") for line in request_lines} - {None}
    closed: dict[tuple[Any, Any], LogLine] = {}
    for line in lines:
        if line.node != gateway or line.time_s > end_s:
            continue
        key = (line.get("event"), line.get("runner"))
        if line.get("event") == DROPPED_EVENT and line.time_s < start_s:
            closed.pop((LEAVING_EVENT, line.get("runner")), None)
        elif line.get("service") not in services:
            continue
        elif line.get("event") == LEAVING_EVENT:
            closed[key] = line
        elif line.get("event") == TURNED_AWAY_EVENT:
            wait_s = float(line.get("wait_ms") or 0) / 1000
            if line.time_s + wait_s + MAX_RETURN_DELAY_S >= start_s:
                closed[key] = line
    return {id(line) for line in closed.values()}


def _deciding_configurations(
    lines: Sequence[LogLine], request_lines: Sequence[LogLine]
) -> set[int]:
    """Return the ids of the lines on the configurations by which the request's key was rejected."""
    decided = {
        (line.node, line.get("config"))
        for line in request_lines
        if line.get("event") == KEY_REJECTED_EVENT
    }
    return {
        id(line)
        for line in lines
        if line.get("event") in CONFIG_EVENTS and (line.node, line.get("version")) in decided
    }


def _is_related(
    line: LogLine, gateway: str, upstreams: set[Any], adapters: set[Any], agent_nodes: set[str]
) -> bool:
    """Return whether a line that belongs to no request may explain the traced one."""
    if line.get("id") is not None:
        return False
    if line.node in agent_nodes:
        is_command = line.get("event") == "An order was given."
        return not is_command or line.get("adapter") in adapters or line.get("adapter") is None
    return line.node == gateway and (
        line.get("runner") in upstreams or line.get("part") in ("store", "daemon", "config")
    )


def _addresses(lines: Sequence[LogLine], upstreams: set[Any]) -> set[Any]:
    return {line.get("address") for line in lines if line.get("runner") in upstreams} - {None}


def group_failures(logs: LogSet) -> list[tuple[str, int, list[str]]]:
    """Return the causes of failed requests, the most frequent first, with counts and example ids.

    A cause consists of the outcome and of the last event that the gateway logged before it.
    """
    last_lines: dict[tuple[str, str], LogLine] = {}
    causes: dict[str, list[str]] = collections.defaultdict(list)
    for line in logs.lines:
        request_id = line.get("id")
        if request_id is None:
            continue
        key = (line.node, request_id)
        if line.get("event") != REQUEST_ENDED_EVENT:
            last_lines[key] = line
            continue
        previous = last_lines.pop(key, None)
        if line.get("outcome") != "answered":
            causes[_cause(line, previous)].append(request_id)
    groups = [(cause, len(ids), ids[:MAX_EXAMPLES]) for cause, ids in causes.items()]
    return sorted(groups, key=lambda group: (-group[1], group[0]))


def _cause(ended: LogLine, previous: LogLine | None) -> str:
    cause = str(ended.get("outcome"))
    if previous is not None:
        reason = previous.get("reason") or previous.get("status")
        cause += f"; before: {previous.get('event')}" + (f" {reason}" if reason else "")
    return cause
