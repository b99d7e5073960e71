"""Interfaces of the platform services that the daemons use.

Every call raises ``PlatformUnavailableError`` if there is no response in time. A write may have
taken effect nevertheless.
"""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol, final

from dragonflyhold.ids import DataCentre, VmName


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; ``version`` counts its writes, starting at 1."""

    key: str
    version: int
    value: bytes


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Precondition that a row is at ``version``, or does not exist if ``version`` is 0."""

    key: str
    version: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A row to write."""

    key: str
    value: bytes


class Table(Protocol):
    """A transactional key-value table."""

    def read(self, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""

    def read_prefix(self, prefix: str, start_after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return up to ``limit`` rows whose keys start with ``prefix``, in key order.

        With ``start_after``, only rows with greater keys are returned.
        """

    def write(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> None:
        """Write all rows atomically; raise ``ConditionFailedError`` if a condition is not met."""


class ObjectStore(Protocol):
    """A store of binary objects."""

    def get(self, key: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""

    def put(self, key: str, data: bytes) -> None:
        """Create or replace an object."""


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the platform's list of VMs."""

    name: VmName
    # IP address.
    address: str
    data_centre: DataCentre
    state: VmState
    # Name of the upstream on the VM; empty for entry VMs.
    upstream: str


class VmList(Protocol):
    """The platform's list of VMs, which lags behind their actual state."""

    def list(self) -> Sequence[Vm]:
        """Return the VMs in the latest state that the platform knows."""
