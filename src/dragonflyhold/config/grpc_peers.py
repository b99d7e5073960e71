"""Connections to peers, and the servicer that answers them."""

import collections
import threading
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import final

import grpc

from dragonflyhold.config.peers import PeerUnavailableError
from dragonflyhold.config.replica import ConfigReplica
from dragonflyhold.ids import Revision
from dragonflyhold.settings import TlsSettings
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc as pb_grpc

# Enough for peers in 8 data centres of all regions; each costs memory on both sides.
MAX_CHANNELS = 12
# Fetches that are answered at once; more are refused, so that they do not take all threads.
MAX_FETCHES = 3


@final
class GrpcPeerClient:
    """Keeps connections to the latest peers; implements ``PeerClient``."""

    def __init__(self, tls: TlsSettings) -> None:
        self._tls = tls
        self._lock = threading.Lock()
        self._channels: collections.OrderedDict[str, grpc.Channel] = collections.OrderedDict()
        self._closed = False

    def compare(
        self, address: str, request: pb.CompareRequest, timeout_s: float
    ) -> pb.CompareReply:
        """Exchange revisions and freshness."""
        channel = self._channel(address)
        try:
            return pb_grpc.ConfigPeerStub(channel).Compare(request, timeout=timeout_s)
        except (grpc.RpcError, ValueError) as error:
            raise self._failed(address, channel, error) from error

    def fetch(
        self, address: str, request: pb.FetchRequest, timeout_s: float
    ) -> Iterable[pb.FetchChunk]:
        """Return the changes since a revision, or a snapshot."""
        channel = self._channel(address)
        try:
            return list(pb_grpc.ConfigPeerStub(channel).Fetch(request, timeout=timeout_s))
        except (grpc.RpcError, ValueError) as error:
            raise self._failed(address, channel, error) from error

    def open_addresses(self) -> Collection[str]:
        """Return the peers to which a connection is open."""
        with self._lock:
            return list(self._channels)

    def close(self) -> None:
        """Close all connections."""
        with self._lock:
            self._closed = True
            channels = list(self._channels.values())
            self._channels.clear()
        for channel in channels:
            channel.close()

    def _channel(self, address: str) -> grpc.Channel:
        dropped: grpc.Channel | None = None
        with self._lock:
            if self._closed:
                raise PeerUnavailableError("the connections are closed")
            channel = self._channels.get(address)
            if channel is None:
                channel = self._channels[address] = make_channel(address, self._tls)
            self._channels.move_to_end(address)
            if len(self._channels) > MAX_CHANNELS:
                _, dropped = self._channels.popitem(last=False)
        if dropped is not None:
            dropped.close()
        return channel

    def _failed(
        self, address: str, channel: grpc.Channel, error: Exception
    ) -> PeerUnavailableError:
        # A connection may be silent for good while new ones work, so the next call opens one.
        with self._lock:
            if self._channels.get(address) is channel:
                del self._channels[address]
        channel.close()
        return PeerUnavailableError(f"peer {address}: {error}")


@final
class ConfigPeerServicer(pb_grpc.ConfigPeerServicer):
    """Answers peers."""

    def __init__(
        self, replica: ConfigReplica, observe_revision: Callable[[Revision, str], None]
    ) -> None:
        self._replica = replica
        self._observe_revision = observe_revision
        self._fetches = threading.Semaphore(MAX_FETCHES)

    def Compare(  # noqa: N802
        self, request: pb.CompareRequest, context: grpc.ServicerContext
    ) -> pb.CompareReply:
        """Exchange revisions and freshness."""
        reply = self._replica.answer_compare(request)
        self._observe_revision(Revision(request.revision), request.address)
        return reply

    def Fetch(  # noqa: N802
        self, request: pb.FetchRequest, context: grpc.ServicerContext
    ) -> Iterator[pb.FetchChunk]:
        """Return merged changes since a revision, or a snapshot."""
        if not self._fetches.acquire(blocking=False):
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many fetches; ask another peer")
        try:
            yield from self._replica.answer_fetch(Revision(request.since))
        finally:
            self._fetches.release()
