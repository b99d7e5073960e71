"""Tests of request states and resumed answers."""

import threading

from tests.entry.fake_config import PLAIN_SERVICE
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import EntryHarness, running_entry


class TestRequestState:
    """Guards against states made up by an entry that is not the owner."""

    def test_state_comes_from_the_owner(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            request_id = entry.complete().headers["X-Request-Id"]
            state = entry.call("GET", f"/v1/requests/{request_id}").json
            assert state["state"] == "done"
            assert state["outcome"] == "ok"
            assert (state["count"], state["complete"]) == (3, True)

    def test_owner_that_does_not_answer_leaves_it_in_doubt(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            request_id = entry.complete().headers["X-Request-Id"]
            entry.sidecars["runner-1"].stop()
            answer = entry.call("GET", f"/v1/requests/{request_id}")
            assert answer.error["code"] == "upstream_down"
            assert answer.error["outcome"] == "in_doubt"

    def test_malformed_ids(self) -> None:
        with running_entry() as entry:
            for text in ("x", "runner-1.zz.1", "%0d%0a", "runner-1." + "0" * 16 + ".x"):
                answer = entry.call("GET", f"/v1/requests/{text}")
                assert answer.error["code"] == "unknown_request"


class TestResume:
    """Guards against an answer that can only be read through the entry that started it."""

    def test_through_another_entry(self) -> None:
        with running_entry() as first, running_entry() as second:
            sidecar = first.add_sidecar("runner-1")
            second.config.add_upstream("runner-1", sidecar.address)
            request_id = first.complete().headers["X-Request-Id"]
            answer = second.call("GET", f"/v1/requests/{request_id}/answer?from=1")
            assert [event[1] for event in answer.events[:-1]] == ["1", "2"]
            assert answer.events[-1][2]["count"] == 3

    def test_while_it_runs(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
            reader = _read_in_thread(entry)
            while not sidecar.requests:
                reader.join(0.01)
            (request_id,) = sidecar.requests
            threading.Timer(0.05, gate.set).start()
            answer = entry.call("GET", f"/v1/requests/{request_id}/answer?from=0")
            assert answer.text == "one two three"
            reader.join()

    def test_plain_answer_has_the_status_of_the_service(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("desk-1", service=PLAIN_SERVICE)
            sidecar.plan = lambda submit: Plan(status=201, headers={"X-Seat": "4"})
            first = entry.call("GET", "/v1/services/ticket-desk/call/seats")
            request_id = first.headers["X-Request-Id"]
            answer = entry.call("GET", f"/v1/requests/{request_id}/answer")
            assert (answer.status, answer.headers["X-Seat"]) == (201, "4")
            assert answer.body == b"one two three"

    def test_unknown_request(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            answer = entry.call("GET", "/v1/requests/runner-1." + "0" * 16 + ".9/answer?from=0")
            assert answer.error["code"] == "other_incarnation"
            assert answer.error["outcome"] == "in_doubt"

    def test_wrong_sequence_number(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            request_id = entry.complete().headers["X-Request-Id"]
            for start in ("-1", "x", "9" * 30):
                answer = entry.call("GET", f"/v1/requests/{request_id}/answer?from={start}")
                assert answer.error["code"] == "bad_request"


def _read_in_thread(entry: EntryHarness) -> threading.Thread:
    thread = threading.Thread(target=entry.complete)
    thread.start()
    return thread
