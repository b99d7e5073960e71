"""Calls to a model engine's own interface: its report, and orders to load and unload."""

from collections.abc import Sequence
from typing import Protocol, final

import orjson

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError, Head
from dragonflyhold.gateway.model import (
    AdapterCommand,
    Address,
    CommandResult,
    EngineReport,
    UpstreamId,
)
from dragonflyhold.gateway.tasks import limit_time
from dragonflyhold.platform.codec import (
    DecodeError,
    decode_report,
    encode_command,
    expected_instance_headers,
    instance_id,
)

# Both calls answer from memory on the same VM, in about a millisecond. An order without an answer
# holds up those after it; repeating it is safe, because it names the sequence that it expects.
REPORT_TIMEOUT_S = 0.5
COMMAND_TIMEOUT_S = 0.02

_RESULTS = {
    200: CommandResult.DONE,
    202: CommandResult.ACCEPTED,
    409: CommandResult.CONFLICT,
    412: CommandResult.FENCED,
}


class EngineUnavailableError(DragonflyholdError):
    """The engine gave no usable report."""


class EngineControl(Protocol):
    """What an agent needs of its engine."""

    async def report(self) -> EngineReport:
        """Return the engine's state; raise ``EngineUnavailableError``."""

    async def identify(self, health_path: str) -> UpstreamId | None:
        """Return the id of the engine's lifetime, ``None`` if it does not tell now."""

    async def send_command(
        self,
        command: AdapterCommand,
        expected: int,
        fencing_token: int,
        upstream_id: UpstreamId | None,
    ) -> CommandResult:
        """Give an order that holds only at the sequence ``expected`` and for that lifetime."""


@final
class HttpEngineControl:
    """Implements ``EngineControl`` with the engine's HTTP calls."""

    def __init__(self, address: Address, holder: str, pool: ConnectionPool) -> None:
        self._address = address
        self._holder = holder
        self._pool = pool

    async def report(self) -> EngineReport:
        """Return the engine's state; raise ``EngineUnavailableError``."""
        try:
            head, body = await self._call(b"GET", b"/report", b"", REPORT_TIMEOUT_S)
            if head.status != 200:
                raise EngineUnavailableError(f"engine: report: answered {head.status}")
            return decode_report(orjson.loads(body))
        except (ExchangeError, TimeoutError, ValueError, DecodeError) as error:
            raise EngineUnavailableError(f"engine: report: {error!r}") from error

    async def identify(self, health_path: str) -> UpstreamId | None:
        """Return the id of the engine's lifetime, ``None`` if it does not tell now."""
        try:
            head, _ = await self._call(b"GET", health_path.encode(), b"", REPORT_TIMEOUT_S)
        except (ExchangeError, TimeoutError):
            return None
        return instance_id(head)

    async def send_command(
        self,
        command: AdapterCommand,
        expected: int,
        fencing_token: int,
        upstream_id: UpstreamId | None,
    ) -> CommandResult:
        """Give an order that holds only at the sequence ``expected`` and for that lifetime."""
        body = orjson.dumps(encode_command(command, expected, self._holder, fencing_token))
        try:
            head, _ = await self._call(
                b"POST", b"/order", body, COMMAND_TIMEOUT_S, expected_instance_headers(upstream_id)
            )
        except (ExchangeError, TimeoutError):
            return CommandResult.UNKNOWN
        return _RESULTS.get(head.status, CommandResult.REJECTED)

    async def _call(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout_s: float,
        extra: Sequence[tuple[bytes, bytes]] = (),
    ) -> tuple[Head, bytes]:
        headers = [(b"Host", self._address.encode()), *extra]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        exchange = None
        try:
            async with limit_time(timeout_s):
                exchange = await self._pool.send(self._address, Call(method, target, headers, body))
                head = await exchange.read_head()
                return head, await exchange.read_body()
        finally:
            if exchange is not None:
                self._pool.release(self._address, exchange)
