"""Generates the fault schedule of an experiment from a seed; no I/O.

Each target has its own sequence of faults and pauses, so that faults of different targets overlap
and a target can fail repeatedly.
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import final

# Faults begin only in this share of an experiment; the rest is left for recovery.
FAULT_SHARE = 0.75


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KillProcess:
    """SIGKILL a process and start it with the same settings after ``down_s``."""

    process: str
    down_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FreezeProcess:
    """SIGSTOP a process for ``down_s``."""

    process: str
    down_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StopProcess:
    """SIGTERM a process and start it again ``down_s`` after it exited."""

    process: str
    down_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetStandInFault:
    """Set faults of a stand-in and clear them after ``down_s``."""

    stand_in: str
    faults: tuple[tuple[str, object], ...]
    cleared: tuple[tuple[str, object], ...]
    down_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashEngine:
    """Restart an engine without adapters and drop its connections."""

    upstream: str


Fault = KillProcess | FreezeProcess | StopProcess | SetStandInFault | CrashEngine


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault and its start, in seconds from the start of the experiment."""

    at_s: float
    fault: Fault


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """Names of the processes and stand-ins that faults apply to."""

    entries: Sequence[str]
    sidecars: Sequence[str]
    engines: Sequence[str]
    plain_services: Sequence[str]


def draw_schedule(seed: int, seconds: float, targets: Targets) -> list[TimedFault]:
    """Return the faults of an experiment of ``seconds``, sorted by start."""
    rng = random.Random(seed)
    faults: list[TimedFault] = []
    draw_functions = [
        *(lambda r, name=name: _draw_daemon_fault(r, name) for name in targets.entries),
        *(lambda r, name=name: _draw_daemon_fault(r, name) for name in targets.sidecars),
        *(lambda r, name=name: _draw_engine_fault(r, name) for name in targets.engines),
        *(
            lambda r, name=name: _draw_plain_service_fault(r, name)
            for name in targets.plain_services
        ),
        _draw_table_fault,
        _draw_platform_fault,
    ]
    # Mean time without a fault of a target before each of its faults.
    mean_gap_s = seconds / 2.5
    for draw_fault in draw_functions:
        at_s = rng.expovariate(1 / mean_gap_s)
        while at_s < seconds * FAULT_SHARE:
            fault = draw_fault(rng)
            faults.append(TimedFault(at_s, fault))
            at_s += _duration(fault) + rng.expovariate(1 / mean_gap_s)
    return sorted(faults, key=lambda timed: timed.at_s)


def _duration(fault: Fault) -> float:
    match fault:
        case CrashEngine():
            return 1.0
        case _:
            return fault.down_s


def _draw_daemon_fault(rng: random.Random, process: str) -> Fault:
    down_s = rng.uniform(0.2, 5.0)
    choice = rng.randrange(3)
    if choice == 0:
        return KillProcess(process, down_s)
    if choice == 1:
        return FreezeProcess(process, rng.uniform(0.5, 9.0))
    return StopProcess(process, down_s)


def _draw_engine_fault(rng: random.Random, upstream: str) -> Fault:
    choice = rng.randrange(4)
    if choice == 0:
        return CrashEngine(upstream)
    if choice == 1:
        return _stand_in_fault(upstream, rng.uniform(0.5, 4.0), frozen=(True, False))
    if choice == 2:
        return _stand_in_fault(upstream, rng.uniform(1.0, 5.0), fail_loads=(-1, 0))
    return _stand_in_fault(upstream, rng.uniform(0.5, 3.0), silence=(True, False))


def _draw_plain_service_fault(rng: random.Random, upstream: str) -> Fault:
    if rng.randrange(2):
        return _stand_in_fault(upstream, rng.uniform(0.5, 4.0), down=("closed", ""))
    return _stand_in_fault(upstream, rng.uniform(0.5, 4.0), fail_after_effect=(3, 0))


def _draw_table_fault(rng: random.Random) -> Fault:
    choice = rng.randrange(4)
    down_s = rng.uniform(1.0, 15.0)
    if choice == 0:
        return _stand_in_fault("table", down_s, down=("closed", ""))
    if choice == 1:
        return _stand_in_fault("table", down_s, frozen=(True, False))
    if choice == 2:
        return _stand_in_fault("table", down_s, slow_ms=(700, 0))
    return _stand_in_fault("table", down_s, fail_after_effect=(5, 0))


def _draw_platform_fault(rng: random.Random) -> Fault:
    name = rng.choice(["objects", "vms", "weights"])
    if rng.randrange(2):
        return _stand_in_fault(name, rng.uniform(1.0, 8.0), down=("503", ""))
    return _stand_in_fault(name, rng.uniform(1.0, 8.0), slow_ms=(800, 0))


def _stand_in_fault(name: str, down_s: float, **states: tuple[object, object]) -> SetStandInFault:
    faults = tuple((key, pair[0]) for key, pair in states.items())
    cleared = tuple((key, pair[1]) for key, pair in states.items())
    return SetStandInFault(name, faults, cleared, down_s)
