"""Commands that show the state of an entry daemon and the history of a request."""

import datetime
import pathlib
import sys
from collections.abc import Callable, Sequence

import click
from google.protobuf import json_format

from dragonflyhold.cli.client import Connection, connection_options, print_json, print_table
from dragonflyhold.cli.exits import EXIT_HELP, Exit
from dragonflyhold.errors import UsageError
from dragonflyhold.observability import log_analysis
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2


@click.command("status", epilog=EXIT_HELP)
@connection_options
def status_command(connection: Connection) -> None:
    """Show the entry daemon's configuration revision and the upstreams' states that it knows."""
    reply = connection.call("Status", pb.StatusRequest())
    if connection.as_json:
        print_json(_to_dict(reply))
        return
    table = "reachable" if reply.table_reachable else "not reachable"
    click.echo(f"daemon {reply.daemon}, incarnation {reply.incarnation}")
    click.echo(
        f"configuration revision {reply.config_revision}, "
        f"known to be current {reply.config_age_s:.1f} s ago, table {table}"
    )
    rows = [
        {
            "upstream": item.name,
            "service": item.service,
            "state": _enum_label(sidecar_pb2.UpstreamState.Name(item.state)),
            "in_flight": item.in_flight,
            "queued": item.load.queued,
            "batch_limit": item.load.batch_limit,
            "slots": item.load.slots,
            "resident": len(item.load.resident),
            "why": item.why,
        }
        for item in reply.upstreams
    ]
    columns = (
        "upstream",
        "service",
        "state",
        "in_flight",
        "queued",
        "batch_limit",
        "slots",
        "resident",
        "why",
    )
    print_table(rows, columns)


@click.command("explain", epilog=EXIT_HELP)
@click.option("--failed", is_flag=True, help="Group the failed requests of all LOGs by cause.")
@click.argument("request_id", required=False)
@click.argument("logs", nargs=-1, metavar="[LOG]...", type=click.Path(path_type=pathlib.Path))
@connection_options
def explain_command(
    connection: Connection, failed: bool, request_id: str | None, logs: tuple[pathlib.Path, ...]
) -> None:
    """Show how the request REQUEST_ID was routed, refused and retried.

    With LOGs, reads the structured logs of any number of daemons instead of querying a daemon, and
    prints the request's events in order with the data behind each decision.
    """
    if failed and request_id is not None:
        _print_from_logs(_failure_lines, [pathlib.Path(request_id), *logs])
    elif logs and request_id is not None:
        _print_from_logs(lambda log_set: log_analysis.trace_request(log_set, request_id), logs)
    elif request_id is not None:
        _explain_from_daemon(connection, request_id)
    else:
        raise click.UsageError("either REQUEST_ID, or --failed with at least one LOG, is required")


def _print_from_logs(
    format_lines: Callable[[log_analysis.LogSet], list[str]], logs: Sequence[pathlib.Path]
) -> None:
    try:
        log_set = log_analysis.read_logs(logs)
        lines = format_lines(log_set)
    except UsageError as error:
        click.echo(f"explain: {error}", err=True)
        sys.exit(Exit.USAGE)
    for line in lines:
        click.echo(line)
    if log_set.skipped:
        click.echo(f"explain: {log_set.skipped} lines could not be read", err=True)


def _failure_lines(logs: log_analysis.LogSet) -> list[str]:
    return [
        f"{count:6}  {cause}  ({', '.join(examples)})"
        for cause, count, examples in log_analysis.group_failures(logs)
    ]


def _explain_from_daemon(connection: Connection, request_id: str) -> None:
    reply = connection.call("Explain", pb.ExplainRequest(request_id=request_id))
    if connection.as_json:
        print_json(_to_dict(reply))
        return
    state = reply.state
    if state.request_id:
        state_name = _enum_label(sidecar_pb2.RequestState.Name(state.state))
        outcome = _enum_label(sidecar_pb2.Outcome.Name(state.outcome))
        click.echo(
            f"request {state.request_id}: {state_name}, outcome {outcome} {state.code}".rstrip()
        )
    events = sorted([*reply.events, *state.events], key=lambda event: event.at_ms)
    for event in events:
        at = datetime.datetime.fromtimestamp(event.at_ms / 1000, datetime.UTC)
        click.echo(f"{at:%Y-%m-%d %H:%M:%S}.{event.at_ms % 1000:03d}  {event.text}")
    if not events:
        click.echo("no events are kept for this request")


def _to_dict(message: pb.StatusReply | pb.ExplainReply) -> object:
    return json_format.MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )


def _enum_label(name: str) -> str:
    for prefix in ("UPSTREAM_STATE_", "REQUEST_STATE_", "OUTCOME_"):
        name = name.removeprefix(prefix)
    return name.lower()
