"""Tests of the conversion from and to the platform's wire formats."""

import math

import pytest

from dragonflyhold.balancing import MemoryReport
from dragonflyhold.gateway.http_client import Head
from dragonflyhold.gateway.model import (
    AdapterCommand,
    CommandKind,
    ModelAdapter,
    RetrySafety,
    SendOptions,
    ServerLoad,
)
from dragonflyhold.ids import AdapterName, Version
from dragonflyhold.platform import codec

ROUTE = {
    "name": "r1",
    "host": "Site.Example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 4000,
    "target_latency_ms": 500,
    "priority": 1,
    "traffic_split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
    "max_attempts": 2,
    "resumable": True,
}


class TestConfiguration:
    """Routes of a decoded configuration; invalid configurations are rejected."""

    def test_longest_prefix_matches(self) -> None:
        routes = [ROUTE, {**ROUTE, "name": "r2", "prefix": "/a/b/"}]
        found = codec.decode_configuration({"version": 1, "routes": routes, "services": []})
        deep = found.find_route("site.example", "/a/b/c")
        flat = found.find_route("site.example", "/a/bc")
        assert deep is not None
        assert flat is not None
        assert (deep.name, flat.name) == ("r2", "r1")
        assert found.find_route("other.example", "/a/b/c") is None

    @pytest.mark.parametrize(
        ("kind", "resumable", "retry_safety"),
        [
            ("safe", False, RetrySafety.IDEMPOTENT),
            ("unsafe", False, RetrySafety.ONCE),
            ("unsafe", True, RetrySafety.ONCE),
            ("streaming", False, RetrySafety.ONCE),
            ("streaming", True, RetrySafety.RESUMABLE),
        ],
    )
    def test_route_kind_determines_retry_safety(
        self, kind: str, resumable: bool, retry_safety: RetrySafety
    ) -> None:
        """Neither the route's name nor the method may imply that a request is safe to retry."""
        fields = {**ROUTE, "kind": kind, "resumable": resumable}
        found = codec.decode_configuration({"version": 1, "routes": [fields], "services": []})
        assert found.routes["site.example"][0].retry_safety is retry_safety

    @pytest.mark.parametrize("version", [10**12 + 1, 1_796_613_040_414, 2**53 - 1])
    def test_versions_may_come_from_a_clock(self, version: int) -> None:
        """Guards against configurations that are ignored from some version on."""
        fields = {"version": version, "routes": [ROUTE], "services": []}
        assert codec.decode_configuration(fields).version == version

    @pytest.mark.parametrize("version", [-1, 2**53, True, "7", float("inf"), None])
    def test_versions_without_an_order_are_rejected(self, version: object) -> None:
        with pytest.raises(codec.DecodeError):
            codec.decode_configuration({"version": version, "routes": [], "services": []})

    @pytest.mark.parametrize("value", [None, [], {}, {"version": 1, "routes": [{}]}])
    def test_invalid_configuration_is_rejected(self, value: object) -> None:
        with pytest.raises(codec.DecodeError):
            codec.decode_configuration(value)


