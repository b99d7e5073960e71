"""Request ids of one sidecar incarnation and the state of each.

A permit is a request id in state ``ISSUED``. Every id runs at most once, because it leaves
``ISSUED`` and ``QUEUED`` once, and another incarnation never runs it.
"""

import collections
import dataclasses
from collections.abc import Iterator
from typing import final

from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError, in_doubt, not_run
from dragonflyhold.ids import (
    Incarnation,
    RequestId,
    RequestOwner,
    UpstreamName,
    format_request_id,
    parse_request_id,
)
from dragonflyhold.settings import PermitSettings
from dragonflyhold.states import Outcome, RequestState

_OUTCOMES = {
    RequestState.DONE: Outcome.OK,
    RequestState.FAILED: Outcome.FAILED,
    RequestState.DECLINED: Outcome.NOT_RUN,
}


@final
@dataclasses.dataclass(slots=True, eq=False)
class RequestRecord:
    """One request id; ``since`` is the time of the last change of state."""

    request_id: RequestId
    state: RequestState
    is_permit: bool
    since: float
    # Digest of the body that was submitted first.
    digest: bytes = b""
    code: ErrorCode | None = None
    message: str = ""

    @property
    def outcome(self) -> Outcome:
        """What is known about whether the request ran."""
        return _OUTCOMES.get(self.state, Outcome.IN_DOUBT)


