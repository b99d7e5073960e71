"""In-process sidecar that can delay, duplicate and drop items, stop responding and restart."""

import dataclasses
import hashlib
import queue
import threading
from collections.abc import Callable, Iterator
from typing import Any

import grpc

from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import new_incarnation
from dragonflyhold.settings import TlsSettings
from dragonflyhold.transport.grpc_endpoints import bind_server, make_server
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2_grpc as pb_grpc

NO_TLS = TlsSettings()


@dataclasses.dataclass
class Plan:
    """Scripted handling of one request."""

    pieces: tuple[bytes, ...] = (b"one ", b"two ", b"three")
    refuse: ErrorCode | None = None
    refuse_outcome: int = pb.OUTCOME_NOT_RUN
    # Awaited before the piece with index ``gate_at`` is sent, or before the end.
    gate: threading.Event | None = None
    gate_at: int = 0
    # Sequence numbers that are sent twice, or omitted on the first stream.
    duplicate: frozenset[int] = frozenset()
    omit: frozenset[int] = frozenset()
    fail: ErrorCode | None = None  # Error code of the end, sent after the pieces.
    fail_outcome: int = pb.OUTCOME_FAILED
    crashed: bool = False
    crashed_alone: bool = False
    on_run: Callable[[], None] | None = None  # Called when the request starts to run.
    wrong_digest: bool = False
    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    version: int | None = None


@dataclasses.dataclass(eq=False)
class Request:
    """State of one request."""

    request_id: str
    submit: pb.Submit
    plan: Plan
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    end: pb.End | None = None
    refused: pb.Refused | None = None
    readers: list[tuple["Stream", int]] = dataclasses.field(default_factory=list)  # (stream, tag)
    cancelled: list[bool] = dataclasses.field(default_factory=list)
    acked: int = 0


class Stream:
    """One open Exchange call."""

    def __init__(self) -> None:
        self.out: queue.SimpleQueue[pb.SidecarItem | None] = queue.SimpleQueue()
        self.is_suspended = False
        self.entry = ""
        # Items held back while the stream is suspended.
        self.held_outgoing: list[pb.SidecarItem] = []
        self.held_incoming: list[pb.EntryItem] = []

    def put(self, **item: Any) -> None:
        sidecar_item = pb.SidecarItem(**item)
        if self.is_suspended:
            self.held_outgoing.append(sidecar_item)
        else:
            self.out.put(sidecar_item)


