"""Runs the daemon selected by the platform's settings, without importing the command line."""

import signal
import sys


def _main() -> int:
    # The signal's default action would end a process that is still importing. The settings are
    # read afterwards, and again when their file has changed since.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dragonflyhold.gateway.daemon import run_role

    return run_role()


sys.exit(_main())
