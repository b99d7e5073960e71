"""Judges whether a configuration is current enough to tell valid keys; does no I/O."""

import dataclasses
import enum
from typing import final


class Freshness(enum.Enum):
    """How current the known configuration is."""

    CURRENT = "current"
    # Keys that are unknown here may be valid.
    BEHIND = "behind"
    # Keys that are known here may have been removed for too long.
    STALE = "stale"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoreContact:
    """What a gateway knows of the operator's table in the store."""

    # Monotonic time for which the store last confirmed the configuration, ``None`` if it never did.
    confirmed_at: float | None
    # Whether a later change than those that were read is known to exist.
    is_behind: bool


def judge_freshness(contact: StoreContact, max_age_s: float | None, now: float) -> Freshness:
    """Return how current the configuration is.

    ``max_age_s`` is the time for which keys stay valid without contact with the store, ``None`` if
    the last known configuration stays in force.
    """
    confirmed_at = contact.confirmed_at
    if max_age_s is not None and (confirmed_at is None or now - confirmed_at > max_age_s):
        return Freshness.STALE
    if contact.is_behind or confirmed_at is None:
        return Freshness.BEHIND
    return Freshness.CURRENT
