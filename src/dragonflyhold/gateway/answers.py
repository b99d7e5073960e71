"""Decides what an upstream's answer means for a request.

Each outcome needs its evidence. An answer belongs to the request if its head names it and holds no
other status line (``http_client``). A success also needs the upstream's signature and the whole
body. That a request did not run lets it run again, so it needs the strongest evidence: a head that
says so, and no byte before or in the answer that could belong to another one. In all other cases
the request may have run. Bytes after a whole answer belong to no request.
"""

import enum

from dragonflyhold.gateway.http_client import Exchange, Head, may_hold_status_line
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


def is_refusal_certain(exchange: Exchange, body: bytes) -> bool:
    """Return whether an answer that states that the request did not run is surely its own.

    ``body`` is what was read of its body.
    """
    return exchange.is_certain and not may_hold_status_line(body)
