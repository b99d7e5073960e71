"""Commands that run the daemons on the platform and look at them."""

import pathlib
import sys

import click

from dragonflyhold.cli.exits import Exit
from dragonflyhold.errors import UsageError


@click.group(name="platform")
def platform_group() -> None:
    """Run on the users' platform."""


@platform_group.command()
def run() -> None:
    """Run the role that the platform's settings call for, until SIGTERM.

    A VM with a listener for clients runs a gateway, a VM with an engine runs an agent.
    """
    # The daemons' modules are imported only by the process that runs them.
    from dragonflyhold.gateway.daemon import run_role

    sys.exit(run_role())


@platform_group.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path) -> None:
    """Check a settings FILE as the platform writes it; unknown fields are ignored."""
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
    """Print the state of the running daemon whose metrics page is at ADDRESS (IP:PORT)."""
    import urllib3

    try:
        answer = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0, retries=False)
    except urllib3.exceptions.HTTPError as error:
        click.echo(f"{address}: no answer: {error}", err=True)
        sys.exit(Exit.USAGE)
    for line in answer.data.decode().splitlines():
        if line and not line.startswith("#"):
            click.echo(line)
