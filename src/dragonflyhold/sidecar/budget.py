"""Load budget of the region: the broker, its client and the fallback to a local share."""

import dataclasses
import threading
from collections.abc import Callable, Sequence
from typing import final

import grpc

from dragonflyhold.adapters import (
    BrokerGrant,
    LoadBroker,
    LoadRequest,
    LocalLoadShare,
    StartLoad,
    choose_broker,
)
from dragonflyhold.config.objects import Upstream
from dragonflyhold.ids import AdapterKey, Incarnation, UpstreamName
from dragonflyhold.observability import ComponentLogger, Metrics
from dragonflyhold.settings import LoadBudgetSettings, TlsSettings
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import broker_pb2 as pb
from dragonflyhold.transport.schema import broker_pb2_grpc

# A broker that does not respond within this time is excluded for ``BROKER_EXCLUDE_S``.
ACQUIRE_TIMEOUT_S = 0.5
BROKER_EXCLUDE_S = 5.0
# Minimum time between two calls to the broker.
MIN_CALL_INTERVAL_S = 0.02
# Time between two calls while the local share is in use.
FALLBACK_CALL_INTERVAL_S = 1.0

_logger = ComponentLogger("sidecar")


@final
class BrokerDirectory:
    """Chooses the upstream whose sidecar is the load broker; safe to use from any thread."""

    def __init__(self, own_name: UpstreamName, upstreams: Callable[[], Sequence[Upstream]]) -> None:
        self._own_name = own_name
        self._upstreams = upstreams
        self._excluded: dict[UpstreamName, float] = {}
        self._lock = threading.Lock()

    @property
    def upstream_count(self) -> int:
        """Number of upstreams that share the budget, at least 1."""
        return max(len(self._upstreams()), 1)

    def broker(self, now: float) -> Upstream | None:
        """Return the upstream of the broker, or ``None`` if this process is the broker."""
        with self._lock:
            self._excluded = {name: until for name, until in self._excluded.items() if until > now}
            candidates = {
                upstream.name: upstream
                for upstream in self._upstreams()
                if upstream.name not in self._excluded
            }
        names = [*candidates, self._own_name]
        chosen = choose_broker(names)
        return None if chosen == self._own_name else candidates[chosen]

    def exclude(self, name: UpstreamName, now: float) -> None:
        """Exclude a broker for ``BROKER_EXCLUDE_S`` because it did not respond."""
        with self._lock:
            self._excluded[name] = now + BROKER_EXCLUDE_S


@final
class ThreadSafeBroker:
    """A load broker behind a lock, for the gRPC service and for this sidecar's own requests."""

    def __init__(self, settings: LoadBudgetSettings) -> None:
        self._broker = LoadBroker(settings)
        self._lock = threading.Lock()

    def acquire(
        self,
        upstream: UpstreamName,
        incarnation: Incarnation,
        load_requests: Sequence[LoadRequest],
        now: float,
    ) -> BrokerGrant:
        """Grant the load requests that the budget allows."""
        with self._lock:
            return self._broker.acquire(upstream, incarnation, load_requests, now)

    def release(
        self,
        upstream: UpstreamName,
        incarnation: Incarnation,
        numbers: Sequence[int],
        now: float,
    ) -> None:
        """Release grants before they expire."""
        with self._lock:
            self._broker.release(upstream, incarnation, numbers, now)


