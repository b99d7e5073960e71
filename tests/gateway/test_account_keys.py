"""Tests of keys that come and go, while requests run, the store is away and changes are unread."""

import asyncio
import json
import logging as std_logging
import secrets
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, TypeVar
from unittest import mock

import pytest
from absl import logging

from dragonflyhold.bench import virtual_network
from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.gateway.http_client import Call
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.settings import Bounds
from dragonflyhold.platform.standins.runner import Fault
from dragonflyhold.platform.standins.site import (
    HOST,
    Answer,
    InProcessDeployment,
    configuration,
    running_deployment,
)
from dragonflyhold.platform.standins.store import StoreFault
from dragonflyhold.platform.store import StorePosition

Result = TypeVar("Result")

MAX_KEY_AGE_S = 5.0
LAPSING = Bounds(max_key_age_s=MAX_KEY_AGE_S)
OPEN_ROUTE = 2
CLIENT_PORT = 18080


def _accounts(version: int, **keys: list[str]) -> dict[str, Any]:
    """Return a configuration with an account for each keyword."""
    fields = configuration(version)
    fields["tenants"] = [{"name": name, "api_keys": list(held)} for name, held in keys.items()]
    return fields


def _run(
    scenario: Callable[[InProcessDeployment], Awaitable[Result]],
    bounds: Bounds | None = None,
    **counts: int,
) -> Result:
    async def run() -> Result:
        async with running_deployment(bounds=bounds, **counts) as deployment:
            return await scenario(deployment)

    return run_virtual(run())


async def _publish(deployment: InProcessDeployment, fields: dict[str, Any]) -> None:
    deployment.store.put("op", "config", fields)
    await asyncio.sleep(0.2)


async def _call(
    deployment: InProcessDeployment, key: str, path: str = "/read/1", gateway: int = 0
) -> Answer:
    return await deployment.call(path, headers={"Api-Key": key}, gateway=gateway)


async def _status(deployment: InProcessDeployment, key: str, gateway: int = 0) -> int:
    return (await _call(deployment, key, gateway=gateway)).status


def _accounts_of_runs(deployment: InProcessDeployment) -> list[bytes | None]:
    runs = [run for upstream in deployment.upstreams.values() for run in upstream.runs]
    return [run["fields"].get(b"tenant") for run in runs]


