"""State of one upstream as known to one gateway."""

import collections
import dataclasses
from typing import final

from dragonflyhold.balancing import ArrivalRate, HeldMemory, Slowness
from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.liveness import VmLiveness
from dragonflyhold.gateway.model import ModelAdapter, RegistrationState, Upstream
from dragonflyhold.gateway.send_gates import SendGate, SendState
from dragonflyhold.ids import Version

# Bounds of the suspension of an upstream after a failed connection or a crash; it doubles each
# time.
MIN_SUSPENSION_S = 0.25
MAX_SUSPENSION_S = 2.0
# An upstream with requests in flight that has sent nothing for this long gets no new requests.
STALL_TIMEOUT_S = 0.6
# Half-life of a failure rate.
FAILURE_HALF_LIFE_S = 3.0
# Reported request counts older than this are ignored.
MAX_REPORT_AGE_S = 1.5
# Time within which an agent notices a new incarnation of its engine and tells of it, and an
# upstream registers.
REPORT_DELAY_S = 0.25
# Age of what was read of the registry beyond which it does not tell that an incarnation still runs.
MAX_REGISTRY_AGE_S = 2.0
# Time without an answer after which a limit no longer keeps an upstream from loading adapters: it
# may have ended, which only an answer can tell.
LIMIT_STALE_S = 5.0
# Requests whose times are kept.
MAX_RECENT_SENDS = 64


