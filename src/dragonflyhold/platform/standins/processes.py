"""Runs daemons as processes with a settings file, and sends requests to them."""

import asyncio
import contextlib
import json
import os
import pathlib
import sys
from collections.abc import AsyncIterator
from typing import Any

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.settings import PATH_VARIABLE
from dragonflyhold.platform.standins.site import ENGINE_SERVICE, HOST
from dragonflyhold.standins.ports import free_port


async def call(
    address: Address, target: str, method: str = "GET", extra: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """Send a request as a client; return the status and the body."""
    fields = {"Host": HOST, "Attempt-Id": "t1", "Deadline-Remaining": "5000", **(extra or {})}
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    pool = ConnectionPool()
    exchange = await pool.send(address, Call(method.encode(), target.encode(), headers, b""))
    try:
        head = await exchange.read_head()
        return head.status, await exchange.read_body()
    finally:
        pool.release(address, exchange)
        pool.close_idle(address)


async def wait_ready(address: Address) -> None:
    """Wait until a gateway's readiness check succeeds."""
    async with asyncio.timeout(20):
        while True:
            try:
                if (await call(address, "/readiness"))[0] == 200:
                    return
            except ExchangeError:
                # Not listening yet.
                pass
            await asyncio.sleep(0.05)


async def stream(address: Address, adapter: str, wait_s: float = 0.0) -> tuple[int, list[int]]:
    """Request a stream from an adapter; return the status and the ids of its events.

    Retries a refused request for up to ``wait_s``, since a starting agent can't load adapters yet.
    """
    until = asyncio.get_running_loop().time() + wait_s
    while True:
        fields = {"Model": f"base/{adapter}", "Prompt-Prefix": "aa:9"}
        status, body = await call(address, "/ask/1", "POST", fields)
        if status != 503 or asyncio.get_running_loop().time() >= until:
            lines = body.split(b"\n")
            return status, [int(line[3:]) for line in lines if line.startswith(b"id:")]
        await asyncio.sleep(0.2)


def gateway_settings(ip: str, store: Address, grace_s: float = 8.0) -> dict[str, Any]:
    """Return the settings of a gateway, with free ports for its listeners."""
    listeners = {name: f"{ip}:{free_port(ip)}" for name in ("front", "ready")}
    fields = _settings(ip, store)
    return {**fields, "listen_addresses": listeners, "bounds": {"grace_s": grace_s}}


def agent_settings(ip: str, store: Address, engine: Address) -> dict[str, Any]:
    """Return the settings of an engine's agent."""
    return {**_settings(ip, store), "app": engine, "service": ENGINE_SERVICE}


def listener(settings: dict[str, Any], name: str) -> Address:
    """Return the address of the gateway's listener ``front`` or ``ready``."""
    return Address(settings["listen_addresses"][name])


def _settings(ip: str, store: Address) -> dict[str, Any]:
    return {
        "node_name": f"vm-{ip}",
        "ip": ip,
        "zone": "dc-a",
        "listen_addresses": {},
        # The range is the same for all gateways and agents; agents listen on its first port.
        "internal_port_range": [7380, 7395],
        "bounds": {},
        "platform": {"address": store},
    }


@contextlib.asynccontextmanager
async def running_daemon(
    path: pathlib.Path, fields: dict[str, Any]
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a daemon with these settings; kill it on exit if it is still running."""
    path.write_text(json.dumps(fields))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "dragonflyhold.gateway",
        env={**os.environ, PATH_VARIABLE: str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
