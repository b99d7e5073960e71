"""Checks of the fields of rows and responses, which any writer may have left.

All functions raise ``DecodeError`` with a short text, whatever the size or depth of the value.
"""

import ipaddress
import reprlib
from typing import Any

from dragonflyhold.gateway.logs import describe
from dragonflyhold.gateway.model import Address
from dragonflyhold.gateway.numbers import parse_digits

# Names, hosts and paths have no limit of their own, but no row of the store holds more bytes.
MAX_TEXT_CHARACTERS = 65_536
# Ids of upstreams are keys of the store, which have this limit.
MAX_ID_CHARACTERS = 200
# Larger integers are not exact in all JSON implementations, and do not fit into all messages.
MAX_INTEGER = 2**53 - 1
# Times in milliseconds, sizes in bytes and counts.
MAX_NUMBER = 10**12
MAX_PORT = 65535
# What reading an invalid value raises; a value that is too deep can't be shown either.
DECODING_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


class DecodeError(ValueError):
    """Raised for platform data that does not conform to the platform's specification."""


def decode_error(subject: str, error: Exception) -> DecodeError:
    """Return the error to raise for data whose decoding raised one of ``DECODING_ERRORS``."""
    detail = str(error) if isinstance(error, DecodeError) else describe(error)
    return DecodeError(f"{subject}: {detail}")


def text(value: Any) -> str:
    """Return a name: a text that fits in a row, is not empty and has no control characters."""
    if isinstance(value, str) and 0 < len(value) <= MAX_TEXT_CHARACTERS and value.isprintable():
        return value
    raise DecodeError(f"{reprlib.repr(value)} is not a name")


def token(value: Any) -> str:
    """Return an id that a header and the store's key can carry: visible ASCII characters."""
    if len(text(value)) <= MAX_ID_CHARACTERS and _is_visible_ascii(value):
        return str(value)
    raise DecodeError(f"{reprlib.repr(value)} is not an id")


def path(value: Any) -> str:
    """Return the path of a request, or its beginning."""
    if text(value).startswith("/"):
        return str(value)
    raise DecodeError(f"{reprlib.repr(value)} is not a path")


def sendable_path(value: Any) -> str:
    """Return a path that can stand in the head of a request as it is."""
    if _is_visible_ascii(path(value)):
        return str(value)
    raise DecodeError(f"{reprlib.repr(value)} is not a path that a request can have")


def _is_visible_ascii(value: str) -> bool:
    return value.isascii() and " " not in value


def number(value: Any, low: float = 0) -> float:
    """Return a finite number from ``low`` that is not unreasonably large."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and low <= value <= MAX_NUMBER:
        return float(value)
    raise DecodeError(f"{reprlib.repr(value)} is not a number from {low} to {MAX_NUMBER}")


def integer(value: Any, low: int = 0, high: int = MAX_INTEGER) -> int:
    """Return an integer within bounds."""
    if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high:
        return value
    raise DecodeError(f"{reprlib.repr(value)} is not an integer from {low} to {high}")


def items(value: Any) -> list[Any]:
    """Return a list; an absent one is empty."""
    if value is None:
        return []
    if isinstance(value, list):
        return value
    raise DecodeError(f"{reprlib.repr(value)} is not a list")


def address(value: Any) -> Address:
    """Return the ``ip:port`` of a listener; host names are not accepted."""
    host, _, port = text(value).rpartition(":")
    ip = ipaddress.ip_address(host)
    number = parse_digits(port)
    if number is None or not 0 < number <= MAX_PORT:
        raise DecodeError(f"{reprlib.repr(value)} has no valid port")
    if "%" in host or ip.is_unspecified or ip.is_multicast:
        raise DecodeError(f"{reprlib.repr(value)} is not the address of a VM")
    return Address(value)
