"""Logging through ``absl.logging``, with a prefix per component and ``key=value`` fields."""

import logging as std_logging
import sys
from typing import final

from absl import logging

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
LEVEL_NAMES = tuple(_LEVELS)


def setup_logging(level: str) -> None:
    """Log to standard error at ``level``, one of ``LEVEL_NAMES``, and above."""
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.use_absl_log_file = lambda *args, **kwargs: None  # type: ignore[method-assign]
    handler.python_handler.stream = sys.stderr
    logging.set_verbosity(_LEVELS[level])
    # The platform clients report failed calls; urllib3 would log each retry and connection too.
    std_logging.getLogger("urllib3").setLevel(std_logging.ERROR)


@final
class ComponentLogger:
    """Logs events of one component, each followed by ``key=value`` fields sorted by key."""

    def __init__(self, component: str) -> None:
        self._prefix = f"{component}: "

    def debug(self, event: str, **fields: object) -> None:
        """Log a detail for debugging."""
        logging.debug("%s", self._format(event, fields))

    def info(self, event: str, **fields: object) -> None:
        """Log a normal event."""
        logging.info("%s", self._format(event, fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that may need an operator's attention."""
        logging.warning("%s", self._format(event, fields))

    def error(self, event: str, **fields: object) -> None:
        """Log an error of the program or of its environment."""
        logging.error("%s", self._format(event, fields))

    def exception(self, event: str, **fields: object) -> None:
        """Log an error with the traceback of the current exception."""
        logging.exception("%s", self._format(event, fields))

    def _format(self, event: str, fields: dict[str, object]) -> str:
        text = " ".join(f"{name}={_quote(value)}" for name, value in sorted(fields.items()))
        return f"{self._prefix}{event} {text}" if text else f"{self._prefix}{event}"


def _quote(value: object) -> str:
    text = str(value)
    if not text or any(char.isspace() or char in '"=' for char in text):
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return text
