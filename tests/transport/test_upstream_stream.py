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


class _Harness:
    """One sidecar and one link with a clock that the test can advance."""

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

    def advance_clock(self, seconds: float) -> None:
        self.offset += seconds
        self.link.tick(self.now(), 0.0)

    def close(self) -> None:
        self.link.close()
        self.sidecar.stop()


@pytest.fixture
def harness() -> Iterator[_Harness]:
    new_harness = _Harness()
    yield new_harness
    new_harness.close()


def _next_event(request: OpenRequest) -> RequestEvent:
    event = request.next_event(WAIT_S)
    assert event is not None, "no event arrived"
    return event


def _remaining_events(request: OpenRequest) -> list[RequestEvent]:
    events: list[RequestEvent] = []
    while not events or not isinstance(events[-1], AnswerEnded | RequestLost):
        events.append(_next_event(request))
    return events


def _answer_text(events: list[RequestEvent]) -> bytes:
    return b"".join(event.data for event in events if isinstance(event, PieceReceived))


class TestUpstreamLink:
    """Guards against pieces that are lost, repeated or delivered to the wrong request."""

    def test_requests_share_one_stream(self, harness: _Harness) -> None:
        harness.sidecar.plan = lambda submit: Plan(pieces=(submit.body, b"!"))
        requests = [harness.submit(b"%d" % number) for number in range(20)]
        texts = [_answer_text(_remaining_events(request)) for request in requests]
        assert texts == [b"%d!" % number for number in range(20)]
        assert len(harness.sidecar.streams) == 1
        assert harness.link.open_count == 0

    def test_duplicate_pieces_are_dropped(self, harness: _Harness) -> None:
        harness.sidecar.plan = lambda submit: Plan(duplicate=frozenset({0, 2}))
        assert _answer_text(_remaining_events(harness.submit())) == b"one two three"

    @pytest.mark.parametrize("missing", [0, 1, 2])
    def test_missing_piece_is_requested_again(self, harness: _Harness, missing: int) -> None:
        harness.sidecar.plan = lambda submit: Plan(omit=frozenset({missing}))
        assert _answer_text(_remaining_events(harness.submit())) == b"one two three"
        assert harness.sidecar.attaches[0].from_sequence == missing

    def test_abandoned_request_is_cancelled_once_its_id_is_known(self, harness: _Harness) -> None:
        gate = threading.Event()
        harness.sidecar.plan = lambda submit: Plan(gate=gate)
        request = harness.submit()
        harness.link.abandon(request, detach=True)
        wait_until(lambda: request.is_ended)
        if request.is_sent:
            wait_until(
                lambda: any(r.cancelled == [True] for r in harness.sidecar.requests.values())
            )
        gate.set()
        assert harness.link.open_count == 0

    def test_abandoning_one_of_two_readers_keeps_the_answer(self, harness: _Harness) -> None:
        gate = threading.Event()
        harness.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
        first = harness.submit()
        accepted = _next_event(first)
        assert isinstance(accepted, RequestAccepted)
        second = harness.link.attach(accepted.request_id, 0, harness.now() + WAIT_S)
        wait_until(lambda: second.next_sequence == 1)
        harness.link.abandon(first, detach=True)
        gate.set()
        assert _answer_text(_remaining_events(second)) == b"one two three"
        assert harness.sidecar.requests[accepted.request_id].cancelled == []


