"""Client of a model engine's control interface: state reports and load and unload commands.

Responses don't name their calls, and an engine may send one again. What they contain tells those of
reports, commands and earlier states apart; the connection of one that can't belong to its call is
closed, since the own response would count for the next call.
"""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar, final

import orjson

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError, Head
from dragonflyhold.gateway.limits import MAX_REPORT_BYTES
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
    is_report,
)

# The engine runs on the same VM and answers both calls from memory in about 1 ms. An unanswered
# command delays the following ones, so its timeout is short; a retry is safe, because a command
# is valid at one sequence only.
REPORT_TIMEOUT_S = 0.5
COMMAND_TIMEOUT_S = 0.02

Result = TypeVar("Result")

_RESULTS = {
    200: CommandResult.DONE,
    202: CommandResult.ACCEPTED,
    409: CommandResult.CONFLICT,
    412: CommandResult.FENCED,
}


class EngineUnavailableError(DragonflyholdError):
    """Raised if the engine returned no valid report."""


class EngineControl(Protocol):
    """Interface of an engine as an agent uses it."""

    async def report(self) -> EngineReport:
        """Return the engine's state; raise ``EngineUnavailableError``."""

    async def identify(self, health_path: str) -> UpstreamId | None:
        """Return the id of the engine's incarnation, or ``None`` if it is not available."""

    async def send_command(
        self,
        command: AdapterCommand,
        expected: int,
        fencing_token: int,
        upstream_id: UpstreamId | None,
    ) -> CommandResult:
        """Send a command that is valid only at sequence ``expected`` and for that incarnation."""


@final
class HttpEngineControl:
    """Implements ``EngineControl`` with the engine's HTTP calls."""

    def __init__(self, address: Address, holder: str, pool: ConnectionPool) -> None:
        self._address = address
        self._holder = holder
        self._pool = pool
        # Start time and sequence of the newest report.
        self._newest = (0, 0)

    async def report(self) -> EngineReport:
        """Return the engine's state; raise ``EngineUnavailableError``."""
        try:
            return await self._call(b"GET", b"/report", b"", REPORT_TIMEOUT_S, self._decode_report)
        except (ExchangeError, TimeoutError, ValueError) as error:
            raise EngineUnavailableError(f"engine: report: {error!r}") from error

    def _decode_report(self, head: Head, body: bytes) -> EngineReport:
        if head.status != 200:
            raise DecodeError(f"unexpected status {head.status}")
        report = decode_report(orjson.loads(body))
        start_time_ms, sequence = self._newest
        if start_time_ms and report.start_time_ms == start_time_ms and report.sequence < sequence:
            raise DecodeError(f"sequence {report.sequence} after {sequence}")
        self._newest = (report.start_time_ms, report.sequence)
        return report

    async def identify(self, health_path: str) -> UpstreamId | None:
        """Return the id of the engine's incarnation, or ``None`` if it is not available."""
        try:
            return await self._call(
                b"GET",
                health_path.encode(),
                b"",
                REPORT_TIMEOUT_S,
                lambda head, _: instance_id(head),
            )
        except (ExchangeError, TimeoutError):
            return None

    async def send_command(
        self,
        command: AdapterCommand,
        expected: int,
        fencing_token: int,
        upstream_id: UpstreamId | None,
    ) -> CommandResult:
        """Send a command that is valid only at sequence ``expected`` and for that incarnation."""
        body = orjson.dumps(encode_command(command, expected, self._holder, fencing_token))
        try:
            return await self._call(
                b"POST",
                b"/order",
                body,
                COMMAND_TIMEOUT_S,
                _decode_result,
                expected_instance_headers(upstream_id),
            )
        except (ExchangeError, TimeoutError, DecodeError):
            return CommandResult.UNKNOWN

    async def _call(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout_s: float,
        decode: Callable[[Head, bytes], Result],
        extra: Sequence[tuple[bytes, bytes]] = (),
    ) -> Result:
        """Return the decoded response; close the connection of one that can't be decoded."""
        headers = [(b"Host", self._address.encode()), *extra]
        if body:
            headers.append((b"Content-Type", b"application/json"))
        exchange, is_decoded = None, False
        try:
            async with limit_time(timeout_s):
                exchange = await self._pool.send(self._address, Call(method, target, headers, body))
                head = await exchange.read_head()
                data = await exchange.read_body(MAX_REPORT_BYTES)
            result = decode(head, data)
            is_decoded = True
            return result
        finally:
            if exchange is not None:
                if not is_decoded:
                    exchange.discard()
                self._pool.release(self._address, exchange)


def _decode_result(head: Head, body: bytes) -> CommandResult:
    if head.status == 200 and is_report(body):
        raise DecodeError("a report in response to a command")
    return _RESULTS.get(head.status, CommandResult.REJECTED)
