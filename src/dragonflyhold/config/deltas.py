"""Tracks which objects were written since a revision, merged to one write per object.

The design follows the Cyrus replication engine (D. Carter, University of Cambridge): queued events
of one object are merged, and a full synchronisation is the fallback when they do not suffice.
"""

import dataclasses
from collections.abc import Iterable
from typing import final

from dragonflyhold.config.objects import ObjectKey, StoredObject
from dragonflyhold.config.state import ConfigState
from dragonflyhold.ids import Revision

# Covers several days at 270 changes a day; a large import can evict all older history.
MAX_KEYS = 8_192


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The merged writes in (``since``, ``revision``]; a deleted object maps to ``None``."""

    since: Revision
    revision: Revision
    writes: dict[ObjectKey, StoredObject | None]
    # Revision of the last write of each deleted object.
    deleted: dict[ObjectKey, Revision]


@final
class DeltaHistory:
    """Last write revision of the ``max_keys`` most recently written objects.

    Not thread-safe.
    """

    def __init__(self, compacted_revision: Revision, max_keys: int = MAX_KEYS) -> None:
        # Writes up to this revision are dropped; deltas since it or a later one are complete.
        self._compacted_revision = compacted_revision
        self._max_keys = max_keys
        # Ordered by revision.
        self._last_writes: dict[ObjectKey, Revision] = {}

    @property
    def compacted_revision(self) -> Revision:
        """Lowest revision since which a complete delta is available."""
        return self._compacted_revision

    def record(self, keys: Iterable[tuple[ObjectKey, Revision]]) -> None:
        """Record writes; revisions must not be lower than any recorded before."""
        for key, revision in sorted(keys, key=lambda item: item[1]):
            self._last_writes.pop(key, None)
            self._last_writes[key] = revision
        while len(self._last_writes) > self._max_keys:
            self._evict_oldest()

    def since(self, revision: Revision, state: ConfigState) -> Delta | None:
        """Return the merged writes from ``revision`` to ``state``, or ``None`` if not available."""
        if revision < self._compacted_revision or revision > state.revision:
            return None
        writes: dict[ObjectKey, StoredObject | None] = {}
        deleted: dict[ObjectKey, Revision] = {}
        for key, last_revision in reversed(self._last_writes.items()):
            if last_revision <= revision:
                break
            stored = state.get(key)
            writes[key] = stored
            if stored is None:
                deleted[key] = last_revision
        return Delta(revision, state.revision, writes, deleted)

    def _evict_oldest(self) -> None:
        key = next(iter(self._last_writes))
        # Deltas since an earlier revision would lack this key, so they are no longer available.
        self._compacted_revision = max(self._compacted_revision, self._last_writes.pop(key))
