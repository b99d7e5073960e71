"""Tests of rows of the store that another writer left: odd values, types, sizes and nesting."""

import asyncio
from collections.abc import Sequence

import msgpack
import orjson
import pytest

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.http_server import HttpServer
from dragonflyhold.gateway.model import Address, IngressLimits
from dragonflyhold.gateway.peers import PeerSnapshots
from dragonflyhold.gateway.responder import Responder
from dragonflyhold.gateway.watch import TableWatch
from dragonflyhold.platform.standins.site import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    running_deployment,
)
from dragonflyhold.platform.standins.store import StoreFault
from dragonflyhold.platform.store import RowSet, StoredRow
from tests.platform.test_odd_values import ENTRY


class TestRowsThatFail:
    """Guards against watches that end, or repeat a read, because of one row."""

    def test_a_row_that_fails_keeps_no_other_row_back(self) -> None:
        events, applied = list[str](), list[str]()

        def apply(row: StoredRow) -> None:
            if row.key == "odd":
                raise RecursionError("x" * 100_000)
            applied.append(row.key)

        watch = TableWatch(None, "servers", apply, count=events.append)  # type: ignore[arg-type]
        rows = [StoredRow(key, number, b"{}") for number, key in enumerate(("a", "odd", "b"))]
        watch.table_rows.apply_peer_rows(rows[:2])
        watch.table_rows.apply_snapshot(RowSet(rows, 5))
        more = [StoredRow("odd", 6, b""), StoredRow("c", 7, b"{}")]
        watch.table_rows.apply_changes(RowSet(more, 7))
        assert applied == ["a", "b", "c"]
        assert events == ["store_row_failed"] * 2
        assert watch.table_rows.last_change.version == 7


def _put_odd_entries(deployment: InProcessDeployment) -> None:
    """Write entries that name no upstream, in the order of their keys before the sound ones."""
    parts = (
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1\0:80"},
        {"state": "NESTED"},
        {"slots": 2**64 - 1},
        {"born": 2**64 - 1},
        {"models": [{"name": "base", "adapters": ["a1@" + "9" * 300]}]},
    )
    for number, part in enumerate(parts):
        for service in (ENGINE_SERVICE, PLAIN_SERVICE):
            fields = {**ENTRY, "service": service, "address": "127.0.0.1:1", "slots": 1, **part}
            data = orjson.dumps(fields).replace(b'"NESTED"', b"[" * 990 + b"]" * 990)
            deployment.store.put("servers", f"a{number}-{service}", data)
    deployment.store.put(
        "servers", "a b\r\nHold: 9", {**ENTRY, "service": PLAIN_SERVICE, "slots": 1}
    )
    deployment.store._write("servers", "not base64", "%")
    deployment.store.put("servers", "nested", b"[" * 10_000 + b"]" * 10_000)
    deployment.store.put("servers", "number", b'{"slots":' + b"9" * 5000 + b"}")


async def _call_all(deployment: InProcessDeployment, gateway: int = 0) -> list[int]:
    paths = ["/book/1", "/ask/1"] * 6
    calls = (deployment.call(path, adapter="a1", gateway=gateway) for path in paths)
    return [(await call).status for call in calls]


class TestOddEntries:
    """Requests while the registry holds entries of another writer beside the sound ones."""

    def test_requests_are_served_beside_odd_entries(self) -> None:
        """Guards against upstreams that attract requests, as they have no load, and fail them."""

        async def scenario() -> tuple[list[int], set[str]]:
            async with running_deployment() as deployment:
                _put_odd_entries(deployment)
                deployment.store.put("servers", "last", {**ENTRY, "service": "later"})
                views = deployment.gateways[0].gateway.table.views
                async with asyncio.timeout(5):
                    while "last" not in views:
                        await asyncio.sleep(0.01)
                return await _call_all(deployment), set(views)

        statuses, known = asyncio.run(scenario())
        assert statuses == [200] * 12
        assert known == {"e0", "e1", "p0", "p1", "last"}

    def test_a_gateway_starts_from_a_snapshot_with_odd_entries(self) -> None:
        async def scenario() -> list[int]:
            async with running_deployment() as deployment:
                _put_odd_entries(deployment)
                await asyncio.sleep(1.2)
                assert len(deployment.gateways[0]._registry_watch.table_rows.rows) > 4
                deployment.store.fault = StoreFault.REFUSING
                await deployment.add_gateway()
                await deployment.wait_until_ready(2)
                return await _call_all(deployment, 1)

        assert asyncio.run(scenario()) == [200] * 12


