"""Estimates the cost of each role at the target size from the measured slopes."""

import dataclasses
import itertools
from collections.abc import Sequence
from typing import final

from dragonflyhold.bench.capacity import Series
from dragonflyhold.config.crash_gossip import REPORTS_PER_COMPARE

# Target size and budget of docs/design.md, section 1.
ENTRY_COUNT = 400
UPSTREAM_COUNT = 600
REGION_COUNT = 3
REQUESTS_PER_S = 6300
TOKENS_PER_S = 1.5e6
TIME_BETWEEN_TOKENS_S = 0.055
ADAPTER_COUNT = 150_000
BUDGET_MB = 64.0
BUDGET_CORES = 0.024
BUDGET_BYTES_PER_S = 7000.0
# Defaults of the settings.
CHANNELS_PER_ENTRY = 64
SLOTS_PER_UPSTREAM = 8
TICKS_PER_S = 50
MAX_QUEUED_REQUESTS = 512
BROKER_CALLS_PER_SIDECAR_PER_S = 1 / 0.9
# Load rate of one region's weight store.
LOADS_PER_S = 6.0
# Size of the load report field ``resident_unchanged``.
UNCHANGED_FLAG_BYTES = 2

UPSTREAMS_PER_REGION = UPSTREAM_COUNT // REGION_COUNT


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RoleFigure:
    """One cost of one role against its budget."""

    role: str
    name: str
    value: float
    budget: float
    unit: str

    @property
    def used(self) -> float:
        """Used share of the budget."""
        return self.value / self.budget


def estimate_roles(series: Sequence[Series]) -> list[RoleFigure]:
    """Return the figures of all roles, assuming equal numbers of upstreams in all regions."""
    values = _SeriesValues(series)
    return [*_entry(values), *_sidecar(values), *_broker(values), *_config_peer(values)]


def format_roles(figures: Sequence[RoleFigure]) -> str:
    """Return one line per figure."""
    return "\n".join(
        f"{item.role:<12} {item.name:<62} {item.value:>10.3f} of {item.budget:>8.3f} "
        f"{item.unit:<7} {item.used:>7.1%}"
        for item in figures
    )


@final
class _SeriesValues:
    """Looks up series by a part of their name."""

    def __init__(self, series: Sequence[Series]) -> None:
        self._series = series

    def find_series(self, name_part: str) -> Series:
        return next(item for item in self._series if name_part in item.name)

    def slope(self, name_part: str) -> float:
        return self.find_series(name_part).slope

    def value_at_point(self, name_part: str, size: int) -> float:
        return dict(self.find_series(name_part).points)[size]

    def interpolate(self, name_part: str, size: float) -> float:
        """Interpolate linearly, or extrapolate from the two largest sizes."""
        points = self.find_series(name_part).points
        pairs = itertools.pairwise(points)
        (left, low), (right, high) = next(
            (pair for pair in pairs if size <= pair[1][0]), (points[-2], points[-1])
        )
        return low + (high - low) * (size - left) / (right - left)


def _heartbeat_bytes(values: _SeriesValues) -> float:
    """Return the mean size; resident adapters are only listed after a load or an eviction."""
    changed_share = min(1.0, 2 * REGION_COUNT * LOADS_PER_S / UPSTREAM_COUNT)
    unchanged = values.value_at_point("sidecar heartbeat", 0) + UNCHANGED_FLAG_BYTES
    return unchanged + changed_share * SLOTS_PER_UPSTREAM * values.slope("sidecar heartbeat")


