"""Data model of the serving path: configuration, upstreams, adapters and requests."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple, NewType, final

from dragonflyhold.accounts import AccountDirectory, Caller, Unidentified
from dragonflyhold.balancing import MemoryReport
from dragonflyhold.ids import AdapterName, DataCentre, ServiceName, Version

UpstreamId = NewType("UpstreamId", str)
ModelName = NewType("ModelName", str)
# Version of the software that an upstream runs, not of its adapters.
SoftwareVersion = NewType("SoftwareVersion", str)
# ``ip:port`` of a TCP listener.
Address = NewType("Address", str)


class ModelAdapter(NamedTuple):
    """Identifies an adapter of a base model, independent of its version."""

    model: ModelName
    adapter: AdapterName


class RetrySafety(enum.Enum):
    """Whether a request may be retried after it was sent to an upstream."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE = "resumable"


class RegistrationState(enum.Enum):
    """State of an upstream in the registry."""

    READY = "ready"
    DRAINING = "draining"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and its weight in the traffic split."""

    service: ServiceName
    weight: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for the requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    is_stream: bool
    timeout_s: float
    # Target for the time to the first byte of the response.
    target_latency_s: float
    # 0 is the highest priority.
    priority: int
    shares: tuple[ServiceShare, ...]
    # Maximum number of upstreams that may run one request; a client's own retry is a new request.
    max_attempts: int
    # Longest pause between two events of a stream that is still in time, ``None`` if not stated.
    max_pause_s: float | None = None
    # Whether callers need no key, if the configuration has client accounts.
    allows_anonymous: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Adapter slots and base models of the engines of a service."""

    adapter_slots: int
    models: tuple[ModelName, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is ``None`` for plain services."""

    name: ServiceName
    # Path of the upstream's health check.
    health_path: str
    engine: EngineSpec | None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class IngressLimits:
    """Size limits and timeouts for what clients send."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the operator's configuration."""

    version: int
    # Routes by host, sorted by descending length of the prefix.
    routes: Mapping[str, Sequence[Route]]
    services: Mapping[ServiceName, Service]
    limits: IngressLimits
    # ``None`` if the configuration has no client accounts, so that no key is checked.
    accounts: AccountDirectory | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream as registered."""

    upstream_id: UpstreamId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    slots: int
    state: RegistrationState
    # Start time in Unix milliseconds; distinguishes incarnations that share an id.
    start_time_ms: int
    adapters: Mapping[ModelAdapter, Version]
    # ``None`` while no entry of this incarnation has been read.
    software: SoftwareVersion | None = None

    @property
    def ip(self) -> str:
        """Return the IP address of the upstream's VM."""
        return self.address.rpartition(":")[0]

    @property
    def incarnation_id(self) -> str:
        """Return an id that no other incarnation of an upstream has."""
        return f"{self.upstream_id}@{self.start_time_ms}"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State of an engine as reported by the engine itself."""

    # Whether a command is being executed; an engine executes one at a time.
    busy: bool
    # Number of commands accepted in this incarnation.
    sequence: int
    running: int
    waiting: int
    models: frozenset[ModelName]
    adapters: Mapping[ModelAdapter, Version]
    # Whether the engine has announced that it is leaving service.
    is_draining: bool
    # Adapters being loaded; each already occupies an adapter slot.
    loading: Mapping[ModelAdapter, Version]
    start_time_ms: int
    # Memory that requests hold, ``None`` if the engine states none.
    memory: MemoryReport | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that an upstream reports in a response."""

    running: int
    waiting: int
    slots: int
    # Time that work takes on its VM at this moment relative to the usual one, ``None`` if not
    # stated.
    slowness: float | None = None

    @property
    def other_requests(self) -> int:
        """Requests without that of the response, which is included in the counts but has ended."""
        return max(0, self.running + self.waiting - 1)


class CommandKind(enum.Enum):
    """Kind of a command to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdapterCommand:
    """A command to an engine; without ``adapter`` it applies to the base model."""

    kind: CommandKind
    model: ModelName
    adapter: AdapterName | None = None
    version: Version | None = None


class CommandResult(enum.Enum):
    """Result of a command to an engine."""

    ACCEPTED = "accepted"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    # No response: the command may have been accepted or may still be executed.
    UNKNOWN = "unknown"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RequestInfo:
    """Properties of a client's request that routing and retries depend on."""

    request_id: str
    # Time that the client is willing to wait, as stated in the request.
    time_left_s: float | None
    target: ModelAdapter | None
    model: ModelName | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: str | None
    # Ids of the parts of the prompt, in order; the last one belongs to the request or its session.
    prompt_parts: tuple[bytes, ...] = ()
    # Id of the client's earlier request that brought the first event of the stream, if any.
    resumed_request_id: str | None = None

    @property
    def held_tokens(self) -> int:
        """Memory that the request holds at an engine at most, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def takes_up_stream(self) -> bool:
        """Whether the client has received events of the stream before."""
        return self.resumed_request_id is not None or (self.last_event_id or "0") != "0"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SendOptions:
    """Values for the headers that the gateway adds to a forwarded request."""

    upstream: UpstreamId
    time_left_s: float
    urgency: int | None
    expected_version: Version | None
    # Id of the event after which a stream resumes; ``None`` keeps the client's own value.
    resume_after: str | None
    caller: Caller = Unidentified()
