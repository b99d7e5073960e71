"""Messages between gateways and agents, and their msgpack encoding.

A gateway sends an agent its demand for adapters: waiting and running requests. An agent sends each
gateway the state of its engine. Both sides send absolute values, so messages are idempotent.

Builds of different age run side by side during a rolling restart. A gateway announces its protocol
version with each demand, at first on a new link; a new message or a changed meaning needs a higher
version. Fields may be added at the end of demands and heartbeats: older builds ignore them there.
The last field of a demand maps the names of optional fields to their values.
"""

import dataclasses
import reprlib
from collections.abc import Sequence
from typing import Any, final

import msgpack

from dragonflyhold.balancing import LoadRow, MemoryReport
from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.fairness import MAX_RANK, MAX_SHARES, AccountShare, AccountTag, Claim
from dragonflyhold.gateway.logs import describe
from dragonflyhold.gateway.message_fields import (
    count,
    data,
    hash_value,
    key,
    number,
    text,
    upstream_id,
)
from dragonflyhold.gateway.model import ModelAdapter, SoftwareVersion, UpstreamId
from dragonflyhold.gateway.stream_origins import StreamKey, StreamOrigin
from dragonflyhold.ids import ServiceName, Version
from dragonflyhold.platform.store import FIRST_ERA, StorePosition

_TAG_DEMAND, _TAG_ENGINE, _TAG_SUSPECTS, _TAG_AGENT_HEARTBEAT = 1, 2, 3, 4
_TAG_START, _TAG_GRANT, _TAG_LATE, _TAG_CRASHES, _TAG_CRASH_DIGEST = 5, 6, 7, 8, 9
_TAG_LIMITS, _TAG_LIMIT_REPORT, _TAG_PERMIT_REQUEST, _TAG_PERMIT_REPLY = 10, 11, 12, 13
_TAG_ORIGINS, _TAG_ORIGIN_QUERY, _TAG_ORIGIN_REPLY = 14, 15, 16
_TAG_TOKEN_REQUEST, _TAG_TOKEN_REPLY, _TAG_TOKEN_REPORT, _TAG_TOKEN_QUERY = 17, 18, 19, 20
# Names of optional fields of demands.
_ACCOUNTS, _LOADS = "accounts", "loads"
# Larger frames are rejected as invalid.
MAX_FRAME_BYTES = 1 << 20
# Version 2 added the announced gap and the load to heartbeats, pings to demands, and paced starts.
# Version 3 replaced suspects by crash records, and added the version to heartbeats.
# Version 4 added the limits that upstreams state.
# Version 5 added the origins of streams.
# Version 6 added the token limits of client accounts.
PROTOCOL_VERSION = 6
# Protocol versions from which on a peer understands crash records, limits of upstreams, origins of
# streams, and token limits of accounts.
CRASH_PROTOCOL = 3
LIMIT_PROTOCOL = 4
ORIGIN_PROTOCOL = 5
TOKEN_PROTOCOL = 6
NO_CHANGE = StorePosition(FIRST_ERA, 0)


