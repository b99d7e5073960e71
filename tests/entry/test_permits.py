"""Tests of permits and non-idempotent requests."""

import json
import threading

from dragonflyhold.errors import ErrorCode
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.entry.fake_config import MODEL, PLAIN_SERVICE
from tests.entry.fake_sidecar import FakeSidecar, Plan
from tests.entry.harness import EntryHarness, running_entry, wait_until

_BODY = json.dumps({"model": MODEL, "prompt": "a", "stream": True}).encode()


def _make_gated_plan() -> tuple[threading.Event, Plan]:
    gate = threading.Event()
    return gate, Plan(gate=gate)


def _issue_permits(entry: EntryHarness, count: int = 1) -> list[str]:
    body = {"service": "tapster-lm", "adapter": "stout:3", "kind": "issue", "count": count}
    response = entry.call("POST", "/v1/permits", body)
    assert response.status == 200, response.body
    permits: list[str] = response.json["permits"]
    return permits


def _owner(entry: EntryHarness, permit: str) -> FakeSidecar:
    return entry.sidecars[permit.partition(".")[0]]


class TestPermits:
    """Guards against a request that runs twice or is wrongly reported as ``not_run``."""

    def test_missing_permit_is_refused_before_sending(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            response = entry.complete(X_Request_Kind="issue")
            assert response.status == 428
            assert response.error["code"] == "permit_required"
            assert response.error["outcome"] == "not_run"
            assert sidecar.submits == []

    def test_permit_runs_at_its_owner_and_returns_the_next_permit(self) -> None:
        with running_entry() as entry:
            for number in range(4):
                entry.add_sidecar(f"runner-{number}")
            (permit,) = _issue_permits(entry)
            response = entry.complete(False, X_Request_Kind="issue", Idempotency_Key=permit)
            assert response.status == 200
            assert response.json["id"] == permit
            assert len(_owner(entry, permit).runs) == 1
            next_permit = response.headers["X-Next-Permit"]
            next_response = entry.complete(
                False, X_Request_Kind="issue", Idempotency_Key=next_permit
            )
            assert next_response.status == 200

    def test_resubmitted_permit_returns_the_stored_answer(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            (permit,) = _issue_permits(entry)
            headers = {"X_Request_Kind": "issue", "Idempotency_Key": permit}
            first = entry.complete(False, **headers)
            second = entry.complete(False, **headers)
            assert first.json["choices"] == second.json["choices"]
            assert len(sidecar.runs) == 1

    def test_refusal_of_the_owner_is_not_retried_elsewhere(self) -> None:
        with running_entry() as entry:
            for number in range(3):
                entry.add_sidecar(f"runner-{number}")
            (permit,) = _issue_permits(entry)
            owner = _owner(entry, permit)
            owner.plan = lambda submit: Plan(refuse=ErrorCode.UPSTREAM_LEAVING)
            response = entry.complete(X_Request_Kind="issue", Idempotency_Key=permit)
            assert response.error["code"] == "upstream_leaving"
            assert response.error["outcome"] == "not_run"
            assert sum(len(sidecar.submits) for sidecar in entry.sidecars.values()) == 1

    def test_local_refusal_of_a_used_permit_is_in_doubt(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            (permit,) = _issue_permits(entry)
            headers = {"X_Request_Kind": "issue", "Idempotency_Key": permit}
            assert entry.complete(False, **headers).status == 200
            entry.config.fresh = False
            stale = entry.complete(False, **headers)
            assert (stale.error["code"], stale.error["outcome"]) == ("config_stale", "in_doubt")
            entry.config.fresh = True
            expired = entry.complete(False, X_Deadline_Ms="0", **headers)
            assert expired.error["outcome"] == "in_doubt"
            entry.sidecars["runner-1"].stop()
            down = entry.complete(False, **headers)
            assert down.error["outcome"] == "in_doubt"

    def test_permit_of_a_removed_upstream_is_in_doubt(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            (permit,) = _issue_permits(entry)
            entry.config.remove_upstream("runner-1")
            response = entry.complete(X_Request_Kind="issue", Idempotency_Key=permit)
            assert (response.error["code"], response.error["outcome"]) == (
                "no_upstream",
                "in_doubt",
            )

    def test_restart_of_the_owner_leaves_the_permit_in_doubt(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            (permit,) = _issue_permits(entry)
            sidecar.restart()
            response = entry.complete(X_Request_Kind="issue", Idempotency_Key=permit)
            assert response.error["code"] == "other_incarnation"
            assert response.error["outcome"] == "in_doubt"
            assert sidecar.runs == []

    def test_permits_are_issued_by_an_active_upstream(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            entry.sidecars["runner-1"].state = pb.UPSTREAM_STATE_LEAVING
            entry.add_sidecar("runner-2")
            for _ in range(5):
                assert _issue_permits(entry)[0].startswith("runner-2.")

    def test_plain_call_with_a_permit(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("desk-1", service=PLAIN_SERVICE)
            body = {"service": "ticket-desk", "kind": "issue"}
            permit = entry.call("POST", "/v1/permits", body).json["permits"][0]
            headers = {"X-Request-Kind": "issue", "Idempotency-Key": permit}
            path = "/v1/services/ticket-desk/call/book"
            assert entry.call("POST", path, b"seat=4", headers).body == b"one two three"
            entry.call("POST", path, b"seat=4", headers)
            assert sidecar.runs == [b"seat=4"]


class TestDecline:
    """Guards against a request that runs after it was reported as declined."""

    def test_unused_permit_is_declined(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            (permit,) = _issue_permits(entry)
            response = entry.call("DELETE", f"/v1/requests/{permit}")
            assert response.json["state"] == "declined"
            assert response.json["outcome"] == "not_run"
            late_response = entry.complete(X_Request_Kind="issue", Idempotency_Key=permit)
            assert (late_response.error["code"], late_response.error["outcome"]) == (
                "declined",
                "not_run",
            )
            assert sidecar.runs == []

    def test_running_request_is_cancelled(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            gate, plan = _make_gated_plan()
            sidecar.plan = lambda submit: plan
            connection = entry.connect()
            connection.request("POST", "/v1/completions", _BODY)
            wait_until(lambda: len(sidecar.requests) == 1)
            (request_id,) = sidecar.requests
            assert entry.call("DELETE", f"/v1/requests/{request_id}").json["state"] == "running"
            wait_until(lambda: sidecar.requests[request_id].cancelled == [False])
            gate.set()
            connection.getresponse().read()
            connection.close()
