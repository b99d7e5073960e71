"""Derives the settings files of daemons from an example per kind of daemon."""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

import json5


def derive_settings(
    example: pathlib.Path, target: pathlib.Path, changes: Mapping[str, object]
) -> None:
    """Write ``target``, a copy of the example with the settings at some dotted paths replaced."""
    data = json5.loads(example.read_text(encoding="utf-8"))
    for path, value in changes.items():
        _set(data, path.split("."), value)
    target.write_text(json.dumps(data, indent=2) + "\n", encoding="utf-8")


def _set(data: dict[str, Any], path: list[str], value: object) -> None:
    for name in path[:-1]:
        data = data.setdefault(name, {})
    data[path[-1]] = value