@final
@dataclasses.dataclass(slots=True)
class UpstreamView:
    """State of one upstream as known to one gateway."""

    upstream: Upstream
    # IP address of the VM, which ``Upstream.ip`` parses on each access.
    ip: str
    address_hash: int
    # What this incarnation has stated about itself.
    gate: SendGate = dataclasses.field(default_factory=SendGate)
    is_linked: bool = False
    # Whether the agent's link was given up for silence and the engine has answered nothing since.
    lost_silently: bool = False
    # Whether the engine has loaded its base model, as reported by the agent.
    has_model: bool = True
    # Whether the engine is draining, as reported by the agent; the registry follows later.
    is_draining: bool = False
    can_load: bool = False
    # Whether the agent wants to hear of late streams, and whether it grants each start.
    watches_pauses: bool = False
    is_paced: bool = False
    # Whether the agent has reported a later incarnation of the VM's engine.
    is_superseded: bool = False
    resident: dict[ModelAdapter, Version] = dataclasses.field(default_factory=dict)
    loading: frozenset[ModelAdapter] = frozenset()
    # Adapters that the engine is loading or that requests of any gateway wait for there.
    loading_or_awaited: frozenset[ModelAdapter] = frozenset()
    free_adapter_slots: int = 0
    backlog: int = 0
    # Requests of this gateway that began to wait there after the agent's last report.
    waiters_since_report: int = 0
    # Requests of this gateway that the upstream has now.
    in_flight: int = 0
    # Requests of all gateways as of ``reported_at``, and those of this gateway at that time.
    reported_requests: int = 0
    own_requests_at_report: int = 0
    reported_at: float = -1e9
    # Rate of this gateway's requests to it.
    sends: ArrivalRate = dataclasses.field(default_factory=ArrivalRate)
    # How long work takes there, as it states itself.
    slowness: Slowness = dataclasses.field(default_factory=Slowness)
    # What the requests there hold of its memory.
    memory: HeldMemory = dataclasses.field(default_factory=HeldMemory)
    # Requests a second that the upstream takes from all gateways, ``None`` if it states no limit.
    limit_per_s: float | None = None
    # Monotonic time of the answer that stated the limit, or its end, last.
    limit_stated_at: float = -1e9
    # Times of this gateway's last requests, and of those that the counting agent does not know.
    recent_sends: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT_SENDS)
    )
    uncounted_sends: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT_SENDS)
    )
    # Link to the agent that was told of requests last.
    counter: Link | None = None
    # Times before which the limit allows no request, and before which that agent is not asked.
    no_permit_until: float = 0.0
    counter_silent_until: float = 0.0
    # Time from which on this gateway's share allows a request without that agent.
    share_free_at: float = -1e9
    # Moving average of the time from sending a request to the first byte of its response.
    first_byte_s: float = 0.05
    suspended_until: float = -1e9
    suspension_s: float = MIN_SUSPENSION_S
    failure_rate: float = 0.0
    failure_at: float = 0.0
    # Signs of life of the upstream's VM.
    liveness: VmLiveness = dataclasses.field(default_factory=VmLiveness)
    # Time until which to wait for the agent's first report on a new engine.
    agent_awaited_until: float = -1e9
    # Time until which new streams begin at other versions of the service, if there are any.
    begins_streams_at: float = -1e9
    # Monotonic time at which a connection to it last broke, and of its agent's last message.
    broken_at: float = -1e9
    reported_alive_at: float = -1e9
    # Monotonic time of the last byte from the upstream, and since when a response is pending.
    last_received_at: float = 0.0
    awaiting_since: float | None = None

    def load(self, now: float) -> float:
        """Return the number of requests that the upstream has, as far as known."""
        if not self.has_report(now):
            return float(self.in_flight)
        return max(
            self.in_flight, self.reported_requests + self.in_flight - self.own_requests_at_report
        )

    def work(self, now: float) -> float:
        """Return the load in requests of an upstream that is neither fast nor slow."""
        return self.load(now) * self.slowness.mean(now)

    def has_report(self, now: float) -> bool:
        """Return whether a report on the load is recent enough to be used."""
        return now - self.reported_at <= MAX_REPORT_AGE_S

    def report_age_ms(self, now: float) -> int | None:
        """Return the age of the report on the load for logs, ``None`` if there is none."""
        return round((now - self.reported_at) * 1000) if self.has_report(now) else None

    def record_load(self, requests: int, now: float) -> None:
        """Record the number of requests of all gateways that the agent reports."""
        self.reported_requests = requests
        self.own_requests_at_report = self.in_flight
        self.reported_at = now

    def current_failure_rate(self, now: float) -> float:
        """Return the decayed failure rate, from 0 to 1."""
        return float(self.failure_rate * 0.5 ** ((now - self.failure_at) / FAILURE_HALF_LIFE_S))

    def is_available(self, now: float) -> bool:
        """Return whether the upstream may get new requests."""
        return now >= self.no_permit_until and self.is_usable(now)

    def is_usable(self, now: float) -> bool:
        """Return whether the upstream may get new requests as far as its limit allows."""
        return self.accepts_work(now) and not self.is_stalled(now)

    def accepts_work(self, now: float) -> bool:
        """Return whether the upstream is usable unless its responses have stalled."""
        return self.gate.may_send(now) and self._is_in_service(now)

    def is_confirmed(self, now: float, registry_read_at: float | None) -> bool:
        """Return whether the incarnation is known to run still.

        An upstream may start again under its id, with other software. Its agent tells soon, else
        the registry does; what either said before a connection broke may be outdated.
        """
        if self.is_linked:
            is_current = not self.liveness.is_overdue(now)
        else:
            is_current = (
                registry_read_at is not None and now - registry_read_at <= MAX_REGISTRY_AGE_S
            )
        return is_current and self.is_known_after(self.broken_at, registry_read_at)

    def is_known_after(self, at: float, registry_read_at: float | None) -> bool:
        """Return whether a start after a monotonic time would be known."""
        known_at = self.reported_alive_at if self.is_linked else registry_read_at
        return known_at is not None and known_at > at + REPORT_DELAY_S

    def free_at(self, now: float) -> float | None:
        """Return when the upstream takes a request, as far as its own statements tell."""
        gate_at = self.gate.free_at(now)
        if gate_at is None or not self._is_in_service(now) or self.is_stalled(now):
            return None
        return max(gate_at, self.no_permit_until)

    def _is_in_service(self, now: float) -> bool:
        return (
            self.upstream.state is RegistrationState.READY
            and self.has_model
            and not self.is_superseded
            and not self.is_draining
            and now >= self.suspended_until
            and (self.is_linked or now >= self.agent_awaited_until)
        )

    def is_ending(self, now: float) -> bool:
        """Return whether the incarnation has stated, itself or to its agent, that it leaves."""
        return self.is_draining or self.gate.state(now) is SendState.LEAVING

    def is_past(self, now: float) -> bool:
        """Return whether the incarnation will take no more requests."""
        return (
            self.is_superseded
            or self.upstream.state is RegistrationState.DRAINING
            or self.is_ending(now)
        )

    def is_limited(self, now: float) -> bool:
        """Return whether the upstream has stated a limit lately."""
        return self.limit_per_s is not None and now - self.limit_stated_at <= LIMIT_STALE_S

    def is_heartbeat_overdue(self, now: float) -> bool:
        """Return whether the VM is silent and its agent has closed no link; it may be frozen."""
        return self.lost_silently or (self.is_linked and self.liveness.is_overdue(now))

    def is_stalled(self, now: float) -> bool:
        """Return whether a response is pending and the upstream has sent nothing for too long."""
        return (
            self.awaiting_since is not None
            and now - self.awaiting_since > STALL_TIMEOUT_S
            and now - self.last_received_at > STALL_TIMEOUT_S
        )
