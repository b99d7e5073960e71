"""A network in memory: listeners, connections with a delay, and VMs that go dark."""

import asyncio
import collections
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar, final

Result = TypeVar("Result")

# One way between two VMs, in seconds; from the sheets.
ONE_WAY_S = 0.001
# First of the ports that are given to listeners without one.
FIRST_PORT = 40000

# IP number of the VM on which the current code runs.
_vm: contextvars.ContextVar[str] = contextvars.ContextVar("vm", default="")

Address = tuple[str, int]


def create_task_on_vm(vm_ip: str, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
    """Start a task whose connections, and those of its tasks, come from a VM."""
    context = contextvars.copy_context()
    context.run(_vm.set, vm_ip)
    return asyncio.get_running_loop().create_task(work, context=context)


@final
class _Socket:
    """Takes the options that are set on real sockets."""

    def __init__(self, address: Address) -> None:
        self._address = address

    def getsockname(self) -> Address:
        """Return the address of the listener."""
        return self._address

    def setsockopt(self, *option: object) -> None:
        """Do nothing."""


@final
class VirtualServer:
    """A listener."""

    def __init__(self, network: "VirtualNetwork", address: Address) -> None:
        self.sockets = [_Socket(address)]
        self._network = network
        self._address = address

    def close(self) -> None:
        """Accept no further connections."""
        self._network.listeners.pop(self._address, None)


@final
class _End(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: "VirtualNetwork", own: Address, peer: Address) -> None:
        super().__init__({"socket": _Socket(own), "sockname": own, "peername": peer})
        self.vm_ip = own[0]
        self.other: _End
        self.protocol: asyncio.Protocol
        self._network = network
        self._inbox: collections.deque[bytes | None] = collections.deque()
        self._due = 0
        self._is_reading = True
        self._is_closing = False

    def is_closing(self) -> bool:
        """Whether this end was closed."""
        return self._is_closing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the other end."""
        if not self._is_closing:
            self._carry(bytes(data))

    def get_write_buffer_size(self) -> int:
        """Return 0: a virtual network takes everything at once."""
        return 0

    def close(self) -> None:
        """Close both directions."""
        if not self._is_closing:
            self._is_closing = True
            self._carry(None)
            self._network.loop.call_soon(self.protocol.connection_lost, None)

    def abort(self) -> None:
        """Close both directions."""
        self.close()

    def pause_reading(self) -> None:
        """Keep what arrives."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Hand over what was kept."""
        self._is_reading = True
        self._network.loop.call_soon(self.deliver)

    def _carry(self, item: bytes | None) -> None:
        self.other._inbox.append(item)
        self._network.loop.call_later(ONE_WAY_S, self.other._arrive)

    def _arrive(self) -> None:
        self._due += 1
        self.deliver()

    def deliver(self) -> None:
        """Hand over what has arrived, unless one of the two VMs is dark."""
        while self._due and self._is_reading and not self._network.is_cut(self):
            self._due -= 1
            item = self._inbox.popleft()
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
    """All listeners and connections of one loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.listeners: dict[Address, Callable[[], asyncio.Protocol]] = {}
        self._unreachable: set[str] = set()
        self._ends: set[_End] = set()
        self._next_port = FIRST_PORT

    def listen(
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> VirtualServer:
        """Open a listener; port 0 takes a free one."""
        address = (host, port or self._take_port())
        if address in self.listeners:
            raise OSError(f"{address} is in use")
        self.listeners[address] = protocol_factory
        return VirtualServer(self, address)

    async def connect(
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect to a listener; to a dark VM it takes until the caller gives up."""
        own, peer = (_vm.get(), self._take_port()), (host, port)
        await asyncio.sleep(2 * ONE_WAY_S)
        while self._unreachable & {own[0], host} and own[0] != host:
            await asyncio.sleep(0.1)
        accept = self.listeners.get(peer)
        if accept is None:
            raise ConnectionRefusedError(f"nothing listens on {peer}")
        client, server = _End(self, own, peer), _End(self, peer, own)
        client.other, server.other = server, client
        client.protocol, server.protocol = protocol_factory(), accept()
        self._ends |= {client, server}
        server.protocol.connection_made(server)
        client.protocol.connection_made(client)
        return client, client.protocol

    def make_unreachable(self, vm_ip: str) -> None:
        """Let nothing pass to or from a VM; what is sent waits."""
        self._unreachable.add(vm_ip)

    def make_reachable(self, vm_ip: str) -> None:
        """Let everything pass again."""
        self._unreachable.discard(vm_ip)
        self._ends = {end for end in self._ends if not end.is_closing()}
        for end in list(self._ends):
            self.loop.call_soon(end.deliver)

    def is_cut(self, end: _End) -> bool:
        """Whether a connection between two VMs passes nothing."""
        ips = {end.vm_ip, end.other.vm_ip}
        return len(ips) > 1 and bool(ips & self._unreachable)

    def _take_port(self) -> int:
        self._next_port += 1
        return self._next_port