def _entry(values: _SeriesValues) -> list[RoleFigure]:
    requests = REQUESTS_PER_S / ENTRY_COUNT
    memory = (
        values.value_at_point("import of dragonflyhold.entry", 1)
        + values.slope("catalogue") * ADAPTER_COUNT / 1e6
        + values.slope("upstream table") * UPSTREAMS_PER_REGION / 1e6
        + values.slope("rankings") * 2048 / 1e6
    )
    free = requests * values.interpolate("cold adapter", UPSTREAMS_PER_REGION) / 1e6
    busy = requests * values.interpolate("all upstreams busy", UPSTREAMS_PER_REGION) / 1e6
    heartbeats = CHANNELS_PER_ENTRY * _heartbeat_bytes(values)
    return [
        RoleFigure("entry", "memory: import, catalogue, upstreams, rankings", memory, 64, "MB"),
        RoleFigure("entry", "routing decisions, upstreams free", free, BUDGET_CORES, "cores"),
        RoleFigure("entry", "routing decisions, all upstreams busy", busy, BUDGET_CORES, "cores"),
        _traffic("entry", "heartbeats received on 64 channels", heartbeats),
    ]


def _sidecar(values: _SeriesValues) -> list[RoleFigure]:
    running = TOKENS_PER_S * TIME_BETWEEN_TOKENS_S / UPSTREAM_COUNT
    memory = (
        values.value_at_point("import of dragonflyhold.sidecar", 1)
        + values.slope("catalogue") * ADAPTER_COUNT / 1e6
        + values.slope("popularity") * 8192 / 1e6
        + values.slope("in-flight") * (running + MAX_QUEUED_REQUESTS) / 1e6
    )
    typical = TICKS_PER_S * values.interpolate("plan_slots with 8 slots", 10) / 1e6
    full = TICKS_PER_S * values.interpolate("plan_slots with 8 slots", MAX_QUEUED_REQUESTS) / 1e6
    channels = ENTRY_COUNT * CHANNELS_PER_ENTRY / UPSTREAM_COUNT
    heartbeats = channels * _heartbeat_bytes(values)
    return [
        RoleFigure("sidecar", "memory: import, catalogue, popularity, rows", memory, 64, "MB"),
        RoleFigure("sidecar", "slot plans, 10 adapters waiting", typical, BUDGET_CORES, "cores"),
        RoleFigure("sidecar", "slot plans, queue full", full, BUDGET_CORES, "cores"),
        _traffic("sidecar", f"heartbeats sent on {channels:.0f} channels", heartbeats),
    ]


def _broker(values: _SeriesValues) -> list[RoleFigure]:
    calls = UPSTREAMS_PER_REGION * BROKER_CALLS_PER_SIDECAR_PER_S
    cores = calls * values.interpolate("broker call", UPSTREAMS_PER_REGION) / 1e6
    # Plans free one slot ahead, so a sidecar usually has one load request.
    traffic = calls * values.value_at_point("Acquire message", 1)
    memory = values.slope("memory of the broker") * 4 * UPSTREAMS_PER_REGION / 1e6
    return [
        RoleFigure("load broker", "decisions, all sidecars ask", cores, BUDGET_CORES, "cores"),
        RoleFigure("load broker", "memory, 4 wishes of each sidecar", memory, BUDGET_MB, "MB"),
        _traffic("load broker", "Acquire received, all sidecars ask", traffic),
    ]


def _config_peer(values: _SeriesValues) -> list[RoleFigure]:
    # One Compare sent and, on average, one received per second, with about equal replies.
    without_crashes = 4 * values.value_at_point("Compare message", 0)
    crashes = 4 * values.value_at_point("Compare message", REPORTS_PER_COMPARE)
    catalogue = values.slope("catalogue") * ADAPTER_COUNT / 1e6
    return [
        RoleFigure("config peer", "memory of the catalogue", catalogue, BUDGET_MB, "MB"),
        _traffic("config peer", "Compare, no crash reports", without_crashes),
        _traffic("config peer", "Compare, 8 crash reports each", crashes),
    ]


def _traffic(role: str, name: str, value: float) -> RoleFigure:
    return RoleFigure(role, name, value / 1000, BUDGET_BYTES_PER_S / 1000, "KB/s")
