"""Tests of calls that are forwarded to plain services."""

from dragonflyhold.errors import ErrorCode
from tests.entry.fake_config import PLAIN_SERVICE
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import running_entry

PATH = "/v1/services/ticket-desk/call/seats/4?row=b%20c"


class TestPlainCalls:
    """Guards against calls or responses that are changed in transit."""

    def test_method_path_and_body_are_forwarded(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("desk-1", service=PLAIN_SERVICE)
            sidecar.plan = lambda submit: Plan(status=404, headers={"X-Reason": "none left"})
            headers = {"Content-Type": "text/plain", "X-Caller-Id": "bar", "X-Trace": "7"}
            response = entry.call("PUT", PATH, b"\x00\xff", headers)
            assert (response.status, response.headers["X-Reason"]) == (404, "none left")
            assert response.body == b"one two three"
            (submit,) = sidecar.submits
            assert (submit.call.method, submit.call.path) == ("PUT", "/seats/4?row=b%20c")
            assert submit.body == b"\x00\xff"
            assert submit.caller == "bar"
            forwarded = dict(submit.call.headers)
            assert forwarded["content-type"] == "text/plain"
            assert forwarded["x-trace"] == "7"
            assert not {"host", "content-length", "x-caller-id"} & set(forwarded)

    def test_unsafe_response_headers_are_dropped(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("desk-1", service=PLAIN_SERVICE)
            unsafe = {"X-A": "b\r\nX-Injected: yes", "Transfer-Encoding": "chunked"}
            sidecar.plan = lambda submit: Plan(headers=unsafe)
            response = entry.call("GET", PATH)
            assert response.status == 200
            assert response.body == b"one two three"
            assert not {"X-A", "X-Injected", "Transfer-Encoding"} & set(response.headers)

    def test_failed_call_is_a_typed_error(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("desk-1", service=PLAIN_SERVICE)
            sidecar.plan = lambda submit: Plan((), fail=ErrorCode.UPSTREAM_ERROR)
            response = entry.call("GET", PATH)
            assert (response.status, response.error["outcome"]) == (502, "failed")

    def test_head_has_no_body(self) -> None:
        with running_entry() as entry:
            sidecar = entry.add_sidecar("desk-1", service=PLAIN_SERVICE)
            sidecar.plan = lambda submit: Plan(())
            assert entry.call("HEAD", PATH).status == 200


class TestMetrics:
    """Guards against requests and refusals that are not counted."""

    def test_counts(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            entry.complete()
            entry.complete(X_Request_Kind="issue")
            entry.call("POST", "/v1/completions", b"{")
            text = entry.call("GET", "/metrics").body.decode()
            assert 'dragonflyhold_requests_total{kind="default",outcome="ok"} 1' in text
            assert 'dragonflyhold_requests_total{kind="issue",outcome="not_run"} 1' in text
            assert 'dragonflyhold_refusals_total{code="permit_required"} 1' in text
            assert 'dragonflyhold_refusals_total{code="bad_request"} 1' in text
            assert 'dragonflyhold_first_token_seconds_count{kind="default"} 1' in text
