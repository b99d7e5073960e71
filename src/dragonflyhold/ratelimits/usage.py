"""Tokens by the time at which they were granted or used."""

import bisect
import dataclasses
from collections.abc import Iterator
from typing import final

# Tokens of one source within this share of the held time share an entry.
ENTRY_SHARE = 1 / 256
# Share of the held time by which tokens may be taken back before they were granted.
EARLY_SHARE = 1 / 32


@final
@dataclasses.dataclass(slots=True)
class UsageRow:
    """Tokens at a monotonic time; ``source`` is the agent that granted them, 0 if none did."""

    at: float
    tokens: float
    source: int = 0
    # Time of the first tokens, up to ``at``.
    began_at: float = 0.0


@final
class Usage:
    """Tokens in a sliding window, in the order of their times as far as these are near."""

    def __init__(self, held_s: float) -> None:
        self._held_s = held_s
        self._rows: list[UsageRow] = []
        self._total = 0.0

    def __iter__(self) -> Iterator[UsageRow]:
        """Iterate over the entries, oldest first."""
        return iter(self._rows)

    def add(self, at: float, tokens: float, source: int = 0) -> None:
        """Add tokens; a negative number takes some back."""
        self._total += tokens
        # Tokens that share an entry count until the later time, never too short.
        span_s = self._held_s * ENTRY_SHARE
        last = self._rows[-1] if self._rows else None
        if last is not None and last.at <= at <= last.began_at + span_s and last.source == source:
            last.at = at
            last.tokens += tokens
            return
        index = bisect.bisect_left(self._rows, at, key=lambda row: row.at)
        later = self._rows[index] if index < len(self._rows) else None
        if later is not None and later.at <= at + span_s and later.source == source and tokens > 0:
            later.began_at = min(later.began_at, at)
            later.tokens += tokens
            return
        self._rows.insert(index, UsageRow(at, tokens, source, at))

    def total(self, now: float) -> float:
        """Return the tokens that count."""
        ended = 0
        for row in self._rows:
            if row.at > now - self._held_s:
                break
            self._total -= row.tokens
            ended += 1
        del self._rows[:ended]
        if not self._rows:
            self._total = 0.0
        return self._total

    def room_at(self, excess: float, now: float) -> float:
        """Return the earliest time at which ``excess`` fewer tokens count than now."""
        for row in self._rows:
            if excess <= 0:
                break
            excess -= row.tokens
            if excess <= 0:
                return max(now, row.at + self._held_s)
        return now if excess <= 0 else now + self._held_s

    def paced_room(self, burst: float, per_s: float, now: float) -> float:
        """Return the tokens that keep to a rate after any time, with a burst beyond it.

        Tokens that were taken back count with those that were granted shortly after, too: the
        times that gateways tell are a little early.
        """
        early_s = self._held_s * EARLY_SHARE
        returned = [row for row in reversed(self._rows) if row.tokens < 0]
        room, since, credited = burst, 0.0, 0
        for row in reversed(self._rows):
            if row.tokens < 0:
                continue
            while credited < len(returned) and returned[credited].at >= row.began_at - early_s:
                since += returned[credited].tokens
                credited += 1
            since += row.tokens
            room = min(room, burst + per_s * (now - row.began_at) - since)
        return room

    def clear(self) -> None:
        """Forget all tokens."""
        self._rows.clear()
        self._total = 0.0
