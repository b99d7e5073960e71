"""Pool of idle HTTP connections, by address."""

import asyncio
import time
from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.byte_budget import ByteBudget
from dragonflyhold.gateway.http_client import (
    Call,
    Connection,
    Exchange,
    ExchangeError,
    FailureReason,
)
from dragonflyhold.gateway.logs import describe
from dragonflyhold.gateway.model import Address

# Equals the connect timeout of the platform's clients.
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_ADDRESS = 64
# A connection is reused only within this share of the peer's idle timeout: a request that crosses
# with the peer's close may or may not have run.
IDLE_TIMEOUT_SHARE = 0.6


class SendWithdrawnError(Exception):
    """The request may no longer be sent; the peer has received no byte of it."""


@final
class ConnectionPool:
    """Reuses idle connections; for use in one event loop.

    What exchanges keep until they are released is charged to ``budget``.
    """

    def __init__(self, budget: ByteBudget | None = None) -> None:
        self._budget = budget if budget is not None else ByteBudget()
        self.connections_opened = 0
        self._idle: dict[Address, list[Connection]] = {}

    async def send(
        self, address: Address, call: Call, may_send: Callable[[], bool] = lambda: True
    ) -> Exchange:
        """Send a request on an idle or a new connection.

        Raises ``ExchangeError`` with ``sent`` false if no connection could be established, and
        ``SendWithdrawnError`` if ``may_send`` is false once there is one.
        """
        connection = self._pop_idle(address, call)
        if connection is None:
            connection = await self._connect(address)
        if not may_send():
            connection.abort()
            raise SendWithdrawnError
        return connection.start(call)

    def release(self, address: Address, exchange: Exchange) -> None:
        """Return the connection of an exchange to the pool, or close it if it can't be reused."""
        connection = exchange.connection
        exchange.release()
        if not exchange.is_complete:
            connection.abort()
            return
        if not connection.is_usable:
            return
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        idle.append(connection)

    async def can_connect(self, address: Address) -> bool:
        """Return whether a new connection can be established; it stays in the pool."""
        try:
            connection = await self._connect(address)
        except ExchangeError:
            return False
        self._idle.setdefault(address, []).append(connection)
        return True

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle for too long to be reused at ``now``."""
        for address, idle in list(self._idle.items()):
            for connection in [
                item
                for item in idle
                if now - item.idle_since > item.idle_timeout_s * IDLE_TIMEOUT_SHARE
            ]:
                idle.remove(connection)
                connection.abort()
            if not idle:
                del self._idle[address]

    def _pop_idle(self, address: Address, call: Call) -> Connection | None:
        idle = self._idle.get(address, [])
        now = time.monotonic()
        for number in reversed(range(len(idle))):
            connection = idle[number]
            is_fresh = now - connection.idle_since <= connection.idle_timeout_s * IDLE_TIMEOUT_SHARE
            if not connection.is_usable or not is_fresh:
                del idle[number]
                connection.abort()
            elif not connection.has_carried(call):
                del idle[number]
                return connection
        return None

    async def _connect(self, address: Address) -> Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.connections_opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(lambda closed: self._remove(address, closed), self._budget),
                    host,
                    int(port),
                )
        except TimeoutError as error:
            raise ExchangeError(FailureReason.TIMEOUT, False, f"connect {address}") from error
        except Exception as error:
            # Addresses that no socket accepts raise other errors than ``OSError``.
            raise ExchangeError(FailureReason.CONNECT, False, describe(error)) from error
        return connection

    def _remove(self, address: Address, connection: Connection) -> None:
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)
