"""Conversion of configuration objects to and from protobuf messages."""

from dragonflyhold.config.objects import (
    Adapter,
    AdapterVersion,
    ConfigObject,
    ObjectKey,
    ObjectType,
    RequestKind,
    Service,
    Upstream,
)
from dragonflyhold.errors import UsageError
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    DataCentre,
    KindName,
    Region,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.states import ServiceType, UpstreamMode
from dragonflyhold.transport.schema import operator_pb2 as pb

_SERVICE_TYPES = {
    ServiceType.ENGINE: pb.SERVICE_TYPE_ENGINE,
    ServiceType.PLAIN: pb.SERVICE_TYPE_PLAIN,
}
_SERVICE_TYPES_BY_NUMBER = {number: member for member, number in _SERVICE_TYPES.items()}
_MODES = {
    UpstreamMode.ACTIVE: pb.UPSTREAM_MODE_ACTIVE,
    UpstreamMode.DRAINING: pb.UPSTREAM_MODE_DRAINING,
}
_MODES_BY_NUMBER = {number: member for member, number in _MODES.items()}


class MessageError(UsageError):
    """Raised for a message that has no object, or an object with an unset enum field."""


def to_message(value: ConfigObject, revision: int = 0) -> pb.ConfigObject:
    """Return the protobuf message for an object."""
    message = pb.ConfigObject(revision=revision)
    match value:
        case Service():
            message.service.CopyFrom(_service_message(value))
        case Upstream():
            message.upstream.CopyFrom(_upstream_message(value))
        case Adapter():
            message.adapter.CopyFrom(pb.Adapter(service=value.service, name=value.name))
        case AdapterVersion():
            key = value.key
            message.version.CopyFrom(
                pb.AdapterVersion(
                    service=key.service,
                    adapter=key.adapter,
                    version=key.version,
                    weights=value.weights,
                )
            )
        case RequestKind():
            message.kind.CopyFrom(_kind_message(value))
    return message


def from_message(message: pb.ConfigObject) -> ConfigObject:
    """Return the object in a message; raise ``MessageError`` if there is none."""
    match message.WhichOneof("object"):
        case "service":
            return _parse_service(message.service)
        case "upstream":
            return _parse_upstream(message.upstream)
        case "adapter":
            adapter = message.adapter
            return Adapter(service=ServiceName(adapter.service), name=AdapterName(adapter.name))
        case "version":
            version = message.version
            return AdapterVersion(
                key=AdapterKey(
                    ServiceName(version.service),
                    AdapterName(version.adapter),
                    Version(version.version),
                ),
                weights=version.weights,
            )
        case "kind":
            return _parse_kind(message.kind)
        case _:
            raise MessageError("the operation names no object")


def key_from_message(message: pb.ConfigObject) -> ObjectKey:
    """Return the key of the object in a message; only the identifying fields are read."""
    match message.WhichOneof("object"):
        case "service":
            return ObjectKey(ObjectType.SERVICE, "", message.service.name)
        case "upstream":
            return ObjectKey(ObjectType.UPSTREAM, "", message.upstream.name)
        case "adapter":
            return ObjectKey(ObjectType.ADAPTER, message.adapter.service, message.adapter.name)
        case "version":
            version = message.version
            return ObjectKey(ObjectType.VERSION, version.service, version.adapter, version.version)
        case "kind":
            return ObjectKey(ObjectType.KIND, message.kind.service, message.kind.name)
        case _:
            raise MessageError("the operation names no object")


def key_to_message(key: ObjectKey, revision: int = 0) -> pb.ConfigObject:
    """Return a message that carries only the identifying fields."""
    message = pb.ConfigObject(revision=revision)
    match key.type:
        case ObjectType.SERVICE:
            message.service.name = key.name
        case ObjectType.UPSTREAM:
            message.upstream.name = key.name
        case ObjectType.ADAPTER:
            message.adapter.service = key.service
            message.adapter.name = key.name
        case ObjectType.VERSION:
            message.version.service = key.service
            message.version.adapter = key.name
            message.version.version = key.version
        case ObjectType.KIND:
            message.kind.service = key.service
            message.kind.name = key.name
    return message


def _service_message(value: Service) -> pb.Service:
    return pb.Service(
        name=value.name,
        region=value.region,
        type=_SERVICE_TYPES[value.type],
        base_model=value.base_model,
        load_stall_weight=value.load_stall_weight,
        batch_efficiency_weight=value.batch_efficiency_weight,
    )


def _parse_service(message: pb.Service) -> Service:
    if message.type not in _SERVICE_TYPES_BY_NUMBER:
        raise MessageError("service.type is not set; allowed: engine, plain")
    return Service(
        name=ServiceName(message.name),
        region=Region(message.region),
        type=_SERVICE_TYPES_BY_NUMBER[message.type],
        base_model=message.base_model,
        load_stall_weight=message.load_stall_weight,
        batch_efficiency_weight=message.batch_efficiency_weight,
    )


def _upstream_message(value: Upstream) -> pb.Upstream:
    return pb.Upstream(
        name=value.name,
        service=value.service,
        data_centre=value.data_centre,
        sidecar_address=value.sidecar_address,
        checks_fencing=value.checks_fencing,
        slots=value.slots,
        batch_limit=value.batch_limit,
        mode=_MODES[value.mode],
    )


def _parse_upstream(message: pb.Upstream) -> Upstream:
    if message.mode not in _MODES_BY_NUMBER:
        raise MessageError("upstream.mode is not set; allowed: active, draining")
    return Upstream(
        name=UpstreamName(message.name),
        service=ServiceName(message.service),
        data_centre=DataCentre(message.data_centre),
        sidecar_address=message.sidecar_address,
        checks_fencing=message.checks_fencing,
        slots=message.slots,
        batch_limit=message.batch_limit,
        mode=_MODES_BY_NUMBER[message.mode],
    )


def _kind_message(value: RequestKind) -> pb.RequestKind:
    return pb.RequestKind(
        service=value.service,
        name=value.name,
        worth=value.worth,
        deadline_ms=value.deadline_ms,
        idempotent=value.idempotent,
        batch=value.batch,
    )


def _parse_kind(message: pb.RequestKind) -> RequestKind:
    return RequestKind(
        service=ServiceName(message.service),
        name=KindName(message.name),
        worth=message.worth,
        deadline_ms=message.deadline_ms,
        idempotent=message.idempotent,
        batch=message.batch,
    )
