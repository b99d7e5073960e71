"""Client of a model engine's control interface: state reports and load and unload commands."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol, final

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
    states_leaving,
    turned_away_s,
)

# The engine runs on the same VM and answers both calls from memory in about 1 ms. An unanswered
# command delays the following ones, so its timeout is short; a retry is safe, because a command
# is valid at one sequence only.
REPORT_TIMEOUT_S = 0.5
COMMAND_TIMEOUT_S = 0.02

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
        # What the engine's incarnation with this start time has stated.
        self._gate = SendGate()
        self._start_time_ms = 0

    async def report(self) -> EngineReport:
        """Return the engine's state; raise ``EngineUnavailableError``."""
        if self._is_turned_away():
            raise EngineTurnsAwayError("engine: report: turned away")
        try:
            head, body = await self._call(b"GET", b"/report", b"", REPORT_TIMEOUT_S)
            if head.status != 200:
                self._note_stated(head)
                if self._is_turned_away():
                    raise EngineTurnsAwayError("engine: report: turned away")
                raise EngineUnavailableError(f"engine: report: unexpected status {head.status}")
            report = decode_report(orjson.loads(body))
        except (ExchangeError, TimeoutError, ValueError, DecodeError) as error:
            raise EngineUnavailableError(f"engine: report: {error!r}") from error
        if report.start_time_ms != self._start_time_ms:
            self._gate, self._start_time_ms = SendGate(), report.start_time_ms
        self._note_stated(head)
        if self._gate.state(monotonic_now()) is SendState.LEAVING:
            return dataclasses.replace(report, is_draining=True)
        return report

    def _is_turned_away(self) -> bool:
        return self._gate.state(monotonic_now()) is SendState.TURNED_AWAY

    def _note_stated(self, head: Head) -> None:
        wait_s = turned_away_s(head)
        if wait_s and self._gate.turn_away(wait_s, monotonic_now()):
            self._log.failure(
                "The engine turns calls away; none is made for a time.",
                born=self._start_time_ms,
                wait_ms=round(min(wait_s, MAX_TURNED_AWAY_S) * 1000),
            )
        if states_leaving(head) and self._gate.leave():
            self._log.failure(
                "The engine leaves; gateways are told so, and nothing more is loaded.",
                born=self._start_time_ms,
                status=head.status,
            )

    async def identify(self, health_path: str) -> UpstreamId | None:
        """Return the id of the engine's incarnation, or ``None`` if it is not available."""
        if self._is_turned_away():
            return None
        try:
            head, _ = await self._call(b"GET", health_path.encode(), b"", REPORT_TIMEOUT_S)
        except (ExchangeError, TimeoutError):
            return None
        self._note_stated(head)
        return instance_id(head)

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
            head, _ = await self._call(
                b"POST", b"/order", body, COMMAND_TIMEOUT_S, expected_instance_headers(upstream_id)
            )
        except (ExchangeError, TimeoutError):
            return CommandResult.UNKNOWN
        self._note_stated(head)
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
                return head, await exchange.read_body(MAX_REPORT_BYTES)
        finally:
            if exchange is not None:
                self._pool.release(self._address, exchange)
