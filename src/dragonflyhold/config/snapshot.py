"""Encoding of the whole configuration for the object store and for peers far behind."""

import hashlib

from google.protobuf.message import DecodeError

from dragonflyhold.config.catalogue import Catalogue
from dragonflyhold.config.codec import from_message, to_message
from dragonflyhold.config.objects import ObjectKey, StoredObject, key_of
from dragonflyhold.config.state import ConfigState
from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.ids import Revision
from dragonflyhold.transport.schema import operator_pb2 as pb

_FORMAT = 1
_DIGEST_BYTES = 32


class SnapshotError(DragonflyholdError):
    """Raised for a snapshot that is damaged or has an unknown format."""


def encode_snapshot(state: ConfigState) -> bytes:
    """Return a snapshot: a SHA-256 digest, then a ``ConfigSnapshot`` message."""
    message = pb.ConfigSnapshot(format=_FORMAT, revision=state.revision)
    for _, stored in sorted(state.objects.items()):
        message.objects.append(to_message(stored.object, stored.revision))
    message.blocks.extend(state.catalogue.packed_blocks())
    payload = message.SerializeToString(deterministic=True)
    return hashlib.sha256(payload).digest() + payload


def decode_snapshot(data: bytes) -> ConfigState:
    """Return the state in a snapshot; raise ``SnapshotError`` if it is damaged."""
    payload = data[_DIGEST_BYTES:]
    if hashlib.sha256(payload).digest() != data[:_DIGEST_BYTES]:
        raise SnapshotError("the digest of the snapshot does not match")
    message = pb.ConfigSnapshot()
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise SnapshotError("the snapshot cannot be parsed") from error
    if message.format != _FORMAT:
        raise SnapshotError(f"the snapshot has format {message.format}, not {_FORMAT}")
    objects: dict[ObjectKey, StoredObject] = {}
    for item in message.objects:
        value = from_message(item)
        objects[key_of(value)] = StoredObject(value, Revision(item.revision))
    catalogue = Catalogue.from_packed_blocks(message.blocks)
    return ConfigState(Revision(message.revision), objects, catalogue)
