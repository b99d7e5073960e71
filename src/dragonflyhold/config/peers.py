"""Interface of the calls to peers that propagation uses."""

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
    """Identity of a daemon; ``address`` is the gRPC address at which peers reach it."""

    name: str
    region: Region
    data_centre: DataCentre
    address: str
    incarnation: Incarnation


class PeerUnavailableError(DragonflyholdError):
    """Raised if a peer did not reply in time."""


class PeerClient(Protocol):
    """Calls to peers; thread-safe; raises ``PeerUnavailableError``."""

    def compare(
        self, address: str, request: pb.CompareRequest, timeout_s: float
    ) -> pb.CompareReply:
        """Exchange revisions and freshness."""

    def fetch(
        self, address: str, request: pb.FetchRequest, timeout_s: float
    ) -> Iterable[pb.FetchChunk]:
        """Return the changes since a revision, or a snapshot, completely within the timeout."""

    def open_addresses(self) -> Collection[str]:
        """Return the addresses of peers with an open connection."""
