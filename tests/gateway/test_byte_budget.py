"""Tests of what a process keeps for all its peers together, while many of them are in trouble."""

import asyncio
import collections
import pathlib
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from dragonflyhold.gateway.byte_budget import ByteAccount, ByteBudget
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.standins.processes import (
    gateway_settings,
    listener,
    running_daemon,
    wait_ready,
)
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import HOST, PLAIN_SERVICE, configuration
from dragonflyhold.platform.standins.store import StoreStandIn

IP = "127.0.0.1"
# Of a small process, as its settings state it.
MEMORY_MB = 200
SOUND_SERVICE = "office"
FILLER = b"x" * 65536
FAULTY_UPSTREAMS = 10
FAULTY_REQUESTS = 60

HEADS = {
    "success": b"200 OK\r\nResponse-Signature: sig.{upstream}\r\nContent-Length: 99999999",
    "success without length": b"200 OK\r\nResponse-Signature: sig.{upstream}",
    "success without signature": b"200 OK\r\nContent-Length: 99999999",
    "failure": b"500 Failed\r\nResponse-Signature: sig.{upstream}\r\nContent-Length: 99999999",
}


class TestByteBudget:
    """Guards against small items that end because of large ones."""

    def test_the_largest_item_is_broken_off(self) -> None:
        broken: list[str] = []
        exceeded: list[int] = []
        budget = ByteBudget(4000, lambda: exceeded.append(1))
        accounts = {
            name: budget.open_account(lambda name=name: broken.append(name))  # type: ignore[misc]
            for name in "abc"
        }
        accounts["a"].set(400)
        accounts["b"].set(500)
        accounts["c"].add(100)
        assert not broken
        accounts["c"].add(1)
        assert broken == ["b"]
        assert budget.kept_bytes == 501
        accounts["a"].set(0)
        accounts["c"].add(1001)
        assert broken == ["b", "c"]
        assert budget.kept_bytes == 0
        assert len(exceeded) == 2

    def test_items_that_stay_make_others_give_way(self) -> None:
        broken: list[ByteAccount] = []
        budget = ByteBudget(4000)
        staying = budget.open_account()
        small = budget.open_account(lambda: broken.append(small))
        staying.set(999)
        small.set(2)
        assert broken == [small]
        staying.set(1500)
        assert budget.kept_bytes == 1500


def _configuration() -> dict[str, Any]:
    fields = configuration(timeout_ms=10_000)
    book = next(route for route in fields["routes"] if route["name"] == "book")
    fields["routes"].append({**book, "name": "note", "prefix": "/note/", "service": SOUND_SERVICE})
    plain = next(service for service in fields["services"] if service["name"] == PLAIN_SERVICE)
    fields["services"].append({**plain, "name": SOUND_SERVICE})
    return fields


def _peak_mb(process: asyncio.subprocess.Process) -> float:
    """Return the largest resident set of a process so far, in MB."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert match is not None
    return int(match[1]) * 1024 / 1e6


async def _request(address: Address, path: str, request_id: str) -> int | str:
    """Return the status of a whole response, or how its exchange failed."""
    fields = {"Host": HOST, "Attempt-Id": request_id, "Deadline-Remaining": "10000"}
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    pool = ConnectionPool()
    exchange = await pool.send(address, Call(b"POST", path.encode(), headers))
    try:
        head = await exchange.read_head()
        await exchange.read_body()
        return head.status
    except ExchangeError as error:
        return str(error)
    finally:
        pool.release(address, exchange)
        pool.close_idle(address)


async def _send_without_end(
    head: bytes, upstream: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        request = await reader.readuntil(b"\r\n\r\n")
        match = re.search(rb"(?i)attempt-id: (\S+)", request)
        assert match is not None
        named = head.replace(b"{upstream}", upstream.encode())
        writer.write(b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\n\r\n" % (named, match[1]))
        while True:
            writer.write(FILLER)
            await writer.drain()
            # All answers grow at the same rate.
            await asyncio.sleep(0.02)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.transport.abort()


@asynccontextmanager
async def _running_gateway(
    path: pathlib.Path, head: bytes
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Address]]:
    """Run a gateway process beside a sound upstream and faulty ones; yield its client address."""
    store, sound = StoreStandIn(), UpstreamStandIn(IP, "s0", SOUND_SERVICE)
    await store.start()
    await sound.start()
    store.put("op", "config", _configuration())
    store.put("servers", "s0", sound.entry())
    servers = []
    for name in (f"p{number}" for number in range(FAULTY_UPSTREAMS)):
        serve = _bind(head, name)
        servers.append(await asyncio.start_server(serve, IP, 0))
        port = servers[-1].sockets[0].getsockname()[1]
        entry = {**sound.entry(), "service": PLAIN_SERVICE, "address": f"{IP}:{port}"}
        store.put("servers", name, entry)
    settings = {**gateway_settings(IP, store.address), "limits": {"memory_mb": MEMORY_MB}}
    try:
        async with running_daemon(path, settings) as process:
            log = asyncio.create_task(_read_log(process))
            await wait_ready(listener(settings, "ready"))
            yield process, listener(settings, "front")
            log.cancel()
    finally:
        store.close()
        sound.close()
        for server in servers:
            server.close()


def _bind(
    head: bytes, upstream: str
) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
    return lambda reader, writer: _send_without_end(head, upstream, reader, writer)


async def _read_log(process: asyncio.subprocess.Process) -> None:
    assert process.stdout is not None
    while await process.stdout.read(65536):
        pass


class TestEndlessAnswers:
    """Upstreams that answer many requests at once with bodies that never end."""

    @pytest.mark.parametrize("kind", HEADS)
    def test_the_process_stays_within_its_memory(self, kind: str, tmp_path: pathlib.Path) -> None:
        """Guards against a gateway that is killed, with the requests of all other clients."""

        async def scenario() -> tuple[float, list[int | str], list[int | str]]:
            async with _running_gateway(tmp_path / "local.json", HEADS[kind]) as running:
                process, address = running
                sound: list[int | str] = []
                faulty = asyncio.gather(
                    *(
                        _request(address, "/book/1", f"faulty{number}")
                        for number in range(FAULTY_REQUESTS)
                    )
                )
                while not faulty.done():
                    sound.append(await _request(address, "/note/1", f"sound{len(sound)}"))
                    await asyncio.sleep(0.02)
                return _peak_mb(process), await faulty, sound

        peak_mb, faulty, sound = asyncio.run(scenario())
        assert collections.Counter(faulty) == {502: FAULTY_REQUESTS}, "not a whole answer in doubt"
        assert set(sound) == {200}
        assert len(sound) > 10
        assert peak_mb < MEMORY_MB
