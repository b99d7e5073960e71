"""Loads settings from JSON with comments and reports all invalid settings at once."""

import dataclasses
import difflib
import enum
import ipaddress
import pathlib
import types
import typing
import urllib.parse
from typing import Any, TypeVar, final

import json5

from dragonflyhold.errors import UsageError

T = TypeVar("T")


@final
class SettingError(UsageError):
    """An invalid setting: its path, the value found and the values allowed."""

    def __init__(self, path: str, found: str, allowed: str) -> None:
        super().__init__(f"{path or 'settings'}: found {found}; allowed: {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


@final
class SettingsError(ExceptionGroup[SettingError], UsageError):
    """All invalid settings of one file."""

    def derive(  # type: ignore[override]
        self, excs: typing.Sequence[SettingError]
    ) -> "SettingsError":
        """Return a group of the same type with the errors ``excs``."""
        return SettingsError(self.message, list(excs))


def load_settings(path: pathlib.Path, model: type[T]) -> T:
    """Load a settings data class from a file; raise ``SettingsError`` with every problem."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = SettingError("", f"file {str(path)!r}: {error}", "a readable UTF-8 file")
        raise SettingsError(f"{path}: cannot be read", [problem]) from error
    return parse_settings(text, model, str(path))


def parse_settings(text: str, model: type[T], source: str = "settings") -> T:
    """Parse JSON with comments into a settings data class; raise ``SettingsError`` if invalid."""
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        problem = SettingError("", str(error), "JSON with comments")
        raise SettingsError(f"{source}: not valid", [problem]) from error
    problems: list[SettingError] = []
    value = _parse_dataclass("", data, model, problems)
    if problems:
        raise SettingsError(f"{source}: not valid", problems)
    return typing.cast(T, value)


def _parse_dataclass(
    path: str, data: object, model: type[Any], problems: list[SettingError]
) -> object:
    if not isinstance(data, dict):
        problems.append(SettingError(path, _describe(data), "an object"))
        return None
    fields = {field.name: field for field in dataclasses.fields(model)}
    hints = typing.get_type_hints(model)
    for name in data:
        if name not in fields:
            problems.append(_unknown_key(path, str(name), list(fields)))
    values: dict[str, object] = {}
    for name, field in fields.items():
        child = f"{path}.{name}" if path else name
        if name in data:
            values[name] = _parse_value(child, data[name], hints[name], field.metadata, problems)
        elif field.default is dataclasses.MISSING:
            problems.append(SettingError(child, "nothing", "a value; the setting is required"))
    if problems:
        return None
    return model(**values)


def _unknown_key(path: str, name: str, known: list[str]) -> SettingError:
    matches = difflib.get_close_matches(name, known, n=1)
    hint = f"did you mean {matches[0]!r}?" if matches else ", ".join(known)
    child = f"{path}.{name}" if path else name
    return SettingError(child, "an unknown setting", hint)


def _parse_value(
    path: str,
    data: object,
    hint: Any,
    metadata: typing.Mapping[str, Any] | types.MappingProxyType[Any, Any],
    problems: list[SettingError],
) -> object:
    if isinstance(hint, typing.NewType):
        hint = hint.__supertype__
    if dataclasses.is_dataclass(hint):
        return _parse_dataclass(path, data, typing.cast(type, hint), problems)
    if typing.get_origin(hint) is tuple:
        return _parse_list(path, data, hint, metadata, problems)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _parse_enum(path, data, hint, problems)
    if hint is bool:
        if isinstance(data, bool):
            return data
        problems.append(SettingError(path, _describe(data), "true or false"))
        return None
    if hint in (int, float):
        return _parse_number(path, data, hint, metadata, problems)
    return _parse_text(path, data, metadata, problems)


def _parse_list(
    path: str, data: object, hint: Any, metadata: Any, problems: list[SettingError]
) -> object:
    if not isinstance(data, list):
        problems.append(SettingError(path, _describe(data), "a list"))
        return None
    item_hint = typing.get_args(hint)[0]
    return tuple(
        _parse_value(f"{path}[{index}]", item, item_hint, metadata, problems)
        for index, item in enumerate(data)
    )


def _parse_enum(
    path: str, data: object, hint: type[enum.Enum], problems: list[SettingError]
) -> object:
    values = [member.value for member in hint]
    if data in values:
        return hint(data)
    problems.append(SettingError(path, _describe(data), ", ".join(map(str, values))))
    return None


def _parse_number(
    path: str, data: object, hint: type, metadata: Any, problems: list[SettingError]
) -> object:
    low, high = metadata.get("low"), metadata.get("high")
    noun = "a whole number" if hint is int else "a number"
    allowed = noun
    if low is not None and high is not None:
        allowed = f"{noun} from {low:g} to {high:g}"
    is_number = isinstance(data, int | float) and not isinstance(data, bool)
    if not is_number or (hint is int and not isinstance(data, int)):
        problems.append(SettingError(path, _describe(data), allowed))
        return None
    number = typing.cast(float, data)
    in_range = (low is None or number >= low) and (high is None or number <= high)
    # Comparisons with NaN are false, so NaN is rejected as out of range.
    if not in_range:
        problems.append(SettingError(path, _describe(data), allowed))
        return None
    return hint(number)


def _parse_text(path: str, data: object, metadata: Any, problems: list[SettingError]) -> object:
    if not isinstance(data, str):
        problems.append(SettingError(path, _describe(data), "a string"))
        return None
    choices = metadata.get("choices")
    if choices is not None and data not in choices:
        problems.append(SettingError(path, _describe(data), ", ".join(choices)))
    match metadata.get("form"):
        case "address" if not _is_address(data):
            allowed = "<IP address>:<port>, such as 127.0.0.1:8080"
            problems.append(SettingError(path, _describe(data), allowed))
        case "url" if not _is_url(data):
            problems.append(SettingError(path, _describe(data), "http://<IP address>:<port>"))
        case _:
            pass
    return data


def _is_address(text: str) -> bool:
    host, colon, port = text.rpartition(":")
    if not colon or not (port.isascii() and port.isdigit() and 0 <= int(port) <= 65_535):
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True


def _is_url(text: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    return parts.scheme in ("http", "https") and bool(parts.hostname) and port != 0


def _describe(data: object) -> str:
    match data:
        case None:
            return "null"
        case bool():
            return "true" if data else "false"
        case str() | int() | float():
            return repr(data)
        case list():
            return "a list"
        case _:
            return "an object"
