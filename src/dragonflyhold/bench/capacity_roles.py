"""Works out what each role costs at the target size from the measured slopes."""

import dataclasses
import itertools
from collections.abc import Sequence
from typing import final

from dragonflyhold.bench.capacity import Series
from dragonflyhold.config.crash_gossip import REPORTS_PER_COMPARE

# Target size and budget of docs/design.md, section 1.
ENTRIES = 400
RUNNERS = 600
REGIONS = 3
REQUESTS_PER_S = 6300
TOKENS_PER_S = 1.5e6
TOKEN_GAP_S = 0.055
ADAPTERS = 150_000
BUDGET_MB = 64.0
BUDGET_CORE = 0.024
BUDGET_BYTES_PER_S = 7000.0
# Defaults of the settings.
CHANNELS = 64
SLOTS = 8
TICKS_PER_S = 50
MAX_QUEUE = 512
BROKER_ASKS_PER_S = 1 / 0.9
# Rate of one region's weight store today.
LOADS_PER_S = 6.0
# The field of a load report that says that the resident adapters have not changed.
UNCHANGED_FLAG_BYTES = 2

RUNNERS_PER_REGION = RUNNERS // REGIONS


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
        """Share of the budget."""
        return self.value / self.budget


def work_out(series: Sequence[Series]) -> list[RoleFigure]:
    """Return the figures of all roles; a region has an equal share of the upstreams."""
    values = _Values(series)
    return [*_entry(values), *_sidecar(values), *_broker(values), *_config_peer(values)]


def format_roles(figures: Sequence[RoleFigure]) -> str:
    """Return one line per figure."""
    return "\n".join(
        f"{item.role:<12} {item.name:<62} {item.value:>10.3f} of {item.budget:>8.3f} "
        f"{item.unit:<7} {item.used:>7.1%}"
        for item in figures
    )


@final
class _Values:
    """Access to the series by a part of their name."""

    def __init__(self, series: Sequence[Series]) -> None:
        self._series = series

    def find(self, part: str) -> Series:
        return next(item for item in self._series if part in item.name)

    def slope(self, part: str) -> float:
        return self.find(part).slope

    def point(self, part: str, size: int) -> float:
        return dict(self.find(part).points)[size]

    def at(self, part: str, size: float) -> float:
        """Interpolate between the two nearest points."""
        points = self.find(part).points
        pairs = itertools.pairwise(points)
        (left, low), (right, high) = next(
            (pair for pair in pairs if size <= pair[1][0]), (points[-2], points[-1])
        )
        return low + (high - low) * (size - left) / (right - left)


def _heartbeat_bytes(values: _Values) -> float:
    """Return the mean size: the resident adapters are told only after a load or an eviction."""
    changed_share = min(1.0, 2 * REGIONS * LOADS_PER_S / RUNNERS)
    unchanged = values.point("sidecar heartbeat", 0) + UNCHANGED_FLAG_BYTES
    return unchanged + changed_share * SLOTS * values.slope("sidecar heartbeat")


def _entry(values: _Values) -> list[RoleFigure]:
    requests = REQUESTS_PER_S / ENTRIES
    memory = (
        values.point("import of dragonflyhold.entry", 1)
        + values.slope("catalogue") * ADAPTERS / 1e6
        + values.slope("upstream table") * RUNNERS_PER_REGION / 1e6
        + values.slope("rankings") * 2048 / 1e6
    )
    free = requests * values.at("cold adapter", RUNNERS_PER_REGION) / 1e6
    busy = requests * values.at("all upstreams busy", RUNNERS_PER_REGION) / 1e6
    beats = CHANNELS * _heartbeat_bytes(values)
    return [
        RoleFigure("entry", "memory: import, catalogue, upstreams, rankings", memory, 64, "MB"),
        RoleFigure("entry", "routing decisions, upstreams free", free, BUDGET_CORE, "cores"),
        RoleFigure("entry", "routing decisions, all upstreams busy", busy, BUDGET_CORE, "cores"),
        _traffic("entry", "heartbeats received on 64 channels", beats),
    ]


def _sidecar(values: _Values) -> list[RoleFigure]:
    running = TOKENS_PER_S * TOKEN_GAP_S / RUNNERS
    memory = (
        values.point("import of dragonflyhold.sidecar", 1)
        + values.slope("catalogue") * ADAPTERS / 1e6
        + values.slope("popularity") * 8192 / 1e6
        + values.slope("in-flight") * (running + MAX_QUEUE) / 1e6
    )
    usual = TICKS_PER_S * values.at("plan_slots with 8 slots", 10) / 1e6
    full = TICKS_PER_S * values.at("plan_slots with 8 slots", MAX_QUEUE) / 1e6
    channels = ENTRIES * CHANNELS / RUNNERS
    beats = channels * _heartbeat_bytes(values)
    return [
        RoleFigure("sidecar", "memory: import, catalogue, popularity, rows", memory, 64, "MB"),
        RoleFigure("sidecar", "slot plans, 10 adapters waiting", usual, BUDGET_CORE, "cores"),
        RoleFigure("sidecar", "slot plans, queue full", full, BUDGET_CORE, "cores"),
        _traffic("sidecar", f"heartbeats sent on {channels:.0f} channels", beats),
    ]


def _broker(values: _Values) -> list[RoleFigure]:
    calls = RUNNERS_PER_REGION * BROKER_ASKS_PER_S
    cores = calls * values.at("broker call", RUNNERS_PER_REGION) / 1e6
    # The plan frees one slot ahead, so a sidecar usually has one wish.
    traffic = calls * values.point("Acquire message", 1)
    memory = values.slope("memory of the broker") * 4 * RUNNERS_PER_REGION / 1e6
    return [
        RoleFigure("load broker", "decisions, all sidecars ask", cores, BUDGET_CORE, "cores"),
        RoleFigure("load broker", "memory, 4 wishes of each sidecar", memory, BUDGET_MB, "MB"),
        _traffic("load broker", "Acquire received, all sidecars ask", traffic),
    ]


def _config_peer(values: _Values) -> list[RoleFigure]:
    # One Compare sent and, on average, one received per second, with about equal replies.
    quiet = 4 * values.point("Compare message", 0)
    crashes = 4 * values.point("Compare message", REPORTS_PER_COMPARE)
    catalogue = values.slope("catalogue") * ADAPTERS / 1e6
    return [
        RoleFigure("config peer", "memory of the catalogue", catalogue, BUDGET_MB, "MB"),
        _traffic("config peer", "Compare, no crash reports", quiet),
        _traffic("config peer", "Compare, 8 crash reports each", crashes),
    ]


def _traffic(role: str, name: str, value: float) -> RoleFigure:
    return RoleFigure(role, name, value / 1000, BUDGET_BYTES_PER_S / 1000, "KB/s")
