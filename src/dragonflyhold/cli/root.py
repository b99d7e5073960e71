"""Root of the command line; each group of commands is a module of its own."""

import click

from dragonflyhold.cli.changes import (
    apply_command,
    change_group,
    drain_command,
    undrain_command,
    wait_command,
)
from dragonflyhold.cli.inspect import explain_command, status_command
from dragonflyhold.cli.objects import object_groups
from dragonflyhold.cli.settings import settings_group
from dragonflyhold.cli.standin import standin_group


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="dragonflyhold")
def main() -> None:
    """Serve very many LoRA adapters: run daemons and operate them."""


main.add_command(settings_group)
for _group in object_groups():
    main.add_command(_group)
main.add_command(apply_command)
main.add_command(change_group)
main.add_command(wait_command)
main.add_command(drain_command)
main.add_command(undrain_command)
main.add_command(status_command)
main.add_command(explain_command)
main.add_command(standin_group)
