"""Chooses the upstream of each request from the state known of all upstreams; does no I/O."""

import dataclasses
import itertools
import math
import random
from collections.abc import Callable, Collection, Sequence
from typing import final

from dragonflyhold.balancing import (
    ArrivalRate,
    Basis,
    Candidate,
    LoadRow,
    RequestSizes,
    choose,
    choose_for_key,
    unevenness,
)
from dragonflyhold.gateway.messages import AgentHeartbeat, EngineUpdate
from dragonflyhold.gateway.model import ModelAdapter, ServerLoad, Upstream, UpstreamId
from dragonflyhold.gateway.send_gates import SendGates, SendState
from dragonflyhold.gateway.stream_origins import StreamOrigin
from dragonflyhold.gateway.upstream_index import UpstreamIndex, hash_target, rank
from dragonflyhold.gateway.upstream_view import MAX_SUSPENSION_S, MIN_SUSPENSION_S, UpstreamView
from dragonflyhold.hashing import hash64
from dragonflyhold.ids import DataCentre, ServiceName, Version

# Weight of the latest time to the first byte in an upstream's moving average.
FIRST_BYTE_WEIGHT = 0.1
# Weight of the latest outcome in an upstream's failure rate.
FAILURE_WEIGHT = 0.2
# Requests deducted from the load of upstreams in the same data centre: traffic between data
# centres is charged, but waiting costs more.
LOCAL_BONUS_REQUESTS = 0.5
# Time for which a new engine gets no requests until its agent reports. The registry's list of its
# adapters is older than such a report, and the engine is empty after a restart of all VMs.
AGENT_WAIT_S = 0.6
# Additional adapters that may wait at an adapter's preferred upstream before the next one in the
# ranking is used: that one has to fetch the adapter from the weight store, which takes ten times
# as long and is charged.
STORE_LOAD_COST = 3.0
# An upstream whose batch is filled beyond REPLICA_LOAD_SHARE gets replicas of its popular adapters
# on upstreams with less than REPLICA_LOAD_RATIO of its work and enough free adapter slots.
REPLICA_LOAD_SHARE = 0.3
REPLICA_LOAD_RATIO = 0.5
REPLICA_MIN_FREE_SLOTS = 3
# Free adapter slots beyond this many do not improve an upstream's rank.
MAX_COUNTED_FREE_SLOTS = 2
# Number of upstreams, the first ones of an adapter's ranking, among which the one that loads the
# adapter is chosen.
MAX_LOAD_CANDIDATES = 8
# Load, relative to its slots, at which an upstream that is not slower takes twice as long for
# another request as an idle one, with what that one adds to the time of the others.
DOUBLING_LOAD = 0.3
# Time for which a service without memory for a request is not searched again: many requests wait
# for room at once, and each looks at all upstreams.
FULL_S = 0.02
# Upstreams drawn of a larger service, among which a request without an adapter goes to the best.
MAX_DRAWN = 32


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SendNow:
    """Send the request to this upstream; its adapter, if any, is resident there."""

    upstream_id: UpstreamId
    # Version of the resident adapter, ``None`` for requests without an adapter.
    version: Version | None
    # What decided among the upstreams that could serve the request.
    basis: Basis | None = dataclasses.field(default=None, compare=False)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaitFor:
    """Wait until this upstream has loaded the adapter."""

    upstream_id: UpstreamId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """No upstream can accept the request now."""

    known_upstreams: int
    # Monotonic time at which one of them takes a request again, ``None`` if none states it.
    free_at: float | None = None
    # Whether that one has turned requests away; else it has stated a limit.
    is_turned_away: bool = False
    # Whether upstreams of the service have stated that they leave, and no other one is left.
    all_leave: bool = False
    # Whether no upstream is left that may go on with the stream, though others are.
    is_version_gone: bool = False
    # Whether an upstream that is available otherwise has no memory for the request.
    is_memory_full: bool = False


Choice = SendNow | WaitFor | NoUpstream


