"""Stateful test of the configuration guarantees under concurrent faults."""

import zlib

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dragonflyhold.config.objects import ObjectKey, ObjectType, StoredObject
from dragonflyhold.ids import DataCentre
from dragonflyhold.transport.schema import operator_pb2 as pb
from tests.config import builders
from tests.config.simulation import SimDaemon, Simulation

# Time until an accepted change is in force on all daemons, guarantee 8 of the design.
IN_FORCE_S = 7.0
# Time until daemons recover unattended after the faults end.
RECOVERY_S = 30.0

DATA_CENTRE_BY_ADDRESS = {
    "10.0.0.1:1": "almaty-a",
    "10.0.0.2:1": "almaty-b",
    "10.0.1.1:1": "almaty-a",
    "10.0.1.2:1": "almaty-a",
    "10.0.1.3:1": "almaty-b",
    "10.0.1.4:1": "almaty-b",
    "10.0.1.5:1": "almaty-c",
    "10.0.1.6:1": "almaty-c",
}
ENTRIES = sorted(DATA_CENTRE_BY_ADDRESS)[:2]
SIDECARS = sorted(DATA_CENTRE_BY_ADDRESS)[2:]
DATA_CENTRES = sorted({DataCentre(name) for name in DATA_CENTRE_BY_ADDRESS.values()})
KIND_NAMES = ["redeem", "issue", "read"]

entries = st.sampled_from(ENTRIES)
daemons = st.sampled_from(sorted(DATA_CENTRE_BY_ADDRESS))
kind_names = st.sampled_from(KIND_NAMES)
data_centres = st.sampled_from(DATA_CENTRES)


