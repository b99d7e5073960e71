"""HTTP stand-ins for the platform and the upstreams, for tests and demos."""

from dragonflyhold.standins.base import Faults, StandIn
from dragonflyhold.standins.engine import EngineOptions, EngineStandIn
from dragonflyhold.standins.objects import ObjectStoreStandIn
from dragonflyhold.standins.plain import PlainServiceStandIn
from dragonflyhold.standins.table import TableStandIn
from dragonflyhold.standins.vms import VmListStandIn
from dragonflyhold.standins.weights import WeightStoreStandIn

__all__ = [
    "EngineOptions",
    "EngineStandIn",
    "Faults",
    "ObjectStoreStandIn",
    "PlainServiceStandIn",
    "StandIn",
    "TableStandIn",
    "VmListStandIn",
    "WeightStoreStandIn",
]
