"""Copies of popular adapters: asked for at runners with less to do than the holder."""

import asyncio
import time
from typing import final

from dragonflyhold.gateway.dispatch import UpstreamTable
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import ModelAdapter, UpstreamId
from dragonflyhold.gateway.waiting import DemandTracker, Waiter
from dragonflyhold.ids import ServiceName

# A copy of an adapter is asked for from this many own requests that run on it at one runner.
REPLICA_MIN_RUNNING = 2
# Worth of a copy against a request that waits, how long it is asked for, and the pause between
# looks, in seconds.
REPLICA_UTILITY = 0.3
REPLICA_WAIT_S = 1.0
REPLICA_CHECK_S = 0.05


@final
class ReplicaRequests:
    """The copies that one gateway asks for, one at a time for each adapter."""

    def __init__(self, table: UpstreamTable, demands: DemandTracker, log: JsonLogger) -> None:
        self._table = table
        self._demands = demands
        self._log = log
        self._requested: set[ModelAdapter] = set()

    def find_upstream(
        self, service: ServiceName, target: ModelAdapter, holder: UpstreamId
    ) -> UpstreamId | None:
        """Return the runner to ask for a copy, ``None`` if none is called for."""
        if (
            target in self._requested
            or self._demands.running_count(holder, target) < REPLICA_MIN_RUNNING
        ):
            return None
        return self._table.choose_replica_upstream(service, target, holder, time.monotonic())

    async def request_replica(self, upstream_id: UpstreamId, target: ModelAdapter) -> None:
        """Ask a runner's agent for a copy until it is there or takes too long."""
        self._requested.add(target)
        self._log.info("A copy is asked for.", adapter=target.adapter, runner=upstream_id)
        until = time.monotonic() + REPLICA_WAIT_S
        waiter = Waiter(target, upstream_id, REPLICA_UTILITY, until, asyncio.Event())
        self._demands.add_waiter(waiter)
        try:
            while time.monotonic() < until:
                view = self._table.views.get(upstream_id)
                if view is None or target in view.resident:
                    return
                await asyncio.sleep(REPLICA_CHECK_S)
        finally:
            self._demands.remove_waiter(waiter)
            self._requested.discard(target)
