"""Draws the faults of an experiment from a seed; no I/O.

Faults overlap: each target has its own sequence of faults and pauses, so that several targets are
at fault at once, and one target again and again.
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import final

# Share of an experiment in which faults begin; the rest shows the recovery.
FAULT_SHARE = 0.75


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KillProcess:
    """SIGKILL, and a new process with the same settings after ``down_s``."""

    process: str
    down_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FreezeProcess:
    """SIGSTOP for ``down_s``."""

    process: str
    down_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StopProcess:
    """SIGTERM, and a new process ``down_s`` after the end."""

    process: str
    down_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetStandInFault:
    """Faults of a stand-in, cleared after ``down_s``."""

    stand_in: str
    faults: tuple[tuple[str, object], ...]
    cleared: tuple[tuple[str, object], ...]
    down_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashEngine:
    """The engine restarts empty, with all connections dropped."""

    upstream: str


Fault = KillProcess | FreezeProcess | StopProcess | SetStandInFault | CrashEngine


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault and when it begins, in seconds from the start."""

    at_s: float
    fault: Fault


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Targets:
    """Names of what can be at fault."""

    entries: Sequence[str]
    sidecars: Sequence[str]
    engines: Sequence[str]
    plain_services: Sequence[str]


def draw_schedule(seed: int, seconds: float, targets: Targets) -> list[TimedFault]:
    """Return the faults of an experiment of ``seconds``, ordered by time."""
    rng = random.Random(seed)
    faults: list[TimedFault] = []
    makers = [
        *(lambda r, name=name: _daemon_fault(r, name) for name in targets.entries),
        *(lambda r, name=name: _daemon_fault(r, name) for name in targets.sidecars),
        *(lambda r, name=name: _engine_fault(r, name) for name in targets.engines),
        *(lambda r, name=name: _plain_fault(r, name) for name in targets.plain_services),
        _table_fault,
        _other_platform_fault,
    ]
    # One fault per target in about this time.
    mean_gap_s = seconds / 2.5
    for make in makers:
        at_s = rng.expovariate(1 / mean_gap_s)
        while at_s < seconds * FAULT_SHARE:
            fault = make(rng)
            faults.append(TimedFault(at_s, fault))
            at_s += _duration(fault) + rng.expovariate(1 / mean_gap_s)
    return sorted(faults, key=lambda timed: timed.at_s)


def _duration(fault: Fault) -> float:
    match fault:
        case CrashEngine():
            return 1.0
        case _:
            return fault.down_s


def _daemon_fault(rng: random.Random, process: str) -> Fault:
    down_s = rng.uniform(0.2, 5.0)
    choice = rng.randrange(3)
    if choice == 0:
        return KillProcess(process, down_s)
    if choice == 1:
        return FreezeProcess(process, rng.uniform(0.5, 9.0))
    return StopProcess(process, down_s)


def _engine_fault(rng: random.Random, upstream: str) -> Fault:
    choice = rng.randrange(4)
    if choice == 0:
        return CrashEngine(upstream)
    if choice == 1:
        return _stand_in(upstream, rng.uniform(0.5, 4.0), frozen=(True, False))
    if choice == 2:
        return _stand_in(upstream, rng.uniform(1.0, 5.0), fail_loads=(-1, 0))
    return _stand_in(upstream, rng.uniform(0.5, 3.0), silence=(True, False))


def _plain_fault(rng: random.Random, upstream: str) -> Fault:
    if rng.randrange(2):
        return _stand_in(upstream, rng.uniform(0.5, 4.0), down=("closed", ""))
    return _stand_in(upstream, rng.uniform(0.5, 4.0), fail_after_effect=(3, 0))


def _table_fault(rng: random.Random) -> Fault:
    choice = rng.randrange(4)
    down_s = rng.uniform(1.0, 15.0)
    if choice == 0:
        return _stand_in("table", down_s, down=("closed", ""))
    if choice == 1:
        return _stand_in("table", down_s, frozen=(True, False))
    if choice == 2:
        return _stand_in("table", down_s, slow_ms=(700, 0))
    return _stand_in("table", down_s, fail_after_effect=(5, 0))


def _other_platform_fault(rng: random.Random) -> Fault:
    name = rng.choice(["objects", "vms", "weights"])
    if rng.randrange(2):
        return _stand_in(name, rng.uniform(1.0, 8.0), down=("503", ""))
    return _stand_in(name, rng.uniform(1.0, 8.0), slow_ms=(800, 0))


def _stand_in(name: str, down_s: float, **states: tuple[object, object]) -> SetStandInFault:
    faults = tuple((key, pair[0]) for key, pair in states.items())
    cleared = tuple((key, pair[1]) for key, pair in states.items())
    return SetStandInFault(name, faults, cleared, down_s)
