"""Creates a sidecar with its configuration service and its platform and upstream clients."""

import random
from collections.abc import Sequence
from typing import final

import grpc

from dragonflyhold.config.objects import Upstream
from dragonflyhold.config.peers import DaemonIdentity
from dragonflyhold.config.service import ConfigService
from dragonflyhold.config.view import ConfigView
from dragonflyhold.ids import Incarnation, Region, Revision
from dragonflyhold.observability import Metrics
from dragonflyhold.requests import CrashTable
from dragonflyhold.settings import SidecarSettings
from dragonflyhold.sidecar.daemon import ExternalServices, SidecarDaemon
from dragonflyhold.states import ServiceType
from dragonflyhold.storage import HttpObjectStore, HttpTable, HttpVmList
from dragonflyhold.timers import TimerService
from dragonflyhold.upstreams import HttpEngineClient, HttpPlainClient


@final
class SidecarConfig:
    """Adapts the configuration service to the needs of a sidecar."""

    def __init__(self, service: ConfigService, region: Region, own_address: str) -> None:
        self._service = service
        self._region = region
        self._own_address = own_address

    @property
    def view(self) -> ConfigView:
        """The configuration in force."""
        return self._service.view

    def start(self) -> None:
        """Start following the configuration."""
        self._service.start()

    def stop(self) -> None:
        """Stop following the configuration."""
        self._service.stop()

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration is recent enough to accept new work."""
        return self._service.is_fresh(now)

    def add_to_server(self, server: grpc.Server) -> None:
        """Register the gRPC service through which peers fetch the configuration."""
        self._service.add_to_server(server)

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Fetch a revision from a peer; without an address, from a random other sidecar."""
        if not address:
            address = self._random_peer_address()
        if address:
            self._service.observe_revision(revision, address)

    def budget_upstreams(self) -> Sequence[Upstream]:
        """Return the engines of the region, which load from the same weight store."""
        state = self._service.state
        return [
            upstream
            for upstream in state.upstreams()
            if (service := self.view.service(upstream.service)) is not None
            and service.region == self._region
            and service.type is ServiceType.ENGINE
        ]

    def _random_peer_address(self) -> str:
        addresses = [
            upstream.sidecar_address
            for upstream in self._service.state.upstreams()
            if upstream.sidecar_address != self._own_address
        ]
        return random.choice(addresses) if addresses else ""


def make_daemon(settings: SidecarSettings) -> SidecarDaemon:
    """Return a daemon for the platform and the upstream in the settings."""
    table = HttpTable(settings.platform)
    is_engine = settings.upstream.type is ServiceType.ENGINE
    external = ExternalServices(
        table=table,
        vms=HttpVmList(settings.platform),
        engine=HttpEngineClient(settings.upstream) if is_engine else None,
        plain=None if is_engine else HttpPlainClient(settings.upstream),
    )

    def make_config(
        timers: TimerService, metrics: Metrics, crashes: CrashTable, incarnation: Incarnation
    ) -> SidecarConfig:
        identity = DaemonIdentity(
            settings.name,
            settings.region,
            settings.data_centre,
            settings.grpc_address,
            incarnation,
        )
        object_store = HttpObjectStore(settings.platform)
        service = ConfigService(
            settings.config, identity, table, object_store, settings.tls, timers, metrics, crashes
        )
        return SidecarConfig(service, settings.region, settings.grpc_address)

    return SidecarDaemon(settings, external, make_config)