@final
class PermitTable:
    """All request ids of one incarnation, with a tombstone for each ended one."""

    def __init__(
        self, upstream: UpstreamName, incarnation: Incarnation, settings: PermitSettings
    ) -> None:
        self._upstream = upstream
        self._incarnation = incarnation
        self._settings = settings
        self._records: dict[RequestId, RequestRecord] = {}
        # Ids in the order in which they entered the state; stale entries are skipped.
        self._issued: collections.deque[tuple[float, RequestId]] = collections.deque()
        self._ended: collections.deque[tuple[float, RequestId]] = collections.deque()
        self._issued_count = 0
        self._next_sequence = 0

    def __len__(self) -> int:
        """Return the number of ids kept, with tombstones."""
        return len(self._records)

    @property
    def issued_count(self) -> int:
        """Permits that were neither submitted nor declined nor swept as expired."""
        return self._issued_count

    def issue(self, count: int, now: float) -> list[RequestId]:
        """Return new permits; raise ``RequestError`` (``permit_limit``) beyond a limit."""
        if not 0 < count <= self._settings.max_per_call:
            text = f"{count} permits asked, allowed are 1 to {self._settings.max_per_call}"
            raise not_run(ErrorCode.PERMIT_LIMIT, text)
        self.expire(now)
        if self._issued_count + count > self._settings.max_issued:
            text = f"{self._issued_count} permits are issued and not used"
            raise not_run(ErrorCode.PERMIT_LIMIT, text, retry_after_ms=1000)
        permits = [self._add(RequestState.ISSUED, True, now).request_id for _ in range(count)]
        self._issued.extend((now, request_id) for request_id in permits)
        self._issued_count += count
        return permits

    def assign(self, digest: bytes, now: float) -> RequestId:
        """Return a new id in state ``QUEUED`` for a request without a permit."""
        record = self._add(RequestState.QUEUED, False, now)
        record.digest = digest
        return record.request_id

    def check(self, request_id: RequestId, digest: bytes, now: float) -> RequestRecord:
        """Return the record of a submitted permit.

        In state ``ISSUED`` the submission is the first; in any other state it attaches to the
        first. Raise ``RequestError`` if it may do neither.
        """
        record = self._own_record(request_id)
        self._expire_record(record, now)
        if record.state is RequestState.DECLINED:
            code = record.code or ErrorCode.DECLINED
            raise not_run(code, record.message or "request was declined")
        if record.state is RequestState.ISSUED:
            return record
        if record.digest != digest:
            text = "permit was used with another body, which is not affected"
            raise not_run(ErrorCode.PERMIT_REUSED, text)
        return record

    def queue(self, request_id: RequestId, digest: bytes, now: float) -> None:
        """Bind an issued permit to a body and put it in state ``QUEUED``."""
        record = self._require(request_id, RequestState.ISSUED)
        record.digest = digest
        self._set_state(record, RequestState.QUEUED, now)

    def start(self, request_id: RequestId, now: float) -> None:
        """Record that the request is handed to the upstream now."""
        record = self._require(request_id, RequestState.QUEUED)
        self._set_state(record, RequestState.RUNNING, now)

    def requeue(self, request_id: RequestId, now: float) -> None:
        """Record that the upstream took no byte of a started request, which may start again."""
        record = self._require(request_id, RequestState.RUNNING)
        self._set_state(record, RequestState.QUEUED, now)

    def finish(
        self,
        request_id: RequestId,
        state: RequestState,
        now: float,
        code: ErrorCode | None = None,
        message: str = "",
    ) -> None:
        """End a running request.

        ``DECLINED`` is allowed only when no byte was written to the upstream.
        """
        record = self._require(request_id, RequestState.RUNNING)
        self._end(record, state, now, code, message)

    def decline(
        self, request_id: RequestId, now: float, info: RefusalInfo | None = None
    ) -> RequestRecord:
        """Record that the id will not run, unless it has started; return its record.

        Raise ``RequestError`` (``in_doubt``) for ids of other incarnations and forgotten ones.
        """
        record = self._own_record(request_id)
        self._expire_record(record, now)
        if record.state in (RequestState.ISSUED, RequestState.QUEUED):
            code = info.code if info is not None else ErrorCode.DECLINED
            message = info.message if info is not None else "request was declined"
            self._end(record, RequestState.DECLINED, now, code, message)
        return record

    def lookup(self, request_id: RequestId, now: float) -> RequestRecord:
        """Return the record of an id; raise ``RequestError`` (``in_doubt``) if none is kept."""
        record = self._own_record(request_id)
        self._expire_record(record, now)
        return record

    def expire(self, now: float) -> list[RequestId]:
        """Decline permits that were not used in time and return ids whose tombstone was dropped."""
        limit = now - self._settings.ttl_s
        while self._issued and self._issued[0][0] <= limit:
            _, request_id = self._issued.popleft()
            record = self._records.get(request_id)
            if record is not None:
                self._expire_record(record, now)
        dropped = []
        while self._ended and self._ended[0][0] <= limit:
            _, request_id = self._ended.popleft()
            if self._records.pop(request_id, None) is not None:
                dropped.append(request_id)
        return dropped

    def open_ids(self) -> Iterator[RequestId]:
        """Yield the ids that are queued or running."""
        for record in self._records.values():
            if record.state in (RequestState.QUEUED, RequestState.RUNNING):
                yield record.request_id

    def _add(self, state: RequestState, is_permit: bool, now: float) -> RequestRecord:
        owner = RequestOwner(self._upstream, self._incarnation, self._next_sequence)
        self._next_sequence += 1
        record = RequestRecord(format_request_id(owner), state, is_permit, now)
        self._records[record.request_id] = record
        return record

    def _own_record(self, request_id: RequestId) -> RequestRecord:
        try:
            owner = parse_request_id(request_id)
        except ValueError as error:
            raise in_doubt(ErrorCode.UNKNOWN_REQUEST, str(error)) from error
        if (owner.upstream, owner.incarnation) != (self._upstream, self._incarnation):
            text = "request id belongs to another process run, which may have run it"
            raise in_doubt(ErrorCode.OTHER_INCARNATION, text)
        record = self._records.get(request_id)
        if record is None:
            raise in_doubt(ErrorCode.UNKNOWN_REQUEST, "nothing is kept about this request id")
        return record

    def _expire_record(self, record: RequestRecord, now: float) -> None:
        is_late = record.since <= now - self._settings.ttl_s
        if record.state is RequestState.ISSUED and is_late:
            text = f"permit was not used within {self._settings.ttl_s:g} s"
            self._end(record, RequestState.DECLINED, now, ErrorCode.PERMIT_EXPIRED, text)

    def _require(self, request_id: RequestId, state: RequestState) -> RequestRecord:
        record = self._records[request_id]
        if record.state is not state:
            raise ValueError(f"{request_id} is {record.state.value}, not {state.value}")
        return record

    def _end(
        self,
        record: RequestRecord,
        state: RequestState,
        now: float,
        code: ErrorCode | None,
        message: str,
    ) -> None:
        if not state.is_final:
            raise ValueError(f"{state.value} is not a final state")
        record.code = code
        record.message = message
        self._set_state(record, state, now)
        self._ended.append((now, record.request_id))

    def _set_state(self, record: RequestRecord, state: RequestState, now: float) -> None:
        if record.state is RequestState.ISSUED:
            self._issued_count -= 1
        record.state = state
        record.since = now


def refusal_error(record: RequestRecord) -> RequestError:
    """Return the error that tells how an ended record ended."""
    code = record.code or ErrorCode.INTERNAL
    return RequestError(RefusalInfo(code, record.message, record.outcome))
