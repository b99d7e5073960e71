"""Owns the tables of a sidecar and dispatches messages and timer ticks to its components.

Not thread-safe: the actor calls it from a single thread, and tests call it directly.
"""

import dataclasses
from collections.abc import Callable
from typing import final

from dragonflyhold.ids import AdapterKey, RequestId, Revision
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.sidecar import messages as msg
from dragonflyhold.sidecar.budget import BudgetReply, LoadBudget
from dragonflyhold.sidecar.execution import RequestExecutor
from dragonflyhold.sidecar.intake import RequestIntake
from dragonflyhold.sidecar.outbox import StreamOutbox
from dragonflyhold.sidecar.runs import RunFinished
from dragonflyhold.sidecar.slot_commands import LoadFinished, UnloadFinished
from dragonflyhold.sidecar.slots import SlotManager
from dragonflyhold.sidecar.supervision import Observation
from dragonflyhold.sidecar.tables import Tables
from dragonflyhold.sidecar.wire import UPSTREAM_STATES
from dragonflyhold.states import UpstreamMode
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# Maximum time that a submission waits for the configuration revision of its entry. With few
# daemons, the head row of the table is read at least this often.
CONFIG_CATCH_UP_S = 3.0
# Multiple of ``silence_s`` without any frame after which the stream of an entry that reads answers
# is closed.
ENTRY_UNRESPONSIVE_FACTOR = 2.0

_logger = ComponentLogger("sidecar")


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _DeferredSubmit:
    outbox: StreamOutbox
    submit: pb.Submit
    revision: Revision
    expires_at: float


