"""Buffers of answers, from which any number of streams read numbered pieces.

Engine reader threads append and stream threads read, so the store has a lock.
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
    """How an answer ended; ``count`` and ``digest`` cover all its pieces."""

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
    crashed_alone: bool = False
    # Crashes that the request is suspected of, and whether it was confirmed to cause them.
    suspected_crashes: int = 0
    quarantined: bool = False
    load_stall_ms: int = 0
    retry_after_ms: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Pieces from a sequence number on; ``end`` is set when they reach the end of the answer."""

    first: int
    pieces: tuple[bytes, ...]
    end: AnswerEnd | None


# A delivered answer is kept this long: the caller's entry may have lost the end to a broken
# connection after it acknowledged the last piece.
DELIVERED_KEEP_S = 5.0


class AnswerTooLargeError(Exception):
    """An answer is longer than ``max_bytes``; nothing more is kept of it."""


@final
@dataclasses.dataclass(slots=True, eq=False)
class _Answer:
    # Kept as long as the permit, not only until the caller has it.
    is_permit: bool
    pieces: list[bytes]
    size: int
    digest: "hashlib._Hash"
    end: AnswerEnd | None
    ended_at: float
    readers: int
    detached_at: float | None
    delivered_at: float | None = None
    # A stream has taken the end; entries acknowledge only whole answers.
    is_end_read: bool = False

    @property
    def is_fetched(self) -> bool:
        """Whether nothing of an ended answer has to be fetched any more."""
        if self.end is None:
            return False
        if self.end.outcome is Outcome.OK:
            return self.delivered_at is not None
        return self.is_end_read


@final
class AnswerStore:
    """All answers of one sidecar; safe to use from any thread."""

    def __init__(self, settings: AnswerSettings) -> None:
        self._settings = settings
        self._answers: dict[RequestId, _Answer] = {}
        self._bytes = 0
        self._lock = threading.Lock()

    @property
    def total_bytes(self) -> int:
        """Bytes buffered in all answers."""
        return self._bytes

    @property
    def is_full(self) -> bool:
        """Whether new requests must be refused."""
        return self._bytes >= self._settings.total_bytes

    def check_capacity(self) -> None:
        """Raise ``RequestError`` (``answer_buffer_full``) if new requests must be refused."""
        if self.is_full:
            text = f"{self._bytes} bytes of answers are waiting to be fetched"
            raise not_run(ErrorCode.ANSWER_BUFFER_FULL, text, retry_after_ms=200)

    def open(self, request_id: RequestId, is_permit: bool) -> None:
        """Create an empty answer.

        It does not check for room again: running answers grow meanwhile, and a request that has
        its id must not fail here.
        """
        with self._lock:
            self._answers[request_id] = _Answer(
                is_permit, [], 0, hashlib.sha256(), None, 0.0, 0, None
            )

    def discard(self, request_id: RequestId) -> None:
        """Forget an answer."""
        with self._lock:
            self._drop(request_id)

    def append(self, request_id: RequestId, data: bytes) -> int:
        """Add a piece and return its sequence number; raise ``AnswerTooLargeError``.

        Pieces that come after the end or after the answer was discarded raise ``KeyError``.
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
            self._bytes += len(data)
            return len(answer.pieces) - 1

    def finish(self, request_id: RequestId, end: AnswerEnd, now: float) -> AnswerEnd | None:
        """End an answer and return its end with count and digest; a second end is ignored."""
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None or answer.end is not None:
                return None
            answer.end = dataclasses.replace(
                end, count=len(answer.pieces), digest=answer.digest.digest()
            )
            answer.ended_at = now
            return answer.end

    def read(self, request_id: RequestId, first: int) -> AnswerChunk | None:
        """Return all pieces from ``first`` on; ``None`` if the answer is gone.

        An answer that has fewer pieces gives an empty chunk without its end.
        """
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None:
                return None
            pieces = tuple(answer.pieces[first:])
            # A reader that asks beyond the end has another answer in mind.
            end = answer.end if first <= len(answer.pieces) else None
            if end is not None:
                answer.is_end_read = True
            return AnswerChunk(first, pieces, end)

    def attach(self, request_id: RequestId) -> bool:
        """Count a reader; ``False`` if the answer is gone."""
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None:
                return False
            answer.readers += 1
            answer.detached_at = None
            return True

    def detach(self, request_id: RequestId, now: float) -> None:
        """Remove a reader; the grace period starts with the last one."""
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None or answer.readers == 0:
                return
            answer.readers -= 1
            if answer.readers == 0:
                answer.detached_at = now

    def acknowledge(self, request_id: RequestId, next_sequence: int, now: float) -> None:
        """Record that the caller has all pieces below ``next_sequence``."""
        with self._lock:
            answer = self._answers.get(request_id)
            if answer is None or answer.end is None:
                return
            if next_sequence >= answer.end.count and answer.delivered_at is None:
                answer.delivered_at = now

    def is_ended(self, request_id: RequestId) -> bool:
        """Whether the answer is complete and still kept."""
        with self._lock:
            answer = self._answers.get(request_id)
            return answer is not None and answer.end is not None

    def piece_count(self, request_id: RequestId) -> int:
        """Return the number of pieces kept of an answer."""
        with self._lock:
            answer = self._answers.get(request_id)
            return len(answer.pieces) if answer is not None else 0

    def expire(self, now: float) -> None:
        """Drop answers whose time after the end or the delivery is over.

        Answers to permits are kept until ``discard``, because a caller may ask again.
        """
        with self._lock:
            late = [
                request_id
                for request_id, answer in self._answers.items()
                if not answer.is_permit and self._is_over(answer, now)
            ]
            for request_id in late:
                self._drop(request_id)

    def abandoned(self, now: float) -> list[RequestId]:
        """Return running answers that nobody has read for the detach grace period."""
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
        """Whether a caller may still fetch an answer that it does not have as a whole."""
        limit = now - self._settings.detach_grace_s
        with self._lock:
            return any(
                answer.end is None or (answer.delivered_at is None and answer.ended_at > limit)
                for answer in self._answers.values()
            )

    def _is_over(self, answer: _Answer, now: float) -> bool:
        if answer.end is None:
            return False
        if answer.delivered_at is not None and answer.delivered_at + DELIVERED_KEEP_S <= now:
            return True
        return answer.ended_at + self._settings.ttl_s <= now

    def _drop(self, request_id: RequestId) -> None:
        answer = self._answers.pop(request_id, None)
        if answer is not None:
            self._bytes -= answer.size


def answer_gone_error(outcome: Outcome) -> RequestError:
    """Return the error for an answer that is no longer kept."""
    text = "answer is no longer kept"
    return RequestError(RefusalInfo(ErrorCode.ANSWER_GONE, text, outcome))
