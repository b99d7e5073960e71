"""Starts daemons as processes with a settings file, and calls them."""

import asyncio
import contextlib
import json
import os
import pathlib
import socket
import sys
from collections.abc import AsyncIterator

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.settings import PATH_VARIABLE
from dragonflyhold.platform.standins.site import HOST


def free_port(ip: str) -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


async def call(
    address: Address, target: str, method: str = "GET", extra: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """Send a request as a client does; return status and body."""
    fields = {"Host": HOST, "Attempt-Id": "t1", "Deadline-Remaining": "5000", **(extra or {})}
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    pool = ConnectionPool()
    exchange = await pool.send(address, Call(method.encode(), target.encode(), headers, b""))
    try:
        head = await exchange.read_head()
        return head.status, await exchange.read_body()
    finally:
        pool.give_back(address, exchange)
        pool.forget(address)


async def wait_ready(address: Address) -> None:
    """Wait until a gateway says that it is ready."""
    async with asyncio.timeout(20):
        while True:
            try:
                if (await call(address, "/readiness"))[0] == 200:
                    return
            except ExchangeError:
                # Not listening yet.
                pass
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def running_daemon(
    path: pathlib.Path, fields: dict[str, object]
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a daemon with these settings; kill it if it still runs at the end."""
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
