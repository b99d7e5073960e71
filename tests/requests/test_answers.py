"""Tests of the answer store."""

import hashlib

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dragonflyhold.errors import ErrorCode, RequestError
from dragonflyhold.ids import RequestId
from dragonflyhold.requests import AnswerEnd, AnswerStore, AnswerTooLargeError
from dragonflyhold.requests.answers import DELIVERED_TTL_S
from dragonflyhold.settings import AnswerSettings
from dragonflyhold.states import Outcome

REQUEST_ID = RequestId("runner-1.0000000000000000.0")
SETTINGS = AnswerSettings(ttl_s=60, max_bytes=1024, total_bytes=2048, detach_grace_s=30)
MACHINE_SETTINGS = settings(
    derandomize=True, max_examples=250, stateful_step_count=30, deadline=None
)


class AnswerMachine(RuleBasedStateMachine):
    """An answer and a caller that reconnects; the model is a plain list of pieces."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = AnswerStore(SETTINGS)
        self.store.open(REQUEST_ID, is_permit=False)
        self.store.attach(REQUEST_ID)
        self.readers = 1
        self.detached_at: float | None = None
        self.written: list[bytes] = []
        self.ended_at: float | None = None
        self.acknowledged_at: float | None = None
        # Pieces that the caller has received, in the order in which an entry forwards them.
        self.received: list[bytes] = []
        self.end: AnswerEnd | None = None
        self.cursor = 0

    @precondition(lambda self: self.ended_at is None)
    @rule(data=st.binary(min_size=1, max_size=8))
    def append(self, data: bytes) -> None:
        assert self.store.append(REQUEST_ID, data) == len(self.written)
        self.written.append(data)

    @precondition(lambda self: self.ended_at is None and self.written)
    @rule()
    def finish(self) -> None:
        self.store.finish(REQUEST_ID, AnswerEnd(outcome=Outcome.OK), self.now)
        self.ended_at = self.now
        assert self.store.finish(REQUEST_ID, AnswerEnd(outcome=Outcome.FAILED), self.now) is None

    @rule()
    def read(self) -> None:
        chunk = self.store.read(REQUEST_ID, self.cursor)
        if chunk is None:
            assert self._may_be_expired()
            return
        for sequence, data in enumerate(chunk.pieces, chunk.first_sequence):
            if sequence == len(self.received):
                self.received.append(data)
        self.cursor = chunk.first_sequence + len(chunk.pieces)
        self.end = chunk.end or self.end

    @rule(rewind=st.integers(0, 5))
    def resume(self, rewind: int) -> None:
        """Reconnect on another stream and read again from an earlier piece."""
        self.cursor = max(len(self.received) - rewind, 0)
        if self.store.attach(REQUEST_ID):
            self.readers += 1
            self.detached_at = None
        else:
            assert self._may_be_expired()

    @precondition(lambda self: self.readers)
    @rule()
    def close_stream(self) -> None:
        self.store.detach(REQUEST_ID, self.now)
        self.readers -= 1
        if not self.readers:
            self.detached_at = self.now

    @rule(lag=st.integers(0, 2))
    def acknowledge(self, lag: int) -> None:
        self.store.acknowledge(REQUEST_ID, max(len(self.received) - lag, 0), self.now)
        is_complete = self.end is not None and not lag
        if is_complete and self.acknowledged_at is None:
            self.acknowledged_at = self.now

    @rule(seconds=st.sampled_from([0.1, 6.0, 31.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.store.expire(self.now)

    @invariant()
    def received_pieces_and_end_match(self) -> None:
        assert self.received == self.written[: len(self.received)]
        if self.end is not None:
            assert self.end.count == len(self.written) == len(self.received)
            assert self.end.digest == hashlib.sha256(b"".join(self.received)).digest()

    @invariant()
    def answer_is_abandoned_after_grace_period(self) -> None:
        is_grace_over = self.detached_at is not None and self.now - self.detached_at >= 30
        expected = [REQUEST_ID] if is_grace_over and self.ended_at is None else []
        assert self.store.abandoned(self.now) == expected

    def _may_be_expired(self) -> bool:
        if self.ended_at is None:
            return False
        is_expired = self.now - self.ended_at >= SETTINGS.ttl_s
        # The acknowledgement of the last piece may precede the delivery of the end.
        return is_expired or len(self.received) == len(self.written)


class TestAnswerMachine(AnswerMachine.TestCase):
    """Guards against lost, repeated and reordered pieces and against answers removed too early."""

    settings = MACHINE_SETTINGS


class TestAnswerStore:
    """Guards against unbounded buffers and against answers removed before they are fetched."""

    def test_size_limits(self) -> None:
        store = AnswerStore(SETTINGS)
        store.open(REQUEST_ID, False)
        store.append(REQUEST_ID, b"x" * 1024)
        with pytest.raises(AnswerTooLargeError):
            store.append(REQUEST_ID, b"x")
        other = RequestId("other")
        store.open(other, False)
        store.append(other, b"x" * 1024)
        with pytest.raises(RequestError) as caught:
            store.check_capacity()
        assert caught.value.info.code is ErrorCode.ANSWER_BUFFER_FULL
        store.discard(other)
        store.check_capacity()

    def test_permit_answer_is_kept_after_delivery(self) -> None:
        # Guards against removal while the caller may still fetch the answer again. The permit
        # expires after 600 s by default.
        store = AnswerStore(SETTINGS)
        store.open(REQUEST_ID, is_permit=True)
        store.append(REQUEST_ID, b"x")
        store.finish(REQUEST_ID, AnswerEnd(outcome=Outcome.OK), 0.0)
        store.acknowledge(REQUEST_ID, 1, 0.0)
        store.expire(599.0)
        chunk = store.read(REQUEST_ID, 0)
        assert chunk is not None
        assert chunk.pieces == (b"x",)

    def test_delivered_answer_expires_after_ttl(self) -> None:
        # Guards against removal before an entry can fetch an end that it did not receive.
        store = AnswerStore(SETTINGS)
        store.open(REQUEST_ID, False)
        store.finish(REQUEST_ID, AnswerEnd(outcome=Outcome.OK), 0.0)
        store.acknowledge(REQUEST_ID, 0, 1.0)
        store.expire(DELIVERED_TTL_S)
        assert store.read(REQUEST_ID, 0) is not None
        store.expire(DELIVERED_TTL_S + 1.0)
        assert store.read(REQUEST_ID, 0) is None
        assert store.total_bytes == 0

    def test_answer_is_undelivered_until_acknowledged(self) -> None:
        # Guards against a shutdown that does not wait for the delivery of answers.
        store = AnswerStore(SETTINGS)
        store.open(REQUEST_ID, False)
        assert store.has_undelivered(0.0)
        store.finish(REQUEST_ID, AnswerEnd(outcome=Outcome.OK), 0.0)
        store.read(REQUEST_ID, 0)
        assert store.has_undelivered(1.0)
        store.acknowledge(REQUEST_ID, 0, 2.0)
        assert not store.has_undelivered(2.0)
