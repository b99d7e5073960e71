"""Response formats for callers: errors and answers as JSON and server-sent events."""

import json
import math
from collections.abc import Mapping, Sequence
from typing import Any

from dragonflyhold.errors import ErrorCode, RefusalInfo

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
KEEPALIVE = b": keep-alive\n\n"
# Suffix of a serialized chunk whose text is empty.
_CHUNK_END = b'""}]}'

STATUS_BY_CODE: Mapping[ErrorCode, int] = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_ADAPTER: 404,
    ErrorCode.UNKNOWN_VERSION: 404,
    ErrorCode.UNKNOWN_KIND: 400,
    ErrorCode.UNKNOWN_REQUEST: 404,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.PERMIT_REQUIRED: 428,
    ErrorCode.PERMIT_REUSED: 409,
    ErrorCode.PERMIT_EXPIRED: 410,
    ErrorCode.PERMIT_LIMIT: 429,
    ErrorCode.OTHER_INCARNATION: 409,
    ErrorCode.DECLINED: 409,
    ErrorCode.CANCELLED: 409,
    ErrorCode.DEADLINE_EXPIRED: 504,
    ErrorCode.DEADLINE_UNREACHABLE: 503,
    ErrorCode.QUEUE_FULL: 503,
    ErrorCode.CALLER_LIMIT: 429,
    ErrorCode.ADAPTER_LIMIT: 429,
    ErrorCode.ANSWER_BUFFER_FULL: 503,
    ErrorCode.ANSWER_TOO_LARGE: 502,
    ErrorCode.ANSWER_GONE: 410,
    ErrorCode.UPSTREAM_LEAVING: 503,
    ErrorCode.UPSTREAM_DOWN: 503,
    ErrorCode.UPSTREAM_CRASHED: 502,
    ErrorCode.UPSTREAM_ERROR: 502,
    ErrorCode.UPSTREAM_SILENT: 504,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.WRONG_UPSTREAM: 503,
    ErrorCode.ADAPTER_LOAD_FAILED: 503,
    ErrorCode.QUARANTINED: 422,
    ErrorCode.CONFIG_STALE: 503,
    ErrorCode.RETRY_BUDGET: 503,
    ErrorCode.SHUTTING_DOWN: 503,
    ErrorCode.INTERNAL: 500,
}


def to_json(value: Any) -> bytes:
    """Serialize as compact ASCII JSON; escapes make any text from callers representable."""
    return json.dumps(value, ensure_ascii=True, separators=(",", ":")).encode("ascii")


def error_body(info: RefusalInfo, request_id: str) -> dict[str, Any]:
    """Return the body of a typed error."""
    error = {
        "code": info.code.value,
        "message": info.message,
        "outcome": info.outcome.value,
        "retry_after_ms": info.retry_after_ms,
        "request_id": request_id,
    }
    return {"error": error}


def error_headers(info: RefusalInfo, request_id: str) -> dict[str, str]:
    """Return the headers of a typed error."""
    headers = {"Content-Type": JSON_TYPE}
    if request_id:
        headers["X-Request-Id"] = request_id
    if info.retry_after_ms > 0:
        headers["Retry-After"] = str(math.ceil(info.retry_after_ms / 1000))
    return headers


def completion_body(request_id: str, model: str, text: str, count: int, digest: str) -> Any:
    """Return a complete completion in the format of the OpenAI API."""
    choice = {"index": 0, "text": text, "logprobs": None, "finish_reason": "stop"}
    return {
        "id": request_id,
        "object": "text_completion",
        "model": model,
        "choices": [choice],
        "pieces": {"count": count, "digest": digest},
    }


def piece_events(request_id: str, model: str, sequence: int, texts: Sequence[str]) -> bytes:
    """Return pieces as server-sent events; ``sequence`` is the number of the first one."""
    choice = {"index": 0, "logprobs": None, "finish_reason": None, "text": ""}
    chunk = {"id": request_id, "object": "text_completion", "model": model, "choices": [choice]}
    # Only the text, the last field, differs between pieces, so the rest is serialized once.
    head, tail = to_json(chunk)[: -len(_CHUNK_END)], _CHUNK_END[2:]
    events = [
        b"id: %d\ndata: %s%s%s\n\n" % (number, head, to_json(text), tail)
        for number, text in enumerate(texts, sequence)
    ]
    return b"".join(events)


def named_event(name: str, value: Any) -> bytes:
    """Return a server-sent event with a name."""
    return b"event: %s\ndata: %s\n\n" % (name.encode("ascii"), to_json(value))


def end_event(request_id: str, count: int, digest: str, next_permit: str) -> bytes:
    """Return the event that closes a complete answer."""
    value = {"request_id": request_id, "count": count, "digest": digest}
    if next_permit:
        value["next_permit"] = next_permit
    return named_event("end", value)
