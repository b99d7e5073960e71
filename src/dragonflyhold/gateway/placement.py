"""Plans the commands to one engine: which adapters to load next and which to evict.

The functions do no I/O: the agent calls ``plan_commands`` after each change and sends the commands
that it returns.
"""

import dataclasses
from collections.abc import Container, Iterable, Mapping
from typing import final

from dragonflyhold.gateway.messages import AdapterDemand
from dragonflyhold.gateway.model import AdapterCommand, CommandKind, EngineReport, ModelAdapter
from dragonflyhold.ids import Version

# Loads that one engine accepts at a time, given by the protocol.
MAX_CONCURRENT_LOADS = 4
# Time to load an adapter from the weight store.
STORE_LOAD_S = 0.25
# Time to load an adapter that is host-cached on the engine's VM, given by the protocol.
HOST_CACHED_LOAD_S = 0.025
# Time for which the requests that start after a load occupy the adapter slot.
PLACE_USE_S = 0.4
# Utility of a late answer relative to one in time: the lower of the values that client accounts
# give. Loads for late requests must not delay requests that can still be answered in time.
LATE_UTILITY_SHARE = 0.1
# Decayed request count from which an idle outdated adapter is replaced by its new version at once.
REPLACE_MIN_FREQUENCY = 1.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TotalDemand:
    """Sum of the demands of all gateways for one adapter."""

    key: ModelAdapter
    version: Version
    waiting: int
    utility: float
    running: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TimedDemand:
    """A gateway's demand, with the time by which a load must end to serve requests in time."""

    demand: AdapterDemand
    in_time_until: float


def load_time(key: ModelAdapter, host_cached: Container[ModelAdapter]) -> float:
    """Return the expected duration of a load in seconds, given the host-cached adapters."""
    return HOST_CACHED_LOAD_S if key in host_cached else STORE_LOAD_S


def utility_at(
    timed: TimedDemand, utility: float, now: float, host_cached: Container[ModelAdapter]
) -> float:
    """Return what a utility of a demand is worth at ``now``, less if all answers would be late."""
    is_late = now + load_time(timed.demand.key, host_cached) > timed.in_time_until
    return utility * (LATE_UTILITY_SHARE if is_late else 1.0)


def sum_demands(
    demands: Iterable[Mapping[ModelAdapter, TimedDemand]],
    now: float,
    host_cached: Container[ModelAdapter] = (),
) -> dict[ModelAdapter, TotalDemand]:
    """Add up the demands of all gateways by adapter, with their utilities at ``now``."""
    totals: dict[ModelAdapter, TotalDemand] = {}
    for by_adapter in demands:
        for timed in by_adapter.values():
            demand = timed.demand
            utility = utility_at(timed, demand.utility, now, host_cached)
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
    """Input of the planner: the state of one engine and the demand for its adapters.

    ``versions`` holds the newest known version of each versioned adapter, ``frequency`` the decayed
    request count of each resident adapter, and ``unloading`` the adapters whose unload waits for
    running requests.
    """

    report: EngineReport
    slots: int
    demands: Mapping[ModelAdapter, TotalDemand]
    versions: Mapping[ModelAdapter, Version]
    frequency: Mapping[ModelAdapter, float]
    unloading: frozenset[ModelAdapter]
    # Adapters that are host-cached on the engine's VM, as far as known.
    host_cached: frozenset[ModelAdapter] = frozenset()

    def newest_version(self, key: ModelAdapter) -> Version:
        """Return the newest known version of an adapter."""
        total = self.demands.get(key)
        return max(self.versions.get(key, Version(0)), total.version if total else Version(0))

    def is_outdated(self, key: ModelAdapter, version: Version) -> bool:
        """Return whether a newer version of an adapter is known."""
        return version < self.newest_version(key)

    def can_replace(self, key: ModelAdapter) -> bool:
        """Return whether a resident adapter is outdated and has no running requests."""
        return self.is_outdated(key, self.report.adapters[key]) and not self.is_running(key)

    def is_running(self, key: ModelAdapter) -> bool:
        """Return whether requests for an adapter are running."""
        total = self.demands.get(key)
        return total is not None and total.running > 0

    def is_used(self, key: ModelAdapter) -> bool:
        """Return whether requests for an adapter are running or waiting."""
        total = self.demands.get(key)
        return total is not None and (total.running > 0 or total.waiting > 0)


def missing_adapters(view: EngineView) -> list[TotalDemand]:
    """Return the adapters that requests wait for and that must be loaded, best first.

    They are ranked by the waiting utility per second of slot time, then by the number of requests.
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
    """Return the commands to send now, in order."""
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
    """Return the idle adapters, outdated ones first, then by ascending request frequency."""
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
    """Return commands that load the new version of idle outdated adapters, or evict unpopular ones.

    An adapter with running requests is left alone until they end: a command for it would wait for
    them and block all other commands to the engine.
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
