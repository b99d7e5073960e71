"""Small stand-ins for the cases 6 to 10: store, plain runners, a client, and daemons as processes.

They speak what the users' PROTOCOL.md says, on loopback addresses and the real clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shlex
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "site.example"
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "configuration_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 56,
    "version_ms": 5000,
}

Headers = dict[str, str]


def is_troubled() -> bool:
    """Return whether to play the disturbance."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip: str) -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class Record:
    """What was sent, answered and run, written to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Return the first line, the headers and the body of a message with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])
    }
    if fields.get("transfer-encoding") != "chunked":
        return head[0], fields, await reader.readexactly(int(fields.get("content-length") or 0))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return head[0], fields, body


def encode_answer(status: int, fields: Headers, body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """Listens on one address and answers one request at a time on each connection."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def end(self) -> None:
        """Close the listener and all connections, as a process does that ends."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(self, line: str, fields: Headers, body: bytes) -> bytes:
        """Return the answer to a request."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                writer.write(await self.answer(*await read_message(reader)))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            # The peer has closed the connection, or the case is over.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self) -> None:
        super().__init__("127.0.0.1")
        self._version = 0
        self._tables: dict[str, dict[str, tuple[int, str | None]]] = {}
        self._changed = asyncio.Event()

    def write(self, table: str, key: str, value: object) -> None:
        """Write a row; ``None`` removes it."""
        text = None
        if value is not None:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            text = base64.b64encode(data).decode()
        self._put(table, key, text)

    def _put(self, table: str, key: str, value: str | None) -> None:
        self._version += 1
        self._tables.setdefault(table, {})[key] = (self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, line: str, fields: Headers, body: bytes) -> bytes:
        """Answer a call."""
        path, _, query = line.split(" ")[1].partition("?")
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        result: dict[str, Any] = {}
        if path == "/rows-get":
            rows = self._rows(arguments["table"], lambda version, value: value is not None)
            rows = [row for row in rows if row["key"] >= arguments.get("from", "")]
            if "to" in arguments:
                rows = [row for row in rows if row["key"] < arguments["to"]]
            rows.sort(key=lambda row: row["key"])
            result = {"rows": rows, "more_pages": False}
        elif path == "/rows-feed":
            result = {"rows": await self._await_changes(arguments)}
        elif path == "/rows-tx":
            call = json.loads(body)
            for row in call["writes"]:
                self._put(row["table"], row["key"], row["value"])
            for row in call["remove"]:
                self._put(row["table"], row["key"], None)
        else:
            return encode_answer(404, {})
        result |= {"row_version": self._version, "now_ms": int(time.monotonic() * 1000)}
        return encode_answer(200, {"Content-Type": "application/json"}, json.dumps(result).encode())

    async def _await_changes(self, arguments: dict[str, str]) -> list[dict[str, Any]]:
        after = int(arguments["after"])

        def find() -> list[dict[str, Any]]:
            return self._rows(arguments["table"], lambda version, value: version > after)

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(arguments["wait_ms"]) / 1000):
                while not find():
                    await self._changed.wait()
        return find()

    def _rows(self, table: str, accepts: Callable[[int, str | None], bool]) -> list[dict[str, Any]]:
        rows: list[dict[str, Any]] = []
        for key, (version, value) in self._tables.get(table, {}).items():
            if accepts(version, value):
                row: dict[str, Any] = {
                    "table": table,
                    "part": "",
                    "key": key,
                    "row_version": version,
                }
                rows.append(row | ({"removed": True} if value is None else {"value": value}))
        return sorted(rows, key=lambda row: row["row_version"])


