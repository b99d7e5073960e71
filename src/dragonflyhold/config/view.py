"""Read-only interface to the configuration for other packages."""

from collections.abc import Sequence
from typing import Protocol

from dragonflyhold.config.objects import (
    AdapterVersion,
    Freshness,
    RequestKind,
    Service,
    Upstream,
)
from dragonflyhold.ids import AdapterKey, KindName, Revision, ServiceName, UpstreamName


class ConfigView(Protocol):
    """Read access to the configuration in force; thread-safe.

    Look-ups of single objects return ``None`` if the object is not registered.
    """

    @property
    def revision(self) -> Revision:
        """Highest revision installed; never decreases."""

    def freshness(self, now: float) -> Freshness:
        """Return the revision and its age at ``now`` (monotonic seconds)."""

    def service(self, name: ServiceName) -> Service | None:
        """Return a service."""

    def upstream(self, name: UpstreamName) -> Upstream | None:
        """Return an upstream."""

    def upstreams_of(self, service: ServiceName) -> Sequence[Upstream]:
        """Return the upstreams of a service, sorted by name."""

    def has_adapter(self, service: ServiceName, adapter: str) -> bool:
        """Return whether the adapter is registered, in any version."""

    def version(self, key: AdapterKey) -> AdapterVersion | None:
        """Return a registered version of an adapter."""

    def kind(self, service: ServiceName, name: KindName) -> RequestKind | None:
        """Return a request kind."""