class MessageError(DragonflyholdError):
    """Received data is not a valid message."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemand:
    """Current demand of one gateway for one adapter on one engine."""

    key: ModelAdapter
    # Oldest version that the gateway accepts.
    version: Version
    waiting: int
    # Total utility of the waiting requests.
    utility: float
    running: int
    # Total number of requests that the gateway has sent to the engine for this adapter.
    started: int
    # Time left to finish the load so that at least one waiting request is served in time.
    slack_s: float
    # The client accounts that wait, at most ``MAX_SHARES`` and one for the rest; empty under a
    # configuration without accounts.
    shares: Sequence[AccountShare] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DemandUpdate:
    """Demands that changed; also serves as the gateway's heartbeat, then without demands."""

    demands: Sequence[AdapterDemand]
    # Whether the agent should answer with a heartbeat at once.
    is_ping: bool = False
    protocol: int = PROTOCOL_VERSION
    # Position of the newest change of the operator's table that the gateway knows.
    change: StorePosition = NO_CHANGE
    # Loads that upstreams without an agent have stated, to be passed on to the other gateways.
    loads: Sequence[LoadRow] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineUpdate:
    """State of an engine; also serves as the agent's heartbeat.

    ``resident`` lists the adapters that can serve requests, with their versions, ``loading`` those
    being loaded, ``backlog`` those that requests wait for and that have no adapter slot yet.
    """

    start_time_ms: int
    # Id of that incarnation, ``None`` while it is unknown to the agent.
    upstream_id: UpstreamId | None
    resident: Sequence[tuple[ModelAdapter, Version]]
    loading: Sequence[ModelAdapter]
    backlog: Sequence[ModelAdapter]
    running: int
    waiting: int
    free_adapter_slots: int
    has_model: bool
    is_draining: bool
    # Whether the agent may send commands to the engine.
    can_load: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectUpdate:
    """Fingerprints of requests that were running when an upstream crashed, with crash counts.

    The counts are those of the gateway ``source``. Only gateways of an earlier build use it.
    """

    source: str
    suspects: Sequence[tuple[bytes, int]]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AgentHeartbeat:
    """Signals that an agent's VM is alive.

    ``gap_s`` is the longest time until the next message, ``None`` if the agent announces none.
    ``running`` and ``waiting`` are the engine's requests, ``None`` if unknown.
    """

    gap_s: float | None = None
    running: int | None = None
    waiting: int | None = None
    # Whether gateways must ask for the start of each stream.
    is_paced: bool = False
    # Position of the newest change of the operator's table that the agent knows.
    change: StorePosition = NO_CHANGE
    # Number of connected gateways.
    gateways: int = 0
    protocol: int = 1
    # Memory of the engine, ``None`` if it states none.
    memory: MemoryReport | None = None
    # Loads that upstreams without an agent have stated to gateways.
    loads: Sequence[LoadRow] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashRow:
    """What a process knows of one crash; see ``CrashRecord``."""

    crash: str
    # Time since the crash.
    age_s: float
    # Content and parts of the requests in flight.
    requests: Sequence[tuple[bytes, Sequence[bytes]]]
    sound: Sequence[bytes]
    was_serving: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashUpdate:
    """Crash records, or what is new in them; to be merged."""

    rows: Sequence[CrashRow]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CrashDigest:
    """Digest of all crash records that the sender knows.

    A gateway's digest is answered if the agent knows others: with the agent's records and digest. A
    gateway that knows more sends its own records.
    """

    digest: bytes


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """A gateway asks whether a request may start at the engine now.

    ``read_tokens`` and ``read_s`` tell how long the engine took to read an earlier prompt, zero if
    the gateway has no new measurement.
    """

    # Unique on its link.
    number: int
    tokens: int
    # Longest pause between two events of a stream that clients accept.
    max_pause_s: float
    # Time after which the request starts in any case.
    slack_s: float
    read_tokens: int = 0
    read_s: float = 0.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StartGrant:
    """An agent's answer to a ``StartRequest``: the request may start."""

    number: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LateStream:
    """A gateway tells that a stream of the engine paused for longer than clients accept."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LimitStatement:
    """What the answers of an upstream state about the requests that it takes from all gateways."""

    # Id of the incarnation; see ``Upstream.incarnation_id``.
    incarnation: str
    # Requests a second, ``None`` if the upstream no longer states a limit.
    limit_per_s: float | None
    # Time since the answer.
    age_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LimitUpdate:
    """An agent tells gateways of limits that others have seen."""

    statements: Sequence[LimitStatement]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """A gateway tells the agent that counts for an upstream of its limit and of its requests."""

    statement: LimitStatement
    # Ages of the requests that the gateway has sent there without a permit of the agent.
    sent_ages_s: Sequence[float]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A gateway asks whether it may send a request to a limited upstream now."""

    # Unique on its link.
    number: int
    report: LimitReport


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """An agent's answer to a ``PermitRequest``."""

    number: int
    # Time until a request is allowed; with 0 this one is, and is counted.
    wait_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OriginRow:
    """What began a stream."""

    key: StreamKey
    origin: StreamOrigin
    # Time since the stream's first event.
    age_s: float
    # Whether the incarnation was known to run at that time.
    is_sure: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OriginUpdate:
    """A gateway tells an agent what began streams, so that it is known after the gateway's end."""

    rows: Sequence[OriginRow]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OriginQuery:
    """A gateway asks an agent what began a stream, or the agent asks another gateway."""

    # Unique among the questions of the sender.
    number: int
    key: StreamKey
    # Name of the stream's route.
    route: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OriginReply:
    """The answer to an ``OriginQuery``; ``origin`` is ``None`` if the stream is not known."""

    number: int
    origin: StreamOrigin | None
    age_s: float = 0.0
    is_sure: bool = True


