"""Structured logs: one JSON object a line on standard output, bounded and never blocking.

Lines go through ``absl.logging``; the part of the program is a field of its own. Each part has a
budget of lines a second; lines about requests that failed use a reserve of their own. What is left
out is counted, and a line tells the counts.
"""

import logging as std_logging
import os
import sys
from collections.abc import Callable
from typing import final

import orjson
from absl import logging

from dragonflyhold.gateway.clock import monotonic_now

# Lines a second for each part, and the further ones for failures only.
LINES_PER_S = 200
FAILURE_LINES_PER_S = 100


@final
class LogWriter:
    """Writes lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line whole, or drop and count it."""
        if self._rest and not self._flush():
            self.dropped += 1
            return
        self._rest = line
        self._flush()

    def _flush(self) -> bool:
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone for good; there is nowhere left to report that.
            self._rest = b""
            return True
        self._rest = self._rest[written:]
        return not self._rest


@final
class _LineHandler(std_logging.Handler):
    """Formats records as JSON lines."""

    def __init__(self, writer: LogWriter, node: str) -> None:
        super().__init__()
        self._writer = writer
        self._node = node

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write one record."""
        entry = {"t": round(record.created, 4), "node": self._node, "level": record.levelname}
        if isinstance(record.msg, dict):
            entry.update(record.msg)
        else:
            entry["event"] = record.getMessage()
        self._writer.write(orjson.dumps(entry, default=str, option=orjson.OPT_APPEND_NEWLINE))


def setup_json_logging(node: str) -> LogWriter:
    """Send all logs as JSON lines to standard output."""
    writer = LogWriter(sys.stdout.fileno())
    handler = _LineHandler(writer, node)
    logger = logging.get_absl_logger()
    logger.handlers[:] = [handler]
    logger.propagate = False
    std_logging.getLogger().handlers[:] = [handler]
    logging.set_verbosity(logging.INFO)
    return writer


@final
class JsonLogger:
    """Logs of one part of the program."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float] = monotonic_now,
        lines_per_s: int = LINES_PER_S,
        failure_lines_per_s: int = FAILURE_LINES_PER_S,
    ) -> None:
        self._name = name
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._failure_lines_per_s = failure_lines_per_s
        self._second = 0
        self._lines = 0
        self._failure_lines = 0
        self._left_out = 0

    def info(self, event: str, **fields: object) -> None:
        """Log a normal decision or event."""
        if self._take(failure=False):
            self._log(logging.INFO, event, fields)

    def failure(self, event: str, **fields: object) -> None:
        """Log a decision on a request that failed; kept before normal lines."""
        if self._take(failure=True):
            self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator may have to look at."""
        if self._take(failure=True):
            self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a fault of the program or of its environment."""
        if self._take(failure=True):
            self._log(logging.ERROR, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, object]) -> None:
        message = {"part": self._name, "event": event, **fields}
        logging.get_absl_logger().log(_STD_LEVELS[level], message)

    def _take(self, failure: bool) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._roll(second)
        if self._lines < self._lines_per_s:
            self._lines += 1
            return True
        if failure and self._failure_lines < self._failure_lines_per_s:
            self._failure_lines += 1
            return True
        self._left_out += 1
        return False

    def _roll(self, second: int) -> None:
        left_out, self._left_out = self._left_out, 0
        self._second, self._lines, self._failure_lines = second, 0, 0
        if left_out:
            self._log(logging.WARNING, "Lines were left out.", {"count": left_out})


_STD_LEVELS = {
    logging.INFO: std_logging.INFO,
    logging.WARNING: std_logging.WARNING,
    logging.ERROR: std_logging.ERROR,
}