class TestHeaders:
    """Headers received from a client and those sent to an upstream."""

    def test_gateway_headers_from_client_are_replaced(self) -> None:
        """A client may send any of these headers, but its values must not reach an upstream."""
        names = b"Deadline-Remaining Expected-Instance Urgency-Level Expected-Version Hold"
        more = b"Pin-Duration Cache-Backup Kv-From Kv-Fetch"
        sent = [(name, b"evil") for name in (names + b" " + more).split()]
        options = SendOptions("r1", 1.5, 2, Version(3), None)  # type: ignore[arg-type]
        headers = codec.upstream_headers([*sent, (b"Model", b"m/a1")], options)
        assert sorted(headers) == [
            (b"Deadline-Remaining", b"1500"),
            (b"Expected-Instance", b"r1"),
            (b"Expected-Version", b"3"),
            (b"Model", b"m/a1"),
            (b"Urgency-Level", b"2"),
        ]

    def test_resume_replaces_event_id_of_client(self) -> None:
        options = SendOptions("r1", 1.0, None, None, "7")  # type: ignore[arg-type]
        headers = codec.upstream_headers([(b"last-event-id", b"3")], options)
        assert [value for name, value in headers if name.lower() == b"last-event-id"] == [b"7"]

    def test_invalid_values_are_ignored(self) -> None:
        request_info = codec.decode_request(
            {b"deadline-remaining": b"soon", b"token-count": b"x,-1", b"model": b"m"}
        )
        assert (request_info.time_left_s, request_info.prompt_tokens, request_info.target) == (
            None,
            0,
            None,
        )

    def test_model_with_adapter_is_decoded(self) -> None:
        request_info = codec.decode_request({b"model": b"m/a1", b"token-count": b"1460,80"})
        assert request_info.target == ModelAdapter("m", AdapterName("a1"))  # type: ignore[arg-type]
        assert (request_info.prompt_tokens, request_info.output_tokens) == (1460, 80)

    @pytest.mark.parametrize(
        ("value", "limit"),
        [
            (b"4.6", 4.6),
            (b"7", 7.0),
            (b"0", 0.0),
            (b"-1", None),
            (b"nan", None),
            (b"x", None),
            (b"1e400", None),
            (b"1e308", 1e6),
            (b"9" * 5000, None),
        ],
    )
    def test_limit_of_an_upstream_is_decoded(self, value: bytes, limit: float | None) -> None:
        assert codec.server_limit(_head(200, server_limit=value)) == limit
        assert codec.server_limit(_head(200)) is None
        assert codec.server_limit(_head(421, server_limit=value)) is None

    def test_only_signed_successes_end_a_limit(self) -> None:
        """Guards against limits that end with a refusal or with an illegible value."""
        assert codec.states_no_limit(_head(200, response_signature=b"s"))
        assert not codec.states_no_limit(_head(200))
        assert not codec.states_no_limit(_head(503, response_signature=b"s"))
        assert not codec.states_no_limit(_head(200, response_signature=b"s", server_limit=b"x"))

    @pytest.mark.parametrize(
        ("values", "wait_s"),
        [
            ([b"2"], 2.0),
            ([b"0.25"], 0.25),
            ([b" 7 "], 7.0),
            ([b"0"], 0.0),
            ([b"9" * 400], math.inf),
            ([b"3", b"1"], 3.0),
            ([b"x", b"1"], 1.0),
            ([b""], None),
            ([b"-1"], None),
            ([b"+1"], None),
            ([b"1e3"], None),
            ([b"1_0"], None),
            ([b".5"], None),
            ([b"inf"], None),
            ([b"nan"], None),
            ([b"1, 2"], None),
            (["\u0663".encode()], None),
            ([b"Wed, 21 Oct 2026 07:28:00 GMT"], None),
            ([], None),
        ],
    )
    def test_the_time_of_a_refusal_is_decoded(
        self, values: list[bytes], wait_s: float | None
    ) -> None:
        """Guards against values that raise an error or are read as a time that nobody stated."""
        headers = [(b"Retry-After", value) for value in values]
        fields = {name.lower(): value for name, value in headers}
        assert codec.turned_away_s(Head(503, headers, fields)) == wait_s
        for status in (200, 408, 421, 429, 500):
            assert codec.turned_away_s(Head(status, headers, fields)) is None

    def test_parts_of_the_prompt_are_decoded(self) -> None:
        request_info = codec.decode_request({b"prompt-prefix": b"5C1e07a2:800, 91bd3f06:410,,e4:2"})
        assert request_info.prompt_parts == (b"5c1e07a2", b"91bd3f06", b"e4")
        assert codec.decode_request({}).prompt_parts == ()


def _head(status: int, **fields: bytes) -> Head:
    named = {name.replace("_", "-").encode(): value for name, value in fields.items()}
    return Head(status, list(named.items()), named)


