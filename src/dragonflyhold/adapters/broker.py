"""Distribution of the weight store's load rate over the sidecars of a region."""

import bisect
import dataclasses
import hashlib
import math
from collections.abc import Iterable, Sequence
from typing import final

from dragonflyhold.ids import Incarnation, UpstreamName
from dragonflyhold.settings.model import LoadBudgetSettings

# A load request that is not repeated within this time is dropped and loses its position.
LOAD_REQUEST_TTL_S = 2.0
MIN_RETRY_S = 0.02
# Less than half of ``LOAD_REQUEST_TTL_S``, so that a load request survives one lost message.
MAX_RETRY_S = 0.9
# Waiting time after which the utility of a load request counts double. Without ageing, a load
# request of low utility starves while others of higher utility keep arriving.
AGEING_PERIOD_S = 30.0
# A load that takes longer indicates that the weight store is slow. A load takes 0.25 s at full
# speed, and 1 s with four times the usual number of loads in progress.
SLOW_LOAD_S = 2.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """Request of an upstream to load an adapter; ``number`` is unique per incarnation."""

    number: int
    adapter: str
    utility: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class BrokerGrant:
    """Numbers of the granted load requests, and the delay before the others are repeated."""

    granted: tuple[int, ...]
    retry_after_s: float


@final
@dataclasses.dataclass(slots=True)
class _PendingRequest:
    first_seen_at: float
    # Utility with ageing applied, as of the requester's last call.
    aged_utility: float


@final
@dataclasses.dataclass(slots=True)
class _RequesterState:
    last_call_at: float
    by_adapter: dict[str, _PendingRequest]


_Requester = tuple[UpstreamName, Incarnation]
_GrantKey = tuple[UpstreamName, Incarnation, int]


