"""Single faults in a simulated region of three data centres, each with one expected outcome."""

from collections.abc import Callable

import pytest

from dragonflyhold.ids import DataCentre
from dragonflyhold.transport.schema import operator_pb2 as pb
from tests.config import builders
from tests.config.simulation import SimDaemon, World

A, B, C = (DataCentre(f"almaty-{name}") for name in "abc")
ENTRY = "10.0.0.1:1"
SIDECARS = {
    "10.0.1.1:1": A,
    "10.0.1.2:1": B,
    "10.0.1.3:1": B,
    "10.0.1.4:1": C,
    "10.0.1.5:1": C,
}


def put_kind(entry: SimDaemon, change_id: str) -> pb.ChangeReply:
    request = builders.change(change_id, builders.put(builders.kind(change_id)))
    reply = entry.committer.apply(request)
    entry.world.run_tasks()
    return reply


@pytest.fixture
def world() -> World:
    """Return a region in normal operation at revision 1."""
    world = World()
    entry = world.start(ENTRY, A, [])
    for address, data_centre in SIDECARS.items():
        world.start(address, data_centre, [ENTRY])
    upstreams = [
        builders.upstream(f"runner-{number}", address, data_centre)
        for number, (address, data_centre) in enumerate(SIDECARS.items())
    ]
    request = builders.change("first", *builders.puts([builders.service(), *upstreams]))
    world.advance(1)
    assert entry.committer.apply(request).result == pb.CHANGE_RESULT_ACCEPTED
    world.advance(4)
    assert all(daemon.is_fresh for daemon in world.daemons.values())
    return world


def fresh_behind(world: World, revision: int) -> list[str]:
    """Return the daemons that take new work without a revision."""
    return [
        address
        for address, daemon in world.daemons.items()
        if daemon.is_fresh and daemon.replica.revision < revision
    ]


def watch(world: World, revision: int) -> list[str]:
    """Collect, from now on, daemons that take new work without a revision."""
    seen: list[str] = []
    world.check = lambda: seen.extend(fresh_behind(world, revision))
    return seen


def cut(world: World, one: DataCentre, other: DataCentre) -> None:
    world.cut_links.add(frozenset((one, other)))


class TestCutOff:
    """Guards against a daemon that takes work with an old configuration while cut off."""

    def test_minority_without_the_table_stops(self, world: World) -> None:
        cut(world, A, C)
        cut(world, B, C)
        world.cut_from_table = {C}
        assert put_kind(world.daemons[ENTRY], "k").result == pb.CHANGE_RESULT_ACCEPTED
        world.advance(7)
        in_c = [daemon for daemon in world.daemons.values() if daemon.data_centre == C]
        assert not any(daemon.is_fresh for daemon in in_c)
        assert not fresh_behind(world, 2)
        world.cut_links.clear()
        world.advance(7)
        assert all(daemon.is_fresh and daemon.replica.revision == 2 for daemon in in_c)

    def test_minority_with_the_table_changes_nothing(self, world: World) -> None:
        cut(world, A, B)
        cut(world, A, C)
        world.cut_from_table = {B, C}
        world.advance(7)
        reply = put_kind(world.daemons[ENTRY], "k")
        assert [problem.code for problem in reply.problems] == ["region_unreachable"]
        others = [daemon for daemon in world.daemons.values() if daemon.data_centre != A]
        assert all(daemon.is_fresh for daemon in others)

    def test_cut_is_noticed_at_the_next_change(self, world: World) -> None:
        # Contacts within ``stale_s`` are not enough: they may be from before the cut.
        cut(world, A, B)
        cut(world, A, C)
        world.cut_from_table = {B, C}
        reply = put_kind(world.daemons[ENTRY], "k")
        assert [problem.code for problem in reply.problems] == ["region_unreachable"]

    def test_table_outage_alone_stops_nothing(self, world: World) -> None:
        world.table.is_unavailable = True
        world.check = lambda: pytest.fail("not fresh") if not all(fresh()) else None

        def fresh() -> list[bool]:
            return [daemon.is_fresh for daemon in world.daemons.values()]

        world.advance(60)
        reply = put_kind(world.daemons[ENTRY], "k")
        assert [problem.code for problem in reply.problems] == ["table_unavailable"]


