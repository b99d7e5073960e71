"""Event loop with a virtual clock that advances from timer to timer without sleeping."""

import asyncio
import math
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar, final
from unittest import mock

from dragonflyhold.bench.virtual_network import VirtualNetwork, VirtualServer

Result = TypeVar("Result")


class DeadlockError(RuntimeError):
    """Raised when all tasks wait and no timer is set."""


@final
class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances the clock by the time that the loop would have slept."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by ``timeout`` and return no events."""
        if timeout is None:
            raise DeadlockError("all tasks wait and no timer is set")
        self._advance(timeout)
        return []


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time starts at 0 and advances only between callbacks.

    Connections and listeners use its virtual network.
    """

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_VirtualTimeSelector(self._advance))
        self._advance(0.0)
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
        """Listen on the virtual network; socket options are ignored."""
        del options
        return self.network.listen(protocol_factory, host, port)

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.Protocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect on the virtual network."""
        return await self.network.connect(protocol_factory, host, port)

    def _advance(self, seconds: float) -> None:
        self._now += max(0.0, seconds)
        # No timer fires before its time. Otherwise a task that waits until then would set it again
        # and again, as the clock does not advance meanwhile.
        self._clock_resolution = math.ulp(self._now)


def run_virtual(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to completion with ``time.monotonic`` returning the virtual time.

    Only one may run in a process at a time, because the clock is patched process-wide.
    """
    with (
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
        mock.patch.object(time, "monotonic", runner.get_loop().time),
    ):
        return runner.run(coroutine)
