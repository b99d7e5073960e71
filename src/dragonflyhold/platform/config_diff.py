"""Compares two configurations; does no I/O and never shows a key of a client account."""

import dataclasses
import enum
from collections.abc import Iterator, Mapping
from typing import Any, final

from dragonflyhold.accounts import AccountName, KeyDigest
from dragonflyhold.platform.accounts import decode_accounts

_SECTIONS = {"routes": "route", "services": "service", "tenants": "account"}
# Fields of an account whose values are shown; any other one could hold keys.
_ACCOUNT_FIELDS = ("priority", "unit", "plain_tokens", "rate_per_s", "burst")


class Change(enum.Enum):
    """What happens to a part of the configuration."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A part that differs; ``field``, ``old`` and ``new`` are set for changed parts."""

    change: Change
    subject: str
    field: str = ""
    old: Any = None
    new: Any = None


def compare_configurations(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Difference]:
    """Return the differences between two configurations, by the names of their parts."""
    differences: list[Difference] = []
    for section, kind in _SECTIONS.items():
        differences += _compare_sections(kind, _by_name(old, section), _by_name(new, section))
    differences += _compare_keys(old, new)
    tops = [
        {name: value for name, value in fields.items() if name not in _SECTIONS}
        for fields in (old, new)
    ]
    return [*_compare_values("configuration", "", *tops), *differences]


def _by_name(fields: Mapping[str, Any], section: str) -> dict[str, dict[str, Any]]:
    """Return the parts of a section that have a name; the first one of a name counts."""
    parts = fields.get(section)
    named: dict[str, dict[str, Any]] = {}
    for part in parts if isinstance(parts, list) else []:
        if isinstance(part, dict) and isinstance(part.get("name"), str):
            shown = _ACCOUNT_FIELDS if section == "tenants" else part
            named.setdefault(part["name"], {name: part[name] for name in shown if name in part})
    return named


def _compare_sections(
    kind: str, old: Mapping[str, dict[str, Any]], new: Mapping[str, dict[str, Any]]
) -> Iterator[Difference]:
    for name in [*old, *(name for name in new if name not in old)]:
        subject = f"{kind} {name}"
        if name not in new:
            yield Difference(Change.REMOVED, subject)
        elif name not in old:
            yield Difference(Change.ADDED, subject)
        else:
            yield from _compare_values(subject, "", old[name], new[name])


def _compare_values(subject: str, field: str, old: Any, new: Any) -> Iterator[Difference]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in [*old, *(name for name in new if name not in old)]:
            inner = f"{field}.{name}" if field else str(name)
            yield from _compare_values(subject, inner, old.get(name), new.get(name))
    elif old != new:
        yield Difference(Change.CHANGED, subject, field, old, new)


def _compare_keys(old: Mapping[str, Any], new: Mapping[str, Any]) -> Iterator[Difference]:
    """Yield the numbers of keys that accounts get and lose."""
    before, after = _holders(old), _holders(new)
    added: dict[str, int] = {}
    removed: dict[str, int] = {}
    moved: dict[tuple[str, str], int] = {}
    for key in before.keys() | after.keys():
        holder, next_holder = before.get(key), after.get(key)
        if holder is None and next_holder is not None:
            added[next_holder] = added.get(next_holder, 0) + 1
        elif next_holder is None and holder is not None:
            removed[holder] = removed.get(holder, 0) + 1
        elif holder is not None and next_holder is not None and holder != next_holder:
            moved[holder, next_holder] = moved.get((holder, next_holder), 0) + 1
    for name, count in sorted(added.items()):
        yield Difference(Change.CHANGED, f"account {name}", "keys added", None, count)
    for name, count in sorted(removed.items()):
        yield Difference(Change.CHANGED, f"account {name}", "keys removed", None, count)
    for (name, next_name), count in sorted(moved.items()):
        field = f"keys moved to {next_name}"
        yield Difference(Change.CHANGED, f"account {name}", field, None, count)


def _holders(fields: Mapping[str, Any]) -> dict[KeyDigest, AccountName]:
    directory = decode_accounts(fields.get("tenants"))
    return directory.holders() if directory is not None else {}