class Runner(Server):
    """A runner of a plain service; ``runs`` holds the time and id of each request that it ran."""

    def __init__(self, ip: str, name: str, service: str, record: Record, work_s: float) -> None:
        super().__init__(ip)
        self.runs: list[tuple[float, str]] = []
        self._service = service
        self._record = record
        self._work_s = work_s
        self.begin_life(name)

    def begin_life(self, name: str) -> None:
        """Take a new id and time of start."""
        self.name = name
        self._born = int(time.time() * 1000)

    def note_run(self, line: str, fields: Headers) -> None:
        """Note that a request begins to run."""
        attempt = fields.get("attempt-id", "")
        self.runs.append((time.monotonic(), attempt))
        self._record.note(f"{self.name} ({self._service}) runs {attempt}: {line}")

    def entry(self) -> dict[str, object]:
        """Return the runner's entry in the store."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self._born,
        }

    async def answer(self, line: str, fields: Headers, body: bytes) -> bytes:
        """Run a request, or answer the status check."""
        if line.split(" ")[1] == "/health":
            return encode_answer(200, {"Instance-Id": self.name})
        attempt = fields.get("attempt-id", "")
        if fields.get("expected-instance", self.name) != self.name:
            return encode_answer(421, {"Attempt-Id": attempt, "Instance-Id": self.name})
        self.note_run(line, fields)
        await asyncio.sleep(self._work_s)
        signature = {"Attempt-Id": attempt, "Response-Signature": f"{self.name}.{attempt}"}
        return encode_answer(200, signature, f"{self.name} {attempt}".encode())


class Link:
    """A path to a server that can be cut: bytes are held up and reach the other end later."""

    def __init__(self, ip: str, target: str) -> None:
        self.address = ""
        self._ip = ip
        self._target = target
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def cut(self) -> None:
        """Hold up all bytes."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Let the bytes pass again."""
        self._is_whole.set()

    def end(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            await self._is_whole.wait()
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.CancelledError):
            writer.close()
            return
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.get_running_loop().create_task(self._pass_on(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass_on(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                await self._is_whole.wait()
                sink.write(data)
                await sink.drain()
        await self._is_whole.wait()
        sink.close()


async def send(
    address: str, attempt: str, method: str, path: str, limit_ms: int, body: bytes = b""
) -> str:
    """Send a request on a new channel; return its status, or how the channel ended."""
    host, _, port = address.rpartition(":")
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Remaining: {limit_ms}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    try:
        async with asyncio.timeout(limit_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                line, _, _ = await read_message(reader)
                return line.split(" ")[1]
            finally:
                writer.close()
    except TimeoutError:
        return "no answer"
    except (OSError, asyncio.IncompleteReadError):
        return "closed"


def gateway_command() -> list[str]:
    """Return the command of the deploy file for the role that serves clients."""
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]
    command = next(role["run"] for role in roles.values() if "front" in role["serves"])
    return shlex.split(command)


@contextlib.asynccontextmanager
async def running_gateway(ip: str, store: str) -> AsyncIterator[str]:
    """Run a gateway as a process; yield its address for clients once it is ready."""
    names = ("front", "ready", "control")
    listeners = {name: f"{ip}:{free_port(ip)}" for name in names}
    settings = {
        "node_name": f"front-{ip}",
        "role": "gateway",
        "machine_class": "front",
        "serves": ["front", "control"],
        "ip": ip,
        "zone": "zone-a",
        "region": "region",
        "zones": {"zone-a": "region"},
        "listen_addresses": listeners,
        "internal_port_range": [7380, 7395],
        "seeds": [listeners["control"]],
        "bootstrap": True,
        "limits": {"memory_mb": 300, "file_descriptors": 4100},
        "heartbeat_ms": 1200,
        "bounds": BOUNDS,
        "platform": {"address": store},
    }
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "local.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "DRAGONFLYHOLD_CONFIG": str(path),
        }
        process = await asyncio.create_subprocess_exec(
            *gateway_command(),
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await _wait_ready(listeners["ready"], process)
            yield listeners["front"]
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def _wait_ready(address: str, process: asyncio.subprocess.Process) -> None:
    async with asyncio.timeout(20):
        while await send(address, "ready", "GET", "/readiness", 1000) != "200":
            if process.returncode is not None:
                raise OSError("the gateway has ended")
            await asyncio.sleep(0.1)


def run_case(play: Callable[[], Awaitable[bool]]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    try:
        is_broken = asyncio.run(asyncio.wait_for(play(), 110))
    except Exception as error:
        print(f"The case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
