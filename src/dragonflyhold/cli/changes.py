"""Commands that apply configuration changes, show their result, wait for them, and drain."""

import pathlib
import sys
from typing import Any

import click
import json5

from dragonflyhold.cli.client import (
    Connection,
    Exit,
    author,
    connection_options,
    exit_code_for,
    fail,
    new_change_id,
    print_json,
    print_reply,
    reply_fields,
)
from dragonflyhold.cli.exits import EXIT_HELP
from dragonflyhold.cli.objects import list_objects
from dragonflyhold.cli.specs import SpecError, parse_operation
from dragonflyhold.transport.schema import operator_pb2 as pb

DEFAULT_BATCH_SIZE = 5_000
_SET_MODE_ATTEMPTS = 5


def parse_changes(text: str, change_id: str, batch: int) -> list[pb.ChangeRequest]:
    """Return the changes of a file; raise ``SpecError`` listing every problem.

    The file is ``{changes: [{id, operations}]}``, ``{id, operations}`` or a list of operations. A
    list of more than ``batch`` operations is split, in order, into changes ``<id>.1``, ``<id>.2``.
    """
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        raise SpecError(f"invalid JSON with comments: {error}") from error
    problems: list[str] = []
    requests: list[pb.ChangeRequest] = []
    for index, item in enumerate(_change_items(data)):
        default_id = change_id if index == 0 else f"{change_id}.c{index + 1}"
        requests += _parse_change(item, f"changes[{index}]", default_id, batch, problems)
    if problems:
        raise SpecError("\n".join(problems))
    return requests


@click.command("apply", epilog=EXIT_HELP)
@click.argument("file", type=click.Path(path_type=pathlib.Path, allow_dash=True))
@click.option("--change-id", help="Id of the change, or prefix of the ids if there are several.")
@click.option(
    "--batch",
    type=click.IntRange(1, 20_000),
    default=DEFAULT_BATCH_SIZE,
    show_default=True,
    help="Maximum number of operations in one change.",
)
@connection_options
def apply_command(
    connection: Connection, file: pathlib.Path, change_id: str | None, batch: int
) -> None:
    """Apply the operations in FILE (JSON with comments; '-': standard input).

    Each change is atomic. Changes are applied in order until one is not accepted. Repeating the
    command with the same --change-id resumes after an interruption: changes that were already
    accepted are reported as accepted and not applied twice.
    """
    try:
        text = sys.stdin.read() if str(file) == "-" else file.read_text(encoding="utf-8")
        requests = parse_changes(text, change_id or new_change_id(), batch)
    except (OSError, UnicodeDecodeError, SpecError) as error:
        fail(f"{file}: {error}", Exit.USAGE)
    replies: list[dict[str, Any]] = []
    code = Exit.OK
    for request in requests:
        reply = connection.apply(request)
        replies.append(reply_fields(request.change_id, reply))
        code = exit_code_for(reply)
        if not connection.as_json:
            print_reply(connection, request.change_id, reply)
        if code is not Exit.OK:
            break
    if connection.as_json:
        print_json(replies)
    sys.exit(code)


@click.group("change")
def change_group() -> None:
    """Inspect submitted changes."""


@change_group.command("show", epilog=EXIT_HELP)
@click.argument("change_id")
@connection_options
def show(connection: Connection, change_id: str) -> None:
    """Show whether the change CHANGE_ID was accepted.

    'unknown' means that it has not been accepted so far.
    """
    reply = connection.call("GetChange", pb.GetChangeRequest(change_id=change_id))
    sys.exit(print_reply(connection, change_id, reply))


