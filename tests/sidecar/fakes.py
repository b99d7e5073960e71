"""In-memory fakes of the configuration, the platform and the upstreams of a sidecar."""

import threading
from collections.abc import Iterator, Mapping, Sequence

import grpc

from dragonflyhold.config.objects import (
    AdapterVersion,
    Freshness,
    RequestKind,
    Service,
    Upstream,
)
from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    BootId,
    DataCentre,
    EngineAdapterName,
    Epoch,
    KindName,
    Region,
    Revision,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.settings import (
    AnswerSettings,
    PlatformSettings,
    SidecarSettings,
    SlotSettings,
    TransportSettings,
    UpstreamSettings,
)
from dragonflyhold.states import ServiceType
from dragonflyhold.storage.interface import Condition, Put, Row, Vm
from dragonflyhold.upstreams.interface import (
    EngineStatus,
    PlainResponse,
    StaleEpochError,
    UnknownEngineAdapterError,
    UpstreamInterruptedError,
    UpstreamNotSentError,
    UpstreamStatusError,
)

SERVICE = ServiceName("tapster-lm")
UPSTREAM = UpstreamName("runner-1")


def adapter_key(name: str, version: int = 1) -> AdapterKey:
    """Return a key of the test service."""
    return AdapterKey(SERVICE, AdapterName(name), Version(version))


def make_settings(
    type_: ServiceType = ServiceType.ENGINE, detach_grace_s: float = 30.0
) -> SidecarSettings:
    """Return settings with automatically chosen ports and short periods."""
    url = "http://127.0.0.1:9"
    return SidecarSettings(
        name="sidecar-1",
        region=Region("almaty"),
        data_centre=DataCentre("almaty-a"),
        grpc_address="127.0.0.1:0",
        http_address="127.0.0.1:0",
        upstream=UpstreamSettings(name=UPSTREAM, type=type_, url=url, health_period_s=0.05),
        platform=PlatformSettings(
            table_url=url, object_store_url=url, vm_list_url=url, vm_list_period_s=0.2
        ),
        slots=SlotSettings(tick_s=0.005),
        transport=TransportSettings(heartbeat_s=0.05),
        answers=AnswerSettings(detach_grace_s=detach_grace_s),
    )


class FakeView:
    """A configuration that tests can change."""

    def __init__(self, type_: ServiceType = ServiceType.ENGINE, slots: int = 2) -> None:
        self.revision = Revision(1)
        self.services = {SERVICE: Service(name=SERVICE, region=Region("almaty"), type=type_)}
        self.upstreams = {
            UPSTREAM: Upstream(
                name=UPSTREAM,
                service=SERVICE,
                data_centre=DataCentre("almaty-a"),
                sidecar_address="127.0.0.1:1",
                checks_fencing=True,
                slots=slots,
            )
        }
        self.versions = {
            adapter_key(name, version): AdapterVersion(
                key=adapter_key(name, version), weights=f"weights/{name}/{version}"
            )
            for name in ("pale", "stout", "mild")
            for version in (1, 2)
        }
        self.kinds = {
            "chat": self._kind("chat", worth=2.0, idempotent=True),
            "redeem": self._kind("redeem", worth=3.0, idempotent=False),
            "night": self._kind("night", worth=1.0, idempotent=True, batch=True),
        }

    @staticmethod
    def _kind(name: str, worth: float, idempotent: bool, batch: bool = False) -> RequestKind:
        return RequestKind(
            service=SERVICE,
            name=KindName(name),
            worth=worth,
            deadline_ms=20_000,
            idempotent=idempotent,
            batch=batch,
        )

    def freshness(self, now: float) -> Freshness:
        return Freshness(self.revision, 0.0)

    def service(self, name: ServiceName) -> Service | None:
        return self.services.get(name)

    def upstream(self, name: UpstreamName) -> Upstream | None:
        return self.upstreams.get(name)

    def upstreams_of(self, service: ServiceName) -> Sequence[Upstream]:
        return [item for item in self.upstreams.values() if item.service == service]

    def has_adapter(self, service: ServiceName, adapter: str) -> bool:
        return any((key.service, key.adapter) == (service, adapter) for key in self.versions)

    def version(self, key: AdapterKey) -> AdapterVersion | None:
        return self.versions.get(key)

    def kind(self, service: ServiceName, name: KindName) -> RequestKind | None:
        return self.kinds.get(name) if service == SERVICE else None


class FakeConfig:
    """A configuration source that tests can make stale."""

    def __init__(self, view: FakeView | None = None) -> None:
        self.view = view or FakeView()
        self.fresh = True
        self.observed: list[Revision] = []

    def is_fresh(self, now: float) -> bool:
        return self.fresh

    def observe_revision(self, revision: Revision, address: str) -> None:
        self.observed.append(revision)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def add_to_server(self, server: grpc.Server) -> None:
        pass

    def budget_upstreams(self) -> Sequence[Upstream]:
        return self.view.upstreams_of(SERVICE)


