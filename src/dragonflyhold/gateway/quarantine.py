"""Finds the traits of requests that crash upstreams, and tells which requests to refuse."""

import collections
from collections.abc import Callable, Iterable, Sequence
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.crash_evidence import CrashEvidence, CrashRecord, RequestTraits, Trait
from dragonflyhold.gateway.logs import JsonLogger

# Crashes after which a trait that alone explains them is refused.
CRASH_LIMIT = 3
# Crashes after which all parts that explain them equally well are refused.
TIED_CRASH_LIMIT = 5
# A part is a cause only if at least this many different requests with it were at crashes.
MIN_CONTENTS = 2
# Time for the records of other gateways to arrive before a crash is judged.
SETTLE_S = 0.25


def find_causes(records: Sequence[CrashRecord]) -> set[Trait]:
    """Return the traits that explain the crashes.

    The part that was at most of the crashes explains them, unless it is sound; the next one needs
    enough crashes without the first. Crashes before which no answer ended whole don't count, as
    sound parts can't be told from others then. Contents explain what no part does.
    """
    causes: set[Trait] = set()
    unexplained = [record for record in records if record.was_serving]
    while True:
        counts = _count_parts(unexplained)
        most = max(counts.values(), default=0)
        best = {part for part, count in counts.items() if count == most}
        if most < (CRASH_LIMIT if len(best) == 1 else TIED_CRASH_LIMIT):
            break
        causes |= best
        unexplained = [record for record in unexplained if best.isdisjoint(_parts(record))]
    unexplained = [record for record in records if causes.isdisjoint(_parts(record))]
    while True:
        counts = collections.Counter(
            content for record in unexplained for content in record.requests.keys() - record.sound
        )
        most = max(counts.values(), default=0)
        if most < CRASH_LIMIT:
            return causes
        best = {content for content, count in counts.items() if count == most}
        causes |= best
        unexplained = [record for record in unexplained if best.isdisjoint(record.requests)]


def _parts(record: CrashRecord) -> set[Trait]:
    return {part for parts in record.requests.values() for part in parts} - record.sound


def _count_parts(records: Iterable[CrashRecord]) -> collections.Counter[Trait]:
    """Return the number of crashes of each part that enough different requests had."""
    counts: collections.Counter[Trait] = collections.Counter()
    contents: dict[Trait, set[Trait]] = {}
    for record in records:
        counts.update(_parts(record))
        for content, parts in record.requests.items():
            for part in parts:
                contents.setdefault(part, set()).add(content)
    return collections.Counter(
        {part: count for part, count in counts.items() if len(contents[part]) >= MIN_CONTENTS}
    )


@final
class Quarantine:
    """The traits that this gateway refuses now."""

    def __init__(self, evidence: CrashEvidence, clock: Callable[[], float] = monotonic_now) -> None:
        self._evidence = evidence
        self._clock = clock
        self._causes: set[Trait] = set()
        # Digest and number of the records that were judged last.
        self._judged: tuple[bytes, int] = (b"", 0)
        self._log = JsonLogger("quarantine")

    @property
    def size(self) -> int:
        """Return the number of refused traits."""
        return len(self._causes)

    @property
    def causes(self) -> frozenset[Trait]:
        """Return the refused traits."""
        return frozenset(self._causes)

    def refresh(self) -> tuple[set[Trait], set[Trait]]:
        """Judge all records anew; return the traits refused from now on, and those no longer.

        To be called often.
        """
        self._evidence.expire()
        settled_at = self._clock() - SETTLE_S
        records = [record for record in self._evidence.records() if record.crashed_at <= settled_at]
        judged = (self._evidence.digest, len(records))
        if judged == self._judged:
            return set(), set()
        self._judged = judged
        causes = find_causes(records)
        added, removed = causes - self._causes, self._causes - causes
        for trait in added:
            crashes = [
                record.crash
                for record in records
                if trait in record.traits() and trait not in record.sound
            ]
            self._log.warning(
                "A trait of requests is refused: upstreams crash on it.",
                trait=trait.hex(),
                crashes=len(crashes),
                runners=crashes[:8],
                of=len(records),
            )
        for trait in removed:
            self._log.warning("A trait of requests is no longer refused.", trait=trait.hex())
        self._causes = causes
        return added, removed

    def is_refused(self, traits: RequestTraits) -> bool:
        """Return whether a request has a trait that crashes upstreams."""
        return bool(self._causes) and not self._causes.isdisjoint(traits)
