"""gRPC client and servicer for calls between peers."""

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

# Enough for peers in 8 data centres of all regions; each channel uses memory on both sides.
MAX_CHANNELS = 12
# Fetches served concurrently; more are rejected, so that they do not occupy all threads.
MAX_FETCHES = 3


@final
class GrpcPeerClient:
    """Caches channels to the most recently used peers; implements ``PeerClient``."""

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
            raise self._discard_channel(address, channel, error) from error

    def fetch(
        self, address: str, request: pb.FetchRequest, timeout_s: float
    ) -> Iterable[pb.FetchChunk]:
        """Return the changes since a revision, or a snapshot."""
        channel = self._channel(address)
        try:
            return list(pb_grpc.ConfigPeerStub(channel).Fetch(request, timeout=timeout_s))
        except (grpc.RpcError, ValueError) as error:
            raise self._discard_channel(address, channel, error) from error

    def open_addresses(self) -> Collection[str]:
        """Return the addresses of peers with an open connection."""
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
        evicted: grpc.Channel | None = None
        with self._lock:
            if self._closed:
                raise PeerUnavailableError("the connections are closed")
            channel = self._channels.get(address)
            if channel is None:
                channel = self._channels[address] = make_channel(address, self._tls)
            self._channels.move_to_end(address)
            if len(self._channels) > MAX_CHANNELS:
                _, evicted = self._channels.popitem(last=False)
        if evicted is not None:
            evicted.close()
        return channel

    def _discard_channel(
        self, address: str, channel: grpc.Channel, error: Exception
    ) -> PeerUnavailableError:
        # A channel can stay unresponsive while a new one works, so the next call opens a new one.
        with self._lock:
            if self._channels.get(address) is channel:
                del self._channels[address]
        channel.close()
        return PeerUnavailableError(f"peer {address}: {error}")


@final
class ConfigPeerServicer(pb_grpc.ConfigPeerServicer):
    """Serves compare and fetch calls from peers."""

    def __init__(
        self, replica: ConfigReplica, observe_revision: Callable[[Revision, str], None]
    ) -> None:
        self._replica = replica
        self._observe_revision = observe_revision
        self._fetch_slots = threading.Semaphore(MAX_FETCHES)

    def Compare(  # noqa: N802
        self, request: pb.CompareRequest, context: grpc.ServicerContext
    ) -> pb.CompareReply:
        """Exchange revisions and freshness."""
        reply = self._replica.handle_compare(request)
        self._observe_revision(Revision(request.revision), request.address)
        return reply

    def Fetch(  # noqa: N802
        self, request: pb.FetchRequest, context: grpc.ServicerContext
    ) -> Iterator[pb.FetchChunk]:
        """Return merged changes since a revision, or a snapshot."""
        if not self._fetch_slots.acquire(blocking=False):
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many fetches; ask another peer")
        try:
            yield from self._replica.handle_fetch(Revision(request.since))
        finally:
            self._fetch_slots.release()
