"""Runs a daemon in the main thread until a signal asks for a graceful stop."""

import signal
import threading
import types
from collections.abc import Callable
from typing import Protocol

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.observability import ComponentLogger

EXIT_CANNOT_START = 3
# Signal handlers run in the main thread only between waits.
SIGNAL_POLL_S = 0.5


class Daemon(Protocol):
    """An entry or a sidecar."""

    def start(self) -> None:
        """Start to serve."""

    def request_stop(self) -> None:
        """Begin a graceful stop."""

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the stop is complete; return whether it is."""


def run_daemon(make_daemon: Callable[[], Daemon], component: str) -> int:
    """Run until SIGTERM or SIGINT and the graceful stop; return the exit status."""
    stop_requested = threading.Event()

    def request_stop(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        stop_requested.set()

    # Before the start: a signal that comes once the port is open must not end requests.
    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    try:
        daemon = make_daemon()
        daemon.start()
    except (DragonflyholdError, OSError) as error:
        ComponentLogger(component).error("The daemon cannot start.", error=error)
        return EXIT_CANNOT_START
    while not stop_requested.wait(SIGNAL_POLL_S):
        continue
    daemon.request_stop()
    while not daemon.wait(SIGNAL_POLL_S):
        continue
    return 0
