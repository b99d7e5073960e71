"""Tests of the membership of runners."""

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


class _World:
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
    def ids(self) -> list[str]:
        return sorted(self.registry.upstreams)


class TestEntries:
    """Entries."""

    def test_an_entry_becomes_an_upstream(self) -> None:
        world = _World()
        world.write(ENTRY)
        upstream = world.registry.upstreams[UpstreamId("r1")]
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
    def test_an_entry_of_another_writer_names_no_upstream(
        self, value: bytes | dict[str, object]
    ) -> None:
        world = _World()
        world.write(ENTRY, "r2")
        world.write(value)
        assert world.ids == ["r2"]

    def test_a_drained_upstream_is_kept_as_draining(self) -> None:
        world = _World()
        world.write(ENTRY)
        world.write({**ENTRY, "state": "draining", "remaining_ms": 1500})
        assert world.registry.upstreams[UpstreamId("r1")].state is RegistrationState.DRAINING


class TestRemovedEntries:
    """Removed entries."""

    def test_a_removed_entry_ends_new_work_at_once(self) -> None:
        """Some runners never report that they leave: only their entry goes."""
        world = _World()
        world.write(ENTRY)
        world.remove()
        assert world.removed == ["r1"]

    def test_an_entry_that_expired_in_an_outage_may_come_back(self) -> None:
        world = _World()
        world.write(ENTRY)
        world.is_store_stable = False
        world.remove()
        assert world.ids == ["r1"]
        world.now += EXPIRY_GRACE_S / 2
        world.write(ENTRY)
        world.is_store_stable = True
        world.now += EXPIRY_GRACE_S
        world.registry.expire()
        assert world.ids == ["r1"]

    def test_an_entry_still_missing_after_the_outage_is_removed(self) -> None:
        world = _World()
        world.write(ENTRY)
        world.is_store_stable = False
        world.remove()
        world.now += 60.0
        world.registry.expire()
        assert world.removed == []
        world.is_store_stable = True
        world.registry.expire()
        assert world.removed == ["r1"]

    def test_a_draining_upstream_does_not_come_back_through_an_outage(self) -> None:
        world = _World()
        world.write({**ENTRY, "state": "draining"})
        world.is_store_stable = False
        world.remove()
        assert world.removed == ["r1"]


class TestPeerReported:
    """A lifetime that an agent tells of before its entry is there."""

    @staticmethod
    def _report_incarnation(
        world: _World, upstream_id: str = "r2", start_time_ms: int = 18
    ) -> None:
        old = world.registry.upstreams[UpstreamId("r1")]
        new = dataclasses.replace(
            old, upstream_id=UpstreamId(upstream_id), start_time_ms=start_time_ms, adapters={}
        )
        world.registry.report_incarnation(new)

    def test_it_is_removed_without_an_entry_in_time(self) -> None:
        world = _World()
        world.write(ENTRY)
        self._report_incarnation(world)
        assert world.ids == ["r1", "r2"]
        world.now = EXPIRY_GRACE_S + 0.1
        world.registry.expire()
        self._report_incarnation(world)
        assert world.ids == ["r1"], "a runner without an entry came back by hearsay"

    def test_its_entry_makes_it_last(self) -> None:
        world = _World()
        world.write(ENTRY)
        self._report_incarnation(world)
        world.write({**ENTRY, "born": 18}, "r2")
        world.now = EXPIRY_GRACE_S + 0.1
        world.registry.expire()
        assert world.ids == ["r1", "r2"]

    def test_during_an_outage_it_stays(self) -> None:
        world = _World()
        world.write(ENTRY)
        world.is_store_stable = False
        self._report_incarnation(world)
        world.now = 60.0
        world.registry.expire()
        assert world.ids == ["r1", "r2"]

    def test_an_older_incarnation_changes_nothing(self) -> None:
        world = _World()
        world.write(ENTRY)
        self._report_incarnation(world, "r1", start_time_ms=16)
        assert world.registry.upstreams[UpstreamId("r1")].start_time_ms == 17
