"""Tables of a sidecar, shared by the components that run in the thread owning them."""

import dataclasses
from typing import Protocol, final

from dragonflyhold.config.view import ConfigView
from dragonflyhold.ids import (
    AdapterKey,
    Epoch,
    Incarnation,
    RequestId,
    Revision,
    ServiceName,
    UpstreamName,
)
from dragonflyhold.observability import ExplainLog, Metrics
from dragonflyhold.requests import (
    AdmissionQueue,
    AnswerStore,
    CrashTable,
    InflightTable,
    PermitTable,
    ServiceTime,
)
from dragonflyhold.settings import SidecarSettings
from dragonflyhold.sidecar.outbox import StreamHub
from dragonflyhold.sidecar.runs import Payload, RequestRun
from dragonflyhold.states import ServiceType, UpstreamState


class ConfigSource(Protocol):
    """Configuration as used by a sidecar."""

    @property
    def view(self) -> ConfigView:
        """The configuration in force."""

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration is recent enough to accept new work."""

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Record that a peer has a revision, and fetch it if it is newer."""


@final
@dataclasses.dataclass(slots=True)
class UpstreamCondition:
    """Whether the upstream accepts new work, and how much at a time."""

    is_up: bool = False
    # Fencing epoch of this sidecar; 0 until a health check reports it.
    epoch: Epoch = Epoch(0)
    batch_limit: int = 1
    # Sources that report that the upstream is leaving, such as ``vm_list``.
    leaving_sources: set[str] = dataclasses.field(default_factory=set)

    @property
    def state(self) -> UpstreamState:
        """State that is reported to entries."""
        if self.leaving_sources:
            return UpstreamState.LEAVING
        return UpstreamState.ACTIVE if self.is_up else UpstreamState.DOWN


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tables:
    """All tables, and the services that the components of a sidecar share."""

    settings: SidecarSettings
    incarnation: Incarnation
    config: ConfigSource
    metrics: Metrics
    explain: ExplainLog
    hub: StreamHub
    permits: PermitTable
    answers: AnswerStore
    queue: AdmissionQueue
    inflight: InflightTable
    crashes: CrashTable
    condition: UpstreamCondition = dataclasses.field(default_factory=UpstreamCondition)
    service_time: ServiceTime = dataclasses.field(default_factory=ServiceTime)
    payloads: dict[RequestId, Payload] = dataclasses.field(default_factory=dict)
    runs: dict[RequestId, RequestRun] = dataclasses.field(default_factory=dict)

    @property
    def name(self) -> UpstreamName:
        """Name of the upstream."""
        return self.settings.upstream.name

    @property
    def service(self) -> ServiceName:
        """Service of the upstream; empty if the upstream is not in the configuration."""
        upstream = self.config.view.upstream(self.name)
        return upstream.service if upstream is not None else ServiceName("")

    @property
    def is_engine(self) -> bool:
        """Whether the upstream is a model engine."""
        return self.settings.upstream.type is ServiceType.ENGINE


class Residency(Protocol):
    """Adapter versions that are resident on the upstream."""

    def find(self, key: AdapterKey) -> int | None:
        """Return the slot in which an adapter version is resident and usable, if any."""

    def resident(self) -> list[AdapterKey]:
        """Return the adapter versions that are resident and usable."""

    def record_request(self, key: AdapterKey, now: float) -> None:
        """Count an admitted request towards the popularity of its adapter."""

    @property
    def count(self) -> int:
        """Number of slots."""


def make_tables(
    settings: SidecarSettings,
    incarnation: Incarnation,
    config: ConfigSource,
    crashes: CrashTable,
    metrics: Metrics,
) -> Tables:
    """Return empty tables."""
    return Tables(
        settings=settings,
        incarnation=incarnation,
        config=config,
        metrics=metrics,
        explain=ExplainLog(),
        hub=StreamHub(),
        permits=PermitTable(settings.upstream.name, incarnation, settings.permits),
        answers=AnswerStore(settings.answers),
        queue=AdmissionQueue(settings.admission),
        inflight=InflightTable(),
        crashes=crashes,
    )
