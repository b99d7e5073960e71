"""Tests of configuration replicas and of the messages they exchange."""

import random
from collections.abc import Iterable

import pytest

from dragonflyhold.config.changes import parse_change
from dragonflyhold.config.deltas import Delta, DeltaHistory
from dragonflyhold.config.exchange import ExchangeError, fetch_chunks, read_chunks
from dragonflyhold.config.objects import ConfigObject, StoredObject, key_of
from dragonflyhold.config.peers import DaemonIdentity
from dragonflyhold.config.replica import ConfigReplica
from dragonflyhold.config.snapshot import SnapshotError, decode_snapshot, encode_snapshot
from dragonflyhold.config.state import ConfigState
from dragonflyhold.config.validation import writes_of
from dragonflyhold.ids import DataCentre, Incarnation, Region, Revision
from dragonflyhold.settings import ConfigSettings
from dragonflyhold.transport.schema import operator_pb2 as pb
from tests.config import builders
from tests.config.builders import delete, put


class _Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def make_replica(clock: _Clock, data_centre: str = "almaty-a") -> ConfigReplica:
    identity = DaemonIdentity(
        "d", Region("almaty"), DataCentre(data_centre), "127.0.0.1:1", Incarnation("0" * 16)
    )
    replica = ConfigReplica(ConfigSettings(), identity, None, clock, random.Random(1))
    replica.record_tick(clock.now, 0.0)
    return replica


def delta_of(revision: int, *operations: pb.Operation) -> Delta:
    change, _ = parse_change(builders.change("c", *operations))
    writes = writes_of(change, Revision(revision))
    deleted = {key: Revision(revision) for key, stored in writes.items() if stored is None}
    return Delta(Revision(revision - 1), Revision(revision), writes, deleted)


def install(replica: ConfigReplica, revision: int, *operations: pb.Operation) -> None:
    assert replica.install_delta(delta_of(revision, *operations))


def state_content(state: ConfigState) -> dict[object, StoredObject]:
    objects = dict(state.objects)
    return {**objects, **{entry.key: entry.record for entry in state.catalogue.entries()}}


def base_values() -> list[ConfigObject]:
    data_centres = enumerate(("almaty-a", "almaty-b", "almaty-c"), start=2)
    upstreams = [
        builders.upstream(f"r{n}", f"127.0.0.1:{n}", data_centre) for n, data_centre in data_centres
    ]
    return [builders.service(), *upstreams, builders.adapter("ale"), builders.version("ale")]


class TestInstall:
    """Guards against a daemon that reverts to an older configuration."""

    def test_lower_or_equal_revisions_are_rejected(self) -> None:
        replica = make_replica(_Clock())
        install(replica, 1, *builders.puts(base_values()))
        old = replica.state
        install(replica, 2, put(builders.kind()))
        assert not replica.install_snapshot(old)
        assert not replica.install_delta(delta_of(2, put(builders.kind(worth=9))))
        assert replica.revision == 2
        assert replica.state.get(key_of(builders.kind())) is not None

    def test_delta_with_a_gap_is_rejected(self) -> None:
        replica = make_replica(_Clock())
        install(replica, 1, *builders.puts(base_values()))
        assert not replica.install_delta(delta_of(3, put(builders.kind())))
        assert replica.revision == 1


