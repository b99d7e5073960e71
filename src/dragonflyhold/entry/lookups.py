"""Unary calls to sidecars: request lookup, decline and permit issuance."""

import time
from typing import Any

import grpc

from dragonflyhold.config.objects import Upstream
from dragonflyhold.entry.caller_input import PermitCall
from dragonflyhold.entry.context import RunContext
from dragonflyhold.entry.outcomes import error_from_wire, outcome_from_wire
from dragonflyhold.entry.router import AttemptEnded, ChooseRoute
from dragonflyhold.errors import ErrorCode, RequestError, in_doubt, not_run
from dragonflyhold.ids import Fingerprint, RequestId, UpstreamName, parse_request_id
from dragonflyhold.routing import RouteRequest, RouteTo
from dragonflyhold.states import RequestState
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# Number of upstreams tried before a request for permits is refused.
MAX_PERMIT_ATTEMPTS = 3

_STATES: dict[int, RequestState] = {
    pb.REQUEST_STATE_ISSUED: RequestState.ISSUED,
    pb.REQUEST_STATE_QUEUED: RequestState.QUEUED,
    pb.REQUEST_STATE_RUNNING: RequestState.RUNNING,
    pb.REQUEST_STATE_DONE: RequestState.DONE,
    pb.REQUEST_STATE_FAILED: RequestState.FAILED,
    pb.REQUEST_STATE_DECLINED: RequestState.DECLINED,
}


def owner_of(request_id: RequestId, context: RunContext) -> Upstream:
    """Return the owner of a request id; raise ``no_upstream`` (in doubt) if it was removed."""
    name = parse_request_id(request_id).upstream
    upstream = context.config.view.upstream(name)
    if upstream is None:
        raise in_doubt(ErrorCode.NO_UPSTREAM, f"upstream {name!r} is not configured")
    return upstream


def look_up(request_id: RequestId, context: RunContext) -> dict[str, Any]:
    """Return the state of a request as reported by its owner."""
    reply = call_owner("Lookup", pb.LookupRequest(request_id=request_id), request_id, context)
    return _state_as_json(reply)


def decline(request_id: RequestId, context: RunContext) -> dict[str, Any]:
    """Decline a request at its owner; cancel it if it is already queued or running."""
    reply = call_owner("Decline", pb.DeclineRequest(request_id=request_id), request_id, context)
    context.explain.add(request_id, "decline asked for")
    if reply.state in (pb.REQUEST_STATE_QUEUED, pb.REQUEST_STATE_RUNNING):
        link = context.pool.link(owner_of(request_id, context))
        if not link.cancel(request_id, detach=False):
            _cancel_on_new_stream(request_id, context)
    return _state_as_json(reply)


def issue_permits(call: PermitCall, context: RunContext) -> dict[str, Any]:
    """Return permits issued by one active upstream."""
    tried: set[UpstreamName] = set()
    error = not_run(ErrorCode.NO_UPSTREAM, "no upstream issues permits")
    if not context.config.is_fresh(context.clock()):
        message = "the entry cannot tell whether its configuration is current"
        raise not_run(ErrorCode.CONFIG_STALE, message, 1000)
    for attempt in range(MAX_PERMIT_ATTEMPTS):
        request = RouteRequest(
            service=call.service,
            key=call.key,
            fingerprint=Fingerprint(b""),
            batch=call.kind.batch,
            suspected=False,
            tried=frozenset(tried),
        )
        route = context.router.choose(ChooseRoute(request, context.clock(), attempt == 0))
        if not isinstance(route, RouteTo):
            raise not_run(route.code, route.message, 1000)
        refusal: ErrorCode | None = None
        try:
            return _issue(call, route.upstream, context)
        except RequestError as refused:
            error, refusal = refused, refused.info.code
            tried.add(route.upstream)
            context.metrics.count_retry(f"permit_{refusal.value}")
        finally:
            attempt_ended = AttemptEnded(route.upstream, call.key, refusal, context.clock())
            context.router.record(attempt_ended)
    raise error


def call_owner(method: str, message: Any, request_id: RequestId, context: RunContext) -> Any:
    """Call the owner of a request id; raise ``upstream_down`` (in doubt) if it does not reply."""
    upstream = owner_of(request_id, context)
    link = context.pool.link(upstream)
    try:
        return link.call(method, message, context.settings.transport.probe_timeout_s)
    except (grpc.RpcError, OSError) as error:
        message_text = f"the sidecar of {upstream.name} does not answer"
        raise in_doubt(ErrorCode.UPSTREAM_DOWN, message_text) from error


def _issue(call: PermitCall, name: UpstreamName, context: RunContext) -> dict[str, Any]:
    upstream = context.config.view.upstream(name)
    if upstream is None:
        raise not_run(ErrorCode.NO_UPSTREAM, f"upstream {name} was removed")
    message = pb.IssuePermitsRequest(service=call.service, caller=call.caller, count=call.count)
    if call.key is not None:
        message.adapter, message.version = call.key.adapter, call.key.version
    try:
        timeout_s = context.settings.transport.probe_timeout_s
        reply = context.pool.link(upstream).call("IssuePermits", message, timeout_s)
    except (grpc.RpcError, OSError) as error:
        # Permits whose reply was lost are never used and expire.
        raise not_run(ErrorCode.UPSTREAM_DOWN, f"{name} does not answer") from error
    if reply.code:
        raise error_from_wire(reply.code, reply.message, pb.OUTCOME_NOT_RUN)
    return {"permits": list(reply.permits), "expires_in_ms": reply.expires_in_ms}


def _cancel_on_new_stream(request_id: RequestId, context: RunContext) -> None:
    """Open a stream by attaching to the request, and cancel it on that stream."""
    link = context.pool.link(owner_of(request_id, context))
    now = context.clock()
    open_request = link.attach(request_id, 0, now + context.settings.transport.probe_timeout_s)
    give_up_at = now + context.settings.transport.probe_timeout_s
    while not open_request.is_sent and not open_request.is_ended and context.clock() < give_up_at:
        time.sleep(0.01)
    link.abandon(open_request, detach=False)


def _state_as_json(reply: pb.LookupReply) -> dict[str, Any]:
    state = _STATES.get(reply.state, RequestState.IN_DOUBT)
    return {
        "request_id": reply.request_id,
        "state": state.value,
        "outcome": outcome_from_wire(reply.outcome).value if state.is_final else None,
        "count": reply.count,
        "complete": reply.complete,
        "code": reply.code,
        "message": reply.message,
    }
