"""External dependencies of an entry daemon, replaceable in tests."""

import dataclasses
import time
from collections.abc import Callable
from typing import Protocol, final

import grpc

from dragonflyhold.config.peers import DaemonIdentity
from dragonflyhold.config.service import ConfigService
from dragonflyhold.config.view import ConfigView
from dragonflyhold.entry import operator_view
from dragonflyhold.entry.context import RunContext
from dragonflyhold.ids import Incarnation, Revision, new_incarnation
from dragonflyhold.observability import Metrics
from dragonflyhold.operations import OperatorService
from dragonflyhold.requests.crashes import CrashTable
from dragonflyhold.settings import EntrySettings
from dragonflyhold.storage import HttpObjectStore, HttpTable, HttpVmList
from dragonflyhold.storage.interface import VmList
from dragonflyhold.timers import TimerService


class ManagedConfig(Protocol):
    """The configuration in force and its propagation between daemons."""

    @property
    def view(self) -> ConfigView:
        """View of the configuration objects."""

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration is recent enough to accept new work."""

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Fetch the configuration if the revision is newer than the one in force."""

    def start(self) -> None:
        """Start following configuration changes."""

    def stop(self) -> None:
        """Stop following configuration changes."""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryParts:
    """Dependencies that the daemon is constructed with."""

    config: ManagedConfig
    crashes: CrashTable
    vm_list: VmList
    timers: TimerService
    metrics: Metrics
    # Registers the operator and peer services.
    add_to_server: Callable[[grpc.Server, RunContext], None]
    incarnation: Incarnation = dataclasses.field(default_factory=new_incarnation)


def make_parts(settings: EntrySettings) -> EntryParts:
    """Return the dependencies of a production daemon."""
    timers, metrics, incarnation = TimerService(), Metrics(), new_incarnation()
    crashes = CrashTable(settings.routing.crash_limit)
    identity = DaemonIdentity(
        settings.name,
        settings.region,
        settings.data_centre,
        settings.grpc_address,
        incarnation,
    )
    config = ConfigService(
        settings.config,
        identity,
        HttpTable(settings.platform),
        HttpObjectStore(settings.platform),
        settings.tls,
        timers,
        metrics,
        crashes,
    )

    def add_to_server(server: grpc.Server, context: RunContext) -> None:
        def is_table_reachable() -> bool:
            return config.table_age_s(time.monotonic()) < settings.config.stale_s

        operators = OperatorService(
            config,
            lambda request_id: operator_view.explain(request_id, context),
            lambda: operator_view.status(context, is_table_reachable()),
            settings.tls,
        )
        config.add_to_server(server)
        operators.add_to_server(server)

    return EntryParts(
        config=config,
        crashes=crashes,
        vm_list=HttpVmList(settings.platform),
        timers=timers,
        metrics=metrics,
        add_to_server=add_to_server,
        incarnation=incarnation,
    )