class FakeSidecar(pb_grpc.SidecarServicer):
    """Sidecar on a loopback port; ``runs`` lists the bodies of the requests that ran."""

    def __init__(self, name: str, address: str = "127.0.0.1:0", tls: TlsSettings = NO_TLS) -> None:
        self.name = name
        self.incarnation = new_incarnation()
        self.plan: Callable[[pb.Submit], Plan] = lambda submit: Plan()
        self.runs: list[bytes] = []
        self.submits: list[pb.Submit] = []
        self.attaches: list[pb.Attach] = []
        self.heartbeats = 0
        self.state = pb.UPSTREAM_STATE_ACTIVE
        self.answers_probes = True
        self.requests: dict[str, Request] = {}
        self.issued: set[str] = set()
        self.declined: set[str] = set()
        self.streams: list[Stream] = []
        self.probes = 0
        self.revision = 1
        self._sequence = 0
        self._lock = threading.RLock()
        self._stopping = threading.Event()
        self._server = make_server(32)
        pb_grpc.add_SidecarServicer_to_server(self, self._server)
        self.port = bind_server(self._server, address, tls)
        self._server.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        self._stopping.set()
        with self._lock:
            for stream in self.streams:
                stream.out.put(None)
        self._server.stop(0).wait()

    def suspend_streams(self) -> None:
        """Hold back all items of the open streams; new streams work."""
        with self._lock:
            for stream in self.streams:
                stream.is_suspended = True

    def resume_streams(self) -> None:
        """Deliver the items held back on suspended streams, in both directions."""
        with self._lock:
            for stream in self.streams:
                stream.is_suspended = False
                for item in stream.held_outgoing:
                    stream.out.put(item)
                stream.held_outgoing.clear()
                held, stream.held_incoming = stream.held_incoming, []
                for entry_item in held:
                    self._handle_item(stream, entry_item)

    def restart(self) -> None:
        """Discard all state and end all streams, like a restarted process."""
        with self._lock:
            self.incarnation = new_incarnation()
            self.requests.clear()
            self.issued.clear()
            self.declined.clear()
            self.suspend_streams()
            for stream in self.streams:
                stream.out.put(None)
            self.streams.clear()

    def drop_streams(self) -> None:
        """End the open streams and keep the requests."""
        with self._lock:
            self.suspend_streams()
            for stream in self.streams:
                stream.out.put(None)
            self.streams.clear()

    def Exchange(  # noqa: N802
        self, request_iterator: Iterator[pb.EntryFrame], context: grpc.ServicerContext
    ) -> Iterator[pb.SidecarFrame]:
        stream = Stream()
        with self._lock:
            self.streams.append(stream)
        context.add_callback(lambda: stream.out.put(None))
        reader = threading.Thread(target=self._read, args=(stream, request_iterator), daemon=True)
        reader.start()
        self._send_heartbeat(stream, 0)
        while (item := stream.out.get()) is not None:
            items = [item]
            while not stream.out.empty():
                next_item = stream.out.get()
                if next_item is None:
                    return
                items.append(next_item)
            yield pb.SidecarFrame(items=items, config_revision=self.revision)

    def Probe(self, request: pb.ProbeRequest, context: grpc.ServicerContext) -> pb.ProbeReply:  # noqa: N802
        self.probes += 1
        if not self.answers_probes:
            context.abort(grpc.StatusCode.UNAVAILABLE, "no answer")
        return pb.ProbeReply(
            upstream=self.name,
            incarnation=self.incarnation,
            state=self.state,
            config_revision=self.revision,
            load=pb.LoadReport(batch_limit=32, slots=8),
        )

    def IssuePermits(  # noqa: N802
        self, request: pb.IssuePermitsRequest, context: grpc.ServicerContext
    ) -> pb.IssuePermitsReply:
        if self.state != pb.UPSTREAM_STATE_ACTIVE:
            return pb.IssuePermitsReply(code="upstream_leaving", message="leaving")
        with self._lock:
            permits = [self._new_id() for _ in range(request.count)]
            self.issued.update(permits)
        return pb.IssuePermitsReply(permits=permits, expires_in_ms=600_000)

    def Lookup(self, request: pb.LookupRequest, context: grpc.ServicerContext) -> pb.LookupReply:  # noqa: N802
        return self._state_of(request.request_id)

    def Decline(self, request: pb.DeclineRequest, context: grpc.ServicerContext) -> pb.LookupReply:  # noqa: N802
        with self._lock:
            if request.request_id in self.issued:
                self.issued.discard(request.request_id)
                self.declined.add(request.request_id)
        return self._state_of(request.request_id)

    def _state_of(self, request_id: str) -> pb.LookupReply:
        reply = pb.LookupReply(request_id=request_id)
        with self._lock:
            known = self.requests.get(request_id)
            if request_id in self.issued:
                reply.state = pb.REQUEST_STATE_ISSUED
            elif request_id in self.declined:
                reply.state, reply.outcome = pb.REQUEST_STATE_DECLINED, pb.OUTCOME_NOT_RUN
            elif known is None:
                reply.state, reply.outcome = pb.REQUEST_STATE_IN_DOUBT, pb.OUTCOME_IN_DOUBT
            elif known.end is None:
                reply.state = pb.REQUEST_STATE_RUNNING
            else:
                reply.state, reply.outcome = pb.REQUEST_STATE_DONE, known.end.outcome
                reply.count, reply.complete = known.end.count, True
        return reply

    def _new_id(self) -> str:
        with self._lock:
            self._sequence += 1
            return f"{self.name}.{self.incarnation}.{self._sequence}"

    def _send_heartbeat(self, stream: Stream, number: int) -> None:
        load = pb.LoadReport(batch_limit=32, slots=8)
        heartbeat = pb.SidecarHeartbeat(
            number=number,
            upstream=self.name,
            incarnation=self.incarnation,
            state=self.state,
            load=load,
        )
        stream.put(heartbeat=heartbeat)

    def _read(self, stream: Stream, frames: Iterator[pb.EntryFrame]) -> None:
        try:
            for frame in frames:
                for item in frame.items:
                    self._handle_or_hold(stream, item)
        except grpc.RpcError:
            pass
        except Exception:
            # gRPC raises a plain Exception from the iterator when the call is cancelled.
            return

    def _handle_or_hold(self, stream: Stream, item: pb.EntryItem) -> None:
        with self._lock:
            if stream.is_suspended:
                stream.held_incoming.append(item)
            else:
                self._handle_item(stream, item)

    def _handle_item(self, stream: Stream, item: pb.EntryItem) -> None:
        match item.WhichOneof("item"):
            case "hello":
                stream.entry = item.hello.entry
            case "submit":
                self._submit(stream, item.submit)
            case "attach":
                self.attaches.append(item.attach)
                self._attach(stream, item.attach.tag, item.attach.request_id, item.attach)
            case "cancel":
                with self._lock:
                    known = self.requests.get(item.cancel.request_id)
                    if known is not None:
                        known.cancelled.append(item.cancel.detach)
            case "ack":
                with self._lock:
                    known = self.requests.get(item.ack.request_id)
                    if known is not None:
                        known.acked = item.ack.next_sequence
            case "heartbeat":
                self.heartbeats += 1
                self._send_heartbeat(stream, item.heartbeat.number)

    def _submit(self, stream: Stream, submit: pb.Submit) -> None:
        with self._lock:
            self.submits.append(submit)
            if submit.request_id in self.requests:
                self._attach(stream, submit.tag, submit.request_id, pb.Attach())
                return
            if submit.request_id and submit.request_id not in self.issued:
                self._refuse_permit(stream, submit)
                return
            plan = self.plan(submit)
            if plan.refuse is not None:
                self._refuse(stream, submit, plan.refuse, plan.refuse_outcome)
                return
            self.issued.discard(submit.request_id)
            request = Request(submit.request_id or self._new_id(), submit, plan)
            self.requests[request.request_id] = request
            self.runs.append(submit.body)
            self._attach(stream, submit.tag, request.request_id, pb.Attach())
        threading.Thread(target=self._run, args=(request,), daemon=True).start()

    def _refuse_permit(self, stream: Stream, submit: pb.Submit) -> None:
        if submit.request_id in self.declined:
            self._refuse(stream, submit, ErrorCode.DECLINED, pb.OUTCOME_NOT_RUN)
        else:
            self._refuse(stream, submit, ErrorCode.OTHER_INCARNATION, pb.OUTCOME_IN_DOUBT)

    def _refuse(self, stream: Stream, submit: pb.Submit, code: ErrorCode, outcome: int) -> None:
        if submit.request_id in self.issued:
            self.issued.discard(submit.request_id)
            self.declined.add(submit.request_id)
        refused = pb.Refused(
            tag=submit.tag,
            request_id=submit.request_id,
            code=code.value,
            message="refused by the test",
            outcome=outcome,
        )
        stream.put(refused=refused)

    def _attach(self, stream: Stream, tag: int, request_id: str, attach: pb.Attach) -> None:
        with self._lock:
            request = self.requests.get(request_id)
            if request is None:
                refused = pb.Refused(
                    tag=tag,
                    request_id=request_id,
                    code=ErrorCode.OTHER_INCARNATION.value,
                    outcome=pb.OUTCOME_IN_DOUBT,
                )
                stream.put(refused=refused)
                return
            is_resumed = bool(request.readers)
            request.readers.append((stream, tag))
            stream.put(accepted=pb.Accepted(tag=tag, request_id=request_id, resident=True))
            for sequence in range(attach.from_sequence, len(request.pieces)):
                self._send_piece(request, stream, tag, sequence, is_resumed)
            if request.end is not None:
                self._send_end(request, stream, tag)

    def _run(self, request: Request) -> None:
        plan = request.plan
        if plan.on_run is not None:
            plan.on_run()
        digest = hashlib.sha256()
        for sequence, data in enumerate(plan.pieces):
            if plan.gate is not None and sequence == plan.gate_at:
                plan.gate.wait(20)
            digest.update(data)
            with self._lock:
                request.pieces.append(data)
                for stream, tag in request.readers:
                    self._send_piece(request, stream, tag, sequence, False)
        if plan.gate is not None and plan.gate_at >= len(plan.pieces):
            plan.gate.wait(20)
        with self._lock:
            request.end = self._make_end(request, digest.digest())
            for stream, tag in request.readers:
                self._send_end(request, stream, tag)

    def _make_end(self, request: Request, digest: bytes) -> pb.End:
        plan, submit = request.plan, request.submit
        end = pb.End(
            request_id=request.request_id,
            outcome=pb.OUTCOME_OK if plan.fail is None else plan.fail_outcome,
            count=len(plan.pieces),
            digest=b"wrong" if plan.wrong_digest else digest,
            adapter=submit.adapter,
            version=submit.version if plan.version is None else plan.version,
            status=plan.status,
            headers=plan.headers,
            crashed=plan.crashed,
            crashed_alone=plan.crashed_alone,
        )
        if plan.crashed:
            crashes = submit.suspected_crashes + 1
            end.suspected_crashes = crashes
            end.quarantined = crashes > 2 or (plan.crashed_alone and crashes > 1)
        if plan.fail is not None:
            end.code, end.message = plan.fail.value, "failed by the test"
        if submit.request_id:
            end.next_permit = self._new_id()
            self.issued.add(end.next_permit)
        return end

    def _send_piece(
        self, request: Request, stream: Stream, tag: int, sequence: int, is_resumed: bool
    ) -> None:
        if sequence in request.plan.omit and not is_resumed:
            return
        send_count = 2 if sequence in request.plan.duplicate else 1
        for _ in range(send_count):
            piece = pb.Piece(tag=tag, sequence=sequence, data=request.pieces[sequence])
            stream.put(piece=piece)

    def _send_end(self, request: Request, stream: Stream, tag: int) -> None:
        end = pb.End()
        assert request.end is not None
        end.CopyFrom(request.end)
        end.tag = tag
        stream.put(end=end)
