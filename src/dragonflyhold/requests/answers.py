"""Answer buffers: any number of streams can read the numbered pieces of an answer.

The store has a lock, because the threads that read from the upstream append pieces while stream
threads read them.
"""

import dataclasses
import hashlib
import threading
from collections.abc import Mapping
from typing import final

from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError, not_run
from dragonflyhold.ids import RequestId
from dragonflyhold.settings import AnswerSettings
from dragonflyhold.states import Outcome


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEnd:
    """Result of an answer; ``count`` and ``digest`` cover all its pieces."""

    outcome: Outcome
    count: int = 0
    digest: bytes = b""
    code: ErrorCode | None = None
    message: str = ""
    status: int = 0
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    next_permit: str = ""
    adapter: str = ""
    version: int = 0
    crashed: bool = False
    # Whether the request was running exclusively when the upstream crashed.
    crashed_alone: bool = False
    # Number of crashes that the request is suspected of, and whether it is confirmed as the cause.
    suspected_crashes: int = 0
    quarantined: bool = False
    load_stall_ms: int = 0
    retry_after_ms: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Pieces from a sequence number on; ``end`` is set if they complete the answer."""

    first_sequence: int
    pieces: tuple[bytes, ...]
    end: AnswerEnd | None


# Time for which a delivered answer stays available. An entry whose connection closed after it
# acknowledged the last piece, but before it received the end, can still fetch the end.
DELIVERED_TTL_S = 5.0


class AnswerTooLargeError(Exception):
    """An answer is longer than ``max_bytes``; further pieces are not stored."""


@final
@dataclasses.dataclass(slots=True, eq=False)
class _Answer:
    # The answer to a permit is kept as long as the permit, even after its delivery.
    is_permit: bool
    pieces: list[bytes]
    size: int
    digest: "hashlib._Hash"
    end: AnswerEnd | None
    ended_at: float
    readers: int
    detached_at: float | None
    delivered_at: float | None = None
    # A stream has read the end. Entries acknowledge only complete answers, so this is the only
    # sign that the end of a failed answer was fetched.
    has_read_end: bool = False

    @property
    def is_fetched(self) -> bool:
        """Whether the answer has ended and nothing of it remains to be fetched."""
        if self.end is None:
            return False
        if self.end.outcome is Outcome.OK:
            return self.delivered_at is not None
        return self.has_read_end


@final
class AnswerStore:
    """Answers of a sidecar; safe to use from any thread."""

    def __init__(self, settings: AnswerSettings) -> None:
        self._settings = settings
        self._answers: dict[RequestId, _Answer] = {}
        self._total_bytes = 0
        self._lock = threading.Lock()

    @property
    def total_bytes(self) -> int:
        """Total size of the buffered pieces of all answers."""
        return self._total_bytes

    @property
    def is_full(self) -> bool:
        """Whether the buffers are full, so that new requests must be refused."""
        return self._total_bytes >= self._settings.total_bytes

    def check_capacity(self) -> None:
        """Raise ``RequestError`` (``answer_buffer_full``) if the buffers are full."""
        if self.is_full:
            text = f"{self._total_bytes} bytes of answers are waiting to be fetched"
            raise not_run(ErrorCode.ANSWER_BUFFER_FULL, text, retry_after_ms=200)

    def open(self, request_id: RequestId, is_permit: bool) -> None:
        """Create an empty answer.

        The capacity is not checked again: other answers may have grown since ``check_capacity``,
        and a request that was assigned an id must not fail here.
        """
        with self._lock:
            self._answers[request_id] = _Answer(
                is_permit, [], 0, hashlib.sha256(), None, 0.0, 0, None
            )

    def discard(self, request_id: RequestId) -> None:
        """Remove an answer, if it is stored."""
        with self._lock:
            self._remove(request_id)

    def append(self, request_id: RequestId, data: bytes) -> int:
        """Append a piece and return its sequence number.

        Raise ``AnswerTooLargeError`` if the answer would exceed ``max_bytes``, and ``KeyError`` if
        it has ended or was removed.
        """
        with self._lock:
            answer = self._answers[request_id]
            if answer.end is not None:
                raise KeyError(request_id)
            if answer.size + len(data) > self._settings.max_bytes:
                raise AnswerTooLargeError
            answer.pieces.append(data)
            answer.size += len(data)
            answer.digest.update(data)
            self._total_bytes += len(data)
            return len(answer.pieces) - 1

    def finish(self, request_id: RequestId, end: AnswerEnd, now: float) -> AnswerEnd | None:
        """End an answer and return ``end`` with its count and digest.

        Return ``None`` if the answer has already ended or is not stored.
        """
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None or answer.end is not None:
                return None
            answer.end = dataclasses.replace(
                end, count=len(answer.pieces), digest=answer.digest.digest()
            )
            answer.ended_at = now
            return answer.end

    def read(self, request_id: RequestId, first_sequence: int) -> AnswerChunk | None:
        """Return all pieces from ``first_sequence`` on, or ``None`` if the answer is not stored.

        If the answer has fewer pieces, the chunk is empty and has no end.
        """
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None:
                return None
            pieces = tuple(answer.pieces[first_sequence:])
            # A position beyond the end cannot belong to this answer.
            end = answer.end if first_sequence <= len(answer.pieces) else None
            if end is not None:
                answer.has_read_end = True
            return AnswerChunk(first_sequence, pieces, end)

    def attach(self, request_id: RequestId) -> bool:
        """Add a reader; return whether the answer is stored."""
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None:
                return False
            answer.readers += 1
            answer.detached_at = None
            return True

    def detach(self, request_id: RequestId, now: float) -> None:
        """Remove a reader; the grace period starts when the last one is removed."""
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None or answer.readers == 0:
                return
            answer.readers -= 1
            if answer.readers == 0:
                answer.detached_at = now

    def acknowledge(self, request_id: RequestId, next_sequence: int, now: float) -> None:
        """Mark an ended answer as delivered if all its pieces precede ``next_sequence``."""
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None or answer.end is None:
                return
            if next_sequence >= answer.end.count and answer.delivered_at is None:
                answer.delivered_at = now

    def is_ended(self, request_id: RequestId) -> bool:
        """Return whether the answer has ended and is stored."""
        with self._lock:
            answer = self._answers.get(request_id)
            return answer is not None and answer.end is not None

    def piece_count(self, request_id: RequestId) -> int:
        """Return the number of stored pieces of an answer; 0 if it is not stored."""
        with self._lock:
            answer = self._answers.get(request_id)
            return len(answer.pieces) if answer is not None else 0

    def expire(self, now: float) -> None:
        """Remove answers whose retention time after the end or the delivery is over.

        Answers to permits are kept until ``discard``, because a caller may fetch them again.
        """
        with self._lock:
            expired = [
                request_id
                for request_id, answer in self._answers.items()
                if not answer.is_permit and self._is_expired(answer, now)
            ]
            for request_id in expired:
                self._remove(request_id)

    def abandoned(self, now: float) -> list[RequestId]:
        """Return the ids of unfinished answers without a reader for the detach grace period."""
        limit = now - self._settings.detach_grace_s
        with self._lock:
            return [
                request_id
                for request_id, answer in self._answers.items()
                if answer.end is None
                and answer.detached_at is not None
                and answer.detached_at <= limit
            ]

    def has_undelivered(self, now: float) -> bool:
        """Return whether a caller may still fetch an answer.

        This is the case while an answer is unfinished, or if one ended within the grace period and
        was not delivered.
        """
        limit = now - self._settings.detach_grace_s
        with self._lock:
            return any(
                answer.end is None or (answer.delivered_at is None and answer.ended_at > limit)
                for answer in self._answers.values()
            )

    def _is_expired(self, answer: _Answer, now: float) -> bool:
        if answer.end is None:
            return False
        if answer.delivered_at is not None and answer.delivered_at + DELIVERED_TTL_S <= now:
            return True
        return answer.ended_at + self._settings.ttl_s <= now

    def _remove(self, request_id: RequestId) -> None:
        answer = self._answers.pop(request_id, None)
        if answer is not None:
            self._total_bytes -= answer.size


def answer_gone_error(outcome: Outcome) -> RequestError:
    """Return the error for an answer that is no longer stored."""
    text = "answer is no longer kept"
    return RequestError(RefusalInfo(ErrorCode.ANSWER_GONE, text, outcome))
