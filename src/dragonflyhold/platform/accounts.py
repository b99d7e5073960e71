"""Decodes the client accounts of a configuration, which the platform calls tenants.

An account, key, priority or limit that is not valid is left out by itself; the rest holds. No
error, log line or counter shows a key.
"""

from collections.abc import Mapping
from typing import Any

from dragonflyhold.accounts import (
    AccountDirectory,
    AccountName,
    AccountProblem,
    ClientAccount,
    DirectoryBuilder,
    TokenLimit,
)
from dragonflyhold.platform.fields import DecodeError, integer, number, text

# Tokens of a request that states none, where the configuration does not tell.
DEFAULT_PLAIN_TOKENS = 1
TOKENS_UNIT = "tokens"
# Units of a limit in requests; the platform rather omits the field.
_REQUEST_UNITS = (None, "requests")


def decode_accounts(value: Any) -> AccountDirectory | None:
    """Decode the accounts of a configuration, ``None`` if it has no such part.

    What is not valid is ignored and listed in ``AccountDirectory.problems``. If the accounts are no
    list at all, none is known: a configuration that states some never admits everyone.
    """
    if value is None:
        return None
    builder = DirectoryBuilder()
    if not isinstance(value, list):
        builder.note(AccountProblem.NO_LIST, "")
        return builder.build()
    for position, fields in enumerate(value):
        name = _name(fields)
        if name is None:
            builder.note(AccountProblem.NO_ACCOUNT, f"#{position}")
            continue
        priority, limit = _priority(fields, name, builder), _limit(fields, name, builder)
        builder.add(ClientAccount(name, priority, limit), _keys(fields, name, builder))
    return builder.build()


def _name(fields: Any) -> AccountName | None:
    """Return the name of an account, ``None`` if no header can carry it."""
    try:
        name = text(fields["name"]) if isinstance(fields, dict) else ""
    except (LookupError, DecodeError):
        return None
    return AccountName(name) if name and name.isascii() and name == name.strip(" ") else None


def _keys(fields: Mapping[str, Any], name: AccountName, builder: DirectoryBuilder) -> list[object]:
    keys = fields.get("api_keys")
    if isinstance(keys, list):
        return keys
    if keys is not None:
        builder.note(AccountProblem.KEY_INVALID, name)
    return []


def _priority(
    fields: Mapping[str, Any], name: AccountName, builder: DirectoryBuilder
) -> int | None:
    """Return the priority of an account; without a valid one that of the route holds."""
    value = fields.get("priority")
    if value is None:
        return None
    try:
        return integer(value)
    except DecodeError:
        builder.note(AccountProblem.PRIORITY_INVALID, name)
        return None


def _limit(
    fields: Mapping[str, Any], name: AccountName, builder: DirectoryBuilder
) -> TokenLimit | None:
    """Return the limit of an account, ``None`` without a rate that is valid.

    A burst that is not valid counts as none, so that the rate that is stated still holds.
    """

    def read(field: str) -> float:
        value = fields.get(field)
        try:
            return 0.0 if value is None else number(value)
        except DecodeError:
            builder.note(AccountProblem.LIMIT_INVALID, name)
            return 0.0

    unit = fields.get("unit")
    if unit != TOKENS_UNIT and unit not in _REQUEST_UNITS:
        builder.note(AccountProblem.LIMIT_INVALID, name)
    rate_per_s, burst, plain_tokens = read("rate_per_s"), read("burst"), read("plain_tokens")
    if not rate_per_s:
        return None
    return TokenLimit(
        rate_per_s=rate_per_s,
        burst=burst,
        plain_tokens=int(plain_tokens) or DEFAULT_PLAIN_TOKENS,
        counts_tokens=unit == TOKENS_UNIT,
    )
