"""Harness for a sidecar core without threads; tests decide when each command and run proceeds."""

import random
from collections.abc import Callable, Mapping, Sequence

from dragonflyhold.adapters import StartLoad
from dragonflyhold.ids import AdapterKey, EngineAdapterName, Epoch, Incarnation, RequestId
from dragonflyhold.observability import Metrics
from dragonflyhold.requests import CrashTable, QueuedRequest
from dragonflyhold.sidecar import messages as msg
from dragonflyhold.sidecar.core import SidecarCore
from dragonflyhold.sidecar.execution import RequestExecutor
from dragonflyhold.sidecar.intake import RequestIntake
from dragonflyhold.sidecar.outbox import StreamOutbox
from dragonflyhold.sidecar.ownership import FencingEpochStore
from dragonflyhold.sidecar.runs import RunFinished, RunResult
from dragonflyhold.sidecar.slots import SlotManager
from dragonflyhold.sidecar.supervision import EngineCheck
from dragonflyhold.sidecar.tables import make_tables
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.upstreams.interface import (
    EngineStatus,
    UnknownEngineAdapterError,
    UpstreamInterruptedError,
    UpstreamNotSentError,
)
from tests.sidecar.client import make_submit
from tests.sidecar.fakes import UPSTREAM, FakeConfig, FakeEngine, FakeStream, FakeTable
from tests.sidecar.fakes import make_settings as make_fake_settings


class LossyEngineClient:
    """Engine client whose commands can fail and still take effect at a later time."""

    def __init__(self, engine: FakeEngine) -> None:
        self.engine = engine
        self.delays_commands = False
        self.closes_connections = False
        self.delayed: list[Callable[[], None]] = []

    def status(self) -> EngineStatus:
        if self.closes_connections:
            raise UpstreamInterruptedError("connection closed without a response")
        return self.engine.status()

    def claim(self, epoch: Epoch) -> None:
        self.engine.claim(epoch)

    def load_adapter(self, name: EngineAdapterName, weights: str, epoch: Epoch) -> None:
        self._send(lambda: self.engine.load_adapter(name, weights, epoch))

    def unload_adapter(self, name: EngineAdapterName, epoch: Epoch) -> None:
        self._send(lambda: self.engine.unload_adapter(name, epoch))

    def complete(
        self, name: EngineAdapterName, body: Mapping[str, object], priority: int, request_id: str
    ) -> FakeStream:
        return self.engine.complete(name, body, priority, request_id)

    def _send(self, command: Callable[[], None]) -> None:
        if self.delays_commands:
            self.delayed.append(command)
            raise UpstreamInterruptedError("no response")
        command()


class UnlimitedBudget:
    """A load budget that grants everything."""

    def request_loads(self, planned_loads: Sequence[StartLoad], now: float) -> None:
        pass

    def use_grant(self, key: AdapterKey, now: float) -> int | None:
        return 1

    def release(self, number: int) -> None:
        pass


class ManualRun:
    """A run whose start and end are controlled by a test."""

    def __init__(
        self, harness: "CoreHarness", request_id: RequestId, name: EngineAdapterName
    ) -> None:
        self._harness = harness
        self.request_id = request_id
        self._name = name
        self._stream: FakeStream | None = None
        self.has_begun = False

    def run(self) -> RunFinished:
        raise NotImplementedError

    def cancel(self) -> None:
        if self._stream is not None:
            self._stream.cancel()

    def begin(self) -> RunFinished | None:
        """Send the request to the engine; return a result only if the engine did not accept it."""
        self.has_begun = True
        body = {"prompt": self.request_id, "max_tokens": 2}
        try:
            self._stream = self._harness.engine_client.complete(
                self._name, body, 0, self.request_id
            )
        except UpstreamNotSentError as error:
            return RunFinished(self.request_id, RunResult.NOT_SENT, str(error))
        except UnknownEngineAdapterError as error:
            return RunFinished(self.request_id, RunResult.UNKNOWN_ADAPTER, str(error))
        return None

    def end(self) -> RunFinished:
        """Read the answer to its end and return the result."""
        assert self._stream is not None
        try:
            for piece in self._stream:
                self._harness.tables.answers.append(self.request_id, piece)
        except UpstreamInterruptedError as error:
            return RunFinished(self.request_id, RunResult.INTERRUPTED, str(error))
        except KeyError:
            return RunFinished(self.request_id, RunResult.CANCELLED, "answer has ended")
        if self._stream.is_cancelled:
            return RunFinished(self.request_id, RunResult.CANCELLED, "cancelled")
        return RunFinished(self.request_id, RunResult.COMPLETE)


