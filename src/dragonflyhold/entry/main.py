"""Process entry point of the entry daemon."""

from dragonflyhold.entry.daemon import EntryDaemon
from dragonflyhold.process import run_daemon
from dragonflyhold.settings import EntrySettings


def run(settings: EntrySettings) -> int:
    """Run until SIGTERM or SIGINT has stopped the daemon gracefully; return the exit status."""
    return run_daemon(lambda: EntryDaemon(settings), "entry")
