"""Delivery of answers to callers, as whole responses or event streams."""

import contextlib
from collections.abc import Generator, Iterable, Mapping, Sequence
from typing import final

from dragonflyhold.entry import replies
from dragonflyhold.entry.answer_read import AnswerRead
from dragonflyhold.entry.caller_input import CallerCall
from dragonflyhold.entry.context import RunContext
from dragonflyhold.entry.http_server import CallerDisconnectedError, CallerExchange
from dragonflyhold.entry.lookups import owner_of
from dragonflyhold.entry.request_run import (
    AnswerCompleted,
    PiecesReceived,
    RequestRun,
    RequestStarted,
    RunEvent,
    Waiting,
)
from dragonflyhold.errors import RequestError
from dragonflyhold.ids import RequestId
from dragonflyhold.states import ServiceType
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# Hop-by-hop headers of the connection between upstream and sidecar, which are not forwarded.
_HOP_HEADERS = frozenset(
    {"connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"}
)


def reply_completion(
    exchange: CallerExchange, run: RequestRun, call: CallerCall, context: RunContext
) -> None:
    """Send a completion as one JSON object."""
    pieces, end = _collect_run(exchange, run, call, context)
    if end is None:
        return
    text = b"".join(pieces).decode("utf-8", "replace")
    digest = end.digest.hex()
    body = replies.completion_body(run.request_id, call.model, text, end.count, digest)
    exchange.reply_json(200, body, _response_headers(run.request_id, end.next_permit))


def reply_plain(
    exchange: CallerExchange, run: RequestRun, call: CallerCall, context: RunContext
) -> None:
    """Send the status, headers and body that a plain service returned."""
    pieces, end = _collect_run(exchange, run, call, context)
    if end is not None:
        _reply_plain_end(exchange, run.request_id, pieces, end)


def stream_completion(
    exchange: CallerExchange, run: RequestRun, call: CallerCall, context: RunContext
) -> None:
    """Send a completion as server-sent events."""
    stream = _EventStream(exchange, call.model, context)
    try:
        with contextlib.closing(_counted_events(run, call, context)) as events:
            stream.write_all(events)
    except RequestError as error:
        stream.write_error(error, run.public_id)


def resume_answer(
    exchange: CallerExchange, request_id: RequestId, start: int, context: RunContext
) -> None:
    """Send the answer of an earlier request, starting at a sequence number."""
    upstream = owner_of(request_id, context)
    read = AnswerRead(request_id, start, upstream, context)
    service = context.config.view.service(upstream.service)
    if service is not None and service.type is ServiceType.PLAIN:
        pieces, end = _collect_pieces(exchange, read.events())
        if end is not None:
            _reply_plain_end(exchange, request_id, pieces, end)
        return
    stream = _EventStream(exchange, upstream.service, context)
    try:
        with contextlib.closing(read.events()) as events:
            stream.write_all(events)
    except RequestError as error:
        stream.write_error(error, request_id)


@final
class _EventStream:
    """Writes server-sent events.

    The status is sent with the first event, so an earlier refusal still gets an error status.
    """

    def __init__(self, exchange: CallerExchange, model: str, context: RunContext) -> None:
        self._exchange = exchange
        self._model = model
        self._context = context
        self._request_id = ""
        self._opened_at = context.clock()
        self._sent_at = self._opened_at

    def write_all(self, events: Iterable[RunEvent]) -> None:
        """Write all events; raise ``CallerDisconnectedError`` or the error of the run."""
        for event in events:
            match event:
                case RequestStarted(request_id):
                    self._start(request_id)
                case PiecesReceived(sequence, pieces):
                    self._send(self._format(sequence, pieces))
                case Waiting():
                    self._handle_waiting()
                case AnswerCompleted(request_id, end):
                    digest = end.digest.hex()
                    end_event_data = replies.end_event(
                        request_id, end.count, digest, end.next_permit
                    )
                    self._send(end_event_data)

    def write_error(self, error: RequestError, request_id: str) -> None:
        """Send a typed error, as an event if the stream has started."""
        if not self._exchange.has_started:
            self._exchange.reply_error(error.info, request_id)
            return
        self._send(replies.named_event("error", replies.error_body(error.info, request_id)))

    def _start(self, request_id: str) -> None:
        is_changed = request_id != self._request_id
        self._request_id = request_id
        if self._exchange.has_started and is_changed:
            # The X-Request-Id header was sent with the id of an earlier, failed attempt.
            self._send(replies.named_event("request", {"request_id": request_id}))

    def _format(self, sequence: int, pieces: Sequence[bytes]) -> bytes:
        texts = [piece.decode("utf-8", "replace") for piece in pieces]
        return replies.piece_events(self._request_id, self._model, sequence, texts)

    def _handle_waiting(self) -> None:
        if self._exchange.is_caller_disconnected():
            raise CallerDisconnectedError
        keepalive_s = self._context.settings.http.keepalive_s
        if self._context.clock() - self._sent_at >= keepalive_s:
            self._send(replies.KEEPALIVE)

    def _send(self, data: bytes) -> None:
        if not self._exchange.has_started:
            headers = {"Content-Type": replies.EVENT_STREAM_TYPE, "Cache-Control": "no-store"}
            if self._request_id:
                headers["X-Request-Id"] = self._request_id
            self._exchange.start_stream(headers)
        self._exchange.send(data)
        self._sent_at = self._context.clock()


def _collect_run(
    exchange: CallerExchange, run: RequestRun, call: CallerCall, context: RunContext
) -> tuple[list[bytes], pb.End | None]:
    try:
        return _collect_pieces(exchange, _counted_events(run, call, context))
    except RequestError as error:
        exchange.reply_error(error.info, run.public_id)
        return [], None


def _collect_pieces(
    exchange: CallerExchange, events: Generator[RunEvent, None, None]
) -> tuple[list[bytes], pb.End | None]:
    pieces: list[bytes] = []
    end: pb.End | None = None
    with contextlib.closing(events) as open_events:
        for event in open_events:
            match event:
                case RequestStarted():
                    # Discard the pieces of an earlier attempt.
                    pieces.clear()
                case PiecesReceived(_, received):
                    pieces.extend(received)
                case Waiting() if exchange.is_caller_disconnected():
                    raise CallerDisconnectedError
                case AnswerCompleted(_, completed_end):
                    end = completed_end
                case _:
                    pass
    return pieces, end


def _counted_events(
    run: RequestRun, call: CallerCall, context: RunContext
) -> Generator[RunEvent, None, None]:
    """Yield the events of a run and count the request by its outcome."""
    outcome = "detached"
    try:
        with contextlib.closing(run.events()) as events:
            yield from events
        outcome = "ok"
    except RequestError as error:
        outcome = error.info.outcome.value
        raise
    finally:
        context.metrics.count_request(call.kind.name, outcome)


def _reply_plain_end(
    exchange: CallerExchange, request_id: str, pieces: list[bytes], end: pb.End
) -> None:
    headers = {
        name: value
        for name, value in end.headers.items()
        if name.lower() not in _HOP_HEADERS and _is_safe_header(name) and _is_safe_header(value)
    }
    headers.update(_response_headers(request_id, end.next_permit))
    status = end.status if 200 <= end.status <= 599 else 502
    exchange.reply(status, headers, b"".join(pieces))


def _response_headers(request_id: str, next_permit: str) -> Mapping[str, str]:
    headers = {"X-Request-Id": request_id}
    if next_permit:
        headers["X-Next-Permit"] = next_permit
    return headers


def _is_safe_header(text: str) -> bool:
    return not any(char in text for char in "\r\n\0")
