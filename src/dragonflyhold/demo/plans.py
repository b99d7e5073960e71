"""Plans of deployments: regions, services, upstreams, adapters and request kinds."""

import dataclasses
from collections.abc import Iterator
from typing import final

from dragonflyhold.states import ServiceType


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindPlan:
    """A request kind."""

    name: str
    worth: float
    deadline_ms: int
    idempotent: bool = True
    batch: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicePlan:
    """A service with its upstreams and adapters."""

    name: str
    type: ServiceType = ServiceType.ENGINE
    upstreams: int
    adapters: int = 0
    adapter_prefix: str = ""
    kinds: tuple[KindPlan, ...] = ()
    checks_fencing: bool = False
    load_stall_weight: float = 1.0
    batch_efficiency_weight: float = 1.0

    def adapter_names(self) -> list[str]:
        """Return the names of all adapters, numbered from 1."""
        return [f"{self.adapter_prefix}-{number:04}" for number in range(1, self.adapters + 1)]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """An upstream of a service."""

    name: str
    service: ServicePlan
    data_centre: str


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentPlan:
    """One region; ``name`` is also its directory in ``examples``."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    entries: int
    # Rate limit of the weight store.
    loads_per_s: float
    slots: int = 8
    batch_limit: int = 32
    # Rate of a single stream in an engine with an otherwise empty batch.
    tokens_per_s: float = 100.0

    @property
    def engine_service(self) -> ServicePlan:
        """The first service with adapters."""
        return next(plan for plan in self.services if plan.type is ServiceType.ENGINE)

    @property
    def adapter_count(self) -> int:
        """Number of adapters of all services."""
        return sum(service.adapters for service in self.services)

    def upstreams(self) -> Iterator[UpstreamPlan]:
        """Yield the upstreams, assigned to data centres in turn."""
        index = 0
        for service in self.services:
            for number in range(1, service.upstreams + 1):
                data_centre = self.data_centres[index % len(self.data_centres)]
                yield UpstreamPlan(f"{service.name}-{number}", service, data_centre)
                index += 1

    def reduced(self, entries: int, upstreams: int, adapters: int) -> "DeploymentPlan":
        """Return a plan limited to some entries, and to some upstreams and adapters per service."""
        services = tuple(
            dataclasses.replace(
                service,
                upstreams=min(service.upstreams, upstreams),
                adapters=min(service.adapters, adapters),
            )
            for service in self.services
        )
        return dataclasses.replace(self, services=services, entries=min(self.entries, entries))


ASSOCIATION = DeploymentPlan(
    name="association",
    region="almaty",
    data_centres=("almaty-a", "almaty-b", "almaty-c", "almaty-d"),
    entries=2,
    loads_per_s=6.0,
    services=(
        ServicePlan(
            name="tapster-lm",
            upstreams=5,
            adapters=3000,
            adapter_prefix="stall",
            checks_fencing=True,
            load_stall_weight=2.0,
            kinds=(
                KindPlan(name="question", worth=1.0, deadline_ms=20_000),
                KindPlan(name="token-issue", worth=5.0, deadline_ms=20_000, idempotent=False),
                KindPlan(name="summary", worth=0.1, deadline_ms=600_000, batch=True),
            ),
        ),
        ServicePlan(
            name="token-ledger",
            type=ServiceType.PLAIN,
            upstreams=1,
            kinds=(
                KindPlan(name="balance", worth=1.0, deadline_ms=10_000),
                KindPlan(name="redeem", worth=5.0, deadline_ms=10_000, idempotent=False),
            ),
        ),
    ),
)

KAURI_RIDGE = DeploymentPlan(
    name="kauri-ridge",
    region="nz-north",
    data_centres=("nz-north-a", "nz-north-b", "nz-north-c"),
    entries=2,
    loads_per_s=4.5,
    services=(
        ServicePlan(
            name="kernel-assist",
            upstreams=6,
            adapters=2000,
            adapter_prefix="grower",
            batch_efficiency_weight=2.0,
            kinds=(
                KindPlan(name="question", worth=1.0, deadline_ms=20_000),
                KindPlan(name="contract-summary", worth=0.1, deadline_ms=3_600_000, batch=True),
            ),
        ),
        ServicePlan(
            name="ticket-desk",
            upstreams=3,
            adapters=1000,
            adapter_prefix="venue",
            batch_efficiency_weight=2.0,
            kinds=(
                KindPlan(name="question", worth=1.0, deadline_ms=20_000),
                KindPlan(name="booking", worth=5.0, deadline_ms=20_000, idempotent=False),
            ),
        ),
    ),
)

PLANS = {plan.name: plan for plan in (ASSOCIATION, KAURI_RIDGE)}
