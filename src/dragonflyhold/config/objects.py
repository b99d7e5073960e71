"""Configuration objects that operators create, change and delete."""

import dataclasses
import enum
from typing import NamedTuple, final

from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    DataCentre,
    KindName,
    Region,
    Revision,
    ServiceName,
    UpstreamName,
)
from dragonflyhold.states import ServiceType, UpstreamMode


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service to which callers address requests."""

    name: ServiceName
    region: Region
    type: ServiceType
    # Empty for plain services.
    base_model: str = ""
    load_stall_weight: float = 1.0
    batch_efficiency_weight: float = 1.0


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One upstream of a service and the address of its sidecar."""

    name: UpstreamName
    service: ServiceName
    data_centre: DataCentre
    # host:port of the sidecar.
    sidecar_address: str
    checks_fencing: bool = False
    slots: int = 8
    batch_limit: int = 32
    mode: UpstreamMode = UpstreamMode.ACTIVE


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """A registered adapter; each of its versions is a separate object."""

    service: ServiceName
    name: AdapterName


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdapterVersion:
    """One registered version of an adapter."""

    key: AdapterKey
    # Path in the weight store.
    weights: str


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """Utility, deadline and delivery rules of one kind of request."""

    service: ServiceName
    name: KindName
    worth: float
    deadline_ms: int
    idempotent: bool
    batch: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """A daemon's configuration revision and the time since it was last known to be current."""

    revision: Revision
    age_s: float


ConfigObject = Service | Upstream | Adapter | AdapterVersion | RequestKind


class ObjectType(enum.StrEnum):
    """Type of a configuration object; operators use the values in commands and files."""

    SERVICE = "service"
    UPSTREAM = "upstream"
    ADAPTER = "adapter"
    VERSION = "version"
    KIND = "kind"


class ObjectKey(NamedTuple):
    """Identity of an object; list calls return objects in the order of their keys.

    ``service`` is empty for services and upstreams, whose names are globally unique. ``version``
    is 0 for all types except adapter versions.
    """

    type: ObjectType
    service: str
    name: str
    version: int = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """A stored object and the revision of the change that last wrote it."""

    object: ConfigObject
    revision: Revision


def key_of(value: ConfigObject) -> ObjectKey:
    """Return the identity of an object."""
    match value:
        case Service():
            return ObjectKey(ObjectType.SERVICE, "", value.name)
        case Upstream():
            return ObjectKey(ObjectType.UPSTREAM, "", value.name)
        case Adapter():
            return ObjectKey(ObjectType.ADAPTER, value.service, value.name)
        case AdapterVersion():
            key = value.key
            return ObjectKey(ObjectType.VERSION, key.service, key.adapter, key.version)
        case RequestKind():
            return ObjectKey(ObjectType.KIND, value.service, value.name)
