"""Client of a model engine's control interface: state reports and load and unload commands.

Responses don't name their calls, and an engine may send one again. What they contain tells those of
reports, commands and earlier states apart; the connection of one that can't belong to its call is
closed, since the own response would count for the next call.
"""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar, final

import orjson

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError, Head
from dragonflyhold.gateway.limits import MAX_REPORT_BYTES
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import (
    AdapterCommand,
    Address,
    CommandResult,
    EngineReport,
    UpstreamId,
)
from dragonflyhold.gateway.send_gates import MAX_TURNED_AWAY_S, SendGate, SendState
from dragonflyhold.gateway.tasks import limit_time
from dragonflyhold.platform.codec import (
    DecodeError,
    decode_report,
    encode_command,
    expected_instance_headers,
    instance_id,
    is_report,
    states_leaving,
    turned_away_s,
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


class EngineTurnsAwayError(EngineUnavailableError):
    """Raised if no call is made because the engine has stated that it wants none for a time."""


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
        self._log = JsonLogger("engine")
        self._holder = holder
        self._pool = pool
        # Start time and sequence of the newest report.
        self._newest = (0, 0)
        # What that incarnation has stated.
        self._gate = SendGate()

    async def report(self) -> EngineReport:
        """Return the engine's state; raise ``EngineUnavailableError``."""
        if self._is_turned_away():
            raise EngineTurnsAwayError("engine: report: turned away")
        try:
            return await self._call(b"GET", b"/report", b"", REPORT_TIMEOUT_S, self._decode_report)
        except (ExchangeError, TimeoutError, ValueError) as error:
            raise EngineUnavailableError(f"engine: report: {error!r}") from error

    def _is_turned_away(self) -> bool:
        return self._gate.state(monotonic_now()) is SendState.TURNED_AWAY

    def _note_stated(self, head: Head) -> None:
        wait_s = turned_away_s(head)
        if wait_s and self._gate.turn_away(wait_s, monotonic_now()):
            self._log.failure(
                "The engine turns calls away; none is made for a time.",
                born=self._newest[0],
                wait_ms=round(min(wait_s, MAX_TURNED_AWAY_S) * 1000),
            )
        if states_leaving(head) and self._gate.leave():
            self._log.failure(
                "The engine leaves; gateways are told so, and nothing more is loaded.",
                born=self._newest[0],
                status=head.status,
            )

    def _decode_report(self, head: Head, body: bytes) -> EngineReport:
        if head.status != 200:
            self._note_stated(head)
            if self._is_turned_away():
                raise EngineTurnsAwayError("engine: report: turned away")
            raise DecodeError(f"unexpected status {head.status}")
        report = decode_report(orjson.loads(body))
        start_time_ms, sequence = self._newest
        if start_time_ms and report.start_time_ms == start_time_ms and report.sequence < sequence:
            raise DecodeError(f"sequence {report.sequence} after {sequence}")
        self._newest = (report.start_time_ms, report.sequence)
        if report.start_time_ms != start_time_ms:
            self._gate = SendGate()
        self._note_stated(head)
        if self._gate.state(monotonic_now()) is SendState.LEAVING:
            return dataclasses.replace(report, is_draining=True)
        return report

    async def identify(self, health_path: str) -> UpstreamId | None:
        """Return the id of the engine's incarnation, or ``None`` if it is not available."""
        if self._is_turned_away():
            return None
        try:
            return await self._call(
                b"GET",
                health_path.encode(),
                b"",
                REPORT_TIMEOUT_S,
                self._decode_identity,
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
        if self._is_turned_away():
            return CommandResult.REJECTED
        body = orjson.dumps(encode_command(command, expected, self._holder, fencing_token))
        try:
            return await self._call(
                b"POST",
                b"/order",
                body,
                COMMAND_TIMEOUT_S,
                self._decode_result,
                expected_instance_headers(upstream_id),
            )
        except (ExchangeError, TimeoutError, DecodeError):
            return CommandResult.UNKNOWN

    def _decode_identity(self, head: Head, body: bytes) -> UpstreamId | None:
        del body
        self._note_stated(head)
        return instance_id(head)

    def _decode_result(self, head: Head, body: bytes) -> CommandResult:
        if head.status == 200 and is_report(body):
            raise DecodeError("a report in response to a command")
        self._note_stated(head)
        return _RESULTS.get(head.status, CommandResult.REJECTED)

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
