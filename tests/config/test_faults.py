"""Tests of single faults in a simulated region of three data centres."""

from collections.abc import Callable

import pytest

from dragonflyhold.ids import DataCentre
from dragonflyhold.transport.schema import operator_pb2 as pb
from tests.config import builders
from tests.config.simulation import SimDaemon, Simulation

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
    entry.simulation.run_tasks()
    return reply


@pytest.fixture
def simulation() -> Simulation:
    """Return a simulated region in normal operation at revision 1."""
    simulation = Simulation()
    entry = simulation.start(ENTRY, A, [])
    for address, data_centre in SIDECARS.items():
        simulation.start(address, data_centre, [ENTRY])
    upstreams = [
        builders.upstream(f"runner-{number}", address, data_centre)
        for number, (address, data_centre) in enumerate(SIDECARS.items())
    ]
    request = builders.change("first", *builders.puts([builders.service(), *upstreams]))
    simulation.advance(1)
    assert entry.committer.apply(request).result == pb.CHANGE_RESULT_ACCEPTED
    simulation.advance(4)
    assert all(daemon.is_fresh for daemon in simulation.daemons.values())
    return simulation


def fresh_without_revision(simulation: Simulation, revision: int) -> list[str]:
    """Return the daemons that accept requests without having a revision installed."""
    return [
        address
        for address, daemon in simulation.daemons.items()
        if daemon.is_fresh and daemon.replica.revision < revision
    ]


def record_fresh_without_revision(simulation: Simulation, revision: int) -> list[str]:
    """Record, from now on, daemons that accept requests without a revision installed."""
    outdated_daemons: list[str] = []
    simulation.after_step = lambda: outdated_daemons.extend(
        fresh_without_revision(simulation, revision)
    )
    return outdated_daemons


def cut_link(simulation: Simulation, one: DataCentre, other: DataCentre) -> None:
    simulation.cut_links.add(frozenset((one, other)))


class TestPartition:
    """Guards against accepting requests with an old configuration during a partition."""

    def test_minority_without_table_becomes_stale(self, simulation: Simulation) -> None:
        cut_link(simulation, A, C)
        cut_link(simulation, B, C)
        simulation.cut_from_table = {C}
        assert put_kind(simulation.daemons[ENTRY], "k").result == pb.CHANGE_RESULT_ACCEPTED
        simulation.advance(7)
        daemons_in_c = [daemon for daemon in simulation.daemons.values() if daemon.data_centre == C]
        assert not any(daemon.is_fresh for daemon in daemons_in_c)
        assert not fresh_without_revision(simulation, 2)
        simulation.cut_links.clear()
        simulation.advance(7)
        assert all(daemon.is_fresh and daemon.replica.revision == 2 for daemon in daemons_in_c)

    def test_minority_with_table_rejects_changes(self, simulation: Simulation) -> None:
        cut_link(simulation, A, B)
        cut_link(simulation, A, C)
        simulation.cut_from_table = {B, C}
        simulation.advance(7)
        reply = put_kind(simulation.daemons[ENTRY], "k")
        assert [problem.code for problem in reply.problems] == ["region_unreachable"]
        others = [daemon for daemon in simulation.daemons.values() if daemon.data_centre != A]
        assert all(daemon.is_fresh for daemon in others)

    def test_change_right_after_partition_is_rejected(self, simulation: Simulation) -> None:
        # Contacts within ``stale_s`` are not sufficient: they may be from before the partition.
        cut_link(simulation, A, B)
        cut_link(simulation, A, C)
        simulation.cut_from_table = {B, C}
        reply = put_kind(simulation.daemons[ENTRY], "k")
        assert [problem.code for problem in reply.problems] == ["region_unreachable"]

    def test_daemons_stay_fresh_during_table_outage(self, simulation: Simulation) -> None:
        simulation.table.is_unavailable = True
        simulation.after_step = lambda: pytest.fail("not fresh") if not all(fresh()) else None

        def fresh() -> list[bool]:
            return [daemon.is_fresh for daemon in simulation.daemons.values()]

        simulation.advance(60)
        reply = put_kind(simulation.daemons[ENTRY], "k")
        assert [problem.code for problem in reply.problems] == ["table_unavailable"]


