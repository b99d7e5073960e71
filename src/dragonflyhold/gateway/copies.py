"""Copies of popular adapters: asked for at runners with less to do than the holder."""

import asyncio
import time
from typing import final

from dragonflyhold.gateway.dispatch import RunnerTable
from dragonflyhold.gateway.logs import Part
from dragonflyhold.gateway.model import ModelAdapter, RunnerId
from dragonflyhold.gateway.waiting import DemandBook, Waiter
from dragonflyhold.ids import ServiceName

# A copy of an adapter is asked for from this many own requests that run on it at one runner.
COPY_RUNNING = 2
# Worth of a copy against a request that waits, how long it is asked for, and the pause between
# looks, in seconds.
COPY_WORTH = 0.3
COPY_WAIT_S = 1.0
COPY_CHECK_S = 0.05


@final
class CopyRequests:
    """The copies that one gateway asks for, one at a time for each adapter."""

    def __init__(self, table: RunnerTable, demands: DemandBook, log: Part) -> None:
        self._table = table
        self._demands = demands
        self._log = log
        self._asked: set[ModelAdapter] = set()

    def find_place(
        self, service: ServiceName, target: ModelAdapter, holder: RunnerId
    ) -> RunnerId | None:
        """Return the runner to ask for a copy, ``None`` if none is called for."""
        if target in self._asked or self._demands.running(holder, target) < COPY_RUNNING:
            return None
        return self._table.copy_place(service, target, holder, time.monotonic())

    async def ask(self, place: RunnerId, target: ModelAdapter) -> None:
        """Ask a runner's agent for a copy until it is there or takes too long."""
        self._asked.add(target)
        self._log.info("A copy is asked for.", adapter=target.adapter, runner=place)
        until = time.monotonic() + COPY_WAIT_S
        wish = Waiter(target, place, COPY_WORTH, until, asyncio.Event())
        self._demands.add_waiter(wish)
        try:
            while time.monotonic() < until:
                view = self._table.views.get(place)
                if view is None or target in view.resident:
                    return
                await asyncio.sleep(COPY_CHECK_S)
        finally:
            self._demands.remove_waiter(wish)
            self._asked.discard(target)
