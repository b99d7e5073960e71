"""Converts the wire formats of the platform's services and clients to and from internal types.

Wire names are used only in this package. Some differ from the internal names: for example, ``born``
is the start time of an incarnation, ``zone`` a data centre, and ``coming`` the adapters being
loaded.
"""

import math
import re
import reprlib
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from dragonflyhold.accounts import ClientAccount, Unidentified
from dragonflyhold.balancing import MemoryReport
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
    ServerLoad,
    Service,
    ServiceShare,
    SoftwareVersion,
    Upstream,
    UpstreamId,
)
from dragonflyhold.gateway.numbers import parse_digits
from dragonflyhold.ids import AdapterName, DataCentre, ServiceName, Version
from dragonflyhold.platform.accounts import decode_accounts
from dragonflyhold.platform.fields import (
    DECODING_ERRORS,
    DecodeError,
    address,
    decode_error,
    integer,
    items,
    number,
    path,
    sendable_path,
    text,
    token,
)
from dragonflyhold.platform.store import StoredRow

Headers = Sequence[tuple[bytes, bytes]]

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-remaining"
EXPECTED_INSTANCE = b"expected-instance"
EXPECTED_VERSION = b"expected-version"
URGENCY = b"urgency-level"
LAST_EVENT_ID = b"last-event-id"
RESUMED_REQUEST = b"resumes"
# The platform also calls the signature of an upstream's response its stamp or MAC.
SIGNATURE = b"response-signature"
PROMPT_PARTS = b"prompt-prefix"
NOT_RUN = b"not-executed"
INSTANCE = b"instance-id"
SERVER_LOAD = b"server-load"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
API_KEY = b"api-key"
ACCOUNT = b"tenant"
_SECONDS = re.compile(rb"[0-9]+(\.[0-9]+)?")
# Set only by the gateway: values from a client must not reach an upstream.
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
# The same if the configuration has client accounts; an account's key is for the gateway alone.
_ACCOUNT_HEADERS = frozenset((API_KEY, ACCOUNT))
# Requests that an upstream may process at a time, far beyond any that exists.
MAX_SLOTS = 1_000_000
# Counts in the header with an upstream's load.
LOAD_COUNTS = 3
# Work that takes longer than this percentage of the usual time is not told apart from an error.
MAX_SLOWNESS_PERCENT = 100_000
# Larger figures of an engine's memory are kept as this one.
MAX_MEMORY_TOKENS = 2**48
# Higher limits are kept as this one, which no upstream reaches.
MAX_LIMIT_PER_S = 1e6
# Larger values in a client's headers are ignored like other invalid ones.
MAX_TOKENS = 100_000_000
MAX_TIME_LEFT_S = 1e6
# Engines list an adapter without a version if it never had a later one.
FIRST_VERSION = Version(1)


def decode_configuration(value: Any) -> Configuration:
    """Decode a configuration; raise ``DecodeError`` if any part is invalid."""
    try:
        routes: dict[str, list[Route]] = {}
        for fields in value["routes"]:
            route = _route(fields)
            routes.setdefault(route.host, []).append(route)
        for group in routes.values():
            group.sort(key=lambda route: -len(route.prefix))
        services = [_service(fields) for fields in value["services"]]
        return Configuration(
            version=_configuration_version(value["version"]),
            routes=routes,
            services={service.name: service for service in services},
            limits=_limits(value.get("limits") or {}),
            accounts=decode_accounts(value.get("tenants")),
        )
    except DECODING_ERRORS as error:
        raise decode_error("configuration", error) from error


def _configuration_version(value: Any) -> int:
    """Return a version; a float counts if it is not too large."""
    return integer(value) if isinstance(value, int) else int(number(value))


def _route(fields: Mapping[str, Any]) -> Route:
    kind = fields["kind"]
    is_stream = kind == "streaming"
    if kind == "safe":
        retry_safety = RetrySafety.IDEMPOTENT
    elif is_stream and fields.get("resumable"):
        retry_safety = RetrySafety.RESUMABLE
    else:
        retry_safety = RetrySafety.ONCE
    return Route(
        name=text(fields["name"]),
        host=text(fields["host"]).lower(),
        prefix=path(fields["prefix"]),
        retry_safety=retry_safety,
        is_stream=is_stream,
        timeout_s=number(fields["timeout_ms"], 1) / 1000,
        target_latency_s=number(fields.get("target_latency_ms") or fields["timeout_ms"], 1) / 1000,
        priority=int(number(fields.get("priority") or 0)),
        shares=_shares(fields),
        max_attempts=max(1, int(number(fields.get("max_attempts") or 1))),
        max_pause_s=number(fields.get("gap_target_ms") or 0) / 1000 or None,
        allows_anonymous=bool(fields.get("allow_anonymous")),
    )


