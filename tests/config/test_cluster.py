"""Stateful test of the configuration promises under concurrent faults, against a simple oracle."""

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
from tests.config.simulation import SimDaemon, World

# Promise 8 of the design.
IN_FORCE_S = 7.0
# Promise of unattended recovery.
RECOVERY_S = 30.0

PLACES = {
    "10.0.0.1:1": "almaty-a",
    "10.0.0.2:1": "almaty-b",
    "10.0.1.1:1": "almaty-a",
    "10.0.1.2:1": "almaty-a",
    "10.0.1.3:1": "almaty-b",
    "10.0.1.4:1": "almaty-b",
    "10.0.1.5:1": "almaty-c",
    "10.0.1.6:1": "almaty-c",
}
ENTRIES = sorted(PLACES)[:2]
SIDECARS = sorted(PLACES)[2:]
DATA_CENTRES = sorted({DataCentre(name) for name in PLACES.values()})
KIND_NAMES = ["redeem", "issue", "read"]

entries = st.sampled_from(ENTRIES)
daemons = st.sampled_from(sorted(PLACES))
kind_names = st.sampled_from(KIND_NAMES)
data_centres = st.sampled_from(DATA_CENTRES)


class _Oracle:
    """What was accepted, taken from the transactions that took effect in the table."""

    def __init__(self, world: World) -> None:
        self._world = world

    def accepted(self) -> list[pb.ChangeRequest]:
        """Return the changes in the order of their revisions, the first is revision 1."""
        changes = []
        for puts in self._world.table.log:
            for put in puts:
                if put.key.startswith("config/change/"):
                    request = pb.ChangeRequest()
                    request.ParseFromString(zlib.decompress(put.value[1:]))
                    changes.append(request)
        return changes

    def kinds_at(self, revision: int) -> dict[str, tuple[float, int]]:
        """Return worth and last write of each kind at a revision."""
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
    """Operators, daemons and faults in any order."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        self.world = World(seed)
        self.oracle = _Oracle(self.world)
        self.next_id = 0
        self.requests: dict[str, pb.ChangeRequest] = {}
        # Revision and time of each change that was reported as accepted.
        self.reported: dict[str, tuple[int, float]] = {}
        self.refused: set[str] = set()
        self.in_doubt: set[str] = set()
        for address, data_centre in PLACES.items():
            self.world.start(address, data_centre, ENTRIES)
        upstreams = [
            builders.upstream(f"runner-{number}", address, PLACES[address])
            for number, address in enumerate(SIDECARS)
        ]
        self.world.advance(1)
        values = [builders.service(), *upstreams]
        assert self.submit(ENTRIES[0], *builders.puts(values)) == pb.CHANGE_RESULT_ACCEPTED
        self.world.check = self.check_promises
        self.world.advance(4)
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
        """Look at all daemons when the change must be in force."""
        self.submit(entry, builders.put(builders.kind(name, worth=33)))
        self.world.advance(IN_FORCE_S + 0.5)

    @rule(first=entries, second=entries, name=kind_names, expected=st.integers(-1, 1))
    def race(self, first: str, second: str, name: str, expected: int) -> None:
        """Let another operator's change come between validation and transaction."""
        expectation = None if expected < 0 else self.recent_revision(name, expected)

        def intrude() -> None:
            self.submit(second, builders.put(builders.kind(name, worth=77)))

        if first != second:
            self.world.table.before_write = intrude
        self.submit(first, builders.put(builders.kind(name, worth=55), expectation))
        self.world.table.before_write = None

    @precondition(lambda self: self.requests)
    @rule(entry=entries, data=st.data())
    def submit_again(self, entry: str, data: st.DataObject) -> None:
        change_id = data.draw(st.sampled_from(sorted(self.requests)))
        self.apply(entry, self.requests[change_id])

    @precondition(lambda self: self.requests)
    @rule(entry=entries, data=st.data())
    def ask_for_fate(self, entry: str, data: st.DataObject) -> None:
        change_id = data.draw(st.sampled_from(sorted(self.requests)))
        if self.world.daemons[entry].paused:
            return
        reply = self.world.daemons[entry].committer.get_change(change_id)
        if reply.result == pb.CHANGE_RESULT_ACCEPTED:
            assert self.oracle.accepted()[reply.revision - 1] == self.requests[change_id]

    # Faults.

    @rule()
    def lose_answer(self) -> None:
        self.world.table.lose_answers += 1

    @rule(count=st.integers(1, 3))
    def delay_write(self, count: int) -> None:
        self.world.table.delay_writes = count

    @rule()
    def deliver_delayed_writes(self) -> None:
        self.world.table.deliver_delayed()

    @rule(is_out=st.booleans())
    def table_outage(self, is_out: bool) -> None:
        self.world.table.is_out = is_out

    @rule(is_out=st.booleans())
    def object_store_outage(self, is_out: bool) -> None:
        self.world.object_store.is_out = is_out

    @rule(data_centre=data_centres, is_cut=st.booleans())
    def cut_from_table(self, data_centre: DataCentre, is_cut: bool) -> None:
        if is_cut:
            self.world.cut_from_table.add(data_centre)
        else:
            self.world.cut_from_table.discard(data_centre)

    @rule(one=data_centres, other=data_centres, is_cut=st.booleans())
    def cut_link(self, one: DataCentre, other: DataCentre, is_cut: bool) -> None:
        link = frozenset((one, other))
        # Within a data centre the design assumes that daemons reach each other.
        if is_cut and len(link) == 2:
            self.world.cut_links.add(link)
        else:
            self.world.cut_links.discard(link)

    @rule(data_centre=data_centres, with_table=st.booleans())
    def partition(self, data_centre: DataCentre, with_table: bool) -> None:
        """Cut a data centre off from the others, and one side off from the table."""
        others = [name for name in DATA_CENTRES if name != data_centre]
        self.world.cut_links = {frozenset((data_centre, other)) for other in others}
        self.world.cut_from_table = set(others) if with_table else {data_centre}

    @rule()
    def rejoin(self) -> None:
        self.world.cut_links.clear()
        self.world.cut_from_table.clear()
        self.world.table.is_out = False

    @rule(address=daemons)
    def restart(self, address: str) -> None:
        self.world.start(address, PLACES[address], ENTRIES)

    @rule(address=daemons)
    def pause(self, address: str) -> None:
        self.world.daemons[address].paused = True

    @rule(address=daemons)
    def resume(self, address: str) -> None:
        self.world.daemons[address].paused = False
        self.check_promises()

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    # Checks.

    @invariant()
    def promises_hold(self) -> None:
        if hasattr(self, "world"):
            self.world.run_tasks()
            self.check_promises()
            self.world.let_instant_pass()

    def check_promises(self) -> None:
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
        for change_id, (revision, at) in self.reported.items():
            late = self.world.now - at > IN_FORCE_S and daemon.replica.revision < revision
            assert not late, f"{daemon.address} takes work without {change_id}"

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        self.world.heal()
        self.world.advance(RECOVERY_S)
        accepted = self.oracle.accepted()
        for daemon in self.running():
            assert daemon.replica.revision == len(accepted)
            assert daemon.is_fresh
        for change_id, (revision, _) in self.reported.items():
            assert accepted[revision - 1] == self.requests[change_id], "accepted change lost"
        ids = [change.change_id for change in accepted]
        assert len(ids) == len(set(ids)), "a change was applied twice"
        assert not self.refused & set(ids), "a refused change took effect"

    # Helpers.

    def submit(self, entry: str, *operations: pb.Operation) -> int:
        self.next_id += 1
        request = builders.change(f"change-{self.next_id}", *operations)
        return self.apply(entry, request)

    def apply(self, entry: str, request: pb.ChangeRequest) -> int:
        daemon = self.world.daemons[entry]
        if daemon.paused:
            return pb.CHANGE_RESULT_UNSPECIFIED
        self.requests[request.change_id] = request
        writes = len(self.world.table.log)
        reply = daemon.committer.apply(request)
        match reply.result:
            case pb.CHANGE_RESULT_ACCEPTED:
                assert self.oracle.accepted()[reply.revision - 1] == request
                # One that is found accepted from an earlier try tells nothing about the time.
                if len(self.world.table.log) > writes:
                    report = (reply.revision, self.world.now)
                    self.reported.setdefault(request.change_id, report)
            case pb.CHANGE_RESULT_CONFLICT | pb.CHANGE_RESULT_INVALID:
                self.check_refusal(request, reply)
            case _:
                self.in_doubt.add(request.change_id)
        self.world.run_tasks()
        return reply.result

    def check_refusal(self, request: pb.ChangeRequest, reply: pb.ChangeReply) -> None:
        is_delayed = any(
            put.key == f"config/id/{request.change_id}"
            for _, puts in self.world.table.delayed
            for put in puts
        )
        if not is_delayed:
            # Without a write on its way, the same change may be submitted again and accepted.
            taken = {change.change_id for change in self.oracle.accepted()}
            assert request.change_id not in taken
            return
        # A conflict shows that the head row has moved, which also voids earlier tries. Other
        # refusals speak only of their own try, while an earlier one may still be on its way.
        if reply.result == pb.CHANGE_RESULT_INVALID and request.change_id in self.in_doubt:
            return
        self.refused.add(request.change_id)
        del self.requests[request.change_id]

    def recent_revision(self, name: str, back: int) -> int:
        current = self.oracle.kinds_at(len(self.oracle.accepted())).get(name, (0.0, 0))[1]
        return max(current - back, 0)

    def running(self) -> list[SimDaemon]:
        return [daemon for daemon in self.world.daemons.values() if not daemon.paused]

    def kinds_of(self, daemon: SimDaemon) -> dict[str, tuple[float, int]]:
        found: dict[str, tuple[float, int]] = {}
        for name in KIND_NAMES:
            stored = daemon.replica.state.get(ObjectKey(ObjectType.KIND, "tapster-lm", name))
            if isinstance(stored, StoredObject):
                found[name] = (stored.object.worth, stored.revision)  # type: ignore[union-attr]
        return found


class TestConfigPromises:
    """Guards promise 8: accepted changes are never lost and in force within 7 s everywhere."""

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
