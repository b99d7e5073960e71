"""Builds the directory of accounts from entries that may contradict each other; does no I/O.

Which entry holds depends on their order alone, so it is the same on all gateways.
"""

from collections.abc import Iterable
from typing import final

from dragonflyhold.accounts.directory import MAX_KEY_BYTES, AccountDirectory, digest_key
from dragonflyhold.accounts.model import AccountName, ClientAccount, KeyDigest
from dragonflyhold.accounts.problems import AccountProblem, ProblemSummary


@final
class DirectoryBuilder:
    """Collects accounts and keys; what can't hold is counted and left out."""

    def __init__(self) -> None:
        self._accounts: dict[AccountName, ClientAccount] = {}
        self._by_key: dict[KeyDigest, ClientAccount] = {}
        self._problems: dict[AccountProblem, ProblemSummary] = {}

    def note(self, problem: AccountProblem, account: str) -> None:
        """Count a problem at an account."""
        self._problems.setdefault(problem, ProblemSummary()).add(account)

    def add(self, account: ClientAccount, keys: Iterable[object]) -> None:
        """Add an account with its keys; a further entry of a known account adds keys only."""
        known = self._accounts.setdefault(account.name, account)
        if known is not account:
            self.note(AccountProblem.NAME_REPEATED, account.name)
        has_key = False
        for value in keys:
            key = _encode_key(value)
            if key is None:
                self.note(AccountProblem.KEY_INVALID, account.name)
                continue
            holder = self._by_key.setdefault(digest_key(key), known)
            if holder is known:
                has_key = True
            else:
                example = f"{account.name} (held by {holder.name})"
                self.note(AccountProblem.KEY_SHARED, example)
        if not has_key:
            self.note(AccountProblem.NO_KEYS, account.name)

    def build(self) -> AccountDirectory:
        """Return the directory of all that was added."""
        return AccountDirectory(self._by_key, self._accounts, self._problems)


def _encode_key(value: object) -> bytes | None:
    """Return a key as it arrives in a header, ``None`` if no header can carry it."""
    if not isinstance(value, str) or not value.isprintable() or value != value.strip(" "):
        return None
    key = value.encode()
    return key if 0 < len(key) <= MAX_KEY_BYTES else None
