"""Runs asyncio code on a clock that jumps from one timer to the next."""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar, final
from unittest import mock

from dragonflyhold.bench.virtual_network import VirtualNetwork, VirtualServer

Result = TypeVar("Result")


class DeadlockError(RuntimeError):
    """All tasks wait and no timer is set."""


@final
class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock by the time that the loop would have slept."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return without sleeping."""
        if timeout is None:
            raise DeadlockError("all tasks wait and no timer is set")
        self._advance(timeout)
        return []


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time starts at 0 and moves only between callbacks.

    Connections and listeners are those of its virtual network.
    """

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_JumpingSelector(self._advance))
        self.network = VirtualNetwork(self)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str,
        port: int,
        **options: Any,
    ) -> VirtualServer:
        """Listen on the virtual network; options of real sockets have no meaning there."""
        del options
        return self.network.listen(protocol_factory, host, port)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect on the virtual network."""
        return await self.network.connect(protocol_factory, host, port)

    def _advance(self, seconds: float) -> None:
        self._now += max(0.0, seconds)


def run_virtual(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end; ``time.monotonic`` tells the virtual time meanwhile.

    Only one may run in a process at a time, as that clock is the whole process's.
    """
    with (
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
        mock.patch.object(time, "monotonic", runner.get_loop().time),
    ):
        return runner.run(work)
