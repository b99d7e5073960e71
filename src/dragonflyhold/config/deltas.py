"""Which objects were written since a revision, merged to one action for each object.

The idea to merge the queued events of one object and to escalate to a full synchronisation when
that does not do is from the Cyrus replication engine (D. Carter, University of Cambridge).
"""

import dataclasses
from collections.abc import Iterable
from typing import final

from dragonflyhold.config.objects import ObjectKey, StoredObject
from dragonflyhold.config.state import ConfigState
from dragonflyhold.ids import Revision

# At 270 changes a day this covers days; a large import drops older history at once.
MAX_KEYS = 8_192


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """All writes in (``since``, ``revision``]; ``None`` stands for a deleted object."""

    since: Revision
    revision: Revision
    writes: dict[ObjectKey, StoredObject | None]
    # Revision of the last write of each deleted object.
    deleted: dict[ObjectKey, Revision]


@final
class DeltaHistory:
    """The last revision that wrote each of the latest ``max_keys`` objects.

    Not safe for use from several threads.
    """

    def __init__(self, floor: Revision, max_keys: int = MAX_KEYS) -> None:
        # Deltas since this revision, or a later one, are complete.
        self._floor = floor
        self._max_keys = max_keys
        # In the order of revisions.
        self._last_write: dict[ObjectKey, Revision] = {}

    @property
    def floor(self) -> Revision:
        """Lowest revision since which a delta can be given."""
        return self._floor

    def record(self, keys: Iterable[tuple[ObjectKey, Revision]]) -> None:
        """Note writes; revisions must not be below those recorded before."""
        for key, revision in sorted(keys, key=lambda item: item[1]):
            self._last_write.pop(key, None)
            self._last_write[key] = revision
        while len(self._last_write) > self._max_keys:
            self._drop_oldest()

    def since(self, revision: Revision, state: ConfigState) -> Delta | None:
        """Return the merged writes after ``revision`` up to ``state``, if they are all known."""
        if revision < self._floor or revision > state.revision:
            return None
        writes: dict[ObjectKey, StoredObject | None] = {}
        deleted: dict[ObjectKey, Revision] = {}
        for key, last in reversed(self._last_write.items()):
            if last <= revision:
                break
            stored = state.get(key)
            writes[key] = stored
            if stored is None:
                deleted[key] = last
        return Delta(revision, state.revision, writes, deleted)

    def _drop_oldest(self) -> None:
        key = next(iter(self._last_write))
        # All keys of a revision are dropped together with the floor that covers them.
        self._floor = max(self._floor, self._last_write.pop(key))
