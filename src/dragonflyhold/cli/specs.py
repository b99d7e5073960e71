"""Conversion between configuration objects and their JSON form for operators."""

import dataclasses
import enum
import json
from collections.abc import Mapping
from typing import Any, final

from dragonflyhold.config.codec import from_message, to_message
from dragonflyhold.config.objects import (
    Adapter,
    AdapterVersion,
    ConfigObject,
    ObjectType,
    RequestKind,
    Service,
    Upstream,
    key_of,
)
from dragonflyhold.errors import UsageError
from dragonflyhold.ids import AdapterKey, AdapterName, ServiceName, Version
from dragonflyhold.settings import SettingsError, parse_settings
from dragonflyhold.transport.schema import operator_pb2 as pb


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionSpec:
    """JSON form of an adapter version."""

    service: ServiceName
    adapter: AdapterName
    version: int
    weights: str = ""


_MODELS: dict[ObjectType, type] = {
    ObjectType.SERVICE: Service,
    ObjectType.UPSTREAM: Upstream,
    ObjectType.ADAPTER: Adapter,
    ObjectType.VERSION: VersionSpec,
    ObjectType.KIND: RequestKind,
}
# Fields that identify an object; a delete requires only these.
_KEY_FIELDS: dict[ObjectType, tuple[str, ...]] = {
    ObjectType.SERVICE: ("name",),
    ObjectType.UPSTREAM: ("name",),
    ObjectType.ADAPTER: ("service", "name"),
    ObjectType.VERSION: ("service", "adapter", "version"),
    ObjectType.KIND: ("service", "name"),
}


class SpecError(UsageError):
    """Raised for JSON that is not a valid object or operation."""


def parse_object(type_: ObjectType, fields: Mapping[str, Any], source: str) -> pb.ConfigObject:
    """Return the message of an object; raise ``SpecError`` listing every problem."""
    try:
        value: Any = parse_settings(json.dumps(fields), _MODELS[type_], source)
    except SettingsError as group:
        lines = [f"{source}: {problem}" for problem in group.exceptions]
        raise SpecError("\n".join(lines)) from group
    if isinstance(value, VersionSpec):
        key = AdapterKey(value.service, value.adapter, Version(value.version))
        return to_message(AdapterVersion(key=key, weights=value.weights))
    return to_message(value)


def parse_identity(type_: ObjectType, fields: Mapping[str, Any], source: str) -> pb.ConfigObject:
    """Return a message with the identifying fields of an object."""
    names = _KEY_FIELDS[type_]
    missing = [name for name in names if name not in fields]
    if missing:
        raise SpecError(f"{source}: missing keys: {', '.join(missing)}")
    message = pb.ConfigObject()
    target = getattr(message, type_.value)
    for name in names:
        try:
            setattr(target, name, fields[name])
        except (TypeError, ValueError) as error:
            raise SpecError(f"{source}.{name}: {error}") from error
    return message


def parse_operation(data: object, source: str) -> pb.Operation:
    """Return the message of ``{"put" | "delete": {<type>: {...}}, "expect_revision": n}``."""
    if not isinstance(data, dict) or len({"put", "delete"} & data.keys()) != 1:
        raise SpecError(f"{source}: exactly one of 'put' and 'delete' is required")
    unknown = sorted(data.keys() - {"put", "delete", "expect_revision"})
    if unknown:
        raise SpecError(f"{source}: unknown keys: {', '.join(unknown)}")
    verb = "put" if "put" in data else "delete"
    type_, fields = _parse_typed(data[verb], f"{source}.{verb}")
    path = f"{source}.{verb}.{type_.value}"
    operation = pb.Operation()
    if verb == "put":
        operation.put.CopyFrom(parse_object(type_, fields, path))
    else:
        operation.delete.CopyFrom(parse_identity(type_, fields, path))
    if "expect_revision" in data:
        expected = data["expect_revision"]
        if not isinstance(expected, int) or isinstance(expected, bool) or expected < 0:
            raise SpecError(f"{source}.expect_revision: a non-negative integer is required")
        operation.expected_revision = expected
    return operation


def format_object(message: pb.ConfigObject) -> dict[str, Any]:
    """Return ``{<type>: {...}, "revision": n}``; the inverse of ``parse_object``."""
    value = from_message(message)
    return {key_of(value).type.value: object_fields(value), "revision": message.revision}


def object_fields(value: ConfigObject) -> dict[str, Any]:
    """Return the fields of an object in their JSON form."""
    if isinstance(value, AdapterVersion):
        spec = VersionSpec(
            service=value.key.service,
            adapter=value.key.adapter,
            version=value.key.version,
            weights=value.weights,
        )
        return dataclasses.asdict(spec)
    fields = dataclasses.asdict(value)
    return {
        name: item.value if isinstance(item, enum.Enum) else item for name, item in fields.items()
    }


def _parse_typed(data: object, source: str) -> tuple[ObjectType, dict[str, Any]]:
    names = [type_.value for type_ in ObjectType]
    if not isinstance(data, dict) or len(data) != 1 or next(iter(data)) not in names:
        raise SpecError(f"{source}: one of {', '.join(names)} is required")
    name, fields = next(iter(data.items()))
    if not isinstance(fields, dict):
        raise SpecError(f"{source}.{name}: an object is required")
    return ObjectType(name), fields
