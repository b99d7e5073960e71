"""Tests of the adapter slots of a sidecar with a fake engine."""

import pytest

from dragonflyhold.ids import AdapterKey, EngineAdapterName, Epoch, ServiceName
from dragonflyhold.sidecar import messages as msg
from dragonflyhold.sidecar.runs import RunFinished, RunResult
from dragonflyhold.sidecar.slots import parse_engine_name
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.upstreams.interface import StaleEpochError
from tests.sidecar.fakes import SERVICE, FakeConfig, FakeEngine, FakeTable, adapter_key
from tests.sidecar.harness import CoreHarness, LossyEngineClient, make_harness, make_submit


class TestUnpinWhenIdle:
    """Guards against evicting an adapter while the engine still runs a disconnected request."""

    def test_disconnected_request_stays_pinned_until_the_engine_reports_idle(self) -> None:
        engine = FakeEngine(True, slots=1)
        harness = make_harness(True, engine)
        harness.observe()
        harness.submit(make_submit(1, "pale", version=1, deadline_ms=10_000_000))
        self._run_commands(harness)
        harness.begin_run()
        interrupted_run = harness.runs.pop()
        name = harness.slots.engine_name(0)
        harness.send_message(
            RunFinished(interrupted_run.request_id, RunResult.INTERRUPTED, "read timed out")
        )
        harness.observe()
        assert len(harness.tables.inflight) == 0
        harness.submit(make_submit(2, "stout", version=1, deadline_ms=10_000_000))
        for _ in range(3):
            self._run_commands(harness)
            harness.observe()
        assert list(engine.adapters) == [name]
        # The engine ends the request because its client has disconnected.
        engine.finish_request(name, engine.boot)
        harness.run_until_idle()
        assert engine.evicted_in_flight == []
        assert [weights for _, _, weights, _ in engine.runs] == [
            "weights/pale/1",
            "weights/stout/1",
        ]

    def _run_commands(self, harness: CoreHarness) -> None:
        harness.tick()
        while harness.commands:
            harness.run_command()
        harness.tick()


class TestRefuseUnknownRevision:
    """Guards against refusing a running permit as ``not_run`` while the configuration is behind."""

    def test_running_permit_is_not_refused(self) -> None:
        harness = make_harness(True)
        harness.observe()
        permit = harness.tables.permits.issue(1, harness.now)[0]
        submit = make_submit(1, "pale", request_id=permit, deadline_ms=10_000_000)
        harness.submit(submit)
        harness.tick()
        harness.run_command()
        harness.begin_run()
        other = harness.open_stream()
        frame = pb.EntryFrame(items=[pb.EntryItem(submit=submit)], config_revision=99)
        harness.send_message(msg.FrameReceived(other, frame))
        for _ in range(30):
            harness.tick()
        harness.end_run()
        for outbox in (harness.outbox, other):
            items = harness.items(outbox)
            assert [item.refused for item in items if item.HasField("refused")] == []
            assert [item.end.outcome for item in items if item.HasField("end")] == [pb.OUTCOME_OK]


class TestAdoption:
    """Guards against adopting an adapter that a delayed command of the old sidecar can unload."""

    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_resident_adapters_are_adopted_only_with_fencing(self, checks_fencing: bool) -> None:
        engine = FakeEngine(checks_fencing)
        engine.load_adapter(EngineAdapterName("pale-1-1-7"), "weights/pale/1", Epoch(1))
        harness = make_harness(checks_fencing, engine)
        harness.observe()
        assert (harness.slots.find(adapter_key("pale")) is not None) == checks_fencing
        harness.run_until_idle()
        assert (EngineAdapterName("pale-1-1-7") in engine.adapters) == checks_fencing

    def test_adopted_slot_stays_pinned_until_the_engine_reports_idle(self) -> None:
        engine = FakeEngine()
        name = EngineAdapterName("pale-1-1-7")
        engine.load_adapter(name, "weights/pale/1", Epoch(1))
        engine.in_flight[name] = 1
        harness = make_harness(True, engine)
        harness.observe()
        for tag, adapter in enumerate(["stout", "mild"]):
            harness.submit(make_submit(tag, adapter))
        harness.run_until_idle(rounds=5, seconds=0.1)
        assert name in engine.adapters
        engine.in_flight[name] = 0
        harness.run_until_idle(rounds=20)
        assert engine.evicted_in_flight == []
        assert len(harness.tables.queue) == 0

    def test_orphan_in_use_is_not_unloaded(self) -> None:
        engine = FakeEngine(checks_fencing=False)
        name = EngineAdapterName("pale-1-1-7")
        engine.load_adapter(name, "weights/pale/1", Epoch(1))
        engine.in_flight[name] = 1
        harness = make_harness(False, engine)
        harness.observe()
        harness.tick()
        assert harness.commands == []
        engine.in_flight[name] = 0
        harness.observe()
        harness.tick()
        harness.run_command()
        assert name not in engine.adapters