@final
class SidecarCore:
    """All state of a sidecar except its connections."""

    def __init__(
        self,
        tables: Tables,
        intake: RequestIntake,
        executor: RequestExecutor,
        slots: SlotManager | None,
        budget: LoadBudget | None,
        invalidate_claim: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._intake = intake
        self._executor = executor
        self._slots = slots
        self._budget = budget
        self._invalidate_claim = invalidate_claim
        self._clock = clock
        self._deferred: list[_DeferredSubmit] = []
        self._last_step = 0.0
        self._heartbeat_number = 0
        self._boot: str | None = None

    @property
    def needs_ticks(self) -> bool:
        """Whether any work depends on timer ticks; may be read from any thread."""
        tables = self._tables
        is_unloading = self._slots is not None and self._slots.is_unloading
        return bool(
            len(tables.queue) or len(tables.inflight) or len(self._deferred) or is_unloading
        )

    def handle(self, message: object) -> object:
        """Process one message; return the reply if it is a call, or else ``None``."""
        now = self._clock()
        match message:
            case msg.FrameReceived(outbox, frame):
                self._on_frame(outbox, frame, now)
            case msg.StreamEnded():
                return None
            case RunFinished():
                self._executor.on_finished(message, now)
            case Observation():
                self._on_observation(message, now)
            case LoadFinished():
                self._on_load(message, now)
            case UnloadFinished():
                self._on_unload(message, now)
            case BudgetReply():
                if self._budget is not None:
                    self._budget.on_reply(message, now)
            case msg.LeavingChanged(source, is_leaving):
                self._set_leaving(source, is_leaving)
            case msg.TimerTick():
                self._resume_deferred(now)
                self._executor.expire(now)
            case msg.HeartbeatTick():
                self._on_heartbeat_tick(now)
            case _:
                return self._handle_call(message, now)
        return None

    def step(self) -> None:
        """Start the requests, loads and evictions that have become possible."""
        now = self._clock()
        self._executor.step(now)
        if self._slots is None or not self._tables.condition.is_up:
            return
        self._slots.step(self._executor.waiting(now), self._weights_path, now)
        if self._budget is not None:
            self._budget.step(now)

    def _handle_call(self, message: object, now: float) -> object:
        match message:
            case msg.ProbeCall():
                return self._probe()
            case msg.IssueCall(request):
                return self._intake.issue(request, now)
            case msg.LookupCall(request_id):
                return self._intake.lookup(RequestId(request_id), now)
            case msg.DeclineCall(request_id):
                return self._intake.decline(RequestId(request_id), now)
            case msg.IsDrainedCall():
                return self._is_drained(now)
            case msg.IsReadyCall():
                condition = self._tables.condition
                is_fresh = self._tables.config.is_fresh(now)
                return condition.is_up and not condition.leaving_sources and is_fresh
            case _:
                raise TypeError(f"unknown message {type(message).__name__}")

    def _on_frame(self, outbox: StreamOutbox, frame: pb.EntryFrame, now: float) -> None:
        revision = Revision(frame.config_revision)
        is_behind = revision > self._tables.config.view.revision
        for item in frame.items:
            match item.WhichOneof("item"):
                case "hello":
                    outbox.entry = item.hello.entry
                    outbox.address = item.hello.address
                    outbox.put_heartbeat(self._heartbeat())
                case "submit" if is_behind:
                    self._deferred.append(
                        _DeferredSubmit(outbox, item.submit, revision, now + CONFIG_CATCH_UP_S)
                    )
                case "submit":
                    self._intake.submit(outbox, item.submit, now)
                case "attach":
                    self._intake.attach(outbox, item.attach, now)
                case "cancel":
                    self._intake.cancel(outbox, item.cancel, now)
                case "heartbeat" if not outbox.has_open_answers:
                    # While the entry reads answers, it gets heartbeats each period anyway.
                    outbox.put_heartbeat(self._heartbeat())
                case "ack":
                    request_id = RequestId(item.ack.request_id)
                    self._tables.answers.acknowledge(request_id, item.ack.next_sequence, now)
        if is_behind:
            self._tables.config.observe_revision(revision, outbox.address)

    def _resume_deferred(self, now: float) -> None:
        if not self._deferred:
            return
        revision = self._tables.config.view.revision
        deferred, self._deferred = self._deferred, []
        for deferred_submit in deferred:
            if deferred_submit.outbox.is_closed:
                # The entry cannot receive a reply, so the request is dropped without accepting it.
                continue
            if deferred_submit.revision <= revision:
                self._intake.submit(deferred_submit.outbox, deferred_submit.submit, now)
            elif deferred_submit.expires_at <= now:
                self._intake.refuse_unknown_revision(
                    deferred_submit.outbox, deferred_submit.submit, now
                )
            else:
                self._deferred.append(deferred_submit)

    def _on_observation(self, observation: Observation, now: float) -> None:
        status = observation.status
        boot = status.boot_id if status is not None else None
        is_restart = boot is not None and self._boot is not None and boot != self._boot
        if is_restart:
            _logger.warning("Engine has restarted.", boot=boot)
            self._tables.metrics.count_event("engine_restarted")
        # Requests in flight must end before their slots are cleared.
        self._executor.on_observation(observation, is_restart, now)
        upstream = self._tables.config.view.upstream(self._tables.name)
        if status is None or self._slots is None or upstream is None:
            return
        self._boot = status.boot_id
        self._slots.observe(status, observation.epoch, upstream, now)

    def _on_load(self, message: LoadFinished, now: float) -> None:
        if message.is_stale_epoch:
            self._invalidate_claim()
        if self._slots is not None:
            self._slots.on_load_finished(message, now)

    def _on_unload(self, message: UnloadFinished, now: float) -> None:
        if message.is_stale_epoch:
            self._invalidate_claim()
        if self._slots is not None:
            self._slots.on_unload_finished(message, now)

    def _set_leaving(self, source: str, is_leaving: bool) -> None:
        leaving_sources = self._tables.condition.leaving_sources
        was_leaving = bool(leaving_sources)
        if is_leaving:
            leaving_sources.add(source)
        else:
            leaving_sources.discard(source)
        if bool(leaving_sources) == was_leaving:
            return
        _logger.info("Leaving." if leaving_sources else "Accepting new work again.", source=source)
        # Report the change to the entries immediately instead of in the next period.
        for outbox in self._tables.hub.all():
            outbox.put_heartbeat(self._heartbeat())

    def _on_heartbeat_tick(self, now: float) -> None:
        tables = self._tables
        self._heartbeat_number += 1
        upstream = tables.config.view.upstream(tables.name)
        is_draining = upstream is not None and upstream.mode is UpstreamMode.DRAINING
        self._set_leaving("configuration", is_draining)
        tables.crashes.advance(now)
        tables.answers.expire(now)
        self._executor.expire_abandoned(now)
        for request_id in tables.permits.expire(now):
            tables.answers.discard(request_id)
        unresponsive_before = now - ENTRY_UNRESPONSIVE_FACTOR * tables.settings.transport.silence_s
        for outbox in tables.hub.all():
            if outbox.has_open_answers and outbox.last_received_at < unresponsive_before:
                _logger.warning("Entry is unresponsive; closing its stream.", entry=outbox.entry)
                tables.metrics.count_event("entry_silent")
                tables.hub.remove(outbox)
            elif outbox.has_open_answers:
                outbox.put_heartbeat(self._heartbeat())
        self._update_gauges()

    def _update_gauges(self) -> None:
        tables = self._tables
        metrics = tables.metrics
        metrics.set_level("in_flight", len(tables.inflight))
        metrics.set_level("queued", len(tables.queue))
        metrics.set_level("request_ids", len(tables.permits))
        metrics.set_level("answer_bytes", tables.answers.total_bytes)
        metrics.set_level("upstream_up", 1 if tables.condition.is_up else 0)
        metrics.set_level("epoch", tables.condition.epoch)
        if len(tables.inflight) or len(tables.queue):
            metrics.observe_batch_fill(len(tables.inflight) / tables.condition.batch_limit)

    def _heartbeat(self) -> pb.SidecarHeartbeat:
        return pb.SidecarHeartbeat(
            number=self._heartbeat_number,
            upstream=self._tables.name,
            incarnation=self._tables.incarnation,
            state=UPSTREAM_STATES[self._tables.condition.state],
            load=self._intake.load_report(),
        )

    def _probe(self) -> pb.ProbeReply:
        return pb.ProbeReply(
            upstream=self._tables.name,
            incarnation=self._tables.incarnation,
            state=UPSTREAM_STATES[self._tables.condition.state],
            config_revision=self._tables.config.view.revision,
            load=self._intake.load_report(),
        )

    def _is_drained(self, now: float) -> bool:
        tables = self._tables
        is_busy = len(tables.queue) or len(tables.inflight) or self._deferred
        return not is_busy and not tables.answers.has_undelivered(now)

    def _weights_path(self, key: AdapterKey) -> str | None:
        version = self._tables.config.view.version(key)
        return version.weights if version is not None else None
