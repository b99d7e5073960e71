"""Validation of a change against the current configuration; reports all problems at once."""

import ipaddress
import math
import re
from collections.abc import Iterator
from typing import final

from dragonflyhold.config.changes import Change, Operation, Problem, ProblemCode
from dragonflyhold.config.objects import (
    Adapter,
    AdapterVersion,
    ConfigObject,
    ObjectKey,
    ObjectType,
    RequestKind,
    Service,
    StoredObject,
    Upstream,
)
from dragonflyhold.config.state import ConfigState
from dragonflyhold.ids import Revision, ServiceName
from dragonflyhold.states import ServiceType

MAX_OPERATIONS = 20_000
MAX_SERVICES = 256
MAX_UPSTREAMS = 5_000
MAX_KINDS = 4_096
MAX_CATALOGUE_RECORDS = 1_000_000
MAX_PATH_CHARS = 512
MAX_SLOTS = 4_096
MAX_BATCH = 65_536
MAX_DEADLINE_MS = 7 * 86_400_000
MAX_UTILITY = 1e12
MAX_VERSION = 2**63 - 1

# Names must not contain the separators of request ids, <upstream>.<incarnation>.<sequence>, and of
# model names, <service>/<adapter>:<version>.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}\Z")
_ADAPTER_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}\Z")
_CHANGE_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}\Z")
_NAME_RULE = "1 to 63 letters, digits, '_' or '-', starting with a letter or digit"
_ADAPTER_NAME_RULE = "1 to 128 letters, digits, '.', '_' or '-', starting with a letter or digit"


def validate(change: Change, state: ConfigState) -> list[Problem]:
    """Return every problem that prevents the change from being applied to ``state``."""
    problems = _check_change(change)
    if len(change.operations) > MAX_OPERATIONS:
        return problems
    proposed = _ProposedState(state, change)
    seen: set[ObjectKey] = set()
    for index, operation in enumerate(change.operations):
        if operation.key in seen:
            message = f"{_describe(operation.key)} is written twice in this change"
            problems.append(Problem(index, ProblemCode.DUPLICATE_OBJECT, message))
        seen.add(operation.key)
        problems += (
            Problem(index, code, message) for code, message in _check_operation(operation, proposed)
        )
        problems += _check_expected_revision(index, operation, state)
    problems += _check_limits(proposed)
    return problems


def writes_of(change: Change, revision: Revision) -> dict[ObjectKey, StoredObject | None]:
    """Return the objects that an accepted change writes; ``None`` for deleted ones."""
    return {
        operation.key: None if operation.value is None else StoredObject(operation.value, revision)
        for operation in change.operations
    }


@final
class _ProposedState:
    """The state as it would be after the change."""

    def __init__(self, state: ConfigState, change: Change) -> None:
        self.state = state
        self._writes = {operation.key: operation.value for operation in change.operations}
        # Built on first use, because only changes to upstreams need it.
        self._addresses: dict[str, list[str]] | None = None

    def get(self, key: ObjectKey) -> ConfigObject | None:
        if key in self._writes:
            return self._writes[key]
        stored = self.state.get(key)
        return None if stored is None else stored.object

    def service(self, name: str) -> Service | None:
        value = self.get(ObjectKey(ObjectType.SERVICE, "", name))
        return value if isinstance(value, Service) else None

    def dependants(self, key: ObjectKey) -> Iterator[ObjectKey]:
        """Yield the existing objects that refer to ``key`` and remain after the change."""
        for dependant in _dependants(self.state, key):
            if self._writes.get(dependant, dependant) is not None:
                yield dependant

    def upstreams_at(self, address: str) -> list[str]:
        """Return the names of the upstreams with this sidecar address."""
        if self._addresses is None:
            self._addresses = {}
            for upstream in self._upstreams():
                self._addresses.setdefault(upstream.sidecar_address, []).append(upstream.name)
        return self._addresses.get(address, [])

    def count(self, type_: ObjectType) -> int:
        """Return the number of objects of a type that is not kept in the catalogue."""
        keys = {key for key in self.state.objects if key.type is type_}
        for key, value in self._writes.items():
            if key.type is type_:
                keys.discard(key) if value is None else keys.add(key)
        return len(keys)

    def count_catalogue(self) -> int:
        """Return an upper bound of the number of catalogue records."""
        added = sum(
            value is not None and key.type in (ObjectType.ADAPTER, ObjectType.VERSION)
            for key, value in self._writes.items()
        )
        return len(self.state.catalogue) + added

    def _upstreams(self) -> Iterator[Upstream]:
        for upstream in self.state.upstreams():
            if ObjectKey(ObjectType.UPSTREAM, "", upstream.name) not in self._writes:
                yield upstream
        for value in self._writes.values():
            if isinstance(value, Upstream):
                yield value


