"""Tests of the registry of upstreams."""

import dataclasses

import orjson
import pytest

from dragonflyhold.gateway.model import RegistrationState, Upstream, UpstreamId
from dragonflyhold.gateway.registry import EXPIRY_GRACE_S, Registry
from dragonflyhold.platform.store import StoredRow

ENTRY = {
    "service": "assistant",
    "address": "10.0.0.1:80",
    "zone": "dc-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "both",
    "models": [{"name": "base", "version": 1, "adapters": ["a1@2", "a7"]}],
    "sequence": 4,
    "born": 17,
}


class _Harness:
    def __init__(self) -> None:
        self.now = 0.0
        self.is_store_stable = True
        self.removed: list[UpstreamId] = []
        self.registry = Registry(self, lambda: self.is_store_stable, lambda: self.now)
        self._version = 0

    def upstream_changed(self, upstream: Upstream) -> None:
        del upstream

    def upstream_removed(self, upstream: Upstream) -> None:
        self.removed.append(upstream.upstream_id)

    def write(self, value: bytes | dict[str, object], key: str = "r1") -> None:
        self._version += 1
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self.registry.apply(StoredRow(key, self._version, data))

    def remove(self, key: str = "r1") -> None:
        self._version += 1
        self.registry.apply(StoredRow(key, self._version, b"", removed=True))

    @property
    def upstream_ids(self) -> list[str]:
        return sorted(self.registry.upstreams)


class TestRegisteredEntries:
    """Decoding of entries and their effect on the membership."""

    def test_valid_entry_adds_upstream(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        upstream = harness.registry.upstreams[UpstreamId("r1")]
        assert (upstream.ip, upstream.start_time_ms, upstream.state) == (
            "10.0.0.1",
            17,
            RegistrationState.READY,
        )
        assert {key.adapter: version for key, version in upstream.adapters.items()} == {
            "a1": 2,
            "a7": 1,
        }

    @pytest.mark.parametrize(
        "value",
        [
            b"\xff\xfe",
            b"[]",
            b"null",
            {**ENTRY, "state": "sleeping"},
            {**ENTRY, "slots": "64"},
            {**ENTRY, "slots": True},
            {**ENTRY, "born": 1.5},
            {**ENTRY, "address": "nowhere"},
            {**ENTRY, "service": None},
            {key: value for key, value in ENTRY.items() if key != "zone"},
        ],
    )
    def test_invalid_entry_adds_no_upstream(self, value: bytes | dict[str, object]) -> None:
        harness = _Harness()
        harness.write(ENTRY, "r2")
        harness.write(value)
        assert harness.upstream_ids == ["r2"]

    def test_draining_entry_keeps_upstream(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        harness.write({**ENTRY, "state": "draining", "remaining_ms": 1500})
        assert harness.registry.upstreams[UpstreamId("r1")].state is RegistrationState.DRAINING


class TestRemovedEntries:
    """Entries that are removed, with and without a store outage."""

    def test_removed_entry_drops_upstream_immediately(self) -> None:
        """Some upstreams leave without draining: the removal of the entry is the only sign."""
        harness = _Harness()
        harness.write(ENTRY)
        harness.remove()
        assert harness.removed == ["r1"]

    def test_entry_expired_in_outage_can_be_restored(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        harness.is_store_stable = False
        harness.remove()
        assert harness.upstream_ids == ["r1"]
        harness.now += EXPIRY_GRACE_S / 2
        harness.write(ENTRY)
        harness.is_store_stable = True
        harness.now += EXPIRY_GRACE_S
        harness.registry.expire()
        assert harness.upstream_ids == ["r1"]

    def test_upstream_is_dropped_if_entry_is_missing_after_outage(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        harness.is_store_stable = False
        harness.remove()
        harness.now += 60.0
        harness.registry.expire()
        assert harness.removed == []
        harness.is_store_stable = True
        harness.registry.expire()
        assert harness.removed == ["r1"]

    def test_entry_removed_late_in_the_doubt_is_dropped_with_its_end(self) -> None:
        """Guards against a grace period that begins with the removal instead of the return."""
        harness = _Harness()
        harness.write(ENTRY)
        harness.is_store_stable = False
        harness.now += EXPIRY_GRACE_S - 0.1
        harness.remove()
        harness.now += 0.1
        harness.is_store_stable = True
        harness.registry.expire()
        assert harness.removed == ["r1"]

    def test_draining_upstream_is_dropped_during_outage(self) -> None:
        harness = _Harness()
        harness.write({**ENTRY, "state": "draining"})
        harness.is_store_stable = False
        harness.remove()
        assert harness.removed == ["r1"]


class TestPeerReportedIncarnations:
    """Incarnations that an agent reports before their entry is read."""

    @staticmethod
    def _report_incarnation(
        harness: _Harness, upstream_id: str = "r2", start_time_ms: int = 18
    ) -> None:
        old = harness.registry.upstreams[UpstreamId("r1")]
        new = dataclasses.replace(
            old, upstream_id=UpstreamId(upstream_id), start_time_ms=start_time_ms, adapters={}
        )
        harness.registry.report_incarnation(new)

    def test_dropped_without_entry_after_grace_period(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        self._report_incarnation(harness)
        assert harness.upstream_ids == ["r1", "r2"]
        harness.now = EXPIRY_GRACE_S + 0.1
        harness.registry.expire()
        self._report_incarnation(harness)
        assert harness.upstream_ids == ["r1"], (
            "an upstream without an entry was added again from an agent's report"
        )

    def test_not_added_again_after_its_entry_was_removed(self) -> None:
        """Guards against an engine that has left and is used again while its agent reports it."""
        harness = _Harness()
        harness.write(ENTRY)
        harness.write({**ENTRY, "born": 18}, "r2")
        harness.remove("r2")
        self._report_incarnation(harness)
        assert harness.upstream_ids == ["r1"]

    def test_restart_is_added_after_its_entry_was_removed(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        harness.write({**ENTRY, "born": 18}, "r2")
        harness.remove("r2")
        self._report_incarnation(harness, start_time_ms=19)
        assert harness.upstream_ids == ["r1", "r2"]

    def test_kept_once_entry_exists(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        self._report_incarnation(harness)
        harness.write({**ENTRY, "born": 18}, "r2")
        harness.now = EXPIRY_GRACE_S + 0.1
        harness.registry.expire()
        assert harness.upstream_ids == ["r1", "r2"]

    def test_kept_during_outage(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        harness.is_store_stable = False
        self._report_incarnation(harness)
        harness.now = 60.0
        harness.registry.expire()
        assert harness.upstream_ids == ["r1", "r2"]

    def test_older_incarnation_is_ignored(self) -> None:
        harness = _Harness()
        harness.write(ENTRY)
        self._report_incarnation(harness, "r1", start_time_ms=16)
        assert harness.registry.upstreams[UpstreamId("r1")].start_time_ms == 17
