"""Tests of a link to a sidecar."""

import threading
import time
from collections.abc import Iterator

import pytest

from dragonflyhold.config.objects import Upstream
from dragonflyhold.errors import ErrorCode, RequestError
from dragonflyhold.ids import DataCentre, ServiceName, UpstreamName
from dragonflyhold.observability import Metrics
from dragonflyhold.settings import TlsSettings, TransportSettings
from dragonflyhold.states import Outcome
from dragonflyhold.timers import Tick
from dragonflyhold.transport.channel_pool import ChannelPool
from dragonflyhold.transport.open_request import (
    AnswerEnded,
    OpenRequest,
    PieceReceived,
    RequestAccepted,
    RequestEvent,
    RequestLost,
)
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.upstream_stream import LinkContext, UpstreamLink
from tests.entry.fake_sidecar import FakeSidecar, Plan
from tests.entry.harness import WAIT_S, wait_until

SETTINGS = TransportSettings(
    max_channels=2, heartbeat_s=0.1, silence_s=3.0, probe_timeout_s=0.5, probes=2
)


class _Listener:
    def __init__(self) -> None:
        self.down: list[str] = []
        self.up: list[str] = []
        self.reports: list[str] = []
        self.revisions: list[int] = []

    def on_report(
        self, upstream: UpstreamName, incarnation: str, state: int, load: pb.LoadReport
    ) -> None:
        self.reports.append(incarnation)

    def on_revision(self, revision: int, address: str) -> None:
        self.revisions.append(revision)

    def on_down(self, upstream: UpstreamName) -> None:
        self.down.append(upstream)

    def on_up(self, upstream: UpstreamName) -> None:
        self.up.append(upstream)


class _Setup:
    """One sidecar and one link whose clock the test moves on."""

    def __init__(self) -> None:
        self.offset = 0.0
        self.listener = _Listener()
        self.context = LinkContext(
            settings=SETTINGS,
            tls=TlsSettings(),
            hello=pb.Hello(entry="entry-1", incarnation="0" * 16),
            listener=self.listener,
            metrics=Metrics(),
            config_revision=lambda: 1,
            clock=self.now,
        )
        self.sidecar = FakeSidecar("runner-1")
        self.link = UpstreamLink(UpstreamName("runner-1"), self.sidecar.address, self.context)

    def now(self) -> float:
        return time.monotonic() + self.offset

    def submit(self, body: bytes = b"a", request_id: str = "") -> OpenRequest:
        submit = pb.Submit(body=body, request_id=request_id, adapter="stout", version=3)
        return self.link.submit(submit, self.now() + WAIT_S)

    def pass_time(self, seconds: float) -> None:
        self.offset += seconds
        self.link.tick(self.now(), 0.0)

    def close(self) -> None:
        self.link.close()
        self.sidecar.stop()


@pytest.fixture
def setup() -> Iterator[_Setup]:
    made = _Setup()
    yield made
    made.close()


def _next(request: OpenRequest) -> RequestEvent:
    event = request.next_event(WAIT_S)
    assert event is not None, "no event came"
    return event


def _rest(request: OpenRequest) -> list[RequestEvent]:
    events: list[RequestEvent] = []
    while not events or not isinstance(events[-1], AnswerEnded | RequestLost):
        events.append(_next(request))
    return events


def _text(events: list[RequestEvent]) -> bytes:
    return b"".join(event.data for event in events if isinstance(event, PieceReceived))


