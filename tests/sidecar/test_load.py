"""Tests of what sidecars report of their load, and of how batch requests share slots."""

from dragonflyhold.sidecar import messages as msg
from dragonflyhold.sidecar.outbox import StreamOutbox
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.sidecar.fakes import FakeEngine
from tests.sidecar.rig import CoreRig, make_submit
from tests.sidecar.test_slots import make_rig


class TestHeartbeats:
    """Guards against heartbeats that cost more than the control budget of a daemon."""

    def test_unchanged_resident_adapters_are_told_once_per_stream(self) -> None:
        rig = make_rig(True)
        rig.observe()
        rig.submit(make_submit(1, "pale"))
        rig.settle()
        next(rig.outbox.frames())
        reports = [self._next_report(rig, rig.outbox) for _ in range(3)]
        assert [len(report.resident) for report in reports] == [1, 0, 0]
        assert [report.resident_unchanged for report in reports] == [False, True, True]
        rig.submit(make_submit(2, "stout"))
        rig.settle()
        next(rig.outbox.frames())
        assert len(self._next_report(rig, rig.outbox).resident) == 2
        # An entry that connects again has no earlier heartbeat.
        assert len(self._next_report(rig, rig.open_stream()).resident) == 2

    def _next_report(self, rig: CoreRig, outbox: StreamOutbox) -> pb.LoadReport:
        frame = pb.EntryFrame(items=[pb.EntryItem(heartbeat=pb.Heartbeat())], config_revision=1)
        rig.tell(msg.FrameReceived(outbox, frame))
        items = next(outbox.frames()).items
        (heartbeat,) = [item.heartbeat for item in items if item.HasField("heartbeat")]
        return heartbeat.load


class TestBatchSlots:
    """Guards against batch requests that pin all slots of an engine for minutes."""

    def test_batch_requests_leave_slots_to_interactive_ones(self) -> None:
        engine = FakeEngine(True, slots=3, batch_limit=8)
        rig = make_rig(True, engine)
        rig.observe()
        for number, name in enumerate(("pale", "stout", "mild")):
            rig.submit(make_submit(number, name, deadline_ms=10_000_000))
        rig.settle()
        assert sorted(engine.adapters) != []
        for number, name in enumerate(("pale", "stout", "mild"), start=10):
            rig.submit(make_submit(number, name, kind="night", deadline_ms=10_000_000))
        rig.tick()
        # 3 of 8 slots are kept free of batch requests, so of 3 slots they get 1.
        assert len(rig.runs) == 1