@final
class LoadBroker:
    """A token bucket that grants the load requests of a whole region in order of utility.

    A call can grant only load requests of its caller. The broker therefore stores the recent load
    requests of all callers and reserves tokens for those that rank higher; their callers repeat
    them within ``MAX_RETRY_S``. When loads are slow or grants expire before their release, the
    number of concurrent loads is reduced.
    """

    def __init__(self, settings: LoadBudgetSettings) -> None:
        self._settings = settings
        self._tokens = 0.0
        self._refilled_at: float | None = None
        self._started_at = 0.0
        self._grant_expiries: dict[_GrantKey, float] = {}
        # Maximum number of loads in progress. It is halved when loads are slow, because more loads
        # only lengthen the queue of a slow store, and raised by one after each fast load.
        self._concurrency_limit = float(settings.max_in_transit)
        self._limit_reduced_at = -math.inf
        # Requesters in order of their last call, the oldest first.
        self._pending: dict[_Requester, _RequesterState] = {}
        # Aged utilities of all pending load requests in ascending order, so that a call does not
        # have to scan the load requests.
        self._aged_utilities: list[float] = []

    @property
    def loads_in_progress(self) -> int:
        """Number of grants that were neither released nor expired as of the last call."""
        return len(self._grant_expiries)

    def acquire(
        self,
        upstream: UpstreamName,
        incarnation: Incarnation,
        load_requests: Sequence[LoadRequest],
        now: float,
    ) -> BrokerGrant:
        """Grant the load requests that the budget allows.

        ``load_requests`` replaces the caller's earlier ones. A load request that is already granted
        is granted again without spending a token, because the reply to the earlier call may have
        been lost.
        """
        self._advance(now)
        requester = (upstream, incarnation)
        repeated = [
            request.number
            for request in load_requests
            if (*requester, request.number) in self._grant_expiries
        ]
        new_requests = [request for request in load_requests if request.number not in repeated]
        self._replace_requests(requester, new_requests, now)
        granted = list(repeated)
        deferred: list[tuple[LoadRequest, int]] = []
        for request in sorted(new_requests, key=lambda request: -request.utility):
            higher_ranked = self._count_higher_ranked(requester, request.adapter)
            if self._available_grants() >= higher_ranked + 1 or self._has_surplus_token(now):
                granted.append(self._grant(requester, request, now))
            else:
                deferred.append((request, higher_ranked))
        retry_after_s = min(
            (self._retry_after(higher_ranked) for _, higher_ranked in deferred), default=0.0
        )
        return BrokerGrant(tuple(granted), retry_after_s)

    def release(
        self, upstream: UpstreamName, incarnation: Incarnation, numbers: Iterable[int], now: float
    ) -> None:
        """Release grants before they expire; unknown ones are ignored."""
        self._advance(now)
        for number in numbers:
            expires_at = self._grant_expiries.pop((upstream, incarnation, number), None)
            if expires_at is None:
                continue
            granted_at = expires_at - self._settings.grant_ttl_s
            if now - granted_at > SLOW_LOAD_S:
                self._reduce_limit(granted_at, now)
            else:
                self._concurrency_limit = min(
                    self._concurrency_limit + 1.0, self._settings.max_in_transit
                )

    def _advance(self, now: float) -> None:
        if self._refilled_at is None:
            self._refilled_at = now
            self._started_at = now
        elapsed = max(now - self._refilled_at, 0.0)
        self._tokens = min(self._tokens + elapsed * self._settings.loads_per_s, self._burst(now))
        self._refilled_at = max(now, self._refilled_at)
        for key in [key for key, expires_at in self._grant_expiries.items() if expires_at <= now]:
            self._reduce_limit(self._grant_expiries.pop(key) - self._settings.grant_ttl_s, now)
        while self._pending:
            requester = next(iter(self._pending))
            if self._pending[requester].last_call_at + LOAD_REQUEST_TTL_S >= now:
                break
            self._remove_requests(requester)

    def _reduce_limit(self, granted_at: float, now: float) -> None:
        # A load granted before the last reduction does not reflect the current limit.
        if granted_at < self._limit_reduced_at:
            return
        min_limit = min(self._settings.burst, self._settings.max_in_transit)
        self._concurrency_limit = max(self._concurrency_limit / 2, min_limit)
        self._limit_reduced_at = now

    def _available_grants(self) -> int:
        remaining = int(self._concurrency_limit) - len(self._grant_expiries)
        return max(min(int(self._tokens + 1e-9), remaining), 0)

    def _has_surplus_token(self, now: float) -> bool:
        # A token that is reserved while the bucket is full is wasted.
        return self._available_grants() > 0 and self._tokens >= self._burst(now) - 1e-9

    def _burst(self, now: float) -> float:
        # Loads granted by a previous broker may still be in progress when a new one starts.
        is_recently_started = now - self._started_at < self._settings.grant_ttl_s
        return 1.0 if is_recently_started else float(self._settings.burst)

    def _replace_requests(
        self, requester: _Requester, load_requests: Sequence[LoadRequest], now: float
    ) -> None:
        previous = self._remove_requests(requester)
        if not load_requests:
            return
        by_adapter: dict[str, _PendingRequest] = {}
        for request in load_requests:
            pending = previous.get(request.adapter)
            first_seen_at = pending.first_seen_at if pending is not None else now
            aged_utility = request.utility * (1.0 + (now - first_seen_at) // AGEING_PERIOD_S)
            if request.adapter in by_adapter:
                self._remove_aged_utility(by_adapter[request.adapter].aged_utility)
            by_adapter[request.adapter] = _PendingRequest(first_seen_at, aged_utility)
            bisect.insort(self._aged_utilities, aged_utility)
        self._pending[requester] = _RequesterState(now, by_adapter)

    def _remove_requests(self, requester: _Requester) -> dict[str, _PendingRequest]:
        state = self._pending.pop(requester, None)
        if state is None:
            return {}
        for pending in state.by_adapter.values():
            self._remove_aged_utility(pending.aged_utility)
        return state.by_adapter

    def _remove_aged_utility(self, aged_utility: float) -> None:
        del self._aged_utilities[bisect.bisect_left(self._aged_utilities, aged_utility)]

    def _count_higher_ranked(self, requester: _Requester, adapter: str) -> int:
        pending = self._pending[requester].by_adapter.get(adapter)
        if pending is None:
            # A second load request for an adapter that this call has granted ranks last.
            return len(self._aged_utilities)
        return len(self._aged_utilities) - bisect.bisect_right(
            self._aged_utilities, pending.aged_utility
        )

    def _grant(self, requester: _Requester, request: LoadRequest, now: float) -> int:
        self._tokens -= 1.0
        self._grant_expiries[(*requester, request.number)] = now + self._settings.grant_ttl_s
        pending = self._pending[requester].by_adapter.pop(request.adapter, None)
        if pending is not None:
            self._remove_aged_utility(pending.aged_utility)
        return request.number

    def _retry_after(self, higher_ranked: int) -> float:
        missing_tokens = higher_ranked + 1 - self._tokens
        wait_s = missing_tokens / self._settings.loads_per_s
        return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)


@final
class LocalLoadShare:
    """An equal share of the region's load rate, for a sidecar that can reach no broker."""

    def __init__(self, settings: LoadBudgetSettings, upstream_count: int) -> None:
        self._rate = settings.loads_per_s / max(upstream_count, 1)
        # Starts without a token; otherwise all sidecars that lose the broker would load at once.
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def try_take(self, now: float) -> bool:
        """Take a token for one load; return whether one was available."""
        if self._refilled_at is None:
            self._refilled_at = now
        elapsed = max(now - self._refilled_at, 0.0)
        self._tokens = min(self._tokens + elapsed * self._rate, 1.0)
        self._refilled_at = max(now, self._refilled_at)
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


def choose_broker(names: Iterable[UpstreamName]) -> UpstreamName:
    """Return the name with the highest rendezvous score; raise ``ValueError`` if there is none."""
    return max(names, key=lambda name: (_broker_score(name), name))


def _broker_score(name: UpstreamName) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8, person=b"load-broker").digest()