class _Oracle:
    """Expected state, derived from the transactions that took effect in the table."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    def accepted(self) -> list[pb.ChangeRequest]:
        """Return the accepted changes in order; the first one has revision 1."""
        changes = []
        for puts in self._simulation.table.log:
            for put in puts:
                if put.key.startswith("config/change/"):
                    request = pb.ChangeRequest()
                    request.ParseFromString(zlib.decompress(put.value[1:]))
                    changes.append(request)
        return changes

    def kinds_at(self, revision: int) -> dict[str, tuple[float, int]]:
        """Return the utility and the last write of each kind at a revision."""
        kinds: dict[str, tuple[float, int]] = {}
        for number, change in enumerate(self.accepted()[:revision], start=1):
            for operation in change.operations:
                if operation.put.HasField("kind"):
                    kind = operation.put.kind
                    kinds[kind.name] = (kind.worth, number)
                if operation.delete.HasField("kind"):
                    kinds.pop(operation.delete.kind.name, None)
        return kinds


class ConfigMachine(RuleBasedStateMachine):
    """Operator actions and faults in any order."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.simulation = Simulation(seed)
        self.oracle = _Oracle(self.simulation)
        self.next_id = 0
        self.requests: dict[str, pb.ChangeRequest] = {}
        # Revision and time of each change whose commit was reported to an operator.
        self.reported: dict[str, tuple[int, float]] = {}
        self.rejected: set[str] = set()
        self.in_doubt: set[str] = set()
        for address, data_centre in DATA_CENTRE_BY_ADDRESS.items():
            self.simulation.start(address, data_centre, ENTRIES)
        upstreams = [
            builders.upstream(f"runner-{number}", address, DATA_CENTRE_BY_ADDRESS[address])
            for number, address in enumerate(SIDECARS)
        ]
        self.simulation.advance(1)
        values = [builders.service(), *upstreams]
        assert self.submit(ENTRIES[0], *builders.puts(values)) == pb.CHANGE_RESULT_ACCEPTED
        self.simulation.after_step = self.check_guarantees
        self.simulation.advance(4)
        assert all(daemon.is_fresh for daemon in self.running())

    # Operators.

    @rule(entry=entries, name=kind_names, worth=st.integers(1, 9), expected=st.integers(-1, 3))
    def put_kind(self, entry: str, name: str, worth: int, expected: int) -> None:
        expectation = None if expected < 0 else self.recent_revision(name, expected)
        self.submit(entry, builders.put(builders.kind(name, worth=worth), expectation))

    @rule(entry=entries, name=kind_names)
    def delete_kind(self, entry: str, name: str) -> None:
        self.submit(entry, builders.delete(builders.kind(name)))

    @rule(entry=entries, name=kind_names)
    def put_kind_and_wait(self, entry: str, name: str) -> None:
        """Submit a change and check the daemons once it must be in force."""
        self.submit(entry, builders.put(builders.kind(name, worth=33)))
        self.simulation.advance(IN_FORCE_S + 0.5)

    @rule(first=entries, second=entries, name=kind_names, expected=st.integers(-1, 1))
    def race(self, first: str, second: str, name: str, expected: int) -> None:
        """Commit another change between the validation and the transaction of a change."""
        expectation = None if expected < 0 else self.recent_revision(name, expected)

        def commit_concurrently() -> None:
            self.submit(second, builders.put(builders.kind(name, worth=77)))

        if first != second:
            self.simulation.table.before_write = commit_concurrently
        self.submit(first, builders.put(builders.kind(name, worth=55), expectation))
        self.simulation.table.before_write = None

    @precondition(lambda self: self.requests)
    @rule(entry=entries, data=st.data())
    def resubmit(self, entry: str, data: st.DataObject) -> None:
        change_id = data.draw(st.sampled_from(sorted(self.requests)))
        self.apply(entry, self.requests[change_id])

    @precondition(lambda self: self.requests)
    @rule(entry=entries, data=st.data())
    def query_outcome(self, entry: str, data: st.DataObject) -> None:
        change_id = data.draw(st.sampled_from(sorted(self.requests)))
        if self.simulation.daemons[entry].paused:
            return
        reply = self.simulation.daemons[entry].committer.get_change(change_id)
        if reply.result == pb.CHANGE_RESULT_ACCEPTED:
            assert self.oracle.accepted()[reply.revision - 1] == self.requests[change_id]

    # Faults.

    @rule()
    def lose_reply(self) -> None:
        self.simulation.table.lose_answers += 1

    @rule(count=st.integers(1, 3))
    def delay_write(self, count: int) -> None:
        self.simulation.table.delay_writes = count

    @rule()
    def deliver_delayed_writes(self) -> None:
        self.simulation.table.deliver_delayed()

    @rule(is_unavailable=st.booleans())
    def table_outage(self, is_unavailable: bool) -> None:
        self.simulation.table.is_unavailable = is_unavailable

    @rule(is_unavailable=st.booleans())
    def object_store_outage(self, is_unavailable: bool) -> None:
        self.simulation.object_store.is_unavailable = is_unavailable

    @rule(data_centre=data_centres, is_cut=st.booleans())
    def cut_from_table(self, data_centre: DataCentre, is_cut: bool) -> None:
        if is_cut:
            self.simulation.cut_from_table.add(data_centre)
        else:
            self.simulation.cut_from_table.discard(data_centre)

    @rule(one=data_centres, other=data_centres, is_cut=st.booleans())
    def cut_link(self, one: DataCentre, other: DataCentre, is_cut: bool) -> None:
        link = frozenset((one, other))
        # The design assumes that daemons in the same data centre can reach each other.
        if is_cut and len(link) == 2:
            self.simulation.cut_links.add(link)
        else:
            self.simulation.cut_links.discard(link)

    @rule(data_centre=data_centres, with_table=st.booleans())
    def partition(self, data_centre: DataCentre, with_table: bool) -> None:
        """Separate a data centre from the others, and one of the two sides from the table."""
        others = [name for name in DATA_CENTRES if name != data_centre]
        self.simulation.cut_links = {frozenset((data_centre, other)) for other in others}
        self.simulation.cut_from_table = set(others) if with_table else {data_centre}

    @rule()
    def end_partitions_and_outage(self) -> None:
        self.simulation.cut_links.clear()
        self.simulation.cut_from_table.clear()
        self.simulation.table.is_unavailable = False

    @rule(address=daemons)
    def restart(self, address: str) -> None:
        self.simulation.start(address, DATA_CENTRE_BY_ADDRESS[address], ENTRIES)

    @rule(address=daemons)
    def pause(self, address: str) -> None:
        self.simulation.daemons[address].paused = True

    @rule(address=daemons)
    def resume(self, address: str) -> None:
        self.simulation.daemons[address].paused = False
        self.check_guarantees()

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0]))
    def advance(self, seconds: float) -> None:
        self.simulation.advance(seconds)

    # Checks.

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "simulation"):
            self.simulation.run_tasks()
            self.check_guarantees()
            self.simulation.advance_instant()

    def check_guarantees(self) -> None:
        for daemon in self.running():
            revision = daemon.replica.revision
            highest = daemon.highest
            assert revision >= highest, f"{daemon.address} went back from {highest} to {revision}"
            if revision != highest:
                daemon.highest = revision
                assert self.kinds_of(daemon) == self.oracle.kinds_at(revision)
            if daemon.is_fresh:
                self.check_in_force(daemon)

    def check_in_force(self, daemon: SimDaemon) -> None:
        for change_id, (revision, reported_at) in self.reported.items():
            is_missing = (
                self.simulation.now - reported_at > IN_FORCE_S
                and daemon.replica.revision < revision
            )
            assert not is_missing, f"{daemon.address} accepts requests without {change_id}"

    def teardown(self) -> None:
        if not hasattr(self, "simulation"):
            return
        self.simulation.end_faults()
        self.simulation.advance(RECOVERY_S)
        accepted = self.oracle.accepted()
        for daemon in self.running():
            assert daemon.replica.revision == len(accepted)
            assert daemon.is_fresh
        for change_id, (revision, _) in self.reported.items():
            assert accepted[revision - 1] == self.requests[change_id], "an accepted change was lost"
        ids = [change.change_id for change in accepted]
        assert len(ids) == len(set(ids)), "a change was applied twice"
        assert not self.rejected & set(ids), "a rejected change took effect"

    # Helpers.

    def submit(self, entry: str, *operations: pb.Operation) -> int:
        self.next_id += 1
        request = builders.change(f"change-{self.next_id}", *operations)
        return self.apply(entry, request)

    def apply(self, entry: str, request: pb.ChangeRequest) -> int:
        daemon = self.simulation.daemons[entry]
        if daemon.paused:
            return pb.CHANGE_RESULT_UNSPECIFIED
        self.requests[request.change_id] = request
        writes = len(self.simulation.table.log)
        reply = daemon.committer.apply(request)
        match reply.result:
            case pb.CHANGE_RESULT_ACCEPTED:
                assert self.oracle.accepted()[reply.revision - 1] == request
                # The commit time is unknown for a change that an earlier attempt committed.
                if len(self.simulation.table.log) > writes:
                    report = (reply.revision, self.simulation.now)
                    self.reported.setdefault(request.change_id, report)
            case pb.CHANGE_RESULT_CONFLICT | pb.CHANGE_RESULT_INVALID:
                self.check_rejection(request, reply)
            case _:
                self.in_doubt.add(request.change_id)
        self.simulation.run_tasks()
        return reply.result

    def check_rejection(self, request: pb.ChangeRequest, reply: pb.ChangeReply) -> None:
        is_delayed = any(
            put.key == f"config/id/{request.change_id}"
            for _, puts in self.simulation.table.delayed
            for put in puts
        )
        if not is_delayed:
            # Without a delayed write, the same change may be resubmitted and accepted.
            accepted_ids = {change.change_id for change in self.oracle.accepted()}
            assert request.change_id not in accepted_ids
            return
        # A conflict shows that the head row has changed, so earlier attempts cannot take effect
        # either. Other rejections apply only to their own attempt; an earlier one may be delayed.
        if reply.result == pb.CHANGE_RESULT_INVALID and request.change_id in self.in_doubt:
            return
        self.rejected.add(request.change_id)
        del self.requests[request.change_id]

    def recent_revision(self, name: str, revisions_back: int) -> int:
        current = self.oracle.kinds_at(len(self.oracle.accepted())).get(name, (0.0, 0))[1]
        return max(current - revisions_back, 0)

    def running(self) -> list[SimDaemon]:
        return [daemon for daemon in self.simulation.daemons.values() if not daemon.paused]

    def kinds_of(self, daemon: SimDaemon) -> dict[str, tuple[float, int]]:
        found: dict[str, tuple[float, int]] = {}
        for name in KIND_NAMES:
            stored = daemon.replica.state.get(ObjectKey(ObjectType.KIND, "tapster-lm", name))
            if isinstance(stored, StoredObject):
                found[name] = (stored.object.worth, stored.revision)  # type: ignore[union-attr]
        return found


class TestConfigGuarantees:
    """Guards against accepted changes that are lost or not in force everywhere within 7 s."""

    def test_any_order_of_changes_and_faults(self) -> None:
        run_state_machine_as_test(
            ConfigMachine,
            settings=settings(
                max_examples=60,
                stateful_step_count=30,
                derandomize=True,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
