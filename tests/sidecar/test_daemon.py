"""Tests of the sidecar daemon over gRPC, with a fake upstream."""

import dataclasses
import hashlib
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator

import pytest

from dragonflyhold.ids import Revision
from dragonflyhold.sidecar.daemon import ExternalServices, SidecarDaemon
from dragonflyhold.states import ServiceType, UpstreamMode
from dragonflyhold.storage.interface import Vm, VmState
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.upstreams.interface import UpstreamInterruptedError
from tests.sidecar.client import TIMEOUT_S, EntryClient, make_submit
from tests.sidecar.fakes import (
    SERVICE,
    FakeConfig,
    FakeEngine,
    FakePlain,
    FakeTable,
    FakeView,
    FakeVmList,
    make_settings,
)


class DaemonHarness:
    """A sidecar daemon with a fake upstream and platform."""

    def __init__(self, plain: FakePlain | None = None) -> None:
        self.engine = FakeEngine()
        type_ = ServiceType.ENGINE if plain is None else ServiceType.PLAIN
        self.config = FakeConfig(FakeView(type_))
        self.table = FakeTable()
        self.vms = FakeVmList()
        external = ExternalServices(
            table=self.table,
            vms=self.vms,
            engine=self.engine if plain is None else None,
            plain=plain,
        )
        self.daemon = SidecarDaemon(
            make_settings(type_, detach_grace_s=0.5), external, lambda *args: self.config
        )
        self.daemon.start()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until the daemon accepts work."""
        for _ in range(int(TIMEOUT_S / 0.02)):
            try:
                self.get("/readyz")
                return
            except urllib.error.HTTPError:
                time.sleep(0.02)
        raise AssertionError("daemon did not become ready in time")

    def get(self, path: str) -> str:
        """Return the body of a page of the status server."""
        url = f"http://127.0.0.1:{self.daemon.http_port}{path}"
        with urllib.request.urlopen(url, timeout=TIMEOUT_S) as response:
            return response.read().decode()

    def stop(self) -> None:
        """Stop the daemon gracefully."""
        self.engine.gate.set()
        self.daemon.request_stop()
        assert self.daemon.wait(TIMEOUT_S * 2)


@pytest.fixture
def harness() -> Iterator[DaemonHarness]:
    harness = DaemonHarness()
    yield harness
    harness.stop()


class TestExchange:
    """Guards against answers that are truncated, duplicated or sent for another request."""

    def test_completion_ends_with_its_piece_count_and_digest(self, harness: DaemonHarness) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        client.submit(make_submit(7))
        pieces, end = client.answer(7)
        assert end.outcome == pb.OUTCOME_OK
        assert (end.count, end.digest) == (3, hashlib.sha256(b"".join(pieces)).digest())
        assert (end.adapter, end.version) == ("pale", 1)
        client.acknowledge(end)
        client.close()

    def test_answer_is_resumed_on_a_new_stream(self, harness: DaemonHarness) -> None:
        harness.engine.gate.clear()
        first = EntryClient(harness.daemon.grpc_port)
        first.submit(make_submit(1))
        request_id = first.next_item("accepted").accepted.request_id
        first.close()
        second = EntryClient(harness.daemon.grpc_port)
        second.attach(5, request_id, 1)
        harness.engine.gate.set()
        item = second.next_item("piece")
        assert (item.piece.tag, item.piece.sequence) == (5, 1)
        end = second.next_item("end").end
        assert (end.outcome, end.count) == (pb.OUTCOME_OK, 3)
        second.acknowledge(end)
        second.close()

    def test_refusal_contains_code_outcome_and_load(self, harness: DaemonHarness) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        cases = {
            1: ("unknown_adapter", make_submit(1, "porter")),
            2: ("unknown_version", make_submit(2, version=9)),
            3: ("unknown_kind", make_submit(3, kind="none")),
            4: ("permit_required", make_submit(4, kind="redeem", idempotent=False)),
            5: ("wrong_upstream", make_submit(5, service="other")),
            6: ("bad_request", make_submit(6, body=b"no json")),
        }
        for tag, (code, submit) in cases.items():
            client.submit(submit)
            refused = client.next_item("refused").refused
            assert (refused.tag, refused.code) == (tag, code)
            assert refused.outcome == pb.OUTCOME_NOT_RUN
            assert refused.load.batch_limit == 4
        client.close()
        assert harness.engine.runs == []
        assert 'refusals_total{code="bad_request"} 1' in harness.get("/metrics")

    def test_new_work_is_refused_while_the_configuration_is_stale(
        self, harness: DaemonHarness
    ) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        harness.config.fresh = False
        client.submit(make_submit(1))
        assert client.next_item("refused").refused.code == "config_stale"
        client.close()

    def test_submission_waits_for_the_revision_of_its_entry(self, harness: DaemonHarness) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        client.submit(make_submit(1), revision=2)
        while not harness.config.observed:
            time.sleep(0.01)
        load = client.stub.Probe(pb.ProbeRequest()).load
        assert (load.queued, load.in_flight) == (0, 0)
        harness.config.view.revision = Revision(2)
        _, end = client.answer(1)
        assert end.outcome == pb.OUTCOME_OK
        client.acknowledge(end)
        client.close()


class TestPermits:
    """Guards against a second run of a non-idempotent request."""

    def issue(self, client: EntryClient) -> str:
        """Return a permit."""
        request = pb.IssuePermitsRequest(service=SERVICE, adapter="pale", version=1, count=1)
        return client.stub.IssuePermits(request).permits[0]

    def test_two_submissions_run_once_and_get_the_same_answer(self, harness: DaemonHarness) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        permit = self.issue(client)
        answers = []
        for tag in (1, 2):
            submit = make_submit(tag, kind="redeem", idempotent=False, prompt="redeem 7")
            submit.request_id = permit
            client.submit(submit)
            answers.append(client.answer(tag))
        (first, first_end), (second, second_end) = answers
        assert first == second
        assert first_end.digest == second_end.digest
        assert first_end.next_permit == second_end.next_permit != ""
        assert len(harness.engine.runs) == 1
        client.acknowledge(first_end)
        client.close()

    def test_declined_permit_never_runs(self, harness: DaemonHarness) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        permit = self.issue(client)
        reply = client.stub.Decline(pb.DeclineRequest(request_id=permit))
        assert (reply.state, reply.outcome) == (
            pb.REQUEST_STATE_DECLINED,
            pb.OUTCOME_NOT_RUN,
        )
        client.submit(make_submit(1, kind="redeem", idempotent=False, request_id=permit))
        refused = client.next_item("refused").refused
        assert (refused.code, refused.outcome) == ("declined", pb.OUTCOME_NOT_RUN)
        client.close()
        assert harness.engine.runs == []

    def test_permit_of_another_incarnation_is_in_doubt(self, harness: DaemonHarness) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        permit = f"runner-1.{'ab' * 8}.0"
        client.submit(make_submit(1, kind="redeem", idempotent=False, request_id=permit))
        refused = client.next_item("refused").refused
        assert (refused.code, refused.outcome) == ("other_incarnation", pb.OUTCOME_IN_DOUBT)
        reply = client.stub.Lookup(pb.LookupRequest(request_id=permit))
        assert reply.outcome == pb.OUTCOME_IN_DOUBT
        client.close()


def _await_leaving(client: EntryClient) -> None:
    """Wait until the sidecar reports that it leaves."""
    deadline = time.monotonic() + TIMEOUT_S
    while not any(
        heartbeat.state == pb.UPSTREAM_STATE_LEAVING for heartbeat in list(client.heartbeats)
    ):
        assert time.monotonic() < deadline, "the sidecar has not reported that it leaves"
        time.sleep(0.01)


class TestStop:
    """Guards against requests and answers that are lost in a graceful stop."""

    def test_open_and_queued_requests_are_finished(self, harness: DaemonHarness) -> None:
        harness.engine.gate.clear()
        client = EntryClient(harness.daemon.grpc_port)
        # More than the batch limit of 4, so two requests stay queued.
        for tag in range(6):
            client.submit(make_submit(tag))
            client.next_item("accepted")
        harness.daemon.request_stop()
        # The stop begins in a thread of its own, and new work is refused once it is reported.
        _await_leaving(client)
        client.submit(make_submit(9))
        assert client.next_item("refused").refused.code == "upstream_leaving"
        harness.engine.gate.set()
        ends = [client.next_item("end").end for _ in range(6)]
        assert {end.outcome for end in ends} == {pb.OUTCOME_OK}
        # Another entry can still fetch an answer that was not acknowledged.
        second = EntryClient(harness.daemon.grpc_port)
        second.attach(5, ends[0].request_id)
        pieces, _ = second.answer(5)
        assert len(pieces) == 3
        for end in ends:
            client.acknowledge(end)
        assert harness.daemon.wait(TIMEOUT_S)
        second.close()
        client.close()

    @pytest.mark.parametrize("source", ["configuration", "vm_list"])
    def test_leaving_is_detected_and_reported(self, harness: DaemonHarness, source: str) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        upstream = harness.config.view.upstreams["runner-1"]
        if source == "configuration":
            draining = dataclasses.replace(upstream, mode=UpstreamMode.DRAINING)
            harness.config.view.upstreams["runner-1"] = draining
        else:
            vm = Vm("vm-1", "127.0.0.1", upstream.data_centre, VmState.LEAVING, "runner-1")
            harness.vms.vms = [vm]
        _await_leaving(client)
        client.submit(make_submit(1))
        assert client.next_item("refused").refused.code == "upstream_leaving"
        client.close()


class TestCrashes:
    """Guards against a request that crashes one upstream after another."""

    def test_suspect_runs_exclusively_and_is_quarantined_after_its_second_crash(
        self, harness: DaemonHarness
    ) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        harness.engine.gate.clear()
        for tag in (1, 2):
            client.submit(make_submit(tag, fingerprint=bytes([tag])))
            client.next_item("accepted")
        while len(harness.engine.runs) < 2:
            time.sleep(0.01)
        harness.engine.restart()
        for end in (client.next_item("end").end, client.next_item("end").end):
            assert (end.code, end.crashed, end.crashed_alone) == ("upstream_crashed", True, False)
        # The suspected request must run exclusively, so the harmless one has to wait.
        client.submit(make_submit(3, fingerprint=b"\x01"))
        client.submit(make_submit(4, fingerprint=b"other"))
        while len(harness.engine.runs) < 3:
            time.sleep(0.01)
        time.sleep(0.1)
        assert len(harness.engine.runs) == 3
        harness.engine.restart()
        end = client.next_item("end").end
        assert (end.tag, end.crashed_alone) == (3, True)
        client.submit(make_submit(5, fingerprint=b"\x01"))
        assert client.next_item("refused").refused.code == "quarantined"
        while "quarantine/01" not in harness.table.rows:
            time.sleep(0.01)
        harness.engine.gate.set()
        _, end = client.answer(4)
        assert end.outcome == pb.OUTCOME_OK
        client.acknowledge(end)
        client.close()

    def test_requests_are_refused_while_the_engine_is_down(self, harness: DaemonHarness) -> None:
        client = EntryClient(harness.daemon.grpc_port)
        harness.engine.is_down = True
        code = ""
        for tag in range(100, 200):
            client.submit(make_submit(tag, deadline_ms=5000))
            item = client.next_item("refused", "end")
            code = item.refused.code if item.WhichOneof("item") == "refused" else item.end.code
            if item.WhichOneof("item") == "refused":
                break
        assert code == "upstream_down"
        harness.engine.is_down = False
        harness.wait_ready()
        client.submit(make_submit(1))
        _, end = client.answer(1)
        assert end.outcome == pb.OUTCOME_OK
        client.acknowledge(end)
        client.close()


class TestPlainService:
    """Guards against calls that are sent twice and uncertain outcomes reported as certain."""

    def call(self, plain: FakePlain, prepare: Callable[[], None]) -> pb.End:
        """Send one non-idempotent call and return the end of its answer.

        ``prepare`` runs between the issue of the permit and the submission.
        """
        harness = DaemonHarness(plain=plain)
        client = EntryClient(harness.daemon.grpc_port)
        request = pb.IssuePermitsRequest(service=SERVICE, count=1)
        permit = client.stub.IssuePermits(request).permits[0]
        prepare()
        submit = make_submit(1, "", version=0, kind="redeem", idempotent=False, body=b"token 7")
        submit.request_id = permit
        submit.call.CopyFrom(pb.PlainCall(method="POST", path="/redeem"))
        client.submit(submit)
        self.pieces, end = client.answer(1)
        client.acknowledge(end)
        client.close()
        harness.stop()
        return end

    def test_answer_is_split_into_pieces_and_has_its_status(self) -> None:
        plain = FakePlain()
        plain.response_body = b"x" * 40_000
        end = self.call(plain, lambda: None)
        assert (end.outcome, end.status) == (pb.OUTCOME_OK, 200)
        assert b"".join(self.pieces) == plain.response_body
        assert len(self.pieces) == 3
        assert plain.calls == [("POST", "/redeem", b"token 7")]

    def test_interrupted_call_is_in_doubt_and_not_repeated(self) -> None:
        plain = FakePlain()
        plain.error = UpstreamInterruptedError("connection reset")
        end = self.call(plain, lambda: None)
        assert end.outcome == pb.OUTCOME_IN_DOUBT
        assert len(plain.calls) == 1

    def test_unsent_call_ends_as_not_run(self) -> None:
        plain = FakePlain()

        def go_down() -> None:
            plain.is_refusing = True

        end = self.call(plain, go_down)
        assert (end.outcome, end.code) == (pb.OUTCOME_NOT_RUN, "upstream_down")
        assert plain.calls == []
