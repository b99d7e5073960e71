"""Request ids of a sidecar incarnation and their states.

A permit is a request id in state ``ISSUED``. The request with an id runs at most once: no other
incarnation accepts the id, it leaves ``ISSUED`` once, and it returns to ``QUEUED`` only if the
upstream ran nothing of the request.
"""

import collections
import dataclasses
from collections.abc import Iterator
from typing import final

from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError, in_doubt, not_run
from dragonflyhold.ids import (
    Incarnation,
    RequestId,
    RequestIdParts,
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
    """A request id with its state; ``state_changed_at`` is the time of the last transition."""

    request_id: RequestId
    state: RequestState
    is_permit: bool
    state_changed_at: float
    # Digest of the body of the first submission.
    digest: bytes = b""
    code: ErrorCode | None = None
    message: str = ""

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request; ``IN_DOUBT`` while it is not known whether it ran."""
        return _OUTCOMES.get(self.state, Outcome.IN_DOUBT)


@final
class PermitTable:
    """Request ids of an incarnation; ended ones are kept as tombstones until they expire."""

    def __init__(
        self, upstream: UpstreamName, incarnation: Incarnation, settings: PermitSettings
    ) -> None:
        self._upstream = upstream
        self._incarnation = incarnation
        self._settings = settings
        self._records: dict[RequestId, RequestRecord] = {}
        # Ids with the time at which they entered the state, oldest first. Entries of ids that have
        # left the state are skipped.
        self._issued: collections.deque[tuple[float, RequestId]] = collections.deque()
        self._ended: collections.deque[tuple[float, RequestId]] = collections.deque()
        self._issued_count = 0
        self._next_sequence = 0

    def __len__(self) -> int:
        """Return the number of stored ids, including tombstones."""
        return len(self._records)

    @property
    def issued_count(self) -> int:
        """Number of permits that were not submitted, declined or removed as expired."""
        return self._issued_count

    def issue(self, count: int, now: float) -> list[RequestId]:
        """Return new permits; raise ``RequestError`` (``permit_limit``) if a limit is exceeded."""
        if not 0 < count <= self._settings.max_per_call:
            text = f"{count} permits asked, allowed are 1 to {self._settings.max_per_call}"
            raise not_run(ErrorCode.PERMIT_LIMIT, text)
        self.expire(now)
        if self._issued_count + count > self._settings.max_issued:
            text = f"{self._issued_count} permits are issued and not used"
            raise not_run(ErrorCode.PERMIT_LIMIT, text, retry_after_ms=1000)
        permits = [
            self._add_record(RequestState.ISSUED, True, now).request_id for _ in range(count)
        ]
        self._issued.extend((now, request_id) for request_id in permits)
        self._issued_count += count
        return permits

    def assign(self, digest: bytes, now: float) -> RequestId:
        """Return a new id in state ``QUEUED`` for a request without a permit."""
        record = self._add_record(RequestState.QUEUED, False, now)
        record.digest = digest
        return record.request_id

    def check(self, request_id: RequestId, digest: bytes, now: float) -> RequestRecord:
        """Return the record of a submitted permit.

        In state ``ISSUED``, this is the first submission of the permit. In any other state, the
        submission attaches to the first one. Raise ``RequestError`` if neither is possible.
        """
        record = self._find_record(request_id)
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
        """Bind an issued permit to a body and move it to state ``QUEUED``."""
        record = self._require_state(request_id, RequestState.ISSUED)
        record.digest = digest
        self._set_state(record, RequestState.QUEUED, now)

    def start(self, request_id: RequestId, now: float) -> None:
        """Record that the request is about to be sent to the upstream."""
        record = self._require_state(request_id, RequestState.QUEUED)
        self._set_state(record, RequestState.RUNNING, now)

    def requeue(self, request_id: RequestId, now: float) -> None:
        """Record that nothing of a started request ran, so that it may start again."""
        record = self._require_state(request_id, RequestState.RUNNING)
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
        record = self._require_state(request_id, RequestState.RUNNING)
        self._end(record, state, now, code, message)

    def decline(
        self, request_id: RequestId, now: float, info: RefusalInfo | None = None
    ) -> RequestRecord:
        """Decline the request unless it has started; return its record.

        Raise ``RequestError`` (``in_doubt``) if the id belongs to another incarnation or is not
        stored.
        """
        record = self._find_record(request_id)
        self._expire_record(record, now)
        if record.state in (RequestState.ISSUED, RequestState.QUEUED):
            code = info.code if info is not None else ErrorCode.DECLINED
            message = info.message if info is not None else "request was declined"
            self._end(record, RequestState.DECLINED, now, code, message)
        return record

    def lookup(self, request_id: RequestId, now: float) -> RequestRecord:
        """Return the record of an id; raise ``RequestError`` (``in_doubt``) if none is stored."""
        record = self._find_record(request_id)
        self._expire_record(record, now)
        return record

    def expire(self, now: float) -> list[RequestId]:
        """Decline expired permits; return the ids whose tombstone was removed."""
        cutoff = now - self._settings.ttl_s
        while self._issued and self._issued[0][0] <= cutoff:
            _, request_id = self._issued.popleft()
            record = self._records.get(request_id)
            if record is not None:
                self._expire_record(record, now)
        removed = []
        while self._ended and self._ended[0][0] <= cutoff:
            _, request_id = self._ended.popleft()
            if self._records.pop(request_id, None) is not None:
                removed.append(request_id)
        return removed

    def open_ids(self) -> Iterator[RequestId]:
        """Yield the ids that are queued or running."""
        for record in self._records.values():
            if record.state in (RequestState.QUEUED, RequestState.RUNNING):
                yield record.request_id

    def _add_record(self, state: RequestState, is_permit: bool, now: float) -> RequestRecord:
        parts = RequestIdParts(self._upstream, self._incarnation, self._next_sequence)
        self._next_sequence += 1
        record = RequestRecord(format_request_id(parts), state, is_permit, now)
        self._records[record.request_id] = record
        return record

    def _find_record(self, request_id: RequestId) -> RequestRecord:
        try:
            parts = parse_request_id(request_id)
        except ValueError as error:
            raise in_doubt(ErrorCode.UNKNOWN_REQUEST, str(error)) from error
        if (parts.upstream, parts.incarnation) != (self._upstream, self._incarnation):
            text = "request id belongs to another process run, which may have run it"
            raise in_doubt(ErrorCode.OTHER_INCARNATION, text)
        record = self._records.get(request_id)
        if record is None:
            raise in_doubt(ErrorCode.UNKNOWN_REQUEST, "nothing is kept about this request id")
        return record

    def _expire_record(self, record: RequestRecord, now: float) -> None:
        is_expired = record.state_changed_at <= now - self._settings.ttl_s
        if record.state is RequestState.ISSUED and is_expired:
            text = f"permit was not used within {self._settings.ttl_s:g} s"
            self._end(record, RequestState.DECLINED, now, ErrorCode.PERMIT_EXPIRED, text)

    def _require_state(self, request_id: RequestId, state: RequestState) -> RequestRecord:
        record = self._records[request_id]
        if record.state is not state:
            raise ValueError(f"{request_id} is {record.state.value}, expected {state.value}")
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
            raise ValueError(f"state {state.value} is not final")
        record.code = code
        record.message = message
        self._set_state(record, state, now)
        self._ended.append((now, record.request_id))

    def _set_state(self, record: RequestRecord, state: RequestState, now: float) -> None:
        if record.state is RequestState.ISSUED:
            self._issued_count -= 1
        record.state = state
        record.state_changed_at = now


def refusal_error(record: RequestRecord) -> RequestError:
    """Return the error that reports the result of an ended request."""
    code = record.code or ErrorCode.INTERNAL
    return RequestError(RefusalInfo(code, record.message, record.outcome))