class TestChanges:
    """Keys that a new version of the configuration adds, removes or moves."""

    def test_added_and_removed_keys_at_all_gateways(self) -> None:
        """Guards against a key that outlives its removal on a connection that is kept."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            await _publish(deployment, _accounts(2, a=["old"]))
            before = [await _status(deployment, key) for key in ("old", "new")]
            await _publish(deployment, _accounts(3, a=["new"]))
            return before + [
                await _status(deployment, key, gateway)
                for key in ("old", "new")
                for gateway in range(2)
            ]

        statuses = _run(scenario, engines=0, plain=1, gateways=2)
        assert statuses == [200, 401, 401, 401, 200, 200]

    def test_a_key_moves_to_another_account(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[bytes | None]:
            await _publish(deployment, _accounts(2, a=["k"], b=["l"]))
            await _call(deployment, "k")
            await _publish(deployment, _accounts(3, b=["l", "k"], a=[]))
            await _call(deployment, "k")
            return _accounts_of_runs(deployment)

        assert _run(scenario, engines=0, plain=1) == [b"a", b"b"]

    def test_a_stream_outlasts_its_key(self) -> None:
        """Guards against streams that a change of the configuration cuts (LOST)."""

        async def scenario(
            deployment: InProcessDeployment,
        ) -> tuple[Answer, list[bytes | None], int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            # The first run breaks off, wherever it is.
            faults: list[Any] = [Fault.BREAK_MIDWAY]
            for upstream in deployment.upstreams.values():
                upstream.event_interval_s = 0.2
                upstream.faults = faults
            call = asyncio.create_task(_call(deployment, "k", "/ask/1"))
            await asyncio.sleep(0.1)
            await _publish(deployment, _accounts(3, a=["other"]))
            answer = await call
            accounts = _accounts_of_runs(deployment)
            return answer, accounts, await _status(deployment, "k")

        answer, accounts, later = _run(scenario, engines=2, plain=1)
        assert (answer.status, answer.event_ids) == (200, [1, 2, 3, 4, 5, 6])
        assert (accounts, later) == ([b"a", b"a"], 401)

    @pytest.mark.parametrize("fault", [Fault.BREAK_BEFORE, Fault.REFUSE])
    def test_a_request_that_is_sent_again_keeps_its_account(self, fault: Fault) -> None:
        """Guards against one request that runs for two accounts."""

        async def scenario(deployment: InProcessDeployment) -> list[bytes | None]:
            await _publish(deployment, _accounts(2, a=["k"], b=[]))
            faults: list[Any] = [fault]
            for upstream in deployment.upstreams.values():
                upstream.answer_s = 0.3
                upstream.faults = faults
            call = asyncio.create_task(_status(deployment, "k"))
            await asyncio.sleep(0.05)
            await _publish(deployment, _accounts(3, b=["k"], a=[]))
            assert await call == 200
            return _accounts_of_runs(deployment)

        assert set(_run(scenario, engines=0, plain=2)) == {b"a"}

    def test_levels_follow_the_accounts_in_force(self) -> None:
        """Guards against metrics that show accounts after their removal, or without any."""

        async def scenario(deployment: InProcessDeployment) -> list[list[str]]:
            levels, odd = [], {**configuration(4), "tenants": {}}
            held = _accounts(3, a=["k", "l"])
            for fields in (configuration(2), held, odd, configuration(5)):
                await _publish(deployment, fields)
                await asyncio.sleep(1)
                text = deployment.gateways[0]._metrics.render()[0].decode()
                levels.append([line for line in text.splitlines() if 'name="account' in line])
            return levels

        without, *others = _run(scenario, engines=0, plain=1)
        assert not without
        values = [[float(line.split()[-1]) for line in lines] for lines in others]
        assert values == [[1, 2, 0], [0, 0, 1], [0, 0, 0]]

    def test_an_odd_account_leaves_the_others_in_force(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            fields = _accounts(2, a=["k"])
            fields["tenants"] += [None, {"name": "b", "api_keys": 7}, {"api_keys": ["n"]}]
            await _publish(deployment, fields)
            return [await _status(deployment, key) for key in ("k", "n")]

        assert _run(scenario, engines=0, plain=1) == [200, 401]


class TestUnreadChange:
    """Keys that are unknown to a gateway that knows of a change it has not read."""

    def test_an_unknown_key_is_not_rejected_for_good(self) -> None:
        """Guards against 401 for a key that was just added, at a gateway that is behind."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            deployment.store.fault = StoreFault.UNRESPONSIVE
            deployment.gateways[0]._operator_watch.note_hint(StorePosition(1, 10_000))
            await asyncio.sleep(1)
            statuses = [await _status(deployment, key) for key in ("k", "new", "")]
            deployment.store.fault = StoreFault.NONE
            for number in range(10_000):
                deployment.store.put("other", "row", number)
            await _publish(deployment, _accounts(3, a=["k"]))
            await asyncio.sleep(2)
            return [*statuses, await _status(deployment, "new")]

        assert _run(scenario, engines=0, plain=1) == [200, 503, 401, 401]

    def test_a_gateway_that_is_cut_off_alone(self) -> None:
        """Guards against 401 for a new key while agents know of the change that added it."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            daemon, address = deployment.gateways[0], deployment.store.address
            daemon._store.address = Address("127.0.0.1:1")
            daemon._operator_watch.restart()
            await asyncio.sleep(1)
            statuses = [await _status(deployment, "new")]
            await _publish(deployment, _accounts(3, a=["k", "new"]))
            await asyncio.sleep(2)
            statuses += [await _status(deployment, key) for key in ("k", "new")]
            daemon._store.address = address
            await asyncio.sleep(2)
            return [*statuses, await _status(deployment, "new")]

        assert _run(scenario, engines=1, plain=1) == [401, 200, 503, 200]

    def test_unknown_keys_cause_no_call_to_the_store(self) -> None:
        """Guards against a crowd with drawn keys that loads the store."""

        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            counts = []
            for key in ("k", "drawn"):
                before = len(deployment.store.calls)
                for number in range(100):
                    await _call(deployment, key if key == "k" else f"{key}{number}")
                    await asyncio.sleep(0.05)
                counts.append(len(deployment.store.calls) - before)
            return counts[0], counts[1]

        with_known, with_unknown = _run(scenario, engines=0, plain=1)
        # The registry is read on and on; its calls may fall on either side.
        assert with_unknown <= with_known + 2

    def test_a_restart_without_the_store_rejects_no_key(self) -> None:
        """Guards against 401 before a configuration is known."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            deployment.store.fault = StoreFault.REFUSING
            await deployment.restart_vms()
            await asyncio.sleep(0.5)
            statuses = [await _status(deployment, key) for key in ("k", "new")]
            deployment.store.fault = StoreFault.NONE
            await deployment.wait_until_ready(0)
            return statuses + [await _status(deployment, key) for key in ("k", "new")]

        assert _run(scenario, engines=0, plain=1) == [503, 503, 200, 401]

    def test_a_restart_beside_a_peer_without_the_store(self) -> None:
        """Guards against 401 by a peer's rows, which may be older than the key."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            deployment.store.fault = StoreFault.REFUSING
            await deployment.add_gateway(is_first_start=False)
            await deployment.wait_until_ready(0)
            return [await _status(deployment, key, gateway=1) for key in ("k", "new")]

        assert _run(scenario, engines=0, plain=1) == [200, 503]

    def test_a_key_that_a_restored_store_has_lost_stays_valid(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            copy = deployment.store.copy()
            await _publish(deployment, _accounts(3, a=["added"]))
            deployment.store.restore(copy)
            await asyncio.sleep(1)
            return [await _status(deployment, key) for key in ("k", "added")]

        assert _run(scenario, engines=0, plain=1) == [401, 200]


class TestLostStore:
    """Keys while the store does not respond, with and without the setting by which they lapse."""

    @pytest.mark.parametrize("fault", [StoreFault.REFUSING, StoreFault.UNRESPONSIVE])
    @pytest.mark.parametrize(
        ("bounds", "lapsed"), [(LAPSING, 503), (Bounds(), 200)], ids=["lapsing", "staying"]
    )
    def test_keys_lapse_only_where_the_settings_say_so(
        self, bounds: Bounds, lapsed: int, fault: StoreFault
    ) -> None:
        """Guards against removed keys that stay valid, and against refusals of proper ones."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            deployment.store.fault = fault
            await asyncio.sleep(0.5 * MAX_KEY_AGE_S)
            statuses = [await _status(deployment, "k")]
            await asyncio.sleep(0.5 * MAX_KEY_AGE_S)
            statuses.append(await _status(deployment, "k"))
            deployment.store.fault = StoreFault.NONE
            await asyncio.sleep(3)
            return [*statuses, await _status(deployment, "k")]

        assert _run(scenario, bounds, engines=0, plain=1) == [200, lapsed, 200]

    def test_an_unknown_key_is_not_rejected_for_good_once_keys_lapse(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            deployment.store.fault = StoreFault.REFUSING
            statuses = [await _status(deployment, "new")]
            await asyncio.sleep(MAX_KEY_AGE_S)
            return [*statuses, await _status(deployment, "new")]

        assert _run(scenario, LAPSING, engines=0, plain=1) == [401, 503]

    def test_keys_stay_valid_while_nothing_changes(self) -> None:
        """Guards against keys that lapse at a healthy store, as it has nothing to tell."""

        async def scenario(deployment: InProcessDeployment) -> set[int]:
            await _publish(deployment, _accounts(2, a=["k"]))
            statuses = set()
            for _ in range(300):
                await asyncio.sleep(0.1)
                statuses.add(await _status(deployment, "k"))
            return statuses

        assert _run(scenario, LAPSING, engines=0, plain=1) == {200}

    def test_without_accounts_the_store_is_not_called_more_often(self) -> None:
        """Guards against calls that confirm keys where there are none, or none any more."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            counts = []
            for fields in (configuration(2), _accounts(3, a=["k"]), configuration(4)):
                await _publish(deployment, fields)
                before = len(deployment.store.calls)
                await asyncio.sleep(60)
                counts.append(len(deployment.store.calls) - before)
            return counts

        without, with_accounts, removed = _run(scenario, LAPSING, engines=0, plain=1)
        # One call a second confirms keys; the calls of the registry go on in all three.
        assert abs(removed - without) <= 3
        assert with_accounts - without >= 50

    @pytest.mark.parametrize("has_accounts", [False, True])
    def test_what_needs_no_key_is_served(self, has_accounts: bool) -> None:
        """Guards against a setting on keys that acts where there are none."""

        async def scenario(deployment: InProcessDeployment) -> tuple[int, list[bytes | None]]:
            fields = configuration(2)
            if has_accounts:
                fields = _accounts(2, a=["k"])
                fields["routes"][OPEN_ROUTE]["allow_anonymous"] = True
            await _publish(deployment, fields)
            deployment.store.fault = StoreFault.REFUSING
            await asyncio.sleep(2 * MAX_KEY_AGE_S)
            return await _status(deployment, "k"), _accounts_of_runs(deployment)

        assert _run(scenario, LAPSING, engines=0, plain=1) == (200, [None])


@pytest.fixture(name="lines")
def _lines() -> Iterator[list[str]]:
    recorded: list[str] = []

    class RecordingHandler(std_logging.Handler):
        """Records all that is logged."""

        def emit(self, record: std_logging.LogRecord) -> None:
            """Record one line."""
            recorded.append(json.dumps(record.msg, default=str) + record.getMessage())

    recorder, level = RecordingHandler(), logging.get_verbosity()
    logger = logging.get_absl_logger()
    logger.addHandler(recorder)
    logging.set_verbosity(logging.INFO)
    yield recorded
    logger.removeHandler(recorder)
    logging.set_verbosity(level)


class TestCrowdWithoutKeys:
    """Many requests with keys that nobody holds."""

    def test_failures_are_logged_beside_a_crowd(self, lines: list[str]) -> None:
        """Guards against rejections that use up the lines of requests that failed."""

        async def scenario(deployment: InProcessDeployment) -> None:
            await _publish(deployment, _accounts(2, a=["k"]))
            deployment.upstreams["p0"].faults = [Fault.FAIL] * 4
            await asyncio.gather(*(_call(deployment, f"drawn{number}") for number in range(400)))
            await _call(deployment, "k")

        _run(scenario, engines=0, plain=1)
        assert sum("An attempt failed." in line for line in lines) == 2
        assert 0 < sum("was not accepted" in line for line in lines) < 400


class TestSecrecy:
    """Guards against keys that leave a gateway other than as rows of the store."""

    def test_no_key_is_told_to_anyone(self, lines: list[str]) -> None:
        """Valid, odd and unknown keys are sent; all that is logged, counted and sent is searched.

        Left out is what clients send.
        """
        marks = [f"Mark{secrets.token_hex(6)}" for _ in range(7)]
        valid, shared, odd, nested, unknown, repeated, unnamed = marks
        written: list[tuple[str, bytes]] = []
        write = virtual_network._VirtualTransport.write

        def record(transport: Any, data: bytes) -> None:
            written.append((str(transport._extra["peername"]), bytes(data)))
            write(transport, data)

        def configured() -> dict[str, Any]:
            fields = _accounts(2, a=[valid, shared], b=[shared, f"{odd}\n"])
            entries = [{"api_keys": [unnamed]}, {"name": "c", "api_keys": {nested: 1}}, nested]
            fields["tenants"] += entries
            return fields

        async def scenario(deployment: InProcessDeployment) -> tuple[list[int], str]:
            await _publish(deployment, configured())
            answers = [
                await _call(deployment, key, path)
                for path in ("/read/1", "/ask/1")
                for key in (valid, unknown, unnamed, nested, f"{odd}\x01", f"{unknown}, {valid}")
            ]
            await _publish(deployment, {**configured(), "version": 3, "tenants": {nested: [odd]}})
            await asyncio.sleep(1)
            metrics = [
                daemon._metrics.render()[0].decode()
                for daemon in (*deployment.gateways, *deployment.agents.values())
            ]
            statuses = [answer.status for answer in answers]
            return [*statuses, await _send_twice(deployment, repeated)], "".join(metrics)

        with mock.patch.object(virtual_network._VirtualTransport, "write", record):
            statuses, metrics = _run(scenario, engines=1, plain=1)
        assert statuses == [200, 401, 401, 401, 400, 401] * 2 + [401]
        told = [data for peer, data in written if not _is_of_client(peer)]
        told += [metrics.encode(), *(line.encode() for line in lines)]
        for mark in marks:
            assert not [data for data in told if mark.encode() in data]
        assert "account_key_shared" in metrics
        assert "key_rejected_unknown" in metrics


async def _send_twice(deployment: InProcessDeployment, key: str) -> int:
    """Return the status of a request whose key is stated twice."""
    headers = [(b"Host", HOST.encode()), *[(b"Api-Key", key.encode())] * 2]
    address = deployment.client_address(0)
    exchange = await deployment.pool.send(address, Call(b"GET", b"/read/1", headers))
    try:
        return (await exchange.read_head()).status
    finally:
        deployment.pool.release(address, exchange)


def _is_of_client(peer: str) -> bool:
    """Return whether a write is that of a client; rows of the store are encoded in base64."""
    return f"{CLIENT_PORT}" in peer
