"""Which upstreams may go on with a stream, and the memory of where streams began; does no I/O.

The software versions of a service write events that don't fit together, so a stream goes on only at
the version that brought its first event.
"""

import dataclasses
from typing import NewType, final

from dragonflyhold.gateway.model import SoftwareVersion, Upstream
from dragonflyhold.hashing import hash64
from dragonflyhold.ids import ServiceName

# 64-bit hash of the id of the request that brought a stream's first event.
StreamKey = NewType("StreamKey", int)

# Time for which an origin is kept: clients that take streams up later find nobody who knows them.
RETENTION_S = 60.0
# Origins that one process keeps at most, about 250 bytes each.
MAX_KEPT = 20_000


def stream_key(request_id: str) -> StreamKey:
    """Return the key of the streams that a request began, equal in all processes."""
    return StreamKey(hash64(request_id.encode("utf-8", "surrogateescape")))


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What began a stream."""

    service: ServiceName
    # ``None`` if the incarnation's entry had not been read.
    software: SoftwareVersion | None
    # Id of the incarnation, empty if only the software is known; see ``Upstream.incarnation_id``.
    incarnation: str = ""

    def allows(self, upstream: Upstream) -> bool:
        """Return whether the stream may go on at an upstream."""
        if upstream.service != self.service:
            return False
        if self.software is not None and upstream.software is not None:
            return upstream.software == self.software
        return self.incarnation == upstream.incarnation_id


def origin_of(upstream: Upstream) -> StreamOrigin:
    """Return the origin of the streams that an upstream begins."""
    return StreamOrigin(upstream.service, upstream.software, upstream.incarnation_id)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KeptOrigin:
    """An origin in a memory."""

    origin: StreamOrigin
    # Monotonic time of the stream's first event.
    began_at: float
    # Whether the incarnation was known to run at that time.
    is_sure: bool = True


@final
class OriginMemory:
    """Origins by the key of their stream, for ``RETENTION_S``; the oldest ones yield."""

    def __init__(self) -> None:
        self._kept: dict[StreamKey, KeptOrigin] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def note(self, key: StreamKey, item: KeptOrigin) -> None:
        """Keep an origin; a sure one that is kept already holds, unless it lacks the software."""
        old = self._kept.get(key)
        if old is not None and old.is_sure and old.origin.software is not None:
            return
        self._kept.pop(key, None)
        self._kept[key] = item
        if len(self._kept) > MAX_KEPT:
            del self._kept[next(iter(self._kept))]

    def find(self, key: StreamKey, now: float) -> KeptOrigin | None:
        """Return the origin of a stream, if it is kept."""
        self._expire(now)
        return self._kept.get(key)

    def drop(self, key: StreamKey) -> None:
        """Forget a stream."""
        self._kept.pop(key, None)

    def _expire(self, now: float) -> None:
        while self._kept:
            key = next(iter(self._kept))
            if now - self._kept[key].began_at <= RETENTION_S:
                return
            del self._kept[key]
