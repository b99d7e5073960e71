"""Commands on the platform's configuration."""

import asyncio
import dataclasses
import math
import pathlib
import sys
from typing import Any

import click
import orjson

from dragonflyhold.cli.exits import Exit
from dragonflyhold.errors import PlatformUnavailableError, UsageError

IN_FORCE = "in-force"
READ_TIMEOUT_S = 5.0


@click.group(name="config")
def config_group() -> None:
    """Check configurations of the platform."""


@config_group.command(
    epilog="Exit codes: 0 no errors; 1 errors; 2 usage error or unreadable file; 5 the store is "
    "unreachable."
)
@click.argument("file", type=click.Path(path_type=pathlib.Path, allow_dash=True))
@click.option(
    "--against",
    metavar="FILE|in-force",
    help="Also list what differs from the configuration in FILE, or from that in the store.",
)
@click.option(
    "--store",
    metavar="IP:PORT",
    help="The store; by default that of the settings file of this VM.",
)
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Format of the findings.",
)
@click.option("--json", "as_json", is_flag=True, help="Same as --output json.")
def check(
    file: pathlib.Path, against: str | None, store: str | None, output: str, as_json: bool
) -> None:
    """Check the configuration in FILE (JSON; '-': standard input) before it is sent.

    Lists errors, entries that can never match, limits that contradict each other, and accounts
    that share a key. No key is printed.
    """
    from dragonflyhold.platform.config_check import Severity, check_configuration
    from dragonflyhold.platform.config_diff import compare_configurations

    try:
        fields = _read(file)
        other = None if against is None else _read_other(against, store)
    except UsageError as error:
        click.echo(str(error), err=True)
        sys.exit(Exit.USAGE)
    except (PlatformUnavailableError, TimeoutError) as error:
        click.echo(f"the store is unreachable: {error}", err=True)
        sys.exit(Exit.UNREACHABLE)
    findings = check_configuration(fields, other)
    differences = []
    if isinstance(fields, dict) and isinstance(other, dict):
        differences = compare_configurations(other, fields)
    report = {
        "findings": [dataclasses.asdict(finding) for finding in findings],
        "differences": [dataclasses.asdict(difference) for difference in differences],
    }
    if as_json or output == "json":
        click.echo(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    else:
        _print_table(report)
    has_errors = any(finding.severity is Severity.ERROR for finding in findings)
    sys.exit(Exit.FAILED if has_errors else Exit.OK)


def _print_table(report: dict[str, list[dict[str, Any]]]) -> None:
    for finding in report["findings"]:
        click.echo(f"{finding['severity'].value:8} {finding['subject']}: {finding['text']}")
    for difference in report["differences"]:
        line = f"{difference['change'].value:8} {difference['subject']}"
        if difference["field"]:
            line += f": {difference['field']}: {difference['old']!r} -> {difference['new']!r}"
        click.echo(line)
    if not any(report.values()):
        click.echo("nothing found")


def _read(file: pathlib.Path) -> Any:
    """Read a configuration; raise ``UsageError`` if it is not readable."""
    try:
        data = sys.stdin.buffer.read() if str(file) == "-" else file.read_bytes()
        return orjson.loads(data)
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
    except ValueError as error:
        raise UsageError(f"{file}: invalid JSON: {error}") from error


def _read_other(against: str, store: str | None) -> Any:
    if against != IN_FORCE:
        return _read(pathlib.Path(against))
    if store is None:
        from dragonflyhold.platform.settings import load_settings

        store = load_settings().store
    value = asyncio.run(_read_in_force(store))
    if value is None:
        raise UsageError(f"{store}: the store has no configuration")
    try:
        return orjson.loads(value)
    except ValueError as error:
        raise UsageError(f"{store}: the configuration is invalid JSON: {error}") from error


async def _read_in_force(store: str) -> bytes | None:
    """Return the configuration in the store, ``None`` if it has none."""
    from dragonflyhold.gateway.connection_pool import ConnectionPool
    from dragonflyhold.gateway.model import Address
    from dragonflyhold.platform.store import CONFIG_KEY, OPERATOR_TABLE, MetadataStore

    pool = ConnectionPool()
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            rows = await MetadataStore(Address(store), pool).read_table(OPERATOR_TABLE)
    finally:
        pool.close_expired(math.inf)
        # A transport closes its socket in a later turn of the loop.
        await asyncio.sleep(0)
    return next((row.value for row in rows.rows if row.key == CONFIG_KEY), None)