class CoreHarness:
    """One incarnation of a sidecar; a test can create several in turn for one engine."""

    def __init__(
        self,
        engine_client: LossyEngineClient,
        table: FakeTable,
        config: FakeConfig,
        number: int = 1,
    ) -> None:
        self.now = 1000.0
        self.engine_client = engine_client
        self.config = config
        self.commands: list[Callable[[], object]] = []
        self.runs: list[ManualRun] = []
        self.checks = 0
        incarnation = Incarnation(f"{number:016x}")
        settings = make_fake_settings()
        metrics = Metrics()
        self.crashes = CrashTable(settings.crash_limit)
        self.tables = make_tables(settings, incarnation, config, self.crashes, metrics)
        self.slots = SlotManager(
            settings.slots,
            incarnation,
            engine_client,
            UnlimitedBudget(),
            metrics,
            self.commands.append,
            self.send_message,
            random.Random(number),
        )
        self.check = EngineCheck(engine_client, FencingEpochStore(table, UPSTREAM, incarnation))
        executor = RequestExecutor(
            self.tables, self.slots, self._make_run, self._start_run, lambda: self.checks
        )
        intake = RequestIntake(self.tables, self.slots)
        self.core = SidecarCore(
            self.tables,
            intake,
            executor,
            self.slots,
            None,
            self.check.invalidate_claim,
            lambda: self.now,
        )
        self.outbox = self.open_stream()

    def open_stream(self) -> StreamOutbox:
        """Open and return another Exchange stream."""
        outbox = StreamOutbox(self.tables.answers, self.tables.hub, lambda: 1, lambda: self.now)
        self.tables.hub.add(outbox)
        return outbox

    def send_message(self, message: object) -> None:
        """Process a message and step the core."""
        self.core.handle(message)
        self.core.step()

    def tick(self, seconds: float = 0.1) -> None:
        """Advance the clock and process the timer ticks."""
        self.now += seconds
        for outbox in self.tables.hub.all():
            outbox.last_received_at = self.now
        self.send_message(msg.TimerTick(0.0))
        self.send_message(msg.HeartbeatTick())

    def observe(self) -> None:
        """Run a health check of the engine."""
        self.checks += 1
        self.send_message(self.check(self.checks))

    def submit(self, submit: pb.Submit, outbox: StreamOutbox | None = None) -> None:
        """Submit a request on a stream."""
        frame = pb.EntryFrame(items=[pb.EntryItem(submit=submit)], config_revision=1)
        self.send_message(msg.FrameReceived(outbox or self.outbox, frame))

    def run_command(self, index: int = 0) -> None:
        """Run one pending command."""
        self.commands.pop(index)()

    def begin_run(self, index: int = 0) -> None:
        """Send one started request to the engine."""
        waiting = [run for run in self.runs if not run.has_begun]
        run = waiting[index]
        finished = run.begin()
        if finished is not None:
            self.runs.remove(run)
            self.send_message(finished)

    def end_run(self, index: int = 0) -> None:
        """Complete one run that has begun."""
        run = [run for run in self.runs if run.has_begun][index]
        self.runs.remove(run)
        self.send_message(run.end())

    def run_until_idle(self, rounds: int = 100, seconds: float = 1.0) -> None:
        """Run commands and requests until none is queued or in flight, for at most ``rounds``."""
        for _ in range(rounds):
            self.tick(seconds)
            self.observe()
            while self.commands:
                self.run_command()
            while self.runs:
                while any(not run.has_begun for run in self.runs):
                    self.begin_run()
                if self.runs:
                    self.end_run()
            if not len(self.tables.queue) and not len(self.tables.inflight):
                return

    def items(self, outbox: StreamOutbox | None = None) -> list[pb.SidecarItem]:
        """Return the queued items of a stream, except heartbeats."""
        stream = outbox or self.outbox
        stream.put_heartbeat(pb.SidecarHeartbeat())
        items = list(next(stream.frames()).items)
        return [item for item in items if item.WhichOneof("item") != "heartbeat"]

    def _make_run(self, request: QueuedRequest, slot: int | None) -> ManualRun:
        assert slot is not None
        return ManualRun(self, request.request_id, self.slots.engine_name(slot))

    def _start_run(self, run: object) -> None:
        assert isinstance(run, ManualRun)
        self.runs.append(run)


def make_harness(
    checks_fencing: bool, engine: FakeEngine | None = None, number: int = 1
) -> CoreHarness:
    """Return a harness with an empty table and a new engine unless one is given."""
    config = FakeConfig()
    upstream = config.view.upstreams["runner-1"]
    object.__setattr__(upstream, "checks_fencing", checks_fencing)
    return CoreHarness(
        LossyEngineClient(engine or FakeEngine(checks_fencing)), FakeTable(), config, number
    )


__all__ = [
    "CoreHarness",
    "LossyEngineClient",
    "ManualRun",
    "UnlimitedBudget",
    "make_harness",
    "make_submit",
]
