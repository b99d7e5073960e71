"""Tests of the check of a configuration before it is sent."""

import asyncio
import pathlib
import threading
from collections.abc import Callable, Iterator
from typing import Any

import orjson
import pytest
from click.testing import CliRunner, Result

from dragonflyhold.cli import main
from dragonflyhold.platform.standins.site import configuration
from dragonflyhold.platform.standins.store import StoreStandIn

SECRET = "sEcReT"


def _account(name: str, *keys: str, **fields: object) -> dict[str, object]:
    return {"name": name, "api_keys": list(keys), **fields}


def _check(folder: pathlib.Path, fields: Any, *options: str) -> Result:
    path = folder / "new.json"
    path.write_bytes(fields if isinstance(fields, bytes) else orjson.dumps(fields))
    return CliRunner().invoke(main, ["config", "check", str(path), *options])


def _against(folder: pathlib.Path, old: Any, new: Any) -> Result:
    path = folder / "old.json"
    path.write_bytes(orjson.dumps(old))
    return _check(folder, new, "--against", str(path))


def _fields(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
    fields = configuration(2)
    for route in fields["routes"]:
        if route["kind"] != "safe" and not route.get("resumable"):
            route["max_attempts"] = 1
    change(fields)
    return fields


class TestFindings:
    """Guards against configurations that do not do what they say."""

    def test_nothing_is_found_in_a_sound_one(self, tmp_path: pathlib.Path) -> None:
        result = _check(tmp_path, _fields(lambda fields: None))
        assert (result.exit_code, result.output) == (0, "nothing found\n")

    @pytest.mark.parametrize(
        ("change", "finding"),
        [
            (lambda f: f.pop("version"), "error    configuration: the whole"),
            (lambda f: f.pop("services"), "error    services: it is missing"),
            (lambda f: f["routes"][0].pop("timeout_ms"), "error    route ask: the whole"),
            (lambda f: f["routes"].append(7), "error    route #4: the whole"),
            (lambda f: f["services"][1].update(health_check_path="x"), "error    service desk"),
            (
                lambda f: f["routes"].append({**f["routes"][2], "name": "late"}),
                "error    route late: never matches: route read has",
            ),
            (lambda f: f["routes"][2].update(prefix="/a?b"), "error    route read: never matches"),
            (lambda f: f["routes"][2].update(service="gone"), "error    route read: service gone"),
            (lambda f: f["services"].append(f["services"][1]), "error    service desk: defined 2"),
            (
                lambda f: f["services"][0]["engine"].update(
                    weights_mb=1, models=[{"name": "base", "weights_mb": 2}]
                ),
                "error    service assistant: model base is larger",
            ),
            (lambda f: f.update(tenants={}), "error    accounts: the accounts are no list"),
            (
                lambda f: f.update(tenants=[_account("a", SECRET), _account("b", SECRET, "k")]),
                "error    accounts b (held by a): keys that an earlier account holds (1)",
            ),
            (
                lambda f: f.update(tenants=[_account("a", SECRET, rate_per_s=-1)]),
                "error    accounts a: a part of the limit is not valid",
            ),
        ],
    )
    def test_errors(
        self, tmp_path: pathlib.Path, change: Callable[[dict[str, Any]], object], finding: str
    ) -> None:
        result = _check(tmp_path, _fields(change))
        assert result.exit_code == 1
        assert any(line.startswith(finding) for line in result.output.splitlines()), result.output
        assert SECRET not in result.output

    @pytest.mark.parametrize(
        ("change", "finding"),
        [
            (lambda f: f["routes"][2].update(target_latency_ms=9000), "route read: the target"),
            (lambda f: f["routes"][0].update(gap_target_ms=9000), "route ask: the longest pause"),
            (lambda f: f["routes"][3].update(max_attempts=2), "route book: max_attempts 2"),
            (lambda f: f["services"][0].update(connection_limit=4), "service assistant: 4 conn"),
            (
                lambda f: f["services"].append({**f["services"][1], "name": "spare"}),
                "service spare: no route leads to it",
            ),
            (
                lambda f: f["routes"][2].update(
                    traffic_split=[
                        {"service": "desk", "weight": 1},
                        {"service": "assistant", "weight": 0},
                    ]
                ),
                "route read: service assistant is never chosen",
            ),
            (lambda f: f["routes"][2].update(host="münchen.example"), "host münchen.example: no"),
            (lambda f: f.update(tenants=[]), "accounts: there are none"),
            (lambda f: f.update(tenants=[_account("a")]), "accounts a: holds no key"),
            (lambda f: f.update(tenants=[_account("a", "k", burst=5)]), "account a: a burst"),
            (
                lambda f: f.update(
                    tenants=[
                        _account("a", "k", unit="tokens", rate_per_s=5, burst=5, plain_tokens=20)
                    ]
                ),
                "account a: a request that states no tokens",
            ),
        ],
    )
    def test_warnings(
        self, tmp_path: pathlib.Path, change: Callable[[dict[str, Any]], object], finding: str
    ) -> None:
        result = _check(tmp_path, _fields(change))
        assert result.exit_code == 0, result.output
        lines = result.output.splitlines()
        assert any(line.startswith(f"warning  {finding}") for line in lines), result.output

    @pytest.mark.parametrize("data", [b"", b"{", b"\xff"])
    def test_unreadable_files(self, tmp_path: pathlib.Path, data: bytes) -> None:
        assert _check(tmp_path, data).exit_code == 2
        assert _check(tmp_path, configuration(), "--against", str(tmp_path / "no")).exit_code == 2

    @pytest.mark.parametrize("value", [[], 7, None, "text"])
    def test_what_is_no_configuration(self, tmp_path: pathlib.Path, value: Any) -> None:
        assert _check(tmp_path, value).exit_code == 1


class TestDifferences:
    """Guards against changes that an operator does not expect."""

    def test_parts_are_compared_by_name(self, tmp_path: pathlib.Path) -> None:
        old, new = _fields(lambda f: None), _fields(lambda f: f["routes"].reverse())
        new["version"] = 3
        new["routes"][0]["timeout_ms"] = 900
        new["routes"].pop()
        new["services"].append({**new["services"][1], "name": "spare"})
        result = _against(tmp_path, old, new)
        assert [line for line in result.output.splitlines() if "warning" not in line] == [
            "changed  configuration: version: 2 -> 3",
            "removed  route ask",
            "changed  route book: timeout_ms: 1500 -> 900",
            "added    service spare",
        ]

    def test_keys_are_counted(self, tmp_path: pathlib.Path) -> None:
        old = {**configuration(2), "tenants": [_account("a", "k1", "k2"), _account("b", SECRET)]}
        new = {**configuration(3), "tenants": [_account("a", "k1", SECRET), _account("b", "k4")]}
        old["tenants"][0].update(rate_per_s=5, api_key=[SECRET])
        result = _against(tmp_path, old, new)
        assert [line for line in result.output.splitlines() if "account" in line] == [
            "changed  account a: rate_per_s: 5 -> None",
            "changed  account b: keys added: None -> 1",
            "changed  account a: keys removed: None -> 1",
            "changed  account b: keys moved to a: None -> 1",
        ]
        assert SECRET not in result.output

    def test_a_version_that_is_not_higher_would_be_ignored(self, tmp_path: pathlib.Path) -> None:
        result = _against(tmp_path, configuration(5), configuration(5))
        assert result.exit_code == 1
        assert "version 5 is not above 5" in result.output

    def test_json(self, tmp_path: pathlib.Path) -> None:
        for option in (["--output", "json"], ["--json"]):
            result = _check(tmp_path, _fields(lambda f: f.update(tenants=[])), *option)
            finding = orjson.loads(result.output)["findings"][0]
            assert (finding["severity"], finding["subject"]) == ("warning", "accounts")


@pytest.fixture(name="store")
def _store() -> Iterator[StoreStandIn]:
    """Run a store in a thread, as the command has an event loop of its own."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    store = StoreStandIn()

    async def start() -> None:
        await store.start()
        store.put("op", "config", configuration(4))

    async def stop() -> None:
        store.close()
        # Transports close their sockets in later turns of the loop.
        await asyncio.sleep(0.05)

    asyncio.run_coroutine_threadsafe(start(), loop).result(5)
    yield store
    asyncio.run_coroutine_threadsafe(stop(), loop).result(5)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


class TestInForce:
    """Guards against a comparison with another version than that in the store."""

    def test_the_row_of_the_store_is_compared(
        self, tmp_path: pathlib.Path, store: StoreStandIn
    ) -> None:
        options = ["--against", "in-force", "--store", store.address]
        result = _check(tmp_path, configuration(5), *options)
        assert result.exit_code == 0
        assert "changed  configuration: version: 4 -> 5" in result.output
        assert _check(tmp_path, configuration(4), *options).exit_code == 1

    @pytest.mark.parametrize("row", [None, b"{"])
    def test_a_store_without_a_valid_row(
        self, tmp_path: pathlib.Path, store: StoreStandIn, row: bytes | None
    ) -> None:
        store.put("op", "config", row) if row else store.remove("op", "config")
        options = ["--against", "in-force", "--store", store.address]
        assert _check(tmp_path, configuration(5), *options).exit_code == 2

    def test_an_unreachable_store_exits_with_5(self, tmp_path: pathlib.Path) -> None:
        options = ["--against", "in-force", "--store", "127.0.0.1:1"]
        assert _check(tmp_path, configuration(5), *options).exit_code == 5
