"""Tests of retries and failed upstreams with a complete entry daemon."""

import threading

import pytest

from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import DataCentre, VmName
from dragonflyhold.storage.interface import Vm, VmState
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import EntryHarness, make_settings, running_entry, wait_until


def _count_runs(entry: EntryHarness) -> int:
    return sum(len(sidecar.runs) for sidecar in entry.sidecars.values())


class TestRetries:
    """Guards against errors for requests that another upstream could have served."""

    def test_refused_request_runs_on_another_upstream(self) -> None:
        with running_entry() as entry:
            for number in range(3):
                sidecar = entry.add_sidecar(f"runner-{number}")
                sidecar.plan = lambda submit: (
                    Plan(refuse=ErrorCode.QUEUE_FULL) if submit.attempt < 2 else Plan()
                )
            response = entry.complete()
            assert response.text == "one two three"
            assert _count_runs(entry) == 1
            metrics = entry.call("GET", "/metrics").body
            assert b'dragonflyhold_retries_total{reason="queue_full"} 2' in metrics

    def test_leaving_upstream_is_not_chosen_again(self) -> None:
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

    def test_one_leaving_refusal_excludes_the_upstream(self) -> None:
        with running_entry() as entry:
            for number in range(2):
                entry.add_sidecar(f"runner-{number}")
            entry.complete()
            (used,) = [sidecar for sidecar in entry.sidecars.values() if sidecar.submits]
            # Its reported state is still active.
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
    def test_only_upstream_is_used_again_after_recovery(self, state: int, code: ErrorCode) -> None:
        # Without requests it has no open stream on which it could report its recovery.
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

    def test_upstream_leaving_per_vm_list_is_not_chosen(self) -> None:
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
            response = entry.complete()
            assert response.text == "one "
            name, _, data = response.events[-1]
            assert name == "error"
            assert data["error"]["code"] == "upstream_crashed"
            assert data["error"]["outcome"] == "failed"
            assert _count_runs(entry) == 1

    def test_response_without_streaming_is_retried_from_the_start(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: (
                Plan((b"lost ",), fail=ErrorCode.UPSTREAM_CRASHED)
                if submit.attempt == 0
                else Plan()
            )
            response = entry.complete(stream=False)
            assert response.json["choices"][0]["text"] == "one two three"

    def test_attempt_in_doubt_determines_the_final_outcome(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: (
                Plan(refuse=ErrorCode.UPSTREAM_SILENT, refuse_outcome=pb.OUTCOME_IN_DOUBT)
                if submit.attempt == 0
                else Plan(refuse=ErrorCode.CALLER_LIMIT)
            )
            response = entry.complete()
            assert response.error["code"] == "caller_limit"
            assert response.error["outcome"] == "in_doubt"

    def test_service_without_upstreams(self) -> None:
        with running_entry() as entry:
            response = entry.complete(X_Deadline_Ms="300")
            assert response.error["code"] == "no_upstream"
            assert response.error["outcome"] == "not_run"

    def test_deadline_ends_a_wait(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: Plan(gate=threading.Event())
            response = entry.complete(False, X_Deadline_Ms="50")
            assert response.status == 504
            assert response.error["code"] == "deadline_expired"
            assert response.error["outcome"] == "in_doubt"
            (request,) = sidecar.requests.values()
            wait_until(lambda: request.cancelled == [False])

    def test_stale_configuration_refuses_work(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            entry.config.fresh = False
            response = entry.complete(X_Deadline_Ms="300")
            assert (response.error["code"], response.error["outcome"]) == (
                "config_stale",
                "not_run",
            )
            assert sidecar.submits == []
            assert entry.call("GET", "/readyz").status == 503


class TestExplain:
    """Guards against refusals and retries that are missing from the event history."""

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
    """Guards against answers from another adapter version or with changed text."""

    def test_wrong_digest_is_an_error(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1").plan = lambda submit: Plan(wrong_digest=True)
            response = entry.complete(stream=False)
            assert (response.error["code"], response.error["outcome"]) == (
                "upstream_error",
                "failed",
            )

    def test_answer_of_another_version_is_an_error(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1").plan = lambda submit: Plan(version=2)
            assert entry.complete(stream=False).error["code"] == "upstream_error"


class TestUnresponsiveUpstream:
    """Guards against requests that hang after their upstream connection stops responding."""

    @pytest.mark.parametrize("restarts", [False, True])
    def test_stream_continues_after_reconnect_or_restart(self, restarts: bool) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            first = Plan(gate=gate, gate_at=0 if restarts else 2)
            sidecar.plan = lambda submit: first if submit.attempt == 0 else Plan()
            texts: list[str] = []
            caller = threading.Thread(target=lambda: texts.append(entry.complete().text))
            caller.start()
            wait_until(lambda: any(request.readers for request in sidecar.requests.values()))
            sidecar.suspend_streams()
            if restarts:
                sidecar.restart()
            gate.set()
            caller.join()
            assert texts == ["one two three"]
            assert len(sidecar.runs) == (2 if restarts else 1)

    def test_keepalive_and_new_id_after_a_retry(self) -> None:
        settings = make_settings()
        with running_entry(settings) as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            sidecar.plan = lambda submit: Plan(gate=gate) if submit.attempt == 0 else Plan()
            connection = entry.connect()
            connection.request("POST", "/v1/completions", _streaming_body())
            response = connection.getresponse()
            assert response.readline() == b": keep-alive\n"
            sidecar.restart()
            remaining_events = response.read()
            assert b"event: request\n" in remaining_events
            assert sidecar.incarnation.encode() in remaining_events
            gate.set()
            connection.close()


def _streaming_body() -> bytes:
    return b'{"model": "tapster-lm/stout:3", "prompt": "a", "stream": true}'