@click.command("wait", epilog=EXIT_HELP)
@click.argument("revision", type=click.IntRange(0))
@click.option(
    "--wait-timeout",
    type=click.FloatRange(0, 600),
    default=10.0,
    show_default=True,
    help="Seconds.",
)
@connection_options
def wait_command(connection: Connection, revision: int, wait_timeout: float) -> None:
    """Wait until REVISION is in force on all daemons.

    Exits with 1 if a reachable daemon has not reached the revision before the timeout. Unreachable
    daemons are listed as missing: they refuse new work until they have caught up. With one of
    them, a wait shorter than the setting config.stale_s plus one second also exits with 1.
    """
    request = pb.WaitInForceRequest(revision=revision, timeout_ms=int(wait_timeout * 1000))
    reply = connection.call("WaitInForce", request, wait_timeout + connection.timeout_s)
    missing = list(reply.missing)
    if connection.as_json:
        fields = {
            "in_force": reply.in_force,
            "daemons_asked": reply.daemons_asked,
            "missing": missing,
        }
        print_json(fields)
    else:
        state = "in force" if reply.in_force else "not in force"
        click.echo(f"revision {revision}: {state}, {reply.daemons_asked} daemons")
        for name in missing:
            click.echo(f"  missing: {name}")
    sys.exit(Exit.OK if reply.in_force else Exit.FAILED)


@click.command("drain", epilog=EXIT_HELP)
@click.argument("upstream")
@connection_options
def drain_command(connection: Connection, upstream: str) -> None:
    """Stop sending new requests to UPSTREAM; requests in progress are completed."""
    _set_mode(connection, upstream, pb.UPSTREAM_MODE_DRAINING)


@click.command("undrain", epilog=EXIT_HELP)
@click.argument("upstream")
@connection_options
def undrain_command(connection: Connection, upstream: str) -> None:
    """Resume sending new requests to UPSTREAM."""
    _set_mode(connection, upstream, pb.UPSTREAM_MODE_ACTIVE)


def _set_mode(connection: Connection, name: str, mode: pb.UpstreamMode) -> None:
    for _ in range(_SET_MODE_ATTEMPTS):
        request = pb.ListObjectsRequest(type="upstream", name_prefix=name)
        found = [item for item in list_objects(connection, request) if item.upstream.name == name]
        if not found:
            fail(f"upstream {name!r} does not exist", Exit.FAILED)
        message = found[0]
        message.upstream.mode = mode
        operation = pb.Operation(put=message, expected_revision=message.revision)
        change = pb.ChangeRequest(
            change_id=new_change_id(), author=author(), operations=[operation]
        )
        reply = connection.apply(change)
        # Retries on a conflict: writing the object as read would revert a concurrent change to
        # its other fields.
        if reply.result != pb.CHANGE_RESULT_CONFLICT:
            break
    sys.exit(print_reply(connection, change.change_id, reply))


def _change_items(data: object) -> list[object]:
    if isinstance(data, list):
        return [{"operations": data}]
    if isinstance(data, dict) and isinstance(data.get("changes"), list):
        if len(data) > 1:
            raise SpecError("no other keys are allowed beside 'changes'")
        return list(data["changes"])
    return [data]


def _parse_change(
    item: object, source: str, default_id: str, batch: int, problems: list[str]
) -> list[pb.ChangeRequest]:
    if not isinstance(item, dict) or not isinstance(item.get("operations"), list):
        problems.append(f"{source}: an object with a list 'operations' is required")
        return []
    unknown = sorted(item.keys() - {"id", "operations"})
    if unknown:
        problems.append(f"{source}: unknown keys: {', '.join(unknown)}")
    operations: list[pb.Operation] = []
    for index, operation in enumerate(item["operations"]):
        try:
            operations.append(parse_operation(operation, f"{source}.operations[{index}]"))
        except SpecError as error:
            problems.append(str(error))
    change_id = str(item.get("id", default_id))
    groups = [operations[at : at + batch] for at in range(0, len(operations), batch)]
    is_split = len(groups) > 1
    return [
        pb.ChangeRequest(
            change_id=f"{change_id}.{number}" if is_split else change_id,
            author=author(),
            operations=group,
        )
        for number, group in enumerate(groups, start=1)
    ]
