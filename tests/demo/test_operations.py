"""Tests of the demo's operator client against a fake server."""

import queue
from collections.abc import Iterator

import grpc
import pytest

from dragonflyhold.demo import operations
from dragonflyhold.demo.operations import OperatorClient, put_version
from dragonflyhold.demo.processes import DeploymentError
from dragonflyhold.settings import TlsSettings
from dragonflyhold.transport.grpc_endpoints import bind_server, make_server
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc

OPERATIONS = [put_version("tapster-lm", "stall-0001", 2)]


class FakeOperator(operator_pb2_grpc.OperatorServicer):
    """Returns ``replies`` in order, ``None`` as an error, and records the calls."""

    def __init__(self) -> None:
        self.replies: queue.SimpleQueue[pb.ChangeReply | None] = queue.SimpleQueue()
        self.calls: list[tuple[str, str]] = []

    def Apply(  # noqa: N802
        self, request: pb.ChangeRequest, context: grpc.ServicerContext
    ) -> pb.ChangeReply:
        """Return the next reply."""
        return self._reply("Apply", request.change_id, context)

    def GetChange(  # noqa: N802
        self, request: pb.GetChangeRequest, context: grpc.ServicerContext
    ) -> pb.ChangeReply:
        """Return the next reply."""
        return self._reply("GetChange", request.change_id, context)

    def _reply(self, call: str, change_id: str, context: grpc.ServicerContext) -> pb.ChangeReply:
        self.calls.append((call, change_id))
        reply = self.replies.get_nowait()
        if reply is None:
            context.abort(grpc.StatusCode.UNAVAILABLE, "prepared error")
        return reply


@pytest.fixture
def operator(monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[FakeOperator, OperatorClient]]:
    monkeypatch.setattr(operations, "RETRY_DELAY_S", 0.0)
    servicer = FakeOperator()
    server = make_server(2)
    operator_pb2_grpc.add_OperatorServicer_to_server(servicer, server)
    port = bind_server(server, "127.0.0.1:0", TlsSettings())
    server.start()
    client = OperatorClient(f"127.0.0.1:{port}")
    yield servicer, client
    client.close()
    server.stop(0).wait()


def reply(result: int, *codes: str) -> pb.ChangeReply:
    problems = [pb.ChangeProblem(code=code) for code in codes]
    return pb.ChangeReply(result=result, revision=7, problems=problems)


class TestOperatorClient:
    """Guards against a change that is applied twice or misreported after a lost reply."""

    def test_outcome_is_looked_up_after_a_lost_reply(
        self, operator: tuple[FakeOperator, OperatorClient]
    ) -> None:
        servicer, client = operator
        for queued_reply in (
            None,
            reply(pb.CHANGE_RESULT_IN_DOUBT),
            reply(pb.CHANGE_RESULT_ACCEPTED),
        ):
            servicer.replies.put(queued_reply)
        assert client.apply(OPERATIONS) == 7
        assert [call for call, _ in servicer.calls] == ["Apply", "GetChange", "GetChange"]
        assert len({change_id for _, change_id in servicer.calls}) == 1

    def test_unknown_change_is_resent_under_the_same_id(
        self, operator: tuple[FakeOperator, OperatorClient]
    ) -> None:
        servicer, client = operator
        for queued_reply in (
            None,
            reply(pb.CHANGE_RESULT_UNKNOWN),
            reply(pb.CHANGE_RESULT_ACCEPTED),
        ):
            servicer.replies.put(queued_reply)
        assert client.apply(OPERATIONS) == 7
        assert [call for call, _ in servicer.calls] == ["Apply", "GetChange", "Apply"]
        assert len({change_id for _, change_id in servicer.calls}) == 1

    def test_transient_refusal_is_retried(
        self, operator: tuple[FakeOperator, OperatorClient]
    ) -> None:
        servicer, client = operator
        servicer.replies.put(reply(pb.CHANGE_RESULT_INVALID, "region_unreachable"))
        servicer.replies.put(reply(pb.CHANGE_RESULT_ACCEPTED))
        assert client.apply(OPERATIONS) == 7

    @pytest.mark.parametrize("codes", [["revision_conflict"], ["region_unreachable", "other"], []])
    def test_permanent_refusal_raises_an_error(
        self, operator: tuple[FakeOperator, OperatorClient], codes: list[str]
    ) -> None:
        servicer, client = operator
        servicer.replies.put(reply(pb.CHANGE_RESULT_INVALID, *codes))
        with pytest.raises(DeploymentError, match="refused"):
            client.apply(OPERATIONS)
        assert len(servicer.calls) == 1