class FakeTable:
    """In-memory table that can simulate outages and lost responses."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.is_unavailable = False
        # Number of further writes that take effect although their response is lost.
        self.lost_responses = 0

    def read(self, key: str) -> Row | None:
        self._check()
        return self.rows.get(key)

    def read_prefix(self, prefix: str, start_after: str = "", limit: int = 1000) -> list[Row]:
        self._check()
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > start_after)
        return [self.rows[key] for key in keys[:limit]]

    def write(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> None:
        self._check()
        for condition in conditions:
            row = self.rows.get(condition.key)
            version = row.version if row is not None else 0
            if version != condition.version:
                raise ConditionFailedError(condition.key, condition.version, version)
        for put in puts:
            row = self.rows.get(put.key)
            version = row.version if row is not None else 0
            self.rows[put.key] = Row(put.key, version + 1, put.value)
        if self.lost_responses:
            self.lost_responses -= 1
            raise PlatformUnavailableError("response lost")

    def _check(self) -> None:
        if self.is_unavailable:
            raise PlatformUnavailableError("table is unavailable")


class FakeVmList:
    """In-memory VM list."""

    def __init__(self) -> None:
        self.vms: list[Vm] = []

    def list(self) -> list[Vm]:
        return list(self.vms)


class FakeStream:
    """Completion of a fake engine; waits for the engine's ``gate`` before each piece."""

    def __init__(self, engine: "FakeEngine", name: EngineAdapterName, pieces: int) -> None:
        self._engine = engine
        self._name = name
        self._pieces = pieces
        self._boot = engine.boot
        self.is_cancelled = False
        self.events_received = 0

    def __iter__(self) -> Iterator[bytes]:
        try:
            for index in range(self._pieces):
                while not self._engine.gate.wait(0.005) and not self._is_over():
                    pass
                if self._engine.boot != self._boot or self._engine.is_down:
                    raise UpstreamInterruptedError("engine has stopped")
                if self.is_cancelled:
                    return
                self.events_received += 1
                yield f"{self._name}#{index} ".encode()
        finally:
            self._engine.finish_request(self._name, self._boot)

    def cancel(self) -> None:
        self.is_cancelled = True

    def _is_over(self) -> bool:
        engine = self._engine
        return self.is_cancelled or engine.boot != self._boot or engine.is_down


class FakeEngine:
    """An engine with adapter slots that records the requests it runs."""

    def __init__(self, checks_fencing: bool = True, slots: int = 2, batch_limit: int = 4) -> None:
        self.checks_fencing = checks_fencing
        self.slots = slots
        self.batch_limit = batch_limit
        self.boot = 1
        self.epoch = 0
        self.adapters: dict[EngineAdapterName, str] = {}
        self.in_flight: dict[EngineAdapterName, int] = {}
        self.runs: list[tuple[str, EngineAdapterName, str, object]] = []
        self.evicted_in_flight: list[EngineAdapterName] = []
        self.is_down = False
        self.failing_loads = 0
        self.gate = threading.Event()
        self.gate.set()
        self._lock = threading.Lock()

    def status(self) -> EngineStatus:
        with self._lock:
            self._check_up()
            return EngineStatus(
                BootId(f"boot-{self.boot}"),
                Epoch(self.epoch if self.checks_fencing else 0),
                {name: self.in_flight.get(name, 0) for name in self.adapters},
                self.batch_limit,
                self.slots,
            )

    def load_adapter(self, name: EngineAdapterName, weights: str, epoch: Epoch) -> None:
        with self._lock:
            self._check_command(epoch)
            if self.failing_loads:
                self.failing_loads -= 1
                raise UpstreamStatusError(503, "weight store failed")
            if len(self.adapters) >= self.slots:
                raise UpstreamStatusError(400, "no free slot")
            self.adapters[name] = weights

    def unload_adapter(self, name: EngineAdapterName, epoch: Epoch) -> None:
        with self._lock:
            self._check_command(epoch)
            if self.in_flight.get(name):
                self.evicted_in_flight.append(name)
            self.adapters.pop(name, None)

    def claim(self, epoch: Epoch) -> None:
        with self._lock:
            self._check_command(epoch)

    def complete(
        self, name: EngineAdapterName, body: Mapping[str, object], priority: int, request_id: str
    ) -> FakeStream:
        with self._lock:
            self._check_up()
            if name not in self.adapters:
                raise UnknownEngineAdapterError(404, "no such model")
            self.in_flight[name] = self.in_flight.get(name, 0) + 1
            self.runs.append((request_id, name, self.adapters[name], body.get("prompt")))
        return FakeStream(self, name, int(str(body.get("max_tokens", 3))))

    def resume(self, request_id: str, offset: int) -> FakeStream:
        raise UpstreamInterruptedError(f"{request_id} is not known")

    def stop(self, request_id: str) -> None:
        with self._lock:
            self._check_up()

    def finish_request(self, name: EngineAdapterName, boot: int) -> None:
        """End a run unless the engine has restarted since ``boot``."""
        with self._lock:
            if boot == self.boot:
                self.in_flight[name] -= 1

    def restart(self) -> None:
        """Lose all state, as in a crash, and start as a new incarnation."""
        with self._lock:
            self.boot += 1
            self.epoch = 0
            self.adapters.clear()
            self.in_flight.clear()

    def _check_command(self, epoch: Epoch) -> None:
        self._check_up()
        if self.checks_fencing and epoch < self.epoch:
            raise StaleEpochError(409, "stale epoch")
        self.epoch = max(self.epoch, epoch)

    def _check_up(self) -> None:
        if self.is_down:
            raise UpstreamNotSentError("connection refused")


class FakePlain:
    """A plain service that records its calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, bytes]] = []
        self.is_up = True
        # Refuse calls although the health check succeeds.
        self.is_refusing = False
        # Raised instead of returning a response, after the call was recorded.
        self.error: Exception | None = None
        self.response_body = b"done"

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> PlainResponse:
        if not self.is_up or self.is_refusing:
            raise UpstreamNotSentError("connection refused")
        self.calls.append((method, path, body))
        if self.error is not None:
            raise self.error
        return PlainResponse(200, {"Content-Type": "text/plain"}, self.response_body)

    def is_healthy(self) -> bool:
        return self.is_up
