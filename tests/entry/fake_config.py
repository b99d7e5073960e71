"""In-memory configuration for tests."""

from collections.abc import Sequence

from dragonflyhold.config.objects import (
    AdapterVersion,
    Freshness,
    RequestKind,
    Service,
    Upstream,
)
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    DataCentre,
    KindName,
    Region,
    Revision,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.states import ServiceType

SERVICE = ServiceName("tapster-lm")
PLAIN_SERVICE = ServiceName("ticket-desk")
ADAPTER = AdapterName("stout")
MODEL = "tapster-lm/stout:3"


class FakeConfig:
    """Configuration view with settable freshness, one engine service and one plain service."""

    def __init__(self) -> None:
        self.fresh = True
        self.revision_number = 1
        self.observed_revisions: list[int] = []
        self.upstreams: dict[str, Upstream] = {}
        self.services = {
            SERVICE: Service(name=SERVICE, region=Region("almaty"), type=ServiceType.ENGINE),
            PLAIN_SERVICE: Service(
                name=PLAIN_SERVICE, region=Region("almaty"), type=ServiceType.PLAIN
            ),
        }
        key = AdapterKey(SERVICE, ADAPTER, Version(3))
        self.versions = {key: AdapterVersion(key=key, weights="w/stout/3")}
        self.kinds = {
            (service, name): RequestKind(
                service=service,
                name=KindName(name),
                worth=1.0,
                deadline_ms=10_000,
                idempotent=name == "default",
            )
            for service in self.services
            for name in ("default", "issue")
        }

    @property
    def view(self) -> "FakeConfig":
        return self

    @property
    def revision(self) -> Revision:
        return Revision(self.revision_number)

    def add_upstream(self, name: str, address: str, service: ServiceName = SERVICE) -> None:
        upstream = Upstream(
            name=UpstreamName(name),
            service=service,
            data_centre=DataCentre("almaty-a"),
            sidecar_address=address,
        )
        self.upstreams[name] = upstream
        self.revision_number += 1

    def remove_upstream(self, name: str) -> None:
        del self.upstreams[name]
        self.revision_number += 1

    def is_fresh(self, now: float) -> bool:
        return self.fresh

    def observe_revision(self, revision: Revision, address: str) -> None:
        self.observed_revisions.append(revision)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def freshness(self, now: float) -> Freshness:
        return Freshness(self.revision, 0.0)

    def service(self, name: ServiceName) -> Service | None:
        return self.services.get(name)

    def upstream(self, name: UpstreamName) -> Upstream | None:
        return self.upstreams.get(name)

    def upstreams_of(self, service: ServiceName) -> Sequence[Upstream]:
        found = [row for row in self.upstreams.values() if row.service == service]
        return sorted(found, key=lambda row: row.name)

    def has_adapter(self, service: ServiceName, adapter: str) -> bool:
        return any(key[:2] == (service, adapter) for key in self.versions)

    def version(self, key: AdapterKey) -> AdapterVersion | None:
        return self.versions.get(key)

    def kind(self, service: ServiceName, name: KindName) -> RequestKind | None:
        return self.kinds.get((service, name))
