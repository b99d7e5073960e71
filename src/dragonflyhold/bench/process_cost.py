"""Reads the processor time and memory of processes from ``/proc``."""

import dataclasses
import os
import pathlib
import time
from collections.abc import Sequence
from typing import Any, final

from dragonflyhold.demo.processes import ManagedProcess

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Indexes into the fields of /proc/PID/stat after the process name, which can contain spaces.
_UTIME_FIELD = 11
_STIME_FIELD = 12
_MB = 1024 * 1024


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CostSample:
    """Total processor time and resident memory of a group of processes at one time."""

    at_s: float
    processor_s: float
    resident_bytes: int
    processes: int


def sample(processes: Sequence[ManagedProcess]) -> CostSample:
    """Return the current totals of the processes."""
    return CostSample(
        time.monotonic(),
        sum(_processor_s(process.pid) for process in processes),
        sum(_resident_bytes(process.pid) for process in processes),
        len(processes),
    )


def mean_cost(before: CostSample, after: CostSample, requests: int = 0) -> dict[str, Any]:
    """Return the mean cost per process between two samples, and per request if there were any."""
    processor_s = after.processor_s - before.processor_s
    elapsed_s = after.at_s - before.at_s
    cost = {
        "core_percent": round(100 * processor_s / elapsed_s / after.processes, 2),
        "resident_mb": round(after.resident_bytes / after.processes / _MB, 1),
    }
    if requests:
        cost["processor_ms_per_request"] = round(1000 * processor_s / requests, 2)
    return cost


def _processor_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii", errors="replace")
    fields = text.rpartition(")")[2].split()
    return (int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])) / _TICKS_PER_S


def _resident_bytes(pid: int) -> int:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
