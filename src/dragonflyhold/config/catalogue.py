"""Packed, sorted catalogue of adapters and their versions.

Records are stored in compressed blocks of about ``BLOCK_RECORDS``, because a dictionary of 150,000
objects exceeds the 64 MB available to a daemon. Catalogues are immutable, so readers need no lock;
a write copies only the blocks that it affects.
"""

import bisect
import dataclasses
import zlib
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple, final

BLOCK_RECORDS = 64
_MAX_BLOCK_RECORDS = 2 * BLOCK_RECORDS
_COMPRESSION_LEVEL = 6

# Validation rejects control characters in names and paths, so these never occur in a field.
_KEY_FIELD_END = b"\x00"
_FIELD_END = b"\x01"
_RECORD_END = b"\x02"


class CatalogueKey(NamedTuple):
    """Identity of an adapter (``version`` 0) or of one of its versions."""

    service: str
    adapter: str
    version: int = 0


class Record(NamedTuple):
    """Value of a catalogue entry; ``weights`` is empty for adapters."""

    weights: str
    revision: int


class Entry(NamedTuple):
    """A key with its record."""

    key: CatalogueKey
    record: Record


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Compressed records, with the packed key of the first one and their number."""

    first: bytes
    data: bytes
    count: int


@final
class Catalogue:
    """An immutable sorted map from ``CatalogueKey`` to ``Record``."""

    __slots__ = ("_blocks", "_count", "_firsts")

    def __init__(self, blocks: Iterable[Block] = ()) -> None:
        self._blocks = list(blocks)
        self._firsts = [block.first for block in self._blocks]
        self._count = sum(block.count for block in self._blocks)

    @property
    def packed_bytes(self) -> int:
        """Total size of the compressed blocks in bytes."""
        return sum(len(block.data) for block in self._blocks)

    def __len__(self) -> int:
        """Return the number of records."""
        return self._count

    def get(self, key: CatalogueKey) -> Record | None:
        """Return the record of a key, or ``None`` if there is none."""
        packed = _pack_key(key)
        index = bisect.bisect_right(self._firsts, packed) - 1
        if index < 0:
            return None
        data = zlib.decompress(self._blocks[index].data)
        start = data.find(_RECORD_END + packed + _FIELD_END)
        if start < 0:
            return None
        start += len(packed) + 2
        return _unpack_record(data[start : data.index(_RECORD_END, start)])

    def has_prefix(self, service: str, adapter: str | None = None) -> bool:
        """Return whether the service, or the adapter of the service, has any record."""
        return next(self.entries(service, adapter), None) is not None

    def entries(
        self, service: str = "", adapter: str | None = None, after: CatalogueKey | None = None
    ) -> Iterator[Entry]:
        """Yield entries in key order, optionally of one service or adapter, or after a key."""
        prefix = service.encode() + _KEY_FIELD_END if service else b""
        if adapter is not None:
            prefix += adapter.encode() + _KEY_FIELD_END
        start = prefix if after is None else max(prefix, _pack_key(after) + b"\x00")
        index = max(bisect.bisect_right(self._firsts, start) - 1, 0)
        for block in self._blocks[index:]:
            for item in _split_records(block):
                packed, _, record = item.partition(_FIELD_END)
                if packed < start:
                    continue
                if not packed.startswith(prefix):
                    return
                yield Entry(_unpack_key(packed), _unpack_record(record))

    def with_writes(self, writes: Mapping[CatalogueKey, Record | None]) -> "Catalogue":
        """Return a copy with the records written; a record is removed where it is ``None``."""
        if not writes:
            return self
        packed = sorted((_pack_key(key), record) for key, record in writes.items())
        changes_by_block: dict[int, list[tuple[bytes, Record | None]]] = {}
        for key, record in packed:
            index = max(bisect.bisect_right(self._firsts, key) - 1, 0)
            changes_by_block.setdefault(index, []).append((key, record))
        if not self._blocks:
            return Catalogue(_pack_blocks(_merge([], packed)))
        blocks: list[Block] = []
        next_index = 0
        for index, changes in changes_by_block.items():
            blocks += self._blocks[next_index:index]
            blocks += _pack_blocks(_merge(_split_records(self._blocks[index]), changes))
            next_index = index + 1
        return Catalogue(blocks + self._blocks[next_index:])

    def packed_blocks(self) -> Iterator[bytes]:
        """Yield the compressed blocks for a snapshot."""
        return (block.data for block in self._blocks)

    @classmethod
    def from_packed_blocks(cls, blocks: Iterable[bytes]) -> "Catalogue":
        """Return a catalogue from the blocks that ``packed_blocks`` returned."""
        return cls(_read_block(data) for data in blocks)


def _pack_key(key: CatalogueKey) -> bytes:
    text = f"{key.service}\x00{key.adapter}\x00"
    # Fixed width, so that versions sort by number.
    return (text + f"{key.version:016x}" if key.version else text).encode()


def _unpack_key(packed: bytes) -> CatalogueKey:
    service, adapter, version = packed.decode().split("\x00")
    return CatalogueKey(service, adapter, int(version, 16) if version else 0)


def _pack_record(record: Record) -> bytes:
    return f"{record.weights}\x01{record.revision}".encode()


def _unpack_record(packed: bytes) -> Record:
    weights, _, revision = packed.partition(_FIELD_END)
    return Record(weights.decode(), int(revision))


def _split_records(block: Block) -> list[bytes]:
    return zlib.decompress(block.data)[1:-1].split(_RECORD_END)


def _read_block(data: bytes) -> Block:
    items = zlib.decompress(data)[1:-1].split(_RECORD_END)
    return Block(items[0].partition(_FIELD_END)[0], data, len(items))


def _merge(items: list[bytes], changes: list[tuple[bytes, Record | None]]) -> list[bytes]:
    merged = {item.partition(_FIELD_END)[0]: item for item in items}
    for key, record in changes:
        if record is None:
            merged.pop(key, None)
        else:
            merged[key] = key + _FIELD_END + _pack_record(record)
    return [merged[key] for key in sorted(merged)]


def _pack_blocks(items: list[bytes]) -> list[Block]:
    if len(items) <= _MAX_BLOCK_RECORDS:
        groups = [items] if items else []
    else:
        groups = [
            items[offset : offset + BLOCK_RECORDS] for offset in range(0, len(items), BLOCK_RECORDS)
        ]
    return [_pack_block(group) for group in groups]


def _pack_block(items: list[bytes]) -> Block:
    text = _RECORD_END + _RECORD_END.join(items) + _RECORD_END
    data = zlib.compress(text, _COMPRESSION_LEVEL)
    return Block(items[0].partition(_FIELD_END)[0], data, len(items))
