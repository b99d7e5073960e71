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


def make_request(
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


def start(request: QueuedRequest, inflight: InflightTable, is_exclusive: bool = False) -> None:
    inflight.add(
        InflightRequest(
            request.request_id,
            request.key,
            request.caller,
            request.fingerprint,
            request.is_batch,
            True,
            None,
            0.0,
            request.deadline,
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
        request = make_request(self.number, utility, caller, adapter_key(adapter), is_batch)
        try:
            self.queue.check(request, len(self.inflight), BATCH_LIMIT, 0.0, 0.0)
        except RequestError as error:
            self._check_refusal(request, error.info.code)
            return
        displaced = self.queue.add(request)
        if is_suspect:
            self.suspects.add(request.fingerprint)
        assert (displaced is not None) == (len(self.queued) >= MAX_QUEUE)
        if displaced is not None:
            lowest = min(other.utility for other in self.queued)
            assert displaced.utility == lowest < request.utility
            self.queued.remove(displaced)
        self.queued.append(request)

    @rule(ready=st.sets(st.sampled_from(["pale", "stout", "mild"])))
    def start(self, ready: set[str]) -> None:
        chosen = self.queue.choose(
            self.inflight,
            BATCH_LIMIT,
            lambda request: request.key is not None and request.key.adapter in ready,
            lambda request: request.fingerprint in self.suspects,
        )
        for request in chosen:
            assert request.key is not None
            assert request.key.adapter in ready
            is_suspect = request.fingerprint in self.suspects
            if is_suspect:
                assert not self.running
            if request.is_batch and not is_suspect:
                assert len(self.running) < BATCH_LIMIT - 1
            self.queue.remove(request.request_id)
            start(request, self.inflight, is_suspect)
            self.queued.remove(request)
            self.running.append(request)
        assert len({request.request_id for request in chosen}) == len(chosen)
        self._check_no_startable_request_is_queued(ready)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 10))
    def end(self, index: int) -> None:
        request = self.running.pop(index % len(self.running))
        self.inflight.remove(request.request_id)

    @precondition(lambda self: self.running)
    @rule()
    def requeue(self) -> None:
        request = self.running.pop()
        self.inflight.remove(request.request_id)
        self.queue.requeue(request)
        self.queued.append(request)

    @invariant()
    def queue_matches(self) -> None:
        expected = sorted(self.queued, key=lambda request: request.sort_key)
        assert [request.request_id for request in self.queue] == [
            request.request_id for request in expected
        ]

    @invariant()
    def queue_is_bounded(self) -> None:
        # Requests of which nothing ran are requeued even if the queue has filled up since.
        assert len(self.queue) <= MAX_QUEUE + BATCH_LIMIT

    @invariant()
    def batch_is_bounded(self) -> None:
        assert len(self.running) <= BATCH_LIMIT

    @invariant()
    def suspects_run_exclusively(self) -> None:
        if any(request.fingerprint in self.suspects for request in self.running):
            assert len(self.running) == 1

    def _check_refusal(self, request: QueuedRequest, code: ErrorCode) -> None:
        match code:
            case ErrorCode.CALLER_LIMIT:
                assert sum(other.caller == request.caller for other in self.queued) >= 5
            case ErrorCode.ADAPTER_LIMIT:
                assert sum(other.key == request.key for other in self.queued) >= 5
            case ErrorCode.QUEUE_FULL:
                assert len(self.queued) >= MAX_QUEUE
                assert all(other.utility >= request.utility for other in self.queued)
            case _:
                raise AssertionError(code)

    def _check_no_startable_request_is_queued(self, ready: set[str]) -> None:
        if any(request.fingerprint in self.suspects for request in self.queued + self.running):
            return
        interactive = [
            request
            for request in self.queued
            if not request.is_batch and request.key is not None and request.key.adapter in ready
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
            queue.add(make_request(number, utility=2.0))
        request = make_request(9, deadline=2.0)
        with pytest.raises(RequestError) as caught:
            queue.check(request, BATCH_LIMIT, BATCH_LIMIT, 1.0, 0.0)
        assert caught.value.info.code is ErrorCode.DEADLINE_UNREACHABLE
        # Requests of lower utility do not count towards the wait.
        queue.check(make_request(10, utility=3.0, deadline=2.0), BATCH_LIMIT, BATCH_LIMIT, 1.0, 0.0)

    def test_caller_share_limits_started_requests(self) -> None:
        queue = AdmissionQueue(AdmissionSettings(caller_share=0.5))
        for number in range(4):
            queue.add(make_request(number, caller="greedy"))
        queue.add(make_request(4, caller="modest"))
        chosen = queue.choose(InflightTable(), 3, lambda request: True, lambda request: False)
        assert sorted(request.caller for request in chosen) == ["greedy", "greedy", "modest"]

    def test_batch_kinds_leave_interactive_reserve(self) -> None:
        queue = AdmissionQueue(SETTINGS)
        for number in range(5):
            queue.add(make_request(number, caller=str(number), is_batch=True))
        chosen = queue.choose(
            InflightTable(), BATCH_LIMIT, lambda request: True, lambda request: False
        )
        assert len(chosen) == BATCH_LIMIT - 1
