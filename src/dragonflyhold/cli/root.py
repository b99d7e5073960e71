"""Root command; subcommands live in separate modules.

Subcommands are imported on use, so that a daemon does not load the modules of other commands
into memory.
"""

import importlib

import click

# Module and attribute by command name.
_COMMANDS = {
    "apply": ("dragonflyhold.cli.changes", "apply_command"),
    "bench": ("dragonflyhold.cli.bench", "bench_group"),
    "change": ("dragonflyhold.cli.changes", "change_group"),
    "config": ("dragonflyhold.cli.config", "config_group"),
    "demo": ("dragonflyhold.cli.demo", "demo_command"),
    "drain": ("dragonflyhold.cli.changes", "drain_command"),
    "explain": ("dragonflyhold.cli.inspect", "explain_command"),
    "faults": ("dragonflyhold.cli.faults", "faults_command"),
    "platform": ("dragonflyhold.cli.platform", "platform_group"),
    "run": ("dragonflyhold.cli.run", "run_group"),
    "settings": ("dragonflyhold.cli.settings", "settings_group"),
    "standin": ("dragonflyhold.cli.standin", "standin_group"),
    "status": ("dragonflyhold.cli.inspect", "status_command"),
    "undrain": ("dragonflyhold.cli.changes", "undrain_command"),
    "wait": ("dragonflyhold.cli.changes", "wait_command"),
}

_OBJECT_GROUPS = ("adapter", "kind", "service", "upstream", "version")


class _LazyGroup(click.Group):
    """Command group that imports its subcommands on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*_COMMANDS, *_OBJECT_GROUPS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command; ``None`` if there is none of that name."""
        if cmd_name in _OBJECT_GROUPS:
            return _object_group(cmd_name)
        if cmd_name not in _COMMANDS:
            return None
        module, attribute = _COMMANDS[cmd_name]
        command = getattr(importlib.import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command


def _object_group(name: str) -> click.Command:
    module = importlib.import_module("dragonflyhold.cli.objects")
    groups: list[click.Command] = module.object_groups()
    return next(group for group in groups if group.name == name)


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="dragonflyhold")
def main() -> None:
    """Serve large numbers of LoRA adapters: run and operate the daemons."""