def _dependants(state: ConfigState, key: ObjectKey) -> Iterator[ObjectKey]:
    match key.type:
        case ObjectType.SERVICE:
            service = ServiceName(key.name)
            for upstream in state.upstreams_of(service):
                yield ObjectKey(ObjectType.UPSTREAM, "", upstream.name)
            for other in state.objects:
                if other.type is ObjectType.KIND and other.service == service:
                    yield other
            for entry in state.catalogue.entries(service):
                type_ = ObjectType.VERSION if entry.key.version else ObjectType.ADAPTER
                yield ObjectKey(type_, *entry.key)
        case ObjectType.ADAPTER:
            for entry in state.catalogue.entries(key.service, key.name):
                if entry.key.version:
                    yield ObjectKey(ObjectType.VERSION, *entry.key)
        case _:
            return


_Finding = tuple[ProblemCode, str]


def _check_change(change: Change) -> list[Problem]:
    problems: list[Problem] = []
    if not _CHANGE_ID.match(change.id):
        message = f"change id {change.id!r} is not {_ADAPTER_NAME_RULE}"
        problems.append(Problem(0, ProblemCode.BAD_CHANGE_ID, message))
    if not change.operations:
        problems.append(Problem(0, ProblemCode.EMPTY_CHANGE, "the change has no operations"))
    if len(change.operations) > MAX_OPERATIONS:
        message = f"{len(change.operations)} operations; at most {MAX_OPERATIONS} are allowed"
        problems.append(Problem(0, ProblemCode.CHANGE_TOO_LARGE, message))
    return problems


def _check_operation(operation: Operation, proposed: _ProposedState) -> Iterator[_Finding]:
    if operation.value is None:
        yield from _check_delete(operation.key, proposed)
        return
    match operation.value:
        case Service():
            yield from _check_service(operation.value, proposed)
        case Upstream():
            yield from _check_upstream(operation.value, proposed)
        case Adapter():
            yield from _check_name("adapter", operation.value.name, _ADAPTER_NAME)
            yield from _check_service_type(operation.value.service, proposed, ServiceType.ENGINE)
        case AdapterVersion():
            yield from _check_version(operation.value, proposed)
        case RequestKind():
            yield from _check_kind(operation.value, proposed)


def _check_delete(key: ObjectKey, proposed: _ProposedState) -> Iterator[_Finding]:
    if proposed.state.get(key) is None:
        yield ProblemCode.NOT_FOUND, f"{_describe(key)} does not exist"
    dependant = next(proposed.dependants(key), None)
    if dependant is not None:
        message = f"{_describe(key)} is still used by {_describe(dependant)}"
        yield ProblemCode.STILL_REFERENCED, message


def _check_service(value: Service, proposed: _ProposedState) -> Iterator[_Finding]:
    yield from _check_name("service", value.name)
    yield from _check_name("region", value.region)
    yield from _check_number("load_stall_weight", value.load_stall_weight, 0, MAX_UTILITY)
    yield from _check_number(
        "batch_efficiency_weight", value.batch_efficiency_weight, 0, MAX_UTILITY
    )
    if (value.type is ServiceType.ENGINE) != bool(value.base_model):
        message = "base_model must be set for engine services, and only for them"
        yield ProblemCode.BAD_VALUE, message
    yield from _check_text("base_model", value.base_model)
    stored = proposed.state.get(ObjectKey(ObjectType.SERVICE, "", value.name))
    if stored is not None and isinstance(stored.object, Service):
        # Freshness relies on the data centres of a region, and only engines have adapters.
        old = (stored.object.region, stored.object.type)
        if old != (value.region, value.type):
            message = f"the region and type of service {value.name!r} cannot change"
            yield ProblemCode.IMMUTABLE, message


def _check_upstream(value: Upstream, proposed: _ProposedState) -> Iterator[_Finding]:
    yield from _check_name("upstream", value.name)
    yield from _check_name("data_centre", value.data_centre)
    yield from _check_service_type(value.service, proposed, None)
    if not _is_socket_address(value.sidecar_address):
        message = f"sidecar_address {value.sidecar_address!r} is not <IP number>:<port>"
        yield ProblemCode.BAD_VALUE, message
    others = [name for name in proposed.upstreams_at(value.sidecar_address) if name != value.name]
    if others:
        message = f"sidecar_address {value.sidecar_address} is used by upstream {others[0]!r}"
        yield ProblemCode.ADDRESS_IN_USE, message
    yield from _check_number("slots", value.slots, 0, MAX_SLOTS)
    yield from _check_number("batch_limit", value.batch_limit, 1, MAX_BATCH)
    stored = proposed.state.get(ObjectKey(ObjectType.UPSTREAM, "", value.name))
    old = None if stored is None else stored.object
    if isinstance(old, Upstream) and old.service != value.service:
        message = f"the service of upstream {value.name!r} cannot change"
        yield ProblemCode.IMMUTABLE, message


