"""Tests of the analysis of logs of many processes."""

import pathlib

import orjson
import pytest
from click.testing import CliRunner

from dragonflyhold.cli import main
from dragonflyhold.errors import UsageError
from dragonflyhold.observability.log_analysis import (
    CONFIG_EVENTS,
    KEY_REJECTED_EVENT,
    LEAVING_EVENT,
    TURNED_AWAY_EVENT,
    group_failures,
    read_logs,
    trace_request,
)

CONFIG_EVENT, PROBLEM_EVENT = CONFIG_EVENTS
# Clock offsets of the three processes from the true time, in seconds.
CLOCK_OFFSETS_S = {"front-1": 0.0, "front-2": 3.0, "side-1": -2.0}


def _line(node: str, at: float, event: str, part: str = "request", **fields: object) -> bytes:
    entry = {
        "t": at + CLOCK_OFFSETS_S[node],
        "node": node,
        "level": "INFO",
        "part": part,
        "event": event,
    }
    return orjson.dumps({**entry, **fields})


def _make_logs() -> dict[str, list[bytes]]:
    """Return log lines per node; one request times out while its engine loads the adapter."""
    config = {"part": "config", "version": 3, "row_version": 9}
    event = "A configuration is in force."
    upstream = {"part": "registry", "runner": "r1", "address": "10.0.0.9:80", "row_version": 4}
    return {
        "front-1": [
            _line("front-1", 0.0, event, **config),
            _line("front-1", 0.1, "A runner joined.", **upstream),
            _line("front-1", 10.0, "A request was admitted.", id="x1", adapter="a7"),
            _line("front-1", 10.01, "A request waits for its adapter.", id="x1", runner="r1"),
            _line(
                "front-1",
                10.5,
                "A request ended.",
                id="x1",
                outcome="adapter_wait",
                runner="r1",
                adapter="a7",
            ),
        ],
        "front-2": [
            _line("front-2", 0.0, event, **config),
            _line("front-2", 10.2, "A request ended.", id="x2", outcome="answered"),
        ],
        "side-1": [
            _line("side-1", 0.0, event, **config),
            _line("side-1", 0.05, "Started.", "daemon", engine="10.0.0.9:80"),
            _line(
                "side-1",
                10.2,
                "An order was given.",
                "agent",
                order="load",
                adapter="a7",
                result="unknown",
            ),
            _line("side-1", 10.3, "An order was given.", "agent", order="load", adapter="a8"),
        ],
    }


def _write(folder: pathlib.Path, logs: dict[str, list[bytes]]) -> list[pathlib.Path]:
    paths = []
    for node, lines in logs.items():
        path = folder / f"{node}.log"
        path.write_bytes(b"\n".join(lines))
        paths.append(path)
    return paths


