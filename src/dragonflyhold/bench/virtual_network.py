"""In-memory network: listeners, connections with a delay, and VMs that become unreachable."""

import asyncio
import collections
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn, Self, TypeVar, final

Result = TypeVar("Result")

# Latency between two VMs in one direction.
ONE_WAY_DELAY_S = 0.001
# Start of the port range for clients and for listeners on port 0.
FIRST_EPHEMERAL_PORT = 40000

# IP address of the VM on which the current task runs.
_current_vm_ip: contextvars.ContextVar[str] = contextvars.ContextVar("vm", default="")

Address = tuple[str, int]


def create_task_on_vm(vm_ip: str, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
    """Start a task whose connections, and those of the tasks it starts, originate from a VM."""
    context = contextvars.copy_context()
    context.run(_current_vm_ip.set, vm_ip)
    return asyncio.get_running_loop().create_task(coroutine, context=context)


@final
class _Socket:
    """Socket stand-in that ignores socket options."""

    def __init__(self, address: Address) -> None:
        self._address = address

    def getsockname(self) -> Address:
        """Return the local address."""
        return self._address

    def setsockopt(self, *option: object) -> None:
        """Ignore the option."""

    def listen(self, backlog: int) -> None:
        """Ignore the length of the queue."""

    def dup(self) -> Self:
        """Return the socket itself."""
        return self

    def accept(self) -> NoReturn:
        """Raise ``BlockingIOError``, as no connection waits to be accepted."""
        raise BlockingIOError

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        """Do nothing, since there is nothing to close."""


@final
class VirtualServer:
    """Listener of a virtual network; the counterpart of ``asyncio.Server``."""

    def __init__(self, network: "VirtualNetwork", address: Address) -> None:
        self.sockets = [_Socket(address)]
        self._network = network
        self._address = address

    def close(self) -> None:
        """Stop accepting connections."""
        self._network.listeners.pop(self._address, None)


@final
class _VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self, network: "VirtualNetwork", local_address: Address, peer_address: Address
    ) -> None:
        super().__init__(
            {"socket": _Socket(local_address), "sockname": local_address, "peername": peer_address}
        )
        self.vm_ip = local_address[0]
        self.peer: _VirtualTransport
        self.protocol: asyncio.Protocol
        self._network = network
        self._receive_queue: collections.deque[bytes | None] = collections.deque()
        self._deliverable = 0
        self._is_reading = True
        self._is_closing = False

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self._is_closing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the peer."""
        if not self._is_closing:
            self._send(bytes(data))

    def can_write_eof(self) -> bool:
        """Return ``False``, as a virtual connection has no directions that close by themselves."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return 0, because writes never block."""
        return 0

    def close(self) -> None:
        """Close both directions."""
        if not self._is_closing:
            self._is_closing = True
            self._send(None)
            self._network.loop.call_soon(self.protocol.connection_lost, None)

    def abort(self) -> None:
        """Close both directions."""
        self.close()

    def pause_reading(self) -> None:
        """Queue received data until reading is resumed."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Resume reading and deliver queued data."""
        self._is_reading = True
        self._network.loop.call_soon(self.deliver)

    def _send(self, item: bytes | None) -> None:
        self.peer._receive_queue.append(item)
        self._network.loop.call_later(ONE_WAY_DELAY_S, self.peer._on_arrival)

    def _on_arrival(self) -> None:
        self._deliverable += 1
        self.deliver()

    def deliver(self) -> None:
        """Pass received data to the protocol, unless one of the two VMs is unreachable."""
        while self._deliverable and self._is_reading and not self._network.is_blocked(self):
            self._deliverable -= 1
            item = self._receive_queue.popleft()
            if self._is_closing:
                continue
            if item is not None:
                self.protocol.data_received(item)
                continue
            self._is_closing = True
            self.protocol.eof_received()
            self.protocol.connection_lost(None)


@final
class VirtualNetwork:
    """All listeners and connections of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.listeners: dict[Address, Callable[[], asyncio.Protocol]] = {}
        self._unreachable: set[str] = set()
        # Ordered, so that deliveries come in the same order in each run.
        self._transports: dict[_VirtualTransport, None] = {}
        self._next_port = FIRST_EPHEMERAL_PORT

    def listen(
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> VirtualServer:
        """Open a listener; port 0 selects a free port."""
        address = (host, port or self._allocate_port())
        if address in self.listeners:
            raise OSError(f"{address} is in use")
        self.listeners[address] = protocol_factory
        return VirtualServer(self, address)

    async def connect(
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect to a listener; blocks while one of the two VMs is unreachable."""
        local_address, peer_address = (_current_vm_ip.get(), self._allocate_port()), (host, port)
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        while self._unreachable & {local_address[0], host} and local_address[0] != host:
            await asyncio.sleep(0.1)
        server_factory = self.listeners.get(peer_address)
        if server_factory is None:
            raise ConnectionRefusedError(f"nothing listens on {peer_address}")
        client, server = (
            _VirtualTransport(self, local_address, peer_address),
            _VirtualTransport(self, peer_address, local_address),
        )
        client.peer, server.peer = server, client
        client.protocol, server.protocol = protocol_factory(), server_factory()
        self._transports |= {client: None, server: None}
        server.protocol.connection_made(server)
        client.protocol.connection_made(client)
        return client, client.protocol

    def make_unreachable(self, vm_ip: str) -> None:
        """Hold back all data to and from a VM."""
        self._unreachable.add(vm_ip)

    def make_reachable(self, vm_ip: str) -> None:
        """Deliver held-back data and let new data pass."""
        self._unreachable.discard(vm_ip)
        self._transports = {
            transport: None for transport in self._transports if not transport.is_closing()
        }
        for transport in list(self._transports):
            self.loop.call_soon(transport.deliver)

    def is_unreachable(self, vm_ip: str) -> bool:
        """Return whether data to and from a VM is held back."""
        return vm_ip in self._unreachable

    def is_blocked(self, transport: _VirtualTransport) -> bool:
        """Return whether a connection between different VMs has an unreachable end."""
        ips = {transport.vm_ip, transport.peer.vm_ip}
        return len(ips) > 1 and bool(ips & self._unreachable)

    def _allocate_port(self) -> int:
        self._next_port += 1
        return self._next_port
