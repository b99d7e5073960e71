"""Decodes the settings file that the platform provides on each VM.

Unknown fields are ignored. All problems of known fields are reported together.
"""

import dataclasses
import os
import pathlib
from collections.abc import Mapping
from typing import Any, final

import orjson

from dragonflyhold.errors import UsageError
from dragonflyhold.gateway.byte_budget import DEFAULT_MEMORY_BYTES
from dragonflyhold.gateway.model import Address
from dragonflyhold.ids import DataCentre, VmName
from dragonflyhold.ingress import DescriptorLimits
from dragonflyhold.ratelimits import QuotaBounds

# Environment variable with the path of the settings file.
PATH_VARIABLE = "DRAGONFLYHOLD_CONFIG"
# Part of a process's descriptors that is only for files.
FILE_DESCRIPTORS = 200
# Where keys lapse without contact with the store, and the settings do not tell after which time.
DEFAULT_MAX_KEY_AGE_S = 5.0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and retry budget of a deployment."""

    # Time within which a draining upstream must stop getting new requests.
    drain_s: float = 2.0
    # Time after the end of a disruption from which the limits of this class bind a process again.
    contact_s: float = 3.0
    # Time from SIGTERM until the process is killed.
    grace_s: float = 8.0
    # Time for which an old adapter version may be served after a new one is published.
    version_s: float = 5.0
    # Retries per request in the window, and the fixed allowance that is added.
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 56.0
    # Window of the token limits of client accounts, and what is tolerated beyond them.
    quota: QuotaBounds = QuotaBounds()
    # Time for which keys of client accounts stay valid without contact with the store; ``None`` if
    # the last known configuration stays in force.
    max_key_age_s: float | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Settings of a gateway or an agent."""

    vm: VmName
    ip: str
    data_centre: DataCentre
    store: Address
    # Listeners for clients and for the platform's readiness checks; absent on engine VMs.
    client_listener: Address | None
    ready_listener: Address | None
    # Listener on which other gateways read this gateway's snapshot of the store.
    peer_listener: Address | None
    # Peer listeners of some gateways; the list may be outdated, and the gateways may be down.
    seeds: tuple[Address, ...]
    # The engine on the same VM; absent on gateway VMs.
    engine: Address | None
    # Service of the engine, or empty.
    service: str
    first_internal_port: int
    bounds: Bounds
    # Whether the whole system starts for the first time, so that nothing began before.
    is_first_start: bool = False
    # Interval at which upstreams renew their entries; 0 if it is not known.
    renewal_s: float = 0.0
    # Memory with which the process is killed.
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    # Connections that the process accepts, by its limit on descriptors.
    descriptor_limits: DescriptorLimits = DescriptorLimits()

    @property
    def agent_port(self) -> int:
        """Return the port on which agents listen for gateways; it is the same on all VMs."""
        return self.first_internal_port


def load_settings(environment: Mapping[str, str] = os.environ) -> DaemonSettings:
    """Read the settings file named in the environment; raise ``UsageError`` with all problems."""
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise UsageError(f"{PATH_VARIABLE} is not set")
    return read_settings(pathlib.Path(path))


def read_settings(path: pathlib.Path) -> DaemonSettings:
    """Read a settings file; raise ``UsageError`` with all problems."""
    try:
        fields = orjson.loads(path.read_bytes())
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise UsageError(f"{path}: invalid JSON: {error}") from error
    if not isinstance(fields, dict):
        raise UsageError(f"{path}: the top level must be an object")
    return decode_settings(fields)


def decode_settings(fields: dict[str, Any]) -> DaemonSettings:
    """Validate and decode the settings; raise ``UsageError`` with all problems."""
    problems: list[str] = []
    listeners = _object(fields, "listen_addresses", problems)
    platform = _object(fields, "platform", problems)
    bounds = _object(fields, "bounds", problems)
    ports = fields.get("internal_port_range")
    if not (
        isinstance(ports, list)
        and len(ports) == 2
        and all(isinstance(port, int) and 0 < port < 65536 for port in ports)
    ):
        problems.append(f"internal_port_range: {ports!r} is not a list of two ports")
        ports = [1, 1]
    settings = DaemonSettings(
        vm=VmName(_string(fields, "node_name", problems)),
        ip=_string(fields, "ip", problems),
        data_centre=DataCentre(_string(fields, "zone", problems)),
        store=_address(platform.get("address"), "platform.address", problems),
        client_listener=_optional_address(listeners, "front", problems),
        ready_listener=_optional_address(listeners, "ready", problems),
        peer_listener=_optional_address(listeners, "control", problems),
        seeds=_addresses(fields.get("seeds") or [], problems),
        engine=_optional_address(fields, "app", problems),
        service=str(fields.get("service") or ""),
        first_internal_port=ports[0],
        bounds=_bounds(bounds, problems),
        is_first_start=fields.get("bootstrap") is True,
        renewal_s=_renewal_s(fields.get("heartbeat_ms")),
        memory_bytes=_memory_bytes(fields.get("limits"), problems),
        descriptor_limits=_descriptor_limits(fields.get("limits"), problems),
    )
    if problems:
        raise UsageError("settings: " + "; ".join(problems))
    return settings


