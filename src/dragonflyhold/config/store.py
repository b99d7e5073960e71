"""The accepted configuration in the platform's table and object store.

Rows: ``config/head`` (revision), ``config/change/<revision>``, ``config/part/<revision>/<n>`` for
changes that do not fit one row, ``config/id/<change id>``, ``config/snapshot`` (revision of the
latest snapshot). Object: ``config/snapshot/<revision>``.
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

# Larger changes are split over several rows of the same transaction.
MAX_ROW_BYTES = 128 * 1024
_READ_LIMIT = 64

_WHOLE = b"W"
_PARTS = b"P"


class StoreError(DragonflyholdError):
    """A row or object of the configuration that is damaged or missing."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head row: the last accepted revision, and the version of the row for conditions."""

    revision: Revision
    row_version: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedChange:
    """Proof that a change was accepted; ``digest`` tells another change under the same id."""

    revision: Revision
    digest: bytes


@final
class ConfigStore:
    """Reads and writes the configuration; every call raises ``PlatformUnavailableError``."""

    def __init__(self, table: Table, object_store: ObjectStore) -> None:
        self._table = table
        self._object_store = object_store

    def read_head(self) -> Head:
        """Return the head row; revision 0 before the first change."""
        row = self._table.read(HEAD_KEY)
        if row is None:
            return Head(Revision(0), 0)
        return Head(_revision_in(row), row.version)

    def find_change(self, change_id: ChangeId) -> AcceptedChange | None:
        """Return the fate of a change; ``None`` if it is not accepted up to now."""
        row = self._table.read(_ID_PREFIX + change_id)
        if row is None:
            return None
        fields = json.loads(row.value)
        return AcceptedChange(Revision(fields["revision"]), bytes.fromhex(fields["digest"]))

    def commit(self, head: Head, request: pb.ChangeRequest) -> Revision:
        """Accept a change as the next revision; raise ``ConditionFailedError`` if it is not next.

        After ``PlatformUnavailableError`` the change may be accepted, now or later, but never
        once the head row has another version than ``head``.
        """
        revision = Revision(head.revision + 1)
        change_key = _CHANGE_PREFIX + _number(revision)
        id_key = _ID_PREFIX + request.change_id
        record = {"revision": revision, "digest": change_digest(request).hex()}
        conditions = [
            Condition(HEAD_KEY, head.row_version),
            Condition(change_key, 0),
            Condition(id_key, 0),
        ]
        puts = [
            Put(HEAD_KEY, _json({"revision": revision})),
            Put(id_key, _json(record)),
            *_change_puts(change_key, revision, request),
        ]
        self._table.write(conditions, puts)
        return revision

    def read_changes(self, since: Revision) -> list[tuple[Revision, pb.ChangeRequest]]:
        """Return up to 64 changes behind ``since``, in order and without gaps."""
        start_after = _CHANGE_PREFIX + _number(since)
        rows = self._table.read_prefix(_CHANGE_PREFIX, start_after, _READ_LIMIT)
        changes: list[tuple[Revision, pb.ChangeRequest]] = []
        for row in rows:
            revision = Revision(int(row.key.removeprefix(_CHANGE_PREFIX)))
            if revision != since + len(changes) + 1:
                raise StoreError(f"row {row.key!r} follows revision {since + len(changes)}")
            changes.append((revision, self._read_change(row, revision)))
        return changes

    def snapshot_revision(self) -> Revision:
        """Return the revision of the latest snapshot, 0 if there is none."""
        row = self._table.read(SNAPSHOT_KEY)
        return Revision(0) if row is None else _revision_in(row)

    def read_snapshot(self) -> ConfigState | None:
        """Return the state of the latest snapshot."""
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
        """Write a snapshot and point to it, unless a later one exists."""
        row = self._table.read(SNAPSHOT_KEY)
        if row is not None and _revision_in(row) >= state.revision:
            return
        self._object_store.put(_snapshot_object(state.revision), encode_snapshot(state))
        condition = Condition(SNAPSHOT_KEY, 0 if row is None else row.version)
        try:
            self._table.write([condition], [Put(SNAPSHOT_KEY, _json({"revision": state.revision}))])
        except ConditionFailedError:
            # Another daemon wrote a snapshot meanwhile; either serves.
            return

    def _read_change(self, row: Row, revision: Revision) -> pb.ChangeRequest:
        kind, body = row.value[:1], row.value[1:]
        if kind == _PARTS:
            body = b"".join(self._read_part(revision, number) for number in range(int(body)))
        request = pb.ChangeRequest()
        request.ParseFromString(zlib.decompress(body))
        return request

    def _read_part(self, revision: Revision, number: int) -> bytes:
        key = _part_key(revision, number)
        row = self._table.read(key)
        if row is None:
            raise StoreError(f"row {key!r} is missing")
        return row.value


def _change_puts(key: str, revision: Revision, request: pb.ChangeRequest) -> list[Put]:
    data = zlib.compress(request.SerializeToString(deterministic=True))
    if len(data) < MAX_ROW_BYTES:
        return [Put(key, _WHOLE + data)]
    parts = [data[at : at + MAX_ROW_BYTES] for at in range(0, len(data), MAX_ROW_BYTES)]
    puts = [Put(_part_key(revision, number), part) for number, part in enumerate(parts)]
    return [Put(key, _PARTS + str(len(parts)).encode()), *puts]


def _part_key(revision: Revision, number: int) -> str:
    return f"{_PART_PREFIX}{_number(revision)}/{number:06d}"


def _snapshot_object(revision: Revision) -> str:
    return f"{SNAPSHOT_KEY}/{revision}"


def _number(revision: Revision) -> str:
    # Fixed width, so that rows sort by revision.
    return f"{revision:020d}"


def _json(fields: dict[str, object]) -> bytes:
    return json.dumps(fields, sort_keys=True).encode()


def _revision_in(row: Row) -> Revision:
    return Revision(json.loads(row.value)["revision"])
