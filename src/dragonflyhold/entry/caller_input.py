"""Validation of caller input; invalid input raises a typed error before routing."""

import dataclasses
import hashlib
import json
import string
from collections.abc import Mapping
from typing import Any, final

from dragonflyhold.config.objects import RequestKind
from dragonflyhold.config.view import ConfigView
from dragonflyhold.errors import ErrorCode, RequestError, in_doubt, not_run
from dragonflyhold.ids import (
    AdapterKey,
    CallerId,
    Fingerprint,
    KindName,
    RequestId,
    ServiceName,
    parse_model,
    parse_request_id,
)
from dragonflyhold.states import ServiceType

DEFAULT_KIND = KindName("default")
DEFAULT_CALLER = CallerId("anonymous")
MAX_NAME_LENGTH = 256
MAX_DEADLINE_MS = 86_400_000
MAX_PERMITS = 1000
MAX_UINT64 = 2**64 - 1

_NAME_CHARS = frozenset(string.ascii_letters + string.digits + "-_.:/@+=")
# Headers that are not forwarded: hop-by-hop, consumed by the entry, or set by the sidecar.
_UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-caller-id",
        "x-deadline-ms",
        "x-request-kind",
    }
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlainTarget:
    """Target of a call that is forwarded to a plain service."""

    method: str
    path: str
    headers: Mapping[str, str]


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerCall:
    """A validated caller request; ``deadline`` is in monotonic seconds."""

    service: ServiceName
    key: AdapterKey | None
    kind: RequestKind
    caller: CallerId
    permit: RequestId | None
    deadline: float
    body: bytes
    stream: bool
    plain: PlainTarget | None

    @property
    def model(self) -> str:
        """Value of the ``model`` field in responses."""
        return str(self.key) if self.key is not None else self.service

    @property
    def fingerprint(self) -> Fingerprint:
        """SHA-256 over the length-prefixed service, adapter, version and call, then the body."""
        adapter, version = ("", "") if self.key is None else (self.key[1], str(self.key[2]))
        plain = "" if self.plain is None else f"{self.plain.method} {self.plain.path}"
        digest = hashlib.sha256()
        for part in (self.service, adapter, version, plain):
            data = part.encode()
            digest.update(len(data).to_bytes(8, "big") + data)
        digest.update(self.body)
        return Fingerprint(digest.digest())


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PermitCall:
    """A validated request for permits."""

    service: ServiceName
    key: AdapterKey | None
    kind: RequestKind
    caller: CallerId
    count: int


