"""Client accounts: who sent a request, and what the operator grants them."""

from dragonflyhold.accounts.builder import DirectoryBuilder
from dragonflyhold.accounts.directory import AccountDirectory, digest_key
from dragonflyhold.accounts.freshness import Freshness, StoreContact, judge_freshness
from dragonflyhold.accounts.model import (
    AccountName,
    Anonymous,
    Caller,
    ClientAccount,
    KeyDigest,
    KeyRejection,
    TokenLimit,
    UnconfirmedKeyError,
    Unidentified,
    UnknownKeyError,
)
from dragonflyhold.accounts.problems import AccountProblem, ProblemSummary

__all__ = [
    "AccountDirectory",
    "AccountName",
    "AccountProblem",
    "Anonymous",
    "Caller",
    "ClientAccount",
    "DirectoryBuilder",
    "Freshness",
    "KeyDigest",
    "KeyRejection",
    "ProblemSummary",
    "StoreContact",
    "TokenLimit",
    "UnconfirmedKeyError",
    "Unidentified",
    "UnknownKeyError",
    "digest_key",
    "judge_freshness",
]
