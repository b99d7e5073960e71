"""Asyncio HTTP/1.1 server: its listener, its connections and their limits."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import final

from dragonflyhold.gateway.byte_budget import ByteBudget
from dragonflyhold.gateway.http_connection import (
    READ_BYTES,
    ClientRequest,
    ConnectionEnd,
    Handler,
    ServerConnection,
)
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import IngressLimits
from dragonflyhold.ingress import ConnectionTable, Standing, Turns

# Connections that wait to be accepted, and those accepted in one turn of the event loop.
BACKLOG = 1024
ACCEPTS_PER_TURN = 8
# Any delay after which a task goes on in a later turn of the event loop, after its reads.
EVENT_LOOP_TURN_S = 0.001


@final
class HttpServer:
    """Listens on one address and runs ``handler`` in a new task for each request.

    ``on_rejected`` is called with the status and detail of each rejected request,
    ``on_unanswered`` with each request that was read and whose connection this side closes without
    a response, and with the cause; ``on_failed`` with each request whose handler raised an error or
    sent no response, and with the cause. It gets 502, or its response is broken off. What is kept
    of requests, and of responses that clients don't read, is charged to ``budget``. Beyond
    ``most_connections`` one gives way to each new one; ``on_overload`` is called with what it
    waited for, or with ``RESPONSE`` if the new one is closed as requests are served on all others.
    """

    def __init__(
        self,
        handler: Handler,
        limits: IngressLimits,
        on_rejected: Callable[[int, str], None] = lambda status, detail: None,
        on_unanswered: Callable[[ClientRequest, str], None] = lambda request, detail: None,
        on_failed: Callable[[ClientRequest, str], None] = lambda request, detail: None,
        budget: ByteBudget | None = None,
        most_connections: int | None = None,
        on_overload: Callable[[Standing], None] = lambda standing: None,
    ) -> None:
        self.budget = budget if budget is not None else ByteBudget()
        self.handler = handler
        self._limits = limits
        self.on_rejected = on_rejected
        self.on_unanswered = on_unanswered
        self.on_failed = on_failed
        self.log = JsonLogger("http")
        self.is_draining = False
        self.connections: set[ServerConnection] = set()
        # Overwritten by each read, before which the bytes of the last one are copied.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.turns = Turns(
            lambda call: asyncio.get_running_loop().call_soon(call),
            lambda: asyncio.get_running_loop().time(),
        )
        self._on_overload = on_overload
        self._table: ConnectionTable[ServerConnection] = ConnectionTable(
            lambda: asyncio.get_running_loop().time(), most_connections
        )
        self._server: asyncio.Server | None = None

    @property
    def limits(self) -> IngressLimits:
        """Return the limits in force; new ones also hold for the connections that are open."""
        return self._limits

    @limits.setter
    def limits(self, limits: IngressLimits) -> None:
        self._limits = limits
        for connection in self.connections:
            connection.extend_idle_timeout()

    @property
    def open_requests(self) -> int:
        """Return the number of connections with an open or partly received request."""
        return sum(not connection.is_idle for connection in self.connections)

    @property
    def most_connections(self) -> int | None:
        """Return the number of connections that are kept, ``None`` for any number."""
        return self._table.most

    @most_connections.setter
    def most_connections(self, most: int | None) -> None:
        self._table.most = most

    def add_connection(self, connection: ServerConnection, address: str) -> None:
        """Add a connection, for which another one, or it itself, may have to give way."""
        self.connections.add(connection)
        if self._table.is_full:
            victim = self._table.pick_victim()
            if victim is None:
                self._on_overload(Standing.RESPONSE)
                connection.abort(ConnectionEnd.OVERLOAD)
                return
            self._on_overload(self._table.standing(victim))
            self._table.remove(victim)
            victim.abort(ConnectionEnd.OVERLOAD)
        self._table.add(connection, address)

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a connection that was lost."""
        self.connections.discard(connection)
        self._table.remove(connection)

    def note_connection(
        self, connection: ServerConnection, standing: Standing, *, restarts: bool
    ) -> None:
        """Record what a connection waits for."""
        self._table.note(connection, standing, restarts=restarts)

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            host,
            port,
            # Also the number of connections that asyncio accepts at a time.
            backlog=ACCEPTS_PER_TURN,
            reuse_address=True,
        )
        for listener in self._server.sockets:
            with listener.dup() as sock:
                sock.listen(BACKLOG)

    def close_idle(self) -> None:
        """Close all connections without an open request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Close the listener and all connections at once."""
        self.close_listener()
        for connection in list(self.connections):
            connection.abort(ConnectionEnd.SERVER_CLOSED)

    async def stop_listening(self) -> None:
        """Stop accepting connections, after those that the kernel has accepted already."""
        # A connection that the event loop has just accepted needs the server once more.
        await asyncio.sleep(EVENT_LOOP_TURN_S)
        server, self._server = self._server, None
        if server is None:
            return
        with contextlib.ExitStack() as stack:
            listeners = [stack.enter_context(listener.dup()) for listener in server.sockets]
            server.close()
            accepted = [sock for listener in listeners for sock in self._accept_waiting(listener)]
        loop = asyncio.get_running_loop()
        for sock in accepted:
            try:
                await loop.connect_accepted_socket(lambda: ServerConnection(self), sock)
            except OSError as error:
                self.log.warning("An accepted connection could not be used.", error=str(error))

    def _accept_waiting(self, listener: socket.socket) -> Iterator[socket.socket]:
        while True:
            try:
                yield listener.accept()[0]
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self.log.warning("Waiting connections could not be accepted.", error=str(error))
                return

    def close_listener(self) -> None:
        """Stop accepting connections at once; those that wait in the kernel are reset."""
        if self._server is not None:
            self._server.close()
