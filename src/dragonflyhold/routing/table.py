"""An entry daemon's view of the state and load of the upstreams."""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Sequence
from typing import final

from dragonflyhold.config.objects import Upstream
from dragonflyhold.errors import ErrorCode
from dragonflyhold.hashing import combine, hash64
from dragonflyhold.ids import AdapterKey, Incarnation, ServiceName, UpstreamName
from dragonflyhold.settings.model import RoutingSettings
from dragonflyhold.states import UpstreamMode, UpstreamState

# Upstreams kept per ranking. If none of them qualifies and no other one holds the adapter, the
# selection falls back to the less loaded of two random candidates. A suspected request falls back
# to the best ranked of all available upstreams.
RANKING_LENGTH = 16
# Rankings in the cache, about 300 bytes each.
MAX_CACHED_RANKINGS = 2048
# An older report no longer describes the load: a sidecar sends a heartbeat each second while
# requests are open.
REPORT_TTL_S = 5.0
# A report with state ACTIVE that arrives within this time after a refusal with
# ``upstream_leaving`` may have been sent before the refusal, and does not reset the state.
LEAVING_GUARD_S = 3.0

# Share of the batch limit in flight from which queued requests are assumed to wait for batch slots.
# It is below 0.75 because batch kinds leave the interactive reserve of a quarter free.
BATCH_FULL_SHARE = 0.7

# Refusals that concern only the request or its caller, not the upstream.
_REQUEST_SCOPED_CODES = frozenset(
    {
        ErrorCode.BAD_REQUEST,
        ErrorCode.CALLER_LIMIT,
        ErrorCode.ADAPTER_LIMIT,
        ErrorCode.DEADLINE_EXPIRED,
        ErrorCode.DEADLINE_UNREACHABLE,
        ErrorCode.DECLINED,
        ErrorCode.PERMIT_REQUIRED,
        ErrorCode.PERMIT_REUSED,
        ErrorCode.PERMIT_EXPIRED,
        ErrorCode.QUARANTINED,
        ErrorCode.UNKNOWN_SERVICE,
        ErrorCode.UNKNOWN_ADAPTER,
        ErrorCode.UNKNOWN_VERSION,
        ErrorCode.UNKNOWN_KIND,
        ErrorCode.ADAPTER_LOAD_FAILED,
    }
)
# Refusals of an upstream that is healthy and temporarily full.
_CAPACITY_CODES = frozenset({ErrorCode.QUEUE_FULL, ErrorCode.ANSWER_BUFFER_FULL})


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Load of an upstream as reported by its sidecar; ``in_flight`` and ``queued`` are requests."""

    in_flight: int
    queued: int
    batch_limit: int
    slots: int
    resident: tuple[AdapterKey, ...]


@final
@dataclasses.dataclass(slots=True, eq=False)
class UpstreamRow:
    """State of one upstream; times are in seconds of the caller's clock."""

    config: Upstream
    # Hash of the name for rendezvous hashing.
    name_hash: int
    incarnation: Incarnation | None = None
    state: UpstreamState = UpstreamState.ACTIVE
    is_down: bool = False
    # Until this time ``upstream_leaving`` takes precedence over reports of the same incarnation.
    leaving_guard_until: float = -math.inf
    excluded_until: float = -math.inf
    # Until this time the upstream counts as full; suspected requests are sent to it regardless.
    full_until: float = -math.inf
    reported_load: int = 0
    reported_at: float = -math.inf
    batch_limit: int = 1
    # Requests of this entry that are in flight.
    own_requests: int = 0
    # Requests sent minus requests ended since the last report.
    net_sent_since_report: int = 0
    # Adapters reported as resident, each with the time at which the information expires.
    resident: dict[AdapterKey, float] = dataclasses.field(default_factory=dict)

    def load(self, now: float) -> int:
        """Return the estimated number of requests running and queued, at least this entry's own."""
        if now - self.reported_at > REPORT_TTL_S:
            return self.own_requests
        return max(self.reported_load + self.net_sent_since_report, self.own_requests)

    def is_usable(self) -> bool:
        """Return whether the upstream accepts new work at all."""
        return (
            self.state is UpstreamState.ACTIVE
            and not self.is_down
            and self.config.mode is UpstreamMode.ACTIVE
        )

    def is_excluded(self, now: float) -> bool:
        """Return whether the upstream is excluded after a recent refusal."""
        return self.excluded_until > now or self.full_until > now

    def has_resident(self, key: AdapterKey, now: float) -> bool:
        """Return whether the adapter is presumed resident."""
        expires_at = self.resident.get(key)
        return expires_at is not None and expires_at > now


