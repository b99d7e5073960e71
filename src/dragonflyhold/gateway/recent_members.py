"""Members of groups, with those that have left lately; does no I/O."""

from collections.abc import Hashable
from typing import Generic, TypeVar, final

Group = TypeVar("Group", bound=Hashable)
Member = TypeVar("Member", bound=Hashable)

# Time after which a member that has left is forgotten.
FORGET_S = 120.0


@final
class RecentMembers(Generic[Group, Member]):
    """Counts how often each member is in a group; times are monotonic seconds."""

    def __init__(self) -> None:
        self._counts: dict[Group, dict[Member, int]] = {}
        self._left_at: dict[Group, dict[Member, float]] = {}

    def add(self, group: Group, member: Member) -> None:
        """Add a member once more."""
        counts = self._counts.setdefault(group, {})
        counts[member] = counts.get(member, 0) + 1

    def remove(self, group: Group, member: Member, now: float) -> None:
        """Remove a member that was added, once."""
        counts = self._counts[group]
        counts[member] -= 1
        if counts[member]:
            return
        del counts[member]
        left_at = self._left_at.setdefault(group, {})
        left_at[member] = now
        for other in [other for other, at in left_at.items() if now - at > FORGET_S]:
            del left_at[other]

    def has(self, group: Group, member: Member) -> bool:
        """Return whether a member is in a group now."""
        return member in self._counts.get(group, ())

    def members(self, group: Group, since: float) -> set[Member]:
        """Return the members of a group now, and those that have left since a time."""
        left_at = self._left_at.get(group, {})
        return {*self._counts.get(group, ()), *(m for m, at in left_at.items() if at >= since)}
