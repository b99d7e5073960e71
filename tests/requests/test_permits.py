"""Tests of the permit table."""

import collections

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from dragonflyhold.errors import ErrorCode, RequestError
from dragonflyhold.ids import Incarnation, RequestId, UpstreamName
from dragonflyhold.requests import PermitTable
from dragonflyhold.settings import PermitSettings
from dragonflyhold.states import Outcome, RequestState

TTL_S = 10.0
MACHINE_SETTINGS = settings(
    derandomize=True, max_examples=250, stateful_step_count=30, deadline=None
)


def make_table(number: int = 0, **limits: int) -> PermitTable:
    return PermitTable(
        UpstreamName("runner-1"),
        Incarnation(f"{number:016x}"),
        PermitSettings(ttl_s=TTL_S, **limits),
    )


class PermitMachine(RuleBasedStateMachine):
    """Submissions, declines and process restarts in any order; the model counts runs per id."""

    permits = Bundle("permits")

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = make_table()
        self.incarnations = 0
        # Model: runs and bodies per id, and the ids that were reported to callers as not run.
        self.runs: collections.Counter[RequestId] = collections.Counter()
        self.bodies: dict[RequestId, bytes] = {}
        self.not_run: set[RequestId] = set()
        self.used_at: dict[RequestId, float] = {}
        self.issued_at: dict[RequestId, float] = {}

    @rule(target=permits, count=st.integers(1, 2))
    def issue(self, count: int) -> RequestId:
        ids = self.table.issue(count, self.now)
        for request_id in ids:
            self.issued_at[request_id] = self.now
        return ids[-1]

    @rule(permit=permits, body=st.sampled_from([b"one", b"two"]))
    def submit(self, permit: RequestId, body: bytes) -> None:
        try:
            record = self.table.check(permit, body, self.now)
        except RequestError as error:
            is_reuse = error.info.code is ErrorCode.PERMIT_REUSED
            if error.info.outcome is Outcome.NOT_RUN and not is_reuse:
                self.not_run.add(permit)
            if is_reuse:
                assert self.bodies[permit] != body
            return
        if record.state is RequestState.ISSUED:
            assert permit not in self.bodies
            assert self.now - self.issued_at[permit] < TTL_S
            self.table.queue(permit, body, self.now)
            self.bodies[permit] = body
        else:
            assert self.bodies[permit] == body

    @rule()
    def start_queued(self) -> None:
        for permit in list(self.table.open_ids()):
            if self.table.lookup(permit, self.now).state is RequestState.QUEUED:
                self.table.start(permit, self.now)
                self.runs[permit] += 1

    @rule(permit=permits, result=st.sampled_from(["requeue", "done", "doubt", "unsent"]))
    def end(self, permit: RequestId, result: str) -> None:
        try:
            state = self.table.lookup(permit, self.now).state
        except RequestError:
            return
        if state is not RequestState.RUNNING:
            return
        match result:
            case "requeue":
                self.table.requeue(permit, self.now)
                self.runs[permit] -= 1
            case "done":
                self.table.finish(permit, RequestState.DONE, self.now)
            case "doubt":
                self.table.finish(permit, RequestState.IN_DOUBT, self.now)
            case "unsent":
                self.table.finish(permit, RequestState.DECLINED, self.now)
                self.runs[permit] -= 1

    @rule(permit=permits)
    def decline(self, permit: RequestId) -> None:
        try:
            record = self.table.decline(permit, self.now)
        except RequestError as error:
            outcome = error.info.outcome
        else:
            outcome = record.outcome
        if outcome is Outcome.NOT_RUN:
            self.not_run.add(permit)

    @rule(seconds=st.sampled_from([0.1, 0.1, 0.1, TTL_S]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def sweep(self) -> None:
        self.table.expire(self.now)

    @precondition(lambda self: len(self.bodies) > 3)
    @rule()
    def replace_process(self) -> None:
        self.incarnations += 1
        self.table = make_table(self.incarnations)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def not_run_requests_never_run(self) -> None:
        assert not any(self.runs[permit] for permit in self.not_run)


class TestPermitMachine(PermitMachine.TestCase):
    """Guards against a second run of a non-idempotent request and false ``not_run`` outcomes."""

    settings = MACHINE_SETTINGS


class TestPermitTable:
    """Guards against unbounded growth and against wrong error codes."""

    def test_number_of_permits_is_limited(self) -> None:
        table = make_table(max_issued=3, max_per_call=2)
        table.issue(2, 0.0)
        for count in (3, 2):
            with pytest.raises(RequestError) as caught:
                table.issue(count, 0.0)
            assert caught.value.info.code is ErrorCode.PERMIT_LIMIT
        assert table.issued_count == 2

    def test_expired_permits_and_tombstones_are_released(self) -> None:
        table = make_table(max_issued=2)
        table.issue(2, 0.0)
        table.issue(2, TTL_S)
        assert len(table) == 4
        assert len(table.expire(2 * TTL_S)) == 2
        assert len(table) == 2

    def test_expired_permit_is_refused_as_not_run(self) -> None:
        table = make_table()
        permit = table.issue(1, 0.0)[0]
        with pytest.raises(RequestError) as caught:
            table.check(permit, b"body", TTL_S)
        info = caught.value.info
        assert (info.code, info.outcome) == (ErrorCode.PERMIT_EXPIRED, Outcome.NOT_RUN)

    def test_other_incarnation_is_in_doubt(self) -> None:
        permit = make_table(1).issue(1, 0.0)[0]
        with pytest.raises(RequestError) as caught:
            make_table(2).check(permit, b"body", 0.0)
        info = caught.value.info
        assert (info.code, info.outcome) == (ErrorCode.OTHER_INCARNATION, Outcome.IN_DOUBT)
