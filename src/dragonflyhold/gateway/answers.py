"""Decides what an upstream's answer means for a request."""

import enum

from dragonflyhold.gateway.http_client import Head
from dragonflyhold.platform import codec


class AnswerUse(enum.Enum):
    """What to do with an upstream's answer."""

    # The request did not run; another upstream may.
    TRY_NEXT = "try next"
    # The client's request is invalid and did not run.
    FORWARD_REJECTION = "forward rejection"
    FORWARD_WHOLE = "forward whole"
    RELAY_EVENTS = "relay events"
    # Forwarded whole if the request is not sent again.
    KEEP_FAILURE = "keep failure"
    # Nothing of it may reach the client.
    DISCARD = "discard"


def decide_use(head: Head, is_stream: bool, has_begun: bool) -> AnswerUse:
    """Return what to do with the answer to a request on a route.

    Once a response has begun, the rest of its stream is all that may follow.
    """
    is_event_stream = is_stream and head.status == 200
    match codec.is_not_run(head), codec.is_authentic_success(head):
        case True, _:
            may_reject = head.status == 400 and not has_begun
            return AnswerUse.FORWARD_REJECTION if may_reject else AnswerUse.TRY_NEXT
        case _, True if is_event_stream:
            return AnswerUse.RELAY_EVENTS
        case _ if has_begun:
            return AnswerUse.DISCARD
        case _, True:
            return AnswerUse.FORWARD_WHOLE
        case _ if 200 <= head.status < 300 or not codec.may_forward_failure(head):
            return AnswerUse.DISCARD
        case _:
            return AnswerUse.KEEP_FAILURE
