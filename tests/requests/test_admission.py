"""Tests of the admission queue."""

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dragonflyhold.errors import ErrorCode, RequestError
from dragonflyhold.ids import AdapterKey, CallerId, Fingerprint, RequestId
from dragonflyhold.requests import AdmissionQueue, InflightRequest, InflightTable, QueuedRequest
from dragonflyhold.settings import AdmissionSettings
from tests.sidecar.fakes import adapter_key

BATCH_LIMIT = 4
MAX_QUEUE = 6
SETTINGS = AdmissionSettings(
    max_queue=MAX_QUEUE, caller_share=0.75, adapter_share=0.75, interactive_reserve=0.25
)
MACHINE_SETTINGS = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


def make_item(
    number: int,
    utility: float = 1.0,
    caller: str = "a",
    key: AdapterKey | None = None,
    is_batch: bool = False,
    deadline: float = 1e9,
) -> QueuedRequest:
    name = f"r{number}"
    fingerprint = Fingerprint(name.encode())
    return QueuedRequest(
        RequestId(name), key, CallerId(caller), fingerprint, utility, is_batch, True, deadline, 0.0
    )


def start(item: QueuedRequest, inflight: InflightTable, is_exclusive: bool = False) -> None:
    inflight.add(
        InflightRequest(
            item.request_id,
            item.key,
            item.caller,
            item.fingerprint,
            item.is_batch,
            True,
            None,
            0.0,
            item.deadline,
            is_exclusive,
        )
    )


class AdmissionMachine(RuleBasedStateMachine):
    """Arrivals, starts and ends in any order; the model is a plain list."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = AdmissionQueue(SETTINGS)
        self.inflight = InflightTable()
        self.number = 0
        self.queued: list[QueuedRequest] = []
        self.running: list[QueuedRequest] = []
        self.suspects: set[Fingerprint] = set()

    @rule(
        utility=st.sampled_from([1.0, 2.0, 3.0]),
        caller=st.sampled_from("abcd"),
        adapter=st.sampled_from(["pale", "stout", "mild"]),
        is_batch=st.booleans(),
        is_suspect=st.sampled_from([False, False, False, True]),
    )
    def arrive(
        self, utility: float, caller: str, adapter: str, is_batch: bool, is_suspect: bool
    ) -> None:
        self.number += 1
        item = make_item(self.number, utility, caller, adapter_key(adapter), is_batch)
        try:
            self.queue.check(item, len(self.inflight), BATCH_LIMIT, 0.0, 0.0)
        except RequestError as error:
            self._check_refusal(item, error.info.code)
            return
        displaced = self.queue.add(item)
        if is_suspect:
            self.suspects.add(item.fingerprint)
        assert (displaced is not None) == (len(self.queued) >= MAX_QUEUE)
        if displaced is not None:
            lowest = min(other.utility for other in self.queued)
            assert displaced.utility == lowest < item.utility
            self.queued.remove(displaced)
        self.queued.append(item)

    @rule(ready=st.sets(st.sampled_from(["pale", "stout", "mild"])))
    def start(self, ready: set[str]) -> None:
        chosen = self.queue.choose(
            self.inflight,
            BATCH_LIMIT,
            lambda item: item.key is not None and item.key.adapter in ready,
            lambda item: item.fingerprint in self.suspects,
        )
        for item in chosen:
            assert item.key is not None
            assert item.key.adapter in ready
            is_suspect = item.fingerprint in self.suspects
            if is_suspect:
                assert not self.running
            if item.is_batch and not is_suspect:
                assert len(self.running) < BATCH_LIMIT - 1
            self.queue.remove(item.request_id)
            start(item, self.inflight, is_suspect)
            self.queued.remove(item)
            self.running.append(item)
        assert len({item.request_id for item in chosen}) == len(chosen)
        self._check_no_startable_request_is_queued(ready)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 10))
    def end(self, index: int) -> None:
        item = self.running.pop(index % len(self.running))
        self.inflight.remove(item.request_id)

    @precondition(lambda self: self.running)
    @rule()
    def requeue(self) -> None:
        item = self.running.pop()
        self.inflight.remove(item.request_id)
        self.queue.requeue(item)
        self.queued.append(item)

    @invariant()
    def queue_matches(self) -> None:
        expected = sorted(self.queued, key=lambda item: item.sort_key)
        assert [item.request_id for item in self.queue] == [item.request_id for item in expected]

    @invariant()
    def queue_is_bounded(self) -> None:
        # Requests that could not be sent are requeued even if the queue has filled up since.
        assert len(self.queue) <= MAX_QUEUE + BATCH_LIMIT

    @invariant()
    def batch_is_bounded(self) -> None:
        assert len(self.running) <= BATCH_LIMIT

    @invariant()
    def suspects_run_exclusively(self) -> None:
        if any(item.fingerprint in self.suspects for item in self.running):
            assert len(self.running) == 1

    def _check_refusal(self, item: QueuedRequest, code: ErrorCode) -> None:
        match code:
            case ErrorCode.CALLER_LIMIT:
                assert sum(other.caller == item.caller for other in self.queued) >= 5
            case ErrorCode.ADAPTER_LIMIT:
                assert sum(other.key == item.key for other in self.queued) >= 5
            case ErrorCode.QUEUE_FULL:
                assert len(self.queued) >= MAX_QUEUE
                assert all(other.utility >= item.utility for other in self.queued)
            case _:
                raise AssertionError(code)

    def _check_no_startable_request_is_queued(self, ready: set[str]) -> None:
        if any(item.fingerprint in self.suspects for item in self.queued + self.running):
            return
        interactive = [
            item
            for item in self.queued
            if not item.is_batch and item.key is not None and item.key.adapter in ready
        ]
        assert not interactive or len(self.running) == BATCH_LIMIT


class TestAdmissionMachine(AdmissionMachine.TestCase):
    """Guards against an unbounded queue, unused batch slots and requests beside suspects."""

    settings = MACHINE_SETTINGS


class TestAdmissionQueue:
    """Guards against late refusals and unfair scheduling."""

    def test_unreachable_deadline_is_refused(self) -> None:
        queue = AdmissionQueue(AdmissionSettings())
        for number in range(8):
            queue.add(make_item(number, utility=2.0))
        item = make_item(9, deadline=2.0)
        with pytest.raises(RequestError) as caught:
            queue.check(item, BATCH_LIMIT, BATCH_LIMIT, 1.0, 0.0)
        assert caught.value.info.code is ErrorCode.DEADLINE_UNREACHABLE
        # Requests of lower utility do not count towards the wait.
        queue.check(make_item(10, utility=3.0, deadline=2.0), BATCH_LIMIT, BATCH_LIMIT, 1.0, 0.0)

    def test_caller_share_limits_started_requests(self) -> None:
        queue = AdmissionQueue(AdmissionSettings(caller_share=0.5))
        for number in range(4):
            queue.add(make_item(number, caller="greedy"))
        queue.add(make_item(4, caller="modest"))
        chosen = queue.choose(InflightTable(), 3, lambda item: True, lambda item: False)
        assert sorted(item.caller for item in chosen) == ["greedy", "greedy", "modest"]

    def test_batch_kinds_leave_interactive_reserve(self) -> None:
        queue = AdmissionQueue(SETTINGS)
        for number in range(5):
            queue.add(make_item(number, caller=str(number), is_batch=True))
        chosen = queue.choose(InflightTable(), BATCH_LIMIT, lambda item: True, lambda item: False)
        assert len(chosen) == BATCH_LIMIT - 1
