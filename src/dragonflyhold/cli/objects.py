"""Commands that write, delete and list configuration objects."""

import sys
from collections.abc import Callable
from typing import Any

import click

from dragonflyhold.cli.client import (
    Connection,
    Exit,
    author,
    connection_options,
    fail,
    new_change_id,
    print_json,
    print_reply,
    print_table,
)
from dragonflyhold.cli.exits import EXIT_HELP
from dragonflyhold.cli.specs import SpecError, format_object, parse_identity, parse_object
from dragonflyhold.config.objects import ObjectType
from dragonflyhold.transport.schema import operator_pb2 as pb

_PAGE_SIZE = 500

_COLUMNS: dict[ObjectType, tuple[str, ...]] = {
    ObjectType.SERVICE: (
        "name",
        "region",
        "type",
        "base_model",
        "load_stall_weight",
        "batch_efficiency_weight",
        "revision",
    ),
    ObjectType.UPSTREAM: (
        "name",
        "service",
        "data_centre",
        "sidecar_address",
        "mode",
        "slots",
        "batch_limit",
        "checks_fencing",
        "revision",
    ),
    ObjectType.ADAPTER: ("service", "name", "revision"),
    ObjectType.VERSION: ("service", "adapter", "version", "weights", "revision"),
    ObjectType.KIND: (
        "service",
        "name",
        "worth",
        "deadline_ms",
        "idempotent",
        "batch",
        "revision",
    ),
}

_PUT_OPTIONS: dict[ObjectType, list[Any]] = {
    ObjectType.SERVICE: [
        click.argument("name"),
        click.option("--region", required=True),
        click.option("--type", type=click.Choice(["engine", "plain"]), required=True),
        click.option("--base-model", help="Required for engine services."),
        click.option("--load-stall-weight", type=float),
        click.option("--batch-efficiency-weight", type=float),
    ],
    ObjectType.UPSTREAM: [
        click.argument("name"),
        click.option("--service", required=True),
        click.option("--data-centre", required=True),
        click.option("--sidecar-address", required=True, metavar="IP:PORT"),
        click.option("--checks-fencing/--ignores-fencing", default=None),
        click.option("--slots", type=int),
        click.option("--batch-limit", type=int),
        click.option("--mode", type=click.Choice(["active", "draining"])),
    ],
    ObjectType.ADAPTER: [click.argument("service"), click.argument("name")],
    ObjectType.VERSION: [
        click.argument("service"),
        click.argument("adapter"),
        click.argument("version", type=int),
        click.option("--weights", required=True, help="Path in the weight store."),
    ],
    ObjectType.KIND: [
        click.argument("service"),
        click.argument("name"),
        click.option("--worth", type=float, required=True),
        click.option("--deadline-ms", type=int, required=True),
        click.option("--idempotent/--not-idempotent", required=True, default=None),
        click.option("--batch/--interactive", default=None),
    ],
}

_KEY_ARGUMENTS: dict[ObjectType, list[Any]] = {
    ObjectType.SERVICE: [click.argument("name")],
    ObjectType.UPSTREAM: [click.argument("name")],
    ObjectType.ADAPTER: [click.argument("service"), click.argument("name")],
    ObjectType.VERSION: [
        click.argument("service"),
        click.argument("adapter"),
        click.argument("version", type=int),
    ],
    ObjectType.KIND: [click.argument("service"), click.argument("name")],
}

_CHANGE_OPTIONS = [
    click.option(
        "--expect-revision",
        type=click.IntRange(0),
        help="Refuse the change unless the object has this revision; 0: unless it does not exist.",
    ),
    click.option("--change-id", help="Id of the change, to submit it again; default: a new id."),
]


def object_groups() -> list[click.Group]:
    """Return a command group for each object type."""
    return [_object_group(type_) for type_ in ObjectType]


def submit(
    connection: Connection, operation: pb.Operation, change_id: str | None
) -> pb.ChangeReply:
    """Submit one operation, print the reply and exit."""
    request = pb.ChangeRequest(
        change_id=change_id or new_change_id(), author=author(), operations=[operation]
    )
    reply = connection.apply(request)
    sys.exit(print_reply(connection, request.change_id, reply))


def list_objects(connection: Connection, request: pb.ListObjectsRequest) -> list[pb.ConfigObject]:
    """Return all objects that match a request, over all pages."""
    objects: list[pb.ConfigObject] = []
    while True:
        request.limit = _PAGE_SIZE
        reply = connection.call("ListObjects", request)
        objects += reply.objects
        if not reply.next_page_token:
            return objects
        request.page_token = reply.next_page_token


def _object_group(type_: ObjectType) -> click.Group:
    group = click.Group(type_.value, help=f"Write, delete and list objects of type {type_.value}.")
    group.add_command(_put_command(type_))
    group.add_command(_delete_command(type_))
    group.add_command(_list_command(type_))
    return group


def _put_command(type_: ObjectType) -> click.Command:
    def put(
        connection: Connection, expect_revision: int | None, change_id: str | None, **fields: Any
    ) -> None:
        given = {name: value for name, value in fields.items() if value is not None}
        try:
            message = parse_object(type_, given, type_.value)
        except SpecError as error:
            fail(str(error), Exit.USAGE)
        submit(connection, pb.Operation(put=message, expected_revision=expect_revision), change_id)

    put.__doc__ = f"Create or replace an object of type {type_.value}.\n\n{EXIT_HELP}"
    return _command("put", put, [*_PUT_OPTIONS[type_], *_CHANGE_OPTIONS])


def _delete_command(type_: ObjectType) -> click.Command:
    def delete(
        connection: Connection, expect_revision: int | None, change_id: str | None, **fields: Any
    ) -> None:
        message = parse_identity(type_, fields, type_.value)
        operation = pb.Operation(delete=message, expected_revision=expect_revision)
        submit(connection, operation, change_id)

    delete.__doc__ = f"Delete an object of type {type_.value}.\n\n{EXIT_HELP}"
    return _command("delete", delete, [*_KEY_ARGUMENTS[type_], *_CHANGE_OPTIONS])


def _list_command(type_: ObjectType) -> click.Command:
    def list_(connection: Connection, service: str, prefix: str) -> None:
        request = pb.ListObjectsRequest(type=type_.value, service=service, name_prefix=prefix)
        objects = [format_object(message) for message in list_objects(connection, request)]
        if connection.as_json:
            print_json(objects)
            return
        rows = [{**item[type_.value], "revision": item["revision"]} for item in objects]
        print_table(rows, _COLUMNS[type_])

    list_.__doc__ = f"List objects of type {type_.value}.\n\n{EXIT_HELP}"
    options = [
        click.option("--service", default="", help="Only list objects of this service."),
        click.option("--prefix", default="", help="Only list names with this prefix."),
    ]
    return _command("list", list_, options)


def _command(name: str, function: Callable[..., None], options: list[Any]) -> click.Command:
    decorated: Any = function
    for option in reversed(options):
        decorated = option(decorated)
    return click.command(name)(connection_options(decorated))
