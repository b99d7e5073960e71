"""Client accounts: who sent a request, and what the operator grants them."""

from dragonflyhold.accounts.directory import AccountDirectory, digest_key
from dragonflyhold.accounts.model import (
    AccountName,
    Anonymous,
    Caller,
    ClientAccount,
    KeyDigest,
    TokenLimit,
    Unidentified,
    UnknownKeyError,
)

__all__ = [
    "AccountDirectory",
    "AccountName",
    "Anonymous",
    "Caller",
    "ClientAccount",
    "KeyDigest",
    "TokenLimit",
    "Unidentified",
    "UnknownKeyError",
    "digest_key",
]