class TestUpstreamLink:
    """Guards against pieces that are lost, repeated or passed to another request."""

    def test_requests_share_one_stream(self, setup: _Setup) -> None:
        setup.sidecar.plan = lambda submit: Plan(pieces=(submit.body, b"!"))
        requests = [setup.submit(b"%d" % number) for number in range(20)]
        texts = [_text(_rest(request)) for request in requests]
        assert texts == [b"%d!" % number for number in range(20)]
        assert len(setup.sidecar.streams) == 1
        assert setup.link.open_count == 0

    def test_duplicates_are_dropped(self, setup: _Setup) -> None:
        setup.sidecar.plan = lambda submit: Plan(duplicate=frozenset({0, 2}))
        assert _text(_rest(setup.submit())) == b"one two three"

    @pytest.mark.parametrize("missing", [0, 1, 2])
    def test_missing_piece_is_asked_for(self, setup: _Setup, missing: int) -> None:
        setup.sidecar.plan = lambda submit: Plan(omit=frozenset({missing}))
        assert _text(_rest(setup.submit())) == b"one two three"
        assert setup.sidecar.attaches[0].from_sequence == missing

    def test_cancel_waits_for_the_id(self, setup: _Setup) -> None:
        gate = threading.Event()
        setup.sidecar.plan = lambda submit: Plan(gate=gate)
        request = setup.submit()
        setup.link.abandon(request, detach=True)
        wait_until(lambda: request.is_ended)
        if request.is_sent:
            wait_until(lambda: any(r.cancelled == [True] for r in setup.sidecar.requests.values()))
        gate.set()
        assert setup.link.open_count == 0

    def test_one_of_two_readers_may_leave(self, setup: _Setup) -> None:
        gate = threading.Event()
        setup.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
        first = setup.submit()
        accepted = _next(first)
        assert isinstance(accepted, RequestAccepted)
        second = setup.link.attach(accepted.request_id, 0, setup.now() + WAIT_S)
        wait_until(lambda: second.next_sequence == 1)
        setup.link.abandon(first, detach=True)
        gate.set()
        assert _text(_rest(second)) == b"one two three"
        assert setup.sidecar.requests[accepted.request_id].cancelled == []


class TestSilentConnection:
    """Guards against answers lost with a connection that went silent or broke."""

    def test_same_incarnation_continues_the_answer(self, setup: _Setup) -> None:
        gate = threading.Event()
        setup.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=2)
        request = setup.submit()
        wait_until(lambda: request.next_sequence == 2)
        setup.sidecar.suspend_streams()
        setup.pass_time(3.1)
        wait_until(lambda: len(setup.sidecar.attaches) == 1)
        assert setup.sidecar.attaches[0].from_sequence == 2
        gate.set()
        events = _rest(request)
        assert _text(events) == b"one two three"
        assert len(setup.sidecar.runs) == 1

    def test_late_frames_of_the_old_stream_change_nothing(self, setup: _Setup) -> None:
        gate = threading.Event()
        setup.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
        request = setup.submit()
        wait_until(lambda: request.next_sequence == 1)
        setup.sidecar.suspend_streams()
        gate.set()
        wait_until(lambda: any(r.end is not None for r in setup.sidecar.requests.values()))
        setup.pass_time(3.1)
        events = _rest(request)
        setup.sidecar.resume_streams()
        assert _text(events) == b"one two three"
        assert _text(_rest(setup.submit())) == b"one two three"
        assert request.events.empty()

    def test_broken_stream_is_replaced_without_waiting(self, setup: _Setup) -> None:
        gate = threading.Event()
        setup.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
        request = setup.submit()
        wait_until(lambda: request.next_sequence == 1)
        setup.sidecar.drop_streams()
        gate.set()
        assert _text(_rest(request)) == b"one two three"

    def test_other_incarnation_loses_the_request(self, setup: _Setup) -> None:
        setup.sidecar.plan = lambda submit: Plan(gate=threading.Event())
        request = setup.submit()
        assert isinstance(_next(request), RequestAccepted)
        setup.sidecar.suspend_streams()
        setup.sidecar.restart()
        setup.pass_time(3.1)
        lost = _next(request)
        assert isinstance(lost, RequestLost)
        assert lost.info.code is ErrorCode.OTHER_INCARNATION
        assert lost.info.outcome is Outcome.IN_DOUBT

    def test_no_probe_answered_means_down(self, setup: _Setup) -> None:
        setup.sidecar.plan = lambda submit: Plan(gate=threading.Event())
        request = setup.submit()
        assert isinstance(_next(request), RequestAccepted)
        setup.sidecar.answers_probes = False
        setup.sidecar.suspend_streams()
        setup.pass_time(3.1)
        lost = _next(request)
        assert isinstance(lost, RequestLost)
        assert lost.info.code is ErrorCode.UPSTREAM_DOWN
        assert lost.info.outcome is Outcome.IN_DOUBT
        assert setup.listener.down == ["runner-1"]

    def test_upstream_that_comes_back_is_found(self, setup: _Setup) -> None:
        setup.sidecar.answers_probes = False
        assert isinstance(_next(setup.submit()), RequestLost)
        setup.sidecar.answers_probes = True
        setup.pass_time(2.0)
        wait_until(lambda: setup.listener.up == ["runner-1"])

    def test_permit_is_submitted_again_if_it_was_not_accepted(self, setup: _Setup) -> None:
        reply = setup.sidecar.IssuePermits(pb.IssuePermitsRequest(count=1), None)  # type: ignore[arg-type]
        ready = setup.submit()
        _rest(ready)
        setup.sidecar.suspend_streams()
        request = setup.submit(b"issue", reply.permits[0])
        wait_until(lambda: request.is_sent)
        setup.pass_time(3.1)
        assert _text(_rest(request)) == b"one two three"
        assert setup.sidecar.runs.count(b"issue") == 1

    def test_pause_of_this_process_is_not_silence(self, setup: _Setup) -> None:
        gate = threading.Event()
        setup.sidecar.plan = lambda submit: Plan(gate=gate)
        request = setup.submit()
        assert isinstance(_next(request), RequestAccepted)
        probes = setup.sidecar.probes
        setup.offset += 30.0
        setup.link.tick(setup.now(), 30.0)
        gate.set()
        assert _text(_rest(request)) == b"one two three"
        assert setup.sidecar.probes == probes

    def test_unsent_request_did_not_run(self, setup: _Setup) -> None:
        setup.sidecar.stop()
        lost = _next(setup.submit())
        assert isinstance(lost, RequestLost)
        assert lost.info.outcome is Outcome.NOT_RUN