def _check_version(value: AdapterVersion, proposed: _ProposedState) -> Iterator[_Finding]:
    service, adapter, version = value.key
    yield from _check_number("version", version, 1, MAX_VERSION)
    yield from _check_service_type(service, proposed, ServiceType.ENGINE)
    if proposed.get(ObjectKey(ObjectType.ADAPTER, service, adapter)) is None:
        message = f"adapter {service}/{adapter} does not exist"
        yield ProblemCode.UNKNOWN_REFERENCE, message
    if not value.weights:
        yield ProblemCode.BAD_VALUE, "weights must be set"
    yield from _check_text("weights", value.weights)
    stored = proposed.state.get(ObjectKey(ObjectType.VERSION, service, adapter, version))
    if stored is not None and stored.object != value:
        # Engines identify a loaded version by its number and would keep serving the old weights.
        message = f"the weights of {value.key} cannot change; register another version"
        yield ProblemCode.IMMUTABLE, message


def _check_kind(value: RequestKind, proposed: _ProposedState) -> Iterator[_Finding]:
    yield from _check_name("kind", value.name)
    yield from _check_service_type(value.service, proposed, None)
    yield from _check_number("worth", value.worth, 0, MAX_UTILITY)
    yield from _check_number("deadline_ms", value.deadline_ms, 1, MAX_DEADLINE_MS)


def _check_service_type(
    name: str, proposed: _ProposedState, type_: ServiceType | None
) -> Iterator[_Finding]:
    service = proposed.service(name)
    if service is None:
        yield ProblemCode.UNKNOWN_REFERENCE, f"service {name!r} does not exist"
    elif type_ is not None and service.type is not type_:
        message = f"service {name!r} is of type {service.type.value}, not {type_.value}"
        yield ProblemCode.WRONG_SERVICE_TYPE, message


def _check_name(label: str, name: str, pattern: re.Pattern[str] = _NAME) -> Iterator[_Finding]:
    if not pattern.match(name):
        rule = _NAME_RULE if pattern is _NAME else _ADAPTER_NAME_RULE
        yield ProblemCode.BAD_NAME, f"{label} name {name!r} is not {rule}"


def _check_text(label: str, text: str) -> Iterator[_Finding]:
    if len(text) > MAX_PATH_CHARS or not text.isprintable():
        message = f"{label} must be at most {MAX_PATH_CHARS} printable characters"
        yield ProblemCode.BAD_VALUE, message


def _check_number(label: str, number: float, minimum: float, maximum: float) -> Iterator[_Finding]:
    if not math.isfinite(number) or not minimum <= number <= maximum:
        yield ProblemCode.BAD_VALUE, f"{label} is {number:g}; allowed: {minimum:g} to {maximum:g}"


def _check_expected_revision(index: int, operation: Operation, state: ConfigState) -> list[Problem]:
    if operation.expected_revision is None:
        return []
    stored = state.get(operation.key)
    current = 0 if stored is None else stored.revision
    if current == operation.expected_revision:
        return []
    message = (
        f"{_describe(operation.key)} is at revision {current}, not {operation.expected_revision}"
    )
    return [Problem(index, ProblemCode.REVISION_CONFLICT, message, current)]


def _check_limits(proposed: _ProposedState) -> Iterator[Problem]:
    counts = (
        ("services", proposed.count(ObjectType.SERVICE), MAX_SERVICES),
        ("upstreams", proposed.count(ObjectType.UPSTREAM), MAX_UPSTREAMS),
        ("kinds", proposed.count(ObjectType.KIND), MAX_KINDS),
        ("adapters and versions", proposed.count_catalogue(), MAX_CATALOGUE_RECORDS),
    )
    for label, count, limit in counts:
        if count > limit:
            message = f"{count} {label} after this change; at most {limit} are allowed"
            yield Problem(0, ProblemCode.LIMIT_EXCEEDED, message)


def _is_socket_address(text: str) -> bool:
    host, colon, port = text.rpartition(":")
    if not colon or not (port.isascii() and port.isdigit() and 0 < int(port) <= 65_535):
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True


def _describe(key: ObjectKey) -> str:
    match key.type:
        case ObjectType.SERVICE | ObjectType.UPSTREAM:
            return f"{key.type.value} {key.name!r}"
        case ObjectType.VERSION:
            return f"version {key.service}/{key.name}:{key.version}"
        case _:
            return f"{key.type.value} {key.service}/{key.name}"
