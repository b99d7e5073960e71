"""State machine test of the adapter slots of a sidecar with a fake engine."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from dragonflyhold.ids import AdapterKey
from dragonflyhold.sidecar import messages as msg
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from tests.sidecar.fakes import SERVICE, FakeConfig, FakeEngine, FakeTable, adapter_key
from tests.sidecar.harness import CoreHarness, LossyEngineClient, make_submit

MACHINE_SETTINGS = settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)


class SlotMachine(RuleBasedStateMachine):
    """Requests, loads, evictions, restarts of engine and sidecar, and delayed commands."""

    def __init__(self) -> None:
        super().__init__()
        self.number = 1
        self.table = FakeTable()
        self.config = FakeConfig()
        self.tag = 0
        self.keys: dict[str, AdapterKey] = {}
        self.accepted: dict[int, str] = {}
        self.ends: dict[int, pb.End] = {}

    @initialize(checks_fencing=st.booleans())
    def set_up(self, checks_fencing: bool) -> None:
        self.engine = FakeEngine(checks_fencing)
        self.engine_client = LossyEngineClient(self.engine)
        upstream = self.config.view.upstreams["runner-1"]
        object.__setattr__(upstream, "checks_fencing", checks_fencing)
        self.harness = CoreHarness(self.engine_client, self.table, self.config, self.number)
        self.harness.observe()

    @rule(name=st.sampled_from(["pale", "stout", "mild"]), version=st.sampled_from([1, 1, 2]))
    def submit(self, name: str, version: int) -> None:
        self.tag += 1
        before = set(self.harness.tables.payloads)
        self.harness.submit(
            make_submit(self.tag, name, version=version, deadline_ms=10_000_000, caller=name)
        )
        for request_id in set(self.harness.tables.payloads) - before:
            self.keys[request_id] = adapter_key(name, version)

    @precondition(lambda self: self.harness.commands)
    @rule(index=st.integers(0, 3), is_delayed=st.sampled_from([False, False, True]))
    def run_command(self, index: int, is_delayed: bool) -> None:
        self.engine_client.delays_commands = is_delayed
        self.harness.run_command(index % len(self.harness.commands))
        self.engine_client.delays_commands = False

    @rule()
    def progress(self) -> None:
        """Run the pending commands and send the started requests to the engine."""
        for _ in range(8):
            while self.harness.commands:
                self.harness.run_command()
            if any(not run.has_begun for run in self.harness.runs):
                self.harness.begin_run()

    @precondition(lambda self: self.engine_client.delayed)
    @rule(index=st.integers(0, 3))
    def deliver_delayed_command(self, index: int) -> None:
        command = self.engine_client.delayed.pop(index % len(self.engine_client.delayed))
        try:
            command()
        except Exception:
            # The sender no longer waits for the result.
            return

    @precondition(lambda self: any(not run.has_begun for run in self.harness.runs))
    @rule()
    def begin_run(self) -> None:
        self.harness.begin_run()

    @precondition(lambda self: any(run.has_begun for run in self.harness.runs))
    @rule()
    def end_run(self) -> None:
        self.harness.end_run()

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def tick(self, seconds: float) -> None:
        self.harness.tick(seconds)

    @rule()
    def observe(self) -> None:
        self.harness.observe()

    @precondition(lambda self: self.tag > 3)
    @rule()
    def restart_engine(self) -> None:
        self.engine.restart()

    @precondition(lambda self: self.tag > 3)
    @rule(is_table_unavailable=st.booleans())
    def replace_sidecar(self, is_table_unavailable: bool) -> None:
        """Replace a crashed sidecar whose commands may still arrive and whose runs continue."""
        old = self.harness
        self.engine_client.delays_commands = True
        for command in list(old.commands):
            command()
        self.engine_client.delays_commands = False
        self.number += 1
        self.table.is_unavailable = is_table_unavailable
        self.harness = CoreHarness(self.engine_client, self.table, self.config, self.number)
        self.harness.now = old.now
        self.harness.observe()
        self.accepted = {}
        self.table.is_unavailable = False

    @rule(outcome=st.sampled_from(["permit", "decline"]))
    def use_permit(self, outcome: str) -> None:
        """Submit a permit twice, optionally after declining it."""
        request = pb.IssuePermitsRequest(service=SERVICE, adapter="pale", version=1, count=1)
        reply = self.harness.core.handle(msg.IssueCall(request))
        assert isinstance(reply, pb.IssuePermitsReply)
        if not reply.permits:
            return
        permit = reply.permits[0]
        self.keys[permit] = adapter_key("pale")
        if outcome == "decline":
            self.harness.core.handle(msg.DeclineCall(permit))
        for _ in range(2):
            self.tag += 1
            submit = make_submit(self.tag, kind="redeem", idempotent=False, prompt="one")
            submit.deadline_ms = 10_000_000
            submit.request_id = permit
            self.harness.submit(submit)

    @precondition(lambda self: self.accepted)
    @rule(index=st.integers(0, 20))
    def decline(self, index: int) -> None:
        ids = list(self.accepted.values())
        self.harness.core.handle(msg.DeclineCall(ids[index % len(ids)]))

    @invariant()
    def answers_arrive_once_and_not_run_requests_never_ran(self) -> None:
        if not hasattr(self, "harness"):
            return
        for item in self.harness.items():
            match item.WhichOneof("item"):
                case "accepted":
                    assert item.accepted.tag not in self.accepted
                    self.accepted[item.accepted.tag] = item.accepted.request_id
                case "end":
                    assert item.end.tag not in self.ends
                    self.ends[item.end.tag] = item.end
                case "refused" if item.refused.request_id:
                    assert item.refused.outcome == pb.OUTCOME_NOT_RUN
                    assert item.refused.request_id not in self._executed_ids()
        not_run = {
            end.request_id for end in self.ends.values() if end.outcome == pb.OUTCOME_NOT_RUN
        }
        assert not_run.isdisjoint(self._executed_ids())

    def _executed_ids(self) -> set[str]:
        return {request_id for request_id, _, _, _ in self.engine.runs}

    @invariant()
    def no_adapter_is_evicted_in_flight(self) -> None:
        assert self.engine.evicted_in_flight == []

    @invariant()
    def every_run_uses_the_requested_adapter_version(self) -> None:
        for request_id, _, weights, _ in self.engine.runs:
            key = self.keys[request_id]
            assert weights == f"weights/{key.adapter}/{key.version}"

    @invariant()
    def every_request_runs_once(self) -> None:
        ids = [request_id for request_id, _, _, _ in self.engine.runs]
        assert len(set(ids)) == len(ids)

    def teardown(self) -> None:
        """Check that all requests of the last sidecar end once the faults are over."""
        if not hasattr(self, "harness"):
            return
        for command in self.engine_client.delayed:
            try:
                command()
            except Exception:
                continue
        # End the runs of earlier sidecars.
        for name in list(self.engine.in_flight):
            own = sum(run.has_begun and run._name == name for run in self.harness.runs)
            self.engine.in_flight[name] = own
        self.harness.run_until_idle()
        assert len(self.harness.tables.queue) == 0
        assert len(self.harness.tables.inflight) == 0
        self.answers_arrive_once_and_not_run_requests_never_ran()
        self.no_adapter_is_evicted_in_flight()
        self.every_run_uses_the_requested_adapter_version()
        self.every_request_runs_once()
        assert self.accepted.keys() <= self.ends.keys()


class TestSlotMachine(SlotMachine.TestCase):
    """Guards against wrong adapters, evictions in flight, duplicate runs and lost answers."""

    settings = MACHINE_SETTINGS
