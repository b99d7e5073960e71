"""Commands that run daemons."""

import importlib
import pathlib
import signal
import sys
import types

import click

from dragonflyhold.cli.settings import load_or_exit
from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.observability import setup_logging
from dragonflyhold.settings import EntrySettings, SidecarSettings

EXIT_CANNOT_START = 3
# Signal handlers run in the main thread only between waits.
SIGNAL_POLL_S = 0.5


@click.group(name="run")
def run_group() -> None:
    """Run a daemon until SIGTERM or SIGINT, which stop it gracefully.

    Exit status: 0 after a graceful stop, 2 for wrong settings, 3 if the daemon cannot start.
    """


@run_group.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def entry(file: pathlib.Path) -> None:
    """Run an entry daemon with the settings in FILE."""
    settings = load_or_exit(file, EntrySettings)
    setup_logging(settings.log.level)
    # Each daemon imports only its own modules: VMs are small.
    from dragonflyhold.entry.daemon import EntryDaemon

    try:
        daemon = EntryDaemon(settings)
        daemon.start()
    except (DragonflyholdError, OSError) as error:
        click.echo(f"entry daemon cannot start: {error}", err=True)
        sys.exit(EXIT_CANNOT_START)

    def stop(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        daemon.request_stop()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    while not daemon.wait(SIGNAL_POLL_S):
        continue


@run_group.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def sidecar(file: pathlib.Path) -> None:
    """Run a sidecar daemon with the settings in FILE."""
    settings = load_or_exit(file, SidecarSettings)
    setup_logging(settings.log.level)
    main = importlib.import_module("dragonflyhold.sidecar.main")
    sys.exit(main.run(settings))
