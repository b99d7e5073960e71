"""What the daemons need of the platform.

Every call raises ``PlatformUnavailableError`` when no answer comes in time; after a write this says
nothing about whether the write took effect.
"""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol, final

from dragonflyhold.ids import DataCentre, VmName


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; ``version`` counts its writes from 1."""

    key: str
    version: int
    value: bytes


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A row must be at ``version``; 0: it must not exist."""

    key: str
    version: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A row to write."""

    key: str
    value: bytes


class Table(Protocol):
    """The transactional table."""

    def read(self, key: str) -> Row | None:
        """Return a row."""

    def read_prefix(self, prefix: str, start_after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return rows whose keys start with ``prefix``, in key order."""

    def write(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> None:
        """Write all rows, or none and raise ``ConditionFailedError``."""


class ObjectStore(Protocol):
    """The object store."""

    def get(self, key: str) -> bytes | None:
        """Return an object."""

    def put(self, key: str, data: bytes) -> None:
        """Write an object whole."""


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the platform's list of VMs."""

    name: VmName
    # IP number.
    address: str
    data_centre: DataCentre
    state: VmState
    # Name of the upstream on it, or empty for entry VMs.
    upstream: str


class VmList(Protocol):
    """The lagging list of VMs."""

    def list(self) -> Sequence[Vm]:
        """Return the VMs as the platform last knew them."""
