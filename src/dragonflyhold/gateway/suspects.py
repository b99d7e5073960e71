"""Requests that were at a runner each time one broke off: some crash whatever runs them."""

import collections
import hashlib
from collections.abc import Callable, Sequence
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.http_server import ClientRequest
from dragonflyhold.gateway.messages import SuspectUpdate

# Breaks after which a request is refused; the protocol's rule starts at three crashed runners.
BREAK_LIMIT = 3
# Counts are forgotten after this long without a new break.
BREAK_EXPIRY_S = 30.0
MAX_SUSPECTS = 4096
DIGEST_BYTES = 12


def compute_fingerprint(request: ClientRequest) -> bytes:
    """Return the identity of a request's content, the same for each time it is sent."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, request.fields.get(b"host", b""), request.target, request.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


@final
class SuspectTable:
    """Breaks by fingerprint, as counted by each gateway."""

    def __init__(self, source: str, clock: Callable[[], float] = monotonic_now) -> None:
        self._source = source
        self._clock = clock
        self._breaks: collections.OrderedDict[bytes, dict[str, int]] = collections.OrderedDict()
        self._last_break_at: dict[bytes, float] = {}

    def record_break(self, fingerprint: bytes) -> SuspectUpdate:
        """Count a break of this gateway's; return what the others are told."""
        counts = self._counts(fingerprint)
        counts[self._source] = counts.get(self._source, 0) + 1
        return SuspectUpdate(self._source, [(fingerprint, counts[self._source])])

    def apply(self, update: SuspectUpdate) -> None:
        """Take in the counts of another gateway."""
        if update.source == self._source:
            return
        for fingerprint, count in update.suspects:
            counts = self._counts(fingerprint)
            counts[update.source] = max(counts.get(update.source, 0), count)

    def is_refused(self, fingerprint: bytes) -> bool:
        """Whether a request has been at too many breaks."""
        counts = self._breaks.get(fingerprint)
        if counts is None:
            return False
        if self._clock() - self._last_break_at[fingerprint] > BREAK_EXPIRY_S:
            del self._breaks[fingerprint], self._last_break_at[fingerprint]
            return False
        return sum(counts.values()) >= BREAK_LIMIT

    def fingerprints(self) -> Sequence[bytes]:
        """Return the fingerprints that are kept."""
        return list(self._breaks)

    def _counts(self, fingerprint: bytes) -> dict[str, int]:
        self._last_break_at[fingerprint] = self._clock()
        counts = self._breaks.setdefault(fingerprint, {})
        self._breaks.move_to_end(fingerprint)
        while len(self._breaks) > MAX_SUSPECTS:
            old, _ = self._breaks.popitem(last=False)
            self._last_break_at.pop(old, None)
        return counts
