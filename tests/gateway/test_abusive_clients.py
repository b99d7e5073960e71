"""Tests of a gateway process beside a crowd of clients that don't keep to the protocol's manners.

Each crowd stays while an ordinary request is sent. Nothing here depends on the machine's speed: the
process lives, its memory and sockets stay under a bound, and the ordinary request is answered.
"""

import asyncio
import collections
import contextlib
import os
import pathlib
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from dragonflyhold.gateway.http_client import ExchangeError
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.standins.processes import (
    call,
    gateway_settings,
    listener,
    running_daemon,
    wait_ready,
)
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import HOST, PLAIN_SERVICE, configuration
from dragonflyhold.platform.standins.store import StoreStandIn

pytestmark = pytest.mark.abuse

IP = "127.0.0.1"
# Limits in the process's settings; part of the descriptors is not for sockets and pipes.
MEMORY_MB = 120
DESCRIPTORS = 500
FILE_DESCRIPTORS = 200
BODY_BYTES = 1_000_000
HEADER_BYTES = 16384
# Clients of each crowd, and the requests that each of them sends ahead.
CROWD = 400
SENT_AHEAD = 1200
# Time after which a client that was turned away comes back.
RETURN_S = 0.2
# Time that a crowd has to do what it does before the ordinary request is sent.
SETTLE_S = 3.0
SAMPLE_S = 0.05
# Requests of the ordinary caller until one is answered; it comes back after a refusal.
ORDINARY_ATTEMPTS = 8
ORDINARY_PATIENCE_S = 5.0

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Client = Callable[[bytes, Streams], Awaitable[None]]
# Targets of the crowds and the listeners that they use.
PLACES = {
    "route": (b"/read/1", "front"),
    "no route": (b"/nowhere/1", "front"),
    "readiness": (b"/readiness", "ready"),
}


def _head(target: bytes, *fields: bytes, method: bytes = b"POST") -> bytes:
    common = (b"Host: " + HOST.encode(), b"Attempt-Id: c1", b"Deadline-Remaining: 5000")
    return b"\r\n".join((method + b" " + target + b" HTTP/1.1", *common, *fields)) + b"\r\n\r\n"


async def _wait_for_end(streams: Streams) -> None:
    """Read until the connection ends."""
    while await streams[0].read(65536):
        pass


async def _send(streams: Streams, data: bytes) -> None:
    streams[1].write(data)
    await streams[1].drain()


async def body_in_one_piece(target: bytes, streams: Streams) -> None:
    """Send a body of legal size but for its last byte."""
    await _send(streams, _head(target, b"Content-Length: %d" % BODY_BYTES))
    await _send(streams, bytes(BODY_BYTES - 1))
    await _wait_for_end(streams)


