"""Detects requests that crash the upstreams that run them."""

import collections
import hashlib
from collections.abc import Callable, Sequence
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.http_server import ClientRequest
from dragonflyhold.gateway.messages import SuspectUpdate

# Crashes after which a request is refused; the protocol's rule applies from three crashes on.
CRASH_LIMIT = 3
# Counts are dropped after this long without a further crash.
CRASH_EXPIRY_S = 30.0
MAX_SUSPECTS = 4096
DIGEST_BYTES = 12


def compute_fingerprint(request: ClientRequest) -> bytes:
    """Return the hash of a request's content, which is the same for all its attempts."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, request.fields.get(b"host", b""), request.target, request.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


@final
class SuspectTable:
    """Crash counts by fingerprint and gateway."""

    def __init__(self, source: str, clock: Callable[[], float] = monotonic_now) -> None:
        self._source = source
        self._clock = clock
        self._crash_counts: collections.OrderedDict[bytes, dict[str, int]] = (
            collections.OrderedDict()
        )
        self._last_crash_at: dict[bytes, float] = {}

    def record_crash(self, fingerprint: bytes) -> SuspectUpdate:
        """Count a crash that this gateway saw; return the update for the other gateways."""
        counts = self._counts(fingerprint)
        counts[self._source] = counts.get(self._source, 0) + 1
        return SuspectUpdate(self._source, [(fingerprint, counts[self._source])])

    def apply(self, update: SuspectUpdate) -> None:
        """Apply the counts of another gateway."""
        if update.source == self._source:
            return
        for fingerprint, count in update.suspects:
            counts = self._counts(fingerprint)
            counts[update.source] = max(counts.get(update.source, 0), count)

    def is_refused(self, fingerprint: bytes) -> bool:
        """Return whether a request has been involved in too many crashes."""
        counts = self._crash_counts.get(fingerprint)
        if counts is None:
            return False
        if self._clock() - self._last_crash_at[fingerprint] > CRASH_EXPIRY_S:
            del self._crash_counts[fingerprint], self._last_crash_at[fingerprint]
            return False
        return sum(counts.values()) >= CRASH_LIMIT

    def fingerprints(self) -> Sequence[bytes]:
        """Return the fingerprints with counts."""
        return list(self._crash_counts)

    def _counts(self, fingerprint: bytes) -> dict[str, int]:
        self._last_crash_at[fingerprint] = self._clock()
        counts = self._crash_counts.setdefault(fingerprint, {})
        self._crash_counts.move_to_end(fingerprint)
        while len(self._crash_counts) > MAX_SUSPECTS:
            old, _ = self._crash_counts.popitem(last=False)
            self._last_crash_at.pop(old, None)
        return counts
