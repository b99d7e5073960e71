"""The newest loads that upstreams have stated to any gateway, passed on beside other messages.

A gateway alone hears of an upstream's load with its own answers only. With many gateways these are
rare, and what all of them hear together is much newer.
"""

import dataclasses
from collections.abc import Iterable
from typing import final

# Age beyond which a load is not passed on, and the most loads in a message.
MAX_PASSED_AGE_S = 0.5
MAX_ROWS = 16
# A load counts as newer than another one by at least this: the same one arrives on several ways.
MIN_NEWER_S = 0.01
# Incarnations kept at most.
MAX_INCARNATIONS = 1024


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadRow:
    """Load of an incarnation of an upstream, as it stated it to some gateway."""

    incarnation: str
    # Requests running and waiting.
    requests: int
    # Time that work takes there relative to the usual one, ``None`` if not stated.
    slowness: float | None
    age_s: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    row: LoadRow
    stated_at: float


@final
class SharedLoads:
    """The newest load by incarnation, as known to one process, and those to be passed on."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        # Incarnations whose load is news to others, in the order of arrival.
        self._news: dict[str, None] = {}

    def note(self, row: LoadRow, now: float) -> bool:
        """Record a load that others should know; return whether it is newer than the known one."""
        is_newer = self._record(row, now)
        if is_newer:
            self._news.pop(row.incarnation, None)
            self._news[row.incarnation] = None
        return is_newer

    def merge(self, rows: Iterable[LoadRow], now: float) -> list[LoadRow]:
        """Record loads that others know; return those that are newer than the known ones."""
        return [row for row in rows if self._record(row, now)]

    def take_news(self, now: float) -> list[LoadRow]:
        """Return the newest loads to be passed on, each once."""
        names, self._news = list(self._news), {}
        rows = []
        for name in reversed(names):
            entry = self._entries.get(name)
            if entry is not None and now - entry.stated_at <= MAX_PASSED_AGE_S:
                rows.append(dataclasses.replace(entry.row, age_s=now - entry.stated_at))
                if len(rows) == MAX_ROWS:
                    break
        return rows

    def _record(self, row: LoadRow, now: float) -> bool:
        stated_at = now - max(0.0, row.age_s)
        known = self._entries.get(row.incarnation)
        if now - stated_at > MAX_PASSED_AGE_S or (
            known is not None and stated_at < known.stated_at + MIN_NEWER_S
        ):
            return False
        if known is None and len(self._entries) >= MAX_INCARNATIONS:
            self._prune(now)
        self._entries[row.incarnation] = _Entry(row, stated_at)
        return True

    def _prune(self, now: float) -> None:
        """Drop what is too old to be passed on, or all if nothing is."""
        recent = {
            incarnation: entry
            for incarnation, entry in self._entries.items()
            if now - entry.stated_at <= MAX_PASSED_AGE_S
        }
        self._entries = recent if len(recent) < MAX_INCARNATIONS else {}
