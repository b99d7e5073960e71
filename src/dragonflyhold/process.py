"""Runs a daemon in the main thread until a signal requests a graceful shutdown."""

import signal
import threading
import types
from collections.abc import Callable
from typing import Protocol

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.observability import ComponentLogger

EXIT_CANNOT_START = 3
# Python runs signal handlers in the main thread, possibly only between two waits: a signal that
# another thread receives does not interrupt a wait of the main thread.
SIGNAL_POLL_S = 0.5


class Daemon(Protocol):
    """An entry daemon or a sidecar daemon."""

    def start(self) -> None:
        """Start serving requests."""

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the shutdown to complete; return whether it has."""


def run_daemon(make_daemon: Callable[[], Daemon], component: str) -> int:
    """Run a daemon until SIGTERM or SIGINT, shut it down gracefully and return the exit status."""
    stop_requested = threading.Event()

    def request_stop(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        stop_requested.set()

    # Installed before the start, so that a signal never aborts requests once the port is open.
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
