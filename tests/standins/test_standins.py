"""Tests of the platform stand-ins, which other tests use as oracles."""

import base64
import concurrent.futures
import json
from collections.abc import Iterator
from typing import Any, TypeVar

import pytest
import urllib3

from dragonflyhold.standins import (
    ObjectStoreStandIn,
    StandIn,
    TableStandIn,
    VmListStandIn,
    WeightStoreStandIn,
)

S = TypeVar("S", bound=StandIn)


@pytest.fixture(scope="module")
def http() -> Iterator[urllib3.PoolManager]:
    with urllib3.PoolManager(retries=False) as pool:
        yield pool


def start_stand_in(stand_in: S, request: pytest.FixtureRequest) -> S:
    stand_in.start()
    request.addfinalizer(stand_in.stop)
    return stand_in


def transact(
    http: urllib3.PoolManager, table: StandIn, conditions: list[Any], puts: list[tuple[str, bytes]]
) -> urllib3.BaseHTTPResponse:
    rows = [{"key": key, "value": base64.b64encode(value).decode()} for key, value in puts]
    body = json.dumps({"conditions": conditions, "puts": rows})
    return http.request("POST", f"{table.url}/v1/transactions", body=body)


class TestTable:
    """Guards against a table that lets conflicting writes through or loses rows."""

    def test_failed_condition_rejects_the_whole_transaction(
        self, http: urllib3.PoolManager, request: pytest.FixtureRequest
    ) -> None:
        table = start_stand_in(TableStandIn(), request)
        new = [{"key": "a/1", "version": 0}]
        assert transact(http, table, new, [("a/1", b"x"), ("a/2", b"y")]).status == 200
        conflict = transact(http, table, new, [("a/1", b"z"), ("a/3", b"z")])
        assert conflict.status == 409
        assert conflict.json() == {"key": "a/1", "expected": 0, "current": 1}
        row = http.request("GET", f"{table.url}/v1/rows/a%2F1").json()
        assert (row["version"], base64.b64decode(row["value"])) == (1, b"x")
        assert http.request("GET", f"{table.url}/v1/rows/a%2F3").status == 404

    def test_prefix_read_continues_after_a_key(
        self, http: urllib3.PoolManager, request: pytest.FixtureRequest
    ) -> None:
        table = start_stand_in(TableStandIn(), request)
        transact(http, table, [], [(key, b"") for key in ("b", "a/2", "a/1", "a/3", "a")])
        url = f"{table.url}/v1/rows?prefix=a%2F&limit=2"
        rows = http.request("GET", url).json()["rows"]
        assert [row["key"] for row in rows] == ["a/1", "a/2"]
        rows = http.request("GET", f"{url}&start_after=a%2F2").json()["rows"]
        assert [row["key"] for row in rows] == ["a/3"]

    def test_write_with_a_lost_response_takes_effect(
        self, http: urllib3.PoolManager, request: pytest.FixtureRequest
    ) -> None:
        table = start_stand_in(TableStandIn(), request)
        http.request("POST", f"{table.url}/control", body=b'{"fail_after_effect": 1}')
        with pytest.raises(urllib3.exceptions.HTTPError):
            transact(http, table, [], [("a", b"x")])
        assert http.request("GET", f"{table.url}/v1/rows/a").json()["version"] == 1

    def test_writes_above_the_rate_limit_are_refused(
        self, http: urllib3.PoolManager, request: pytest.FixtureRequest
    ) -> None:
        table = start_stand_in(TableStandIn(writes_per_s=0.001), request)
        assert transact(http, table, [], [("a", b"")]).status == 200
        assert transact(http, table, [], [("a", b"")]).status == 429

    def test_rows_survive_a_restart(
        self, http: urllib3.PoolManager, request: pytest.FixtureRequest
    ) -> None:
        table = start_stand_in(TableStandIn(), request)
        transact(http, table, [], [("a", b"x")])
        url = table.url
        table.stop()
        with pytest.raises(urllib3.exceptions.HTTPError):
            http.request("GET", f"{url}/v1/rows/a")
        table.start()
        assert table.url == url
        assert http.request("GET", f"{url}/v1/rows/a").status == 200


class TestObjectStore:
    """Guards against objects that are altered in storage."""

    def test_put_and_get(self, http: urllib3.PoolManager, request: pytest.FixtureRequest) -> None:
        store = start_stand_in(ObjectStoreStandIn(), request)
        url = f"{store.url}/v1/objects/config%2F1"
        assert http.request("GET", url).status == 404
        http.request("PUT", url, body=b"\x00\xff\r\n")
        assert http.request("GET", url).data == b"\x00\xff\r\n"


class TestVmList:
    """Guards against a list without a lag, which would hide faults in other tests."""

    def test_change_is_visible_after_the_lag(
        self, http: urllib3.PoolManager, request: pytest.FixtureRequest
    ) -> None:
        vms = start_stand_in(VmListStandIn(lag_s=1000.0), request)
        vm = {"name": "vm-1", "address": "127.0.0.1", "data_centre": "almaty-a"}
        vms.control({"vm": {**vm, "state": "live", "upstream": ""}})
        assert http.request("GET", f"{vms.url}/v1/vms").json() == {"vms": []}
        vms.control({"lag_s": 0})
        names = [item["name"] for item in http.request("GET", f"{vms.url}/v1/vms").json()["vms"]]
        assert names == ["vm-1"]


class TestWeightStore:
    """Guards against loads that are faster than the real store allows."""

    def test_loads_and_failures_are_counted(
        self, http: urllib3.PoolManager, request: pytest.FixtureRequest
    ) -> None:
        store = start_stand_in(WeightStoreStandIn(loads_per_s=1000.0), request)
        store.control({"fail_paths": ["stout/9"]})
        paths = ["stout%2F1", "stout%2F2", "stout%2F9"]
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            urls = [f"{store.url}/v1/weights/{path}" for path in paths]
            statuses = [
                response.status for response in pool.map(lambda u: http.request("GET", u), urls)
            ]
        assert statuses == [200, 200, 500]
        counts = http.request("GET", f"{store.url}/v1/counts").json()
        assert (counts["loads"], counts["failed"], counts["in_transit"]) == (3, 1, 0)