def _bounds(fields: dict[str, Any], problems: list[str]) -> Bounds:
    default = Bounds()

    def number(name: str, fallback: float, unit: float) -> float:
        value = fields.get(name)
        if value is None:
            return fallback
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            problems.append(f"bounds.{name}: {value!r} is not a non-negative number")
            return fallback
        return value * unit

    def flag(name: str) -> bool:
        value = fields.get(name)
        if value is not None and not isinstance(value, bool):
            problems.append(f"bounds.{name}: {value!r} is not true or false")
        return value is True

    max_key_age_s = number("revoke_ms", DEFAULT_MAX_KEY_AGE_S, 0.001)
    return Bounds(
        drain_s=number("drain_ms", default.drain_s, 0.001),
        contact_s=number("contact_ms", default.contact_s, 0.001),
        grace_s=number("grace_s", default.grace_s, 1.0),
        version_s=number("version_ms", default.version_s, 0.001),
        retry_ratio=number("retry_budget_ratio", default.retry_ratio, 1.0),
        retry_window_s=number("budget_window_s", default.retry_window_s, 1.0),
        retry_slack=number("retry_budget_slack", default.retry_slack, 1.0),
        quota=QuotaBounds(
            # A window of 0 is none: the default holds.
            number("quota_window_s", 0.0, 1.0) or default.quota.window_s,
            number("quota_overage", default.quota.overage, 1.0),
            number("quota_slack", default.quota.slack, 1.0),
        ),
        max_key_age_s=max_key_age_s if flag("revoke_when_partitioned") else None,
    )


def _renewal_s(value: Any) -> float:
    """Return the interval of renewals in seconds, 0 without a valid one."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e9:
        return 0.0
    return value / 1000


def _memory_bytes(limits: Any, problems: list[str]) -> int:
    value = limits.get("memory_mb") if isinstance(limits, dict) else None
    if value is None:
        return DEFAULT_MEMORY_BYTES
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e9:
        problems.append(f"limits.memory_mb: {value!r} is not a positive number")
        return DEFAULT_MEMORY_BYTES
    return int(value * 1_000_000)


def _descriptor_limits(limits: Any, problems: list[str]) -> DescriptorLimits:
    value = limits.get("file_descriptors") if isinstance(limits, dict) else None
    if value is None:
        return DescriptorLimits()
    if isinstance(value, bool) or not isinstance(value, int) or not 0 < value < 1e9:
        problems.append(f"limits.file_descriptors: {value!r} is not a positive whole number")
        return DescriptorLimits()
    return DescriptorLimits.of_process(max(1, value - FILE_DESCRIPTORS))


def _object(fields: dict[str, Any], name: str, problems: list[str]) -> dict[str, Any]:
    value = fields.get(name)
    if not isinstance(value, dict):
        problems.append(f"{name}: {value!r} is not an object")
        return {}
    return value


def _string(fields: dict[str, Any], name: str, problems: list[str]) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        problems.append(f"{name}: {value!r} is not a non-empty string")
        return ""
    return value


def _optional_address(fields: dict[str, Any], name: str, problems: list[str]) -> Address | None:
    value = fields.get(name)
    return None if value is None else _address(value, name, problems)


def _addresses(values: Any, problems: list[str]) -> tuple[Address, ...]:
    if not isinstance(values, list):
        problems.append(f"seeds: {values!r} is not a list")
        return ()
    return tuple(_address(value, "seeds", problems) for value in values)


def _address(value: Any, name: str, problems: list[str]) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit():
        problems.append(f"{name}: {value!r} is not IP:PORT")
    return Address(str(value))
