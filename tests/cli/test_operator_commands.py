"""Tests for the operator commands against an operator service on loopback."""

import json
import pathlib
from collections.abc import Iterator

import pytest
from click.testing import CliRunner, Result

from dragonflyhold.cli import main
from tests.config.daemons import Daemon, running_cluster
from tests.fakes import FakeTable


class _Console:
    def __init__(self, daemon: Daemon, table: FakeTable) -> None:
        self.daemon = daemon
        self.table = table

    def run(self, *arguments: str, code: int = 0) -> Result:
        result = CliRunner().invoke(main, [*arguments, "--entry", self.daemon.address])
        assert result.exit_code == code, result.output
        return result


@pytest.fixture
def console() -> Iterator[_Console]:
    table = FakeTable()
    with running_cluster() as cluster:
        yield _Console(cluster.start("entry-1", "almaty-a", table), table)


def put_service(console: _Console, *more: str, code: int = 0) -> Result:
    arguments = ("--region", "almaty", "--type", "engine", "--base-model", "base", *more)
    return console.run("service", "put", "tapster-lm", *arguments, code=code)


class TestObjectCommands:
    """Guards against commands that write values other than those given, or hide a refusal."""

    def test_put_list_delete(self, console: _Console) -> None:
        put_service(console)
        console.run("adapter", "put", "tapster-lm", "ale")
        console.run("version", "put", "tapster-lm", "ale", "3", "--weights", "ale/3.safetensors")
        listed = json.loads(console.run("version", "list", "--json").output)
        fields = {
            "service": "tapster-lm",
            "adapter": "ale",
            "version": 3,
            "weights": "ale/3.safetensors",
        }
        assert listed == [{"version": fields, "revision": 3}]
        console.run("version", "delete", "tapster-lm", "ale", "3")
        assert json.loads(console.run("version", "list", "--json").output) == []

    def test_refusal_lists_every_problem(self, console: _Console) -> None:
        result = console.run(
            *("upstream", "put", "runner.1", "--service", "none", "--data-centre", "almaty-a"),
            *("--sidecar-address", "somewhere"),
            code=1,
        )
        assert "bad_name" in result.output
        assert "unknown_reference" in result.output
        assert "bad_value" in result.output

    def test_revision_conflict_exit_code(self, console: _Console) -> None:
        put_service(console)
        result = put_service(console, "--expect-revision", "0", code=3)
        assert "revision_conflict" in result.output

    def test_table_outage_and_lost_reply(self, console: _Console) -> None:
        console.table.is_unavailable = True
        result = put_service(console, code=4)
        assert "table_unavailable" in result.output
        console.table.is_unavailable = False
        console.table.lose_answers = 1
        put_service(console, "--change-id", "c1")
        assert "accepted" in console.run("change", "show", "c1").output

    def test_unreachable_daemon_exit_code(self) -> None:
        arguments = ["service", "list", "--entry", "127.0.0.1:1", "--timeout", "0.3"]
        assert CliRunner().invoke(main, arguments).exit_code == 5

    def test_drain_preserves_other_fields(self, console: _Console) -> None:
        put_service(console)
        console.run(
            *("upstream", "put", "runner-1", "--service", "tapster-lm", "--slots", "5"),
            *("--data-centre", "almaty-a", "--sidecar-address", "127.0.0.1:1"),
        )
        console.run("drain", "runner-1")
        listed = json.loads(console.run("upstream", "list", "--json").output)
        assert (listed[0]["upstream"]["mode"], listed[0]["upstream"]["slots"]) == ("draining", 5)
        console.run("undrain", "runner-1")
        console.run("drain", "runner-9", code=1)


class TestApplyCommand:
    """Guards against change files that are applied partially, twice, or despite invalid fields."""

    FILE = """{changes: [
      // The adapters refer to the service.
      {id: "first", operations: [
        {put: {service: {name: "tapster-lm", region: "almaty", type: "engine", base_model: "b"}}},
      ]},
      {operations: [
        {put: {adapter: {service: "tapster-lm", name: "ale"}}, expect_revision: 0},
        {put: {adapter: {service: "tapster-lm", name: "stout"}}},
        {put: {kind: {service: "tapster-lm", name: "redeem", worth: 3, deadline_ms: 900,
                      idempotent: false}}},
      ]},
    ]}"""

    def write(self, tmp_path: pathlib.Path, text: str) -> str:
        path = tmp_path / "changes.json5"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_repeated_apply_is_idempotent(self, console: _Console, tmp_path: pathlib.Path) -> None:
        path = self.write(tmp_path, self.FILE)
        arguments = ("apply", path, "--change-id", "night", "--batch", "2", "--json")
        first = json.loads(console.run(*arguments).output)
        assert [item["change_id"] for item in first] == ["first", "night.c2.1", "night.c2.2"]
        assert json.loads(console.run(*arguments).output) == first
        assert console.daemon.revision == 3

    def test_apply_stops_at_first_refused_change(
        self, console: _Console, tmp_path: pathlib.Path
    ) -> None:
        text = self.FILE.replace('service: "tapster-lm", name: "ale"', 'service: "x", name: "ale"')
        path = self.write(tmp_path, text)
        result = console.run("apply", path, "--batch", "1", code=1)
        assert "unknown_reference" in result.output
        assert console.daemon.revision == 1

    def test_apply_reports_every_invalid_field(
        self, console: _Console, tmp_path: pathlib.Path
    ) -> None:
        text = self.FILE.replace("region:", "regoin:").replace("worth: 3", 'worth: "3"')
        result = console.run("apply", self.write(tmp_path, text), code=2)
        assert "did you mean 'region'?" in result.output
        assert "worth" in result.output
        assert console.daemon.revision == 0


class TestInspectCommands:
    """Guards against missing information in the output of status, explain and wait."""

    def test_status_explain_and_wait(self, console: _Console) -> None:
        put_service(console)
        assert "runner-1" in console.run("status").output
        assert "routed r.1" in console.run("explain", "r.1").output
        assert "in force, 1 daemons" in console.run("wait", "1").output
        assert console.run("wait", "9", "--wait-timeout", "0", code=1).output.startswith(
            "revision 9: not in force"
        )