@final
@dataclasses.dataclass(frozen=True, slots=True)
class UsedTokens:
    """Tokens that a gateway used, or, if negative, that it was granted and left."""

    age_s: float
    tokens: float
    # Epoch of the agent that granted them, 0 if none did.
    source: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TokenReport:
    """A gateway tells an agent what it used of an account that the agent does not know."""

    account: str
    # Version of the configuration, and the tokens that it allows in ``held_s``; 0 if the gateway
    # knows none.
    version: int
    allowed: float
    held_s: float
    # Number of gateways, as far as known.
    gateways: int
    # Whether the gateway will ask this agent for tokens of the account.
    is_counter: bool
    # Age of the gateway's process.
    age_s: float
    used: Sequence[UsedTokens] = ()
    # Share of the limit that was used at most when the agent that counted before ended.
    seen_share: float | None = None
    # The most of the allowed tokens that are granted at once, ``None`` for all of them.
    burst: float | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A gateway asks for tokens of an account."""

    # Unique on its link.
    number: int
    # Tokens needed at once, and those that are of use soon.
    needed: int
    wanted: int
    report: TokenReport


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TokenReply:
    """An agent's answer to a ``TokenRequest``."""

    number: int
    # 0 if fewer than needed are left.
    tokens: int
    # Time until there is room for the needed tokens.
    wait_s: float
    # Why; the value of a ``Cause``.
    cause: str
    # Identifies the agent's process.
    epoch: int
    # Time until there is room after the requests that were refused lately.
    return_s: float = 0.0
    # Share of the limit that all gateways have used at most.
    used_share: float = 1.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TokenQuery:
    """An agent that begins to count for an account asks all gateways for a ``TokenReport``."""

    account: str
    epoch: int


Message = (
    DemandUpdate
    | EngineUpdate
    | SuspectUpdate
    | AgentHeartbeat
    | StartRequest
    | StartGrant
    | LateStream
    | CrashUpdate
    | CrashDigest
    | LimitUpdate
    | LimitReport
    | PermitRequest
    | PermitReply
    | OriginUpdate
    | OriginQuery
    | OriginReply
    | TokenRequest
    | TokenReply
    | TokenReport
    | TokenQuery
)