class TestRestartAndPause:
    """Guards against daemons counting for a majority after they missed a change."""

    def test_restarted_daemon_does_not_count_for_majority(self, simulation: Simulation) -> None:
        # B installs the change, loses it in a restart, and can then reach only C, which lacks it.
        cut_link(simulation, A, C)
        cut_link(simulation, B, C)
        simulation.cut_from_table = {B, C}
        assert put_kind(simulation.daemons[ENTRY], "k").result == pb.CHANGE_RESULT_ACCEPTED
        cut_link(simulation, A, B)
        simulation.cut_links.discard(frozenset((B, C)))
        seeds = [address for address, data_centre in SIDECARS.items() if data_centre == C]
        for address, data_centre in SIDECARS.items():
            if data_centre == B:
                simulation.start(address, B, seeds)
        simulation.advance(7.5)
        outdated_daemons = record_fresh_without_revision(simulation, 2)
        simulation.advance(10)
        assert not outdated_daemons

    def test_paused_daemon_does_not_count_for_majority(self, simulation: Simulation) -> None:
        # One daemon of B is paused while the other one installs the change.
        cut_link(simulation, A, C)
        cut_link(simulation, B, C)
        simulation.cut_from_table = {B, C}
        paused = simulation.daemons["10.0.1.2:1"]
        paused.paused = True
        assert put_kind(simulation.daemons[ENTRY], "k").result == pb.CHANGE_RESULT_ACCEPTED
        simulation.advance(8)
        cut_link(simulation, A, B)
        simulation.cut_links.discard(frozenset((B, C)))
        for address in SIDECARS:
            other = simulation.daemons[address]
            if other.data_centre == B and other is not paused:
                other.paused = True
        outdated_daemons = record_fresh_without_revision(simulation, 2)
        paused.paused = False
        simulation.advance(3)
        assert not outdated_daemons

    def test_resumed_daemon_is_stale_until_it_compares(self, simulation: Simulation) -> None:
        daemon = simulation.daemons["10.0.1.4:1"]
        daemon.paused = True
        simulation.advance(3)
        daemon.paused = False
        assert not daemon.is_fresh
        simulation.advance(1)
        assert daemon.is_fresh

    def test_fully_paused_region_recovers_without_table(self, simulation: Simulation) -> None:
        simulation.table.is_unavailable = True
        for daemon in simulation.daemons.values():
            daemon.paused = True
        simulation.advance(20)
        for daemon in simulation.daemons.values():
            daemon.paused = False
        simulation.advance(10)
        assert all(daemon.is_fresh for daemon in simulation.daemons.values())

    def test_new_daemon_catches_up_from_peers_without_table(self, simulation: Simulation) -> None:
        put_kind(simulation.daemons[ENTRY], "k")
        simulation.table.is_unavailable = True
        daemon = simulation.start("10.0.1.4:1", C, [ENTRY])
        simulation.advance(7)
        assert daemon.replica.revision == 2
        assert daemon.is_fresh


class TestCommit:
    """Guards against wrong replies to operators and against changes lost in a race."""

    def put_kind_during_write(
        self, simulation: Simulation, commit_concurrently: Callable[[], None]
    ) -> pb.ChangeReply:
        simulation.table.before_write = commit_concurrently
        return put_kind(simulation.daemons[ENTRY], "mine")

    def test_racing_changes_are_both_accepted(self, simulation: Simulation) -> None:
        reply = self.put_kind_during_write(simulation, lambda: self.commit_other(simulation))
        assert (reply.result, reply.revision) == (pb.CHANGE_RESULT_ACCEPTED, 3)
        state = simulation.daemons[ENTRY].replica.state
        kinds = {key.name for key in state.objects if key.type == "kind"}
        assert kinds == {"mine", "other"}

    def test_concurrent_change_invalidates_expected_revision(self, simulation: Simulation) -> None:
        simulation.table.before_write = lambda: self.commit_other(simulation)
        operation = builders.put(builders.kind("other"), expected=0)
        reply = simulation.daemons[ENTRY].committer.apply(builders.change("mine", operation))
        assert reply.result == pb.CHANGE_RESULT_CONFLICT
        assert [problem.current_revision for problem in reply.problems] == [2]

    def commit_other(self, simulation: Simulation) -> None:
        other = simulation.start("10.0.0.9:1", B, [ENTRY])
        other.propagation.read_head()
        simulation.run_tasks()
        assert put_kind(other, "other").result == pb.CHANGE_RESULT_ACCEPTED

    def test_change_with_lost_reply_is_accepted_once(self, simulation: Simulation) -> None:
        simulation.table.lose_answers = 1
        reply = put_kind(simulation.daemons[ENTRY], "k")
        assert (reply.result, reply.revision) == (pb.CHANGE_RESULT_ACCEPTED, 2)
        assert put_kind(simulation.daemons[ENTRY], "k").revision == 2
        assert simulation.daemons[ENTRY].replica.revision == 2

    def test_delayed_write_is_in_doubt(self, simulation: Simulation) -> None:
        simulation.table.delay_writes = 1

        def cut_all_links() -> None:
            cut_link(simulation, A, B)
            cut_link(simulation, A, C)

        simulation.table.before_write = cut_all_links
        reply = put_kind(simulation.daemons[ENTRY], "k")
        assert reply.result == pb.CHANGE_RESULT_IN_DOUBT
        simulation.table.deliver_delayed()
        found = simulation.daemons[ENTRY].committer.get_change(builders.change("k").change_id)
        assert found.result == pb.CHANGE_RESULT_ACCEPTED

    def test_delayed_write_does_not_take_effect_after_retry(self, simulation: Simulation) -> None:
        simulation.table.delay_writes = 1
        reply = put_kind(simulation.daemons[ENTRY], "k")
        assert (reply.result, reply.revision) == (pb.CHANGE_RESULT_ACCEPTED, 2)
        simulation.table.deliver_delayed()
        simulation.advance(3)
        assert simulation.daemons[ENTRY].replica.revision == 2

    def test_reused_change_id_is_rejected(self, simulation: Simulation) -> None:
        put_kind(simulation.daemons[ENTRY], "k")
        request = builders.change("k", builders.put(builders.kind("other")))
        reply = simulation.daemons[ENTRY].committer.apply(request)
        assert [problem.code for problem in reply.problems] == ["change_id_reused"]