@final
class UpstreamTable:
    """One entry's view of all upstreams.

    The view may be out of date; the sidecars decide whether they accept a request.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._rows: dict[UpstreamName, UpstreamRow] = {}
        self._by_service: dict[ServiceName, tuple[UpstreamRow, ...]] = {}
        # Requests of this entry in flight per adapter version, summed over all upstreams.
        self._own_by_key: dict[AdapterKey, int] = {}
        # Upstreams whose ``resident`` contains an adapter version, even if it has expired.
        self._holders: dict[AdapterKey, list[UpstreamRow]] = {}
        self._rankings: dict[tuple[ServiceName, int], tuple[UpstreamRow, ...]] = {}

    def rows(self, service: ServiceName) -> tuple[UpstreamRow, ...]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, ())

    def row(self, name: UpstreamName) -> UpstreamRow | None:
        """Return the row of an upstream, or ``None`` if it is unknown."""
        return self._rows.get(name)

    def own_load(self, key: AdapterKey) -> int:
        """Return the number of this entry's requests in flight for an adapter version."""
        return self._own_by_key.get(key, 0)

    def holders(self, key: AdapterKey) -> Sequence[UpstreamRow]:
        """Return every upstream that may hold an adapter version."""
        return self._holders.get(key, ())

    def ranking(self, service: ServiceName, key_hash: int) -> tuple[UpstreamRow, ...]:
        """Return the ``RANKING_LENGTH`` upstreams of a service with the best rendezvous scores.

        The ranking includes unusable upstreams, so it changes only with the configuration.
        """
        cache_key = (service, key_hash)
        cached = self._rankings.get(cache_key)
        if cached is not None:
            return cached
        rows = self.rows(service)
        ranking = tuple(
            heapq.nlargest(
                RANKING_LENGTH,
                rows,
                key=lambda row: (combine(key_hash, row.name_hash), row.config.name),
            )
        )
        if len(self._rankings) >= MAX_CACHED_RANKINGS:
            # Dictionaries keep insertion order, so this evicts the oldest ranking.
            del self._rankings[next(iter(self._rankings))]
        self._rankings[cache_key] = ranking
        return ranking

    def sync(self, upstreams: Sequence[Upstream], now: float) -> None:
        """Replace the set of upstreams; the state of those that remain is kept."""
        del now
        rows: dict[UpstreamName, UpstreamRow] = {}
        for upstream in upstreams:
            row = self._rows.get(upstream.name)
            if row is None or row.config.service != upstream.service:
                row = UpstreamRow(upstream, hash64(upstream.name.encode()))
                row.batch_limit = upstream.batch_limit
            elif _is_reactivated(row.config, upstream):
                row.state = UpstreamState.ACTIVE
            row.config = upstream
            rows[upstream.name] = row
        self._rows = rows
        self._holders.clear()
        for row in rows.values():
            self._add_holder(row, row.resident)
        by_service: dict[ServiceName, list[UpstreamRow]] = {}
        for row in rows.values():
            by_service.setdefault(row.config.service, []).append(row)
        self._by_service = {service: tuple(group) for service, group in by_service.items()}
        self._rankings.clear()

    def record_sent(self, name: UpstreamName, key: AdapterKey | None, now: float) -> None:
        """Count a request sent by this entry."""
        del now
        if key is not None:
            self._own_by_key[key] = self._own_by_key.get(key, 0) + 1
        row = self._rows.get(name)
        if row is not None:
            row.own_requests += 1
            row.net_sent_since_report += 1

    def record_ended(self, name: UpstreamName, key: AdapterKey | None, now: float) -> None:
        """Count the end of a request for which ``record_sent`` was called."""
        del now
        if key is not None:
            remaining = self._own_by_key.get(key, 0) - 1
            if remaining > 0:
                self._own_by_key[key] = remaining
            else:
                self._own_by_key.pop(key, None)
        row = self._rows.get(name)
        # A row that was removed and added again has not counted the requests sent before.
        if row is not None and row.own_requests > 0:
            row.own_requests -= 1
            row.net_sent_since_report -= 1

    def record_report(
        self,
        name: UpstreamName,
        incarnation: Incarnation,
        state: UpstreamState,
        load: LoadSnapshot,
        now: float,
    ) -> None:
        """Apply a load report of a sidecar.

        A report also ends the state set by ``record_down``, because it proves that the sidecar is
        reachable.
        """
        row = self._rows.get(name)
        if row is None:
            return
        if row.incarnation != incarnation:
            self._start_incarnation(row, incarnation)
        if state is not UpstreamState.ACTIVE or now >= row.leaving_guard_until:
            row.state = state
        row.is_down = False
        # While the batch has free slots, queued requests wait for adapter loads. They are not
        # counted, because sending other requests elsewhere would only add loads there.
        is_batch_full = load.in_flight >= load.batch_limit * BATCH_FULL_SHARE
        row.reported_load = load.in_flight + (load.queued if is_batch_full else 0)
        row.reported_at = now
        row.net_sent_since_report = 0
        row.batch_limit = max(load.batch_limit, 1)
        expires_at = now + self._settings.residency_ttl_s
        self._set_resident(row, dict.fromkeys(load.resident, expires_at))

    def record_refusal(self, name: UpstreamName, code: ErrorCode, now: float) -> None:
        """Exclude an upstream after a refusal that concerns the upstream itself.

        ``upstream_leaving`` applies until the state or the incarnation changes, other codes apply
        for ``exclude_s``.
        """
        row = self._rows.get(name)
        if row is None or code in _REQUEST_SCOPED_CODES:
            return
        until = now + self._settings.exclude_s
        if code is ErrorCode.UPSTREAM_LEAVING:
            row.state = UpstreamState.LEAVING
            row.leaving_guard_until = now + LEAVING_GUARD_S
        elif code in _CAPACITY_CODES:
            row.full_until = until
        else:
            row.excluded_until = until

    def record_residency(self, name: UpstreamName, key: AdapterKey, now: float) -> None:
        """Record that a response showed an adapter to be resident."""
        row = self._rows.get(name)
        if row is None:
            return
        if len(row.resident) >= 2 * max(row.config.slots, 1):
            # More adapters than the slots can hold: the oldest information is out of date.
            oldest = min(row.resident, key=lambda k: row.resident[k])
            del row.resident[oldest]
            self._drop_holder(row, (oldest,))
        if key not in row.resident:
            self._add_holder(row, (key,))
        row.resident[key] = now + self._settings.residency_ttl_s

    def record_down(self, name: UpstreamName, now: float) -> None:
        """Exclude an upstream until ``record_up`` or its next report."""
        del now
        row = self._rows.get(name)
        if row is not None:
            row.is_down = True
            self._set_resident(row, {})

    def record_up(self, name: UpstreamName, now: float) -> None:
        """Undo ``record_down``."""
        del now
        row = self._rows.get(name)
        if row is not None:
            row.is_down = False

    def _start_incarnation(self, row: UpstreamRow, incarnation: Incarnation) -> None:
        row.incarnation = incarnation
        row.leaving_guard_until = -math.inf
        row.excluded_until = -math.inf
        row.full_until = -math.inf
        self._set_resident(row, {})

    def _set_resident(self, row: UpstreamRow, resident: dict[AdapterKey, float]) -> None:
        self._drop_holder(row, row.resident.keys() - resident.keys())
        self._add_holder(row, resident.keys() - row.resident.keys())
        row.resident = resident

    def _add_holder(self, row: UpstreamRow, keys: Iterable[AdapterKey]) -> None:
        for key in keys:
            self._holders.setdefault(key, []).append(row)

    def _drop_holder(self, row: UpstreamRow, keys: Iterable[AdapterKey]) -> None:
        for key in keys:
            holders = self._holders[key]
            holders.remove(row)
            if not holders:
                del self._holders[key]


def _is_reactivated(old: Upstream, new: Upstream) -> bool:
    return old.mode is not UpstreamMode.ACTIVE and new.mode is UpstreamMode.ACTIVE
