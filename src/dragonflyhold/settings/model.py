"""Data classes of the settings.

Field names end with their unit: ``_s`` for seconds, ``_ms`` for milliseconds and ``_bytes`` for
bytes. The loader checks the constraints in the field metadata.
"""

import dataclasses
from typing import Any, final

from dragonflyhold.ids import DataCentre, Region, UpstreamName
from dragonflyhold.observability.logs import LEVEL_NAMES
from dragonflyhold.states import ServiceType


def _field(
    default: Any = dataclasses.MISSING,
    *,
    low: float | None = None,
    high: float | None = None,
    form: str | None = None,
    choices: tuple[str, ...] | None = None,
) -> Any:
    metadata = {"low": low, "high": high, "form": form, "choices": choices}
    return dataclasses.field(default=default, metadata=metadata)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Logging of a daemon."""

    level: str = _field("info", choices=LEVEL_NAMES)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Paths of the certificate, the key and the certificate authority, as PEM files.

    TLS is disabled if all three are empty. With TLS, both sides of every gRPC connection must
    present a certificate issued by the authority, and the certificate of an operator must contain
    one of ``operator_names``.
    """

    certificate: str = _field("")
    key: str = _field("")
    authority: str = _field("")
    operator_names: tuple[str, ...] = _field(())

    @property
    def is_enabled(self) -> bool:
        """Whether TLS is enabled."""
        return bool(self.certificate)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Access to the platform's services."""

    table_url: str = _field(form="url")
    object_store_url: str = _field(form="url")
    vm_list_url: str = _field(form="url")
    timeout_ms: int = _field(1000, low=50, high=60_000)
    vm_list_period_s: float = _field(5.0, low=0.2, high=300)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigSettings:
    """Propagation of the configuration between daemons."""

    # host:port of the peers to contact at startup, before the configuration lists any.
    seeds: tuple[str, ...] = _field((), form="address")
    compare_period_s: float = _field(1.0, low=0.1, high=60)
    push_fanout: int = _field(3, low=0, high=32)
    # Minimum mean interval between two reads of the head row by one daemon.
    head_read_period_s: float = _field(2.0, low=0.2, high=600)
    # Maximum rate of head row reads of all daemons together.
    head_reads_per_s: float = _field(100.0, low=0.1, high=2000)
    # A daemon that has reached neither the table nor a majority of the data centres of its region
    # for this long refuses new requests.
    stale_s: float = _field(6.0, low=0.5, high=600)
    # Number of accepted changes after which a new snapshot is written.
    snapshot_every: int = _field(64, low=1, high=100_000)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpSettings:
    """HTTP server of an entry daemon, used by callers."""

    address: str = _field(form="address")
    threads: int = _field(64, low=1, high=4096)
    max_body_bytes: int = _field(1_048_576, low=1024, high=268_435_456)
    # A caller that neither sends nor reads data for this long is disconnected.
    idle_timeout_s: float = _field(30.0, low=0.5, high=3600)
    # Interval of the server-sent comments that show the caller that an idle stream is alive.
    keepalive_s: float = _field(5.0, low=0.2, high=300)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransportSettings:
    """Streams between entry daemons and sidecars."""

    # Maximum number of upstreams to which an entry daemon keeps a connection.
    max_channels: int = _field(64, low=1, high=4096)
    # A connection without requests for this long is closed.
    idle_close_s: float = _field(60.0, low=1, high=3600)
    heartbeat_s: float = _field(1.0, low=0.05, high=60)
    # A stream with open requests that receives nothing for this long is probed on a new connection.
    silence_s: float = _field(3.0, low=0.1, high=300)
    probe_timeout_s: float = _field(1.0, low=0.05, high=60)
    # Number of failed probes after which an upstream counts as down.
    probes: int = _field(3, low=1, high=20)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """Selection of an upstream for a request."""

    # Candidates whose load exceeds this multiple of the mean load are skipped.
    bounded_load_factor: float = _field(1.25, low=1.0, high=10)
    # Maximum number of upstreams that serve one adapter version.
    max_copies: int = _field(4, low=1, high=64)
    # Load (requests in flight) of one adapter version that justifies another replica, as a share
    # of the batch limit.
    copy_load_share: float = _field(0.75, low=0.05, high=10)
    # An adapter that was reported as loaded is assumed to stay loaded for this long.
    residency_ttl_s: float = _field(60.0, low=0.5, high=3600)
    # A candidate that refused or failed a request is excluded for this long.
    exclude_s: float = _field(1.0, low=0.05, high=60)
    # Number of suspected crashes at which requests with the same fingerprint are quarantined; the
    # second crash is sufficient if no other request was in flight.
    crash_limit: int = _field(3, low=1, high=10)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Retries by the entry daemon, the only component that retries requests."""

    # Retries allowed per new request, in addition to ``budget_floor_per_s``.
    budget_ratio: float = _field(0.1, low=0.0, high=1.0)
    budget_floor_per_s: float = _field(10.0, low=0.0, high=10_000)
    first_delay_ms: int = _field(20, low=1, high=10_000)
    max_delay_ms: int = _field(1000, low=1, high=60_000)
    max_attempts: int = _field(6, low=1, high=50)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSettings:
    """The upstream that a sidecar serves."""

    name: UpstreamName = _field()
    type: ServiceType = _field()
    url: str = _field(form="url")
    connect_timeout_s: float = _field(1.0, low=0.05, high=60)
    # An upstream that sends nothing for this long is considered unresponsive.
    read_timeout_s: float = _field(10.0, low=0.1, high=3600)
    health_period_s: float = _field(0.5, low=0.05, high=60)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotSettings:
    """Management of the adapter slots of an engine."""

    popularity_half_life_s: float = _field(60.0, low=1, high=86_400)
    backoff_first_s: float = _field(0.5, low=0.01, high=60)
    backoff_max_s: float = _field(30.0, low=0.1, high=3600)
    tick_s: float = _field(0.02, low=0.005, high=1)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadBudgetSettings:
    """Limits on adapter loads from the weight store, for a whole region."""

    loads_per_s: float = _field(5.0, low=0.01, high=100_000)
    burst: int = _field(3, low=1, high=10_000)
    # Maximum number of loads in progress.
    max_in_transit: int = _field(24, low=1, high=100_000)
    grant_ttl_s: float = _field(5.0, low=0.5, high=300)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """Admission of requests to the queue and the batch of a sidecar."""

    max_queue: int = _field(512, low=1, high=1_000_000)
    # Maximum share of the queue and of the batch that one caller or one adapter may occupy.
    caller_share: float = _field(0.25, low=0.01, high=1)
    adapter_share: float = _field(0.5, low=0.01, high=1)
    # Share of the batch slots reserved for interactive kinds.
    interactive_reserve: float = _field(0.25, low=0, high=0.9)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitSettings:
    """Permits: request ids issued in advance."""

    ttl_s: float = _field(600.0, low=1, high=86_400)
    max_issued: int = _field(20_000, low=1, high=10_000_000)
    max_per_call: int = _field(64, low=1, high=10_000)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerSettings:
    """Buffering of answers in the sidecar."""

    ttl_s: float = _field(60.0, low=1, high=86_400)
    max_bytes: int = _field(262_144, low=1024, high=1_073_741_824)
    total_bytes: int = _field(8_388_608, low=1024, high=17_179_869_184)
    # An unfinished idempotent request whose answer no caller reads for this long is cancelled.
    detach_grace_s: float = _field(30.0, low=0.1, high=3600)


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry daemon."""

    name: str = _field()
    region: Region = _field()
    data_centre: DataCentre = _field()
    http: HttpSettings = _field()
    # host:port of the gRPC server for operators and peers.
    grpc_address: str = _field(form="address")
    platform: PlatformSettings = _field()
    tls: TlsSettings = _field(TlsSettings())
    config: ConfigSettings = _field(ConfigSettings())
    routing: RoutingSettings = _field(RoutingSettings())
    retry: RetrySettings = _field(RetrySettings())
    transport: TransportSettings = _field(TransportSettings())
    # Time between leaving the load balancer's pool and closing the listener.
    balancer_lag_s: float = _field(5.0, low=0, high=600)
    log: LogSettings = _field(LogSettings())


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSettings:
    """Settings of a sidecar, the daemon in front of an upstream."""

    name: str = _field()
    region: Region = _field()
    data_centre: DataCentre = _field()
    # host:port for entry daemons and peers; binding it makes the process the upstream's owner.
    grpc_address: str = _field(form="address")
    # host:port of the HTTP server for /metrics and /healthz.
    http_address: str = _field(form="address")
    upstream: UpstreamSettings = _field()
    platform: PlatformSettings = _field()
    tls: TlsSettings = _field(TlsSettings())
    config: ConfigSettings = _field(ConfigSettings())
    slots: SlotSettings = _field(SlotSettings())
    load_budget: LoadBudgetSettings = _field(LoadBudgetSettings())
    admission: AdmissionSettings = _field(AdmissionSettings())
    permits: PermitSettings = _field(PermitSettings())
    answers: AnswerSettings = _field(AnswerSettings())
    transport: TransportSettings = _field(TransportSettings())
    # Number of suspected crashes at which requests with the same fingerprint are quarantined; the
    # second crash is sufficient if no other request was in flight.
    crash_limit: int = _field(3, low=1, high=10)
    log: LogSettings = _field(LogSettings())
