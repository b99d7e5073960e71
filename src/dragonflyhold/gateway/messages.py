"""Messages between gateways and agents, and their msgpack encoding.

A gateway tells an agent what it waits for and what it runs; an agent tells each gateway the state
of its engine. Both sides send absolute values, so that a repeated message changes nothing.
"""

import dataclasses
from collections.abc import Sequence
from typing import Any, final

import msgpack

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.gateway.model import ModelAdapter, ModelName, UpstreamId
from dragonflyhold.ids import AdapterName, Version

_DEMAND, _ENGINE, _SUSPECTS, _AGENT_HEARTBEAT = 1, 2, 3, 4
# A frame beyond this is not one of ours.
MAX_FRAME_BYTES = 1 << 20


class MessageError(DragonflyholdError):
    """Bytes of a peer that are not a message."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AdapterDemand:
    """What one gateway has for one adapter at one engine, now."""

    key: ModelAdapter
    # Oldest version that the gateway will use.
    version: Version
    waiting: int
    # Sum of the worth of the waiting requests.
    utility: float
    running: int
    # Requests handed over since the gateway started to use this connection.
    started: int
    # Seconds for which the newest waiting request can still be answered in time.
    slack_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DemandUpdate:
    """The demands that changed; also the gateway's heartbeat."""

    demands: Sequence[AdapterDemand]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineUpdate:
    """State of an engine; also the agent's heartbeat.

    ``resident`` lists adapters that a request may be sent for, with the version, ``loading`` those
    being loaded, ``backlog`` those that are waited for and have no place yet.
    """

    start_time_ms: int
    # Id of that lifetime, ``None`` while the agent does not know it.
    upstream_id: UpstreamId | None
    resident: Sequence[tuple[ModelAdapter, Version]]
    loading: Sequence[ModelAdapter]
    backlog: Sequence[ModelAdapter]
    running: int
    waiting: int
    free_adapter_slots: int
    has_model: bool
    is_draining: bool
    # Whether the agent may give orders.
    can_load: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectUpdate:
    """Requests of one gateway that were at a runner when it broke off, with their number."""

    source: str
    suspects: Sequence[tuple[bytes, int]]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AgentHeartbeat:
    """Says only that an agent's VM is alive."""


Message = DemandUpdate | EngineUpdate | SuspectUpdate | AgentHeartbeat


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    match message:
        case DemandUpdate(demands):
            rows = [
                (*d.key, d.version, d.waiting, round(d.utility, 2), d.running, d.started, d.slack_s)
                for d in demands
            ]
            fields: tuple[Any, ...] = (_DEMAND, rows)
        case EngineUpdate():
            fields = (
                _ENGINE,
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
            fields = (_SUSPECTS, source, list(suspects))
        case AgentHeartbeat():
            fields = (_AGENT_HEARTBEAT,)
    packed: bytes = msgpack.packb(fields)
    return packed


def decode(fields: Any) -> Message:
    """Return a message from unpacked fields; raise ``MessageError``."""
    try:
        tag, *rest = fields
        match tag:
            case 1:
                return DemandUpdate([_decode_demand(row) for row in rest[0]])
            case 2:
                start_time_ms, upstream_id, resident, loading, backlog, *rest = rest
                running, waiting, free_adapter_slots, has_model, is_draining, can_load = rest
                return EngineUpdate(
                    start_time_ms=start_time_ms,
                    upstream_id=UpstreamId(upstream_id) if upstream_id else None,
                    resident=[_decode_versioned_key(row) for row in resident],
                    loading=[_decode_key(row) for row in loading],
                    backlog=[_decode_key(row) for row in backlog],
                    running=running,
                    waiting=waiting,
                    free_adapter_slots=free_adapter_slots,
                    has_model=has_model,
                    is_draining=is_draining,
                    can_load=can_load,
                )
            case 3:
                source, suspects = rest
                return SuspectUpdate(
                    source, [(bytes(fingerprint), int(n)) for fingerprint, n in suspects]
                )
            case 4:
                return AgentHeartbeat()
    except (TypeError, ValueError, IndexError) as error:
        raise MessageError(f"peer: not a message: {error!r}") from error
    raise MessageError(f"peer: unknown message {tag!r}")


def _decode_demand(row: Sequence[Any]) -> AdapterDemand:
    model, adapter, version, waiting, utility, running, started, slack_s = row
    key = ModelAdapter(ModelName(model), AdapterName(adapter))
    return AdapterDemand(key, Version(version), waiting, utility, running, started, slack_s)


def _decode_versioned_key(row: Sequence[Any]) -> tuple[ModelAdapter, Version]:
    model, adapter, version = row
    return ModelAdapter(ModelName(model), AdapterName(adapter)), Version(version)


def _decode_key(row: Sequence[Any]) -> ModelAdapter:
    model, adapter = row
    return ModelAdapter(ModelName(model), AdapterName(adapter))
