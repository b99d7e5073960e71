"""Tests of the plain-service client."""

import json
from collections.abc import Callable

import pytest
import urllib3

from dragonflyhold.standins import PlainServiceStandIn
from dragonflyhold.upstreams import HttpPlainClient
from dragonflyhold.upstreams.interface import UpstreamInterruptedError, UpstreamNotSentError
from tests.upstreams.conftest import make_settings
from tests.upstreams.raw_server import RawServer

BODY = b'{"account": "guest-7", "count": 2}'
HEADERS = {"Idempotency-Key": "up-1.00.1", "Connection": "close", "Content-Length": "3"}


def read_calls(service: PlainServiceStandIn) -> list[dict]:
    return json.loads(urllib3.request("GET", f"{service.url}/v1/journal").data)["calls"]


class TestHttpPlainClient:
    """Guards against calls that run twice and against wrongly reported outcomes."""

    def test_call_and_response_are_forwarded(self, plain_service: PlainServiceStandIn) -> None:
        # Guards against hop-by-hop headers of the caller that break the framing of the request.
        client = HttpPlainClient(make_settings(plain_service.url))
        response = client.call("POST", "issue", HEADERS, BODY, 5.0)
        assert response.status == 200
        assert json.loads(response.body)["balance"] == 2
        names = {name.lower() for name in response.headers}
        assert "content-type" in names
        assert not names & {"content-length", "connection", "transfer-encoding"}
        assert [call["key"] for call in read_calls(plain_service)] == ["up-1.00.1"]

    def test_error_status_is_returned(self, plain_service: PlainServiceStandIn) -> None:
        # Guards against a refusal by the service that is reported as in doubt.
        client = HttpPlainClient(make_settings(plain_service.url))
        assert client.call("POST", "nothing", {}, b"", 5.0).status == 404

    def test_refused_connection_is_not_sent(self, closed_url: str) -> None:
        client = HttpPlainClient(make_settings(closed_url))
        with pytest.raises(UpstreamNotSentError):
            client.call("POST", "issue", {}, BODY, 5.0)
        assert not client.is_healthy()

    @pytest.mark.parametrize(
        ("method", "path", "headers"),
        [
            ("PO ST", "issue", {}),
            ("POST", "issue HTTP/1.1\r\nX-Other: 1", {}),
            ("POST", "issue", {"X-Name": "a\r\nX-Other: 1"}),
            ("POST", "b\u00fcro", {}),
        ],
    )
    def test_invalid_request_is_not_sent(
        self, plain_service: PlainServiceStandIn, method: str, path: str, headers: dict[str, str]
    ) -> None:
        # Guards against request smuggling, and against an invalid request reported as in doubt.
        client = HttpPlainClient(make_settings(plain_service.url))
        with pytest.raises(UpstreamNotSentError):
            client.call(method, path, headers, BODY, 5.0)
        assert read_calls(plain_service) == []

    @pytest.mark.parametrize("mode", ["close", "hang", "half"])
    def test_lost_response_is_interrupted_and_not_retried(
        self, plain_service: PlainServiceStandIn, mode: str
    ) -> None:
        # Guards against automatic retries by the HTTP library.
        plain_service.control({"fail_after_effect": 1, "fail_mode": mode})
        client = HttpPlainClient(make_settings(plain_service.url, read_timeout_s=0.2))
        with pytest.raises(UpstreamInterruptedError):
            client.call("POST", "issue", HEADERS, BODY, 5.0)
        assert len(read_calls(plain_service)) == 1

    def test_call_deadline_is_interrupted(self, plain_service: PlainServiceStandIn) -> None:
        # Guards against a slow service that delays a request past its deadline.
        plain_service.control({"delay_ms": 60_000})
        client = HttpPlainClient(make_settings(plain_service.url, read_timeout_s=60))
        with pytest.raises(UpstreamInterruptedError):
            client.call("POST", "issue", HEADERS, BODY, 0.1)

    @pytest.mark.parametrize(
        "response",
        [
            b"",
            b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            # Without a length, a complete body cannot be told from a truncated one.
            b"HTTP/1.1 200 OK\r\n\r\nhalf",
            # No statuses of the protocol.
            b"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nhalf",
            b"HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nhalf",
        ],
    )
    def test_incomplete_response_is_interrupted(
        self, raw_server: Callable[..., RawServer], response: bytes
    ) -> None:
        client = HttpPlainClient(make_settings(raw_server(response).url))
        with pytest.raises(UpstreamInterruptedError):
            client.call("POST", "issue", HEADERS, BODY, 5.0)

    def test_response_without_body(self, raw_server: Callable[..., RawServer]) -> None:
        # Guards against a 204 response, which never has a body, that counts as incomplete.
        client = HttpPlainClient(make_settings(raw_server(b"HTTP/1.1 204 X\r\n\r\n").url))
        assert client.call("POST", "issue", HEADERS, BODY, 5.0).body == b""

    def test_health_check(self, plain_service: PlainServiceStandIn) -> None:
        # Guards against a service that counts as healthy because it accepts connections.
        client = HttpPlainClient(make_settings(plain_service.url))
        assert client.is_healthy()
        plain_service.control({"down": "closed"})
        assert not client.is_healthy()
