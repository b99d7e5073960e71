"""Tests of the answer buffers."""

import hashlib

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dragonflyhold.errors import ErrorCode, RequestError
from dragonflyhold.ids import RequestId
from dragonflyhold.requests import AnswerEnd, AnswerStore, AnswerTooLargeError
from dragonflyhold.requests.answers import DELIVERED_KEEP_S
from dragonflyhold.settings import AnswerSettings
from dragonflyhold.states import Outcome

ID = RequestId("runner-1.0000000000000000.0")
SETTINGS = AnswerSettings(ttl_s=60, max_bytes=1024, total_bytes=2048, detach_grace_s=30)
MACHINE = settings(derandomize=True, max_examples=250, stateful_step_count=30, deadline=None)


class AnswerMachine(RuleBasedStateMachine):
    """One answer and a caller that changes streams, against the list of pieces."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = AnswerStore(SETTINGS)
        self.store.open(ID, is_permit=False)
        self.store.attach(ID)
        self.readers = 1
        self.detached_at: float | None = None
        self.written: list[bytes] = []
        self.ended_at: float | None = None
        self.acknowledged_at: float | None = None
        # What the caller got, piece by piece, as an entry passes it on.
        self.received: list[bytes] = []
        self.end: AnswerEnd | None = None
        self.cursor = 0

    @precondition(lambda self: self.ended_at is None)
    @rule(data=st.binary(min_size=1, max_size=8))
    def append(self, data: bytes) -> None:
        assert self.store.append(ID, data) == len(self.written)
        self.written.append(data)

    @precondition(lambda self: self.ended_at is None and self.written)
    @rule()
    def finish(self) -> None:
        self.store.finish(ID, AnswerEnd(outcome=Outcome.OK), self.now)
        self.ended_at = self.now
        assert self.store.finish(ID, AnswerEnd(outcome=Outcome.FAILED), self.now) is None

    @rule()
    def read(self) -> None:
        chunk = self.store.read(ID, self.cursor)
        if chunk is None:
            assert self._may_be_gone()
            return
        for sequence, data in enumerate(chunk.pieces, chunk.first):
            if sequence == len(self.received):
                self.received.append(data)
        self.cursor = chunk.first + len(chunk.pieces)
        self.end = chunk.end or self.end

    @rule(back=st.integers(0, 5))
    def resume(self, back: int) -> None:
        """Come back on another stream and ask again from an earlier piece."""
        self.cursor = max(len(self.received) - back, 0)
        if self.store.attach(ID):
            self.readers += 1
            self.detached_at = None
        else:
            assert self._may_be_gone()

    @precondition(lambda self: self.readers)
    @rule()
    def lose_stream(self) -> None:
        self.store.detach(ID, self.now)
        self.readers -= 1
        if not self.readers:
            self.detached_at = self.now

    @rule(behind=st.integers(0, 2))
    def acknowledge(self, behind: int) -> None:
        self.store.acknowledge(ID, max(len(self.received) - behind, 0), self.now)
        is_whole = self.end is not None and not behind
        if is_whole and self.acknowledged_at is None:
            self.acknowledged_at = self.now

    @rule(seconds=st.sampled_from([0.1, 6.0, 31.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.store.expire(self.now)

    @invariant()
    def received_is_a_prefix_and_the_end_is_honest(self) -> None:
        assert self.received == self.written[: len(self.received)]
        if self.end is not None:
            assert self.end.count == len(self.written) == len(self.received)
            assert self.end.digest == hashlib.sha256(b"".join(self.received)).digest()

    @invariant()
    def abandoned_only_after_the_grace_period(self) -> None:
        is_late = self.detached_at is not None and self.now - self.detached_at >= 30
        expected = [ID] if is_late and self.ended_at is None else []
        assert self.store.abandoned(self.now) == expected

    def _may_be_gone(self) -> bool:
        if self.ended_at is None:
            return False
        is_old = self.now - self.ended_at >= SETTINGS.ttl_s
        # An acknowledgement of all pieces may come before the caller has the end.
        return is_old or len(self.received) == len(self.written)


class TestAnswerMachine(AnswerMachine.TestCase):
    """Guards against lost, doubled and reordered pieces, and against early loss of an answer."""

    settings = MACHINE


class TestAnswerStore:
    """Guards against unbounded buffers and against answers lost before they are fetched."""

    def test_limits(self) -> None:
        store = AnswerStore(SETTINGS)
        store.open(ID, False)
        store.append(ID, b"x" * 1024)
        with pytest.raises(AnswerTooLargeError):
            store.append(ID, b"x")
        other = RequestId("other")
        store.open(other, False)
        store.append(other, b"x" * 1024)
        with pytest.raises(RequestError) as caught:
            store.check_capacity()
        assert caught.value.info.code is ErrorCode.ANSWER_BUFFER_FULL
        store.discard(other)
        store.check_capacity()

    def test_answer_to_a_permit_outlives_its_delivery(self) -> None:
        store = AnswerStore(SETTINGS)
        store.open(ID, is_permit=True)
        store.append(ID, b"x")
        store.finish(ID, AnswerEnd(outcome=Outcome.OK), 0.0)
        store.acknowledge(ID, 1, 0.0)
        store.expire(599.0)
        chunk = store.read(ID, 0)
        assert chunk is not None
        assert chunk.pieces == (b"x",)

    def test_delivered_answer_is_kept_until_a_lost_end_can_be_asked_for(self) -> None:
        store = AnswerStore(SETTINGS)
        store.open(ID, False)
        store.finish(ID, AnswerEnd(outcome=Outcome.OK), 0.0)
        store.acknowledge(ID, 0, 1.0)
        store.expire(DELIVERED_KEEP_S)
        assert store.read(ID, 0) is not None
        store.expire(DELIVERED_KEEP_S + 1.0)
        assert store.read(ID, 0) is None
        assert store.total_bytes == 0

    def test_shutdown_waits_for_whole_answers(self) -> None:
        store = AnswerStore(SETTINGS)
        store.open(ID, False)
        assert store.has_undelivered(0.0)
        store.finish(ID, AnswerEnd(outcome=Outcome.OK), 0.0)
        store.read(ID, 0)
        assert store.has_undelivered(1.0)
        store.acknowledge(ID, 0, 2.0)
        assert not store.has_undelivered(2.0)
