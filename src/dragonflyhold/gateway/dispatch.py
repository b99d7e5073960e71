"""Chooses the runner of each request: pure code over the table of runners."""

import dataclasses
import random
from collections.abc import Collection, Iterable
from typing import final

from dragonflyhold.gateway.messages import EngineUpdate
from dragonflyhold.gateway.model import ModelAdapter, RegistrationState, Upstream, UpstreamId
from dragonflyhold.hashing import combine, hash64
from dragonflyhold.ids import DataCentre, ServiceName, Version

# Pause after a failed connection or a crash before a runner is tried again, doubling.
MIN_SUSPENSION_S = 0.25
MAX_SUSPENSION_S = 2.0
# A runner that owes an answer and sent nothing for this long gets no new work meanwhile.
STALL_TIMEOUT_S = 0.6
# An agent's silence, in seconds, after which its VM gets nothing new: several pulses.
HEARTBEAT_OVERDUE_S = 0.22
# A VM of which neither the agent nor the engine was heard for this long, while others were, is
# dark: nine pulses, and more than an engine's steps with a prompt's part take.
UNREACHABLE_S = 0.45
# Weight of the newest time to the first byte in a runner's mean.
FIRST_BYTE_WEIGHT = 0.1
# Weight of the newest outcome in a runner's failure rate.
FAILURE_WEIGHT = 0.2
# Seconds after which half of a failure rate is forgotten.
FAILURE_HALF_LIFE_S = 3.0
# Requests that a runner in another data centre may run less before it is preferred: bytes between
# data centres have a price, waiting has a higher one.
LOCAL_BONUS_REQUESTS = 0.5
# An agent's numbers older than this no longer count.
MAX_REPORT_AGE_S = 1.5
# A new engine is used without the word of its agent after this long: the registry's word on what
# it holds is older, and after a start of all VMs the engine is empty.
AGENT_WAIT_S = 0.6
# Adapters that may wait more at an adapter's home than at its next choice: the next choice fetches
# it from the weight store, which takes ten times as long and has a price.
STORE_LOAD_COST = 3.0
# Share of a runner's batch from which its popular adapters are copied to runners that have fewer
# requests than this ratio of it, and at least this many free places.
REPLICA_LOAD_SHARE = 0.3
REPLICA_LOAD_RATIO = 0.5
REPLICA_MIN_FREE_SLOTS = 3
# Free places beyond this many make a runner no better.
MAX_COUNTED_FREE_SLOTS = 2


