"""gRPC service of a sidecar."""

import threading
from collections.abc import Callable, Iterator
from typing import Any, final

import grpc
import pykka

from dragonflyhold.observability import ComponentLogger
from dragonflyhold.sidecar import messages as msg
from dragonflyhold.sidecar.outbox import StreamOutbox
from dragonflyhold.sidecar.tables import Tables
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2_grpc

# A call that the actor does not process in time fails with UNAVAILABLE. A probe by an entry times
# out earlier, by default after 1 s.
ACTOR_TIMEOUT_S = 5.0

_logger = ComponentLogger("sidecar")


@final
class SidecarServicer(sidecar_pb2_grpc.SidecarServicer):
    """Forwards calls and frames to the actor."""

    def __init__(self, tables: Tables, actor: pykka.ActorRef, clock: Callable[[], float]) -> None:
        self._tables = tables
        self._actor = actor
        self._clock = clock

    def Exchange(  # noqa: N802
        self, request_iterator: Iterator[pb.EntryFrame], context: grpc.ServicerContext
    ) -> Iterator[pb.SidecarFrame]:
        """Exchange requests and answers with one entry."""
        config = self._tables.config
        outbox = StreamOutbox(
            self._tables.answers,
            self._tables.hub,
            lambda: int(config.view.revision),
            self._clock,
        )
        self._tables.hub.add(outbox)
        context.add_callback(outbox.close)
        reader = threading.Thread(
            target=self._read, args=(request_iterator, outbox), name="exchange", daemon=True
        )
        reader.start()
        try:
            yield from outbox.frames()
        finally:
            self._tables.hub.remove(outbox)
            context.cancel()

    def Probe(  # noqa: N802
        self, request: pb.ProbeRequest, context: grpc.ServicerContext
    ) -> pb.ProbeReply:
        """Return the identity and the state of this sidecar."""
        return self._ask_actor(msg.ProbeCall(), context)

    def IssuePermits(  # noqa: N802
        self, request: pb.IssuePermitsRequest, context: grpc.ServicerContext
    ) -> pb.IssuePermitsReply:
        """Issue permits for requests to be submitted later."""
        return self._ask_actor(msg.IssueCall(request), context)

    def Lookup(  # noqa: N802
        self, request: pb.LookupRequest, context: grpc.ServicerContext
    ) -> pb.LookupReply:
        """Return the state of a request."""
        return self._ask_actor(msg.LookupCall(request.request_id), context)

    def Decline(  # noqa: N802
        self, request: pb.DeclineRequest, context: grpc.ServicerContext
    ) -> pb.LookupReply:
        """Decline a request that has not started, and return its state."""
        return self._ask_actor(msg.DeclineCall(request.request_id), context)

    def _read(self, frames: Iterator[pb.EntryFrame], outbox: StreamOutbox) -> None:
        try:
            for frame in frames:
                outbox.last_received_at = self._clock()
                self._actor.tell(msg.FrameReceived(outbox, frame))
        except grpc.RpcError as error:
            _logger.debug("Stream failed.", entry=outbox.entry, error=error)
        except pykka.ActorDeadError:
            _logger.debug("Stream closed because the sidecar is stopping.", entry=outbox.entry)
        except Exception as error:
            # The request iterator of a cancelled gRPC call raises a plain ``Exception``.
            _logger.debug("Stream ended.", entry=outbox.entry, error=error)
        outbox.close()

    def _ask_actor(self, message: object, context: grpc.ServicerContext) -> Any:
        try:
            reply = self._actor.ask(message, timeout=ACTOR_TIMEOUT_S)
        except (pykka.Timeout, pykka.ActorDeadError) as error:
            context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
        if reply is None:
            context.abort(grpc.StatusCode.INTERNAL, "call failed")
        return reply
