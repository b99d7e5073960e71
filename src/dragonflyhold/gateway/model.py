"""Entities of the serving path: configuration, runners, adapters and requests."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple, NewType, final

from dragonflyhold.ids import AdapterName, DataCentre, ServiceName, Version

UpstreamId = NewType("UpstreamId", str)
ModelName = NewType("ModelName", str)
# ``ip:port`` of a TCP listener.
Address = NewType("Address", str)


class ModelAdapter(NamedTuple):
    """Names one adapter of a base model, whatever its version."""

    model: ModelName
    adapter: AdapterName


class RetrySafety(enum.Enum):
    """What may be repeated once a request has been handed to a runner."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


class RegistrationState(enum.Enum):
    """State of a runner in the registry."""

    READY = "ready"
    DRAINING = "draining"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and its weight in the split."""

    service: ServiceName
    weight: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and under which limits."""

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    is_stream: bool
    timeout_s: float
    target_latency_s: float
    # 0 is the most urgent.
    priority: int
    shares: tuple[ServiceShare, ...]
    # Most runners that may run one client attempt.
    max_attempts: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Limits of the model engines of a service."""

    adapter_slots: int
    models: tuple[ModelName, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is ``None`` for plain services."""

    name: ServiceName
    # Path of a runner's own status check.
    health_path: str
    engine: EngineSpec | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IngressLimits:
    """Bounds on what a client may send and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration, whole."""

    version: int
    # Routes by host, the longest prefix first.
    routes: Mapping[str, Sequence[Route]]
    services: Mapping[ServiceName, Service]
    limits: IngressLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One lifetime of a runner as the registry describes it."""

    upstream_id: UpstreamId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    slots: int
    state: RegistrationState
    # Unix milliseconds of the start; tells lifetimes under one id apart.
    start_time_ms: int
    adapters: Mapping[ModelAdapter, Version]

    @property
    def ip(self) -> str:
        """Return the IP number of the runner's VM."""
        return self.address.rpartition(":")[0]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself."""

    # Model orders: one at a time, ``True`` while one is carried out.
    busy: bool
    # Number of orders accepted in this lifetime.
    sequence: int
    running: int
    waiting: int
    models: frozenset[ModelName]
    adapters: Mapping[ModelAdapter, Version]
    # The engine has announced that it leaves.
    is_draining: bool
    # Adapters on their way to the engine; they occupy slots.
    loading: Mapping[ModelAdapter, Version]
    start_time_ms: int


class CommandKind(enum.Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdapterCommand:
    """An order to an engine; without ``adapter`` it concerns the whole model."""

    kind: CommandKind
    model: ModelName
    adapter: AdapterName | None = None
    version: Version | None = None


class CommandResult(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    # No answer: it may have been accepted, or may be carried out later.
    UNKNOWN = "unknown"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestInfo:
    """What the decisions need to know of a client's request."""

    request_id: str
    # Seconds that the client will wait, as it said on sending.
    time_left_s: float | None
    target: ModelAdapter | None
    model: ModelName | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: str | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SendOptions:
    """What the system adds to a request that it hands to a runner."""

    upstream: UpstreamId
    time_left_s: float
    urgency: int | None
    expected_version: Version | None
    # Continue a stream after this event; ``None`` keeps what the client sent.
    resume_after: str | None
