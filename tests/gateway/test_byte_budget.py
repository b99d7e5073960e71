"""Tests of what a process keeps for all its peers together, while many of them are in trouble."""

import asyncio
import collections
import pathlib
import re
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Sequence
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
# Of a request or a response, as large as the configuration allows.
BODY_BYTES = 4_000_000
FAULTY_UPSTREAMS = 10
FAULTY_REQUESTS = 60

HEADS = {
    "success": b"200 OK\r\nResponse-Signature: sig.{upstream}\r\nContent-Length: 99999999",
    "success without length": b"200 OK\r\nResponse-Signature: sig.{upstream}",
    "success without signature": b"200 OK\r\nContent-Length: 99999999",
    "failure": b"500 Failed\r\nResponse-Signature: sig.{upstream}\r\nContent-Length: 99999999",
}
LARGE_ANSWER = b"200 OK\r\nResponse-Signature: sig.{upstream}\r\nContent-Length: %d" % BODY_BYTES


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
    fields["limits"] = {"header_bytes": 16384, "body_bytes": BODY_BYTES}
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


async def _send_head(
    head: bytes, upstream: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    request = await reader.readuntil(b"\r\n\r\n")
    match = re.search(rb"(?i)attempt-id: (\S+)", request)
    assert match is not None
    named = head.replace(b"{upstream}", upstream.encode())
    writer.write(b"HTTP/1.1 %s\r\nAttempt-Id: %s\r\n\r\n" % (named, match[1]))


async def _send_answers(
    head: bytes, upstream: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send large answers, or one without end for a head that states a length beyond that."""
    try:
        while head == LARGE_ANSWER:
            await _send_head(head, upstream, reader, writer)
            writer.write(bytes(BODY_BYTES))
            await writer.drain()
        await _send_head(head, upstream, reader, writer)
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
    return lambda reader, writer: _send_answers(head, upstream, reader, writer)


async def _read_log(process: asyncio.subprocess.Process) -> None:
    assert process.stdout is not None
    while await process.stdout.read(65536):
        pass


async def _run_beside_sound_requests(
    address: Address, scenario: Sequence[Coroutine[None, None, int | str]]
) -> tuple[list[int | str], list[int | str]]:
    """Return the results of a scenario, and of the sound requests that are sent meanwhile."""
    sound: list[int | str] = []
    results = asyncio.gather(*scenario)
    while not results.done():
        sound.append(await _request(address, "/note/1", f"sound{len(sound)}"))
        await asyncio.sleep(0.02)
    return await results, sound


class TestEndlessAnswers:
    """Upstreams that answer many requests at once with bodies that never end."""

    @pytest.mark.parametrize("kind", HEADS)
    def test_the_process_stays_within_its_memory(self, kind: str, tmp_path: pathlib.Path) -> None:
        """Guards against a gateway that is killed, with the requests of all other clients."""

        async def scenario() -> tuple[float, list[int | str], list[int | str]]:
            async with _running_gateway(tmp_path / "local.json", HEADS[kind]) as running:
                process, address = running
                requests = [
                    _request(address, "/book/1", f"faulty{number}")
                    for number in range(FAULTY_REQUESTS)
                ]
                faulty, sound = await _run_beside_sound_requests(address, requests)
                return _peak_mb(process), faulty, sound

        peak_mb, faulty, sound = asyncio.run(scenario())
        assert collections.Counter(faulty) == {502: FAULTY_REQUESTS}, "not a whole answer in doubt"
        assert set(sound) == {200}
        assert len(sound) > 10
        assert peak_mb < MEMORY_MB


def _head(method: str, request_id: str, framing: str) -> bytes:
    fields = f"Host: {HOST}\r\nAttempt-Id: {request_id}\r\nDeadline-Remaining: 9000\r\n{framing}"
    return f"{method} /read/1 HTTP/1.1\r\n{fields}\r\n".encode()


def _incomplete_body(number: int) -> list[bytes]:
    head = _head("POST", f"faulty{number}", f"Content-Length: {BODY_BYTES}\r\n")
    return [head, *[FILLER] * (BODY_BYTES // len(FILLER))]


def _tiny_chunks(number: int) -> list[bytes]:
    head = _head("POST", f"faulty{number}", "Transfer-Encoding: chunked\r\n")
    return [head, *[b"1\r\nx\r\n" * 10_000] * 150]


def _many_headers(number: int) -> list[bytes]:
    return [_head("GET", f"faulty{number}", "aa:bb\r\n" * 2000)[:-2]]


class TestEndlessRequests:
    """Clients that send requests which never end, as far as the limits for one allow."""

    @pytest.mark.parametrize(
        ("request_of", "clients"),
        [(_incomplete_body, 100), (_tiny_chunks, 20), (_many_headers, 700)],
        ids=["body", "chunks of one byte", "headers"],
    )
    def test_the_process_stays_within_its_memory(
        self, request_of: Callable[[int], list[bytes]], clients: int, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a gateway that is killed, and against clients that get no answer."""

        async def send(address: Address, number: int) -> int | str:
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            answer = asyncio.create_task(reader.readuntil(b"\r\n"))
            try:
                for part in request_of(number):
                    writer.write(part)
                    drained = asyncio.create_task(writer.drain())
                    await asyncio.wait([answer, drained], return_when=asyncio.FIRST_COMPLETED)
                    if answer.done():
                        drained.cancel()
                        break
                    await asyncio.sleep(0.01)
                return int((await answer).split()[1])
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                return type(error).__name__
            finally:
                writer.transport.abort()

        async def scenario() -> tuple[float, list[int | str], list[int | str]]:
            async with _running_gateway(tmp_path / "local.json", LARGE_ANSWER) as running:
                process, address = running
                requests = [send(address, number) for number in range(clients)]
                faulty, sound = await _run_beside_sound_requests(address, requests)
                return _peak_mb(process), faulty, sound

        peak_mb, faulty, sound = asyncio.run(scenario())
        assert set(faulty) <= {408, 503}, "no whole answer"
        assert set(sound) == {200}
        assert peak_mb < MEMORY_MB

    def test_large_requests_that_follow_each_other_stay_within_the_memory(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against whole requests that pile up behind the one in progress."""

        async def send(address: Address, number: int) -> int | str:
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            try:
                async with asyncio.timeout(2.0):
                    for turn in range(9):
                        framing = f"Content-Length: {BODY_BYTES}\r\n"
                        writer.write(_head("POST", f"faulty{number}.{turn}", framing))
                        writer.write(bytes(BODY_BYTES))
                        await writer.drain()
            except (ConnectionError, TimeoutError) as error:
                return type(error).__name__
            finally:
                writer.transport.abort()
            return ""

        async def scenario() -> tuple[float, list[int | str]]:
            async with _running_gateway(tmp_path / "local.json", LARGE_ANSWER) as running:
                process, address = running
                requests = [send(address, number) for number in range(20)]
                _, sound = await _run_beside_sound_requests(address, requests)
                return _peak_mb(process), sound

        peak_mb, sound = asyncio.run(scenario())
        assert set(sound) == {200}
        assert peak_mb < MEMORY_MB


class TestUnreadAnswers:
    """Clients that do not read the answers to their requests."""

    def test_the_process_stays_within_its_memory(self, tmp_path: pathlib.Path) -> None:
        """Guards against answers that pile up behind one that its client does not read."""

        async def send(address: Address, number: int) -> int | str:
            host, _, port = address.rpartition(":")
            # Not all answers are read from their upstreams at the same time.
            await asyncio.sleep(0.05 * number)
            _, writer = await asyncio.open_connection(host, int(port), limit=1000)
            for turn in range(20):
                writer.write(_head("GET", f"faulty{number}.{turn}", ""))
            await asyncio.sleep(2.0)
            writer.transport.abort()
            return ""

        async def scenario() -> tuple[float, list[int | str]]:
            async with _running_gateway(tmp_path / "local.json", LARGE_ANSWER) as running:
                process, address = running
                requests = [send(address, number) for number in range(20)]
                _, sound = await _run_beside_sound_requests(address, requests)
                return _peak_mb(process), sound

        peak_mb, sound = asyncio.run(scenario())
        assert set(sound) == {200}
        assert peak_mb < MEMORY_MB
