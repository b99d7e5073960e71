"""Tests of structured logging: rate limits, the reserve for failures, blocked pipes."""

import logging as std_logging
import os
from collections.abc import Iterator

import orjson
import pytest
from absl import logging

from dragonflyhold.gateway import logs
from dragonflyhold.gateway.logs import JsonLogger, LogWriter


class _Clock:
    now = 10.0

    def __call__(self) -> float:
        return self.now


class _Recorder(std_logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.messages: list[dict[str, object]] = []

    def emit(self, record: std_logging.LogRecord) -> None:
        assert isinstance(record.msg, dict)
        self.messages.append(record.msg)


@pytest.fixture(name="recorder")
def _recorder() -> Iterator[_Recorder]:
    logger = logging.get_absl_logger()
    recorder = _Recorder()
    level = logging.get_verbosity()
    logging.set_verbosity(logging.INFO)
    logger.addHandler(recorder)
    yield recorder
    logger.removeHandler(recorder)
    logging.set_verbosity(level)


class TestRateLimit:
    """Lines beyond the limit are suppressed and counted."""

    def test_suppressed_lines_are_counted(self, recorder: _Recorder) -> None:
        clock = _Clock()
        logger = JsonLogger("request", clock, lines_per_s=10, failure_lines_per_s=5)
        for number in range(100):
            logger.info("Something.", number=number)
        assert len(recorder.messages) == 10
        clock.now += 1.0
        logger.info("Something.")
        assert recorder.messages[10] == {
            "part": "request",
            "event": "Lines were left out.",
            "count": 90,
        }
        assert len(recorder.messages) == 12

    def test_failures_have_a_reserve(self, recorder: _Recorder) -> None:
        """A burst of successful requests must not suppress the lines of failed ones."""
        logger = JsonLogger("request", _Clock(), lines_per_s=10, failure_lines_per_s=5)
        for _ in range(100):
            logger.info("Answered.")
        for number in range(9):
            logger.failure("Refused.", id=number)
        refused = [item for item in recorder.messages if item["event"] == "Refused."]
        assert [item["id"] for item in refused] == [0, 1, 2, 3, 4]


class TestLostResponses:
    """Guards against a response that a client did not get whole and of which no line is left."""

    def test_they_are_dropped_last(self, recorder: _Recorder) -> None:
        logger = JsonLogger("request", _Clock(), 10, failure_lines_per_s=5, loss_lines_per_s=3)
        for _ in range(100):
            logger.info("Answered.")
            logger.failure("Refused.")
        for number in range(9):
            logger.loss("Broken off.", id=number)
        lost = [item for item in recorder.messages if item["event"] == "Broken off."]
        assert [item["id"] for item in lost] == [0, 1, 2]
        assert len(recorder.messages) == 18

    def test_they_use_the_other_reserves_first(self, recorder: _Recorder) -> None:
        logger = JsonLogger("request", _Clock(), 10, failure_lines_per_s=5, loss_lines_per_s=3)
        for number in range(30):
            logger.loss("Broken off.", id=number)
        assert len(recorder.messages) == 18


class TestBlockedPipe:
    """Logging neither blocks nor fails because of the reader of standard output."""

    def test_full_pipe_drops_and_counts_lines(self) -> None:
        """A reader that stops reading must not block the daemon."""
        reader, writer = os.pipe()
        try:
            log = LogWriter(writer)
            for _ in range(3000):
                log.write(b"x" * 99 + b"\n")
            assert log.dropped > 1000
            kept = os.read(reader, 1 << 20)
            log.write(b"after\n")
            rest = os.read(reader, 1 << 20)
            assert set((kept + rest).split(b"\n")) <= {b"x" * 99, b"after", b""}
        finally:
            os.close(reader)
            os.close(writer)

    def test_closed_pipe_raises_no_error(self) -> None:
        reader, writer = os.pipe()
        log = LogWriter(writer)
        os.close(reader)
        log.write(b"line\n")
        os.close(writer)


class TestOddFields:
    """Guards against requests and loops that end because a line can't be written."""

    @pytest.mark.parametrize(
        "value", [2**64, 10**4000, "\ud800", "x" * 200_000, b"\xff", float("nan"), RecursionError]
    )
    def test_a_line_is_written_whatever_its_fields_hold(self, value: object) -> None:
        nested: list[object] = []
        for _ in range(3000):
            nested = [nested]
        for field in (value, nested):
            read_end, write_end = os.pipe()
            handler = logs.LineHandler(LogWriter(write_end), "vm")
            message = {"part": "p", "event": "Something.", "field": field}
            handler.handle(std_logging.makeLogRecord({"msg": message}))
            line = os.read(read_end, 10_000)
            os.close(read_end)
            os.close(write_end)
            assert orjson.loads(line)["event"] == "Something."
            assert len(line) < 4000