class TestExchange:
    """Guards against a peer whose state differs from the sender's after catching up."""

    def catch_up(self, sender: ConfigReplica, receiver: ConfigReplica) -> bool:
        """Return whether a snapshot was sent."""
        since = receiver.revision
        chunks = sender.handle_fetch(since)
        received = read_chunks(chunks, since)
        match received:
            case Delta():
                assert receiver.install_delta(received)
            case _:
                assert receiver.install_snapshot(received)
        assert state_content(receiver.state) == state_content(sender.state)
        assert receiver.revision == sender.revision
        return bool(chunks[0].snapshot)

    def test_delta_has_one_write_per_object(self) -> None:
        sender, receiver = make_replica(_Clock()), make_replica(_Clock())
        install(sender, 1, *builders.puts(base_values()))
        self.catch_up(sender, receiver)
        install(sender, 2, put(builders.kind(worth=1)))
        install(sender, 3, put(builders.kind(worth=2)), delete(builders.version("ale")))
        install(sender, 4, put(builders.kind("other")), delete(builders.adapter("ale")))
        chunks = sender.handle_fetch(Revision(1))
        assert sum(len(chunk.puts) + len(chunk.deletes) for chunk in chunks) == 4
        assert not self.catch_up(sender, receiver)
        # A replica that received merged changes can serve deltas since any revision in between.
        third_replica = make_replica(_Clock())
        install(third_replica, 1, *builders.puts(base_values()))
        install(third_replica, 2, put(builders.kind(worth=1)))
        self.catch_up(receiver, third_replica)

    def test_snapshot_is_sent_if_history_is_too_short(self) -> None:
        sender, receiver = make_replica(_Clock()), make_replica(_Clock())
        install(sender, 1, *builders.puts(base_values()))
        restarted = make_replica(_Clock())
        assert restarted.install_snapshot(decode_snapshot(encode_snapshot(sender.state)))
        assert self.catch_up(restarted, receiver)

    def test_snapshot_is_sent_if_smaller_than_delta(self) -> None:
        sender, receiver = make_replica(_Clock()), make_replica(_Clock())
        adapters = [builders.adapter(f"adapter-{number:05d}") for number in range(2_000)]
        install(sender, 1, *builders.puts([builders.service(), *adapters]))
        assert self.catch_up(sender, receiver)

    def test_history_is_bounded(self) -> None:
        history = DeltaHistory(Revision(0), max_keys=3)
        keys = [key_of(builders.kind(f"k{number}")) for number in range(5)]
        for revision, key in enumerate(keys, start=1):
            history.record([(key, Revision(revision))])
        state = ConfigState(Revision(5))
        assert history.since(Revision(1), state) is None
        delta = history.since(Revision(2), state)
        assert delta is not None
        assert set(delta.writes) == set(keys[2:])

    def test_truncated_or_damaged_reply_is_rejected(self) -> None:
        state = ConfigState().with_writes(
            delta_of(1, *builders.puts(base_values())).writes, Revision(1)
        )
        chunks = list(fetch_chunks(None, state))
        truncated: Iterable[pb.FetchChunk] = chunks[:-1]
        with pytest.raises(ExchangeError):
            read_chunks(truncated, Revision(0))
        chunks[0].packed = chunks[0].packed[:-1] + bytes([chunks[0].packed[-1] ^ 1])
        with pytest.raises(SnapshotError):
            read_chunks(chunks, Revision(0))


class TestContacts:
    """Guards against stale or unproven contacts that count for freshness."""

    def reply(self, revision: int, **ages_ms: int) -> pb.CompareReply:
        contacts = [
            pb.DataCentreContact(data_centre=f"almaty-{name}", age_ms=age)
            for name, age in ages_ms.items()
        ]
        return pb.CompareReply(revision=revision, data_centre="almaty-b", contacts=contacts)

    def test_contacts_of_a_calling_peer_are_not_adopted(self) -> None:
        # A request may wait in the queue of a paused daemon for any length of time.
        clock = _Clock()
        replica = make_replica(clock)
        install(replica, 1, *builders.puts(base_values()))
        clock.now += 1
        contacts = self.reply(1, b=0, c=0).contacts
        replica.handle_compare(
            pb.CompareRequest(
                address="127.0.0.1:9", data_centre="almaty-b", revision=1, contacts=contacts
            )
        )
        assert replica.majority_age_s(Region("almaty"), clock.now) > 1e9

    def test_contact_requires_installed_revision(self) -> None:
        clock = _Clock()
        replica = make_replica(clock)
        install(replica, 1, *builders.puts(base_values()))
        clock.now += 1
        assert not replica.record_reply("127.0.0.1:3", clock.now, self.reply(2, b=0, c=0))
        assert not replica.is_fresh(clock.now)
        assert replica.record_reply("127.0.0.1:3", clock.now, self.reply(1, b=0, c=0))
        assert replica.is_fresh(clock.now)

    def test_missing_known_revision_makes_daemon_stale(self) -> None:
        clock = _Clock()
        replica = make_replica(clock)
        install(replica, 1, *builders.puts(base_values()))
        replica.record_reply("127.0.0.1:3", clock.now, self.reply(1, b=0, c=0))
        replica.observe_revision(Revision(2))
        assert replica.is_fresh(clock.now)
        clock.now += 1.5
        replica.record_tick(clock.now, 0.0)
        replica.record_reply("127.0.0.1:3", clock.now, self.reply(1, b=0, c=0))
        assert not replica.is_fresh(clock.now)

    def test_gap_between_ticks_makes_daemon_stale(self) -> None:
        clock = _Clock()
        replica = make_replica(clock)
        replica.record_table_read(clock.now, Revision(0))
        assert replica.is_fresh(clock.now)
        assert not replica.is_fresh(clock.now + 2.5)

    def test_reported_contact_ages_include_elapsed_time(self) -> None:
        clock = _Clock()
        replica = make_replica(clock)
        install(replica, 1, *builders.puts(base_values()))
        replica.record_table_read(clock.now, Revision(1))
        replica.record_reply("127.0.0.1:3", clock.now, self.reply(1, b=0, c=3000))
        clock.now += 2
        ages = {c.data_centre: c.age_ms for c in replica.compare_request(clock.now).contacts}
        assert ages == {"almaty-a": 0, "almaty-b": 2000, "almaty-c": 5000}
