"""Decodes what the platform's services and clients say into the project's types.

Wire names stand only in this package. Where a wire name misleads, a comment gives the meaning.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Any

from dragonflyhold.gateway.http_client import Head
from dragonflyhold.gateway.model import (
    AdapterCommand,
    Address,
    Configuration,
    EngineReport,
    EngineSpec,
    IngressLimits,
    ModelAdapter,
    ModelName,
    RegistrationState,
    RequestInfo,
    RetrySafety,
    Route,
    SendOptions,
    Service,
    ServiceShare,
    Upstream,
    UpstreamId,
)
from dragonflyhold.ids import AdapterName, DataCentre, ServiceName, Version

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-remaining"
EXPECTED_INSTANCE = b"expected-instance"
EXPECTED_VERSION = b"expected-version"
URGENCY = b"urgency-level"
LAST_EVENT_ID = b"last-event-id"
# The wire calls the signature of a runner's answer its stamp or MAC.
SIGNATURE = b"response-signature"
NOT_RUN = b"not-executed"
INSTANCE = b"instance-id"
SERVER_LOAD = b"server-load"
# The system's to set: a client's values never reach a runner.
_SYSTEM_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECTED_INSTANCE,
        EXPECTED_VERSION,
        URGENCY,
        b"pin-duration",
        b"hold",
        b"cache-backup",
        b"kv-fetch",
        b"kv-from",
    )
)
# The default engine-side version of an adapter that was never renamed.
FIRST_VERSION = Version(1)


class DecodeError(ValueError):
    """Bytes of the platform that are not what its pages describe."""


def decode_configuration(value: Any) -> Configuration:
    """Decode a whole configuration; raise ``DecodeError`` if a part is not usable."""
    try:
        routes: dict[str, list[Route]] = {}
        for fields in value["routes"]:
            route = _route(fields)
            routes.setdefault(route.host, []).append(route)
        for group in routes.values():
            group.sort(key=lambda route: -len(route.prefix))
        services = [_service(fields) for fields in value["services"]]
        return Configuration(
            version=int(value["version"]),
            routes=routes,
            services={service.name: service for service in services},
            limits=_limits(value.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DecodeError(f"configuration: {error!r}") from error


def _route(fields: Mapping[str, Any]) -> Route:
    kind = fields["kind"]
    is_stream = kind == "streaming"
    if kind == "safe":
        retry_safety = RetrySafety.IDEMPOTENT
    elif is_stream and fields.get("resumable"):
        retry_safety = RetrySafety.RESUMABLE
    else:
        retry_safety = RetrySafety.ONCE
    split = fields.get("traffic_split") or [{"service": fields["service"], "weight": 1}]
    return Route(
        name=str(fields["name"]),
        host=str(fields["host"]).lower(),
        prefix=str(fields["prefix"]),
        retry_safety=retry_safety,
        is_stream=is_stream,
        timeout_s=float(fields["timeout_ms"]) / 1000,
        target_s=float(fields.get("target_latency_ms") or fields["timeout_ms"]) / 1000,
        priority=int(fields.get("priority") or 0),
        shares=tuple(
            ServiceShare(ServiceName(str(part["service"])), float(part["weight"])) for part in split
        ),
        max_attempts=max(1, int(fields.get("max_attempts") or 1)),
    )


def _service(fields: Mapping[str, Any]) -> Service:
    engine = fields.get("engine")
    return Service(
        name=ServiceName(str(fields["name"])),
        health_path=str(fields.get("health_check_path") or "/health"),
        engine=_engine(engine) if engine else None,
    )


def _engine(fields: Mapping[str, Any]) -> EngineSpec:
    return EngineSpec(
        adapter_slots=int(fields["adapter_slots"]),
        models=tuple(ModelName(str(model["name"])) for model in fields["models"]),
    )


def _limits(fields: Mapping[str, Any]) -> IngressLimits:
    default = IngressLimits()
    return IngressLimits(
        header_bytes=int(fields.get("header_bytes") or default.header_bytes),
        body_bytes=int(fields.get("body_bytes") or default.body_bytes),
        header_timeout_s=float(fields.get("header_timeout_ms") or 3000) / 1000,
        idle_timeout_s=float(fields.get("idle_timeout_ms") or 15000) / 1000,
    )


def decode_upstream(key: str, fields: Any) -> Upstream:
    """Decode an entry of the registry; raise ``DecodeError`` for one that names no runner."""
    try:
        slots, start_time_ms = fields["slots"], fields.get("born", 0)
        host, _, port = fields["address"].rpartition(":")
        texts = (fields["service"], fields["zone"], host, key)
        if not all(isinstance(text, str) and text for text in texts) or not port.isdigit():
            raise DecodeError(f"runner {key!r}: a field is empty or of another type")
        if not _is_whole(slots) or slots < 1 or not _is_whole(start_time_ms):
            raise DecodeError(f"runner {key!r}: slots or start time is not a whole number")
        return Upstream(
            upstream_id=UpstreamId(key),
            service=ServiceName(fields["service"]),
            address=Address(fields["address"]),
            data_centre=DataCentre(fields["zone"]),
            slots=slots,
            state=RegistrationState(fields["state"]),
            start_time_ms=start_time_ms,
            adapters=_adapters(fields.get("models") or []),
        )
    except DecodeError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DecodeError(f"runner {key!r}: {error!r}") from error


def decode_report(fields: Any) -> EngineReport:
    """Decode an engine's own report."""
    try:
        models = fields.get("models") or []
        return EngineReport(
            busy=bool(fields.get("busy")),
            sequence=int(fields["sequence"]),
            running=int(fields.get("running") or 0),
            waiting=int(fields.get("waiting") or 0),
            models=frozenset(ModelName(model["name"]) for model in models),
            adapters=_adapters(models),
            is_draining=fields.get("state") == RegistrationState.DRAINING.value,
            loading=dict(_loading(text) for text in fields.get("coming") or []),
            start_time_ms=int(fields.get("born") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DecodeError(f"report: {error!r}") from error


def decode_adapter_version(value: Any) -> tuple[ModelAdapter, Version]:
    """Decode the row that names a new version of an adapter."""
    try:
        key = ModelAdapter(ModelName(value["model"]), AdapterName(value["adapter"]))
        return key, Version(int(value["version"]))
    except (KeyError, TypeError, ValueError) as error:
        raise DecodeError(f"adapter version: {error!r}") from error


def _adapters(models: Sequence[Mapping[str, Any]]) -> dict[ModelAdapter, Version]:
    return {
        ModelAdapter(ModelName(model["name"]), name): version
        for model in models
        for name, version in map(_versioned, model.get("adapters") or [])
    }


def _versioned(text: str) -> tuple[AdapterName, Version]:
    name, _, version = text.partition("@")
    return AdapterName(name), Version(int(version)) if version else FIRST_VERSION


def _loading(text: str) -> tuple[ModelAdapter, Version]:
    model, _, rest = text.partition("/")
    name, version = _versioned(rest)
    return ModelAdapter(ModelName(model), name), version


def _is_whole(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def decode_request(headers: Mapping[bytes, bytes]) -> RequestInfo:
    """Decode the headers of a client's request, with names in lower case.

    Values that make no sense are left out: the runner judges them.
    """
    model, _, adapter = headers.get(b"model", b"").decode("latin-1").partition("/")
    prompt, _, output = headers.get(b"token-count", b"").partition(b",")
    last_event_id = headers.get(LAST_EVENT_ID)
    name = ModelName(model) if model else None
    return RequestInfo(
        request_id=headers.get(REQUEST_ID, b"").decode("latin-1"),
        time_left_s=_milliseconds(headers.get(DEADLINE)),
        target=ModelAdapter(name, AdapterName(adapter)) if name and adapter else None,
        model=name,
        prompt_tokens=_count(prompt),
        output_tokens=_count(output),
        last_event_id=last_event_id.decode("latin-1") if last_event_id is not None else None,
    )


def _milliseconds(value: bytes | None) -> float | None:
    try:
        number = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return number / 1000 if math.isfinite(number) else None


def _count(value: bytes) -> int:
    text = value.strip()
    return int(text) if text.isdigit() else 0


def upstream_headers(headers: Headers, options: SendOptions) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers for a runner; ``headers`` are free of hop-by-hop ones."""
    resumed = options.resume_after is not None
    kept = [
        (name, value)
        for name, value in headers
        if name.lower() not in _SYSTEM_HEADERS and not (resumed and name.lower() == LAST_EVENT_ID)
    ]
    kept.append((b"Deadline-Remaining", b"%d" % max(1, int(options.time_left_s * 1000))))
    kept.append((b"Expected-Instance", options.upstream.encode("latin-1")))
    if options.urgency is not None:
        kept.append((b"Urgency-Level", b"%d" % options.urgency))
    if options.expected_version is not None:
        kept.append((b"Expected-Version", b"%d" % options.expected_version))
    if options.resume_after is not None:
        kept.append((b"Last-Event-Id", options.resume_after.encode("latin-1")))
    return kept


def encode_command(
    command: AdapterCommand, expected: int, holder: str, fencing_token: int
) -> dict[str, Any]:
    """Return the body of an order that holds only at the sequence ``expected``."""
    body: dict[str, Any] = {
        "operation": command.kind.value,
        "model": command.model,
        "expected": expected,
        "holder": holder,
        "fencing_token": fencing_token,
    }
    if command.adapter is not None:
        body["adapter"] = command.adapter
    if command.version is not None:
        body["version"] = command.version
    return body


def is_not_run(head: Head) -> bool:
    """Whether a runner's answer states that it did not run the request."""
    return head.status == 421 or NOT_RUN in head.fields


def is_authentic_success(head: Head) -> bool:
    """Whether a success is a runner's own: signed, and with the body as the runner made it."""
    return (
        200 <= head.status < 300
        and SIGNATURE in head.fields
        and b"content-encoding" not in head.fields
    )


def may_forward_failure(head: Head) -> bool:
    """Whether a runner's failure may reach the client as it is.

    429, 503 and 408 promise a client that its request has not run, which this answer does not say.
    """
    return head.status not in (429, 503, 408)


def expected_instance_headers(upstream_id: UpstreamId | None) -> list[tuple[bytes, bytes]]:
    """Return the header that lets only one lifetime of a runner take a call."""
    return [(b"Expected-Instance", upstream_id.encode("latin-1"))] if upstream_id else []


def instance_id(head: Head) -> UpstreamId | None:
    """Return the id of the runner that answered, if it tells."""
    value = head.fields.get(INSTANCE)
    return UpstreamId(value.decode("latin-1")) if value else None


def server_load(head: Head) -> tuple[int, int] | None:
    """Return the running and the waiting requests that a runner tells, if it does."""
    parts = head.fields.get(SERVER_LOAD, b"").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]), int(parts[1])


def refusal_headers(retry_after_s: float) -> list[tuple[bytes, bytes]]:
    """Return the headers of a refusal of our own."""
    return [(b"Retry-After", b"%.2f" % retry_after_s), (b"Content-Type", b"text/plain")]