class TestOddVersions:
    """Guards against agents whose loop ends, or requests that wait, for a version of no adapter."""

    def test_an_adapter_is_loaded_whatever_version_another_writer_announces(self) -> None:
        async def scenario() -> list[int]:
            async with running_deployment(engines=1) as deployment:
                for number, version in enumerate((1e300, 2**64 - 1, -1, "9" * 300, None)):
                    fields = {"model": "base", "adapter": "a1", "version": version}
                    deployment.store.put("op", f"version/base.a{number}", fields)
                await asyncio.sleep(0.3)
                calls = [deployment.call("/ask/1", adapter=name) for name in ("a1", "a2")]
                return [(await call).status for call in calls]

        assert asyncio.run(scenario()) == [200, 200]


class TestOddSnapshots:
    """Guards against a start during an outage that ends at one peer's odd snapshot."""

    def test_another_peer_is_asked_after_an_odd_snapshot(self) -> None:
        odd = [
            *(b"", b"\xc1", b"\x91" * 3000, msgpack.packb(7), msgpack.packb({"servers": 7})),
            *(
                msgpack.packb({"servers": [row]})
                for row in (1, ["k"], [None, 1, b""], [["k"], 1, b""], ["k", -1, b""])
            ),
            *(
                msgpack.packb({"servers": [row]})
                for row in (["k", 2**64 - 1, b""], ["k", float("nan"), b""], ["k", 1, None])
            ),
        ]
        sound = msgpack.packb({"servers": [["k", 5, b"{}"]]})
        answers, rows = [*odd, sound], list[StoredRow]()

        async def answer(request: ClientRequest, responder: Responder) -> None:
            del request
            responder.send(200, [], answers.pop(0))

        async def run() -> None:
            server, pool = HttpServer(answer, IngressLimits()), ConnectionPool()
            await server.listen("127.0.0.1", 0)
            assert server._server is not None
            port = server._server.sockets[0].getsockname()[1]
            watch = TableWatch(None, "servers", rows.append)  # type: ignore[arg-type]
            seeds = [Address(f"127.0.0.1:{port}")] * (len(odd) + 1)
            await PeerSnapshots([watch], pool, lambda: False).fetch_from_seeds(seeds)
            pool.close_expired(float("inf"))
            server.abort()

        asyncio.run(run())
        assert [(row.key, row.version) for row in rows] == [("k", 5)]


class TestStart:
    """Guards against a gateway that never gets ready after one error while it starts."""

    def test_a_failed_read_of_the_peers_is_repeated(self, monkeypatch: pytest.MonkeyPatch) -> None:
        fetch, calls = PeerSnapshots.fetch_from_seeds, list[int]()

        async def fail_once(self: PeerSnapshots, seeds: Sequence[Address]) -> None:
            calls.append(len(seeds))
            if len(calls) == 1:
                raise OverflowError("int too large")
            await fetch(self, seeds)

        async def scenario() -> bool:
            async with running_deployment(engines=0, plain=1) as deployment:
                monkeypatch.setattr(PeerSnapshots, "fetch_from_seeds", fail_once)
                daemon = await deployment.add_gateway()
                async with asyncio.timeout(5):
                    while not daemon._peer_snapshots.is_complete:
                        await asyncio.sleep(0.01)
                return daemon._peer_snapshots.is_complete

        assert asyncio.run(scenario())
        assert len(calls) == 2