def encode(message: Message) -> bytes:
    """Return the msgpack encoding of a message."""
    match message:
        case DemandUpdate(demands, is_ping, protocol, change, loads):
            rows = [
                (*d.key, d.version, d.waiting, round(d.utility, 2), d.running, d.started, d.slack_s)
                for d in demands
            ]
            fields: tuple[Any, ...] = (
                _TAG_DEMAND,
                rows,
                protocol,
                is_ping,
                change.version,
                change.era,
                *_encode_optional(demands, loads),
            )
        case EngineUpdate():
            fields = (
                _TAG_ENGINE,
                message.start_time_ms,
                message.upstream_id,
                [(*key, version) for key, version in message.resident],
                list(message.loading),
                list(message.backlog),
                message.running,
                message.waiting,
                message.free_adapter_slots,
                message.has_model,
                message.is_draining,
                message.can_load,
            )
        case SuspectUpdate(source, suspects):
            fields = (_TAG_SUSPECTS, source, list(suspects))
        case AgentHeartbeat():
            fields = (
                _TAG_AGENT_HEARTBEAT,
                message.gap_s,
                message.running,
                message.waiting,
                message.is_paced,
                message.change.version,
                message.gateways,
                message.protocol,
                message.change.era,
                message.memory and (message.memory.used, message.memory.total),
                _encode_loads(message.loads),
            )
        case StartRequest():
            fields = (
                _TAG_START,
                message.number,
                message.tokens,
                message.max_pause_s,
                round(message.slack_s, 3),
                message.read_tokens,
                round(message.read_s, 4),
            )
        case StartGrant(number):
            fields = (_TAG_GRANT, number)
        case LateStream():
            fields = (_TAG_LATE,)
        case CrashUpdate(rows):
            fields = (
                _TAG_CRASHES,
                [(row.crash, row.age_s, row.requests, row.sound, row.was_serving) for row in rows],
            )
        case CrashDigest(digest):
            fields = (_TAG_CRASH_DIGEST, digest)
        case LimitUpdate(statements):
            fields = (_TAG_LIMITS, [_encode_statement(item) for item in statements])
        case LimitReport():
            fields = (_TAG_LIMIT_REPORT, *_encode_report(message))
        case PermitRequest(number, report):
            fields = (_TAG_PERMIT_REQUEST, number, *_encode_report(report))
        case PermitReply(number, wait_s):
            fields = (_TAG_PERMIT_REPLY, number, round(wait_s, 4))
        case OriginUpdate(origin_rows):
            fields = (
                _TAG_ORIGINS,
                [
                    (row.key, *_encode_origin(row.origin), round(row.age_s, 3), row.is_sure)
                    for row in origin_rows
                ],
            )
        case OriginQuery(number, stream, route):
            fields = (_TAG_ORIGIN_QUERY, number, stream, route)
        case OriginReply(number, origin, age_s, is_sure):
            known = (*_encode_origin(origin), round(age_s, 3), is_sure) if origin else ()
            fields = (_TAG_ORIGIN_REPLY, number, *known)
        case TokenRequest(number, needed, wanted, token_report):
            encoded = _encode_token_report(token_report)
            fields = (_TAG_TOKEN_REQUEST, number, needed, wanted, *encoded)
        case TokenReply(number, tokens, wait_s, cause, epoch, return_s, used_share):
            state = (round(wait_s, 3), round(return_s, 3), round(used_share, 3))
            fields = (_TAG_TOKEN_REPLY, number, tokens, cause, epoch, *state)
        case TokenReport():
            fields = (_TAG_TOKEN_REPORT, *_encode_token_report(message))
        case TokenQuery(account, epoch):
            fields = (_TAG_TOKEN_QUERY, account, epoch)
    packed: bytes = msgpack.packb(fields)
    return packed


def _encode_loads(loads: Sequence[LoadRow]) -> list[tuple[Any, ...]]:
    return [(row.incarnation, row.requests, row.slowness, round(row.age_s, 3)) for row in loads]


def _encode_optional(demands: Sequence[AdapterDemand], loads: Sequence[LoadRow]) -> tuple[Any, ...]:
    """Return the field with the optional fields of a demand update, none if there are none.

    ``accounts`` lists the shares of the demands that have some, by the position of the demand.
    """
    rows = [
        (position, [_encode_share(share) for share in demand.shares])
        for position, demand in enumerate(demands)
        if demand.shares
    ]
    optional: dict[str, Any] = {_ACCOUNTS: rows} if rows else {}
    if loads:
        optional[_LOADS] = _encode_loads(loads)
    return (optional,) if optional else ()


def _encode_share(share: AccountShare) -> tuple[Any, ...]:
    permille = round(1000 * share.need)
    return (share.claim.account, share.claim.rank, round(share.utility, 2), permille)


def _encode_statement(statement: LimitStatement) -> tuple[Any, ...]:
    return (statement.incarnation, statement.limit_per_s, round(statement.age_s, 3))


def _encode_report(report: LimitReport) -> tuple[Any, ...]:
    return (_encode_statement(report.statement), list(report.sent_ages_s))


def _encode_token_report(report: TokenReport) -> tuple[Any, ...]:
    return (
        report.account,
        report.version,
        report.allowed,
        report.held_s,
        report.gateways,
        report.is_counter,
        round(report.age_s, 3),
        [(round(row.age_s, 3), row.tokens, row.source) for row in report.used],
        report.seen_share,
        report.burst,
    )


def _encode_origin(origin: StreamOrigin) -> tuple[Any, ...]:
    return (origin.service, origin.software, origin.incarnation)


