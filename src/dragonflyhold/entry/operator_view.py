"""Entry daemon data for operators: daemon status and the event history of requests."""

import time

from dragonflyhold.entry.context import RunContext
from dragonflyhold.entry.lookups import call_owner
from dragonflyhold.entry.router import UpstreamSummary
from dragonflyhold.errors import RequestError
from dragonflyhold.ids import RequestId, parse_request_id
from dragonflyhold.states import UpstreamMode, UpstreamState
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2

_STATES: dict[UpstreamState, sidecar_pb2.UpstreamState] = {
    UpstreamState.ACTIVE: sidecar_pb2.UPSTREAM_STATE_ACTIVE,
    UpstreamState.LEAVING: sidecar_pb2.UPSTREAM_STATE_LEAVING,
    UpstreamState.DOWN: sidecar_pb2.UPSTREAM_STATE_DOWN,
}


def explain(request_id: str, context: RunContext) -> pb.ExplainReply:
    """Merge this entry's events of a request with those of its owner, oldest first."""
    reply = pb.ExplainReply()
    for event in context.explain.get(request_id):
        text = f"{context.settings.name}: {event.text}"
        reply.events.add(at_ms=event.at_ms, text=text)
    try:
        owner = parse_request_id(request_id).upstream
    except ValueError:
        # The request was refused before a sidecar assigned an id.
        return reply
    try:
        message = sidecar_pb2.LookupRequest(request_id=request_id)
        state = call_owner("Lookup", message, RequestId(request_id), context)
    except RequestError as error:
        now_ms = int(time.time() * 1000)
        reply.events.add(at_ms=now_ms, text=f"{owner}: {error.info.message}")
        return reply
    reply.state.CopyFrom(state)
    for event in state.events:
        reply.events.add(at_ms=event.at_ms, text=f"{owner}: {event.text}")
    reply.events.sort(key=lambda event: event.at_ms)
    return reply


def status(context: RunContext, is_table_reachable: bool) -> pb.StatusReply:
    """Return the state of the daemon and its view of the upstreams it has used."""
    freshness = context.config.view.freshness(context.clock())
    reply = pb.StatusReply(
        daemon=context.settings.name,
        incarnation=context.incarnation,
        config_revision=freshness.revision,
        config_age_s=freshness.age_s,
        table_reachable=is_table_reachable,
    )
    for summary in context.router.upstreams():
        reply.upstreams.add(
            name=summary.upstream.name,
            service=summary.upstream.service,
            state=_STATES[_state_of(summary)],
            in_flight=summary.own_requests,
            why=_reason_of(summary),
        )
    return reply


def _state_of(summary: UpstreamSummary) -> UpstreamState:
    if summary.is_down:
        return UpstreamState.DOWN
    if summary.upstream.mode is UpstreamMode.DRAINING:
        return UpstreamState.LEAVING
    return summary.state


def _reason_of(summary: UpstreamSummary) -> str:
    if summary.is_down:
        return "no probe was answered"
    if summary.upstream.mode is UpstreamMode.DRAINING:
        return "drained by an operator, or leaving by the VM list"
    if summary.state is UpstreamState.LEAVING:
        return "said by its sidecar"
    if summary.state is UpstreamState.DOWN:
        return "its engine does not answer its sidecar"
    return ""
