"""Steps that validate settings files."""

import pathlib
import subprocess
import sys
import tempfile

from behave import given, then, when
from behave.runner import Context

INVALID_SETTINGS = """{
  region: "almaty", data_centre: "almaty-a",
  http: {address: "127.0.0.1:99999"}, grpc_address: "127.0.0.1:8081",
  platform: {
    table_url: "http://127.0.0.1:9001",
    object_store_url: "http://127.0.0.1:9002",
    vm_list_url: "http://127.0.0.1:9003",
  },
}"""


@given("an entry settings file without a name and with port 99999")
def write_invalid_settings(context: Context) -> None:
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.settings_path = pathlib.Path(directory.name) / "entry.json"
    context.settings_path.write_text(INVALID_SETTINGS, encoding="utf-8")


@when("the operator checks the settings file")
def check_settings(context: Context) -> None:
    command = [sys.executable, "-m", "dragonflyhold", "settings", "check", "entry"]
    context.result = subprocess.run(
        [*command, str(context.settings_path)], capture_output=True, text=True, check=False
    )


@then("the exit status is {status:d}")
def assert_exit_status(context: Context, status: int) -> None:
    assert context.result.returncode == status, context.result


@then('the output reports problems with "{first}" and "{second}"')
def assert_reported_settings(context: Context, first: str, second: str) -> None:
    for name in (first, second):
        assert f"  {name}: " in context.result.stderr, context.result.stderr
