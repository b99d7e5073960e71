"""Reads the answer of a request that was submitted before, perhaps through another entry."""

from collections.abc import Generator
from typing import final

from dragonflyhold.config.objects import Upstream
from dragonflyhold.entry.caller_input import MAX_DEADLINE_MS
from dragonflyhold.entry.context import RunContext
from dragonflyhold.entry.outcomes import error_of
from dragonflyhold.entry.request_run import (
    POLL_S,
    Ended,
    Passed,
    RunEvent,
    Started,
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
    """One resumed answer; iterate over ``events`` once and close the iterator."""

    def __init__(
        self, request_id: RequestId, start: int, upstream: Upstream, context: RunContext
    ) -> None:
        self._request_id = request_id
        self._start = start
        self._upstream = upstream
        self._context = context

    def events(self) -> Generator[RunEvent, None, None]:
        """Yield what happens; raise ``RequestError`` if no complete answer comes."""
        context = self._context
        link = context.pool.link(self._upstream)
        # The sidecar ends the answer at the deadline of its request; this is only a bound.
        deadline = context.clock() + MAX_DEADLINE_MS / 1000
        opened = link.attach(self._request_id, self._start, deadline)
        context.explain.add(self._request_id, f"answer read from {self._start}")
        try:
            yield from self._follow(link, opened)
        finally:
            if not opened.is_ended:
                link.abandon(opened, detach=True)

    def _follow(self, link: UpstreamLink, opened: OpenRequest) -> Generator[RunEvent, None, None]:
        yield Started(self._request_id)
        while True:
            events = opened.next_events(POLL_S)
            if not events:
                yield Waiting()
            for event in merge_pieces(events):
                match event:
                    case Passed():
                        yield event
                    case AnswerEnded(end):
                        yield self._finish(link, opened, end)
                        return
                    case RequestRefused(refused):
                        raise error_of(
                            refused.code, refused.message, refused.outcome, refused.retry_after_ms
                        )
                    case RequestLost(info):
                        raise in_doubt(info.code, info.message)
                    case _:
                        # Accepted: the id is known already.
                        continue

    def _finish(self, link: UpstreamLink, opened: OpenRequest, end: pb.End) -> Ended:
        if end.outcome != pb.OUTCOME_OK:
            raise error_of(end.code, end.message, end.outcome)
        link.acknowledge(opened)
        return Ended(self._request_id, end)
