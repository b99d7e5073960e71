"""Runs a sidecar daemon until SIGTERM or SIGINT."""

from dragonflyhold.process import run_daemon
from dragonflyhold.settings import SidecarSettings
from dragonflyhold.sidecar.wiring import make_daemon


def run(settings: SidecarSettings) -> int:
    """Run the daemon until its graceful stop is complete; return the exit status."""
    return run_daemon(lambda: make_daemon(settings), "sidecar")