@final
class BrokerServicer(broker_pb2_grpc.LoadBrokerServicer):
    """gRPC service of the load broker."""

    def __init__(
        self,
        settings: LoadBudgetSettings,
        local_broker: ThreadSafeBroker,
        directory: BrokerDirectory,
        check_broker: Callable[[Upstream], None],
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._local_broker = local_broker
        self._directory = directory
        self._check_broker = check_broker
        self._clock = clock

    def Acquire(  # noqa: N802
        self, request: pb.AcquireRequest, context: grpc.ServicerContext
    ) -> pb.AcquireReply:
        """Grant load requests, or reply that another process is the broker."""
        now = self._clock()
        broker = self._directory.broker(now)
        if broker is not None:
            # Either the caller could not reach the broker or its configuration is out of date.
            self._check_broker(broker)
            return pb.AcquireReply(not_broker=True)
        load_requests = [
            LoadRequest(wish.number, wish.adapter, wish.worth) for wish in request.wishes
        ]
        upstream = UpstreamName(request.upstream)
        grant = self._local_broker.acquire(
            upstream, Incarnation(request.incarnation), load_requests, now
        )
        return pb.AcquireReply(
            granted=grant.granted,
            grant_ttl_ms=int(self._settings.grant_ttl_s * 1000),
            retry_after_ms=int(grant.retry_after_s * 1000),
        )

    def Release(  # noqa: N802
        self, request: pb.ReleaseRequest, context: grpc.ServicerContext
    ) -> pb.ReleaseReply:
        """Release grants before they expire."""
        upstream, incarnation = UpstreamName(request.upstream), Incarnation(request.incarnation)
        self._local_broker.release(upstream, incarnation, list(request.numbers), self._clock())
        return pb.ReleaseReply()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class BudgetReply:
    """Result of one call to the broker.

    ``grant`` is ``None`` if the call failed or the called process is not the broker.
    """

    grant: BrokerGrant | None
    requested_numbers: tuple[int, ...]


@final
class BrokerClient:
    """Calls the current broker; used in worker threads."""

    def __init__(
        self,
        name: UpstreamName,
        incarnation: Incarnation,
        directory: BrokerDirectory,
        local_broker: ThreadSafeBroker,
        tls: TlsSettings,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._directory = directory
        self._local_broker = local_broker
        self._tls = tls
        self._metrics = metrics
        self._clock = clock
        self._channels: dict[str, grpc.Channel] = {}
        self._lock = threading.Lock()

    def acquire(self, load_requests: Sequence[LoadRequest]) -> BudgetReply:
        """Request grants from the broker."""
        requested_numbers = tuple(load_request.number for load_request in load_requests)
        now = self._clock()
        broker = self._directory.broker(now)
        if broker is None:
            return BudgetReply(
                self._local_broker.acquire(self._name, self._incarnation, load_requests, now),
                requested_numbers,
            )
        request = pb.AcquireRequest(upstream=self._name, incarnation=self._incarnation)
        for load_request in load_requests:
            request.wishes.add(
                number=load_request.number, adapter=load_request.adapter, worth=load_request.utility
            )
        try:
            stub = broker_pb2_grpc.LoadBrokerStub(self._channel(broker.sidecar_address))
            reply = stub.Acquire(request, timeout=ACQUIRE_TIMEOUT_S)
        except grpc.RpcError as error:
            self._directory.exclude(broker.name, self._clock())
            self._discard_channel(broker.sidecar_address)
            self._metrics.count_event("broker_unreachable")
            _logger.warning("Load broker did not respond.", broker=broker.name, error=error.code())
            return BudgetReply(None, requested_numbers)
        if reply.not_broker:
            self._metrics.count_event("broker_refused")
            return BudgetReply(None, requested_numbers)
        grant = BrokerGrant(tuple(reply.granted), reply.retry_after_ms / 1000)
        return BudgetReply(grant, requested_numbers)

    def release(self, numbers: Sequence[int]) -> None:
        """Release grants; if the call fails, they occupy the budget until they expire."""
        now = self._clock()
        broker = self._directory.broker(now)
        if broker is None:
            self._local_broker.release(self._name, self._incarnation, numbers, now)
            return
        request = pb.ReleaseRequest(
            upstream=self._name, incarnation=self._incarnation, numbers=numbers
        )
        try:
            stub = broker_pb2_grpc.LoadBrokerStub(self._channel(broker.sidecar_address))
            stub.Release(request, timeout=ACQUIRE_TIMEOUT_S)
        except grpc.RpcError:
            self._metrics.count_event("broker_release_lost")

    def close(self) -> None:
        """Close all channels."""
        with self._lock:
            for channel in self._channels.values():
                channel.close()
            self._channels.clear()

    def _channel(self, address: str) -> grpc.Channel:
        with self._lock:
            channel = self._channels.get(address)
            if channel is None:
                channel = make_channel(address, self._tls)
                self._channels[address] = channel
            return channel

    def _discard_channel(self, address: str) -> None:
        # The connection may never recover, so the next call opens a new one.
        with self._lock:
            channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()


@final
class LoadBudget:
    """Load requests and grants of this sidecar; used by the thread that owns the tables."""

    def __init__(
        self,
        settings: LoadBudgetSettings,
        client: BrokerClient,
        directory: BrokerDirectory,
        submit: Callable[[Callable[[], object]], None],
        send_message: Callable[[object], None],
    ) -> None:
        self._settings = settings
        self._client = client
        self._directory = directory
        self._submit = submit
        self._send_message = send_message
        self._load_requests: dict[AdapterKey, LoadRequest] = {}
        self._grants: dict[int, float] = {}
        self._keys_by_number: dict[int, AdapterKey] = {}
        self._next_number = 1
        self._is_call_in_progress = False
        self._next_call_at = 0.0
        self._requested_numbers: set[int] = set()
        self._last_call_at = 0.0
        self._local_share: LocalLoadShare | None = None
        self._local_share_upstream_count = 0

    def request_loads(self, planned_loads: Sequence[StartLoad], now: float) -> None:
        """Replace the load requests; grants that are no longer needed are released."""
        load_requests: dict[AdapterKey, LoadRequest] = {}
        for planned_load in planned_loads:
            existing = self._load_requests.get(planned_load.key)
            number = existing.number if existing is not None else self._new_number(planned_load.key)
            load_requests[planned_load.key] = LoadRequest(
                number, str(planned_load.key), planned_load.utility
            )
        needed_numbers = {load_request.number for load_request in load_requests.values()}
        for number in [number for number in self._keys_by_number if number not in needed_numbers]:
            del self._keys_by_number[number]
            if self._grants.pop(number, None) is not None:
                self.release(number)
        has_new_request = any(
            load_request.number not in self._requested_numbers
            for load_request in load_requests.values()
        )
        if has_new_request and self._local_share is None:
            # The broker computed its retry delay without the new load request.
            self._next_call_at = min(self._next_call_at, self._last_call_at + MIN_CALL_INTERVAL_S)
        self._load_requests = load_requests

    def use_grant(self, key: AdapterKey, now: float) -> int | None:
        """Consume the grant for an adapter version; return its number, or ``None`` without one."""
        load_request = self._load_requests.get(key)
        if load_request is None:
            return None
        expires_at = self._grants.pop(load_request.number, None)
        is_granted = expires_at is not None and expires_at > now
        if not is_granted and self._local_share is not None:
            is_granted = self._local_share.try_take(now)
        if not is_granted:
            return None
        del self._load_requests[key]
        self._keys_by_number.pop(load_request.number, None)
        return load_request.number

    def release(self, number: int) -> None:
        """Release a grant after its load has finished."""
        self._submit(lambda: self._client.release([number]))

    def step(self, now: float) -> None:
        """Send the load requests without a grant to the broker when a call is due."""
        load_requests = [
            load_request
            for load_request in self._load_requests.values()
            if load_request.number not in self._grants
        ]
        if not load_requests or self._is_call_in_progress or now < self._next_call_at:
            return
        self._is_call_in_progress = True
        self._requested_numbers = {load_request.number for load_request in load_requests}
        self._last_call_at = now
        self._submit(lambda: self._call_broker(load_requests))

    def on_reply(self, reply: BudgetReply, now: float) -> None:
        """Apply the reply of the broker, or fall back to the local share without one."""
        self._is_call_in_progress = False
        if reply.grant is None:
            self._begin_fallback()
            self._next_call_at = now + FALLBACK_CALL_INTERVAL_S
            return
        self._local_share = None
        self._next_call_at = now + max(reply.grant.retry_after_s, MIN_CALL_INTERVAL_S)
        for number in reply.grant.granted:
            if number in self._keys_by_number:
                self._grants[number] = now + self._settings.grant_ttl_s
            else:
                self.release(number)

    def _call_broker(self, load_requests: Sequence[LoadRequest]) -> None:
        try:
            reply = self._client.acquire(load_requests)
        except Exception:
            # Without a reply, this sidecar would wait forever and never call the broker again.
            _logger.exception("Call to the load broker failed.")
            reply = BudgetReply(None, ())
        self._send_message(reply)

    def _begin_fallback(self) -> None:
        upstream_count = self._directory.upstream_count
        if self._local_share is None or upstream_count != self._local_share_upstream_count:
            self._local_share = LocalLoadShare(self._settings, upstream_count)
            self._local_share_upstream_count = upstream_count

    def _new_number(self, key: AdapterKey) -> int:
        number = self._next_number
        self._next_number += 1
        self._keys_by_number[number] = key
        return number
