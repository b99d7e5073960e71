"""Operator API client and output helpers shared by the operator commands."""

import dataclasses
import getpass
import json
import re
import secrets
import sys
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NoReturn, TypeVar, final

import click
import grpc

from dragonflyhold.cli.exits import Exit
from dragonflyhold.settings import TlsSettings
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc as pb_grpc

# Longer than an entry takes to give up on a change while the table is unavailable.
APPLY_TIMEOUT_S = 20.0
_APPLY_ATTEMPTS = 3
_UNREACHABLE = (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED)

Function = TypeVar("Function", bound=Callable[..., Any])
Reply = TypeVar("Reply")

_EXIT_BY_RESULT = {
    pb.CHANGE_RESULT_ACCEPTED: Exit.OK,
    pb.CHANGE_RESULT_CONFLICT: Exit.CONFLICT,
    pb.CHANGE_RESULT_INVALID: Exit.FAILED,
    pb.CHANGE_RESULT_IN_DOUBT: Exit.IN_DOUBT,
    pb.CHANGE_RESULT_UNKNOWN: Exit.FAILED,
}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """Address and credentials of an entry daemon, and the output format."""

    entry: str
    tls: TlsSettings
    timeout_s: float
    as_json: bool

    def call(self, method: str, request: Any, timeout_s: float | None = None) -> Any:
        """Call a read-only method; exit if the daemon is unreachable or returns an error."""
        with self._open() as channel:
            try:
                return self._invoke(channel, method, request, timeout_s or self.timeout_s)
            except grpc.RpcError as error:
                code = Exit.UNREACHABLE if error.code() in _UNREACHABLE else Exit.FAILED
                fail(f"{self.entry}: {error.code().name.lower()}: {error.details()}", code)

    def apply(self, request: pb.ChangeRequest) -> pb.ChangeReply:
        """Submit a change; if the reply is lost, submit it again under the same change id."""
        with self._open() as channel:
            for attempt in range(_APPLY_ATTEMPTS):
                try:
                    return self._invoke(channel, "Apply", request, APPLY_TIMEOUT_S)
                except grpc.RpcError as error:
                    if error.code() not in _UNREACHABLE:
                        fail(f"{error.code().name.lower()}: {error.details()}", Exit.FAILED)
                    time.sleep(0.2 * (attempt + 1))
        return pb.ChangeReply(result=pb.CHANGE_RESULT_IN_DOUBT)

    def _open(self) -> grpc.Channel:
        """Return a connected channel, so that a later error means that the reply was lost."""
        try:
            channel = make_channel(self.entry, self.tls)
        except OSError as error:
            fail(f"TLS file: {error}", Exit.USAGE)
        try:
            grpc.channel_ready_future(channel).result(timeout=self.timeout_s)
        except grpc.FutureTimeoutError:
            channel.close()
            fail(f"{self.entry}: no connection within {self.timeout_s:g} s", Exit.UNREACHABLE)
        return channel

    @staticmethod
    def _invoke(channel: grpc.Channel, method: str, request: Any, timeout_s: float) -> Any:
        return getattr(pb_grpc.OperatorStub(channel), method)(request, timeout=timeout_s)


def connection_options(function: Function) -> Function:
    """Add the options common to all operator commands, passed as a ``connection`` argument."""

    def callback(**values: Any) -> Any:
        tls = TlsSettings(
            certificate=values.pop("tls_certificate"),
            key=values.pop("tls_key"),
            authority=values.pop("tls_authority"),
        )
        connection = Connection(
            values.pop("entry"), tls, values.pop("timeout"), values.pop("as_json")
        )
        return function(connection=connection, **values)

    callback.__name__ = function.__name__
    callback.__doc__ = function.__doc__
    options: list[Any] = [
        click.option(
            "--entry",
            envvar="DRAGONFLYHOLD_ENTRY",
            default="127.0.0.1:8081",
            show_default=True,
            show_envvar=True,
            metavar="ADDRESS",
            help="gRPC address of an entry daemon.",
        ),
        click.option("--timeout", type=click.FloatRange(0.1, 600), default=5.0, help="Seconds."),
        click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table."),
        *(
            click.option(
                f"--tls-{name}",
                default="",
                envvar=f"DRAGONFLYHOLD_TLS_{name.upper()}",
                metavar="FILE",
                help=f"PEM file of the {name}.",
            )
            for name in ("certificate", "key", "authority")
        ),
    ]
    params = list(getattr(function, "__click_params__", []))
    callback.__click_params__ = params  # type: ignore[attr-defined]
    decorated: Any = callback
    for option in reversed(options):
        decorated = option(decorated)
    return decorated  # type: ignore[no-any-return]


def new_change_id() -> str:
    """Return a new unique change id that starts with the operator's user name."""
    user = re.sub(r"[^A-Za-z0-9_-]", "-", author())
    return f"{user or 'operator'}-{secrets.token_hex(8)}".lstrip("-_")


def author() -> str:
    """Return the operating system's user name of the operator."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def fail(message: str, code: Exit) -> NoReturn:
    """Print an error to standard error and exit with ``code``."""
    click.echo(f"error: {message}", err=True)
    sys.exit(code)


def result_name(reply: pb.ChangeReply) -> str:
    """Return the printed name of the result of a change."""
    return str(pb.ChangeResult.Name(reply.result)).removeprefix("CHANGE_RESULT_").lower()


def reply_fields(change_id: str, reply: pb.ChangeReply) -> dict[str, Any]:
    """Return the reply to a change for JSON output."""
    return {
        "change_id": change_id,
        "result": result_name(reply),
        "revision": reply.revision,
        "problems": [
            {
                "operation": problem.operation,
                "code": problem.code,
                "message": problem.message,
                "current_revision": problem.current_revision,
            }
            for problem in reply.problems
        ],
    }


def print_reply(connection: Connection, change_id: str, reply: pb.ChangeReply) -> Exit:
    """Print the reply to a change; return the exit code."""
    if connection.as_json:
        print_json(reply_fields(change_id, reply))
    else:
        click.echo(f"change {change_id}: {result_name(reply)}, revision {reply.revision}")
        for problem in reply.problems:
            click.echo(f"  operation {problem.operation}: {problem.code}: {problem.message}")
    return exit_code_for(reply)


def exit_code_for(reply: pb.ChangeReply) -> Exit:
    """Return the exit code for a reply to a change."""
    return _EXIT_BY_RESULT.get(reply.result, Exit.FAILED)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2))


def print_table(rows: Sequence[Mapping[str, Any]], columns: Iterable[str]) -> None:
    """Print rows as aligned columns with a header."""
    names = list(columns)
    cells = [names, *([_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[index]) for line in cells) for index in range(len(names))]
    for line in cells:
        text = "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo(text.rstrip())


def _cell(value: Any) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case _:
            return str(value)
