"""Processes submissions, attachments, permits and declines of entries.

All methods run in the thread that owns the tables.
"""

import json
from collections.abc import Mapping
from typing import final

from dragonflyhold.config.objects import RequestKind
from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError, in_doubt, not_run
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    CallerId,
    Fingerprint,
    KindName,
    RequestId,
    ServiceName,
    Version,
)
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.requests import CrashReport, CrashStatus, QueuedRequest, RequestRecord
from dragonflyhold.requests.answers import answer_gone_error
from dragonflyhold.requests.permits import refusal_error
from dragonflyhold.sidecar import termination
from dragonflyhold.sidecar.outbox import StreamOutbox
from dragonflyhold.sidecar.runs import Payload
from dragonflyhold.sidecar.tables import Residency, Tables
from dragonflyhold.sidecar.wire import (
    OUTCOMES,
    REQUEST_STATES,
    accepted_item,
    refused_item,
    submit_digest,
)
from dragonflyhold.states import RequestState
from dragonflyhold.transport.schema import sidecar_pb2 as pb

# Retry delay sent to entries whose request is refused because the upstream is leaving or down.
RETRY_ELSEWHERE_MS = 1000

_logger = ComponentLogger("sidecar")


@final
class RequestIntake:
    """Admits requests of entries to the tables and answers their queries."""

    def __init__(self, tables: Tables, residency: Residency) -> None:
        self._tables = tables
        self._residency = residency

    def submit(self, outbox: StreamOutbox, submit: pb.Submit, now: float) -> None:
        """Accept a request, attach to the answer of its first submission, or refuse it."""
        try:
            self._submit(outbox, submit, now)
        except RequestError as error:
            self._refuse(outbox, submit.tag, submit.request_id, error.info)

    def refuse_unknown_revision(self, outbox: StreamOutbox, submit: pb.Submit, now: float) -> None:
        """Refuse a request whose configuration revision did not arrive here in time."""
        if submit.request_id and not self._is_issued(submit.request_id, now):
            # Only the first submission of a permit is new work. A later one gets the state of the
            # permit, because the request may have run.
            self.submit(outbox, submit, now)
            return
        info = not_run(ErrorCode.CONFIG_STALE, "configuration is behind the entry's").info
        self._decline_permit(submit, info, now)
        self._refuse(outbox, submit.tag, submit.request_id, info)

    def attach(self, outbox: StreamOutbox, attach: pb.Attach, now: float) -> None:
        """Send an answer, starting with a sequence number."""
        request_id = RequestId(attach.request_id)
        try:
            record = self._tables.permits.lookup(request_id, now)
            self._attach(outbox, attach.tag, record, attach.from_sequence)
        except RequestError as error:
            self._refuse(outbox, attach.tag, request_id, error.info)

    def cancel(self, outbox: StreamOutbox, cancel: pb.Cancel, now: float) -> None:
        """Cancel a request, or only stop sending its answer to this entry."""
        request_id = RequestId(cancel.request_id)
        outbox.unsubscribe(request_id)
        if cancel.detach:
            return
        try:
            record = termination.decline(self._tables, request_id, None, now)
        except RequestError:
            return
        if record.state is RequestState.RUNNING:
            self.cancel_run(request_id, "cancelled by the caller")

    def cancel_run(self, request_id: RequestId, reason: str) -> None:
        """Cancel the run of an idempotent request; other requests run to their end."""
        request = self._tables.inflight.get(request_id)
        run = self._tables.runs.get(request_id)
        if request is None or run is None or not request.idempotent:
            return
        self._tables.explain.add(request_id, reason)
        run.cancel()

    def decline(self, request_id: RequestId, now: float) -> pb.LookupReply:
        """Record that a request will not run, if it has not started."""
        try:
            record = termination.decline(self._tables, request_id, None, now)
        except RequestError as error:
            return self._unknown_reply(request_id, error)
        return self._lookup_reply(record)

    def lookup(self, request_id: RequestId, now: float) -> pb.LookupReply:
        """Return the state of a request."""
        try:
            record = self._tables.permits.lookup(request_id, now)
        except RequestError as error:
            return self._unknown_reply(request_id, error)
        return self._lookup_reply(record)

    def issue(self, request: pb.IssuePermitsRequest, now: float) -> pb.IssuePermitsReply:
        """Issue permits for requests to be submitted later."""
        tables = self._tables
        try:
            self._check_upstream(request.service, now)
            if tables.is_engine:
                self._check_adapter(request.service, request.adapter, request.version)
            permits = tables.permits.issue(request.count, now)
        except RequestError as error:
            tables.metrics.count_refusal(error.info.code.value)
            return pb.IssuePermitsReply(code=error.info.code.value, message=error.info.message)
        ttl_ms = int(tables.settings.permits.ttl_s * 1000)
        return pb.IssuePermitsReply(permits=permits, expires_in_ms=ttl_ms)

    def load_report(self) -> pb.LoadReport:
        """Return the load that is reported to entries."""
        tables = self._tables
        report = pb.LoadReport(
            in_flight=len(tables.inflight),
            queued=len(tables.queue),
            batch_limit=tables.condition.batch_limit,
            slots=self._residency.count,
        )
        for key in self._residency.resident():
            report.resident.add(service=key.service, adapter=key.adapter, version=key.version)
        return report

    def _submit(self, outbox: StreamOutbox, submit: pb.Submit, now: float) -> None:
        tables = self._tables
        digest = submit_digest(submit)
        if submit.request_id:
            permit = RequestId(submit.request_id)
            record = tables.permits.check(permit, digest, now)
            if record.state is not RequestState.ISSUED:
                tables.explain.add(permit, "submitted again: attached to the first")
                outbox.put(accepted_item(submit.tag, permit, self._is_resident(submit)))
                self._attach(outbox, submit.tag, record, 0)
                return
        try:
            request, payload = self._admit(submit, now)
        except RequestError as error:
            self._decline_permit(submit, error.info, now)
            raise
        self._accept(outbox, submit, request, payload, digest)

    def _admit(self, submit: pb.Submit, now: float) -> tuple[QueuedRequest, Payload]:
        tables = self._tables
        self._check_upstream(submit.service, now)
        kind = self._check_kind(submit)
        idempotent = submit.idempotent and kind.idempotent
        if not idempotent and not submit.request_id:
            raise not_run(ErrorCode.PERMIT_REQUIRED, "kind is not idempotent: use a permit")
        key = None
        if tables.is_engine:
            key = self._check_adapter(submit.service, submit.adapter, submit.version)
        fingerprint = self._check_quarantine(submit)
        remaining_s = (submit.deadline_ms or kind.deadline_ms) / 1000
        payload = self._payload(submit, now + remaining_s)
        request = QueuedRequest(
            RequestId(submit.request_id),
            key,
            CallerId(submit.caller),
            fingerprint,
            kind.worth,
            kind.batch,
            idempotent,
            now + remaining_s,
            now,
        )
        tables.queue.check(
            request,
            len(tables.inflight),
            tables.condition.batch_limit,
            tables.service_time.mean_s,
            now,
        )
        tables.answers.check_capacity()
        return request, payload

    def _accept(
        self,
        outbox: StreamOutbox,
        submit: pb.Submit,
        request: QueuedRequest,
        payload: Payload,
        digest: bytes,
    ) -> None:
        tables, now = self._tables, request.queued_at
        if submit.request_id:
            tables.permits.queue(request.request_id, digest, now)
        else:
            request.request_id = tables.permits.assign(digest, now)
        tables.answers.open(request.request_id, bool(submit.request_id))
        tables.payloads[request.request_id] = payload
        displaced = tables.queue.add(request)
        if request.key is not None:
            self._residency.record_request(request.key, now)
        entry = outbox.entry or "unknown"
        tables.explain.add(request.request_id, f"queued for entry {entry}, kind {payload.kind}")
        outbox.put(accepted_item(submit.tag, request.request_id, self._is_resident(submit)))
        # If the stream has closed meanwhile, the grace period of the detached answer starts now.
        if not outbox.subscribe(request.request_id, submit.tag, 0):
            tables.answers.attach(request.request_id)
            tables.answers.detach(request.request_id, now)
        if displaced is not None:
            text = "a request of higher worth took the place"
            termination.refuse_queued(tables, displaced.request_id, ErrorCode.QUEUE_FULL, text, now)

    def _attach(
        self, outbox: StreamOutbox, tag: int, record: RequestRecord, from_sequence: int
    ) -> None:
        if outbox.subscribe(record.request_id, tag, from_sequence) or outbox.is_closed:
            return
        if record.state is RequestState.DECLINED:
            raise refusal_error(record)
        if record.state is RequestState.ISSUED:
            raise in_doubt(ErrorCode.UNKNOWN_REQUEST, "permit was not submitted yet")
        raise answer_gone_error(record.outcome)

    def _check_upstream(self, service: str, now: float) -> None:
        tables = self._tables
        if tables.condition.leaving_sources:
            raise not_run(ErrorCode.UPSTREAM_LEAVING, "upstream is leaving", RETRY_ELSEWHERE_MS)
        if not tables.condition.is_up:
            raise not_run(ErrorCode.UPSTREAM_DOWN, "upstream is down", RETRY_ELSEWHERE_MS)
        if not tables.config.is_fresh(now):
            text = "configuration may be out of date"
            raise not_run(ErrorCode.CONFIG_STALE, text, RETRY_ELSEWHERE_MS)
        if service != tables.service:
            text = f"upstream serves {tables.service or 'no service'}, not {service}"
            raise not_run(ErrorCode.WRONG_UPSTREAM, text)

    def _check_kind(self, submit: pb.Submit) -> RequestKind:
        kind = self._tables.config.view.kind(ServiceName(submit.service), KindName(submit.kind))
        if kind is None:
            raise not_run(ErrorCode.UNKNOWN_KIND, f"no request kind {submit.kind!r}")
        return kind

    def _check_adapter(self, service: str, adapter: str, version: int) -> AdapterKey:
        key = AdapterKey(ServiceName(service), AdapterName(adapter), Version(version))
        view = self._tables.config.view
        if view.version(key) is not None:
            return key
        if view.has_adapter(key.service, adapter):
            raise not_run(ErrorCode.UNKNOWN_VERSION, f"no version {version} of {adapter!r}")
        raise not_run(ErrorCode.UNKNOWN_ADAPTER, f"no adapter {adapter!r}")

    def _check_quarantine(self, submit: pb.Submit) -> Fingerprint:
        fingerprint = Fingerprint(submit.fingerprint or submit_digest(submit))
        crashes = self._tables.crashes
        if submit.suspected_crashes:
            crashes.merge([CrashReport(fingerprint, submit.suspected_crashes, False)])
        if crashes.crash_status(fingerprint) is CrashStatus.CONFIRMED:
            raise not_run(ErrorCode.QUARANTINED, "request crashed its upstreams")
        return fingerprint

    def _payload(self, submit: pb.Submit, deadline: float) -> Payload:
        kind = KindName(submit.kind)
        if not self._tables.is_engine:
            if not submit.HasField("call"):
                raise not_run(ErrorCode.BAD_REQUEST, "plain service takes calls only")
            call = submit.call
            return Payload(
                kind=kind,
                deadline=deadline,
                method=call.method,
                path=call.path,
                headers=dict(call.headers),
                data=submit.body,
            )
        if submit.HasField("call"):
            raise not_run(ErrorCode.BAD_REQUEST, "engine takes completions only")
        return Payload(kind=kind, deadline=deadline, body=_parse_body(submit.body))

    def _is_resident(self, submit: pb.Submit) -> bool:
        key = AdapterKey(
            ServiceName(submit.service), AdapterName(submit.adapter), Version(submit.version)
        )
        return self._tables.is_engine and self._residency.find(key) is not None

    def _is_issued(self, request_id: str, now: float) -> bool:
        try:
            record = self._tables.permits.lookup(RequestId(request_id), now)
        except RequestError:
            # The id belongs to another incarnation, so the request cannot start here.
            return False
        return record.state is RequestState.ISSUED

    def _decline_permit(self, submit: pb.Submit, info: RefusalInfo, now: float) -> None:
        if submit.request_id and self._is_issued(submit.request_id, now):
            termination.decline(self._tables, RequestId(submit.request_id), info, now)

    def _refuse(self, outbox: StreamOutbox, tag: int, request_id: str, info: RefusalInfo) -> None:
        self._tables.metrics.count_refusal(info.code.value)
        _logger.debug("Refused request.", code=info.code.value, request=request_id or tag)
        outbox.put(refused_item(tag, request_id, info, self.load_report()))

    def _lookup_reply(self, record: RequestRecord) -> pb.LookupReply:
        answers = self._tables.answers
        reply = pb.LookupReply(
            request_id=record.request_id,
            state=REQUEST_STATES[record.state],
            outcome=OUTCOMES[record.outcome] if record.state.is_final else pb.OUTCOME_IN_DOUBT,
            count=answers.piece_count(record.request_id),
            complete=answers.is_ended(record.request_id),
            code=record.code.value if record.code is not None else "",
            message=record.message,
        )
        self._add_events(reply)
        return reply

    def _unknown_reply(self, request_id: RequestId, error: RequestError) -> pb.LookupReply:
        reply = pb.LookupReply(
            request_id=request_id,
            state=pb.REQUEST_STATE_IN_DOUBT,
            outcome=OUTCOMES[error.info.outcome],
            code=error.info.code.value,
            message=error.info.message,
        )
        self._add_events(reply)
        return reply

    def _add_events(self, reply: pb.LookupReply) -> None:
        for event in self._tables.explain.get(reply.request_id):
            reply.events.add(at_ms=event.at_ms, text=event.text)


def _parse_body(data: bytes) -> Mapping[str, object]:
    try:
        body = json.loads(data)
    except ValueError as error:
        raise not_run(ErrorCode.BAD_REQUEST, f"body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise not_run(ErrorCode.BAD_REQUEST, "body is not a JSON object")
    return body
