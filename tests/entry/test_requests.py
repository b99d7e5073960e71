"""Tests of request states and resumed answers."""

import threading

from tests.entry.fake_config import PLAIN_SERVICE
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import EntryHarness, running_entry


class TestRequestState:
    """Guards against request states that do not come from the owner of the request."""

    def test_state_is_reported_by_the_owner(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            request_id = entry.complete().headers["X-Request-Id"]
            state = entry.call("GET", f"/v1/requests/{request_id}").json
            assert state["state"] == "done"
            assert state["outcome"] == "ok"
            assert (state["count"], state["complete"]) == (3, True)

    def test_unreachable_owner_leaves_the_request_in_doubt(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            request_id = entry.complete().headers["X-Request-Id"]
            entry.sidecars["runner-1"].stop()
            response = entry.call("GET", f"/v1/requests/{request_id}")
            assert response.error["code"] == "upstream_down"
            assert response.error["outcome"] == "in_doubt"

    def test_malformed_ids(self) -> None:
        with running_entry() as entry:
            for text in ("x", "runner-1.zz.1", "%0d%0a", "runner-1." + "0" * 16 + ".x"):
                response = entry.call("GET", f"/v1/requests/{text}")
                assert response.error["code"] == "unknown_request"


class TestResume:
    """Guards against an answer that can be read only through the entry that submitted it."""

    def test_resume_through_another_entry(self) -> None:
        with running_entry() as first, running_entry() as second:
            sidecar = first.add_sidecar("runner-1")
            second.config.add_upstream("runner-1", sidecar.address)
            request_id = first.complete().headers["X-Request-Id"]
            response = second.call("GET", f"/v1/requests/{request_id}/answer?from=1")
            assert [event[1] for event in response.events[:-1]] == ["1", "2"]
            assert response.events[-1][2]["count"] == 3

    def test_resume_of_a_running_request(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate = threading.Event()
            sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
            caller = _complete_in_thread(entry)
            while not sidecar.requests:
                caller.join(0.01)
            (request_id,) = sidecar.requests
            threading.Timer(0.05, gate.set).start()
            response = entry.call("GET", f"/v1/requests/{request_id}/answer?from=0")
            assert response.text == "one two three"
            caller.join()

    def test_resumed_plain_answer_has_the_status_of_the_service(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("desk-1", service=PLAIN_SERVICE)
            sidecar.plan = lambda submit: Plan(status=201, headers={"X-Seat": "4"})
            first = entry.call("GET", "/v1/services/ticket-desk/call/seats")
            request_id = first.headers["X-Request-Id"]
            response = entry.call("GET", f"/v1/requests/{request_id}/answer")
            assert (response.status, response.headers["X-Seat"]) == (201, "4")
            assert response.body == b"one two three"

    def test_unknown_request(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            response = entry.call("GET", "/v1/requests/runner-1." + "0" * 16 + ".9/answer?from=0")
            assert response.error["code"] == "other_incarnation"
            assert response.error["outcome"] == "in_doubt"

    def test_invalid_sequence_number(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            request_id = entry.complete().headers["X-Request-Id"]
            for start in ("-1", "x", "9" * 30):
                response = entry.call("GET", f"/v1/requests/{request_id}/answer?from={start}")
                assert response.error["code"] == "bad_request"


def _complete_in_thread(entry: EntryHarness) -> threading.Thread:
    thread = threading.Thread(target=entry.complete)
    thread.start()
    return thread
