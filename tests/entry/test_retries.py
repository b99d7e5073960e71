"""Tests of retries and of failed upstreams, through the whole entry daemon."""

import threading

import pytest

from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import DataCentre, VmName
from dragonflyhold.storage.interface import Vm, VmState
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import EntryHarness, make_settings, running_entry, wait_until


def _runs(entry: EntryHarness) -> int:
    return sum(len(sidecar.runs) for sidecar in entry.sidecars.values())


class TestRetries:
    """Guards against refusals that another upstream would have spared the caller."""

    def test_refused_request_runs_elsewhere(self) -> None:
        with running_entry() as entry:
            for number in range(3):
                sidecar = entry.add_sidecar(f"runner-{number}")
                sidecar.plan = lambda submit: (
                    Plan(refuse=ErrorCode.QUEUE_FULL) if submit.attempt < 2 else Plan()
                )
            answer = entry.complete()
            assert answer.text == "one two three"
            assert _runs(entry) == 1
            metrics = entry.call("GET", "/metrics").body
            assert b'dragonflyhold_retries_total{reason="queue_full"} 2' in metrics

    def test_leaving_upstream_is_not_asked_again(self) -> None:
        with running_entry() as entry:
            for number in range(2):
                sidecar = entry.add_sidecar(f"runner-{number}")
                sidecar.plan = lambda submit: Plan()
            leaving = entry.sidecars["runner-0"]
            leaving.state = pb.UPSTREAM_STATE_LEAVING
            leaving.plan = lambda submit: Plan(refuse=ErrorCode.UPSTREAM_LEAVING)
            for number in range(20):
                assert entry.complete(prompt=str(number)).status == 200
            assert len(leaving.submits) <= 1

    def test_one_refusal_is_enough(self) -> None:
        with running_entry() as entry:
            for number in range(2):
                entry.add_sidecar(f"runner-{number}")
            entry.complete()
            (used,) = [sidecar for sidecar in entry.sidecars.values() if sidecar.submits]
            # Its reports do not say yet that it leaves.
            used.plan = lambda submit: Plan(refuse=ErrorCode.UPSTREAM_LEAVING)
            for number in range(10):
                assert entry.complete(prompt=str(number)).status == 200
            assert len(used.submits) == 2

    @pytest.mark.parametrize(
        ("state", "code"),
        [
            (pb.UPSTREAM_STATE_LEAVING, ErrorCode.UPSTREAM_LEAVING),
            (pb.UPSTREAM_STATE_DOWN, ErrorCode.UPSTREAM_DOWN),
        ],
    )
    def test_only_upstream_is_used_again_after_it_came_back(
        self, state: int, code: ErrorCode
    ) -> None:
        # Nothing is sent to it meanwhile, so it has no stream on which it could report.
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-0")
            sidecar.state = state
            sidecar.plan = lambda submit: Plan(refuse=code)
            for prompt in ("a", "b"):
                assert entry.complete(stream=False, prompt=prompt).status == 503
            sidecar.state = pb.UPSTREAM_STATE_ACTIVE
            sidecar.plan = lambda submit: Plan()
            sidecar.restart()
            wait_until(lambda: entry.complete(stream=False, prompt="c").status == 200)

    def test_upstream_leaving_by_the_vm_list_is_not_chosen(self) -> None:
        with running_entry() as entry:
            for number in range(2):
                entry.add_sidecar(f"runner-{number}")
            vm = Vm(VmName("vm-0"), "127.0.0.1", DataCentre("a"), VmState.LEAVING, "runner-0")
            entry.vms.vms = [vm]
            wait_until(lambda: entry.vms.reads >= 2)
            for number in range(10):
                assert entry.complete(prompt=str(number)).status == 200
            assert entry.sidecars["runner-0"].submits == []

    def test_down_upstream_costs_one_attempt(self) -> None:
        with running_entry() as entry:
            for number in range(2):
                entry.add_sidecar(f"runner-{number}")
            entry.sidecars["runner-0"].stop()
            for number in range(5):
                assert entry.complete(prompt=str(number)).text == "one two three"

    def test_crash_before_the_first_piece_is_retried(self) -> None:
        with running_entry() as entry:
            for number in range(2):
                sidecar = entry.add_sidecar(f"runner-{number}")
                sidecar.plan = lambda submit: (
                    Plan(pieces=(), fail=ErrorCode.UPSTREAM_CRASHED)
                    if submit.attempt == 0
                    else Plan()
                )
            assert entry.complete().text == "one two three"

    def test_no_retry_after_the_first_piece(self) -> None:
        with running_entry() as entry:
            for number in range(2):
                sidecar = entry.add_sidecar(f"runner-{number}")
                sidecar.plan = lambda submit: Plan((b"one ",), fail=ErrorCode.UPSTREAM_CRASHED)
            answer = entry.complete()
            assert answer.text == "one "
            name, _, data = answer.events[-1]
            assert name == "error"
            assert data["error"]["code"] == "upstream_crashed"
            assert data["error"]["outcome"] == "failed"
            assert _runs(entry) == 1

    def test_whole_answer_is_retried_from_the_start(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: (
                Plan((b"lost ",), fail=ErrorCode.UPSTREAM_CRASHED)
                if submit.attempt == 0
                else Plan()
            )
            answer = entry.complete(stream=False)
            assert answer.json["choices"][0]["text"] == "one two three"

    def test_doubtful_attempt_shows_in_the_final_outcome(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: (
                Plan(refuse=ErrorCode.UPSTREAM_SILENT, refuse_outcome=pb.OUTCOME_IN_DOUBT)
                if submit.attempt == 0
                else Plan(refuse=ErrorCode.CALLER_LIMIT)
            )
            answer = entry.complete()
            assert answer.error["code"] == "caller_limit"
            assert answer.error["outcome"] == "in_doubt"

    def test_no_upstream(self) -> None:
        with running_entry() as entry:
            answer = entry.complete(X_Deadline_Ms="300")
            assert answer.error["code"] == "no_upstream"
            assert answer.error["outcome"] == "not_run"

    def test_deadline_ends_a_wait(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: Plan(gate=threading.Event())
            answer = entry.complete(False, X_Deadline_Ms="50")
            assert answer.status == 504
            assert answer.error["code"] == "deadline_expired"
            assert answer.error["outcome"] == "in_doubt"
            (request,) = sidecar.requests.values()
            wait_until(lambda: request.cancelled == [False])

    def test_stale_configuration_refuses_work(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            entry.config.fresh = False
            answer = entry.complete(X_Deadline_Ms="300")
            assert (answer.error["code"], answer.error["outcome"]) == ("config_stale", "not_run")
            assert sidecar.submits == []
            assert entry.call("GET", "/readyz").status == 503


class TestExplain:
    """Guards against a refusal or retry that operators cannot trace."""

    def test_route_refusal_and_retry_are_recorded(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: (
                Plan(refuse=ErrorCode.QUEUE_FULL) if submit.attempt == 0 else Plan()
            )
            request_id = entry.complete().headers["X-Request-Id"]
            texts = [event.text for event in entry.daemon.explain.get(request_id)]
            assert texts[0].startswith("route to runner-1")
            assert any("queue_full (not_run)" in text for text in texts)
            assert any(text.startswith("retry in") for text in texts)
            assert texts[-1] == "ended with 3 pieces"


class TestIntegrity:
    """Guards against answers of another version or with changed text."""

    def test_wrong_digest_is_an_error(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1").plan = lambda submit: Plan(wrong_digest=True)
            answer = entry.complete(stream=False)
            assert (answer.error["code"], answer.error["outcome"]) == ("upstream_error", "failed")

    def test_other_version_is_an_error(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1").plan = lambda submit: Plan(version=2)
            assert entry.complete(stream=False).error["code"] == "upstream_error"


class TestSilentUpstream:
    """Guards against callers that hang with a connection that went silent."""

    @pytest.mark.parametrize("restarts", [False, True])
    def test_stream_of_a_caller_goes_on(self, restarts: bool) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            first = Plan(gate=gate, gate_at=0 if restarts else 2)
            sidecar.plan = lambda submit: first if submit.attempt == 0 else Plan()
            answers: list[str] = []
            caller = threading.Thread(target=lambda: answers.append(entry.complete().text))
            caller.start()
            wait_until(lambda: any(r.readers for r in sidecar.requests.values()))
            sidecar.suspend_streams()
            if restarts:
                sidecar.restart()
            gate.set()
            caller.join()
            assert answers == ["one two three"]
            assert len(sidecar.runs) == (2 if restarts else 1)

    def test_keepalive_and_new_id_after_a_retry(self) -> None:
        settings = make_settings()
        with running_entry(settings) as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            sidecar.plan = lambda submit: Plan(gate=gate) if submit.attempt == 0 else Plan()
            connection = entry.connect()
            connection.request("POST", "/v1/completions", _body())
            response = connection.getresponse()
            assert response.readline() == b": keep-alive\n"
            sidecar.restart()
            rest = response.read()
            assert b"event: request\n" in rest
            assert sidecar.incarnation.encode() in rest
            gate.set()
            connection.close()


def _body() -> bytes:
    return b'{"model": "tapster-lm/stout:3", "prompt": "a", "stream": true}'
