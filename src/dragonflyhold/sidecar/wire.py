"""Conversions from the types of the tables to protobuf messages."""

import hashlib

from dragonflyhold.errors import RefusalInfo
from dragonflyhold.ids import RequestId
from dragonflyhold.requests import AnswerEnd
from dragonflyhold.states import Outcome, RequestState, UpstreamState
from dragonflyhold.transport.schema import sidecar_pb2 as pb

OUTCOMES = {
    Outcome.NOT_RUN: pb.OUTCOME_NOT_RUN,
    Outcome.IN_DOUBT: pb.OUTCOME_IN_DOUBT,
    Outcome.FAILED: pb.OUTCOME_FAILED,
    Outcome.OK: pb.OUTCOME_OK,
}
REQUEST_STATES = {
    RequestState.ISSUED: pb.REQUEST_STATE_ISSUED,
    RequestState.QUEUED: pb.REQUEST_STATE_QUEUED,
    RequestState.RUNNING: pb.REQUEST_STATE_RUNNING,
    RequestState.DONE: pb.REQUEST_STATE_DONE,
    RequestState.FAILED: pb.REQUEST_STATE_FAILED,
    RequestState.IN_DOUBT: pb.REQUEST_STATE_IN_DOUBT,
    RequestState.DECLINED: pb.REQUEST_STATE_DECLINED,
}
UPSTREAM_STATES = {
    UpstreamState.ACTIVE: pb.UPSTREAM_STATE_ACTIVE,
    UpstreamState.LEAVING: pb.UPSTREAM_STATE_LEAVING,
    UpstreamState.DOWN: pb.UPSTREAM_STATE_DOWN,
}


def end_item(tag: int, request_id: RequestId, end: AnswerEnd) -> pb.SidecarItem:
    """Return the item that ends an answer on a stream."""
    item = pb.SidecarItem()
    message = item.end
    message.tag = tag
    message.request_id = request_id
    message.outcome = OUTCOMES[end.outcome]
    message.count = end.count
    message.digest = end.digest
    message.code = end.code.value if end.code is not None else ""
    message.message = end.message
    message.status = end.status
    message.headers.update(end.headers)
    message.next_permit = end.next_permit
    message.adapter = end.adapter
    message.version = end.version
    message.crashed = end.crashed
    message.crashed_alone = end.crashed_alone
    message.suspected_crashes = end.suspected_crashes
    message.quarantined = end.quarantined
    message.load_stall_ms = end.load_stall_ms
    return item


def accepted_item(tag: int, request_id: RequestId, resident: bool) -> pb.SidecarItem:
    """Return the item that accepts a submission."""
    return pb.SidecarItem(accepted=pb.Accepted(tag=tag, request_id=request_id, resident=resident))


def refused_item(
    tag: int, request_id: str, info: RefusalInfo, load: pb.LoadReport
) -> pb.SidecarItem:
    """Return the item that refuses a submission or an attachment."""
    return pb.SidecarItem(
        refused=pb.Refused(
            tag=tag,
            request_id=request_id,
            code=info.code.value,
            message=info.message,
            outcome=OUTCOMES[info.outcome],
            retry_after_ms=info.retry_after_ms,
            load=load,
        )
    )


def submit_digest(submit: pb.Submit) -> bytes:
    """Return the digest that binds a permit to the content of its first submission."""
    digest = hashlib.sha256()
    parts = [
        submit.service.encode(),
        submit.adapter.encode(),
        str(submit.version).encode(),
        submit.kind.encode(),
        submit.call.method.encode(),
        submit.call.path.encode(),
        submit.body,
    ]
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
