"""Kept HTTP connections by address."""

import asyncio
import time
from typing import final

from dragonflyhold.gateway.http_client import (
    Call,
    Connection,
    Exchange,
    ExchangeError,
    FailureReason,
)
from dragonflyhold.gateway.model import Address

# A new connection that takes longer counts as failed; clients themselves allow one second.
CONNECT_TIMEOUT_S = 1.0
# Idle connections to one address that are kept.
MAX_IDLE = 64
# Share of a peer's announced idle timeout for which a connection is reused: what the peer closes
# while a request crosses leaves that request in doubt.
IDLE_SHARE = 0.6


@final
class ConnectionPool:
    """Kept connections by address; used from one event loop."""

    def __init__(self) -> None:
        self.connections_opened = 0
        self._idle: dict[Address, list[Connection]] = {}

    async def send(self, address: Address, call: Call) -> Exchange:
        """Hand a request over on a kept or a new connection.

        Raises ``ExchangeError`` with ``sent`` false if no connection was made.
        """
        connection = self._take(address)
        if connection is None:
            connection = await self._connect(address)
        return connection.start(call)

    def release(self, address: Address, exchange: Exchange) -> None:
        """Keep the connection of a complete exchange, if it may be reused."""
        connection = exchange._connection
        if not exchange.is_complete:
            connection.abort()
            return
        if not connection.is_usable:
            return
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE:
            connection.abort()
            return
        idle.append(connection)

    async def can_connect(self, address: Address) -> bool:
        """Whether a new connection can be made; it is kept for the next request."""
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
        """Close connections that have been idle for too long to be reused."""
        for address, idle in list(self._idle.items()):
            for connection in [
                item for item in idle if now - item.idle_since > item.idle_limit_s * IDLE_SHARE
            ]:
                idle.remove(connection)
                connection.abort()
            if not idle:
                del self._idle[address]

    def _take(self, address: Address) -> Connection | None:
        idle = self._idle.get(address)
        now = time.monotonic()
        while idle:
            connection = idle.pop()
            is_fresh = now - connection.idle_since <= connection.idle_limit_s * IDLE_SHARE
            if connection.is_usable and is_fresh:
                return connection
            connection.abort()
        return None

    async def _connect(self, address: Address) -> Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.connections_opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(lambda closed: self._drop(address, closed)), host, int(port)
                )
        except TimeoutError as error:
            raise ExchangeError(FailureReason.TIMEOUT, False, f"connect {address}") from error
        except OSError as error:
            raise ExchangeError(FailureReason.CONNECT, False, str(error)) from error
        return connection

    def _drop(self, address: Address, connection: Connection) -> None:
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)