@final
@dataclasses.dataclass(slots=True)
class UpstreamView:
    """What one gateway knows of one runner."""

    upstream: Upstream
    address_hash: int
    is_linked: bool = False
    # Whether an agent said that the engine holds its model.
    has_model: bool = True
    # Whether an agent said that the engine leaves; sooner than the registry does.
    is_draining: bool = False
    can_load: bool = False
    # Whether an agent said that the VM runs a later lifetime of its engine.
    is_superseded: bool = False
    resident: dict[ModelAdapter, Version] = dataclasses.field(default_factory=dict)
    loading: frozenset[ModelAdapter] = frozenset()
    # Adapters that are coming or that some gateway waits for there.
    loading_or_awaited: frozenset[ModelAdapter] = frozenset()
    free_adapter_slots: int = 0
    backlog: int = 0
    # Adapters that this gateway sent there to wait for, beyond what the last update counts.
    waiters_since_report: int = 0
    # Requests of this gateway that the runner has now.
    in_flight: int = 0
    # Requests of all gateways as of ``reported_at``, and of this gateway then.
    reported_requests: int = 0
    own_requests_at_report: int = 0
    reported_at: float = -1e9
    # Mean time from handing a request over to the first byte of its answer, in seconds.
    first_byte_s: float = 0.05
    suspended_until: float = -1e9
    suspension_s: float = MIN_SUSPENSION_S
    failure_rate: float = 0.0
    failure_at: float = 0.0
    # When the agent on the runner's VM was last heard.
    agent_message_at: float = -1e9
    # An engine's state is told by its agent: until when to wait for the first word.
    agent_awaited_until: float = -1e9
    # Monotonic time of the last byte from the runner, and since when it owes an answer.
    last_received_at: float = 0.0
    awaiting_since: float | None = None

    def load(self, now: float) -> float:
        """Return the requests that the runner has, as far as known."""
        if now - self.reported_at > MAX_REPORT_AGE_S:
            return float(self.in_flight)
        return max(
            self.in_flight, self.reported_requests + self.in_flight - self.own_requests_at_report
        )

    def current_failure_rate(self, now: float) -> float:
        """Return the decayed share of failures, 0 to 1."""
        return float(self.failure_rate * 0.5 ** ((now - self.failure_at) / FAILURE_HALF_LIFE_S))

    def is_available(self, now: float) -> bool:
        """Whether new work may go there."""
        return (
            self.upstream.state is RegistrationState.READY
            and self.has_model
            and not self.is_superseded
            and not self.is_draining
            and now >= self.suspended_until
            and (self.is_linked or now >= self.agent_awaited_until)
            and not self.is_stalled(now)
        )

    def is_heartbeat_overdue(self, now: float) -> bool:
        """Whether the VM's agent, linked, has missed its pulses: the VM may stand still."""
        return self.is_linked and now - self.agent_message_at > HEARTBEAT_OVERDUE_S

    def is_stalled(self, now: float) -> bool:
        """Whether the runner owes an answer and has been silent for too long."""
        return (
            self.awaiting_since is not None
            and now - self.awaiting_since > STALL_TIMEOUT_S
            and now - self.last_received_at > STALL_TIMEOUT_S
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SendNow:
    """Hand the request to this runner; its adapter, if any, is in place."""

    upstream_id: UpstreamId
    # Version of the adapter in place, ``None`` for requests without an adapter.
    version: Version | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaitFor:
    """Wait until this runner has loaded the adapter."""

    upstream_id: UpstreamId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """No runner can take the request now."""

    known_upstreams: int


Choice = SendNow | WaitFor | NoUpstream


@final
class UpstreamTable:
    """All runners that this gateway knows, by id."""

    def __init__(self, data_centre: DataCentre, rng: random.Random) -> None:
        self.views: dict[UpstreamId, UpstreamView] = {}
        self._data_centre = data_centre
        self._rng = rng

    def put(self, upstream: Upstream, has_agent: bool = False, now: float = 0.0) -> bool:
        """Add or change a runner; return whether this is a new lifetime."""
        view = self.views.get(upstream.upstream_id)
        if view is not None and view.upstream.start_time_ms == upstream.start_time_ms:
            view.upstream = upstream
            return False
        view = UpstreamView(upstream, hash64(upstream.address.encode()))
        view.resident = dict(upstream.adapters)
        if has_agent:
            view.agent_awaited_until = now + AGENT_WAIT_S
        self.views[upstream.upstream_id] = view
        return True

    def remove(self, upstream_id: UpstreamId) -> None:
        """Forget a runner."""
        self.views.pop(upstream_id, None)

    def apply_update(self, upstream_id: UpstreamId, update: EngineUpdate, now: float) -> None:
        """Take in what an agent says of its engine."""
        view = self.views.get(upstream_id)
        if view is None:
            return
        view.is_linked = True
        view.agent_message_at = now
        view.has_model = update.has_model
        view.is_draining = update.is_draining
        view.can_load = update.can_load
        view.resident = dict(update.resident)
        view.loading_or_awaited = frozenset((*update.loading, *update.backlog))
        view.loading = frozenset(update.loading)
        view.free_adapter_slots = update.free_adapter_slots
        view.backlog = len(update.backlog)
        view.waiters_since_report = 0
        view.reported_requests = update.running + update.waiting
        view.own_requests_at_report = view.in_flight
        view.reported_at = now

    def note_agent_message(self, upstream_id: UpstreamId, now: float) -> None:
        """Note a message from the agent beside a runner."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.agent_message_at = now

    def of_service(self, service: ServiceName) -> list[UpstreamView]:
        """Return the runners of a service."""
        return [view for view in self.views.values() if view.upstream.service == service]

    def is_unreachable(self, upstream_id: UpstreamId, now: float) -> bool:
        """Whether a VM is silent as a whole, its agent and its engine, while other VMs are not."""
        view = self.views.get(upstream_id)
        if view is None or not view.is_linked:
            return False
        silent_s = now - max(view.agent_message_at, view.last_received_at)
        return silent_s > UNREACHABLE_S and any(
            other.is_linked and not other.is_heartbeat_overdue(now) for other in self.views.values()
        )

    def choose(
        self,
        service: ServiceName,
        target: ModelAdapter | None,
        min_version: Version,
        now: float,
        excluded: Collection[UpstreamId] = (),
    ) -> Choice:
        """Choose an upstream that has version ``min_version`` or newer, or one that may load it."""
        views = self.of_service(service)
        available = [
            view
            for view in views
            if view.upstream.upstream_id not in excluded and view.is_available(now)
        ]
        # With all of them quiet it is this process that has not read for a while.
        available = [view for view in available if not view.is_heartbeat_overdue(now)] or available
        if not available:
            return NoUpstream(len(views))
        if target is None:
            return SendNow(self._least_loaded(available, now).upstream.upstream_id, None)
        holders = [view for view in available if view.resident.get(target, -1) >= min_version]
        if holders:
            best = self._least_loaded(holders, now)
            return SendNow(best.upstream.upstream_id, best.resident[target])
        loadable = [view for view in available if view.is_linked and view.can_load]
        if not loadable:
            return NoUpstream(len(views))
        preferred = self._preferred_upstream(loadable, target)
        return WaitFor(preferred.upstream.upstream_id)

    def note_waiting(self, upstream_id: UpstreamId) -> None:
        """Count a request that goes to wait at a runner, until the runner's next update."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.waiters_since_report += 1

    def choose_replica_upstream(
        self, service: ServiceName, target: ModelAdapter, holder: UpstreamId, now: float
    ) -> UpstreamId | None:
        """Return the runner that should hold a copy of an adapter whose holder has too much.

        Popular adapters fill one runner's batch while others, restarted ones above all, are empty.
        """
        holder_view = self.views[holder]
        if holder_view.load(now) < REPLICA_LOAD_SHARE * holder_view.upstream.slots:
            return None
        others = [
            view
            for view in self.of_service(service)
            if view.is_linked
            and view.is_available(now)
            and view.free_adapter_slots - view.waiters_since_report >= REPLICA_MIN_FREE_SLOTS
            and view.load(now) < REPLICA_LOAD_RATIO * holder_view.load(now)
        ]
        if not others or any(target in view.resident for view in others):
            return None
        return min(others, key=lambda view: view.load(now)).upstream.upstream_id

    def _preferred_upstream(
        self, views: Iterable[UpstreamView], target: ModelAdapter
    ) -> UpstreamView:
        """Return the runner that loads an adapter.

        The same adapter goes to the same runner as long as that one has room, so that it finds
        the copy that the runner's VM kept; a runner already fetching it comes first.
        """
        key_hash = hash64(f"{target.model}/{target.adapter}".encode())
        ranked = sorted(views, key=lambda view: combine(key_hash, view.address_hash), reverse=True)
        for view in ranked:
            if target in view.loading_or_awaited:
                return view

        def cost(item: tuple[int, UpstreamView]) -> float:
            rank, view = item
            queue_length = (
                view.backlog
                + view.waiters_since_report
                - min(view.free_adapter_slots, MAX_COUNTED_FREE_SLOTS)
            )
            return queue_length + min(rank, 2) * STORE_LOAD_COST

        return min(enumerate(ranked), key=cost)[1]

    def _least_loaded(self, views: list[UpstreamView], now: float) -> UpstreamView:
        self._rng.shuffle(views)

        def cost(view: UpstreamView) -> float:
            load = view.load(now) / view.upstream.slots
            is_local = view.upstream.data_centre == self._data_centre
            bonus = LOCAL_BONUS_REQUESTS / view.upstream.slots if is_local else 0.0
            return load - bonus + 2.0 * view.current_failure_rate(now)

        return min(views, key=cost)

    # Outcomes of requests.

    def request_started(self, upstream_id: UpstreamId, now: float) -> None:
        """Count a request that was handed over."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.in_flight += 1
            if view.awaiting_since is None:
                view.awaiting_since = now

    def note_received(self, upstream_id: UpstreamId, now: float) -> None:
        """Note bytes from a runner."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.last_received_at = now
            if view.awaiting_since is not None:
                view.awaiting_since = now

    def request_ended(self, upstream_id: UpstreamId) -> None:
        """Count the end of a request."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.in_flight = max(0, view.in_flight - 1)
            if view.in_flight == 0:
                view.awaiting_since = None

    def record_outcome(self, upstream_id: UpstreamId, failed: bool, now: float) -> None:
        """Fold an outcome into the runner's failure rate."""
        view = self.views.get(upstream_id)
        if view is None:
            return
        rate = view.current_failure_rate(now)
        view.failure_rate = rate + FAILURE_WEIGHT * ((1.0 if failed else 0.0) - rate)
        view.failure_at = now
        if not failed:
            view.suspension_s = MIN_SUSPENSION_S

    def suspend(self, upstream_id: UpstreamId, now: float) -> None:
        """Send nothing new to a runner that refused a connection or broke off, for a while."""
        view = self.views.get(upstream_id)
        if view is None or now < view.suspended_until:
            return
        view.suspended_until = now + view.suspension_s
        view.suspension_s = min(view.suspension_s * 2, MAX_SUSPENSION_S)

    def note_first_byte(self, upstream_id: UpstreamId, seconds: float) -> None:
        """Fold a time to the first byte into the runner's mean."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.first_byte_s += FIRST_BYTE_WEIGHT * (seconds - view.first_byte_s)

    def report_load(self, upstream_id: UpstreamId, running: int, waiting: int, now: float) -> None:
        """Take in the load that a runner of a plain service tells in an answer."""
        view = self.views.get(upstream_id)
        if view is not None and not view.is_linked:
            # The answer's own request has ended by the time it is read.
            view.reported_requests = max(0, running + waiting - 1)
            view.own_requests_at_report = max(0, view.in_flight - 1)
            view.reported_at = now

    def drop_resident(self, upstream_id: UpstreamId, target: ModelAdapter) -> None:
        """Forget an adapter that a runner said it does not have."""
        view = self.views.get(upstream_id)
        if view is not None:
            view.resident.pop(target, None)
