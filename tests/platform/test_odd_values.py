"""Tests of odd values in rows and responses: wrong types, sizes, numbers and nesting."""

import contextlib
import dataclasses
import ipaddress
import random
from collections.abc import Iterator
from typing import Any

import msgpack
import orjson
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.gateway.engine_state import update_without_commands
from dragonflyhold.gateway.http_client import Head
from dragonflyhold.gateway.messages import encode
from dragonflyhold.gateway.model import Configuration, SendOptions, Upstream
from dragonflyhold.platform import codec
from dragonflyhold.platform.store import StoredRow


def nested(depth: int) -> Any:
    """Return lists in lists, as deep as the JSON parser allows or less."""
    return orjson.loads(b"[" * depth + b"]" * depth)


NUMBERS = (-1, 0, 0.5, 1e300, -1e300, 2**31, 2**53, 2**63, 2**64 - 1, 1 << 70)
TEXTS = ("", " ", "nan", "inf", "1e400", "9" * 5000, "9" * 300, "²", "a\r\nX: y", "a\0b", "é", "字")
ODD_VALUES = (
    *(None, True, [], {}, [None], {"a": 1}, nested(990), nested(1020), "x" * 200_000),
    *NUMBERS,
    *TEXTS,
)
odd_values = st.sampled_from(ODD_VALUES) | st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=12),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def replacements(value: Any) -> Iterator[Any]:
    """Return copies of a JSON value in each of which one part is odd, missing or added."""
    yield from ODD_VALUES
    if isinstance(value, dict):
        yield {**value, "unknown": nested(900)}
        for key, part in value.items():
            yield {name: other for name, other in value.items() if name != key}
            yield from ({**value, key: odd} for odd in replacements(part))
    elif isinstance(value, list) and value:
        yield from ([odd, *value[1:]] for odd in replacements(value[0]))
        yield value * 3000


ENTRY = {
    "service": "assistant",
    "address": "10.0.0.1:80",
    "zone": "dc-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "base", "version": 1, "adapters": ["a1@2", "a7"]}],
    "sequence": 4,
    "born": 17,
}
ODD_ADDRESSES = (
    *("10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:", ":80"),
    *(
        "10.0.0.1:http",
        "10.0.0.1:8²",
        "10.0.0.1:" + "0" * 5000 + "80",
        "10.0.0.1",
        "host.example:80",
    ),
    *("10.0.0.1\0:80", "10.0.0.1\r\n:80", "a..b:80", "x" * 300 + ":80", "10.0.0:80", "[::1]:80"),
    *("0.0.0.0:80", "224.0.0.1:80", "fe80::1%lo:80"),
)


def _check_usable(upstream: Upstream) -> None:
    host, _, port = upstream.address.rpartition(":")
    assert ipaddress.ip_address(host)
    assert 0 < int(port) < 65536
    options = SendOptions(upstream.upstream_id, 1.0, None, None, None)
    assert all(value.isprintable() for _, value in _texts(codec.upstream_headers([], options)))
    msgpack.packb([upstream.start_time_ms, list(upstream.adapters.items())])
    assert 1.0 / upstream.slots > 0


def _texts(headers: list[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    return [(name.decode("ascii"), value.decode("ascii")) for name, value in headers]


class TestUpstreams:
    """Guards against an entry of another writer that ends a loop or requests when it is used."""

    def test_entries_with_an_odd_part_are_rejected_or_usable(self) -> None:
        texts = []
        for fields in replacements(ENTRY):
            try:
                _check_usable(codec.decode_upstream("r1", fields))
            except codec.DecodeError as error:
                texts.append(str(error))
        assert max(map(len, texts)) < 1000

    @pytest.mark.parametrize("name", sorted(ENTRY.keys() - {"models", "born"}))
    @pytest.mark.parametrize("is_missing", [True, False])
    def test_an_entry_without_a_field_names_no_upstream(self, name: str, is_missing: bool) -> None:
        """Guards against upstreams of another writer that are used as they lack nothing needed."""
        fields: dict[str, Any] = {**ENTRY, name: None}
        if is_missing:
            del fields[name]
        with pytest.raises(codec.DecodeError):
            codec.decode_upstream("r1", fields)

    @given(st.sampled_from([*sorted(ENTRY), "key"]), odd_values)
    def test_entries_with_any_value_are_rejected_or_usable(self, name: str, value: Any) -> None:
        key = str(value) if name == "key" else "r1"
        try:
            upstream = codec.decode_upstream(key, {**ENTRY, name: value})
        except codec.DecodeError:
            return
        _check_usable(upstream)

    @pytest.mark.parametrize("address", ODD_ADDRESSES)
    def test_addresses_that_name_no_listener_are_rejected(self, address: str) -> None:
        with pytest.raises(codec.DecodeError):
            codec.decode_upstream("r1", {**ENTRY, "address": address})

    @pytest.mark.parametrize("key", ["", "r 1", "r1\r\nHold: 9", "r1\0", "rä", "字", "r" * 201])
    def test_ids_that_no_header_can_carry_are_rejected(self, key: str) -> None:
        with pytest.raises(codec.DecodeError):
            codec.decode_upstream(key, ENTRY)

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("slots", 2**63),
            ("born", -1),
            ("born", 2**64 - 1),
            ("sequence", "4"),
            ("cold_remaining_ms", -1),
            ("version", []),
            ("models", {}),
            ("models", [{"name": 7}]),
            ("models", [{"name": "base", "adapters": "a1"}]),
            ("models", [{"name": "base", "adapters": ["a1@" + "9" * 300]}]),
            ("models", [{"name": "base", "adapters": ["a1@-1"]}]),
            ("models", [{"name": "base", "adapters": ["a@b@1"]}]),
            ("models", [{"name": "base", "adapters": ["@1"]}]),
        ],
    )
    def test_odd_fields_are_rejected(self, name: str, value: Any) -> None:
        with pytest.raises(codec.DecodeError):
            codec.decode_upstream("r1", {**ENTRY, name: value})

    @pytest.mark.parametrize("name", ["born", "models"])
    def test_sound_entries_stay_usable(self, name: str) -> None:
        fields = {key: value for key, value in ENTRY.items() if key != name}
        odd = {"unknown": nested(1000), "more": 2**64 - 1, "\0": "x" * 60_000}
        assert codec.decode_upstream("r1", {**fields, **odd}).address == ENTRY["address"]
        assert codec.decode_upstream("r1", {**ENTRY, "address": "::1:80"}).ip == "::1"


CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "host": "Site.Example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 500,
            "priority": 1,
            "traffic_split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "max_attempts": 2,
            "gap_target_ms": 250,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "s1",
            "health_check_path": "/health",
            "engine": {"adapter_slots": 3, "models": [{"name": "base"}]},
        }
    ],
    "limits": {"header_bytes": 4096, "body_bytes": 65536, "header_timeout_ms": 500},
}


def _check_configuration(found: Configuration) -> None:
    for route in (route for group in found.routes.values() for route in group):
        random.choices(route.shares, [share.weight for share in route.shares])
        assert 0 < route.timeout_s < 1e10
        assert 0 < route.target_latency_s < 1e10
        assert route.max_pause_s is None or 0 < route.max_pause_s < 1e10
        assert route.priority >= 0
        assert route.prefix[0] == "/"
    for service in found.services.values():
        assert service.health_path.isprintable()
        assert service.health_path.isascii()
        specs = [service.engine] if service.engine else []
        assert all(spec.adapter_slots >= 0 for spec in specs)
        msgpack.packb([(spec.adapter_slots, spec.models) for spec in specs])
    assert found.limits.header_bytes > 0
    assert found.limits.body_bytes > 0
    assert 0 < found.limits.header_timeout_s < 1e10
    assert 0 < found.limits.idle_timeout_s < 1e10
    msgpack.packb(found.version)


class TestConfigurations:
    """Guards against a configuration in force that ends requests, whatever the store accepts."""

    def test_configurations_with_an_odd_part_are_rejected_or_usable(self) -> None:
        usable = 0
        for fields in replacements(CONFIGURATION):
            try:
                found = codec.decode_configuration(fields)
            except codec.DecodeError:
                continue
            usable += 1
            _check_configuration(found)
        assert usable > 50

    @pytest.mark.parametrize("weights", [(0, 0), (-1, 2), ("inf", 1), (1e300, 1), (None, 1)])
    def test_weights_that_choose_no_service_are_rejected(self, weights: tuple[Any, Any]) -> None:
        split = [{"service": f"s{n}", "weight": weight} for n, weight in enumerate(weights)]
        route = {**CONFIGURATION["routes"][0], "traffic_split": split}  # type: ignore[index]
        with pytest.raises(codec.DecodeError):
            codec.decode_configuration({**CONFIGURATION, "routes": [route]})

    def test_the_last_configuration_stays_in_force(self) -> None:
        catalogue, events = _catalogue()
        catalogue.apply(StoredRow("config", 1, orjson.dumps(CONFIGURATION)))
        odd = [{**CONFIGURATION, "version": 4, "limits": {"header_bytes": -1}}, 7, {"version": 9}]
        for number, value in enumerate(odd, 2):
            catalogue.apply(StoredRow("config", number, orjson.dumps(value)))
        catalogue.apply(StoredRow("config", 9, b"[" * 10_000))
        assert catalogue.configuration is not None
        assert catalogue.configuration.version == 3
        assert events == ["operator_row_invalid"] * 4

    def test_an_ignored_configuration_shows_until_a_valid_one_comes(self) -> None:
        """Guards against operators who aren't told that what the store confirmed isn't in force."""
        catalogue, _ = _catalogue()
        catalogue.apply(StoredRow("config", 1, orjson.dumps(CONFIGURATION)))
        assert not catalogue.is_newest_invalid
        catalogue.apply(StoredRow("config", 2, orjson.dumps({"version": 9})))
        catalogue.apply(StoredRow("version/base.a1", 3, b"[]"))
        assert catalogue.is_newest_invalid
        catalogue.apply(StoredRow("config", 4, orjson.dumps({**CONFIGURATION, "version": 11})))
        catalogue.apply(StoredRow("version/base.a1", 5, b"[]"))
        assert not catalogue.is_newest_invalid


