"""Tests of odd values in rows and responses: wrong types, sizes, numbers and nesting."""

import ipaddress
from collections.abc import Iterator
from typing import Any

import msgpack
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dragonflyhold.gateway.model import SendOptions, Upstream
from dragonflyhold.platform import codec


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

    @pytest.mark.parametrize("name", ["born", "models", "sequence", "cold_remaining_ms", "version"])
    def test_sound_entries_stay_usable(self, name: str) -> None:
        fields = {key: value for key, value in ENTRY.items() if key != name}
        odd = {"unknown": nested(1000), "more": 2**64 - 1, "\0": "x" * 60_000}
        assert codec.decode_upstream("r1", {**fields, **odd}).address == ENTRY["address"]
        assert codec.decode_upstream("r1", {**ENTRY, "address": "::1:80"}).ip == "::1"
