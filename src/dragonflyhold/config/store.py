"""Storage of the accepted configuration in the platform's table and object store.

Rows in the table:

- ``config/head``: the last accepted revision
- ``config/change/<revision>``: a change
- ``config/part/<revision>/<n>``: the parts of a change that does not fit into one row
- ``config/id/<change id>``: revision and digest of an accepted change
- ``config/snapshot``: revision of the latest snapshot

Snapshots are stored in the object store as ``config/snapshot/<revision>``.
"""

import dataclasses
import json
import zlib
from typing import final

from dragonflyhold.config.changes import change_digest
from dragonflyhold.config.snapshot import SnapshotError, decode_snapshot, encode_snapshot
from dragonflyhold.config.state import ConfigState
from dragonflyhold.errors import ConditionFailedError, DragonflyholdError
from dragonflyhold.ids import ChangeId, Revision
from dragonflyhold.storage.interface import Condition, ObjectStore, Put, Row, Table
from dragonflyhold.transport.schema import operator_pb2 as pb

HEAD_KEY = "config/head"
SNAPSHOT_KEY = "config/snapshot"
_CHANGE_PREFIX = "config/change/"
_PART_PREFIX = "config/part/"
_ID_PREFIX = "config/id/"

# Larger changes are split into several rows, written in one transaction.
MAX_ROW_BYTES = 128 * 1024
_MAX_CHANGES_PER_READ = 64

_SINGLE_ROW = b"W"
_MULTIPLE_ROWS = b"P"


class StoreError(DragonflyholdError):
    """Raised for a stored row or object that is damaged or missing."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The last accepted revision and the version of the head row, for conditional writes."""

    revision: Revision
    row_version: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedChange:
    """Record of an accepted change; ``digest`` detects reuse of its id for another change."""

    revision: Revision
    digest: bytes


@final
class ConfigStore:
    """Reads and writes the configuration; raises ``PlatformUnavailableError`` in an outage."""

    def __init__(self, table: Table, object_store: ObjectStore) -> None:
        self._table = table
        self._object_store = object_store

    def read_head(self) -> Head:
        """Return the head row; the revision is 0 before the first change."""
        row = self._table.read(HEAD_KEY)
        if row is None:
            return Head(Revision(0), 0)
        return Head(_parse_revision(row), row.version)

    def find_change(self, change_id: ChangeId) -> AcceptedChange | None:
        """Return the record of an accepted change, or ``None`` if it is not accepted so far."""
        row = self._table.read(_ID_PREFIX + change_id)
        if row is None:
            return None
        fields = json.loads(row.value)
        return AcceptedChange(Revision(fields["revision"]), bytes.fromhex(fields["digest"]))

    def commit(self, head: Head, request: pb.ChangeRequest) -> Revision:
        """Write a change as the revision after ``head``.

        Raise ``ConditionFailedError`` if the head row has changed or the change id is in use. After
        ``PlatformUnavailableError`` the outcome is unknown: the transaction may take effect later,
        but only while the head row still has the version of ``head``.
        """
        revision = Revision(head.revision + 1)
        change_key = _CHANGE_PREFIX + _format_revision(revision)
        id_key = _ID_PREFIX + request.change_id
        record = {"revision": revision, "digest": change_digest(request).hex()}
        conditions = [
            Condition(HEAD_KEY, head.row_version),
            Condition(change_key, 0),
            Condition(id_key, 0),
        ]
        puts = [
            Put(HEAD_KEY, _encode_json({"revision": revision})),
            Put(id_key, _encode_json(record)),
            *_change_puts(change_key, revision, request),
        ]
        self._table.write(conditions, puts)
        return revision

    def read_changes(self, since: Revision) -> list[tuple[Revision, pb.ChangeRequest]]:
        """Return up to 64 consecutive changes after ``since``, in order."""
        start_after = _CHANGE_PREFIX + _format_revision(since)
        rows = self._table.read_prefix(_CHANGE_PREFIX, start_after, _MAX_CHANGES_PER_READ)
        changes: list[tuple[Revision, pb.ChangeRequest]] = []
        for row in rows:
            revision = Revision(int(row.key.removeprefix(_CHANGE_PREFIX)))
            if revision != since + len(changes) + 1:
                raise StoreError(f"row {row.key!r} follows revision {since + len(changes)}")
            changes.append((revision, self._read_change(row, revision)))
        return changes

    def snapshot_revision(self) -> Revision:
        """Return the revision of the latest snapshot, or 0 if there is none."""
        row = self._table.read(SNAPSHOT_KEY)
        return Revision(0) if row is None else _parse_revision(row)

    def read_snapshot(self) -> ConfigState | None:
        """Return the state in the latest snapshot, or ``None`` if there is none."""
        revision = self.snapshot_revision()
        if revision == 0:
            return None
        data = self._object_store.get(_snapshot_object(revision))
        if data is None:
            raise StoreError(f"snapshot {revision} is missing in the object store")
        try:
            return decode_snapshot(data)
        except SnapshotError as error:
            raise StoreError(f"snapshot {revision}: {error}") from error

    def write_snapshot(self, state: ConfigState) -> None:
        """Write a snapshot and its revision, unless one of this or a later revision exists."""
        row = self._table.read(SNAPSHOT_KEY)
        if row is not None and _parse_revision(row) >= state.revision:
            return
        self._object_store.put(_snapshot_object(state.revision), encode_snapshot(state))
        condition = Condition(SNAPSHOT_KEY, 0 if row is None else row.version)
        try:
            self._table.write(
                [condition], [Put(SNAPSHOT_KEY, _encode_json({"revision": state.revision}))]
            )
        except ConditionFailedError:
            # Another daemon wrote a snapshot concurrently; either one can be used.
            return

    def _read_change(self, row: Row, revision: Revision) -> pb.ChangeRequest:
        layout, body = row.value[:1], row.value[1:]
        if layout == _MULTIPLE_ROWS:
            body = b"".join(
                self._read_part(revision, part_number) for part_number in range(int(body))
            )
        request = pb.ChangeRequest()
        request.ParseFromString(zlib.decompress(body))
        return request

    def _read_part(self, revision: Revision, part_number: int) -> bytes:
        key = _part_key(revision, part_number)
        row = self._table.read(key)
        if row is None:
            raise StoreError(f"row {key!r} is missing")
        return row.value


def _change_puts(key: str, revision: Revision, request: pb.ChangeRequest) -> list[Put]:
    data = zlib.compress(request.SerializeToString(deterministic=True))
    if len(data) < MAX_ROW_BYTES:
        return [Put(key, _SINGLE_ROW + data)]
    parts = [data[offset : offset + MAX_ROW_BYTES] for offset in range(0, len(data), MAX_ROW_BYTES)]
    puts = [Put(_part_key(revision, part_number), part) for part_number, part in enumerate(parts)]
    return [Put(key, _MULTIPLE_ROWS + str(len(parts)).encode()), *puts]


def _part_key(revision: Revision, part_number: int) -> str:
    return f"{_PART_PREFIX}{_format_revision(revision)}/{part_number:06d}"


def _snapshot_object(revision: Revision) -> str:
    return f"{SNAPSHOT_KEY}/{revision}"


def _format_revision(revision: Revision) -> str:
    # Fixed width, so that the keys sort by revision.
    return f"{revision:020d}"


def _encode_json(fields: dict[str, object]) -> bytes:
    return json.dumps(fields, sort_keys=True).encode()


def _parse_revision(row: Row) -> Revision:
    return Revision(json.loads(row.value)["revision"])