class TestDelayedCommands:
    """Guards against commands of a stopped sidecar that arrive after its successor has started."""

    def test_fencing_engine_rejects_a_delayed_unload_of_an_adopted_adapter(self) -> None:
        engine, table, config = FakeEngine(), FakeTable(), FakeConfig()
        engine_client = LossyEngineClient(engine)
        old = CoreHarness(engine_client, table, config, 1)
        old.observe()
        old.submit(make_submit(1, "pale"))
        old.run_until_idle()
        name = next(iter(engine.adapters))
        new = CoreHarness(engine_client, table, config, 2)
        new.observe()
        new.submit(make_submit(1, "pale"))
        new.begin_run()
        with pytest.raises(StaleEpochError):
            engine_client.unload_adapter(name, old.tables.condition.epoch)
        assert engine.evicted_in_flight == []
        new.end_run()
        assert len(engine.runs) == 2


class TestEngineState:
    """Guards against a slot table that differs from the state of the engine."""

    def test_restart_clears_the_slots_and_ends_requests_in_flight(self) -> None:
        harness = make_harness(True)
        harness.observe()
        harness.submit(make_submit(1, "pale"))
        harness.tick()
        harness.run_command()
        harness.begin_run()
        harness.engine_client.engine.restart()
        harness.observe()
        assert harness.slots.find(adapter_key("pale")) is None
        end = harness.items()[-1].end
        assert (end.code, end.outcome, end.crashed) == (
            "upstream_crashed",
            pb.OUTCOME_FAILED,
            True,
        )

    def test_no_request_starts_between_a_disconnect_and_the_next_health_check(self) -> None:
        # Otherwise the second request would be suspected of a crash that preceded it.
        harness = make_harness(True)
        harness.observe()
        harness.submit(make_submit(1, "pale", deadline_ms=10_000_000))
        harness.tick()
        harness.run_command()
        harness.begin_run()
        interrupted_run = harness.runs.pop()
        harness.engine_client.engine.restart()
        harness.send_message(
            RunFinished(interrupted_run.request_id, RunResult.INTERRUPTED, "closed")
        )
        harness.submit(make_submit(2, "pale", prompt="other", deadline_ms=10_000_000))
        harness.tick()
        assert harness.runs == []
        harness.observe()
        (report,) = harness.crashes.reports()
        assert report.crashes == 1
        harness.run_until_idle()
        assert len(harness.engine_client.engine.runs) == 2

    def test_unresponsive_engine_that_restarts_counts_as_crashed(self) -> None:
        harness = make_harness(True)
        harness.observe()
        harness.submit(make_submit(1, "pale", deadline_ms=10_000_000))
        harness.tick()
        harness.run_command()
        harness.begin_run()
        interrupted_run = harness.runs.pop()
        # The engine accepts connections and closes them without a response.
        harness.engine_client.closes_connections = True
        harness.send_message(
            RunFinished(interrupted_run.request_id, RunResult.INTERRUPTED, "closed")
        )
        for _ in range(5):
            harness.observe()
        assert harness.crashes.reports() == []
        harness.engine_client.closes_connections = False
        harness.engine_client.engine.restart()
        harness.observe()
        (report,) = harness.crashes.reports()
        assert report.crashes == 1

    def test_adapter_missing_from_the_engine_is_loaded_again(self) -> None:
        harness = make_harness(True)
        harness.observe()
        harness.submit(make_submit(1, "pale"))
        harness.run_until_idle()
        harness.engine_client.engine.adapters.clear()
        harness.submit(make_submit(2, "pale"))
        harness.run_until_idle()
        ends = [item.end for item in harness.items() if item.WhichOneof("item") == "end"]
        assert [end.outcome for end in ends] == [pb.OUTCOME_OK] * 2


class TestUnacknowledgedUnload:
    """Guards against reuse of a slot whose unload command may still take effect."""

    def test_slot_stays_unusable_until_the_unload_is_acknowledged(self) -> None:
        harness = make_harness(True)
        harness.observe()
        for tag, adapter in enumerate(["pale", "stout"]):
            harness.submit(make_submit(tag, adapter))
        harness.run_until_idle()
        harness.submit(make_submit(9, "mild"))
        victim = next(slot.key for slot in harness.slots.table.slots if not slot.is_idle)
        assert victim is not None
        harness.submit(make_submit(10, victim.adapter))
        harness.engine_client.delays_commands = True
        harness.run_command()
        harness.engine_client.delays_commands = False
        assert harness.slots.find(victim) is None
        for run in list(harness.runs):
            run.begin()
        harness.engine_client.delayed.pop()()
        assert harness.engine_client.engine.evicted_in_flight == []
        harness.run_until_idle()
        assert len(harness.tables.queue) == 0


class TestEngineNames:
    """Guards against names that are used twice and against confusing adapters with each other."""

    def test_adapter_names_may_contain_dashes(self) -> None:
        key = parse_engine_name(SERVICE, EngineAdapterName("old-pale-3-12-99"))
        assert key == AdapterKey(ServiceName(SERVICE), key.adapter, key.version)
        assert (key.adapter, key.version) == ("old-pale", 3)

    @pytest.mark.parametrize("name", ["base", "pale-1", "pale-1-x-2", "-1-2-3"])
    def test_names_in_another_form_are_not_parsed(self, name: str) -> None:
        assert parse_engine_name(SERVICE, EngineAdapterName(name)) is None

    def test_two_incarnations_with_the_same_epoch_use_different_names(self) -> None:
        engine = FakeEngine(checks_fencing=False)
        names = set()
        for number in (1, 2):
            engine.restart()
            harness = make_harness(False, engine, number)
            harness.observe()
            harness.submit(make_submit(1))
            harness.run_until_idle()
            names.update(name for _, name, _, _ in engine.runs)
        assert len(names) == 2
