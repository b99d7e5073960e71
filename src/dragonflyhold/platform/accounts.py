"""Decodes the client accounts of a configuration, which the platform calls tenants."""

from collections.abc import Mapping
from typing import Any

from dragonflyhold.accounts import (
    AccountDirectory,
    AccountName,
    ClientAccount,
    KeyDigest,
    TokenLimit,
    digest_key,
)
from dragonflyhold.platform.fields import integer, items, number, token

# Tokens of a request that states none, where the configuration does not tell.
DEFAULT_PLAIN_TOKENS = 1


def decode_accounts(value: Any) -> AccountDirectory | None:
    """Decode the accounts of a configuration, ``None`` if it has no such part.

    Raise one of ``DECODING_ERRORS`` if it is invalid. The first account that names a key holds it.
    """
    if value is None:
        return None
    by_key: dict[KeyDigest, ClientAccount] = {}
    for fields in items(value):
        account = _account(fields)
        for key in items(fields.get("api_keys")):
            by_key.setdefault(digest_key(token(key).encode("ascii")), account)
    return AccountDirectory(by_key)


def _account(fields: Mapping[str, Any]) -> ClientAccount:
    priority = fields.get("priority")
    return ClientAccount(
        name=AccountName(token(fields["name"])),
        priority=None if priority is None else integer(priority),
        limit=_limit(fields),
    )


def _limit(fields: Mapping[str, Any]) -> TokenLimit | None:
    rate_per_s = number(fields.get("rate_per_s") or 0)
    if not rate_per_s:
        return None
    return TokenLimit(
        rate_per_s=rate_per_s,
        burst=number(fields.get("burst") or 0),
        plain_tokens=integer(fields.get("plain_tokens") or DEFAULT_PLAIN_TOKENS),
        counts_tokens=fields.get("unit") == "tokens",
    )