class TestUnresponsiveConnection:
    """Guards against answers lost because a connection became unresponsive or closed."""

    def test_answer_resumes_on_the_same_incarnation(self, harness: _Harness) -> None:
        gate = threading.Event()
        harness.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=2)
        request = harness.submit()
        wait_until(lambda: request.next_sequence == 2)
        harness.sidecar.suspend_streams()
        harness.advance_clock(3.1)
        wait_until(lambda: len(harness.sidecar.attaches) == 1)
        assert harness.sidecar.attaches[0].from_sequence == 2
        gate.set()
        events = _remaining_events(request)
        assert _answer_text(events) == b"one two three"
        assert len(harness.sidecar.runs) == 1

    def test_late_frames_of_a_replaced_stream_are_ignored(self, harness: _Harness) -> None:
        gate = threading.Event()
        harness.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
        request = harness.submit()
        wait_until(lambda: request.next_sequence == 1)
        harness.sidecar.suspend_streams()
        gate.set()
        wait_until(lambda: any(r.end is not None for r in harness.sidecar.requests.values()))
        harness.advance_clock(3.1)
        events = _remaining_events(request)
        harness.sidecar.resume_streams()
        assert _answer_text(events) == b"one two three"
        assert _answer_text(_remaining_events(harness.submit())) == b"one two three"
        assert request.events.empty()

    def test_ended_stream_is_replaced_immediately(self, harness: _Harness) -> None:
        gate = threading.Event()
        harness.sidecar.plan = lambda submit: Plan(gate=gate, gate_at=1)
        request = harness.submit()
        wait_until(lambda: request.next_sequence == 1)
        harness.sidecar.drop_streams()
        gate.set()
        assert _answer_text(_remaining_events(request)) == b"one two three"

    def test_request_is_in_doubt_after_a_sidecar_restart(self, harness: _Harness) -> None:
        harness.sidecar.plan = lambda submit: Plan(gate=threading.Event())
        request = harness.submit()
        assert isinstance(_next_event(request), RequestAccepted)
        harness.sidecar.suspend_streams()
        harness.sidecar.restart()
        harness.advance_clock(3.1)
        lost = _next_event(request)
        assert isinstance(lost, RequestLost)
        assert lost.info.code is ErrorCode.OTHER_INCARNATION
        assert lost.info.outcome is Outcome.IN_DOUBT

    def test_upstream_is_down_if_no_probe_is_answered(self, harness: _Harness) -> None:
        harness.sidecar.plan = lambda submit: Plan(gate=threading.Event())
        request = harness.submit()
        assert isinstance(_next_event(request), RequestAccepted)
        harness.sidecar.answers_probes = False
        harness.sidecar.suspend_streams()
        harness.advance_clock(3.1)
        lost = _next_event(request)
        assert isinstance(lost, RequestLost)
        assert lost.info.code is ErrorCode.UPSTREAM_DOWN
        assert lost.info.outcome is Outcome.IN_DOUBT
        assert harness.listener.down == ["runner-1"]

    def test_upstream_is_up_once_a_probe_is_answered(self, harness: _Harness) -> None:
        harness.sidecar.answers_probes = False
        assert isinstance(_next_event(harness.submit()), RequestLost)
        harness.sidecar.answers_probes = True
        harness.advance_clock(2.0)
        wait_until(lambda: harness.listener.up == ["runner-1"])

    def test_permit_without_acceptance_is_submitted_again(self, harness: _Harness) -> None:
        reply = harness.sidecar.IssuePermits(pb.IssuePermitsRequest(count=1), None)  # type: ignore[arg-type]
        ready = harness.submit()
        _remaining_events(ready)
        harness.sidecar.suspend_streams()
        request = harness.submit(b"issue", reply.permits[0])
        wait_until(lambda: request.is_sent)
        harness.advance_clock(3.1)
        assert _answer_text(_remaining_events(request)) == b"one two three"
        assert harness.sidecar.runs.count(b"issue") == 1

    def test_pause_of_this_process_does_not_cause_a_probe(self, harness: _Harness) -> None:
        gate = threading.Event()
        harness.sidecar.plan = lambda submit: Plan(gate=gate)
        request = harness.submit()
        assert isinstance(_next_event(request), RequestAccepted)
        probes = harness.sidecar.probes
        harness.offset += 30.0
        harness.link.tick(harness.now(), 30.0)
        gate.set()
        assert _answer_text(_remaining_events(request)) == b"one two three"
        assert harness.sidecar.probes == probes

    def test_unsent_request_is_reported_as_not_run(self, harness: _Harness) -> None:
        harness.sidecar.stop()
        lost = _next_event(harness.submit())
        assert isinstance(lost, RequestLost)
        assert lost.info.outcome is Outcome.NOT_RUN


class TestHeartbeats:
    """Guards against undetected unresponsive connections and heartbeats on idle streams."""

    def test_heartbeats_are_sent_only_while_requests_are_open(self, harness: _Harness) -> None:
        gate = threading.Event()
        harness.sidecar.plan = lambda submit: Plan(gate=gate)
        request = harness.submit()
        assert isinstance(_next_event(request), RequestAccepted)
        harness.link.tick(harness.now(), 0.0)
        wait_until(lambda: harness.sidecar.heartbeats == 1)
        gate.set()
        _remaining_events(request)
        harness.link.tick(harness.now(), 0.0)
        _remaining_events(harness.submit())
        assert harness.sidecar.heartbeats == 1

    def test_listener_receives_reports_and_revisions(self, harness: _Harness) -> None:
        harness.sidecar.revision = 42
        _remaining_events(harness.submit())
        wait_until(lambda: 42 in harness.listener.revisions)
        assert harness.listener.reports[0] == harness.sidecar.incarnation


class TestChannelPool:
    """Guards against an unbounded number of connections in a large region."""

    def _upstream(self, name: str, address: str) -> Upstream:
        return Upstream(
            name=UpstreamName(name),
            service=ServiceName("tapster-lm"),
            data_centre=DataCentre("almaty-a"),
            sidecar_address=address,
        )

    def test_least_recently_used_idle_link_is_closed_at_the_limit(self, harness: _Harness) -> None:
        pool = ChannelPool(harness.context)
        upstreams = [self._upstream(f"runner-{n}", harness.sidecar.address) for n in range(3)]
        links = [pool.link(upstream) for upstream in upstreams[:2]]
        pool.link(upstreams[2])
        assert pool.link(upstreams[1]) is links[1]
        assert pool.link(upstreams[0]) is not links[0]
        pool.close()

    def test_links_with_open_requests_are_kept(self, harness: _Harness) -> None:
        gate = threading.Event()
        harness.sidecar.plan = lambda submit: Plan(gate=gate)
        pool = ChannelPool(harness.context)
        upstreams = [self._upstream(f"runner-{n}", harness.sidecar.address) for n in range(3)]
        opened = [
            pool.link(upstream).submit(pb.Submit(body=b"a"), harness.now() + WAIT_S)
            for upstream in upstreams[:2]
        ]
        with pytest.raises(RequestError, match="no_upstream"):
            pool.link(upstreams[2])
        gate.set()
        for request in opened:
            assert _answer_text(_remaining_events(request)) == b"one two three"
        pool.close()

    def test_idle_link_is_closed(self, harness: _Harness) -> None:
        pool = ChannelPool(harness.context)
        upstream = self._upstream("runner-1", harness.sidecar.address)
        link = pool.link(upstream)
        _remaining_events(link.submit(pb.Submit(body=b"a"), harness.now() + WAIT_S))
        pool.tick(Tick(harness.now() + 61.0, 0.0))
        assert not link.is_connected
        assert pool.link(upstream) is not link
        pool.close()