class TestTracesAndCauses:
    """Guards against incomplete or misordered traces and against miscounted failures."""

    def test_trace_includes_related_events_of_other_processes(self, tmp_path: pathlib.Path) -> None:
        trace = trace_request(read_logs(_write(tmp_path, _make_logs())), "x1")
        events = [line.split("  ")[-1].strip() for line in trace]
        assert [event.split(".")[0] for event in events] == [
            "A request was admitted",
            "A request waits for its adapter",
            "An order was given",
            "A request ended",
        ]
        assert "adapter=a7" in trace[2]

    def test_trace_says_why_nothing_was_sent_to_an_upstream(self, tmp_path: pathlib.Path) -> None:
        """Guards against traces without the upstreams that a request was not sent to."""

        def closed(node: str, at: float, runner: str, service: str, wait_ms: int | None) -> bytes:
            event = TURNED_AWAY_EVENT if wait_ms else LEAVING_EVENT
            fields = {"runner": runner, "service": service, "wait_ms": wait_ms}
            return _line(node, at, event, "notices", **fields)

        path = tmp_path / "front-1.log"
        lines = [
            closed("front-1", 1.0, "leaves", "s1", None),
            closed("front-1", 1.0, "has-left", "s1", None),
            closed("front-1", 1.0, "other-service", "s2", None),
            closed("front-2", 1.0, "other-gateway", "s1", None),
            _line("front-1", 4.0, "An upstream was dropped.", "registry", runner="has-left"),
            closed("front-1", 5.0, "turns-away", "s1", 6000),
            closed("front-1", 5.0, "is-back", "s1", 3000),
            _line("front-1", 10.0, "A request was admitted.", id="x1", service="s1"),
            closed("front-1", 10.1, "leaves-meanwhile", "s1", None),
            _line("front-1", 10.2, "A request ended.", id="x1", outcome="answered"),
            closed("front-1", 10.3, "leaves-later", "s1", None),
        ]
        path.write_bytes(b"\n".join(lines))
        trace = trace_request(read_logs([path]), "x1")
        named = [line.partition("runner=")[2].split()[0] for line in trace if "runner=" in line]
        assert named == ["leaves", "turns-away", "leaves-meanwhile"]

    def test_trace_says_by_which_configuration_a_key_was_rejected(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against rejections that an operator can't trace to what was published."""

        def config(node: str, at: float, version: int, problem: str | None = None) -> bytes:
            event = PROBLEM_EVENT if problem else CONFIG_EVENT
            fields = {"version": version, "problem": problem, "row_version": version}
            return _line(node, at, event, "config", **fields)

        path = tmp_path / "front-1.log"
        rejected = {"id": "x1", "reason": "unknown", "config": 7}
        lines = [
            config("front-1", 1.0, 6),
            config("front-1", 2.0, 7),
            config("front-1", 2.0, 7, "key_shared"),
            config("front-2", 2.0, 7),
            _line("front-1", 50.0, KEY_REJECTED_EVENT, **rejected),
            _line("front-1", 50.0, "A request ended.", id="x1", outcome="unknown_key"),
        ]
        path.write_bytes(b"\n".join(lines))
        logs = read_logs([path])
        named = [line.split("  ")[-1].strip() for line in trace_request(logs, "x1")]
        assert named == [
            f"{CONFIG_EVENT} version=7 row_version=7",
            f"{PROBLEM_EVENT} version=7 problem=key_shared row_version=7",
            f"{KEY_REJECTED_EVENT} reason=unknown config=7",
            "A request ended. outcome=unknown_key",
        ]
        causes = [cause for cause, _, _ in group_failures(logs)]
        assert causes == [f"unknown_key; before: {KEY_REJECTED_EVENT} unknown"]

    def test_clock_offsets_are_corrected(self, tmp_path: pathlib.Path) -> None:
        """Otherwise the agent's command would appear two seconds before the request."""
        trace = trace_request(read_logs(_write(tmp_path, _make_logs())), "x1")
        assert trace[2].split()[0] == "+200.0"

    def test_failures_are_grouped_by_cause(self, tmp_path: pathlib.Path) -> None:
        groups = group_failures(read_logs(_write(tmp_path, _make_logs())))
        assert groups == [("adapter_wait; before: A request waits for its adapter.", 1, ["x1"])]

    def test_prefix_added_by_the_bench_is_ignored(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "log"
        path.write_bytes(b"  10.5 front-1 " + _line("front-1", 1.0, "A request ended.", id="x9"))
        assert len(trace_request(read_logs([path]), "x9")) == 1


class TestBadInput:
    """Guards against crashes and silent results when logs are damaged, empty or missing."""

    def test_damaged_lines_are_counted_and_skipped(self, tmp_path: pathlib.Path) -> None:
        whole = _line("front-1", 1.0, "A request ended.", id="x1")
        damaged = [whole[:20], whole[:30] + whole, b"[1]", b'{"t":"x"}', b"\xff\xfe"]
        path = tmp_path / "log"
        path.write_bytes(b"\n".join([*damaged, whole]))
        logs = read_logs([path])
        assert (len(logs.lines), logs.skipped) == (1, len(damaged))

    def test_file_without_lines_is_an_error(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "log"
        path.write_bytes(b"")
        with pytest.raises(UsageError, match="no line"):
            read_logs([path])

    @pytest.mark.parametrize(
        "arguments", [["x1", "{empty}"], ["nobody", "{good}"], ["x1", "{none}"], ["--failed"], []]
    )
    def test_command_exits_with_status_2_and_a_message(
        self, tmp_path: pathlib.Path, arguments: list[str]
    ) -> None:
        (tmp_path / "empty").write_bytes(b"")
        (tmp_path / "good").write_bytes(_line("front-1", 1.0, "A request ended.", id="x1"))
        names = {"{empty}": "empty", "{good}": "good", "{none}": "none"}
        words = [str(tmp_path / names[word]) if word in names else word for word in arguments]
        result = CliRunner().invoke(main, ["explain", *words])
        assert result.exit_code == 2
        assert result.output
        assert result.exception is None or isinstance(result.exception, SystemExit)
