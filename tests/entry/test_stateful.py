"""Random faults under concurrent callers, checked against what the sidecars recorded as run."""

import json
import threading

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dragonflyhold.errors import ErrorCode
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.entry.fake_sidecar import FakeSidecar, Plan
from tests.entry.harness import Answer, EntryHarness, make_settings, wait_until

SIDECARS = ("runner-0", "runner-1")
DEADLINE_MS = "4000"

plans = st.fixed_dictionaries(
    {
        "count": st.integers(0, 3),
        "hold_at": st.sampled_from([None, 0, 0, 1, 3, 4]),
        "duplicate": st.frozensets(st.integers(0, 3)),
        "omit": st.frozensets(st.integers(0, 3), max_size=1),
        "refuse": st.sampled_from([None] * 4 + ["queue_full", "upstream_leaving", "caller_limit"]),
        "fail": st.sampled_from([None] * 3 + ["upstream_crashed"] * 2 + ["upstream_error"]),
        "first_only": st.booleans(),
    }
)


class _Caller:
    """One request of a caller in a thread of its own."""

    def __init__(self, entry: EntryHarness, prompt: str, stream: bool, permit: str | None) -> None:
        self.prompt = prompt
        self.permit = permit
        self.answer: Answer | None = None
        headers = {"X_Deadline_Ms": DEADLINE_MS}
        if permit is not None:
            headers |= {"X_Request_Kind": "issue", "Idempotency_Key": permit}

        def run() -> None:
            self.answer = entry.complete(stream, prompt, **headers)

        self.thread = threading.Thread(target=run)
        self.thread.start()

    @property
    def text(self) -> str:
        assert self.answer is not None
        if self.answer.headers["Content-Type"] == "text/event-stream":
            return self.answer.text
        return str(self.answer.json["choices"][0]["text"]) if self.answer.status == 200 else ""

    @property
    def error(self) -> dict[str, object] | None:
        assert self.answer is not None
        if self.answer.headers["Content-Type"] == "text/event-stream":
            return None if self.answer.events[-1][0] == "end" else self.answer.error
        return None if self.answer.status == 200 else self.answer.error


