"""Commands that run daemons."""

import importlib
import pathlib
import sys

import click

from dragonflyhold.cli.settings import load_or_exit
from dragonflyhold.observability import setup_logging
from dragonflyhold.settings import EntrySettings, SidecarSettings


@click.group(name="run")
def run_group() -> None:
    """Run a daemon until SIGTERM or SIGINT, which stop it gracefully.

    Exit status: 0 after a graceful stop, 2 for invalid settings, 3 if the daemon cannot start.
    """


@run_group.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def entry(file: pathlib.Path) -> None:
    """Run an entry daemon with the settings in FILE."""
    _run(file, EntrySettings, "dragonflyhold.entry.main")


@run_group.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def sidecar(file: pathlib.Path) -> None:
    """Run a sidecar daemon with the settings in FILE."""
    _run(file, SidecarSettings, "dragonflyhold.sidecar.main")


def _run(file: pathlib.Path, model: type[EntrySettings] | type[SidecarSettings], name: str) -> None:
    settings = load_or_exit(file, model)
    setup_logging(settings.log.level)
    # Each daemon imports only its own modules, because memory on the VMs is scarce.
    sys.exit(importlib.import_module(name).run(settings))
