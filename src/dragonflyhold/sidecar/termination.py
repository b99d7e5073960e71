"""Ends requests: updates every table consistently and notifies the readers of the answer."""

from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError
from dragonflyhold.ids import RequestId
from dragonflyhold.requests import AnswerEnd, RequestRecord
from dragonflyhold.sidecar.tables import Tables
from dragonflyhold.states import Outcome, RequestState


def decline(
    tables: Tables, request_id: RequestId, info: RefusalInfo | None, now: float
) -> RequestRecord:
    """Decline an issued or queued request; a request in any other state is left unchanged."""
    previous_state = tables.permits.lookup(request_id, now).state
    record = tables.permits.decline(request_id, now, info)
    if previous_state in (RequestState.ISSUED, RequestState.QUEUED):
        code = record.code or ErrorCode.DECLINED
        tables.queue.remove(request_id)
        tables.payloads.pop(request_id, None)
        tables.explain.add(request_id, f"declined: {code.value}: {record.message}")
        end = AnswerEnd(outcome=Outcome.NOT_RUN, code=code, message=record.message)
        finish_answer(tables, request_id, end, now)
    return record


def refuse_queued(
    tables: Tables, request_id: RequestId, code: ErrorCode, message: str, now: float
) -> None:
    """Refuse an accepted request that has not started."""
    tables.metrics.count_refusal(code.value)
    decline(tables, request_id, RefusalInfo(code, message, Outcome.NOT_RUN), now)


def end_started(
    tables: Tables, request_id: RequestId, state: RequestState, end: AnswerEnd, now: float
) -> None:
    """End a request that was started; it must already be removed from the in-flight table."""
    payload = tables.payloads.pop(request_id, None)
    kind = payload.kind if payload is not None else ""
    tables.runs.pop(request_id, None)
    tables.permits.finish(request_id, state, now, end.code, end.message)
    tables.explain.add(request_id, f"ended: {state.value} {end.message}".rstrip())
    tables.metrics.count_request(kind, end.outcome.value)
    if end.code is not None:
        tables.metrics.count_event(f"ended_{end.code.value}")
    finish_answer(tables, request_id, end, now)


def finish_answer(tables: Tables, request_id: RequestId, end: AnswerEnd, now: float) -> None:
    """End the answer and notify its readers."""
    tables.answers.finish(request_id, end, now)
    tables.hub.notify_readers(request_id)


def next_permit(tables: Tables, request_id: RequestId, now: float) -> str:
    """Return a permit for the caller's next request.

    Empty if this request used no permit or if no permit can be issued.
    """
    if tables.condition.leaving_sources or not tables.permits.lookup(request_id, now).is_permit:
        return ""
    try:
        return tables.permits.issue(1, now)[0]
    except RequestError:
        return ""
