"""Selection of the upstream for a request."""

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

# Share of the batch limit up to which an upstream counts as lightly loaded, whatever the load of
# the others: a request starts there without queueing, and sending it elsewhere would only cost an
# adapter load.
LIGHT_LOAD_BATCH_SHARE = 0.5


class RouteReason(enum.Enum):
    """Reason for the choice of an upstream; the value is a metric label."""

    RESIDENT = "resident"
    RANKED = "ranked"
    LEAST_LOADED = "least_loaded"
    SUSPECTED = "suspected"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that determine its route.

    ``suspected`` marks a request that may crash its upstream, ``tried`` names the upstreams of
    earlier attempts.
    """

    service: ServiceName
    key: AdapterKey | None
    fingerprint: Fingerprint
    batch: bool
    suspected: bool
    tried: frozenset[UpstreamName]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RouteTo:
    """The upstream that a request is sent to."""

    upstream: UpstreamName
    reason: RouteReason


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No upstream accepts the request at present; the request did not run."""

    code: ErrorCode
    message: str


def choose_upstream(
    request: RouteRequest,
    table: UpstreamTable,
    now: float,
    settings: RoutingSettings,
    rng: random.Random,
) -> RouteTo | NoRoute:
    """Choose the upstream for a request from this entry's view of the upstreams.

    Upstreams in ``tried`` are chosen again only if no other one accepts work. Suspected requests
    with the same fingerprint go to the same upstream while it is usable.
    """
    if request.suspected:
        return _choose_for_suspect(request, table, now)
    if request.key is not None:
        route = _choose_lightly_loaded(request, request.key, table, now)
        if route is not None:
            return route
    usable = [row for row in table.rows(request.service) if row.is_usable()]
    ready = [row for row in usable if not row.is_excluded(now)]
    candidates = [row for row in ready if row.config.name not in request.tried] or ready
    if not candidates:
        return _no_route(request, table)
    if request.key is None:
        return _least_loaded_of_two(candidates, now, rng)
    return _choose_for_key(request.key, candidates, table, now, settings, rng)


def load_limit(candidates: Sequence[UpstreamRow], now: float, settings: RoutingSettings) -> float:
    """Return the load from which a candidate is skipped.

    It is the bounded-load factor times the mean load, but at least ``LIGHT_LOAD_BATCH_SHARE`` of
    the smallest batch limit.
    """
    total = sum(row.load(now) for row in candidates)
    mean = (total + 1) / len(candidates)
    batch = min(row.batch_limit for row in candidates)
    return max(settings.bounded_load_factor * mean, batch * LIGHT_LOAD_BATCH_SHARE, 1.0)


def _choose_lightly_loaded(
    request: RouteRequest, key: AdapterKey, table: UpstreamTable, now: float
) -> RouteTo | None:
    """Return the preferred upstream or one that holds the adapter, if it is lightly loaded.

    This fast path covers the common case without a scan of all upstreams.
    """
    ranking = table.ranking(key.service, hash64(str(key).encode()))
    if not ranking:
        return None
    preferred = ranking[0]
    is_preferred_light = _is_lightly_loaded(preferred, request, now)
    if is_preferred_light and preferred.has_resident(key, now):
        return RouteTo(preferred.config.name, RouteReason.RESIDENT)
    holders = [row for row in table.holders(key) if row.has_resident(key, now)]
    light_holders = [row for row in holders if _is_lightly_loaded(row, request, now)]
    if light_holders:
        best = min(light_holders, key=lambda row: row.load(now))
        return RouteTo(best.config.name, RouteReason.RESIDENT)
    if is_preferred_light and not holders:
        return RouteTo(preferred.config.name, RouteReason.RANKED)
    return None


def _is_lightly_loaded(row: UpstreamRow, request: RouteRequest, now: float) -> bool:
    return (
        row.is_usable()
        and not row.is_excluded(now)
        and row.config.name not in request.tried
        and row.load(now) < row.batch_limit * LIGHT_LOAD_BATCH_SHARE
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
    below_limit = [row for row in candidates if row.load(now) < limit] or candidates
    allowed = {row.config.name for row in below_limit}
    ranking = table.ranking(key.service, hash64(str(key).encode()))
    ranked = [row for row in ranking if row.config.name in allowed]
    replica_count = _replica_count(key, table, candidates, now, settings)
    replica_rows = ranked[:replica_count]
    resident = [row for row in replica_rows if row.has_resident(key, now)]
    if resident:
        best = min(resident, key=lambda row: row.load(now))
        return RouteTo(best.config.name, RouteReason.RESIDENT)
    resident_elsewhere = [row for row in below_limit if row.has_resident(key, now)]
    if resident_elsewhere:
        best = min(resident_elsewhere, key=lambda row: row.load(now))
        return RouteTo(best.config.name, RouteReason.RESIDENT)
    if replica_rows:
        return RouteTo(replica_rows[0].config.name, RouteReason.RANKED)
    return _least_loaded_of_two(below_limit, now, rng)


def _replica_count(
    key: AdapterKey,
    table: UpstreamTable,
    candidates: Sequence[UpstreamRow],
    now: float,
    settings: RoutingSettings,
) -> int:
    own_total = sum(row.own_requests for row in candidates)
    total = sum(row.load(now) for row in candidates)
    # Other entries send requests for the same adapter. This entry's count, divided by its share of
    # the total load, estimates the count of the region.
    scale = total / own_total if own_total else 1.0
    load = table.own_load(key) * scale
    batch = min(row.batch_limit for row in candidates)
    replica_count = 1 + math.floor(load / (settings.copy_load_share * batch))
    return min(replica_count, settings.max_copies)


def _choose_for_suspect(
    request: RouteRequest, table: UpstreamTable, now: float
) -> RouteTo | NoRoute:
    fingerprint_hash = hash64(request.fingerprint)
    # A full upstream remains eligible: the request waits for it, so that a request that crashes
    # upstreams does not reach a second one.
    for row in table.ranking(request.service, fingerprint_hash):
        if row.is_usable() and row.excluded_until <= now:
            return RouteTo(row.config.name, RouteReason.SUSPECTED)
    # No upstream of the truncated ranking is available, so all available ones are ranked.
    others = [
        row for row in table.rows(request.service) if row.is_usable() and row.excluded_until <= now
    ]
    if not others:
        return _no_route(request, table)
    best = max(others, key=lambda row: (combine(fingerprint_hash, row.name_hash), row.config.name))
    return RouteTo(best.config.name, RouteReason.SUSPECTED)


def _least_loaded_of_two(
    candidates: Sequence[UpstreamRow], now: float, rng: random.Random
) -> RouteTo:
    # Power of two choices: if every entry took the minimum over all candidates, they would all
    # send to the same upstream until its next report.
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
