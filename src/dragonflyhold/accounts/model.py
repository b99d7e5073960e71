"""Data model of client accounts."""

import dataclasses
import enum
from typing import NewType, final

from dragonflyhold.errors import DragonflyholdError

AccountName = NewType("AccountName", str)
# SHA-256 of a key; the key itself is kept nowhere.
KeyDigest = NewType("KeyDigest", bytes)


class KeyRejection(enum.Enum):
    """Why a request's key was not accepted; values appear in metrics and logs."""

    MISSING = "missing"
    EMPTY = "empty"
    REPEATED = "repeated"
    OVERLONG = "overlong"
    UNKNOWN = "unknown"
    # Unknown here, but a later configuration exists, or the store has not been read yet.
    BEHIND = "behind"
    # The store has not confirmed the configuration for longer than keys may go unconfirmed.
    STALE = "stale"


class UnknownKeyError(DragonflyholdError):
    """A request carries no key that the configuration names, and its route requires one."""

    def __init__(self, rejection: KeyRejection) -> None:
        super().__init__(rejection.value)
        self.rejection = rejection


class UnconfirmedKeyError(DragonflyholdError):
    """Whether a request's key is valid can't be told at present."""

    def __init__(self, rejection: KeyRejection) -> None:
        super().__init__(rejection.value)
        self.rejection = rejection


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TokenLimit:
    """What an account may send over all gateways.

    ``rate_per_s`` and ``burst`` are in tokens, or in requests if ``counts_tokens`` is false. A
    request that states no tokens counts as ``plain_tokens``.
    """

    rate_per_s: float
    burst: float
    plain_tokens: int
    counts_tokens: bool = True


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account of the configuration, and the caller of its requests."""

    name: AccountName
    # 0 is the highest; goes before that of the route. ``None`` leaves the route's in force.
    priority: int | None = None
    limit: TokenLimit | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Anonymous:
    """The caller of a request without a valid key, on a route that allows it."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Unidentified:
    """Any caller under a configuration without accounts, which checks no keys."""


Caller = ClientAccount | Anonymous | Unidentified
