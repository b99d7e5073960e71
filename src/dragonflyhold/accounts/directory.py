"""Finds the client account of a request by its key; does no I/O."""

import hashlib
from collections.abc import Mapping, Sequence
from typing import final

from dragonflyhold.accounts.model import (
    Anonymous,
    Caller,
    ClientAccount,
    KeyDigest,
    UnknownKeyError,
)

# Longer keys are rejected without a look at them.
MAX_KEY_BYTES = 200


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest under which a key is kept."""
    return KeyDigest(hashlib.sha256(key).digest())


@final
class AccountDirectory:
    """The accounts of one version of the configuration."""

    def __init__(self, by_key: Mapping[KeyDigest, ClientAccount]) -> None:
        self._by_key = by_key

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._by_key)

    def identify(self, keys: Sequence[bytes], allows_anonymous: bool) -> Caller:
        """Return the caller that sent ``keys``, the values of all its key headers.

        Raise ``UnknownKeyError`` unless there is one valid key or the route needs none.
        """
        if len(keys) == 1 and 0 < len(keys[0]) <= MAX_KEY_BYTES:
            account = self._by_key.get(digest_key(keys[0]))
            if account is not None:
                return account
        if allows_anonymous:
            return Anonymous()
        raise UnknownKeyError(f"{len(keys)} keys")