class FaultsMachine(RuleBasedStateMachine):
    """Whatever the sidecars do, an answer is complete and once, or the error is true."""

    def __init__(self) -> None:
        super().__init__()
        self.entry = EntryHarness(make_settings())
        self.gate = threading.Event()
        self.plan_of: dict[str, dict[str, object]] = {}
        self.callers: list[_Caller] = []
        self.permits: list[tuple[str, str]] = []
        for name in SIDECARS:
            self.entry.add_sidecar(name).plan = self._plan

    def _plan(self, submit: pb.Submit) -> Plan:
        prompt = json.loads(submit.body)["prompt"]
        wish = self.plan_of[prompt]
        if wish["first_only"] and submit.attempt:
            return Plan(pieces=_pieces(prompt))
        refuse, fail = wish["refuse"], wish["fail"]
        hold_at = wish["hold_at"]
        assert isinstance(wish["count"], int)
        pieces = _pieces(prompt)
        return Plan(
            pieces=pieces if fail is None else pieces[: wish["count"]],
            refuse=None if refuse is None else ErrorCode(refuse),
            fail=None if fail is None else ErrorCode(fail),
            gate=None if hold_at is None else self.gate,
            gate_at=hold_at if isinstance(hold_at, int) else 0,
            duplicate=wish["duplicate"],  # type: ignore[arg-type]
            omit=wish["omit"],  # type: ignore[arg-type]
        )

    def _sidecar(self, index: int) -> FakeSidecar:
        return self.entry.sidecars[SIDECARS[index]]

    def _call(self, plan: dict[str, object], stream: bool, permit: str | None) -> None:
        prompt = f"prompt-{len(self.plan_of)}"
        self.plan_of[prompt] = plan
        if permit is not None:
            self.permits.append((permit, prompt))
        self.callers.append(_Caller(self.entry, prompt, stream, permit))

    @rule(calls=st.lists(st.tuples(plans, st.booleans()), min_size=1, max_size=4))
    def complete(self, calls: list[tuple[dict[str, object], bool]]) -> None:
        for plan, stream in calls:
            self._call(plan, stream, None)

    @rule(calls=st.lists(st.tuples(plans, st.booleans()), min_size=2, max_size=3))
    def complete_with_permits(self, calls: list[tuple[dict[str, object], bool]]) -> None:
        body = {"service": "tapster-lm", "adapter": "stout:3", "kind": "issue"}
        answer = self.entry.call("POST", "/v1/permits", {**body, "count": len(calls)})
        permits = answer.json["permits"] if answer.status == 200 else []
        for (plan, stream), permit in zip(calls, permits, strict=False):
            self._call(plan, stream, permit)

    @rule(index=st.integers(0, 100), stream=st.booleans())
    def use_permit_again(self, index: int, stream: bool) -> None:
        if self.permits:
            permit, prompt = self.permits[index % len(self.permits)]
            self.callers.append(_Caller(self.entry, prompt, stream, permit))

    @rule(index=st.integers(0, 1))
    def suspend_streams(self, index: int) -> None:
        self._sidecar(index).suspend_streams()

    @rule(index=st.integers(0, 1))
    def resume_streams(self, index: int) -> None:
        self._sidecar(index).resume_streams()

    @rule(index=st.integers(0, 1))
    def drop_streams(self, index: int) -> None:
        self._sidecar(index).drop_streams()

    @rule(index=st.integers(0, 1))
    def restart(self, index: int) -> None:
        self._sidecar(index).restart()

    @rule(index=st.integers(0, 1), answers=st.booleans())
    def answer_probes(self, index: int, answers: bool) -> None:
        self._sidecar(index).answers_probes = answers

    @rule()
    def lose_freshness(self) -> None:
        """Refuse a new request and the permits used so far."""
        self.entry.config.fresh = False
        for permit, prompt in [*self.permits[-2:], (None, "stale")]:
            self.plan_of.setdefault(prompt, {})
            caller = _Caller(self.entry, prompt, False, permit)
            caller.thread.join()
            self.callers.append(caller)
        self.entry.config.fresh = True

    @rule()
    def outage(self) -> None:
        """Cut the entry off from all sidecars until every caller has its error."""
        for name in SIDECARS:
            self.entry.sidecars[name].answers_probes = False
            self.entry.sidecars[name].suspend_streams()
        for permit, prompt in self.permits[-2:]:
            self.callers.append(_Caller(self.entry, prompt, False, permit))
        for caller in self.callers:
            caller.thread.join()
        self._recover()

    @rule()
    def finish(self) -> None:
        """Let all requests go on to their ends."""
        self.gate.set()
        for caller in self.callers:
            caller.thread.join()
        self.gate.clear()
        self._recover()

    @invariant()
    def non_idempotent_requests_run_at_most_once(self) -> None:
        for _, prompt in self.permits:
            assert self._run_count(prompt) <= 1

    def teardown(self) -> None:
        self.gate.set()
        for caller in self.callers:
            caller.thread.join()
        try:
            for caller in self.callers:
                self._check(caller)
            wait_until(lambda: self.entry.daemon.open_requests == 0)
        finally:
            self.entry.stop()

    def _recover(self) -> None:
        for name in SIDECARS:
            self.entry.sidecars[name].answers_probes = True
            self.entry.sidecars[name].resume_streams()

    def _run_count(self, prompt: str) -> int:
        bodies = [body for name in SIDECARS for body in list(self.entry.sidecars[name].runs)]
        return sum(json.loads(body)["prompt"] == prompt for body in bodies)

    def _check(self, caller: _Caller) -> None:
        whole = b"".join(_pieces(caller.prompt)).decode()
        error, runs = caller.error, self._run_count(caller.prompt)
        if error is None:
            assert caller.text == whole
            assert runs >= 1
            return
        assert error["code"] != "internal", error
        assert whole.startswith(caller.text)
        match error["outcome"]:
            case "not_run":
                assert runs == 0, error
            case "failed":
                assert runs >= 1, error
            case outcome:
                assert outcome == "in_doubt"


def _pieces(prompt: str) -> tuple[bytes, ...]:
    return tuple(f"{prompt}/{number} ".encode() for number in range(4))


TestFaults = FaultsMachine.TestCase
TestFaults.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    # Shrinking repeats the scenario with its threads hundreds of times, past the test timeout.
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)
