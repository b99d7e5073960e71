"""The client side of ``Sidecar.Exchange``: one shared stream per (entry, sidecar) pair.

``UpstreamLink`` owns the stream and the requests open on it. A stream that ends or becomes
unresponsive is replaced after a probe on a new connection; see ``routing.liveness`` for the rules.
"""

import dataclasses
import threading
import time
from collections.abc import Callable
from typing import Any, Protocol, final

import grpc

from dragonflyhold.errors import ErrorCode, RefusalInfo
from dragonflyhold.ids import Incarnation, UpstreamName
from dragonflyhold.observability import ComponentLogger, Metrics
from dragonflyhold.routing import liveness
from dragonflyhold.routing.liveness import StreamAction
from dragonflyhold.settings import TlsSettings, TransportSettings
from dragonflyhold.states import Outcome
from dragonflyhold.transport.dispatch import dispatch_item
from dragonflyhold.transport.exchange_stream import ExchangeStream
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.open_request import OpenRequest, RequestLost
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2_grpc as pb_grpc

_log = ComponentLogger("transport")

# Time between probes of an upstream that is down.
DOWN_PROBE_PERIOD_S = 1.0


class LinkListener(Protocol):
    """Callbacks of the owner of the links; called from any thread, must not block."""

    def on_report(
        self, upstream: UpstreamName, incarnation: str, state: int, load: pb.LoadReport
    ) -> None:
        """Handle the state and load that a sidecar reported."""

    def on_revision(self, revision: int, address: str) -> None:
        """Handle the configuration revision that a sidecar reported."""

    def on_down(self, upstream: UpstreamName) -> None:
        """Handle an upstream that answered no probe."""

    def on_up(self, upstream: UpstreamName) -> None:
        """Handle an upstream that answered a probe, or that is down and no longer probed."""


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkContext:
    """Settings and dependencies shared by all links of an entry daemon."""

    settings: TransportSettings
    tls: TlsSettings
    hello: pb.Hello
    listener: LinkListener
    metrics: Metrics
    config_revision: Callable[[], int]
    clock: Callable[[], float] = time.monotonic


