"""Root of the command line; each group of commands is a module of its own."""

import click

from dragonflyhold.cli.run import run_group
from dragonflyhold.cli.settings import settings_group
from dragonflyhold.cli.standin import standin_group


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="dragonflyhold")
def main() -> None:
    """Serve very many LoRA adapters: run daemons and operate them."""


main.add_command(run_group)
main.add_command(settings_group)
main.add_command(standin_group)
