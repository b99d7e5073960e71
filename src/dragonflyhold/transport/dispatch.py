"""Dispatches items of a stream to their requests, each piece exactly once and in order."""

import dataclasses
from collections.abc import Mapping
from typing import final

from dragonflyhold.errors import ErrorCode, RefusalInfo
from dragonflyhold.states import Outcome
from dragonflyhold.transport.open_request import (
    AnswerEnded,
    OpenRequest,
    PieceReceived,
    RequestAccepted,
    RequestLost,
    RequestRefused,
)
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# A stream delivers items without gaps, so a piece that is still missing after several
# resynchronizations indicates a faulty sidecar.
MAX_RESYNCS = 5


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DispatchResult:
    """Actions that the link must take after an item."""

    # Request whose answer must be read again from its next sequence number.
    resync: OpenRequest | None = None
    ended: OpenRequest | None = None
    # The caller disconnected before the id was known; the request can now be cancelled.
    abandoned: OpenRequest | None = None


def dispatch_item(
    open_requests: Mapping[int, OpenRequest], item: pb.SidecarItem
) -> DispatchResult | None:
    """Deliver one item to its request; ignore items of requests that are no longer open."""
    match item.WhichOneof("item"):
        case "accepted":
            request = open_requests.get(item.accepted.tag)
            return _accept(request, item.accepted) if request is not None else None
        case "piece":
            request = open_requests.get(item.piece.tag)
            return _deliver_piece(request, item.piece) if request is not None else None
        case "end":
            request = open_requests.get(item.end.tag)
            return _end(request, item.end) if request is not None else None
        case "refused":
            request = open_requests.get(item.refused.tag)
            return _refuse(request, item.refused) if request is not None else None
        case _:
            return None


def _accept(request: OpenRequest, accepted: pb.Accepted) -> DispatchResult | None:
    is_first = not request.is_accepted
    request.request_id = accepted.request_id
    request.is_accepted = True
    if request.is_abandoned:
        return DispatchResult(abandoned=request)
    if is_first:
        request.events.put(RequestAccepted(accepted.request_id, accepted.resident))
    return None


def _deliver_piece(request: OpenRequest, piece: pb.Piece) -> DispatchResult | None:
    if piece.sequence < request.next_sequence:
        return None
    if piece.sequence > request.next_sequence:
        # Every piece after a gap reveals it, but one resynchronization is enough.
        return _resync(request) if request.resync_from != request.next_sequence else None
    request.next_sequence += 1
    request.resyncs = 0
    request.events.put(PieceReceived(piece.sequence, piece.data))
    return None


def _end(request: OpenRequest, end: pb.End) -> DispatchResult:
    if end.count > request.next_sequence:
        return _resync(request)
    request.events.put(AnswerEnded(end))
    return DispatchResult(ended=request)


def _refuse(request: OpenRequest, refused: pb.Refused) -> DispatchResult:
    request.events.put(RequestRefused(refused))
    return DispatchResult(ended=request)


def _resync(request: OpenRequest) -> DispatchResult:
    """Request the missing pieces, or end the request after too many attempts."""
    request.resync_from = request.next_sequence
    request.resyncs += 1
    if request.resyncs <= MAX_RESYNCS and request.request_id:
        return DispatchResult(resync=request)
    message = f"pieces from {request.next_sequence} on are missing"
    info = RefusalInfo(ErrorCode.UPSTREAM_ERROR, message, Outcome.IN_DOUBT)
    request.events.put(RequestLost(info, was_sent=True))
    return DispatchResult(ended=request)
