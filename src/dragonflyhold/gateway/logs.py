"""Structured logging to standard output: one JSON object per line, rate-limited, non-blocking.

Lines go through ``absl.logging`` and carry the component in the field ``part``. Each component has
a limit of lines per second, a separate reserve for warnings, errors and failed requests, and
another one for responses that a client did not get whole. Suppressed lines are counted, and the
count is logged before the first line of a later second.
"""

import enum
import logging as std_logging
import os
import reprlib
import sys
from collections.abc import Callable
from typing import final

import orjson
from absl import logging

from dragonflyhold.gateway.clock import monotonic_now

# Lines per second and component, and the reserves for failures and for lost responses.
LINES_PER_S = 200
FAILURE_LINES_PER_S = 100
LOSS_LINES_PER_S = 100
# Longer texts are cut off: they may come from any writer, and a line must fit into a pipe.
MAX_ERROR_CHARACTERS = 300
MAX_FIELD_CHARACTERS = 2000


def describe(error: Exception) -> str:
    """Return the start of an error's representation, which may hold data of any size or depth."""
    try:
        return repr(error)[:MAX_ERROR_CHARACTERS]
    except Exception:
        return type(error).__name__


@final
class LogWriter:
    """Writes lines to a file descriptor without blocking on a slow reader."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = b""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line; drop and count it while an earlier line is still pending."""
        if self._pending and not self._flush():
            self.dropped += 1
            return
        self._pending = line
        self._flush()

    def _flush(self) -> bool:
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe, so the failure can't be logged either.
            self._pending = b""
            return True
        self._pending = self._pending[written:]
        return not self._pending


@final
class LineHandler(std_logging.Handler):
    """Formats records as JSON lines."""

    def __init__(self, writer: LogWriter, node: str) -> None:
        super().__init__()
        self._writer = writer
        self._node = node

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write a record; a dictionary as message supplies fields of the line."""
        entry: dict[str, object] = {
            "t": round(record.created, 4),
            "node": self._node,
            "level": record.levelname,
        }
        if isinstance(record.msg, dict):
            entry.update({name: _shorten(value) for name, value in record.msg.items()})
        else:
            entry["event"] = record.getMessage()
        self._writer.write(_encode_line(entry))


def _encode_line(entry: dict[str, object]) -> bytes:
    """Return the line for an entry; it must not raise, whatever the fields hold."""
    try:
        return orjson.dumps(entry, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except Exception:
        # Integers over 64 bits, deep nesting and texts that are not valid Unicode.
        plain = {name: _describe_value(value) for name, value in entry.items()}
        return orjson.dumps(plain, option=orjson.OPT_APPEND_NEWLINE)


def _shorten(value: object) -> object:
    if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
        return value[:MAX_FIELD_CHARACTERS] + "..."
    return value


def _describe_value(value: object) -> str:
    try:
        text = value if isinstance(value, str) else reprlib.repr(value)
    except Exception:
        text = type(value).__name__
    return text.encode("utf-8", "backslashreplace").decode()


def setup_json_logging(node: str) -> LogWriter:
    """Route all log records to standard output as JSON lines."""
    writer = LogWriter(sys.stdout.fileno())
    handler = LineHandler(writer, node)
    logger = logging.get_absl_logger()
    logger.handlers[:] = [handler]
    logger.propagate = False
    std_logging.getLogger().handlers[:] = [handler]
    logging.set_verbosity(logging.INFO)
    return writer


class Importance(enum.IntEnum):
    """Which lines are suppressed first; each may also use the limits of those below."""

    REGULAR = 0
    FAILURE = 1
    LOSS = 2


@final
class JsonLogger:
    """Rate-limited logger of one component."""

    def __init__(
        self,
        name: str,
        clock: Callable[[], float] = monotonic_now,
        lines_per_s: int = LINES_PER_S,
        failure_lines_per_s: int = FAILURE_LINES_PER_S,
        loss_lines_per_s: int = LOSS_LINES_PER_S,
    ) -> None:
        self._name = name
        self._clock = clock
        self._limits = (lines_per_s, failure_lines_per_s, loss_lines_per_s)
        self._second = 0
        # Lines of this second that used each limit.
        self._lines = [0] * len(self._limits)
        self._suppressed = 0

    def info(self, event: str, **fields: object) -> None:
        """Log a regular decision or event."""
        if self._try_acquire(Importance.REGULAR):
            self._log(logging.INFO, event, fields)

    def failure(self, event: str, **fields: object) -> None:
        """Log a decision on a failed request; may use the reserve for failures."""
        if self._try_acquire(Importance.FAILURE):
            self._log(logging.INFO, event, fields)

    def loss(self, event: str, **fields: object) -> None:
        """Log a response that its client did not get whole; may use all reserves."""
        if self._try_acquire(Importance.LOSS):
            self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that may need an operator's attention."""
        if self._try_acquire(Importance.FAILURE):
            self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log an error of the program or of its environment."""
        if self._try_acquire(Importance.FAILURE):
            self._log(logging.ERROR, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, object]) -> None:
        message = {"part": self._name, "event": event, **fields}
        logging.get_absl_logger().log(_STD_LEVELS[level], message)

    def _try_acquire(self, importance: Importance) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._start_second(second)
        for level in range(importance + 1):
            if self._lines[level] < self._limits[level]:
                self._lines[level] += 1
                return True
        self._suppressed += 1
        return False

    def _start_second(self, second: int) -> None:
        suppressed, self._suppressed = self._suppressed, 0
        self._second, self._lines = second, [0] * len(self._limits)
        if suppressed:
            self._log(logging.WARNING, "Lines were left out.", {"count": suppressed})


_STD_LEVELS = {
    logging.INFO: std_logging.INFO,
    logging.WARNING: std_logging.WARNING,
    logging.ERROR: std_logging.ERROR,
}
