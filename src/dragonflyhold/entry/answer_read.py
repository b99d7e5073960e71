"""Reading of the answer to an earlier request, possibly submitted through another entry."""

from collections.abc import Generator
from typing import final

from dragonflyhold.config.objects import Upstream
from dragonflyhold.entry.caller_input import MAX_DEADLINE_MS
from dragonflyhold.entry.context import RunContext
from dragonflyhold.entry.outcomes import error_from_wire
from dragonflyhold.entry.request_run import (
    POLL_INTERVAL_S,
    AnswerCompleted,
    PiecesReceived,
    RequestStarted,
    RunEvent,
    Waiting,
    merge_pieces,
)
from dragonflyhold.errors import in_doubt
from dragonflyhold.ids import RequestId
from dragonflyhold.transport.open_request import (
    AnswerEnded,
    OpenRequest,
    RequestLost,
    RequestRefused,
)
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.upstream_stream import UpstreamLink


@final
class AnswerRead:
    """One read of a stored answer; iterate over ``events`` once and close the iterator."""

    def __init__(
        self, request_id: RequestId, start: int, upstream: Upstream, context: RunContext
    ) -> None:
        self._request_id = request_id
        self._start = start
        self._upstream = upstream
        self._context = context

    def events(self) -> Generator[RunEvent, None, None]:
        """Yield the events of the answer; raise ``RequestError`` if it stays incomplete."""
        context = self._context
        link = context.pool.link(self._upstream)
        # Upper bound only; the sidecar ends the answer at the request's own deadline.
        deadline = context.clock() + MAX_DEADLINE_MS / 1000
        open_request = link.attach(self._request_id, self._start, deadline)
        context.explain.add(self._request_id, f"answer read from {self._start}")
        try:
            yield from self._receive(link, open_request)
        finally:
            if not open_request.is_ended:
                link.abandon(open_request, detach=True)

    def _receive(
        self, link: UpstreamLink, open_request: OpenRequest
    ) -> Generator[RunEvent, None, None]:
        yield RequestStarted(self._request_id)
        while True:
            events = open_request.next_events(POLL_INTERVAL_S)
            if not events:
                yield Waiting()
            for event in merge_pieces(events):
                match event:
                    case PiecesReceived():
                        yield event
                    case AnswerEnded(end):
                        yield self._complete(link, open_request, end)
                        return
                    case RequestRefused(refused):
                        raise error_from_wire(
                            refused.code, refused.message, refused.outcome, refused.retry_after_ms
                        )
                    case RequestLost(info):
                        raise in_doubt(info.code, info.message)
                    case _:
                        # RequestAccepted repeats the id that is already known.
                        continue

    def _complete(
        self, link: UpstreamLink, open_request: OpenRequest, end: pb.End
    ) -> AnswerCompleted:
        if end.outcome != pb.OUTCOME_OK:
            raise error_from_wire(end.code, end.message, end.outcome)
        link.acknowledge(open_request)
        return AnswerCompleted(self._request_id, end)
