"""Checks of the fields of messages between gateways and agents.

A peer may pass on what it read elsewhere. All functions raise ``TypeError`` or ``ValueError``.
"""

import reprlib
from collections.abc import Sequence
from typing import Any

from dragonflyhold.gateway.model import ModelAdapter, ModelName, UpstreamId
from dragonflyhold.ids import AdapterName

# Counts, versions and times in milliseconds; all fit into a message again.
MAX_COUNT = 2**53 - 1
# Times in seconds, utilities and rates; times that never came are 1e9 s ago.
MAX_NUMBER = 1e12


def count(value: Any) -> int:
    """Return an integer that is not negative."""
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_COUNT:
        return value
    raise ValueError(f"{reprlib.repr(value)} is not a count")


def hash_value(value: Any) -> int:
    """Return a 64-bit hash."""
    if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 2**64:
        return value
    raise ValueError(f"{reprlib.repr(value)} is not a hash")


def number(value: Any) -> float:
    """Return a number that is not too large in either direction."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and -MAX_NUMBER <= value <= MAX_NUMBER:
        return float(value)
    raise ValueError(f"{reprlib.repr(value)} is not a number")


def text(value: Any) -> str:
    """Return a text."""
    if isinstance(value, str):
        return value
    raise TypeError(f"{reprlib.repr(value)} is not a text")


def data(value: Any) -> bytes:
    """Return a byte string."""
    if isinstance(value, bytes):
        return value
    raise TypeError(f"{reprlib.repr(value)} is not a byte string")


def upstream_id(value: Any) -> UpstreamId | None:
    """Return the id of an upstream, which is sent in headers; ``None`` without one."""
    if value is None or value == "":
        return None
    if text(value).isascii() and value.isprintable():
        return UpstreamId(value)
    raise ValueError(f"{reprlib.repr(value)} is not an id")


def key(row: Sequence[Any]) -> ModelAdapter:
    """Return an adapter."""
    model, adapter = row
    return ModelAdapter(ModelName(text(model)), AdapterName(text(adapter)))
