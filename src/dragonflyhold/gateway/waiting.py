"""Tracks the requests that wait for an adapter and sends the demand to the engines' agents."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable, Sequence
from typing import final

from dragonflyhold.fairness import AccountShare, AccountTag, Claim, summarize_claims
from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.messages import AdapterDemand, DemandUpdate
from dragonflyhold.gateway.model import ModelAdapter, UpstreamId
from dragonflyhold.ids import Version


@final
@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits; ``ready`` is set when its upstream should be chosen again."""

    target: ModelAdapter
    upstream_id: UpstreamId
    utility: float
    # Monotonic time by which the load must be complete to answer the request in time.
    in_time_until: float
    ready: asyncio.Event
    # For whom it waits, ``None`` under a configuration without accounts.
    claim: Claim | None = None


@final
@dataclasses.dataclass(slots=True)
class _AdapterCounts:
    waiters: set[Waiter] = dataclasses.field(default_factory=set)
    running: int = 0
    started: int = 0

    @property
    def is_unused(self) -> bool:
        return not self.waiters and self.running == 0


@final
class DemandTracker:
    """Counts requests by upstream and adapter; sends changes once per event loop iteration."""

    def __init__(
        self,
        newest_version: Callable[[ModelAdapter], Version],
        send: Callable[[UpstreamId, DemandUpdate], None],
        call_soon: Callable[[Callable[[], None]], object],
        clock: Callable[[], float] = monotonic_now,
        need: Callable[[AccountTag, float], float] = lambda account, now: 0.0,
    ) -> None:
        self._clock = clock
        self._need = need
        self._newest_version = newest_version
        self._send = send
        self._call_soon = call_soon
        self._counts: dict[UpstreamId, dict[ModelAdapter, _AdapterCounts]] = {}
        self._waiters: dict[ModelAdapter, set[Waiter]] = {}
        self._waiting_at: collections.Counter[UpstreamId] = collections.Counter()
        self._changed: dict[UpstreamId, set[ModelAdapter]] = {}
        self._is_flush_scheduled = False

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(waiters) for waiters in self._waiters.values())

    def add_waiter(self, waiter: Waiter) -> None:
        """Add a waiting request."""
        self._mark_changed(waiter.upstream_id, waiter.target).waiters.add(waiter)
        self._waiters.setdefault(waiter.target, set()).add(waiter)
        self._waiting_at[waiter.upstream_id] += 1

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a waiting request."""
        self._mark_changed(waiter.upstream_id, waiter.target).waiters.discard(waiter)
        waiters = self._waiters.get(waiter.target)
        if waiters is not None:
            waiters.discard(waiter)
            if not waiters:
                del self._waiters[waiter.target]
        self._waiting_at[waiter.upstream_id] -= 1
        if not self._waiting_at[waiter.upstream_id]:
            del self._waiting_at[waiter.upstream_id]

    def request_started(self, upstream_id: UpstreamId, target: ModelAdapter) -> None:
        """Count a request that is sent to an upstream."""
        counts = self._mark_changed(upstream_id, target)
        counts.running += 1
        counts.started += 1

    def request_ended(self, upstream_id: UpstreamId, target: ModelAdapter) -> None:
        """Count a request that ended at an upstream."""
        counts = self._mark_changed(upstream_id, target)
        counts.running = max(0, counts.running - 1)

    def running_count(self, upstream_id: UpstreamId, target: ModelAdapter) -> int:
        """Return how many requests of this gateway use an adapter at an upstream."""
        counts = self._counts.get(upstream_id, {}).get(target)
        return counts.running if counts is not None else 0

    def notify_target_waiters(self, target: ModelAdapter) -> None:
        """Notify the requests that wait for an adapter at any upstream."""
        for waiter in self._waiters.get(target, ()):
            waiter.ready.set()

    def notify_upstream_waiters(self, upstream_id: UpstreamId) -> None:
        """Notify all requests that wait at an upstream."""
        for counts in self._counts.get(upstream_id, {}).values():
            for waiter in counts.waiters:
                waiter.ready.set()

    def transfer_demand(self, old: UpstreamId, new: UpstreamId) -> None:
        """Replace an old incarnation's counts at its agent by those of the new incarnation.

        Requests that wait at the old incarnation are notified, so that they choose again.
        """
        self.notify_upstream_waiters(old)
        for target in list(self._counts.get(old, {})):
            self._mark_changed(new, target)

    def remove_upstream(self, upstream_id: UpstreamId) -> None:
        """Drop the counts of a removed upstream and notify the requests that wait there."""
        self.notify_upstream_waiters(upstream_id)
        table = self._counts.get(upstream_id)
        if table is not None and all(counts.is_unused for counts in table.values()):
            del self._counts[upstream_id]

    def has_upstream_waiters(self, upstream_id: UpstreamId) -> bool:
        """Return whether any request waits at an upstream."""
        return self._waiting_at.get(upstream_id, 0) > 0

    def has_waiters(self, target: ModelAdapter) -> bool:
        """Return whether any request waits for an adapter."""
        return target in self._waiters

    def snapshot(self, upstream_id: UpstreamId) -> DemandUpdate:
        """Return the whole demand at an upstream, to send on a new link."""
        table = self._counts.get(upstream_id, {})
        return self._build_update(upstream_id, list(table))

    def _mark_changed(self, upstream_id: UpstreamId, target: ModelAdapter) -> _AdapterCounts:
        self._changed.setdefault(upstream_id, set()).add(target)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._call_soon(self._flush)
        return self._counts.setdefault(upstream_id, {}).setdefault(target, _AdapterCounts())

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        changed, self._changed = self._changed, {}
        for upstream_id, targets in changed.items():
            self._send(upstream_id, self._build_update(upstream_id, targets))

    def _build_update(
        self, upstream_id: UpstreamId, targets: Iterable[ModelAdapter]
    ) -> DemandUpdate:
        table = self._counts.get(upstream_id, {})
        demands = []
        for target in targets:
            counts = table.get(target) or _AdapterCounts()
            demands.append(
                AdapterDemand(
                    key=target,
                    version=self._newest_version(target),
                    waiting=len(counts.waiters),
                    utility=sum(waiter.utility for waiter in counts.waiters),
                    running=counts.running,
                    started=counts.started,
                    slack_s=round(self._slack(counts.waiters), 3),
                    shares=self._shares(counts.waiters),
                )
            )
        return DemandUpdate(demands)

    def _slack(self, waiters: Iterable[Waiter]) -> float:
        latest = max((waiter.in_time_until for waiter in waiters), default=0.0)
        return max(0.0, latest - self._clock())

    def _shares(self, waiters: Iterable[Waiter]) -> Sequence[AccountShare]:
        claims = [(waiter.claim, waiter.utility) for waiter in waiters if waiter.claim is not None]
        if not claims:
            return ()
        now = self._clock()
        return summarize_claims(claims, lambda account: self._need(account, now))
