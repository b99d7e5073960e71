"""Runs a sidecar daemon until SIGTERM or SIGINT."""

import signal
import threading
import types

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.observability import PartLogger
from dragonflyhold.settings import SidecarSettings
from dragonflyhold.sidecar.wiring import make_daemon

EXIT_CANNOT_START = 3
# Signal handlers run in the main thread only between waits.
SIGNAL_POLL_S = 0.5

_logger = PartLogger("sidecar")


def run(settings: SidecarSettings) -> int:
    """Run until a graceful stop is complete; return the exit status."""
    stop_requested = threading.Event()

    def request_stop(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        stop_requested.set()

    # Before the start: a signal that comes once the port is open must not end requests.
    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    try:
        daemon = make_daemon(settings)
        daemon.start()
    except (DragonflyholdError, OSError) as error:
        _logger.error("Cannot start.", error=error)
        return EXIT_CANNOT_START
    while not stop_requested.wait(SIGNAL_POLL_S):
        continue
    daemon.request_stop()
    while not daemon.wait(SIGNAL_POLL_S):
        continue
    return 0
