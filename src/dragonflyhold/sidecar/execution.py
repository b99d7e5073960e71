"""Starts queued requests on the upstream and ends them.

All methods run in the thread that owns the tables.
"""

import dataclasses
from collections.abc import Callable
from typing import final

from dragonflyhold.adapters import WaitingAdapter
from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import Fingerprint, RequestId
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.requests import AnswerEnd, CrashStatus, InflightRequest, QueuedRequest
from dragonflyhold.sidecar import termination
from dragonflyhold.sidecar.pins import BatchSlots, Pins
from dragonflyhold.sidecar.runs import RequestRun, RunFinished, RunResult
from dragonflyhold.sidecar.supervision import Observation
from dragonflyhold.sidecar.tables import Tables
from dragonflyhold.states import Outcome, RequestState

# Maximum number of times that a request is started; it is started again only if nothing ran.
MAX_START_ATTEMPTS = 4
# Failed health checks in a row after which an upstream counts as down. A single response that a
# busy engine fails to send must not cause its whole queue to be refused.
MAX_UNRESPONSIVE_CHECKS = 3
# Refused connections in a row after which an upstream counts as exited even if no request in flight
# was disconnected. A single one may also come from an overflowing accept queue.
MAX_REFUSED_CHECKS = 2

_logger = ComponentLogger("sidecar")