class TestResponses:
    """Interpretation of an upstream's status and headers."""

    def test_only_421_and_not_executed_header_mean_not_run(self) -> None:
        assert codec.is_not_run(_head(421))
        assert codec.is_not_run(_head(503, not_executed=b"1"))
        assert not codec.is_not_run(_head(503))
        assert not codec.is_not_run(_head(429))

    def test_success_requires_signature_and_unaltered_body(self) -> None:
        assert codec.is_authentic_success(_head(200, response_signature=b"x"))
        assert not codec.is_authentic_success(_head(200))
        zipped = _head(200, response_signature=b"x", content_encoding=b"gzip")
        assert not codec.is_authentic_success(zipped)

    @pytest.mark.parametrize("status", [429, 503, 408])
    def test_status_that_implies_not_run_is_not_forwarded(self, status: int) -> None:
        """A client would wrongly conclude that its request did not run and repeat it."""
        assert not codec.may_forward_failure(_head(status, response_signature=b"x"))

    def test_server_load_is_decoded(self) -> None:
        assert codec.server_load(_head(200, server_load=b"3, 1,8")) == ServerLoad(3, 1, 8)
        assert codec.server_load(_head(200, server_load=b"3,x,8")) is None
        assert codec.server_load(_head(200)) is None

    def test_fourth_figure_is_the_slowness(self) -> None:
        """Guards against a load that is ignored because its upstream states more than before."""
        assert codec.server_load(_head(200, server_load=b"3,1,8,250")) == ServerLoad(3, 1, 8, 2.5)

    @pytest.mark.parametrize("figure", [b"0", b"-5", b"x", b"", b"1e3", b"9" * 5000, b"100001"])
    def test_odd_fourth_figure_leaves_the_counts(self, figure: bytes) -> None:
        head = _head(200, server_load=b"3,1,8," + figure)
        assert codec.server_load(head) == ServerLoad(3, 1, 8)

    @pytest.mark.parametrize(
        "value",
        [b"1,%s,8" % (b"9" * 5000), b"\xb2,1,8", b"-1,1,8", b",,", b"1,2", b"1,2,8,100,7"],
    )
    def test_odd_server_load_is_ignored(self, value: bytes) -> None:
        """Guards against a header that ends a request although its upstream has answered."""
        assert codec.server_load(_head(200, server_load=value)) is None

    def test_the_load_in_a_421_is_that_of_another_upstream(self) -> None:
        assert codec.server_load(_head(421, server_load=b"3,1,8,250")) is None


class TestEngine:
    """Commands to an engine and its reports."""

    def test_command_has_sequence_holder_and_token(self) -> None:
        command = AdapterCommand(CommandKind.LOAD, "m", AdapterName("a3"), Version(2))  # type: ignore[arg-type]
        assert codec.encode_command(command, 5, "side-1", 41) == {
            "operation": "load",
            "model": "m",
            "adapter": "a3",
            "version": 2,
            "expected": 5,
            "holder": "side-1",
            "fencing_token": 41,
        }

    def test_report_lists_adapters_with_versions(self) -> None:
        models = [{"name": "m", "version": 1, "adapters": ["a1@2", "a7"]}]
        fields = {"models": models, "sequence": 4, "coming": ["m/a9@3"], "state": "draining"}
        report = codec.decode_report(fields)
        assert {key.adapter: version for key, version in report.adapters.items()} == {
            "a1": 2,
            "a7": 1,
        }
        assert {key.adapter: version for key, version in report.loading.items()} == {"a9": 3}
        assert report.is_draining

    def test_report_states_memory(self) -> None:
        fields = {"sequence": 1, "models": [], "kv_used": 41000, "kv_total": 90000}
        assert codec.decode_report(fields).memory == MemoryReport(41000, 90000)

    @pytest.mark.parametrize("used", [None, -1, "9", 1.5, True, [], {}])
    @pytest.mark.parametrize("total", [None, 0, -1, "9", 1.5])
    def test_odd_memory_leaves_the_report_valid(self, used: object, total: object) -> None:
        """Guards against an engine that gets nothing for a figure that can't be read."""
        fields = {"sequence": 1, "models": [], "kv_used": used, "kv_total": total}
        assert codec.decode_report(fields).memory is None

    def test_huge_memory_is_bounded(self) -> None:
        fields = {"sequence": 1, "models": [], "kv_used": 10**40, "kv_total": 10**40}
        memory = codec.decode_report(fields).memory
        assert memory is not None
        assert memory.total < 2**63

    @pytest.mark.parametrize("value", [None, [], {}, {"sequence": 1, "coming": [3]}])
    def test_invalid_report_is_rejected(self, value: object) -> None:
        with pytest.raises(codec.DecodeError):
            codec.decode_report(value)