def _shares(fields: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    split = items(fields.get("traffic_split"))
    split = split or [{"service": fields["service"], "weight": 1}]
    shares = tuple(
        ServiceShare(ServiceName(text(part["service"])), number(part["weight"])) for part in split
    )
    if len(shares) > 1 and not any(share.weight for share in shares):
        raise DecodeError("no service of a route has a weight")
    return shares


def _service(fields: Mapping[str, Any]) -> Service:
    engine = fields.get("engine")
    return Service(
        name=ServiceName(text(fields["name"])),
        health_path=sendable_path(fields.get("health_check_path") or "/health"),
        engine=_engine(engine) if engine else None,
    )


def _engine(fields: Mapping[str, Any]) -> EngineSpec:
    return EngineSpec(
        adapter_slots=int(number(fields["adapter_slots"])),
        models=tuple(ModelName(text(model["name"])) for model in fields["models"]),
    )


def _limits(fields: Mapping[str, Any]) -> IngressLimits:
    default = IngressLimits()
    return IngressLimits(
        header_bytes=int(number(fields.get("header_bytes") or default.header_bytes, 1)),
        body_bytes=int(number(fields.get("body_bytes") or default.body_bytes, 1)),
        header_timeout_s=number(fields.get("header_timeout_ms") or 3000, 1) / 1000,
        idle_timeout_s=number(fields.get("idle_timeout_ms") or 15000, 1) / 1000,
    )


def decode_upstream(key: str, fields: Any) -> Upstream:
    """Decode an entry of the registry; raise ``DecodeError`` if it is invalid.

    Each field that the platform names must be there; others are ignored.
    """
    try:
        # Not used, but an entry without them comes from another writer.
        number(fields["sequence"])
        number(fields["cold_remaining_ms"])
        return Upstream(
            upstream_id=UpstreamId(token(key)),
            service=ServiceName(text(fields["service"])),
            address=address(fields["address"]),
            data_centre=DataCentre(text(fields["zone"])),
            slots=integer(fields["slots"], 1, MAX_SLOTS),
            state=RegistrationState(text(fields["state"])),
            start_time_ms=integer(fields.get("born", 0)),
            adapters=_adapters(items(fields.get("models"))),
            software=SoftwareVersion(text(fields["version"])),
        )
    except DECODING_ERRORS as error:
        raise decode_error(f"upstream {reprlib.repr(key)}", error) from error


def find_upstream(
    rows: Sequence[StoredRow], wanted: Address, start_time_ms: int
) -> Upstream | None:
    """Return the only entry with an address and start time; ``None`` without or with several."""
    digits = str(start_time_ms).encode()
    found = []
    for row in rows:
        if digits not in row.value:
            continue
        try:
            upstream = decode_upstream(row.key, orjson.loads(row.value))
        except (DecodeError, ValueError):
            continue
        if (upstream.address, upstream.start_time_ms) == (wanted, start_time_ms):
            found.append(upstream)
    return found[0] if len(found) == 1 else None


def is_report(body: bytes) -> bool:
    """Return whether the body of an engine's response is a report of its state."""
    try:
        fields = orjson.loads(body)
    except ValueError:
        return False
    return isinstance(fields, dict) and "models" in fields


def decode_report(fields: Any) -> EngineReport:
    """Decode the state that an engine reports; raise ``DecodeError`` if it is invalid."""
    try:
        models = items(fields.get("models"))
        return EngineReport(
            busy=bool(fields.get("busy")),
            sequence=integer(fields["sequence"]),
            running=integer(fields.get("running") or 0),
            waiting=integer(fields.get("waiting") or 0),
            models=frozenset(ModelName(text(model["name"])) for model in models),
            adapters=_adapters(models),
            is_draining=fields.get("state") == RegistrationState.DRAINING.value,
            loading=dict(_parse_loading(entry) for entry in items(fields.get("coming"))),
            start_time_ms=integer(fields.get("born") or 0),
            memory=_memory(fields),
        )
    except DECODING_ERRORS as error:
        raise decode_error("report", error) from error


def _memory(fields: Any) -> MemoryReport | None:
    """Return what an engine states of its memory; odd values leave the report valid."""
    used, total = fields.get("kv_used"), fields.get("kv_total")
    if type(used) is not int or type(total) is not int or not used >= 0 or not total > 0:
        return None
    return MemoryReport(min(used, MAX_MEMORY_TOKENS), min(total, MAX_MEMORY_TOKENS))


def decode_adapter_version(value: Any) -> tuple[ModelAdapter, Version]:
    """Decode a row that announces a new version of an adapter."""
    try:
        key = ModelAdapter(ModelName(text(value["model"])), AdapterName(text(value["adapter"])))
        return key, Version(integer(value["version"]))
    except DECODING_ERRORS as error:
        raise decode_error("adapter version", error) from error


def operator_row_order(row: StoredRow) -> tuple[int, ...] | None:
    """Return a number that rises with each content of a row that the operator writes."""
    try:
        return (integer(orjson.loads(row.value)["version"]),)
    except DECODING_ERRORS:
        return None


def registry_row_order(row: StoredRow) -> tuple[int, ...] | None:
    """Return numbers that rise with each content that an upstream registers under one id."""
    try:
        fields = orjson.loads(row.value)
        upstream = decode_upstream(row.key, fields)
        is_draining = upstream.state is RegistrationState.DRAINING
        return upstream.start_time_ms, integer(fields["sequence"]), int(is_draining)
    except DECODING_ERRORS:
        return None


def _adapters(models: Sequence[Mapping[str, Any]]) -> dict[ModelAdapter, Version]:
    adapters: dict[ModelAdapter, Version] = {}
    for model in models:
        name = ModelName(text(model["name"]))
        for adapter, version in map(_parse_adapter_version, items(model.get("adapters"))):
            adapters[ModelAdapter(name, adapter)] = version
    return adapters


def _parse_adapter_version(value: str) -> tuple[AdapterName, Version]:
    name, _, version = value.partition("@")
    number = parse_digits(version) if version else FIRST_VERSION
    if number is None:
        raise DecodeError(f"{reprlib.repr(value)} has no valid version")
    return AdapterName(text(name)), Version(number)


def _parse_loading(value: str) -> tuple[ModelAdapter, Version]:
    model, _, rest = value.partition("/")
    name, version = _parse_adapter_version(rest)
    return ModelAdapter(ModelName(text(model)), name), version


def client_keys(headers: Headers) -> list[bytes]:
    """Return the values of all headers of a request that hold a client account's key."""
    return [value.strip(b" \t") for name, value in headers if name.lower() == API_KEY]


def request_id(headers: Mapping[bytes, bytes]) -> str:
    """Return the id of a client's request, empty without one; header names are in lower case."""
    return headers.get(REQUEST_ID, b"").decode("latin-1")


def decode_request(headers: Mapping[bytes, bytes]) -> RequestInfo:
    """Decode the headers of a client's request; their names must be in lower case.

    Invalid values are ignored, since the upstream validates the headers.
    """
    model, _, adapter = headers.get(b"model", b"").decode("latin-1").partition("/")
    prompt, _, output = headers.get(b"token-count", b"").partition(b",")
    last_event_id = headers.get(LAST_EVENT_ID)
    resumed_request = headers.get(RESUMED_REQUEST, b"").strip()
    name = ModelName(model) if model else None
    return RequestInfo(
        request_id=request_id(headers),
        time_left_s=_parse_milliseconds(headers.get(DEADLINE)),
        target=ModelAdapter(name, AdapterName(adapter)) if name and adapter else None,
        model=name,
        prompt_tokens=_parse_count(prompt),
        output_tokens=_parse_count(output),
        last_event_id=last_event_id.decode("latin-1") if last_event_id is not None else None,
        prompt_parts=_parse_parts(headers.get(PROMPT_PARTS, b"")),
        resumed_request_id=resumed_request.decode("latin-1") or None,
    )


def _parse_milliseconds(value: bytes | None) -> float | None:
    try:
        seconds = float(value) / 1000 if value is not None else math.nan
    except ValueError:
        return None
    return seconds if abs(seconds) <= MAX_TIME_LEFT_S else None


def _parse_parts(value: bytes) -> tuple[bytes, ...]:
    parts = (part.partition(b":")[0].strip().lower() for part in value.split(b","))
    return tuple(part for part in parts if part)


def _parse_count(value: bytes) -> int:
    number = parse_digits(value.strip())
    return number if number is not None and number <= MAX_TOKENS else 0


def upstream_headers(headers: Headers, options: SendOptions) -> list[tuple[bytes, bytes]]:
    """Return the headers to send to an upstream; ``headers`` must have no hop-by-hop headers."""
    resumed = options.resume_after is not None
    dropped = _SYSTEM_HEADERS
    if not isinstance(options.caller, Unidentified):
        dropped |= _ACCOUNT_HEADERS
    kept = [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and not (resumed and name.lower() == LAST_EVENT_ID)
    ]
    kept.append((b"Deadline-Remaining", b"%d" % max(1, int(options.time_left_s * 1000))))
    kept.append((b"Expected-Instance", options.upstream.encode("latin-1")))
    if options.urgency is not None:
        kept.append((b"Urgency-Level", b"%d" % options.urgency))
    if options.expected_version is not None:
        kept.append((b"Expected-Version", b"%d" % options.expected_version))
    if options.resume_after is not None:
        kept.append((b"Last-Event-Id", options.resume_after.encode("latin-1")))
    if isinstance(options.caller, ClientAccount):
        kept.append((b"Tenant", options.caller.name.encode("latin-1")))
    return kept


def encode_command(
    command: AdapterCommand, expected: int, holder: str, fencing_token: int
) -> dict[str, Any]:
    """Return the body of a command that is valid only at the engine's sequence ``expected``."""
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
    """Return whether an upstream's response states that the request did not run."""
    return head.status == 421 or NOT_RUN in head.fields


def is_authentic_success(head: Head) -> bool:
    """Return whether a success comes unaltered from an upstream: signed and not re-encoded."""
    return (
        200 <= head.status < 300
        and SIGNATURE in head.fields
        and b"content-encoding" not in head.fields
    )


def may_forward_failure(head: Head) -> bool:
    """Return whether an upstream's failure may be forwarded to the client unchanged.

    To a client, 429, 503 and 408 mean that its request did not run. An upstream may send them for a
    request that did run.
    """
    return head.status not in (429, 503, 408)


def expected_instance_headers(upstream_id: UpstreamId | None) -> list[tuple[bytes, bytes]]:
    """Return the header that restricts a call to one incarnation of an upstream."""
    return [(b"Expected-Instance", upstream_id.encode("latin-1"))] if upstream_id else []


def instance_id(head: Head) -> UpstreamId | None:
    """Return the id of the upstream that sent the response, if it is given and valid."""
    try:
        return UpstreamId(token(head.fields.get(INSTANCE, b"").decode("latin-1")))
    except DecodeError:
        return None


def server_load(head: Head) -> ServerLoad | None:
    """Return the load that an upstream reports, if it is given and valid.

    The first three figures are counts; the fourth, which not all upstreams state, is the time that
    work takes as a percentage of the usual one. An invalid fourth figure leaves the counts valid.
    A response with status 421 comes from another upstream.
    """
    if head.status == 421:
        return None
    parts = head.fields.get(SERVER_LOAD, b"").split(b",")
    if not LOAD_COUNTS <= len(parts) <= LOAD_COUNTS + 1:
        return None
    running, waiting, slots, *rest = (parse_digits(part.strip()) for part in parts)
    if running is None or waiting is None or slots is None:
        return None
    percent = rest[0] if rest else None
    is_valid = percent is not None and 0 < percent <= MAX_SLOWNESS_PERCENT
    return ServerLoad(running, waiting, slots, percent / 100 if percent and is_valid else None)


def server_limit(head: Head) -> float | None:
    """Return the requests a second that an upstream takes from all gateways, if it states them.

    A response with status 421 comes from another upstream.
    """
    value = head.fields.get(SERVER_LIMIT) if head.status != 421 else None
    try:
        limit = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return min(limit, MAX_LIMIT_PER_S) if math.isfinite(limit) and limit >= 0 else None


def states_no_limit(head: Head) -> bool:
    """Return whether a response shows that its upstream has no limit.

    Only signed successes are known to state each limit.
    """
    return SERVER_LIMIT not in head.fields and is_authentic_success(head)


def states_leaving(head: Head) -> bool:
    """Return whether an upstream states that it is about to end; any value but ``1`` does not."""
    return SERVER_LEAVING in head.fields and any(
        name.lower() == SERVER_LEAVING and value.strip() == b"1" for name, value in head.headers
    )


def turned_away_s(head: Head) -> float | None:
    """Return for how many seconds an upstream wants no request, ``None`` if it does not state it.

    Only a 503 states it, in decimal digits with or without a fraction; many digits may be infinite.
    Of several values the longest one holds.
    """
    if head.status != 503 or RETRY_AFTER not in head.fields:
        return None
    values = (value.strip() for name, value in head.headers if name.lower() == RETRY_AFTER)
    return max((float(value) for value in values if _SECONDS.fullmatch(value)), default=None)


def refusal_headers(retry_after_s: float) -> list[tuple[bytes, bytes]]:
    """Return the headers of a refusal by the gateway."""
    return [(b"Retry-After", b"%.2f" % retry_after_s), (b"Content-Type", b"text/plain")]
