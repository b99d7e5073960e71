"""Choice of the upstream for one request."""

import dataclasses
import enum
import math
import random
from collections.abc import Sequence
from typing import final

from dragonflyhold.errors import ErrorCode
from dragonflyhold.hashing import combine, hash64
from dragonflyhold.ids import AdapterKey, Fingerprint, ServiceName, UpstreamName
from dragonflyhold.routing.table import UpstreamRow, UpstreamTable
from dragonflyhold.settings.model import RoutingSettings

# Share of the batch up to which an upstream counts as free whatever the others' load is: a request
# does not wait for its turn there, and moving it would only cost a load.
FREE_SHARE = 0.5


class RouteReason(enum.Enum):
    """Why an upstream was chosen; also a metric label."""

    RESIDENT = "resident"
    RANKED = "ranked"
    LEAST_LOADED = "least_loaded"
    SUSPECTED = "suspected"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What the choice depends on; ``tried`` names the upstreams of earlier attempts."""

    service: ServiceName
    key: AdapterKey | None
    fingerprint: Fingerprint
    batch: bool
    suspected: bool
    tried: frozenset[UpstreamName]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RouteTo:
    """Send the request to this upstream."""

    upstream: UpstreamName
    reason: RouteReason


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No upstream takes the request now; it did not run."""

    code: ErrorCode
    message: str


def choose_upstream(
    request: RouteRequest,
    table: UpstreamTable,
    now: float,
    settings: RoutingSettings,
    rng: random.Random,
) -> RouteTo | NoRoute:
    """Choose the upstream for a request from this entry's view.

    Upstreams in ``tried`` are chosen again only if no other takes work. Suspected requests with
    one fingerprint go to the same upstream while it is usable.
    """
    if request.suspected:
        return _choose_for_suspect(request, table, now)
    if request.key is not None:
        quick = _choose_free(request, request.key, table, now)
        if quick is not None:
            return quick
    usable = [row for row in table.rows(request.service) if row.is_usable()]
    ready = [row for row in usable if not row.is_excluded(now)]
    candidates = [row for row in ready if row.config.name not in request.tried] or ready
    if not candidates:
        return _no_route(request, table)
    if request.key is None:
        return _least_loaded_of_two(candidates, now, rng)
    return _choose_for_key(request.key, candidates, table, now, settings, rng)


def load_limit(candidates: Sequence[UpstreamRow], now: float, settings: RoutingSettings) -> float:
    """Return the load at which a candidate is skipped.

    The bounded-load factor times the mean, but at least ``FREE_SHARE`` of a batch.
    """
    total = sum(row.load(now) for row in candidates)
    mean = (total + 1) / len(candidates)
    batch = min(row.batch_limit for row in candidates)
    return max(settings.bounded_load_factor * mean, batch * FREE_SHARE, 1.0)


def _choose_free(
    request: RouteRequest, key: AdapterKey, table: UpstreamTable, now: float
) -> RouteTo | None:
    """Return the first ranked upstream, or one that holds the adapter, if it is free.

    The common case, decided without a look at all upstreams.
    """
    ranking = table.ranking(key.service, hash64(str(key).encode()))
    if not ranking:
        return None
    home = ranking[0]
    is_home_free = _is_free(home, request, now)
    if is_home_free and home.has_resident(key, now):
        return RouteTo(home.config.name, RouteReason.RESIDENT)
    holders = [row for row in table.holders(key) if row.has_resident(key, now)]
    free = [row for row in holders if _is_free(row, request, now)]
    if free:
        best = min(free, key=lambda row: row.load(now))
        return RouteTo(best.config.name, RouteReason.RESIDENT)
    if is_home_free and not holders:
        return RouteTo(home.config.name, RouteReason.RANKED)
    return None


def _is_free(row: UpstreamRow, request: RouteRequest, now: float) -> bool:
    return (
        row.is_usable()
        and not row.is_excluded(now)
        and row.config.name not in request.tried
        and row.load(now) < row.batch_limit * FREE_SHARE
    )


def _choose_for_key(
    key: AdapterKey,
    candidates: Sequence[UpstreamRow],
    table: UpstreamTable,
    now: float,
    settings: RoutingSettings,
    rng: random.Random,
) -> RouteTo:
    limit = load_limit(candidates, now, settings)
    free = [row for row in candidates if row.load(now) < limit] or candidates
    allowed = {row.config.name for row in free}
    ranking = table.ranking(key.service, hash64(str(key).encode()))
    ranked = [row for row in ranking if row.config.name in allowed]
    copies = _copies(key, table, candidates, now, settings)
    preferred = ranked[:copies]
    resident = [row for row in preferred if row.has_resident(key, now)]
    if resident:
        best = min(resident, key=lambda row: row.load(now))
        return RouteTo(best.config.name, RouteReason.RESIDENT)
    elsewhere = [row for row in free if row.has_resident(key, now)]
    if elsewhere:
        best = min(elsewhere, key=lambda row: row.load(now))
        return RouteTo(best.config.name, RouteReason.RESIDENT)
    if preferred:
        return RouteTo(preferred[0].config.name, RouteReason.RANKED)
    return _least_loaded_of_two(free, now, rng)


def _copies(
    key: AdapterKey,
    table: UpstreamTable,
    candidates: Sequence[UpstreamRow],
    now: float,
    settings: RoutingSettings,
) -> int:
    own_total = sum(row.own_requests for row in candidates)
    total = sum(row.load(now) for row in candidates)
    # Other entries send for the same adapter; this entry's share of the total load scales its
    # own count up to an estimate for the region.
    scale = total / own_total if own_total else 1.0
    load = table.own_load(key) * scale
    batch = min(row.batch_limit for row in candidates)
    wanted = 1 + math.floor(load / (settings.copy_load_share * batch))
    return min(wanted, settings.max_copies)


def _choose_for_suspect(
    request: RouteRequest, table: UpstreamTable, now: float
) -> RouteTo | NoRoute:
    point = hash64(request.fingerprint)
    # A full upstream is waited for: another one must not meet the same request.
    for row in table.ranking(request.service, point):
        if row.is_usable() and row.excluded_until <= now:
            return RouteTo(row.config.name, RouteReason.SUSPECTED)
    # All upstreams of the kept ranking are out, so the others are ranked.
    others = [
        row for row in table.rows(request.service) if row.is_usable() and row.excluded_until <= now
    ]
    if not others:
        return _no_route(request, table)
    best = max(others, key=lambda row: (combine(point, row.point), row.config.name))
    return RouteTo(best.config.name, RouteReason.SUSPECTED)


def _least_loaded_of_two(
    candidates: Sequence[UpstreamRow], now: float, rng: random.Random
) -> RouteTo:
    # Two random candidates instead of all: entries that share one view would otherwise all send
    # to the same upstream until its next report.
    first = rng.choice(candidates)
    second = rng.choice(candidates)
    best = min(first, second, key=lambda row: row.load(now) / row.batch_limit)
    return RouteTo(best.config.name, RouteReason.LEAST_LOADED)


def _no_route(request: RouteRequest, table: UpstreamTable) -> NoRoute:
    rows = table.rows(request.service)
    if not rows:
        message = f"service {request.service} has no upstream"
    else:
        usable = sum(row.is_usable() for row in rows)
        message = (
            f"no upstream of {request.service} takes work: {len(rows)} configured, "
            f"{len(rows) - usable} leaving or down, {usable} refused recently"
        )
    return NoRoute(ErrorCode.NO_UPSTREAM, message)