class TestRestartAndPause:
    """Guards against a daemon that vouches for its data centre after it missed a change."""

    def test_restarted_daemon_does_not_complete_a_majority(self, world: World) -> None:
        # B hears of the change, loses its memory, and then hears only from C, which has not.
        cut(world, A, C)
        cut(world, B, C)
        world.cut_from_table = {B, C}
        assert put_kind(world.daemons[ENTRY], "k").result == pb.CHANGE_RESULT_ACCEPTED
        cut(world, A, B)
        world.cut_links.discard(frozenset((B, C)))
        seeds = [address for address, place in SIDECARS.items() if place == C]
        for address, place in SIDECARS.items():
            if place == B:
                world.start(address, B, seeds)
        world.advance(7.5)
        seen = watch(world, 2)
        world.advance(10)
        assert not seen

    def test_paused_daemon_does_not_complete_a_majority(self, world: World) -> None:
        # One daemon of B is paused while the other hears of the change.
        cut(world, A, C)
        cut(world, B, C)
        world.cut_from_table = {B, C}
        paused = world.daemons["10.0.1.2:1"]
        paused.paused = True
        assert put_kind(world.daemons[ENTRY], "k").result == pb.CHANGE_RESULT_ACCEPTED
        world.advance(8)
        cut(world, A, B)
        world.cut_links.discard(frozenset((B, C)))
        for address in SIDECARS:
            other = world.daemons[address]
            if other.data_centre == B and other is not paused:
                other.paused = True
        seen = watch(world, 2)
        paused.paused = False
        world.advance(3)
        assert not seen

    def test_paused_daemon_compares_before_it_takes_work(self, world: World) -> None:
        daemon = world.daemons["10.0.1.4:1"]
        daemon.paused = True
        world.advance(3)
        daemon.paused = False
        assert not daemon.is_fresh
        world.advance(1)
        assert daemon.is_fresh

    def test_region_paused_as_a_whole_recovers_without_the_table(self, world: World) -> None:
        world.table.is_unavailable = True
        for daemon in world.daemons.values():
            daemon.paused = True
        world.advance(20)
        for daemon in world.daemons.values():
            daemon.paused = False
        world.advance(10)
        assert all(daemon.is_fresh for daemon in world.daemons.values())

    def test_new_daemon_learns_from_peers_with_the_table_out(self, world: World) -> None:
        put_kind(world.daemons[ENTRY], "k")
        world.table.is_unavailable = True
        daemon = world.start("10.0.1.4:1", C, [ENTRY])
        world.advance(7)
        assert daemon.replica.revision == 2
        assert daemon.is_fresh


class TestCommit:
    """Guards against a reply that is not true, and against changes lost by a race."""

    def race(self, world: World, intrude: Callable[[], None]) -> pb.ChangeReply:
        world.table.before_write = intrude
        return put_kind(world.daemons[ENTRY], "mine")

    def test_both_of_two_racing_changes_are_kept(self, world: World) -> None:
        reply = self.race(world, lambda: self.commit_other(world))
        assert (reply.result, reply.revision) == (pb.CHANGE_RESULT_ACCEPTED, 3)
        state = world.daemons[ENTRY].replica.state
        kinds = {key.name for key in state.objects if key.type == "kind"}
        assert kinds == {"mine", "other"}

    def test_expected_revision_that_another_change_voids(self, world: World) -> None:
        world.table.before_write = lambda: self.commit_other(world)
        operation = builders.put(builders.kind("other"), expected=0)
        reply = world.daemons[ENTRY].committer.apply(builders.change("mine", operation))
        assert reply.result == pb.CHANGE_RESULT_CONFLICT
        assert [problem.current_revision for problem in reply.problems] == [2]

    def commit_other(self, world: World) -> None:
        other = world.start("10.0.0.9:1", B, [ENTRY])
        other.propagation.read_head()
        world.run_tasks()
        assert put_kind(other, "other").result == pb.CHANGE_RESULT_ACCEPTED

    def test_lost_answer_is_accepted_once(self, world: World) -> None:
        world.table.lose_answers = 1
        reply = put_kind(world.daemons[ENTRY], "k")
        assert (reply.result, reply.revision) == (pb.CHANGE_RESULT_ACCEPTED, 2)
        assert put_kind(world.daemons[ENTRY], "k").revision == 2
        assert world.daemons[ENTRY].replica.revision == 2

    def test_write_that_may_still_take_effect_is_in_doubt(self, world: World) -> None:
        world.table.delay_writes = 1

        def cut_all() -> None:
            cut(world, A, B)
            cut(world, A, C)

        world.table.before_write = cut_all
        reply = put_kind(world.daemons[ENTRY], "k")
        assert reply.result == pb.CHANGE_RESULT_IN_DOUBT
        world.table.deliver_delayed()
        found = world.daemons[ENTRY].committer.get_change(builders.change("k").change_id)
        assert found.result == pb.CHANGE_RESULT_ACCEPTED

    def test_delayed_write_that_lost_the_race_stays_void(self, world: World) -> None:
        world.table.delay_writes = 1
        reply = put_kind(world.daemons[ENTRY], "k")
        assert (reply.result, reply.revision) == (pb.CHANGE_RESULT_ACCEPTED, 2)
        world.table.deliver_delayed()
        world.advance(3)
        assert world.daemons[ENTRY].replica.revision == 2

    def test_change_id_used_for_another_change(self, world: World) -> None:
        put_kind(world.daemons[ENTRY], "k")
        request = builders.change("k", builders.put(builders.kind("other")))
        reply = world.daemons[ENTRY].committer.apply(request)
        assert [problem.code for problem in reply.problems] == ["change_id_reused"]
