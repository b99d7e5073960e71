"""Commands that run and inspect the daemons on the platform."""

import pathlib
import sys

import click

from dragonflyhold.cli.exits import Exit
from dragonflyhold.errors import UsageError


@click.group(name="platform")
def platform_group() -> None:
    """Run and inspect daemons on the platform."""


@platform_group.command()
def run() -> None:
    """Run the role given by the platform's settings until SIGTERM.

    A VM with a client listener runs a gateway; a VM with an engine runs an agent.
    """
    # Imported here so that other commands do not load the daemon's modules.
    from dragonflyhold.gateway.daemon import run_role

    sys.exit(run_role())


@platform_group.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path) -> None:
    """Validate a settings FILE written by the platform; unknown fields are ignored."""
    from dragonflyhold.platform.settings import read_settings

    try:
        settings = read_settings(file)
    except UsageError as error:
        click.echo(str(error), err=True)
        sys.exit(Exit.USAGE)
    role = "gateway" if settings.client_listener else "agent"
    click.echo(f"{file}: settings of a {role} on {settings.vm}, store at {settings.store}")


@platform_group.command()
@click.argument("address")
def show(address: str) -> None:
    """Print the metrics of the running daemon at ADDRESS (IP:PORT)."""
    import urllib3

    try:
        response = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0, retries=False)
    except urllib3.exceptions.HTTPError as error:
        click.echo(f"{address}: no response: {error}", err=True)
        sys.exit(Exit.USAGE)
    for line in response.data.decode().splitlines():
        if line and not line.startswith("#"):
            click.echo(line)