class TestAdapterVersions:
    """Guards against a version that does not fit into messages and commands."""

    def test_announcements_with_an_odd_part_are_rejected_or_usable(self) -> None:
        for fields in replacements({"model": "base", "adapter": "a1", "version": 2}):
            with contextlib.suppress(codec.DecodeError):
                key, version = codec.decode_adapter_version(fields)
                assert key.model
                assert key.adapter
                assert version >= 0
                assert msgpack.packb([*key, version])
                assert orjson.dumps([*key, version])


class TestOrderOfContents:
    """Guards against an odd row that counts as later than each valid one after a restore."""

    @pytest.mark.parametrize("odd", [1e300, 2**64 - 1, -1, "9" * 300, None, [7], True])
    def test_odd_numbers_have_no_order(self, odd: Any) -> None:
        announced = orjson.dumps({**CONFIGURATION, "version": odd})
        entries = [orjson.dumps({**ENTRY, name: odd}) for name in ("born", "sequence")]
        rows = [StoredRow("r1", 1, value) for value in entries]
        assert codec.operator_row_order(StoredRow("config", 1, announced)) is None
        # An absent start time is that of a first incarnation.
        assert [codec.registry_row_order(row) for row in rows] in ([None, None], [(0, 4, 0), None])
        assert codec.registry_row_order(StoredRow("r1", 1, orjson.dumps(ENTRY))) == (17, 4, 0)


REPORT = {
    "state": "ready",
    "models": ENTRY["models"],
    "busy": False,
    "sequence": 2,
    "waiting": 1,
    "running": 12,
    "coming": ["base/a9@3"],
    "born": 17,
}


class TestEngines:
    """Guards against an agent whose loop ends, and that is silent, while its engine is odd."""

    def test_reports_with_an_odd_part_are_rejected_or_usable(self) -> None:
        usable = 0
        for fields in replacements(REPORT):
            with contextlib.suppress(codec.DecodeError):
                report = codec.decode_report(fields)
                encode(update_without_commands(report, None))
                sorted(report.loading)
                usable += 1
        assert usable > 50

    @given(st.sampled_from(sorted(REPORT)), odd_values)
    def test_reports_with_any_value_are_rejected_or_usable(self, name: str, value: Any) -> None:
        with contextlib.suppress(codec.DecodeError):
            encode(update_without_commands(codec.decode_report({**REPORT, name: value}), None))

    @pytest.mark.parametrize("value", [b"", b"i 1", b"\xe9", b"i" * 300, b"i\t1"])
    def test_ids_that_no_header_can_carry_are_ignored(self, value: bytes) -> None:
        assert codec.instance_id(Head(200, [], {codec.INSTANCE: value})) is None


HEADERS = (
    *(b"attempt-id", b"deadline-remaining", b"model", b"token-count", b"prompt-prefix"),
    *(b"last-event-id", b"length-hint", b"host", b"unknown"),
)
odd_bytes = st.binary(max_size=20) | st.sampled_from(
    [
        *(b"", b"9" * 5000, b"9" * 5000 + b"," + b"9" * 5000, b"-1,-1", b"1e400", b"-1e308"),
        *(b"1e308", b"nan", b"inf", b"\xb2,\xb2", b"\xff" * 9, b"/", b"//", b"m/", b"," * 9000),
        *(b":" * 9000, b"1_000", b" 7 ", b"0x10", b"9" * 16, b"9" * 9),
    ]
)


class TestClientHeaders:
    """Guards against a header that ends its request, or that harms the ones after it."""

    @given(st.dictionaries(st.sampled_from(HEADERS), odd_bytes))
    @example({b"model": b"base/a1"})
    @example({b"model": b"\x00/\x00"})
    def test_any_headers_are_decoded(self, fields: dict[bytes, bytes]) -> None:
        found = codec.decode_request(fields)
        assert 0 <= found.prompt_tokens <= codec.MAX_TOKENS
        assert 0 <= found.output_tokens <= codec.MAX_TOKENS
        assert found.time_left_s is None or abs(found.time_left_s) <= codec.MAX_TIME_LEFT_S
        assert found.request_id.encode("latin-1") == fields.get(b"attempt-id", b"")
        # The encoder takes no named tuple, but all values of the target must be encodable, too.
        target = tuple(found.target) if found.target is not None else None
        orjson.dumps([target, dataclasses.replace(found, prompt_parts=(), target=None)])

    def test_sound_headers_are_kept(self) -> None:
        fields = {b"token-count": b" 1460 , 80", b"deadline-remaining": b" 6000.5 "}
        found = codec.decode_request(fields)
        assert (found.prompt_tokens, found.output_tokens, found.time_left_s) == (1460, 80, 6.0005)


def _catalogue() -> tuple[Catalogue, list[str]]:
    events: list[str] = []
    return Catalogue(count=events.append), events