@final
class UpstreamTable:
    """All upstreams known to this gateway, by id."""

    def __init__(self, data_centre: DataCentre, rng: random.Random) -> None:
        self.views: dict[UpstreamId, UpstreamView] = {}
        self.gates = SendGates()
        # Returns the monotonic time of the last read of the registry; set by the gateway.
        self.registry_read_at: Callable[[], float | None] = lambda: None
        # Returns the number of gateways, which all send to the same upstreams; set by the gateway.
        self.count_gateways: Callable[[], int] = lambda: 1
        # Rates of this gateway's requests by service.
        self._arrivals: dict[ServiceName, ArrivalRate] = {}
        self._sizes = RequestSizes()
        # Services whose upstreams state how long work takes on machines that they share.
        self._on_shared_machines: set[ServiceName] = set()
        # Monotonic time at which a service last had no memory for a request, and its tokens.
        self._full: dict[ServiceName, tuple[float, int]] = {}
        self._index = UpstreamIndex()
        self._data_centre = data_centre
        self._rng = rng

    def put(self, upstream: Upstream, has_agent: bool = False, now: float = 0.0) -> bool:
        """Add or update an upstream; return whether this is a new incarnation."""
        view = self.views.get(upstream.upstream_id)
        if view is not None and view.upstream.start_time_ms == upstream.start_time_ms:
            self._replace_entry(view, upstream)
            return False
        self.remove(upstream.upstream_id)
        view = UpstreamView(upstream, upstream.ip, hash64(upstream.address.encode()))
        view.gate = self.gates.find(upstream)
        view.resident = dict(upstream.adapters)
        if has_agent:
            view.agent_awaited_until = now + AGENT_WAIT_S
        self.views[upstream.upstream_id] = view
        self._index.add(view)
        return True

    def _replace_entry(self, view: UpstreamView, upstream: Upstream) -> None:
        old, view.upstream = view.upstream, upstream
        if (old.address, old.service) != (upstream.address, upstream.service):
            view.upstream = old
            self._index.remove(view)
            view.upstream, view.ip = upstream, upstream.ip
            view.address_hash = hash64(upstream.address.encode())
            self._index.add(view)

    def remove(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream."""
        view = self.views.pop(upstream_id, None)
        if view is not None:
            self._index.remove(view)
            if not self.count_of_service(view.upstream.service):
                self._arrivals.pop(view.upstream.service, None)
                self._on_shared_machines.discard(view.upstream.service)
                self._full.pop(view.upstream.service, None)

    def apply_update(self, upstream_id: UpstreamId, update: EngineUpdate, now: float) -> None:
        """Apply an agent's report on its engine."""
        view = self.views.get(upstream_id)
        if view is None:
            return
        view.is_linked, view.lost_silently = True, False
        view.reported_alive_at = now
        view.liveness.note_heard(now)
        view.has_model = update.has_model
        view.is_draining = update.is_draining
        view.can_load = update.can_load
        self._index.set_adapters(
            view, dict(update.resident), frozenset((*update.loading, *update.backlog))
        )
        view.loading = frozenset(update.loading)
        view.free_adapter_slots = update.free_adapter_slots
        view.backlog = len(update.backlog)
        view.waiters_since_report = 0
        view.record_load(update.running + update.waiting, now)
        view.memory.note_load(update.running, update.waiting, now)

    def apply_heartbeat(
        self, upstream_id: UpstreamId, heartbeat: AgentHeartbeat, now: float
    ) -> None:
        """Record a heartbeat of the agent on an upstream's VM, and the load in it."""
        view = self.views.get(upstream_id)
        if view is None:
            return
        view.reported_alive_at = now
        view.liveness.note_heard(now)
        if heartbeat.gap_s is not None:
            view.liveness.gap_s = heartbeat.gap_s
            view.watches_pauses = True
        view.is_paced = heartbeat.is_paced
        if heartbeat.running is not None and heartbeat.waiting is not None and view.is_linked:
            view.record_load(heartbeat.running + heartbeat.waiting, now)
            view.memory.note_report(heartbeat.memory, heartbeat.running, heartbeat.waiting, now)

    def note_agent_message(self, upstream_id: UpstreamId, now: float) -> None:
        """Record the time of a message from the agent on an upstream's VM."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.liveness.note_heard(now)

    def silent_upstreams(
        self, has_waiters: Callable[[UpstreamId], bool], now: float
    ) -> list[UpstreamView]:
        """Return the upstreams on which requests depend and whose VM's agent should be pinged."""
        return [
            view
            for view in self.views.values()
            if view.is_linked
            and view.liveness.needs_ping(now)
            and (view.in_flight or has_waiters(view.upstream.upstream_id))
        ]

    def of_service(self, service: ServiceName) -> list[UpstreamView]:
        """Return the upstreams of a service."""
        return self._index.of_service(service)

    def count_of_service(self, service: ServiceName) -> int:
        """Return the number of upstreams of a service."""
        return self._index.count_of_service(service)

    def at_ip(self, ip: str) -> list[UpstreamView]:
        """Return the upstreams on a VM, one for each known incarnation."""
        return self._index.at_ip(ip)

    def is_silent(self, upstream_id: UpstreamId, now: float) -> bool:
        """Return whether a VM's heartbeat is overdue while that of another one is not."""
        view = self.views.get(upstream_id)
        return view is not None and view.is_heartbeat_overdue(now) and self._hears_others(now)

    def is_ending(self, upstream: Upstream, now: float) -> bool:
        """Return whether an incarnation has stated, itself or to its agent, that it leaves."""
        view = self.views.get(upstream.upstream_id)
        return self.gates.find(upstream).state(now) is SendState.LEAVING or (
            view is not None
            and view.is_ending(now)
            and view.upstream.start_time_ms == upstream.start_time_ms
        )

    def _hears_others(self, now: float) -> bool:
        return any(
            view.is_linked and not view.is_heartbeat_overdue(now) for view in self.views.values()
        )

    def is_unreachable(self, upstream_id: UpstreamId, now: float) -> bool:
        """Return whether a VM's agent and engine are both silent while other agents are not."""
        view = self.views.get(upstream_id)
        if view is None or not view.is_linked:
            return False
        return view.liveness.is_unreachable(now) and self._hears_others(now)

    def choose(
        self,
        service: ServiceName,
        target: ModelAdapter | None,
        min_version: Version,
        now: float,
        excluded: Collection[UpstreamId] = (),
        origin: StreamOrigin | None = None,
        tokens: int = 0,
    ) -> Choice:
        """Choose an upstream that has version ``min_version`` or newer, or one that may load it.

        ``tokens`` is the memory that the request will hold at an engine. A stream that began
        elsewhere goes on only where its ``origin`` allows it.
        """
        is_free = not excluded and origin is None
        if is_free and self._is_full(service, tokens, now):
            return NoUpstream(self.count_of_service(service), is_memory_full=True)
        if target is not None:
            choice = self._choose_for_adapter(
                service, target, min_version, now, excluded, origin, tokens
            )
            if isinstance(choice, SendNow):
                return choice
            if origin is not None and self._awaits_holder(target, min_version, origin, now):
                return NoUpstream(self.count_of_service(service))
            if choice is not None:
                return choice
        views = self.of_service(service)
        if target is None and len(views) > MAX_DRAWN:
            drawn = self._rng.sample(views, MAX_DRAWN)
            responsive = [
                view
                for view in self._available(drawn, now, excluded, origin)
                if not view.is_heartbeat_overdue(now)
                and _may_begin(view, origin, now)
                and self._has_room(view, tokens, now)
            ]
            if responsive:
                return self._send_evenly(responsive, None, now)
        available = self._available(views, now, excluded, origin)
        with_room = [view for view in available if self._has_room(view, tokens, now)]
        if available and not with_room:
            if is_free:
                self._full[service] = (now, tokens)
            return NoUpstream(len(views), is_memory_full=True)
        available = with_room
        available = [view for view in available if _may_begin(view, origin, now)] or available
        # If the heartbeats of all of them are overdue, this process has not read for a while.
        available = [view for view in available if not view.is_heartbeat_overdue(now)] or available
        if not available:
            return self._describe_lack(service, now, excluded, origin)
        if target is None:
            return self._send_evenly(available, None, now)
        holders = [view for view in available if view.resident.get(target, -1) >= min_version]
        if holders:
            return self._send_evenly(holders, target, now)
        loadable = [view for view in available if view.is_linked and view.can_load]
        loadable = [view for view in loadable if not view.is_limited(now)] or loadable
        if not loadable:
            return NoUpstream(self.count_of_service(service))
        best = _cheapest(rank(loadable, target, MAX_LOAD_CANDIDATES), now)
        return WaitFor(best.upstream.upstream_id)

    def _is_full(self, service: ServiceName, tokens: int, now: float) -> bool:
        """Return whether a request of no more tokens has found no memory just now."""
        at, least = self._full.get(service, (-math.inf, 0))
        return now - at < FULL_S and tokens >= least

    def _has_room(self, view: UpstreamView, tokens: int, now: float) -> bool:
        """Return whether a request fits into an engine's memory, with those of all gateways.

        Engines on machines of their own make room themselves: they interrupt requests.
        """
        if view.upstream.service not in self._on_shared_machines or not view.memory.is_known(now):
            return True
        others_per_s = self._others_per_s([view], now)
        return view.memory.fits(tokens, self._sizes, others_per_s, now)

    def _available(
        self,
        views: Sequence[UpstreamView],
        now: float,
        excluded: Collection[UpstreamId],
        origin: StreamOrigin | None,
    ) -> list[UpstreamView]:
        return [
            view
            for view in views
            if view.upstream.upstream_id not in excluded
            and view.is_available(now)
            and (origin is None or self._may_go_on(view, origin, now))
        ]

    def _may_go_on(self, view: UpstreamView, origin: StreamOrigin, now: float) -> bool:
        """Return whether a stream may go on at an upstream that is known to run still."""
        return origin.allows(view.upstream) and view.is_confirmed(now, self.registry_read_at())

    def is_confirmed(self, upstream: Upstream, now: float) -> bool:
        """Return whether an incarnation is known to run still."""
        view = self._current(upstream.incarnation_id)
        return view is not None and view.is_confirmed(now, self.registry_read_at())

    def has_run_since(self, incarnation: str, at: float) -> bool | None:
        """Return whether what ran at a monotonic time was this incarnation, ``None`` if unclear."""
        view = self._current(incarnation)
        if view is None:
            return False
        return True if view.is_known_after(at, self.registry_read_at()) else None

    def _current(self, incarnation: str) -> UpstreamView | None:
        view = self.views.get(UpstreamId(incarnation.rpartition("@")[0]))
        if view is None or view.is_superseded:
            return None
        return view if view.upstream.incarnation_id == incarnation else None

    def _awaits_holder(
        self, target: ModelAdapter, min_version: Version, origin: StreamOrigin, now: float
    ) -> bool:
        """Return whether an upstream can soon go on with a stream without loading its adapter."""
        return any(
            view.resident.get(target, -1) >= min_version
            and origin.allows(view.upstream)
            and view.is_linked
            and view.is_available(now)
            and not view.is_heartbeat_overdue(now)
            and not view.is_confirmed(now, self.registry_read_at())
            for view in self._index.holders(target)
        )

    def choose_again(
        self,
        service: ServiceName,
        target: ModelAdapter | None,
        min_version: Version,
        now: float,
        tried: Collection[UpstreamId],
        origin: StreamOrigin | None = None,
        tokens: int = 0,
    ) -> Choice:
        """Choose an upstream; use one that was tried only if no other can start at once."""
        # Once all upstreams have been tried, any may be tried again.
        excluded = tried if len(tried) < self.count_of_service(service) else ()
        choice = self.choose(service, target, min_version, now, excluded, origin, tokens)
        if isinstance(choice, SendNow) or not tried:
            return choice
        again = self.choose(service, target, min_version, now, (), origin, tokens)
        return again if isinstance(again, SendNow) else choice

    def _describe_lack(
        self,
        service: ServiceName,
        now: float,
        excluded: Collection[UpstreamId],
        origin: StreamOrigin | None,
    ) -> NoUpstream:
        """Return what is known of a service none of whose upstreams takes a request now."""
        all_views = self.of_service(service)
        views = [view for view in all_views if origin is None or origin.allows(view.upstream)]
        times = [
            (free_at, not view.gate.may_send(now))
            for view in views
            if not (view.upstream.upstream_id in excluded and view.gate.may_send(now))
            and (free_at := view.free_at(now)) is not None
            and free_at > now
        ]
        free_at, is_turned_away = min(times, default=(None, False))
        all_leave = all(view.is_past(now) for view in views) and any(
            view.is_ending(now) for view in views
        )
        is_version_gone = origin is not None and self._has_only_others(all_views, origin, now)
        return NoUpstream(len(views), free_at, is_turned_away, all_leave, is_version_gone)

    def _has_only_others(
        self, views: Sequence[UpstreamView], origin: StreamOrigin, now: float
    ) -> bool:
        """Return whether all upstreams that are left are known to be of other versions.

        If none is left at all, the next one may be of any version.
        """
        left = [view.upstream for view in views if not view.is_past(now)]
        return bool(left) and not any(
            origin.allows(upstream) or upstream.software is None for upstream in left
        )

    def _choose_for_adapter(
        self,
        service: ServiceName,
        target: ModelAdapter,
        min_version: Version,
        now: float,
        excluded: Collection[UpstreamId],
        origin: StreamOrigin | None,
        tokens: int,
    ) -> SendNow | WaitFor | None:
        """Choose among the upstreams that the indexes name; ``None`` if none of them is usable.

        An upstream that holds the adapter comes first, then one that is loading it or where
        requests wait for it. Otherwise an adapter stays on the same upstream, as its VM may have it
        host-cached, unless the wait for an adapter slot there exceeds that on another one by more
        than ``STORE_LOAD_COST`` allows. Upstreams that have stated a limit lately come last.
        """

        def is_usable(view: UpstreamView) -> bool:
            return (
                view.upstream.service == service
                and view.upstream.upstream_id not in excluded
                and view.is_available(now)
                and not view.is_heartbeat_overdue(now)
                and _may_begin(view, origin, now)
                and (origin is None or self._may_go_on(view, origin, now))
                and self._has_room(view, tokens, now)
            )

        holders = [
            view
            for view in self._index.holders(target)
            if view.resident.get(target, -1) >= min_version and is_usable(view)
        ]
        if holders:
            return self._send_evenly(holders, target, now)
        awaited = [
            view
            for view in self._index.awaited_at(target)
            if view.is_linked and view.can_load and not view.is_limited(now) and is_usable(view)
        ]
        if awaited:
            return WaitFor(rank(awaited, target, 1)[0].upstream.upstream_id)
        candidates = itertools.islice(
            (
                view
                for view in self._index.ranking(service, target)
                if view.is_linked and view.can_load and not view.is_limited(now) and is_usable(view)
            ),
            MAX_LOAD_CANDIDATES,
        )
        ranked = list(candidates)
        return WaitFor(_cheapest(ranked, now).upstream.upstream_id) if ranked else None

    def _send_evenly(
        self, views: Sequence[UpstreamView], target: ModelAdapter | None, now: float
    ) -> SendNow:
        """Send to one of the upstreams, so that requests of all gateways load them evenly."""
        candidates = [self._candidate(view, now) for view in views]
        # All data centres are assumed to send the same number of requests.
        near_share = 1.0 / len({view.upstream.data_centre for view in views})
        others_per_s = self._others_per_s(views, now)
        chosen, basis = choose(candidates, others_per_s, self._rng, near_share)
        view = views[chosen]
        version = None if target is None else view.resident[target]
        return SendNow(view.upstream.upstream_id, version, basis)

    def _candidate(self, view: UpstreamView, now: float) -> Candidate:
        slots, load = view.upstream.slots, view.load(now)
        is_local = view.upstream.data_centre == self._data_centre
        bonus = LOCAL_BONUS_REQUESTS / slots if is_local else 0.0
        slowness = view.slowness.now(now)
        handicap = (
            view.gate.return_load(now)
            - bonus
            + 2.0 * view.current_failure_rate(now)
            + DOUBLING_LOAD * (slowness - 1.0)
        )
        capacity = slots / slowness
        if not view.has_report(now):
            return Candidate(0, load, capacity, handicap=handicap, is_near=is_local)
        reported, age_s = view.reported_requests, now - view.reported_at
        return Candidate(reported, load - reported, capacity, age_s, handicap, is_local)

    def _others_per_s(self, views: Sequence[UpstreamView], now: float) -> float:
        """Return the rate at which all other gateways send to one of the upstreams.

        They are assumed to send as this gateway does: evenly over the service, or more to the
        holders of a popular adapter.
        """
        others = self.count_gateways() - 1
        if others <= 0:
            return 0.0
        service = views[0].upstream.service
        arrivals = self._arrivals.get(service)
        mean = arrivals.per_s(now) / self.count_of_service(service) if arrivals else 0.0
        own = sum(view.sends.per_s(now) for view in views) / len(views)
        return others * max(mean, own)

    def unevenness(self, now: float) -> float:
        """Return the highest known load relative to the mean, of the least even service."""
        by_service: dict[ServiceName, list[Candidate]] = {}
        for view in self.views.values():
            if view.has_report(now) and view.is_usable(now):
                capacity = view.upstream.slots / view.slowness.mean(now)
                candidate = Candidate(view.load(now), 0, capacity)
                by_service.setdefault(view.upstream.service, []).append(candidate)
        return max((unevenness(candidates) for candidates in by_service.values()), default=1.0)

    def note_waiting(self, upstream_id: UpstreamId) -> None:
        """Count a request that begins to wait at an upstream, until its agent's next report."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.waiters_since_report += 1

    def choose_replica_upstream(
        self, service: ServiceName, target: ModelAdapter, holder: UpstreamId, now: float
    ) -> UpstreamId | None:
        """Return the upstream that should load a replica if the adapter's holder is overloaded.

        Without replicas, popular adapters fill the batch of one upstream while others, above all
        restarted ones, are idle.
        """
        holder_view = self.views[holder]
        holder_work = holder_view.work(now)
        if holder_work < REPLICA_LOAD_SHARE * holder_view.upstream.slots:
            return None
        others = [
            view
            for view in self.of_service(service)
            if view.is_linked
            and not view.is_limited(now)
            and view.is_available(now)
            and view.free_adapter_slots - view.waiters_since_report >= REPLICA_MIN_FREE_SLOTS
            and view.work(now) < REPLICA_LOAD_RATIO * holder_work
        ]
        if not others or any(target in view.resident for view in others):
            return None
        chosen = choose_for_key(
            [self._candidate(view, now) for view in others],
            [view.address_hash for view in others],
            hash_target(target),
            self._others_per_s(others, now),
        )
        return others[chosen].upstream.upstream_id

    # Outcomes of requests

    def request_started(self, upstream_id: UpstreamId, now: float, tokens: int = 0) -> None:
        """Count a request that is sent to an upstream and holds so many tokens there."""
        view = self.views.get(upstream_id)
        if view is not None:
            # Where the memory is unknown, any size that a client states is sent.
            if view.memory.is_known(now):
                self._sizes.note(tokens)
            view.in_flight += 1
            view.sends.note(now)
            view.memory.note_started(tokens)
            self._arrivals.setdefault(view.upstream.service, ArrivalRate()).note(now)
            if view.awaiting_since is None:
                view.awaiting_since = now

    def note_received(self, upstream_id: UpstreamId, now: float) -> None:
        """Record the time at which bytes arrived from an upstream."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.last_received_at = now
            view.lost_silently = False
            view.liveness.note_heard(now)
            if view.awaiting_since is not None:
                view.awaiting_since = now

    def request_ended(self, upstream_id: UpstreamId, tokens: int = 0) -> None:
        """Count a request that ended at an upstream and held so many tokens there."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.in_flight = max(0, view.in_flight - 1)
            view.memory.note_ended(tokens)
            if view.in_flight == 0:
                view.awaiting_since = None

    def record_outcome(self, upstream_id: UpstreamId, failed: bool, now: float) -> None:
        """Update an upstream's failure rate with an outcome."""
        view = self.views.get(upstream_id)
        if view is None:
            return
        rate = view.current_failure_rate(now)
        view.failure_rate = rate + FAILURE_WEIGHT * ((1.0 if failed else 0.0) - rate)
        view.failure_at = now
        if not failed:
            view.suspension_s = MIN_SUSPENSION_S

    def suspend(self, upstream_id: UpstreamId, now: float) -> None:
        """Suspend an upstream that refused or closed a connection: no new requests for a while."""
        view = self.views.get(upstream_id)
        if view is None or now < view.suspended_until:
            return
        view.suspended_until = now + view.suspension_s
        view.suspension_s = min(view.suspension_s * 2, MAX_SUSPENSION_S)

    def note_broken(self, upstream_id: UpstreamId, now: float) -> None:
        """Record that a connection to an upstream broke: it may have started again."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.broken_at = now

    def note_first_byte(self, upstream_id: UpstreamId, seconds: float) -> None:
        """Update an upstream's moving average of the time to the first byte."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.first_byte_s += FIRST_BYTE_WEIGHT * (seconds - view.first_byte_s)

    def report_load(self, upstream: Upstream, load: ServerLoad, now: float) -> None:
        """Record the load that an incarnation of an upstream reports in a response."""
        view = self._current(upstream.incarnation_id)
        if view is None:
            return
        # Agents report the counts of their engines, with the requests that they hold back.
        if not view.is_linked or load.slowness is not None:
            view.reported_requests = load.other_requests
            view.own_requests_at_report = max(0, view.in_flight - 1)
            view.reported_at = now
        self._note_slowness(view, load.slowness, now)

    def apply_shared_load(self, row: LoadRow, now: float) -> None:
        """Record a load that an upstream without an agent reported to another gateway."""
        view, stated_at = self._current(row.incarnation), now - row.age_s
        if view is None or view.is_linked or stated_at <= view.reported_at:
            return
        view.reported_requests = row.requests
        # Requests sent since the report are few; they count as included in it.
        view.own_requests_at_report = view.in_flight
        view.reported_at = stated_at
        self._note_slowness(view, row.slowness, stated_at)

    def _note_slowness(self, view: UpstreamView, figure: float | None, at: float) -> None:
        if figure is not None:
            self._on_shared_machines.add(view.upstream.service)
            steady = view.slowness.steady
            view.slowness.note(figure, at)
            if view.slowness.steady != steady:
                self._index.note_speed_changed()

    def drop_resident(self, upstream_id: UpstreamId, target: ModelAdapter) -> None:
        """Drop an adapter that an upstream reported as not loaded."""
        view = self.views.get(upstream_id)
        if view is not None:
            self._index.drop_resident(view, target)


def _may_begin(view: UpstreamView, origin: StreamOrigin | None, now: float) -> bool:
    """Return whether a stream goes on, or whether other gateways know the version by now."""
    return origin is not None or now >= view.begins_streams_at


def _cheapest(ranked: Sequence[UpstreamView], now: float) -> UpstreamView:
    """Return the upstream of a ranking that should load the adapter.

    The adapter slots of a slower upstream become free that much later.
    """

    def cost(item: tuple[int, UpstreamView]) -> float:
        position, view = item
        queue_length = view.backlog + view.waiters_since_report
        free_slots = min(view.free_adapter_slots, MAX_COUNTED_FREE_SLOTS)
        wait = queue_length * view.slowness.mean(now) - free_slots
        return wait + min(position, 2) * STORE_LOAD_COST

    return min(enumerate(ranked), key=cost)[1]
