"""Stand-in for the platform's metadata store: rows, transactions, change feeds and faults."""

import asyncio
import base64
import dataclasses
import enum
from typing import Any
from urllib.parse import parse_qs

import orjson

from dragonflyhold.gateway.http_connection import ClientRequest
from dragonflyhold.gateway.http_server import HttpServer
from dragonflyhold.gateway.model import Address, IngressLimits
from dragonflyhold.gateway.responder import Responder
from dragonflyhold.platform.standins.late_copies import AnswerCopier


class StoreFault(enum.Enum):
    """Fault of the store."""

    NONE = "none"
    # Responds 503 and executes nothing.
    REFUSING = "refusing"
    # Accepts calls and never responds.
    UNRESPONSIVE = "silent"
    # Executes transactions and closes the connection without a response.
    LOSING_RESPONSES = "losing answers"


@dataclasses.dataclass
class _Row:
    value: str | None
    version: int


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """The rows of a store at one version."""

    version: int
    tables: dict[str, dict[str, _Row]]


class StoreStandIn:
    """In-memory implementation of the store's calls that the project uses."""

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.calls: list[str] = []
        # Table of each call, empty for calls that name none.
        self.tables: list[str] = []
        # Writes earlier answers again.
        self.copier = AnswerCopier()
        # Feed requests for changes after an older version get 410.
        self.oldest_version = 0
        # Parts for which writes get 503.
        self.unavailable_parts: set[str] = set()
        self._era = 1
        self._version = 0
        self._now_ms = 0
        self._tables: dict[str, dict[str, _Row]] = {}
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle, IngressLimits())

    @property
    def address(self) -> Address:
        """Return the listener's address."""
        assert self._server._server is not None
        host, port = self._server._server.sockets[0].getsockname()
        return Address(f"{host}:{port}")

    @property
    def _era_header(self) -> tuple[bytes, bytes]:
        return (b"Store-Era", b"%d" % self._era)

    async def start(self) -> None:
        """Start to accept connections."""
        await self._server.listen("127.0.0.1", 0)

    def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self._server.close_listener()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._server.connections):
            connection.abort()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row, as the operator or an upstream does; encode it unless it is bytes."""
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        return self._write(table, key, base64.b64encode(data).decode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def keys(self, table: str) -> set[str]:
        """Return the keys of a table."""
        rows = self._tables.get(table, {})
        return {key for key, row in rows.items() if row.value is not None}

    def compact(self) -> None:
        """Truncate the history of the change feed."""
        self.oldest_version = self._version

    def copy(self) -> "StoreCopy":
        """Return a copy of all rows, from which the store can be restored."""
        rows = {table: dict(rows) for table, rows in self._tables.items()}
        return StoreCopy(self._version, rows)

    def restore(self, copy: "StoreCopy") -> None:
        """Lose all that was written since a copy; reset the open connections."""
        self._era += 1
        self._version = copy.version
        self._tables = {table: dict(rows) for table, rows in copy.tables.items()}
        self.reset_connections()

    def _write(self, table: str, key: str, value: str | None) -> int:
        self._version += 1
        self._tables.setdefault(table, {})[key] = _Row(value, self._version)
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    async def _handle(self, request: ClientRequest, responder: Responder) -> None:
        await self.copier.handle(self._answer, request, responder)

    async def _answer(self, request: ClientRequest, responder: Responder) -> None:
        path, _, query = request.target.decode().partition("?")
        arguments = {name: values[0] for name, values in parse_qs(query).items()}
        self.calls.append(path)
        self.tables.append(arguments.get("table", ""))
        if self.fault is StoreFault.REFUSING:
            responder.send(503, [self._era_header])
            return
        if self.fault is StoreFault.UNRESPONSIVE:
            await asyncio.Event().wait()
        if path == "/rows-get":
            self._respond(responder, 200, self._read_rows(arguments))
        elif path == "/rows-feed":
            await self._read_feed(responder, arguments)
        elif path == "/rows-tx":
            status, body = self._transact(orjson.loads(request.body))
            if self.fault is StoreFault.LOSING_RESPONSES:
                responder.abort()
                return
            self._respond(responder, status, body)
        else:
            responder.send(404, [self._era_header])

    def _read_rows(self, arguments: dict[str, str]) -> dict[str, Any]:
        rows = self._tables.get(arguments["table"], {})
        start, limit = arguments.get("from", ""), int(arguments.get("limit", "500"))
        keys = sorted(key for key, row in rows.items() if row.value is not None and key >= start)
        return {
            "rows": [self._encode(arguments["table"], key) for key in keys[:limit]],
            "more_pages": len(keys) > limit,
        }

    async def _read_feed(self, responder: Responder, arguments: dict[str, str]) -> None:
        table, after = arguments["table"], int(arguments["after"])
        if after < self.oldest_version or after > self._version:
            responder.send(410, [self._era_header])
            return
        try:
            async with asyncio.timeout(int(arguments["wait_ms"]) / 1000):
                while not self._changed_keys(table, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        rows = [self._encode(table, key) for key in self._changed_keys(table, after)]
        self._respond(responder, 200, {"rows": rows})

    def _changed_keys(self, table: str, after: int) -> list[str]:
        rows = self._tables.get(table, {})
        changed = [key for key, row in rows.items() if row.version > after]
        return sorted(changed, key=lambda key: rows[key].version)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if any(item["part"] in self.unavailable_parts for item in body["writes"]):
            return 503, {}
        for item in body["expected"]:
            row = self._tables.get(item["table"], {}).get(item["key"])
            version = row.version if row is not None and row.value is not None else 0
            if version != item["row_version"]:
                return 412, {"rows": []}
        for item in body["writes"]:
            self._write(item["table"], item["key"], item["value"])
        for item in body["remove"]:
            self._write(item["table"], item["key"], None)
        return 200, {}

    def _encode(self, table: str, key: str) -> dict[str, Any]:
        row = self._tables[table][key]
        fields = {"table": table, "part": "", "key": key, "row_version": row.version}
        if row.value is None:
            return {**fields, "removed": True}
        return {**fields, "value": row.value}

    def _respond(self, responder: Responder, status: int, body: dict[str, Any]) -> None:
        loop_ms = int(asyncio.get_running_loop().time() * 1000)
        self._now_ms = max(self._now_ms + 1, loop_ms)
        fields = {**body, "row_version": self._version, "now_ms": self._now_ms}
        headers = [self._era_header, (b"Content-Type", b"application/json")]
        responder.send(status, headers, orjson.dumps(fields))
