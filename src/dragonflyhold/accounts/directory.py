"""Finds the client account of a request by its key; does no I/O."""

import hashlib
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import final

from dragonflyhold.accounts.freshness import Freshness
from dragonflyhold.accounts.model import (
    AccountName,
    Anonymous,
    Caller,
    ClientAccount,
    KeyDigest,
    KeyRejection,
    UnconfirmedKeyError,
    UnknownKeyError,
)
from dragonflyhold.accounts.problems import AccountProblem, ProblemSummary

# Longer keys are rejected without a look at them; no row of the store holds one.
MAX_KEY_BYTES = 65_536
_NO_PROBLEMS: Mapping[AccountProblem, ProblemSummary] = MappingProxyType({})


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest under which a key is kept."""
    return KeyDigest(hashlib.sha256(key).digest())


@final
class AccountDirectory:
    """The accounts of one version of the configuration."""

    def __init__(
        self,
        by_key: Mapping[KeyDigest, ClientAccount],
        accounts: Mapping[AccountName, ClientAccount] | None = None,
        problems: Mapping[AccountProblem, ProblemSummary] = _NO_PROBLEMS,
    ) -> None:
        if accounts is None:
            accounts = {account.name: account for account in by_key.values()}
        # All accounts by name, also those that no key belongs to.
        self.accounts = accounts
        # What of the configuration's accounts was ignored.
        self.problems = problems
        self._by_key = by_key

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._by_key)

    def holders(self) -> dict[KeyDigest, AccountName]:
        """Return the account of each key."""
        return {digest: account.name for digest, account in self._by_key.items()}

    def identify(
        self,
        keys: Sequence[bytes],
        allows_anonymous: bool,
        freshness: Freshness = Freshness.CURRENT,
    ) -> Caller:
        """Return the caller that sent ``keys``, the values of all its key headers.

        Raise ``UnknownKeyError`` unless there is one valid key or the route needs none. Raise
        ``UnconfirmedKeyError`` instead where a current configuration might decide otherwise.
        """
        found = self._find(keys)
        if isinstance(found, ClientAccount) and freshness is not Freshness.STALE:
            return found
        if allows_anonymous:
            return Anonymous()
        if isinstance(found, ClientAccount) or found is KeyRejection.UNKNOWN:
            match freshness:
                case Freshness.STALE:
                    raise UnconfirmedKeyError(KeyRejection.STALE)
                case Freshness.BEHIND:
                    raise UnconfirmedKeyError(KeyRejection.BEHIND)
        assert isinstance(found, KeyRejection)
        raise UnknownKeyError(found)

    def _find(self, keys: Sequence[bytes]) -> ClientAccount | KeyRejection:
        if not keys:
            return KeyRejection.MISSING
        if len(keys) > 1:
            return KeyRejection.REPEATED
        (key,) = keys
        if not key:
            return KeyRejection.EMPTY
        if len(key) > MAX_KEY_BYTES:
            return KeyRejection.OVERLONG
        return self._by_key.get(digest_key(key), KeyRejection.UNKNOWN)