def decode(fields: Any) -> Message:
    """Return the message with the given unpacked fields; raise ``MessageError`` if invalid."""
    try:
        tag, *rest = fields
        match tag:
            case 1:
                return _decode_demands(*rest)
            case 2:
                return _decode_engine(*rest)
            case 3:
                source, suspects = rest
                return SuspectUpdate(
                    text(source), [(data(fingerprint), count(n)) for fingerprint, n in suspects]
                )
            case 4:
                return _decode_heartbeat(*rest)
            case 5:
                request, tokens, max_pause_s, slack_s, read_tokens, read_s = rest
                return StartRequest(
                    count(request),
                    count(tokens),
                    number(max_pause_s),
                    number(slack_s),
                    count(read_tokens),
                    number(read_s),
                )
            case 6:
                (request,) = rest
                return StartGrant(count(request))
            case 7:
                return LateStream()
            case 8:
                return CrashUpdate([_decode_crash(row) for row in rest[0]])
            case 9:
                return CrashDigest(data(rest[0]))
            case 10:
                return LimitUpdate([_decode_statement(row) for row in rest[0]])
            case 11:
                return _decode_report(*rest)
            case 12:
                request, *rest = rest
                return PermitRequest(count(request), _decode_report(*rest))
            case 13:
                request, wait_s = rest
                return PermitReply(count(request), number(wait_s))
            case 14:
                return OriginUpdate([_decode_origin_row(*row) for row in rest[0]])
            case 15:
                request, stream, route = rest
                return OriginQuery(count(request), StreamKey(hash_value(stream)), text(route))
            case 16:
                request, *known = rest
                if not known:
                    return OriginReply(count(request), None)
                *origin, age_s, is_sure = known
                return OriginReply(
                    count(request), _decode_origin(*origin), number(age_s), bool(is_sure)
                )
            case 17:
                request, needed, wanted, *report = rest
                return TokenRequest(
                    count(request), count(needed), count(wanted), _decode_token_report(*report)
                )
            case 18:
                request, granted, cause, epoch, wait_s, return_s, used_share, *_ = rest
                return TokenReply(
                    count(request),
                    count(granted),
                    number(wait_s),
                    text(cause),
                    count(epoch),
                    number(return_s),
                    number(used_share),
                )
            case 19:
                return _decode_token_report(*rest)
            case 20:
                account, epoch, *_ = rest
                return TokenQuery(text(account), count(epoch))
    except (TypeError, ValueError, LookupError, AttributeError) as error:
        raise MessageError(f"received fields are not a valid message: {describe(error)}") from error
    raise MessageError(f"received a message with unknown tag {reprlib.repr(tag)}")


def _decode_demands(
    rows: Sequence[Any],
    protocol: int = 1,
    is_ping: bool = False,
    change: int = 0,
    era: int = FIRST_ERA,
    optional: Any = None,
    *later: Any,
) -> DemandUpdate:
    del later
    named = optional if isinstance(optional, dict) else {}
    loads = tuple(_decode_load(*row) for row in named.get(_LOADS, ()))
    demands = [_decode_demand(*row) for row in rows]
    for position, by_account in named.get(_ACCOUNTS, ()):
        place = count(position)
        demands[place] = dataclasses.replace(
            demands[place], shares=[_decode_share(*row) for row in by_account[: MAX_SHARES + 1]]
        )
    position = StorePosition(count(era), count(change))
    return DemandUpdate(demands, bool(is_ping), count(protocol), position, loads)


def _decode_load(incarnation: Any, requests: Any, slowness: Any, age_s: Any) -> LoadRow:
    figure = number(slowness) if slowness is not None else None
    return LoadRow(text(incarnation), count(requests), figure, max(0.0, number(age_s)))


def _decode_demand(
    model: Any,
    adapter: Any,
    version: Any,
    waiting: Any,
    utility: Any,
    running: Any,
    started: Any,
    slack_s: Any,
) -> AdapterDemand:
    return AdapterDemand(
        key=key((model, adapter)),
        version=Version(count(version)),
        waiting=count(waiting),
        utility=number(utility),
        running=count(running),
        started=count(started),
        slack_s=number(slack_s),
    )


