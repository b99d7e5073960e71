"""Builders of configuration objects and changes for tests."""

from collections.abc import Iterable

from dragonflyhold.config.codec import key_to_message, to_message
from dragonflyhold.config.objects import (
    Adapter,
    AdapterVersion,
    ConfigObject,
    ObjectKey,
    RequestKind,
    Service,
    Upstream,
    key_of,
)
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
from dragonflyhold.states import ServiceType
from dragonflyhold.transport.schema import operator_pb2 as pb


def service(name: str = "tapster-lm", region: str = "almaty") -> Service:
    return Service(
        name=ServiceName(name), region=Region(region), type=ServiceType.ENGINE, base_model="base"
    )


def plain_service(name: str = "ledger", region: str = "almaty") -> Service:
    return Service(name=ServiceName(name), region=Region(region), type=ServiceType.PLAIN)


def upstream(
    name: str, address: str, data_centre: str = "almaty-a", service_name: str = "tapster-lm"
) -> Upstream:
    return Upstream(
        name=UpstreamName(name),
        service=ServiceName(service_name),
        data_centre=DataCentre(data_centre),
        sidecar_address=address,
    )


def adapter(name: str, service_name: str = "tapster-lm") -> Adapter:
    return Adapter(service=ServiceName(service_name), name=AdapterName(name))


def version(
    name: str, number: int = 1, service_name: str = "tapster-lm", weights: str = ""
) -> AdapterVersion:
    key = AdapterKey(ServiceName(service_name), AdapterName(name), Version(number))
    return AdapterVersion(key=key, weights=weights or f"{service_name}/{name}/{number}.safetensors")


def kind(name: str = "redeem", service_name: str = "tapster-lm", worth: float = 2.0) -> RequestKind:
    return RequestKind(
        service=ServiceName(service_name),
        name=KindName(name),
        worth=worth,
        deadline_ms=2000,
        idempotent=False,
    )


def put(value: ConfigObject, expected: int | None = None) -> pb.Operation:
    return pb.Operation(put=to_message(value), expected_revision=expected)


def delete(value: ConfigObject | ObjectKey, expected: int | None = None) -> pb.Operation:
    key = value if isinstance(value, ObjectKey) else key_of(value)
    return pb.Operation(delete=key_to_message(key), expected_revision=expected)


def change(change_id: str, *operations: pb.Operation) -> pb.ChangeRequest:
    return pb.ChangeRequest(change_id=change_id, author="test", operations=operations)


def puts(values: Iterable[ConfigObject]) -> list[pb.Operation]:
    return [put(value) for value in values]
