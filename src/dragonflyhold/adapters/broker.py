"""Shares the weight store's load rate among the sidecars of a region."""

import bisect
import dataclasses
import hashlib
import math
from collections.abc import Iterable, Sequence
from typing import final

from dragonflyhold.ids import Incarnation, UpstreamName
from dragonflyhold.settings.model import LoadBudgetSettings

# A wish that is not repeated within this time is dropped with its place in the queue.
LOAD_REQUEST_TTL_S = 2.0
MIN_RETRY_S = 0.02
# Below half the wish's lifetime, so that one lost message does not cost a wish its place.
MAX_RETRY_S = 0.9
# Time after which a waiting wish counts double. Without ageing, a cheap wish never gets its turn
# while dearer ones keep coming.
AGEING_S = 30.0
# A load that takes longer than this is taken for a sign that the weight store is slow. At full
# speed it takes 0.25 s, and 1 s with four times the usual loads in transit.
SLOW_LOAD_S = 2.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """One load that an upstream wants; ``number`` is unique per incarnation."""

    number: int
    adapter: str
    utility: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class BrokerGrant:
    """Numbers of the granted wishes, and when to ask again for the others."""

    granted: tuple[int, ...]
    retry_after_s: float


@final
@dataclasses.dataclass(slots=True)
class _Pending:
    first_seen: float
    # Worth with its ageing at the last call of the holder.
    rank: float


@final
@dataclasses.dataclass(slots=True)
class _HolderRequests:
    seen: float
    by_adapter: dict[str, _Pending]


_Holder = tuple[UpstreamName, Incarnation]
_GrantKey = tuple[UpstreamName, Incarnation, int]


