"""Configuration objects that operators create and change."""

import dataclasses
from typing import final

from dragonflyhold.ids import (
    AdapterKey,
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
    """A service that callers name."""

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
    """One upstream of a service, with its sidecar."""

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
class AdapterVersion:
    """One registered version of an adapter."""

    key: AdapterKey
    # Path in the weight store.
    weights: str


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """What a kind of request is worth, and how it may be treated."""

    service: ServiceName
    name: KindName
    worth: float
    deadline_ms: int
    idempotent: bool
    batch: bool = False


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """The configuration revision of a daemon and how long ago it was known to be current."""

    revision: Revision
    age_s: float
