"""Runs an entry daemon until SIGTERM or SIGINT."""

from dragonflyhold.entry.daemon import EntryDaemon
from dragonflyhold.process import run_daemon
from dragonflyhold.settings import EntrySettings


def run(settings: EntrySettings) -> int:
    """Run until a graceful stop is complete; return the exit status."""
    return run_daemon(lambda: EntryDaemon(settings), "entry")
