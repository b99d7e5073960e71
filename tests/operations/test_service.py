"""Tests of the operator service."""

import pathlib
from collections.abc import Iterator

import grpc
import pytest

from dragonflyhold.settings import TlsSettings
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import operator_pb2 as pb
from dragonflyhold.transport.schema import operator_pb2_grpc as pb_grpc
from tests.config import builders
from tests.config.daemons import Cluster, running_cluster, wait_for
from tests.entry.certificates import Authority
from tests.fakes import FakeTable

METHODS = {
    "Apply": pb.ChangeRequest(change_id="c"),
    "GetChange": pb.GetChangeRequest(change_id="c"),
    "ListObjects": pb.ListObjectsRequest(),
    "WaitInForce": pb.WaitInForceRequest(),
    "Status": pb.StatusRequest(),
    "Explain": pb.ExplainRequest(request_id="r"),
}


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    with running_cluster() as running:
        yield running


def call(address: str, method: str, request: object, tls: TlsSettings) -> object:
    with make_channel(address, tls) as channel:
        return getattr(pb_grpc.OperatorStub(channel), method)(request, timeout=20)


class TestOperatorService:
    """Guards against configuration changes by clients that are not operators."""

    @pytest.mark.parametrize("method", sorted(METHODS))
    def test_tls_restricts_calls_to_operators(
        self, cluster: Cluster, tmp_path: pathlib.Path, method: str
    ) -> None:
        authority = Authority(tmp_path)
        tls = authority.issue("entry-1", operator_names=("duty-officer",))
        daemon = cluster.start("entry-1", "almaty-a", FakeTable(), tls=tls)
        with pytest.raises(grpc.RpcError) as caught:
            call(daemon.address, method, METHODS[method], authority.issue("sidecar-1"))
        assert caught.value.code() is grpc.StatusCode.PERMISSION_DENIED
        assert call(daemon.address, method, METHODS[method], authority.issue("duty-officer"))

    def test_peers_compare_over_tls(self, cluster: Cluster, tmp_path: pathlib.Path) -> None:
        authority = Authority(tmp_path)
        entry = cluster.start("e", "almaty-a", FakeTable(), tls=authority.issue("e"))
        unavailable_table = FakeTable()
        unavailable_table.is_unavailable = True
        sidecar = cluster.start(
            "s", "almaty-a", unavailable_table, (entry.address,), tls=authority.issue("s")
        )
        entry.service.apply(builders.change("c", builders.put(builders.service())))
        wait_for(lambda: sidecar.revision == 1)


class TestListObjects:
    """Guards against pagination and filters that skip or repeat objects."""

    def test_pages_contain_every_object_once(self, cluster: Cluster) -> None:
        daemon = cluster.start("entry-1", "almaty-a", FakeTable())
        names = [f"ale-{number}" for number in range(7)]
        values = [builders.service(), builders.plain_service(), builders.kind()]
        values += [builders.adapter(name) for name in names]
        values += [builders.version(name, 2) for name in names]
        values += [builders.upstream("runner-1", "127.0.0.1:1")]
        daemon.service.apply(builders.change("c", *builders.puts(values)))
        tls = TlsSettings()
        for limit in (1, 3, 100):
            objects: list[pb.ConfigObject] = []
            request = pb.ListObjectsRequest(limit=limit)
            while True:
                reply = call(daemon.address, "ListObjects", request, tls)
                assert isinstance(reply, pb.ListObjectsReply)
                objects += reply.objects
                assert len(reply.objects) <= limit
                if not reply.next_page_token:
                    break
                request.page_token = reply.next_page_token
            kinds = [str(item.WhichOneof("object")) for item in objects]
            assert (len(objects), kinds) == (len(values), sorted(kinds))
            assert len({item.SerializeToString() for item in objects}) == len(values)

    def test_filters(self, cluster: Cluster) -> None:
        daemon = cluster.start("entry-1", "almaty-a", FakeTable())
        values = [builders.service("a"), builders.service("ab")]
        values += [
            builders.adapter(name, service_name)
            for service_name in ("a", "ab")
            for name in ("ale", "stout")
        ]
        daemon.service.apply(builders.change("c", *builders.puts(values)))
        request = pb.ListObjectsRequest(type="adapter", service="a", name_prefix="al")
        reply = call(daemon.address, "ListObjects", request, TlsSettings())
        assert isinstance(reply, pb.ListObjectsReply)
        assert [(item.adapter.service, item.adapter.name) for item in reply.objects] == [
            ("a", "ale")
        ]

    @pytest.mark.parametrize(
        "request_", [pb.ListObjectsRequest(type="x"), pb.ListObjectsRequest(page_token="x")]
    )
    def test_invalid_arguments(self, cluster: Cluster, request_: pb.ListObjectsRequest) -> None:
        daemon = cluster.start("entry-1", "almaty-a", FakeTable())
        with pytest.raises(grpc.RpcError) as caught:
            call(daemon.address, "ListObjects", request_, TlsSettings())
        assert caught.value.code() is grpc.StatusCode.INVALID_ARGUMENT