@final
class UpstreamLink:
    """Requests open on one sidecar, multiplexed over a stream that is replaced when it fails."""

    def __init__(self, upstream: UpstreamName, address: str, context: LinkContext) -> None:
        self.upstream = upstream
        self.address = address
        self._context = context
        self._settings = context.settings
        self._lock = threading.RLock()
        self._state: liveness.StreamState = liveness.Closed()
        self._stream: ExchangeStream | None = None
        self._requests: dict[int, OpenRequest] = {}
        self._next_tag = 1
        self._heartbeats = 0
        self._busy_since: float | None = None
        self._used_at = context.clock()
        self._is_closed = False
        # Resident adapters in the last heartbeat; the next one omits them if they are unchanged.
        self._resident: list[pb.AdapterVersionRef] = []

    @property
    def open_count(self) -> int:
        """Number of requests open on the link."""
        with self._lock:
            return len(self._requests)

    @property
    def used_at(self) -> float:
        """Monotonic time in seconds at which a request was last opened or closed."""
        return self._used_at

    @property
    def is_connected(self) -> bool:
        """Whether a stream is open."""
        return self._stream is not None

    def submit(self, submit: pb.Submit, deadline: float) -> OpenRequest:
        """Submit a request; connect if needed."""
        return self._open_request(submit, submit.request_id, 0, deadline)

    def attach(self, request_id: str, from_sequence: int, deadline: float) -> OpenRequest:
        """Read an existing answer from a sequence number on; connect if needed."""
        return self._open_request(None, request_id, from_sequence, deadline)

    def acknowledge(self, request: OpenRequest) -> None:
        """Acknowledge the pieces before the next sequence number."""
        ack = pb.Ack(request_id=request.request_id, next_sequence=request.next_sequence)
        with self._lock:
            # The sidecar may discard an acknowledged answer, which another reader may still need.
            if self._stream is not None and not self._is_shared(request):
                self._stream.send(pb.EntryItem(ack=ack))

    def cancel(self, request_id: str, *, detach: bool) -> bool:
        """Cancel a request by its id; return whether there was a stream to send on."""
        cancel = pb.Cancel(request_id=request_id, detach=detach)
        with self._lock:
            if self._stream is None:
                return False
            self._stream.send(pb.EntryItem(cancel=cancel))
            return True

    def abandon(self, request: OpenRequest, *, detach: bool) -> bool:
        """Stop waiting for a request and cancel it once its id is known.

        Return whether the request was certainly not sent; in that case it never will be.
        """
        with self._lock:
            if request.tag not in self._requests or request.is_abandoned:
                return False
            if not request.is_sent and (self._stream is None or self._stream.withdraw(request)):
                self._remove_request(request)
                return True
            if request.request_id:
                if not (detach and self._is_shared(request)):
                    self.cancel(request.request_id, detach=detach)
                self._remove_request(request)
            else:
                request.is_abandoned = True
                request.abandon_detach = detach
            return False

    def call(self, method: str, message: Any, timeout_s: float) -> Any:
        """Make a unary call, on a new connection if the open one fails; raise ``RpcError``."""
        with self._lock:
            is_alive = isinstance(self._state, liveness.Alive)
            channel = self._stream.channel if self._stream is not None and is_alive else None
        if channel is not None:
            try:
                return getattr(pb_grpc.SidecarStub(channel), method)(message, timeout=timeout_s)
            except (grpc.RpcError, ValueError):
                _log.debug(
                    "Unary call failed on the open connection; retrying on a new one.",
                    upstream=self.upstream,
                )
        channel = make_channel(self.address, self._context.tls)
        try:
            return getattr(pb_grpc.SidecarStub(channel), method)(message, timeout=timeout_s)
        finally:
            channel.close()

    def tick(self, now: float, paused_s: float) -> None:
        """Send a heartbeat and check for overdue frames while requests are open.

        Probe an upstream that is down once per ``DOWN_PROBE_PERIOD_S``.
        """
        with self._lock:
            if isinstance(self._state, liveness.Down):
                if now - self._state.since >= DOWN_PROBE_PERIOD_S:
                    self._apply_event(liveness.RequestPending())
                return
            if not self._requests:
                return
            if paused_s > 0:
                # Frames that arrived while this process was paused have not been read yet.
                self._busy_since = now
            if self._stream is not None:
                self._heartbeats += 1
                heartbeat = pb.Heartbeat(number=self._heartbeats)
                self._stream.send(pb.EntryItem(heartbeat=heartbeat))
            self._apply_event(liveness.TimerTicked(now, self._busy_since))

    def close_if_idle(self, now: float, idle_s: float) -> bool:
        """Close the link if no request has been open for ``idle_s``; return whether it closed."""
        with self._lock:
            if self._requests or now - self._used_at < idle_s:
                return False
            if isinstance(self._state, liveness.Down):
                # The upstream is no longer probed after this, so the next request must try it.
                self._context.listener.on_up(self.upstream)
            self.close()
            return True

    def close(self) -> None:
        """Close the stream; open requests end with ``RequestLost``."""
        with self._lock:
            self._is_closed = True
            self._close_stream()
            self._fail_all_requests(ErrorCode.UPSTREAM_DOWN, "the connection was closed")
            self._state = liveness.Closed()

    def _open_request(
        self, submit: pb.Submit | None, request_id: str, sequence: int, deadline: float
    ) -> OpenRequest:
        now = self._context.clock()
        with self._lock:
            request = OpenRequest(self._next_tag, submit, deadline, now, request_id, sequence)
            self._next_tag += 1
            if not self._requests:
                self._busy_since = now
            self._requests[request.tag] = request
            self._used_at = now
            if self._is_closed:
                self._fail_request(request, ErrorCode.UPSTREAM_DOWN, "the connection was closed")
                return request
            if self._stream is not None:
                self._send_request(request)
            self._apply_event(liveness.RequestPending())
        return request

    def _send_request(self, request: OpenRequest) -> None:
        assert self._stream is not None
        match self._state:
            case liveness.Alive(incarnation) | liveness.Moved(incarnation):
                request.sent_to = incarnation
            case liveness.Unresponsive(known) | liveness.Probing(known):
                request.sent_to = known
            case _:
                pass
        self._stream.send(request.start_item(self._context.clock()), request)

    def _is_shared(self, request: OpenRequest) -> bool:
        """Whether another open request on this link reads the same answer."""
        others = (other for other in self._requests.values() if other is not request)
        return any(other.request_id == request.request_id for other in others)

    def _remove_request(self, request: OpenRequest) -> None:
        request.is_ended = True
        self._requests.pop(request.tag, None)
        self._used_at = self._context.clock()
        if not self._requests:
            self._busy_since = None

    def _fail_request(self, request: OpenRequest, code: ErrorCode, message: str) -> None:
        outcome = Outcome.IN_DOUBT if request.is_sent else Outcome.NOT_RUN
        info = RefusalInfo(code, f"{self.upstream}: {message}", outcome)
        request.events.put(RequestLost(info, request.is_sent))
        self._remove_request(request)

    def _fail_all_requests(self, code: ErrorCode, message: str) -> None:
        for request in list(self._requests.values()):
            self._fail_request(request, code, message)

    def _close_stream(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()

    def _apply_event(self, event: liveness.StreamEvent) -> StreamAction:
        before = self._state
        result = liveness.step(before, event, self._settings)
        self._state = result.state
        if result.action is StreamAction.PROBE and isinstance(result.state, liveness.Unresponsive):
            _log.debug("Probing.", upstream=self.upstream, open=len(self._requests))
            threading.Thread(target=self._probe, name="probe", daemon=True).start()
        return result.action

    def _probe(self) -> None:
        """Probe on new connections until a probe is answered or the upstream counts as down."""
        while True:
            channel, reply = self._probe_new_channel()
            with self._lock:
                if self._is_closed:
                    if channel is not None:
                        channel.close()
                    return
                now = self._context.clock()
                if reply is None:
                    action = self._apply_event(liveness.ProbeFailed(now))
                else:
                    action = self._apply_event(
                        liveness.ProbeAnswered(now, Incarnation(reply.incarnation))
                    )
                self._handle_probe_result(action, channel)
            if reply is not None:
                self._report(reply, reply.config_revision)
                self._context.listener.on_up(self.upstream)
            if action is not StreamAction.PROBE:
                return

    def _probe_new_channel(self) -> tuple[grpc.Channel | None, pb.ProbeReply | None]:
        try:
            channel = make_channel(self.address, self._context.tls)
        except OSError as error:
            _log.error("TLS certificates cannot be read; the probe counts as failed.", error=error)
            return None, None
        return channel, self._send_probe(channel)

    def _send_probe(self, channel: grpc.Channel) -> pb.ProbeReply | None:
        self._context.metrics.count_event("probe")
        request = pb.ProbeRequest(entry=self._context.hello.entry)
        try:
            reply: pb.ProbeReply = pb_grpc.SidecarStub(channel).Probe(
                request, timeout=self._settings.probe_timeout_s
            )
        except grpc.RpcError:
            self._context.metrics.count_event("probe_failed")
            return None
        return reply

    def _handle_probe_result(self, action: StreamAction, channel: grpc.Channel | None) -> None:
        is_new_incarnation = action is StreamAction.MOVE_TO_NEW_INCARNATION
        if channel is not None:
            if is_new_incarnation or action is StreamAction.MOVE:
                self._replace_stream(channel, is_new_incarnation=is_new_incarnation)
                return
            channel.close()
        match action:
            case StreamAction.FAIL_OVER:
                self._close_stream()
                _log.warning(
                    "No probe was answered; the upstream counts as down.", upstream=self.upstream
                )
                self._context.listener.on_down(self.upstream)
                self._fail_all_requests(ErrorCode.UPSTREAM_DOWN, "no probe was answered")
            case _:
                pass

    def _replace_stream(self, channel: grpc.Channel, *, is_new_incarnation: bool) -> None:
        """Resume the open requests on a new stream over ``channel``."""
        self._close_stream()
        context = self._context
        stream = ExchangeStream(
            channel, context.hello, context.config_revision, self._on_frame, self._on_ended
        )
        self._stream = stream
        for request in list(self._requests.values()):
            self._resume_request(request, is_new_incarnation=is_new_incarnation)
        stream.start()
        if self._requests:
            context.metrics.count_event("stream_opened")

    def _resume_request(self, request: OpenRequest, *, is_new_incarnation: bool) -> None:
        if not request.is_sent:
            self._send_request(request)
        elif is_new_incarnation:
            self._fail_request(request, ErrorCode.OTHER_INCARNATION, "the sidecar was restarted")
        elif request.request_id:
            # Submitting a permit again attaches to the first submission.
            self._send_request(request)
        else:
            self._fail_request(request, ErrorCode.UPSTREAM_SILENT, "the connection went silent")

    def _on_frame(self, stream: ExchangeStream, frame: pb.SidecarFrame) -> None:
        with self._lock:
            if stream is not self._stream:
                return
            self._apply_event(liveness.FrameReceived(self._context.clock()))
            for item in frame.items:
                if item.WhichOneof("item") != "heartbeat":
                    self._dispatch(item)
        for item in frame.items:
            if item.WhichOneof("item") == "heartbeat":
                self._report(item.heartbeat, frame.config_revision)

    def _dispatch(self, item: pb.SidecarItem) -> None:
        result = dispatch_item(self._requests, item)
        if result is None:
            return
        if result.resync is not None:
            self._context.metrics.count_event("resync")
            self._send_request(result.resync)
        if result.ended is not None:
            self._remove_request(result.ended)
        if result.abandoned is not None:
            self.cancel(result.abandoned.request_id, detach=result.abandoned.abandon_detach)
            self._remove_request(result.abandoned)

    def _report(self, report: pb.SidecarHeartbeat | pb.ProbeReply, revision: int) -> None:
        listener = self._context.listener
        if report.load.resident_unchanged:
            report.load.resident.extend(self._resident)
        elif isinstance(report, pb.SidecarHeartbeat):
            self._resident = list(report.load.resident)
        listener.on_report(self.upstream, report.incarnation, report.state, report.load)
        listener.on_revision(revision, self.address)

    def _on_ended(self, stream: ExchangeStream, reason: str) -> None:
        with self._lock:
            if stream is not self._stream:
                return
            _log.info("Stream ended.", upstream=self.upstream, reason=reason)
            self._close_stream()
            self._apply_event(liveness.StreamEnded(bool(self._requests)))
