"""What an entry daemon knows about the upstreams."""

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

# Ranked upstreams kept per hashed key; choices beyond them fall back to the least loaded.
RANKING_LENGTH = 16
# Rankings kept, about 300 bytes each.
MAX_RANKINGS = 2048
# A report older than this no longer describes the load: heartbeats come each second while
# requests are open.
REPORT_TTL_S = 5.0
# A report ACTIVE that follows a refusal "leaving" sooner than this may be older than the refusal.
LEAVING_GUARD_S = 3.0

# Share of the batch in flight from which queued requests wait for a place in it. Batch kinds leave
# the interactive reserve of a quarter free.
BATCH_FULL_SHARE = 0.7

# Refusals that concern the request or its caller, not the upstream as a whole.
_REQUEST_CODES = frozenset(
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
# Refusals of an upstream that is alive and only full for the moment.
_FULL_CODES = frozenset({ErrorCode.QUEUE_FULL, ErrorCode.ANSWER_BUFFER_FULL})


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Load of an upstream as its sidecar reports it; counts are requests."""

    in_flight: int
    queued: int
    batch_limit: int
    slots: int
    resident: tuple[AdapterKey, ...]


@final
@dataclasses.dataclass(slots=True, eq=False)
class UpstreamRow:
    """One upstream; times are in seconds of the caller's clock."""

    config: Upstream
    # Hash of the name for rendezvous hashing.
    point: int
    incarnation: Incarnation | None = None
    state: UpstreamState = UpstreamState.ACTIVE
    is_down: bool = False
    # Time until which a refusal "leaving" outweighs reports of the same incarnation.
    leaving_guard_until: float = -math.inf
    excluded_until: float = -math.inf
    # Time until which the upstream counts as full; suspected requests go there nevertheless.
    full_until: float = -math.inf
    reported: int = 0
    reported_at: float = -math.inf
    batch_limit: int = 1
    # Requests of this entry that have not ended.
    own_requests: int = 0
    # Requests sent minus requests ended since the last report.
    since_report: int = 0
    # Adapters learned to be resident, with the time until which that is believed.
    resident: dict[AdapterKey, float] = dataclasses.field(default_factory=dict)

    def load(self, now: float) -> int:
        """Return the estimated requests running and queued, at least this entry's own."""
        if now - self.reported_at > REPORT_TTL_S:
            return self.own_requests
        return max(self.reported + self.since_report, self.own_requests)

    def is_usable(self) -> bool:
        """Whether the upstream takes new work at all."""
        return (
            self.state is UpstreamState.ACTIVE
            and not self.is_down
            and self.config.mode is UpstreamMode.ACTIVE
        )

    def is_excluded(self, now: float) -> bool:
        """Whether the upstream is left out after a recent refusal."""
        return self.excluded_until > now or self.full_until > now

    def has_resident(self, key: AdapterKey, now: float) -> bool:
        """Whether the adapter is believed to be loaded."""
        until = self.resident.get(key)
        return until is not None and until > now


@final
class UpstreamTable:
    """One entry's view of all upstreams; a hint, the sidecars decide."""

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._rows: dict[UpstreamName, UpstreamRow] = {}
        self._by_service: dict[ServiceName, tuple[UpstreamRow, ...]] = {}
        # Requests of this entry in flight per adapter version, over all upstreams.
        self._own_by_key: dict[AdapterKey, int] = {}
        # Upstreams that are believed to hold an adapter version, or were until lately.
        self._holders: dict[AdapterKey, list[UpstreamRow]] = {}
        self._rankings: dict[tuple[ServiceName, int], tuple[UpstreamRow, ...]] = {}

    def rows(self, service: ServiceName) -> tuple[UpstreamRow, ...]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, ())

    def row(self, name: UpstreamName) -> UpstreamRow | None:
        """Return one upstream."""
        return self._rows.get(name)

    def own_load(self, key: AdapterKey) -> int:
        """Return this entry's requests in flight for an adapter version."""
        return self._own_by_key.get(key, 0)

    def holders(self, key: AdapterKey) -> Sequence[UpstreamRow]:
        """Return the upstreams that may hold an adapter version; no other one does."""
        return self._holders.get(key, ())

    def ranking(self, service: ServiceName, point: int) -> tuple[UpstreamRow, ...]:
        """Return the first upstreams of a service by rendezvous score of a hashed key.

        The ranking takes in unusable upstreams, so it only changes with the configuration.
        """
        cache_key = (service, point)
        known = self._rankings.get(cache_key)
        if known is not None:
            return known
        rows = self.rows(service)
        ranking = tuple(
            heapq.nlargest(
                RANKING_LENGTH, rows, key=lambda row: (combine(point, row.point), row.config.name)
            )
        )
        if len(self._rankings) >= MAX_RANKINGS:
            # Dictionaries keep insertion order, so this drops the oldest ranking.
            del self._rankings[next(iter(self._rankings))]
        self._rankings[cache_key] = ranking
        return ranking

    def sync(self, upstreams: Sequence[Upstream], now: float) -> None:
        """Replace the set of upstreams; what is known about those that stay is kept."""
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
        """Count a request that this entry sends."""
        del now
        if key is not None:
            self._own_by_key[key] = self._own_by_key.get(key, 0) + 1
        row = self._rows.get(name)
        if row is not None:
            row.own_requests += 1
            row.since_report += 1

    def record_ended(self, name: UpstreamName, key: AdapterKey | None, now: float) -> None:
        """Count the end of a request for which ``record_sent`` was called."""
        del now
        if key is not None:
            left = self._own_by_key.get(key, 0) - 1
            if left > 0:
                self._own_by_key[key] = left
            else:
                self._own_by_key.pop(key, None)
        row = self._rows.get(name)
        # A row that was removed and added again does not know the requests sent before.
        if row is not None and row.own_requests > 0:
            row.own_requests -= 1
            row.since_report -= 1

    def record_report(
        self,
        name: UpstreamName,
        incarnation: Incarnation,
        state: UpstreamState,
        load: LoadSnapshot,
        now: float,
    ) -> None:
        """Take over a load report; it ends ``record_down``, because the sidecar has spoken."""
        row = self._rows.get(name)
        if row is None:
            return
        if row.incarnation != incarnation:
            self._start_incarnation(row, incarnation)
        if state is not UpstreamState.ACTIVE or now >= row.leaving_guard_until:
            row.state = state
        row.is_down = False
        # While the batch has room, queued requests wait for adapter loads. They are not counted:
        # to send others elsewhere would only add loads there.
        is_batch_full = load.in_flight >= load.batch_limit * BATCH_FULL_SHARE
        row.reported = load.in_flight + (load.queued if is_batch_full else 0)
        row.reported_at = now
        row.since_report = 0
        row.batch_limit = max(load.batch_limit, 1)
        until = now + self._settings.residency_ttl_s
        self._set_resident(row, dict.fromkeys(load.resident, until))

    def record_refusal(self, name: UpstreamName, code: ErrorCode, now: float) -> None:
        """Leave an upstream out after a refusal that concerns it as a whole.

        ``upstream_leaving`` lasts until the state or the incarnation changes, other codes for
        ``exclude_s``.
        """
        row = self._rows.get(name)
        if row is None or code in _REQUEST_CODES:
            return
        until = now + self._settings.exclude_s
        if code is ErrorCode.UPSTREAM_LEAVING:
            row.state = UpstreamState.LEAVING
            row.leaving_guard_until = now + LEAVING_GUARD_S
        elif code in _FULL_CODES:
            row.full_until = until
        else:
            row.excluded_until = until

    def record_residency(self, name: UpstreamName, key: AdapterKey, now: float) -> None:
        """Learn from an answer that an adapter is loaded."""
        row = self._rows.get(name)
        if row is None:
            return
        if len(row.resident) >= 2 * max(row.config.slots, 1):
            # More than the slots can hold: the oldest beliefs are wrong.
            oldest = min(row.resident, key=lambda k: row.resident[k])
            del row.resident[oldest]
            self._drop_holder(row, (oldest,))
        if key not in row.resident:
            self._add_holder(row, (key,))
        row.resident[key] = now + self._settings.residency_ttl_s

    def record_down(self, name: UpstreamName, now: float) -> None:
        """Leave an upstream out until ``record_up`` or a report."""
        del now
        row = self._rows.get(name)
        if row is not None:
            row.is_down = True
            self._set_resident(row, {})

    def record_up(self, name: UpstreamName, now: float) -> None:
        """End ``record_down``."""
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
