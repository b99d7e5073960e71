"""The parts of an entry daemon that reach outside the process, replaceable in tests."""

import dataclasses
from collections.abc import Callable
from typing import Protocol, final

import grpc

from dragonflyhold.config.view import ConfigView
from dragonflyhold.entry.context import RunContext
from dragonflyhold.ids import Incarnation, Revision, new_incarnation
from dragonflyhold.observability import Metrics
from dragonflyhold.platform.interface import VmList
from dragonflyhold.requests.crashes import CrashTable
from dragonflyhold.settings import EntrySettings
from dragonflyhold.timers import TimerService


class ConfigRunner(Protocol):
    """The configuration in force and its propagation."""

    @property
    def view(self) -> ConfigView:
        """The objects."""

    def is_fresh(self, now: float) -> bool:
        """Whether new work may be taken."""

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Catch up if the revision is newer."""

    def start(self) -> None:
        """Start to follow the configuration."""

    def stop(self) -> None:
        """Stop."""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryParts:
    """What the daemon is wired to."""

    config: ConfigRunner
    crashes: CrashTable
    vm_list: VmList
    timers: TimerService
    metrics: Metrics
    # Adds the operator and peer interfaces.
    add_to_server: Callable[[grpc.Server, RunContext], None]
    incarnation: Incarnation = dataclasses.field(default_factory=new_incarnation)


def make_parts(settings: EntrySettings) -> EntryParts:
    """Return the parts of a real daemon."""
    raise NotImplementedError(settings.name)
