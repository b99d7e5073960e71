"""The gRPC side of a sidecar."""

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

# A call that waits longer is answered UNAVAILABLE; probes of entries time out at 1 s.
ACTOR_TIMEOUT_S = 5.0

_logger = ComponentLogger("sidecar")


@final
class SidecarServicer(sidecar_pb2_grpc.SidecarServicer):
    """Passes calls and frames to the actor."""

    def __init__(self, tables: Tables, actor: pykka.ActorRef, clock: Callable[[], float]) -> None:
        self._tables = tables
        self._actor = actor
        self._clock = clock

    def Exchange(  # noqa: N802
        self, request_iterator: Iterator[pb.EntryFrame], context: grpc.ServicerContext
    ) -> Iterator[pb.SidecarFrame]:
        """Carry all requests of one entry."""
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
        """Answer with the identity of this process."""
        return self._ask_actor(msg.ProbeCall(), context)

    def IssuePermits(  # noqa: N802
        self, request: pb.IssuePermitsRequest, context: grpc.ServicerContext
    ) -> pb.IssuePermitsReply:
        """Issue request ids ahead."""
        return self._ask_actor(msg.IssueCall(request), context)

    def Lookup(  # noqa: N802
        self, request: pb.LookupRequest, context: grpc.ServicerContext
    ) -> pb.LookupReply:
        """Return the state of a request."""
        return self._ask_actor(msg.LookupCall(request.request_id), context)

    def Decline(  # noqa: N802
        self, request: pb.DeclineRequest, context: grpc.ServicerContext
    ) -> pb.LookupReply:
        """Record that a request will not run."""
        return self._ask_actor(msg.DeclineCall(request.request_id), context)

    def _read(self, frames: Iterator[pb.EntryFrame], outbox: StreamOutbox) -> None:
        try:
            for frame in frames:
                outbox.last_received_at = self._clock()
                self._actor.tell(msg.FrameReceived(outbox, frame))
        except grpc.RpcError as error:
            _logger.debug("Stream broke.", entry=outbox.entry, error=error)
        except pykka.ActorDeadError:
            _logger.debug("Stream ended by shutdown.", entry=outbox.entry)
        except Exception as error:
            # gRPC raises a bare exception from the iterator of a cancelled call.
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
