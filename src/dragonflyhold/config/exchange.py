"""Encoding of deltas and snapshots that daemons fetch from each other."""

from collections.abc import Iterable, Iterator

from dragonflyhold.config.codec import from_message, key_from_message, key_to_message, to_message
from dragonflyhold.config.deltas import Delta
from dragonflyhold.config.objects import ObjectKey, StoredObject, key_of
from dragonflyhold.config.snapshot import decode_snapshot, encode_snapshot
from dragonflyhold.config.state import ConfigState
from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.ids import Revision
from dragonflyhold.transport.schema import operator_pb2 as pb

MAX_CHUNK_BYTES = 256 * 1024
# Estimated size of an object outside the catalogue, to compare sizes without encoding a snapshot.
_OBJECT_BYTES_ESTIMATE = 80


class ExchangeError(DragonflyholdError):
    """Raised for an incomplete reply from a peer."""


def fetch_chunks(delta: Delta | None, state: ConfigState) -> Iterator[pb.FetchChunk]:
    """Yield the delta, or a snapshot if there is no delta or the snapshot is smaller."""
    if delta is not None:
        chunks = _delta_chunks(delta)
        if sum(chunk.ByteSize() for chunk in chunks) <= estimate_snapshot_bytes(state):
            yield from chunks
            return
    data = encode_snapshot(state)
    for offset in range(0, len(data), MAX_CHUNK_BYTES):
        last = offset + MAX_CHUNK_BYTES >= len(data)
        packed = data[offset : offset + MAX_CHUNK_BYTES]
        yield pb.FetchChunk(snapshot=True, revision=state.revision, packed=packed, last=last)


def estimate_snapshot_bytes(state: ConfigState) -> int:
    """Return the approximate size of a snapshot in bytes."""
    return state.catalogue.packed_bytes + _OBJECT_BYTES_ESTIMATE * len(state.objects) + 64


def read_chunks(chunks: Iterable[pb.FetchChunk], since: Revision) -> Delta | ConfigState:
    """Return the delta or snapshot in a peer's reply to a request since a revision."""
    writes: dict[ObjectKey, StoredObject | None] = {}
    deleted: dict[ObjectKey, Revision] = {}
    packed: list[bytes] = []
    last: pb.FetchChunk | None = None
    for chunk in chunks:
        last = chunk
        if chunk.packed:
            packed.append(chunk.packed)
        for message in chunk.puts:
            value = from_message(message)
            writes[key_of(value)] = StoredObject(value, Revision(message.revision))
        for message in chunk.deletes:
            key = key_from_message(message)
            writes[key] = None
            deleted[key] = Revision(message.revision)
    if last is None or not last.last:
        raise ExchangeError("the peer's reply is incomplete")
    if last.snapshot:
        return decode_snapshot(b"".join(packed))
    return Delta(since, Revision(last.revision), writes, deleted)


def _delta_chunks(delta: Delta) -> list[pb.FetchChunk]:
    chunks = [pb.FetchChunk(revision=delta.revision)]
    size = 0
    for key, stored in delta.writes.items():
        if stored is None:
            message = key_to_message(key, delta.deleted[key])
        else:
            message = to_message(stored.object, stored.revision)
        size += message.ByteSize()
        if size > MAX_CHUNK_BYTES:
            chunks.append(pb.FetchChunk(revision=delta.revision))
            size = message.ByteSize()
        (chunks[-1].deletes if stored is None else chunks[-1].puts).append(message)
    chunks[-1].last = True
    return chunks
