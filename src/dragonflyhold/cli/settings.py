"""Commands that validate settings files."""

import pathlib
import sys
from typing import TypeVar

import click

from dragonflyhold.settings import EntrySettings, SettingsError, SidecarSettings, load_settings

EXIT_BAD_SETTINGS = 2

T = TypeVar("T")

_MODELS: dict[str, type] = {"entry": EntrySettings, "sidecar": SidecarSettings}


def load_or_exit(path: pathlib.Path, model: type[T]) -> T:
    """Return the settings in ``path``, or print every problem and exit with status 2."""
    try:
        return load_settings(path, model)
    except SettingsError as group:
        click.echo(f"{group.message}:", err=True)
        for problem in group.exceptions:
            click.echo(f"  {problem}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)


@click.group(name="settings")
def settings_group() -> None:
    """Validate settings files."""


@settings_group.command()
@click.argument("daemon", type=click.Choice(list(_MODELS)))
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def check(daemon: str, path: pathlib.Path) -> None:
    """Validate the settings file PATH of a DAEMON and report all problems."""
    load_or_exit(path, _MODELS[daemon])
    click.echo(f"{path}: valid settings of the {daemon} daemon")