def _decode_share(
    account: Any, rank: Any, utility: Any, permille: Any, *later: Any
) -> AccountShare:
    del later
    claim = Claim(AccountTag(count(account)), min(count(rank), MAX_RANK))
    return AccountShare(claim, max(0.0, number(utility)), min(1000, count(permille)) / 1000)


def _decode_engine(
    start_time_ms: Any,
    incarnation: Any,
    resident: Any,
    loading: Any,
    backlog: Any,
    running: Any,
    waiting: Any,
    free_adapter_slots: Any,
    has_model: Any,
    is_draining: Any,
    can_load: Any,
) -> EngineUpdate:
    return EngineUpdate(
        start_time_ms=count(start_time_ms),
        upstream_id=upstream_id(incarnation),
        resident=[_decode_resident(*row) for row in resident],
        loading=[key(row) for row in loading],
        backlog=[key(row) for row in backlog],
        running=count(running),
        waiting=count(waiting),
        free_adapter_slots=count(free_adapter_slots),
        has_model=bool(has_model),
        is_draining=bool(is_draining),
        can_load=bool(can_load),
    )


def _decode_resident(model: Any, adapter: Any, version: Any) -> tuple[ModelAdapter, Version]:
    return key((model, adapter)), Version(count(version))


def _decode_heartbeat(
    gap_s: Any = None,
    running: Any = None,
    waiting: Any = None,
    is_paced: Any = False,
    change: Any = 0,
    gateways: Any = 0,
    protocol: Any = 1,
    era: Any = FIRST_ERA,
    memory: Any = None,
    loads: Sequence[Any] = (),
    *later: Any,
) -> AgentHeartbeat:
    del later
    return AgentHeartbeat(
        number(gap_s) if gap_s is not None else None,
        count(running) if running is not None else None,
        count(waiting) if waiting is not None else None,
        bool(is_paced),
        StorePosition(count(era), count(change)),
        count(gateways),
        count(protocol),
        MemoryReport(*map(count, memory)) if memory is not None else None,
        tuple(_decode_load(*row) for row in loads),
    )


def _decode_crash(row: Sequence[Any]) -> CrashRow:
    crash, age_s, requests, sound, was_serving = row
    return CrashRow(
        text(crash),
        number(age_s),
        [(data(content), tuple(data(part) for part in parts)) for content, parts in requests],
        [data(trait) for trait in sound],
        bool(was_serving),
    )


def _decode_origin(service: Any, software: Any, incarnation: Any) -> StreamOrigin:
    return StreamOrigin(
        ServiceName(text(service)),
        SoftwareVersion(text(software)) if software is not None else None,
        text(incarnation),
    )


def _decode_origin_row(stream: Any, *rest: Any) -> OriginRow:
    *origin, age_s, is_sure = rest
    key = StreamKey(hash_value(stream))
    return OriginRow(key, _decode_origin(*origin), number(age_s), bool(is_sure))


def _decode_report(statement: Sequence[Any], sent_ages_s: Sequence[Any]) -> LimitReport:
    return LimitReport(_decode_statement(statement), [number(age_s) for age_s in sent_ages_s])


def _decode_statement(row: Sequence[Any]) -> LimitStatement:
    incarnation, limit_per_s, age_s = row
    limit = number(limit_per_s) if limit_per_s is not None else None
    return LimitStatement(text(incarnation), limit, number(age_s))


def _decode_token_report(
    account: Any,
    version: Any,
    allowed: Any,
    held_s: Any,
    gateways: Any,
    is_counter: Any,
    age_s: Any,
    used: Sequence[Any],
    seen_share: Any,
    burst: Any = None,
    *later: Any,
) -> TokenReport:
    del later
    return TokenReport(
        text(account),
        count(version),
        number(allowed),
        number(held_s),
        count(gateways),
        bool(is_counter),
        number(age_s),
        [
            UsedTokens(number(row_age_s), number(tokens), count(source))
            for row_age_s, tokens, source in used
        ],
        number(seen_share) if seen_share is not None else None,
        number(burst) if burst is not None else None,
    )
