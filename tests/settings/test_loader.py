"""Tests of the settings loader."""

import pytest

from dragonflyhold.settings import EntrySettings, SettingsError, parse_settings

VALID_SETTINGS = """{
  // An entry daemon.
  name: "entry-1", region: "almaty", data_centre: "almaty-a",
  http: {address: "127.0.0.1:8080"},
  grpc_address: "127.0.0.1:8081",
  platform: {
    table_url: "http://127.0.0.1:9001",
    object_store_url: "http://127.0.0.1:9002",
    vm_list_url: "http://127.0.0.1:9003",
  },
}"""


class TestParseSettings:
    """Guards against misread settings and against errors that do not identify the problem."""

    def test_comments_are_ignored_and_defaults_applied(self) -> None:
        settings = parse_settings(VALID_SETTINGS, EntrySettings)
        assert settings.http.address == "127.0.0.1:8080"
        assert settings.transport.max_channels == 64

    def test_reports_all_problems_at_once(self) -> None:
        text = VALID_SETTINGS.replace('"127.0.0.1:8080"', '"somewhere"').replace(
            "region:", "regoin:"
        )
        with pytest.raises(SettingsError) as caught:
            parse_settings(text, EntrySettings)
        paths = [problem.path for problem in caught.value.exceptions]
        assert paths == ["regoin", "region", "http.address"]
        assert "'region'" in caught.value.exceptions[0].allowed

    @pytest.mark.parametrize("value", ["0", "1.5", '"64"', "true", "NaN", "99999"])
    def test_rejects_numbers_out_of_range_or_of_wrong_type(self, value: str) -> None:
        text = VALID_SETTINGS.replace("http: {", f"transport: {{max_channels: {value}}}, http: {{")
        with pytest.raises(SettingsError) as caught:
            parse_settings(text, EntrySettings)
        assert caught.value.exceptions[0].path == "transport.max_channels"

    @pytest.mark.parametrize("text", ["", "{", "[]", "{a: 1, a: 2}", "[" * 100_000])
    def test_rejects_text_that_is_not_an_object(self, text: str) -> None:
        with pytest.raises(SettingsError):
            parse_settings(text, EntrySettings)