@final
class RequestExecutor:
    """Runs requests on the upstream and applies the results and the health checks."""

    def __init__(
        self,
        tables: Tables,
        pins: Pins,
        make_run: Callable[[QueuedRequest, int | None], RequestRun],
        start_run: Callable[[RequestRun], None],
        check_soon: Callable[[], int],
    ) -> None:
        self._tables = tables
        self._pins = pins
        self._make_run = make_run
        self._start_run = start_run
        self._check_soon = check_soon
        self._started_requests: dict[RequestId, QueuedRequest] = {}
        self._stall_ms: dict[RequestId, int] = {}
        self._unresponsive_checks = 0
        self._refused_checks = 0
        # Fingerprints that were in flight when the upstream became unresponsive. Its next status
        # shows whether it crashed.
        self._unresolved_fingerprints: set[Fingerprint] = set()
        self._is_unresolved_exclusive = False

    def waiting(self, now: float) -> list[WaitingAdapter]:
        """Return the queued requests grouped by adapter version."""
        return [
            WaitingAdapter(
                group.key, group.requests, group.utility, group.oldest_age_s, batch=group.is_batch
            )
            for group in self._tables.queue.waiting(now)
        ]

    def step(self, now: float) -> None:
        """Start the queued requests that the upstream has capacity for."""
        tables = self._tables
        if not tables.condition.is_up or tables.answers.is_full:
            return
        if any(request.disconnected_after_check is not None for request in tables.inflight):
            # The next health check shows whether the upstream crashed. A request sent to a crashed
            # upstream would be disconnected too and be suspected of the crash.
            return
        chosen = tables.queue.choose(
            tables.inflight,
            tables.condition.batch_limit,
            self._is_ready,
            self._is_exclusive,
            BatchSlots(tables, self._pins).reserve,
        )
        for queued in chosen:
            self._start(queued, now)

    def on_finished(self, message: RunFinished, now: float) -> None:
        """Apply the result of a run."""
        tables = self._tables
        request = tables.inflight.get(message.request_id)
        if request is None:
            # The request already ended with a crash of the upstream.
            return
        match message.result:
            case RunResult.INTERRUPTED:
                # Only the next health check shows whether the upstream crashed.
                request.disconnected_after_check = self._check_soon()
                tables.explain.add(request.request_id, f"connection broke: {message.message}")
            case RunResult.NOT_SENT | RunResult.UNKNOWN_ADAPTER:
                self._requeue_unsent(request, message, now)
            case RunResult.COMPLETE:
                self._complete(request, message, now)
            case RunResult.STATUS:
                self._end_failed(request, RequestState.FAILED, _failure_end(message), now)
            case RunResult.CANCELLED:
                self._end_failed(request, _failed_state(request), _failure_end(message), now)
            case RunResult.TOO_LARGE | RunResult.INTERNAL:
                self._end_failed(request, _failed_state(request), _failure_end(message), now)

    def on_observation(self, observation: Observation, is_restart: bool, now: float) -> None:
        """Apply a health check of the upstream: detect crashes, outages and recoveries.

        ``is_restart`` means that the boot id of the engine has changed since the last status.
        """
        condition = self._tables.condition
        condition.epoch = observation.epoch or condition.epoch
        self._unresponsive_checks = 0 if observation.is_up else self._unresponsive_checks + 1
        self._refused_checks = self._refused_checks + 1 if observation.refused else 0
        has_exited = self._has_exited(observation)
        if (has_exited or is_restart) and len(self._tables.inflight):
            self._end_crashed(now)
        if observation.is_up:
            self._resolve_unresponsive(is_restart)
        if has_exited:
            self._pins.clear(now)
        self._end_disconnected(observation, now)
        if observation.is_up:
            self._mark_up(observation)
        elif has_exited or self._unresponsive_checks >= MAX_UNRESPONSIVE_CHECKS:
            self._mark_down(now)

    def _has_exited(self, observation: Observation) -> bool:
        if observation.is_up:
            return False
        if self._refused_checks >= MAX_REFUSED_CHECKS:
            return True
        has_disconnected = any(
            request.disconnected_after_check is not None
            and request.disconnected_after_check < observation.number
            for request in self._tables.inflight
        )
        return has_disconnected and (observation.refused or not self._tables.is_engine)

    def _mark_up(self, observation: Observation) -> None:
        condition = self._tables.condition
        if observation.status is not None:
            condition.batch_limit = max(observation.status.batch_limit, 1)
        if not condition.is_up:
            _logger.info("Upstream is up.", epoch=condition.epoch)
        condition.is_up = True

    def _mark_down(self, now: float) -> None:
        condition = self._tables.condition
        if condition.is_up:
            _logger.warning("Upstream is down.")
            self._tables.metrics.count_event("upstream_down")
        condition.is_up = False
        # None of the queued requests has started, so the entries can send them to other upstreams.
        for queued in self._tables.queue:
            text = "upstream went down before the request started"
            termination.refuse_queued(
                self._tables, queued.request_id, ErrorCode.UPSTREAM_DOWN, text, now
            )

    def _resolve_unresponsive(self, is_restart: bool) -> None:
        """Record a crash if an upstream that was unresponsive has restarted."""
        fingerprints, is_exclusive = self._unresolved_fingerprints, self._is_unresolved_exclusive
        self._unresolved_fingerprints, self._is_unresolved_exclusive = set(), False
        if is_restart and fingerprints:
            self._record_crash(fingerprints, is_exclusive)

    def _end_disconnected(self, observation: Observation, now: float) -> None:
        if not observation.is_up and self._unresponsive_checks < MAX_UNRESPONSIVE_CHECKS:
            # A restarting engine may accept connections before it responds. Its boot id will show
            # whether it crashed.
            return
        requests = [
            request
            for request in self._tables.inflight
            if request.disconnected_after_check is not None
            and request.disconnected_after_check < observation.number
        ]
        if not observation.is_up:
            is_exclusive = len(self._tables.inflight) == 1 and all(
                request.is_exclusive for request in requests
            )
            self._is_unresolved_exclusive = is_exclusive and not self._unresolved_fingerprints
            self._unresolved_fingerprints.update(request.fingerprint for request in requests)
        for request in requests:
            code = ErrorCode.UPSTREAM_ERROR if observation.is_up else ErrorCode.UPSTREAM_SILENT
            end = AnswerEnd(
                outcome=Outcome.FAILED, code=code, message="connection to the upstream broke"
            )
            self._end_failed(request, _failed_state(request), end, now)

    def _end_crashed(self, now: float) -> None:
        tables = self._tables
        requests = list(tables.inflight)
        is_exclusive = len(requests) == 1 and requests[0].is_exclusive
        self._record_crash({request.fingerprint for request in requests}, is_exclusive)
        for request in requests:
            run = tables.runs.get(request.request_id)
            if run is not None:
                run.cancel()
            end = AnswerEnd(
                outcome=Outcome.FAILED,
                code=ErrorCode.UPSTREAM_CRASHED,
                message="upstream crashed while the request was in flight",
                crashed=True,
                crashed_alone=is_exclusive,
                suspected_crashes=tables.crashes.crash_count(request.fingerprint),
                quarantined=tables.crashes.crash_status(request.fingerprint)
                is CrashStatus.CONFIRMED,
            )
            self._end_failed(request, _failed_state(request), end, now)

    def _record_crash(self, fingerprints: set[Fingerprint], is_exclusive: bool) -> None:
        metrics = self._tables.metrics
        confirmed = self._tables.crashes.record_crash(fingerprints, is_exclusive)
        metrics.count_event("upstream_crashed")
        if confirmed:
            metrics.count_event("request_quarantined", len(confirmed))
        _logger.warning("Upstream crashed.", confirmed=len(confirmed), suspects=len(fingerprints))

    def _is_ready(self, queued: QueuedRequest) -> bool:
        return queued.key is None or self._pins.find(queued.key) is not None

    def _is_exclusive(self, queued: QueuedRequest) -> bool:
        return self._tables.crashes.crash_status(queued.fingerprint) is CrashStatus.SUSPECT

    def _start(self, queued: QueuedRequest, now: float) -> None:
        tables = self._tables
        crash_status = tables.crashes.crash_status(queued.fingerprint)
        if crash_status is CrashStatus.CONFIRMED:
            text = "request crashed its upstreams"
            termination.refuse_queued(tables, queued.request_id, ErrorCode.QUARANTINED, text, now)
            return
        slot = self._pins.find(queued.key) if queued.key is not None else None
        tables.queue.remove(queued.request_id)
        if slot is not None:
            self._pins.pin(slot, now)
            stall_s = self._pins.stall_s(slot, queued.queued_at)
            self._stall_ms[queued.request_id] = int(stall_s * 1000)
            if stall_s > 0:
                kind = tables.payloads[queued.request_id].kind
                tables.metrics.observe_load_stall(kind, stall_s)
        request = InflightRequest(
            queued.request_id,
            queued.key,
            queued.caller,
            queued.fingerprint,
            queued.is_batch,
            queued.idempotent,
            slot,
            now,
            queued.deadline,
            is_exclusive=crash_status is CrashStatus.SUSPECT,
        )
        tables.inflight.add(request)
        tables.permits.start(queued.request_id, now)
        queued.start_attempts += 1
        self._started_requests[queued.request_id] = queued
        tables.explain.add(
            queued.request_id, "started" + (" alone" if request.is_exclusive else "")
        )
        run = self._make_run(queued, slot)
        tables.runs[queued.request_id] = run
        self._start_run(run)

    def _remove(
        self, request: InflightRequest, now: float, has_ended: bool = True
    ) -> QueuedRequest:
        """Remove a request in flight; ``has_ended`` means that the engine no longer runs it."""
        self._tables.inflight.remove(request.request_id)
        if request.slot is not None and has_ended:
            self._pins.unpin(request.slot, now)
        elif request.slot is not None:
            self._pins.unpin_when_idle(request.slot, now)
        return self._started_requests.pop(request.request_id)

    def _complete(self, request: InflightRequest, message: RunFinished, now: float) -> None:
        tables = self._tables
        self._remove(request, now)
        tables.service_time.record(now - request.started_at)
        if request.is_exclusive:
            tables.crashes.clear(request.fingerprint)
        end = AnswerEnd(
            outcome=Outcome.OK,
            status=message.status,
            headers=message.headers,
            next_permit=termination.next_permit(tables, request.request_id, now),
            adapter=request.key.adapter if request.key is not None else "",
            version=request.key.version if request.key is not None else 0,
            load_stall_ms=self._stall_ms.pop(request.request_id, 0),
        )
        termination.end_started(tables, request.request_id, RequestState.DONE, end, now)

    def _end_failed(
        self, request: InflightRequest, state: RequestState, end: AnswerEnd, now: float
    ) -> None:
        # Only a crash is certain to have ended the request in the engine; after a disconnect it may
        # still be running.
        self._remove(request, now, has_ended=end.crashed)
        self._stall_ms.pop(request.request_id, None)
        if request.is_exclusive and not end.crashed and end.code is ErrorCode.UPSTREAM_ERROR:
            self._tables.crashes.clear(request.fingerprint)
        outcome = Outcome.IN_DOUBT if state is RequestState.IN_DOUBT else end.outcome
        ended = dataclasses.replace(end, outcome=outcome)
        termination.end_started(self._tables, request.request_id, state, ended, now)

    def _requeue_unsent(self, request: InflightRequest, message: RunFinished, now: float) -> None:
        tables = self._tables
        if message.result is RunResult.UNKNOWN_ADAPTER and request.slot is not None:
            self._pins.mark_missing(request.slot)
        self._check_soon()
        queued = self._remove(request, now)
        self._stall_ms.pop(request.request_id, None)
        tables.explain.add(request.request_id, f"not taken by the upstream: {message.message}")
        if queued.start_attempts < MAX_START_ATTEMPTS and request.deadline > now:
            tables.permits.requeue(request.request_id, now)
            tables.runs.pop(request.request_id, None)
            tables.queue.requeue(queued)
            return
        end = AnswerEnd(
            outcome=Outcome.NOT_RUN,
            code=ErrorCode.UPSTREAM_DOWN,
            message="upstream did not take the request",
        )
        tables.metrics.count_refusal(ErrorCode.UPSTREAM_DOWN.value)
        termination.end_started(tables, request.request_id, RequestState.DECLINED, end, now)

    def expire(self, now: float) -> None:
        """Refuse queued requests and cancel idempotent runs whose deadline has passed."""
        tables = self._tables
        for queued in tables.queue.expired(now):
            text = "deadline passed in the queue"
            termination.refuse_queued(
                tables, queued.request_id, ErrorCode.DEADLINE_EXPIRED, text, now
            )
        for request in tables.inflight:
            if request.deadline <= now and request.idempotent:
                self._cancel(request, "deadline passed")

    def expire_abandoned(self, now: float) -> None:
        """End idempotent requests whose answer no caller has attached to in the grace period."""
        for request_id in self._tables.answers.abandoned(now):
            self._abandon(request_id, now)

    def _abandon(self, request_id: RequestId, now: float) -> None:
        tables = self._tables
        request = tables.inflight.get(request_id)
        if request is not None:
            if request.idempotent:
                self._cancel(request, "no caller came back within the grace period")
            return
        queued = tables.queue.get(request_id)
        if queued is not None and queued.idempotent:
            text = "no caller came back within the grace period"
            termination.refuse_queued(tables, request_id, ErrorCode.CANCELLED, text, now)

    def _cancel(self, request: InflightRequest, reason: str) -> None:
        run = self._tables.runs.get(request.request_id)
        if run is None or request.is_cancelled:
            return
        request.is_cancelled = True
        self._tables.explain.add(request.request_id, reason)
        run.cancel()


def _failed_state(request: InflightRequest) -> RequestState:
    return RequestState.FAILED if request.idempotent else RequestState.IN_DOUBT


def _failure_end(message: RunFinished) -> AnswerEnd:
    codes = {
        RunResult.STATUS: ErrorCode.UPSTREAM_ERROR,
        RunResult.CANCELLED: ErrorCode.CANCELLED,
        RunResult.TOO_LARGE: ErrorCode.ANSWER_TOO_LARGE,
        RunResult.INTERNAL: ErrorCode.INTERNAL,
    }
    return AnswerEnd(outcome=Outcome.FAILED, code=codes[message.result], message=message.message)