class TestHeartbeats:
    """Guards against silence that no side notices, and against traffic on idle streams."""

    def test_only_while_requests_are_open(self, setup: _Setup) -> None:
        gate = threading.Event()
        setup.sidecar.plan = lambda submit: Plan(gate=gate)
        request = setup.submit()
        assert isinstance(_next(request), RequestAccepted)
        setup.link.tick(setup.now(), 0.0)
        wait_until(lambda: setup.sidecar.heartbeats == 1)
        gate.set()
        _rest(request)
        setup.link.tick(setup.now(), 0.0)
        _rest(setup.submit())
        assert setup.sidecar.heartbeats == 1

    def test_reports_and_revisions_are_passed_on(self, setup: _Setup) -> None:
        setup.sidecar.revision = 42
        _rest(setup.submit())
        wait_until(lambda: 42 in setup.listener.revisions)
        assert setup.listener.reports[0] == setup.sidecar.incarnation


class TestChannelPool:
    """Guards against one connection per upstream at the target size."""

    def _upstream(self, name: str, address: str) -> Upstream:
        return Upstream(
            name=UpstreamName(name),
            service=ServiceName("tapster-lm"),
            data_centre=DataCentre("almaty-a"),
            sidecar_address=address,
        )

    def test_least_used_idle_link_makes_room(self, setup: _Setup) -> None:
        pool = ChannelPool(setup.context)
        rows = [self._upstream(f"runner-{n}", setup.sidecar.address) for n in range(3)]
        links = [pool.link(row) for row in rows[:2]]
        pool.link(rows[2])
        assert pool.link(rows[1]) is links[1]
        assert pool.link(rows[0]) is not links[0]
        pool.close()

    def test_busy_links_are_kept(self, setup: _Setup) -> None:
        gate = threading.Event()
        setup.sidecar.plan = lambda submit: Plan(gate=gate)
        pool = ChannelPool(setup.context)
        rows = [self._upstream(f"runner-{n}", setup.sidecar.address) for n in range(3)]
        opened = [
            pool.link(row).submit(pb.Submit(body=b"a"), setup.now() + WAIT_S) for row in rows[:2]
        ]
        with pytest.raises(RequestError, match="no_upstream"):
            pool.link(rows[2])
        gate.set()
        for request in opened:
            assert _text(_rest(request)) == b"one two three"
        pool.close()

    def test_idle_link_is_closed(self, setup: _Setup) -> None:
        pool = ChannelPool(setup.context)
        row = self._upstream("runner-1", setup.sidecar.address)
        link = pool.link(row)
        _rest(link.submit(pb.Submit(body=b"a"), setup.now() + WAIT_S))
        pool.tick(Tick(setup.now() + 61.0, 0.0))
        assert not link.is_connected
        assert pool.link(row) is not link
        pool.close()
