"""Tests of the selection of peers and of the schedule of periodic work."""

import random

from dragonflyhold.config.directory import CALLING_PEER_TTL_S, PeerDirectory
from dragonflyhold.config.objects import StoredObject, key_of
from dragonflyhold.config.schedule import Schedule
from dragonflyhold.config.state import ConfigState
from dragonflyhold.ids import DataCentre, Region, Revision
from dragonflyhold.settings import ConfigSettings
from tests.config import builders

DATA_CENTRES = ["almaty-a", "almaty-b", "almaty-c", "almaty-d"]


def make_directory(*seeds: str) -> PeerDirectory:
    return PeerDirectory(
        Region("almaty"), DataCentre("almaty-a"), "10.0.0.1:1", seeds, random.Random(1)
    )


def region_state(per_data_centre: int = 5) -> ConfigState:
    values = [builders.service()] + [
        builders.upstream(
            f"r-{data_centre}-{n}", f"10.1.{DATA_CENTRES.index(data_centre)}.{n + 1}:1", data_centre
        )
        for data_centre in DATA_CENTRES
        for n in range(per_data_centre)
    ]
    writes = {key_of(value): StoredObject(value, Revision(1)) for value in values}
    return ConfigState().with_writes(writes, Revision(1))


class TestPeerDirectory:
    """Guards against data centres that are not contacted until the majority is lost."""

    def test_unreachable_data_centre_does_not_starve_others(self) -> None:
        directory = make_directory()
        directory.update(region_state())
        contacts = {DataCentre(data_centre): 0.0 for data_centre in DATA_CENTRES}
        max_contact_age_s = 0.0
        for second in range(1, 200):
            address = directory.choose(second, lambda name, now=second: now - contacts[name])
            assert address is not None
            data_centre = directory.peers(second)[address]
            if data_centre != "almaty-d":
                contacts[data_centre] = second
            live_contacts = [contacts[DataCentre(data_centre)] for data_centre in DATA_CENTRES[:3]]
            max_contact_age_s = max(max_contact_age_s, second - min(live_contacts))
        assert max_contact_age_s <= 5

    def test_seeds_are_used_until_other_peers_are_known(self) -> None:
        directory = make_directory("10.0.0.1:1", "10.0.0.2:1")
        assert directory.choose(1.0, lambda name: 1.0) == "10.0.0.2:1"

    def test_calling_peers_expire(self) -> None:
        directory = make_directory()
        directory.record_calling_peer("10.0.0.7:1", DataCentre("almaty-b"), 1.0)
        assert directory.processes(2.0) == 2
        assert directory.processes(2.0 + CALLING_PEER_TTL_S) == 1

    def test_push_targets_include_own_and_other_data_centres(self) -> None:
        directory = make_directory()
        directory.update(region_state())
        peers = directory.peers(1.0)
        data_centres = [peers[address] for address in directory.push_targets(1.0, 3)]
        assert data_centres.count(DataCentre("almaty-a")) == 3
        assert len(data_centres) == 4


class _Replica:
    def __init__(self, processes: int, age_s: float) -> None:
        self._processes = processes
        self._age_s = age_s

    def processes(self) -> int:
        return self._processes

    def current_age_s(self, now: float) -> float:
        return self._age_s


class TestSchedule:
    """Guards against a rate of table reads that grows with the number of daemons."""

    def head_reads(self, processes: int, seconds: int) -> int:
        schedule = Schedule(ConfigSettings(), random.Random(1))
        replica = _Replica(processes, 0.0)
        ticks = (tick / 10 for tick in range(seconds * 10))
        return sum(schedule.due(now, replica, False).head_read for now in ticks)

    def test_head_read_rate_is_bounded(self) -> None:
        assert 480 <= self.head_reads(2, 1000) <= 520
        assert 90 <= self.head_reads(1000, 1000) <= 110

    def test_all_work_is_due_after_a_pause(self) -> None:
        schedule = Schedule(ConfigSettings(), random.Random(1))
        replica = _Replica(2, 0.0)
        schedule.due(0.0, replica, False)
        assert schedule.due(0.1, replica, False).compares == 0
        due = schedule.due(0.2, replica, True)
        assert (due.compares, due.head_read) == (1, True)

    def test_old_contacts_double_the_compares(self) -> None:
        schedule = Schedule(ConfigSettings(), random.Random(1))
        assert schedule.due(0.0, _Replica(2, 4.0), False).compares == 2
