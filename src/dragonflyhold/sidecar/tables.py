"""The tables of a sidecar, shared by the systems that run over them in one thread."""

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
    """What a sidecar needs of the configuration."""

    @property
    def view(self) -> ConfigView:
        """The configuration in force."""

    def is_fresh(self, now: float) -> bool:
        """Whether new work may be taken."""

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Learn that a peer has a revision."""


@final
@dataclasses.dataclass(slots=True)
class UpstreamCondition:
    """Whether the upstream takes new work, and its size."""

    is_up: bool = False
    epoch: Epoch = Epoch(0)
    batch_limit: int = 1
    # Sources that say that the upstream is leaving, such as ``sigterm``.
    leaving_sources: set[str] = dataclasses.field(default_factory=set)

    @property
    def state(self) -> UpstreamState:
        """State shown to entries."""
        if self.leaving_sources:
            return UpstreamState.LEAVING
        return UpstreamState.ACTIVE if self.is_up else UpstreamState.DOWN


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tables:
    """All tables and the services that the systems share."""

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
        """Service of the upstream; empty while the configuration does not name it."""
        upstream = self.config.view.upstream(self.name)
        return upstream.service if upstream is not None else ServiceName("")

    @property
    def is_engine(self) -> bool:
        """Whether the upstream is a model engine."""
        return self.settings.upstream.type is ServiceType.ENGINE


class Residency(Protocol):
    """Which adapter versions can be used now."""

    def find(self, key: AdapterKey) -> int | None:
        """Return the slot of a usable adapter version."""

    def resident(self) -> list[AdapterKey]:
        """Return the usable adapter versions."""

    def record_request(self, key: AdapterKey, now: float) -> None:
        """Count a request."""

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