async def body_in_small_pieces(target: bytes, streams: Streams) -> None:
    """Send the same in many writes."""
    await _send(streams, _head(target, b"Content-Length: %d" % BODY_BYTES))
    for _ in range(BODY_BYTES // 4096):
        await _send(streams, bytes(4096))
    await _wait_for_end(streams)


async def body_in_chunks(target: bytes, streams: Streams) -> None:
    """Send a body of legal size in chunks but for the last one."""
    await _send(streams, _head(target, b"Transfer-Encoding: chunked"))
    for _ in range(BODY_BYTES // 4096):
        await _send(streams, b"1000\r\n" + bytes(4096) + b"\r\n")
    await _wait_for_end(streams)


async def body_over_the_limit(target: bytes, streams: Streams) -> None:
    """Send a body far over the limit, in chunks that don't tell its length."""
    await _send(streams, _head(target, b"Transfer-Encoding: chunked"))
    for _ in range(50 * BODY_BYTES // 65536):
        await _send(streams, b"10000\r\n" + bytes(65536) + b"\r\n")
    await _wait_for_end(streams)


async def many_fields(target: bytes, streams: Streams) -> None:
    """Send heads of legal size with very many fields, all but the last of them whole."""
    fields = [b"%x:1" % number for number in range(1200)]
    head = _head(target, *fields, method=b"GET")
    await _send(streams, 8 * head + head[:-2])
    await _wait_for_end(streams)


async def requests_sent_ahead(target: bytes, streams: Streams) -> None:
    """Send many requests without reading the responses."""
    streams[1].transport.pause_reading()  # type: ignore[attr-defined]
    await _send(streams, SENT_AHEAD * _head(target, method=b"GET"))
    while not streams[1].is_closing():
        await asyncio.sleep(RETURN_S)
        streams[1].write(b"\r\n")


async def slow_sender(target: bytes, streams: Streams) -> None:
    """Send a head byte by byte."""
    for byte in _head(target):
        await _send(streams, bytes((byte,)))
        await asyncio.sleep(0.5)


async def half_a_request(target: bytes, streams: Streams) -> None:
    """Stop in the middle of a head."""
    await _send(streams, _head(target)[:40])
    await _wait_for_end(streams)


async def slow_reader(target: bytes, streams: Streams) -> None:
    """Read the response to a whole request byte by byte."""
    await _send(streams, _head(target, method=b"GET"))
    while await streams[0].read(1):
        await asyncio.sleep(0.5)


async def silent(target: bytes, streams: Streams) -> None:
    """Send nothing at all."""
    del target
    await _wait_for_end(streams)


CROWDS = (
    body_in_one_piece,
    body_in_small_pieces,
    body_in_chunks,
    body_over_the_limit,
    many_fields,
    requests_sent_ahead,
    slow_sender,
    half_a_request,
    slow_reader,
    silent,
)


async def _stay(address: Address, target: bytes, client: Client) -> None:
    """Be a client of the crowd that comes back whenever its connection ends."""
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError):
            streams = await asyncio.open_connection(host, int(port), limit=1024)
            try:
                await client(target, streams)
            finally:
                streams[1].transport.abort()
        await asyncio.sleep(RETURN_S)


def _configuration() -> dict[str, Any]:
    fields = configuration(timeout_ms=5000)
    fields["limits"] = {"header_bytes": HEADER_BYTES, "body_bytes": BODY_BYTES}
    return fields


class Usage:
    """The largest memory and number of sockets of a process that were seen."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.sockets = 0
        self._process = process

    @property
    def memory_mb(self) -> float:
        """Return the largest resident set of the process so far, in MB."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert match is not None
        return int(match[1]) * 1024 / 1e6

    async def sample(self) -> None:
        """Count the sockets and pipes of the process until cancelled."""
        folder = f"/proc/{self._process.pid}/fd"
        while True:
            kinds: collections.Counter[str] = collections.Counter()
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    kinds[os.readlink(f"{folder}/{name}").partition(":")[0]] += 1
            self.sockets = max(self.sockets, kinds["socket"] + kinds["pipe"])
            await asyncio.sleep(SAMPLE_S)


@contextlib.asynccontextmanager
async def _running_gateway(
    path: pathlib.Path,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, dict[str, Any]]]:
    store, upstream = StoreStandIn(), UpstreamStandIn(IP, "p0", PLAIN_SERVICE)
    await store.start()
    await upstream.start()
    store.put("op", "config", _configuration())
    store.put("servers", "p0", upstream.entry())
    limits = {"memory_mb": MEMORY_MB, "file_descriptors": DESCRIPTORS}
    settings = {**gateway_settings(IP, store.address), "limits": limits}
    try:
        async with running_daemon(path, settings) as process:
            log = asyncio.create_task(_discard(process))
            await wait_ready(listener(settings, "ready"))
            yield process, settings
            log.cancel()
    finally:
        store.close()
        upstream.close()


async def _discard(process: asyncio.subprocess.Process) -> None:
    assert process.stdout is not None
    while await process.stdout.read(65536):
        pass


async def _ordinary_statuses(address: Address, target: str) -> list[int | str]:
    """Send an ordinary request until one is answered; return what came back."""
    statuses: list[int | str] = []
    for _ in range(ORDINARY_ATTEMPTS):
        try:
            async with asyncio.timeout(ORDINARY_PATIENCE_S):
                statuses.append((await call(address, target))[0])
        except (ExchangeError, OSError, TimeoutError) as error:
            statuses.append(type(error).__name__)
        if statuses[-1] == 200:
            break
        await asyncio.sleep(RETURN_S)
    return statuses


class TestCrowds:
    """Guards against clients that end the process or keep it from serving others."""

    @pytest.mark.parametrize("client", CROWDS, ids=lambda client: client.__name__)
    @pytest.mark.parametrize("place", PLACES)
    def test_the_process_serves_on(
        self, place: str, client: Client, tmp_path: pathlib.Path
    ) -> None:
        async def scenario() -> dict[str, object]:
            async with _running_gateway(tmp_path / "local.json") as (process, settings):
                usage, (target, name) = Usage(process), PLACES[place]
                sampler = asyncio.create_task(usage.sample())
                address = listener(settings, name)
                crowd = [asyncio.create_task(_stay(address, target, client)) for _ in range(CROWD)]
                await asyncio.sleep(SETTLE_S)
                beside = await _ordinary_statuses(listener(settings, "front"), "/read/7")
                ready = await _ordinary_statuses(listener(settings, "ready"), "/readiness")
                for task in crowd:
                    task.cancel()
                await asyncio.gather(*crowd, return_exceptions=True)
                after = await _ordinary_statuses(listener(settings, "front"), "/read/8")
                sampler.cancel()
                return {
                    "beside": beside,
                    "ready": ready,
                    "after": after,
                    "sockets": usage.sockets,
                    "memory_mb": usage.memory_mb,
                    "exit": process.returncode,
                }

        found = asyncio.run(scenario())
        print(place, client.__name__, found)
        assert found["exit"] is None
        assert found["memory_mb"] < MEMORY_MB
        assert found["sockets"] <= DESCRIPTORS - FILE_DESCRIPTORS
        for caller in ("beside", "ready", "after"):
            assert found[caller][-1] == 200, caller  # type: ignore[index]


class TestCalm:
    """Guards against limits that a client meets which keeps to those of the configuration."""

    @pytest.mark.parametrize(
        "request_bytes",
        [
            _head(b"/read/1", *[b"%x:" % number for number in range(2400)], method=b"GET"),
            _head(b"/book/1", b"Content-Length: %d" % BODY_BYTES) + bytes(BODY_BYTES),
            _head(b"/book/1", b"Transfer-Encoding: chunked")
            + 50_000 * b"1\r\nx\r\n"
            + b"0\r\n\r\n",
        ],
        ids=["many fields", "large body", "small chunks"],
    )
    def test_a_single_request_is_served(self, request_bytes: bytes, tmp_path: pathlib.Path) -> None:
        async def scenario() -> bytes:
            async with _running_gateway(tmp_path / "local.json") as (_, settings):
                host, _, port = listener(settings, "front").rpartition(":")
                streams = await asyncio.open_connection(host, int(port))
                await _send(streams, request_bytes)
                status = await streams[0].readline()
                streams[1].close()
                return status

        assert len(request_bytes.partition(b"\r\n\r\n")[0]) < HEADER_BYTES
        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")
