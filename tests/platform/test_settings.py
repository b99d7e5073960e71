"""Tests of the platform's settings file and of the command that checks it."""

import pathlib
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from dragonflyhold.cli import main
from dragonflyhold.errors import UsageError
from dragonflyhold.platform.settings import PATH_VARIABLE, decode_settings, load_settings

GATEWAY_FIELDS: dict[str, Any] = {
    "node_name": "front-1",
    "ip": "10.1.0.38",
    "zone": "dc-a",
    "listen_addresses": {"front": "10.1.0.38:8149", "ready": "10.1.0.38:8141"},
    "internal_port_range": [7380, 7395],
    "seeds": ["10.1.0.38:8144", "10.2.0.40:8144"],
    "bounds": {"drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2, "new_bound": "x"},
    "platform": {"address": "10.200.1.7:8142"},
    "unknown_field": {"any": "thing"},
}


class TestDecoding:
    """Settings of both roles are decoded; invalid ones are rejected with all problems."""

    def test_gateway_vm(self) -> None:
        settings = decode_settings(GATEWAY_FIELDS)
        assert settings.client_listener == "10.1.0.38:8149"
        assert settings.engine is None
        assert settings.agent_port == 7380
        assert (settings.bounds.drain_s, settings.bounds.grace_s) == (2.0, 8)
        assert settings.bounds.version_s == 5.0

    def test_engine_vm(self) -> None:
        fields = {
            **GATEWAY_FIELDS,
            "listen_addresses": {},
            "app": "10.1.0.39:8145",
            "service": "huvo",
        }
        settings = decode_settings(fields)
        assert settings.client_listener is None
        assert (settings.engine, settings.service) == ("10.1.0.39:8145", "huvo")

    @pytest.mark.parametrize("value", [None, False, 0, 1, "true", []])
    def test_only_a_stated_first_start_is_one(self, value: object) -> None:
        """Guards against a restarted gateway that takes streams for no older than itself."""
        assert not decode_settings({**GATEWAY_FIELDS, "bootstrap": value}).is_first_start
        assert decode_settings({**GATEWAY_FIELDS, "bootstrap": True}).is_first_start

    @pytest.mark.parametrize(
        ("fields", "max_key_age_s"),
        [
            ({}, None),
            ({"revoke_ms": 5000}, None),
            ({"revoke_when_partitioned": False, "revoke_ms": 4000}, None),
            ({"revoke_when_partitioned": True, "revoke_ms": 4000}, 4.0),
            ({"revoke_when_partitioned": True}, 5.0),
        ],
    )
    def test_keys_lapse_only_if_stated(
        self, fields: dict[str, object], max_key_age_s: float | None
    ) -> None:
        """Guards against proper keys that lapse where the settings name no such bound."""
        settings = decode_settings({**GATEWAY_FIELDS, "bounds": fields})
        assert settings.bounds.max_key_age_s == max_key_age_s

    @pytest.mark.parametrize("value", ["true", 1, [], "no"])
    def test_an_odd_choice_is_reported(self, value: object) -> None:
        """Guards against keys that never lapse for a misspelt setting."""
        with pytest.raises(UsageError, match="revoke_when_partitioned"):
            decode_settings({**GATEWAY_FIELDS, "bounds": {"revoke_when_partitioned": value}})

    def test_all_problems_are_reported_together(self) -> None:
        fields = {
            **GATEWAY_FIELDS,
            "ip": 7,
            "platform": {"address": "nowhere"},
            "internal_port_range": [1],
            "bounds": {"drain_ms": True},
            "seeds": "x",
        }
        with pytest.raises(UsageError) as caught:
            decode_settings(fields)
        for name in ("ip", "platform.address", "internal_port_range", "bounds.drain_ms", "seeds"):
            assert name in str(caught.value)


class TestFiles:
    """Settings are read from a file, and checked by ``platform check``."""

    def test_path_is_read_from_environment(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "local.json"
        path.write_bytes(orjson.dumps(GATEWAY_FIELDS))
        assert load_settings({PATH_VARIABLE: str(path)}).vm == "front-1"
        with pytest.raises(UsageError, match=PATH_VARIABLE):
            load_settings({})

    @pytest.mark.parametrize("data", [b"", b"[]", b"{", b"\xff"])
    def test_check_of_invalid_file_exits_with_2_and_message(
        self, tmp_path: pathlib.Path, data: bytes
    ) -> None:
        path = tmp_path / "local.json"
        path.write_bytes(data)
        result = CliRunner().invoke(main, ["platform", "check", str(path)])
        assert result.exit_code == 2
        assert str(path) in result.output

    def test_check_prints_role(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "local.json"
        path.write_bytes(orjson.dumps(GATEWAY_FIELDS))
        result = CliRunner().invoke(main, ["platform", "check", str(path)])
        assert result.exit_code == 0
        assert "gateway" in result.output
