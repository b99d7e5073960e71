"""Tests of load reports in heartbeats and of the adapter slots that batch requests occupy."""

from dragonflyhold.sidecar import messages as msg
from dragonflyhold.sidecar.outbox import StreamOutbox
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.sidecar.fakes import FakeEngine
from tests.sidecar.harness import CoreHarness, make_harness, make_submit


class TestHeartbeats:
    """Guards against heartbeats that exceed the budget of a daemon for control traffic."""

    def test_unchanged_resident_adapters_are_sent_once_per_stream(self) -> None:
        harness = make_harness(True)
        harness.observe()
        harness.submit(make_submit(1, "pale"))
        harness.run_until_idle()
        next(harness.outbox.frames())
        reports = [self._next_report(harness, harness.outbox) for _ in range(3)]
        assert [len(report.resident) for report in reports] == [1, 0, 0]
        assert [report.resident_unchanged for report in reports] == [False, True, True]
        harness.submit(make_submit(2, "stout"))
        harness.run_until_idle()
        next(harness.outbox.frames())
        assert len(self._next_report(harness, harness.outbox).resident) == 2
        # A new stream has sent no heartbeat yet, so it sends the resident adapters again.
        assert len(self._next_report(harness, harness.open_stream()).resident) == 2

    def _next_report(self, harness: CoreHarness, outbox: StreamOutbox) -> pb.LoadReport:
        frame = pb.EntryFrame(items=[pb.EntryItem(heartbeat=pb.Heartbeat())], config_revision=1)
        harness.send_message(msg.FrameReceived(outbox, frame))
        items = next(outbox.frames()).items
        (heartbeat,) = [item.heartbeat for item in items if item.HasField("heartbeat")]
        return heartbeat.load


class TestBatchSlots:
    """Guards against batch requests that pin all slots of an engine for minutes."""

    def test_batch_requests_leave_slots_to_interactive_ones(self) -> None:
        engine = FakeEngine(True, slots=3, batch_limit=8)
        harness = make_harness(True, engine)
        harness.observe()
        for number, name in enumerate(("pale", "stout", "mild")):
            harness.submit(make_submit(number, name, deadline_ms=10_000_000))
        harness.run_until_idle()
        assert sorted(engine.adapters) != []
        for number, name in enumerate(("pale", "stout", "mild"), start=10):
            harness.submit(make_submit(number, name, kind="night", deadline_ms=10_000_000))
        harness.tick()
        # Batch requests may occupy at most 5/8 of the slots, so they get 1 of 3.
        assert len(harness.runs) == 1
