"""What the propagation needs of the connections to peers."""

import dataclasses
from collections.abc import Collection, Iterable
from typing import Protocol, final

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.ids import DataCentre, Incarnation, Region
from dragonflyhold.transport.schema import operator_pb2 as pb

COMPARE_TIMEOUT_S = 1.0
# A merged delta takes milliseconds; a snapshot of 150,000 adapters is a few MB.
FETCH_TIMEOUT_S = 3.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DaemonIdentity:
    """Who a daemon is to its peers; ``address`` is its gRPC address as peers reach it."""

    name: str
    region: Region
    data_centre: DataCentre
    address: str
    incarnation: Incarnation


class PeerUnavailableError(DragonflyholdError):
    """A peer did not answer in time."""


class PeerClient(Protocol):
    """Calls to peers; safe to use from any thread; raises ``PeerUnavailableError``."""

    def compare(
        self, address: str, request: pb.CompareRequest, timeout_s: float
    ) -> pb.CompareReply:
        """Exchange revisions and freshness."""

    def fetch(
        self, address: str, request: pb.FetchRequest, timeout_s: float
    ) -> Iterable[pb.FetchChunk]:
        """Return the changes since a revision, or a snapshot; all of it within the time."""

    def open_addresses(self) -> Collection[str]:
        """Return the peers to which a connection is open."""
