"""Decides the orders to one engine: which adapter is loaded next and which makes way.

Pure code over tables: the agent calls ``plan_commands`` after each change and carries out what it
returns.
"""

import dataclasses
from collections.abc import Container, Iterable, Mapping
from typing import final

from dragonflyhold.gateway.messages import AdapterDemand
from dragonflyhold.gateway.model import AdapterCommand, CommandKind, EngineReport, ModelAdapter
from dragonflyhold.ids import Version

# Adapters that may be on their way to one engine; from the protocol.
MAX_CONCURRENT_LOADS = 4
# Seconds that an adapter takes from the weight store; from the sheets.
STORE_LOAD_S = 0.25
# Seconds for an adapter that the engine's VM still has a copy of; from the protocol.
HOST_CACHED_LOAD_S = 0.025
# Seconds for which a place is taken by the requests that start after a load.
PLACE_USE_S = 0.4
# What a late answer is worth against one in time: the lower share on the users' sheets. Loads for
# late requests must not make those late that are still in time.
LATE_UTILITY_SHARE = 0.1
# Decayed request count from which an idle adapter is worth a load of its new version at once.
REPLACE_MIN_FREQUENCY = 1.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TotalDemand:
    """What all gateways together have for one adapter."""

    key: ModelAdapter
    version: Version
    waiting: int
    utility: float
    running: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TimedDemand:
    """A gateway's demand, and until when a load for it serves requests in time."""

    demand: AdapterDemand
    in_time_until: float


def load_time(key: ModelAdapter, host_cached: Container[ModelAdapter]) -> float:
    """Return the seconds that a load takes; ``host_cached`` holds what the VM has copies of."""
    return HOST_CACHED_LOAD_S if key in host_cached else STORE_LOAD_S


def sum_demands(
    demands: Iterable[Mapping[ModelAdapter, TimedDemand]],
    now: float,
    host_cached: Container[ModelAdapter] = (),
) -> dict[ModelAdapter, TotalDemand]:
    """Add up the demands of all gateways by adapter, as they are worth at ``now``."""
    totals: dict[ModelAdapter, TotalDemand] = {}
    for by_adapter in demands:
        for timed in by_adapter.values():
            demand = timed.demand
            is_late = now + load_time(demand.key, host_cached) > timed.in_time_until
            utility = demand.utility * (LATE_UTILITY_SHARE if is_late else 1.0)
            old = totals.get(demand.key, TotalDemand(demand.key, Version(0), 0, 0.0, 0))
            totals[demand.key] = TotalDemand(
                demand.key,
                max(old.version, demand.version),
                old.waiting + demand.waiting,
                old.utility + utility,
                old.running + demand.running,
            )
    return totals


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """What the plan rests on.

    ``versions`` holds the newest version known of each adapter that has one, ``frequency`` the
    decayed request count of each resident adapter, ``unloading`` the adapters whose unload waits
    for their runs.
    """

    report: EngineReport
    slots: int
    demands: Mapping[ModelAdapter, TotalDemand]
    versions: Mapping[ModelAdapter, Version]
    frequency: Mapping[ModelAdapter, float]
    unloading: frozenset[ModelAdapter]
    # Adapters of which the engine's VM has copies, as far as known.
    host_cached: frozenset[ModelAdapter] = frozenset()

    def newest_version(self, key: ModelAdapter) -> Version:
        """Return the newest version known of an adapter."""
        total = self.demands.get(key)
        return max(self.versions.get(key, Version(0)), total.version if total else Version(0))

    def is_outdated(self, key: ModelAdapter, version: Version) -> bool:
        """Whether a version of an adapter has been replaced by a newer one."""
        return version < self.newest_version(key)

    def can_replace(self, key: ModelAdapter) -> bool:
        """Whether a resident adapter is outdated and has ended its runs."""
        return self.is_outdated(key, self.report.adapters[key]) and not self.is_running(key)

    def is_running(self, key: ModelAdapter) -> bool:
        """Whether requests for an adapter run."""
        total = self.demands.get(key)
        return total is not None and total.running > 0

    def is_used(self, key: ModelAdapter) -> bool:
        """Whether requests for an adapter run or wait."""
        total = self.demands.get(key)
        return total is not None and (total.running > 0 or total.waiting > 0)


def missing_adapters(view: EngineView) -> list[TotalDemand]:
    """Return the adapters that requests wait for and that are not there, the best first.

    The worth that waits for each second of a place decides, then the number of requests.
    """
    report = view.report
    missing = [
        total
        for key, total in view.demands.items()
        if total.waiting > 0
        and key not in report.loading
        and key not in view.unloading
        and (key not in report.adapters or view.can_replace(key))
    ]

    def rank(total: TotalDemand) -> tuple[float, int, ModelAdapter]:
        slot_time_s = load_time(total.key, view.host_cached) + PLACE_USE_S
        return (-total.utility / slot_time_s, -total.waiting, total.key)

    missing.sort(key=rank)
    return missing


def plan_commands(view: EngineView) -> list[AdapterCommand]:
    """Return the orders to give now, in their order."""
    report = view.report
    commands: list[AdapterCommand] = []
    free_slots = view.slots - len(report.adapters.keys() | report.loading.keys())
    remaining_loads = MAX_CONCURRENT_LOADS - len(report.loading)
    candidates = _eviction_candidates(view)
    for total in missing_adapters(view):
        if remaining_loads <= 0:
            break
        if total.key not in report.adapters:
            if free_slots <= 0:
                if not candidates:
                    break
                evicted = candidates.pop(0)
                commands.append(AdapterCommand(CommandKind.UNLOAD, evicted.model, evicted.adapter))
            else:
                free_slots -= 1
        elif total.key in candidates:
            candidates.remove(total.key)
        commands.append(_load_command(view, total.key))
        remaining_loads -= 1
    commands.extend(
        _plan_replacements(view, remaining_loads, {command.adapter for command in commands})
    )
    return commands


def _load_command(view: EngineView, key: ModelAdapter) -> AdapterCommand:
    version = view.newest_version(key)
    return AdapterCommand(
        CommandKind.LOAD, key.model, key.adapter, version if version > 0 else None
    )


def _eviction_candidates(view: EngineView) -> list[ModelAdapter]:
    """Return the idle adapters, outdated ones first, then the least frequent."""
    idle = [
        key
        for key in view.report.adapters
        if not view.is_used(key) and key not in view.unloading and key not in view.report.loading
    ]

    def rank(key: ModelAdapter) -> tuple[bool, float, ModelAdapter]:
        outdated = view.is_outdated(key, view.report.adapters[key])
        return (not outdated, view.frequency.get(key, 0.0), key)

    return sorted(idle, key=rank)


def _plan_replacements(
    view: EngineView, remaining_loads: int, planned: set[object]
) -> list[AdapterCommand]:
    """Bring idle outdated adapters up to date: popular ones by a load, others by making way.

    One with running requests is left to end them first: an order would wait for its runs and hold
    up every other order to the engine.
    """
    commands = []
    for key, version in view.report.adapters.items():
        busy = key in view.unloading or key in view.report.loading or key.adapter in planned
        if busy or view.is_running(key) or not view.is_outdated(key, version):
            continue
        if view.is_used(key) or view.frequency.get(key, 0.0) >= REPLACE_MIN_FREQUENCY:
            if remaining_loads > 0:
                remaining_loads -= 1
                commands.append(_load_command(view, key))
        else:
            commands.append(AdapterCommand(CommandKind.UNLOAD, key.model, key.adapter))
    return commands
