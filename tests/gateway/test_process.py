"""Tests of the daemon as a process: its settings file, signals and graceful stop."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.settings import PATH_VARIABLE
from tests.gateway.site import HOST, configuration
from tests.platform.runner_stand_in import RunnerStandIn
from tests.platform.store_stand_in import StoreStandIn

IP = "127.0.0.1"


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((IP, 0))
        return int(sock.getsockname()[1])


async def _call(address: Address, target: str, method: str = "GET") -> tuple[int, bytes]:
    headers = [
        (b"Host", HOST.encode()),
        (b"Attempt-Id", b"t1"),
        (b"Deadline-Remaining", b"5000"),
    ]
    pool = ConnectionPool()
    exchange = await pool.send(address, Call(method.encode(), target.encode(), headers, b""))
    try:
        head = await exchange.read_head()
        return head.status, await exchange.read_body()
    finally:
        pool.give_back(address, exchange)
        pool.forget(address)


async def _wait_ready(address: Address) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                if (await _call(address, "/readiness"))[0] == 200:
                    return
            except ExchangeError:
                # Not listening yet.
                pass
            await asyncio.sleep(0.05)


class TestGatewayProcess:
    """Gateway process."""

    def test_it_serves_reloads_and_stops_gracefully(self, tmp_path: pathlib.Path) -> None:
        """A stop takes the daemon out of rotation, ends open requests, then ends the process."""

        async def play() -> tuple[int, bytes, int, int, str]:
            store = StoreStandIn()
            runner = RunnerStandIn("127.0.0.250", "p0", "desk")
            await store.start()
            await runner.start()
            store.put("op", "config", configuration())
            store.put("servers", "p0", runner.entry())
            front, ready = f"{IP}:{_free_port()}", f"{IP}:{_free_port()}"
            fields = {
                "node_name": "front-1",
                "ip": IP,
                "zone": "dc-a",
                "listen_addresses": {"front": front, "ready": ready},
                "internal_port_range": [7380, 7395],
                "bounds": {"grace_s": 8},
                "platform": {"address": store.address},
            }
            path = tmp_path / "local.json"
            path.write_text(json.dumps(fields))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dragonflyhold.gateway",
                env={**os.environ, PATH_VARIABLE: str(path)},
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                await _wait_ready(Address(ready))
                status, body = await _call(Address(front), "/book/1", "POST")
                path.write_text(json.dumps({**fields, "bounds": {"grace_s": 9}}))
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.3)
                stopping, _ = await _call(Address(ready), "/readiness")
                assert (await _call(Address(front), "/book/1", "POST"))[0] == 200
                assert process.stdout is not None
                logs = (await process.stdout.read()).decode()
                return status, body, stopping, await process.wait(), logs
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                store.close()
                runner.close()

        status, body, stopping, code, logs = asyncio.run(play())
        assert (status, body) == (200, b"answer to /book/1")
        assert stopping == 503
        assert code == 0
        events = [json.loads(line)["event"] for line in logs.splitlines()]
        for event in ("Started.", "The settings were read.", "Stopping.", "Stopped."):
            assert event in events
        assert "A request ended." in events
