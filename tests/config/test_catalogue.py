"""Tests of the packed catalogue, with a dictionary as the reference model."""

import zlib

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyhold.config.catalogue import BLOCK_RECORDS, Catalogue, CatalogueKey, Record

services = st.sampled_from(["a", "ab", "b-1"])
adapters = st.text(alphabet="ab.-9", min_size=1, max_size=3)
keys = st.builds(CatalogueKey, services, adapters, st.sampled_from([0, 1, 2, 10, 2**63 - 1]))
records = st.builds(Record, st.sampled_from(["", "w/1", "ä"]), st.integers(1, 2**40))
writes = st.dictionaries(keys, st.none() | records, max_size=300)


def make_records(count: int) -> dict[CatalogueKey, Record | None]:
    return {CatalogueKey("s", f"adapter-{i:06d}", i % 3): Record(f"w/{i}", i) for i in range(count)}


class TestCatalogue:
    """Guards against records that are lost, corrupted or returned for a different key."""

    @settings(derandomize=True, deadline=None, max_examples=150, database=None)
    @given(st.lists(writes, max_size=4), keys)
    def test_matches_a_dictionary(
        self, batches: list[dict[CatalogueKey, Record | None]], lookup_key: CatalogueKey
    ) -> None:
        catalogue, expected = Catalogue(), dict[CatalogueKey, Record]()
        for batch in batches:
            before = dict(expected)
            changed = catalogue.with_writes(batch)
            assert dict(catalogue.entries()) == before, "a write modified the old catalogue"
            for key, record in batch.items():
                expected.pop(key, None)
                if record is not None:
                    expected[key] = record
            catalogue = changed
        assert list(catalogue.entries()) == sorted(expected.items())
        assert len(catalogue) == len(expected)
        assert catalogue.get(lookup_key) == expected.get(lookup_key)
        assert all(catalogue.get(key) == record for key, record in expected.items())
        for service in ("a", "ab", "b-1"):
            own = [item for item in sorted(expected.items()) if item[0].service == service]
            assert list(catalogue.entries(service)) == own
        after = [item for item in sorted(expected.items()) if item[0] > lookup_key]
        assert list(catalogue.entries(after=lookup_key)) == after
        restored = Catalogue.from_packed_blocks(catalogue.packed_blocks())
        assert list(restored.entries()) == sorted(expected.items())

    def test_name_prefix_does_not_match(self) -> None:
        catalogue = Catalogue().with_writes({CatalogueKey("s", "ale-2", 1): Record("w", 1)})
        assert not catalogue.has_prefix("s", "ale")
        assert catalogue.has_prefix("s", "ale-2")
        assert catalogue.get(CatalogueKey("s", "ale", 1)) is None

    def test_write_copies_only_the_affected_block(self) -> None:
        catalogue = Catalogue().with_writes(make_records(20 * BLOCK_RECORDS))
        changed = catalogue.with_writes({CatalogueKey("s", "adapter-000100", 1): Record("x", 9)})
        old, new = set(map(id, catalogue.packed_blocks())), set(map(id, changed.packed_blocks()))
        assert len(new - old) == 1

    def test_block_size_is_bounded(self) -> None:
        catalogue = Catalogue()
        for key, record in sorted(make_records(2_000).items()):
            catalogue = catalogue.with_writes({key: record})
        sizes = [len(zlib.decompress(block)) for block in catalogue.packed_blocks()]
        assert max(sizes) < 2 * BLOCK_RECORDS * 64