def bad_request(message: str) -> RequestError:
    """Return a ``bad_request`` error with outcome not run."""
    return not_run(ErrorCode.BAD_REQUEST, message)


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; raise ``bad_request`` for anything else."""
    try:
        value = json.loads(body.decode("utf-8"), parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise bad_request(f"the body is not JSON: {type(error).__name__}") from error
    if not isinstance(value, dict):
        raise bad_request("the body must be a JSON object")
    return value


def parse_completion(
    body: bytes, headers: Mapping[str, str], view: ConfigView, now: float
) -> CallerCall:
    """Validate a completion request."""
    data = parse_json_object(body)
    _check_completion_fields(data)
    key = _parse_model_field(data)
    permit = _parse_permit(headers)
    try:
        _check_key(key, view)
        kind = _find_kind(key.service, headers.get("x-request-kind"), view)
        deadline = now + _parse_deadline_s(headers, kind)
    except RequestError as error:
        raise in_doubt_if_permit(error, permit) from error
    return CallerCall(
        service=key.service,
        key=key,
        kind=kind,
        caller=_parse_caller(headers),
        permit=permit,
        deadline=deadline,
        body=body,
        stream=data.get("stream", False),
        plain=None,
    )


def parse_plain_call(
    service: str, target: PlainTarget, body: bytes, view: ConfigView, now: float
) -> CallerCall:
    """Validate a call to a plain service; ``target`` has all headers of the caller."""
    headers = target.headers
    permit = _parse_permit(headers)
    name = ServiceName(service)
    _check_path(target.path)
    try:
        service_object = view.service(name)
        if service_object is None:
            raise not_run(ErrorCode.UNKNOWN_SERVICE, f"no service {service!r}")
        if service_object.type is not ServiceType.PLAIN:
            raise bad_request(f"service {service!r} serves completions, not plain calls")
        kind = _find_kind(name, headers.get("x-request-kind"), view)
        deadline = now + _parse_deadline_s(headers, kind)
    except RequestError as error:
        raise in_doubt_if_permit(error, permit) from error
    forwarded = {key: value for key, value in headers.items() if key not in _UNFORWARDED_HEADERS}
    return CallerCall(
        service=name,
        key=None,
        kind=kind,
        caller=_parse_caller(headers),
        permit=permit,
        deadline=deadline,
        body=body,
        stream=False,
        plain=PlainTarget(target.method, target.path, forwarded),
    )


def parse_permit_call(body: bytes, headers: Mapping[str, str], view: ConfigView) -> PermitCall:
    """Validate a request for permits."""
    data = parse_json_object(body)
    service = _text_field(data, "service", required=True)
    adapter = _text_field(data, "adapter", required=False)
    count = data.get("count", 1)
    if isinstance(count, bool) or not isinstance(count, int) or not 1 <= count <= MAX_PERMITS:
        raise bad_request(f"count must be a whole number from 1 to {MAX_PERMITS}")
    name = ServiceName(service)
    service_object = view.service(name)
    if service_object is None:
        raise not_run(ErrorCode.UNKNOWN_SERVICE, f"no service {service!r}")
    key = None
    if service_object.type is ServiceType.ENGINE:
        key = _parse_model_text(f"{service}/{adapter}")
        _check_key(key, view)
    elif adapter:
        raise bad_request(f"service {service!r} has no adapters")
    kind = _find_kind(name, _text_field(data, "kind", required=False) or None, view)
    return PermitCall(name, key, kind, _parse_caller(headers), count)


def parse_id(text: str) -> RequestId:
    """Parse a request id; raise ``unknown_request`` if it is malformed."""
    if len(text) > MAX_NAME_LENGTH or not set(text) <= _NAME_CHARS:
        raise not_run(ErrorCode.UNKNOWN_REQUEST, "not a request id")
    try:
        parts = parse_request_id(text)
    except ValueError as error:
        raise not_run(ErrorCode.UNKNOWN_REQUEST, "not a request id") from error
    if parts.sequence > MAX_UINT64:
        raise not_run(ErrorCode.UNKNOWN_REQUEST, "not a request id")
    return RequestId(text)


def parse_sequence(text: str) -> int:
    """Parse the ``from`` parameter of a resumed answer."""
    if not (text.isascii() and text.isdigit()) or len(text) > 20 or int(text) > MAX_UINT64:
        raise bad_request("from must be a sequence number")
    return int(text)


def in_doubt_if_permit(error: RequestError, permit: RequestId | None) -> RequestError:
    """Return the error with outcome in doubt if the request has a permit, else unchanged.

    Only the owner of a permit knows whether it was used before, so an entry that refuses such a
    request locally cannot report that it did not run. The caller can send the same permit again.
    """
    if permit is None:
        return error
    info = error.info
    message = f"{info.message}; an earlier use of the permit is not excluded"
    return in_doubt(info.code, message)


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _check_completion_fields(data: Mapping[str, Any]) -> None:
    if not isinstance(data.get("stream", False), bool):
        raise bad_request("stream must be true or false")
    if not isinstance(data.get("prompt"), str):
        raise bad_request("prompt must be a string")
    limit = data.get("max_tokens", 1)
    if isinstance(limit, bool) or not isinstance(limit, int) or not 1 <= limit <= 2**31 - 1:
        raise bad_request("max_tokens must be a positive whole number")
    if data.get("n", 1) != 1:
        raise bad_request("n must be 1")


def _parse_model_field(data: Mapping[str, Any]) -> AdapterKey:
    return _parse_model_text(_text_field(data, "model", required=True))


def _parse_model_text(text: str) -> AdapterKey:
    try:
        return parse_model(text)
    except ValueError as error:
        message = "model must be <service>/<adapter>:<version>"
        raise bad_request(message) from error


def _text_field(data: Mapping[str, Any], name: str, *, required: bool) -> str:
    value = data.get(name, None if required else "")
    if not isinstance(value, str) or (required and not value):
        raise bad_request(f"{name} must be a string")
    if len(value) > MAX_NAME_LENGTH or not set(value) <= _NAME_CHARS:
        raise bad_request(f"{name} is too long or has characters that names cannot have")
    return value


def _check_key(key: AdapterKey, view: ConfigView) -> None:
    service = view.service(key.service)
    if service is None:
        raise not_run(ErrorCode.UNKNOWN_SERVICE, f"no service {key.service!r}")
    if service.type is not ServiceType.ENGINE:
        raise bad_request(f"service {key.service!r} takes plain calls, not completions")
    if not view.has_adapter(key.service, key.adapter):
        raise not_run(ErrorCode.UNKNOWN_ADAPTER, f"no adapter {key.adapter!r}")
    if key.version > MAX_UINT64 or view.version(key) is None:
        raise not_run(ErrorCode.UNKNOWN_VERSION, f"adapter {key.adapter!r} has no such version")


def _find_kind(service: ServiceName, name: str | None, view: ConfigView) -> RequestKind:
    if name is not None:
        _check_header("X-Request-Kind", name)
    kind = view.kind(service, KindName(name) if name else DEFAULT_KIND)
    if kind is None:
        message = f"service {service!r} has no request kind {name or DEFAULT_KIND!r}"
        raise not_run(ErrorCode.UNKNOWN_KIND, message)
    return kind


def _parse_caller(headers: Mapping[str, str]) -> CallerId:
    caller = headers.get("x-caller-id")
    if caller is None:
        return DEFAULT_CALLER
    _check_header("X-Caller-Id", caller)
    return CallerId(caller)


def _parse_permit(headers: Mapping[str, str]) -> RequestId | None:
    text = headers.get("idempotency-key")
    if text is None:
        return None
    try:
        return parse_id(text)
    except RequestError as error:
        raise bad_request("Idempotency-Key must be a permit") from error


def _parse_deadline_s(headers: Mapping[str, str], kind: RequestKind) -> float:
    text = headers.get("x-deadline-ms")
    if text is None:
        return kind.deadline_ms / 1000
    digits = text.removeprefix("-")
    if not (digits.isascii() and digits.isdigit()) or len(digits) > 12:
        raise bad_request("X-Deadline-Ms must be a whole number of milliseconds")
    if int(text) <= 0:
        raise not_run(ErrorCode.DEADLINE_EXPIRED, "the deadline has expired on arrival")
    return min(int(text), MAX_DEADLINE_MS) / 1000


def _check_header(name: str, value: str) -> None:
    if not value or len(value) > MAX_NAME_LENGTH or not set(value) <= _NAME_CHARS:
        raise bad_request(f"{name} is empty, too long or has characters that names cannot have")


def _check_path(path: str) -> None:
    """Reject dot segments, which could leave the base URL of the service."""
    decoded = path.partition("?")[0].lower().replace("%2e", ".").replace("%2f", "/")
    segments = decoded.replace("%5c", "/").replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        raise bad_request("the path must not have . or .. segments")