@final
class LoadBroker:
    """A token bucket that serves the wishes of the whole region by worth.

    A call can only grant wishes of its own caller, so the broker remembers the recent wishes of
    all callers and holds tokens back for those that rank higher; they ask again within
    ``MAX_RETRY_S``. When loads become slow or their grants lapse, fewer are allowed at once.
    """

    def __init__(self, settings: LoadBudgetSettings) -> None:
        self._settings = settings
        self._tokens = 0.0
        self._refilled_at: float | None = None
        self._started_at = 0.0
        self._lapses: dict[_GrantKey, float] = {}
        # Loads that may be in transit. Halved when loads are slow, because a slow store only gets
        # longer queues from more loads, and raised by one with each fast load.
        self._window = float(settings.max_in_transit)
        self._narrowed_at = -math.inf
        # Holders by their last call, the oldest first.
        self._pending: dict[_Holder, _HolderRequests] = {}
        # Ranks of all pending wishes in ascending order, so that a call needs no scan of them.
        self._ranks: list[float] = []

    @property
    def loads_in_progress(self) -> int:
        """Grants that have neither ended nor lapsed as of the last call."""
        return len(self._lapses)

    def acquire(
        self,
        upstream: UpstreamName,
        incarnation: Incarnation,
        load_requests: Sequence[LoadRequest],
        now: float,
    ) -> BrokerGrant:
        """Grant the wishes that the budget allows; they replace the caller's earlier ones.

        A wish that is already granted is granted again at no cost, because the reply to an
        earlier call may have been lost.
        """
        self._advance(now)
        holder = (upstream, incarnation)
        repeated = [
            request.number for request in load_requests if (*holder, request.number) in self._lapses
        ]
        fresh = [request for request in load_requests if request.number not in repeated]
        self._remember(holder, fresh, now)
        granted = list(repeated)
        refused: list[tuple[LoadRequest, int]] = []
        for request in sorted(fresh, key=lambda request: -request.utility):
            ahead = self._count_ahead(holder, request.adapter)
            if self._free() >= ahead + 1 or self._is_overflowing(now):
                granted.append(self._grant(holder, request, now))
            else:
                refused.append((request, ahead))
        retry = min((self._retry_after(ahead) for _, ahead in refused), default=0.0)
        return BrokerGrant(tuple(granted), retry)

    def release(
        self, upstream: UpstreamName, incarnation: Incarnation, numbers: Iterable[int], now: float
    ) -> None:
        """End grants before they lapse; unknown ones are ignored."""
        self._advance(now)
        for number in numbers:
            lapse = self._lapses.pop((upstream, incarnation, number), None)
            if lapse is None:
                continue
            granted_at = lapse - self._settings.grant_ttl_s
            if now - granted_at > SLOW_LOAD_S:
                self._narrow(granted_at, now)
            else:
                self._window = min(self._window + 1.0, self._settings.max_in_transit)

    def _advance(self, now: float) -> None:
        if self._refilled_at is None:
            self._refilled_at = now
            self._started_at = now
        elapsed = max(now - self._refilled_at, 0.0)
        self._tokens = min(self._tokens + elapsed * self._settings.loads_per_s, self._burst(now))
        self._refilled_at = max(now, self._refilled_at)
        for key in [key for key, lapse in self._lapses.items() if lapse <= now]:
            self._narrow(self._lapses.pop(key) - self._settings.grant_ttl_s, now)
        while self._pending:
            holder = next(iter(self._pending))
            if self._pending[holder].seen + LOAD_REQUEST_TTL_S >= now:
                break
            self._forget(holder)

    def _narrow(self, granted_at: float, now: float) -> None:
        # A load that was granted before the last change says nothing about the window since.
        if granted_at < self._narrowed_at:
            return
        lowest = min(self._settings.burst, self._settings.max_in_transit)
        self._window = max(self._window / 2, lowest)
        self._narrowed_at = now

    def _free(self) -> int:
        room = int(self._window) - len(self._lapses)
        return max(min(int(self._tokens + 1e-9), room), 0)

    def _is_overflowing(self, now: float) -> bool:
        # A token held back beyond the burst is lost to everyone.
        return self._free() > 0 and self._tokens >= self._burst(now) - 1e-9

    def _burst(self, now: float) -> float:
        # Grants of an earlier broker may still be in transit when a new one starts.
        is_new = now - self._started_at < self._settings.grant_ttl_s
        return 1.0 if is_new else float(self._settings.burst)

    def _remember(self, holder: _Holder, load_requests: Sequence[LoadRequest], now: float) -> None:
        earlier = self._forget(holder)
        if not load_requests:
            return
        entries: dict[str, _Pending] = {}
        for request in load_requests:
            known = earlier.get(request.adapter)
            first_seen = known.first_seen if known is not None else now
            rank = request.utility * (1.0 + (now - first_seen) // AGEING_S)
            if request.adapter in entries:
                self._remove_rank(entries[request.adapter].rank)
            entries[request.adapter] = _Pending(first_seen, rank)
            bisect.insort(self._ranks, rank)
        self._pending[holder] = _HolderRequests(now, entries)

    def _forget(self, holder: _Holder) -> dict[str, _Pending]:
        load_requests = self._pending.pop(holder, None)
        if load_requests is None:
            return {}
        for entry in load_requests.by_adapter.values():
            self._remove_rank(entry.rank)
        return load_requests.by_adapter

    def _remove_rank(self, rank: float) -> None:
        del self._ranks[bisect.bisect_left(self._ranks, rank)]

    def _count_ahead(self, holder: _Holder, adapter: str) -> int:
        entry = self._pending[holder].by_adapter.get(adapter)
        if entry is None:
            # A second wish for an adapter that this call has granted goes last.
            return len(self._ranks)
        return len(self._ranks) - bisect.bisect_right(self._ranks, entry.rank)

    def _grant(self, holder: _Holder, request: LoadRequest, now: float) -> int:
        self._tokens -= 1.0
        self._lapses[(*holder, request.number)] = now + self._settings.grant_ttl_s
        entry = self._pending[holder].by_adapter.pop(request.adapter, None)
        if entry is not None:
            self._remove_rank(entry.rank)
        return request.number

    def _retry_after(self, ahead: int) -> float:
        missing = ahead + 1 - self._tokens
        wait = missing / self._settings.loads_per_s
        return min(max(wait, MIN_RETRY_S), MAX_RETRY_S)


@final
class LocalLoadShare:
    """The rate of one sidecar while it reaches no broker: an equal share of the region's."""

    def __init__(self, settings: LoadBudgetSettings, upstream_count: int) -> None:
        self._rate = settings.loads_per_s / max(upstream_count, 1)
        # Starts without a token: otherwise all sidecars that lose the broker load at once.
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def try_take(self, now: float) -> bool:
        """Take one load from the share, if there is one."""
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
