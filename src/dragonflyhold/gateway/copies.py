"""Requests replicas of popular adapters on upstreams with less load than the holder."""

import asyncio
import time
from typing import final

from dragonflyhold.gateway.dispatch import UpstreamTable
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import ModelAdapter, UpstreamId
from dragonflyhold.gateway.waiting import DemandTracker, Waiter
from dragonflyhold.ids import ServiceName

# Number of a gateway's running requests for an adapter at one upstream that justifies a replica.
REPLICA_MIN_RUNNING = 2
# Utility of a replica relative to a waiting request.
REPLICA_UTILITY = 0.3
# Time after which an unmet request for a replica is withdrawn, and the interval between checks.
REPLICA_WAIT_S = 1.0
REPLICA_CHECK_S = 0.05


@final
class ReplicaRequests:
    """Replicas that one gateway requests, at most one at a time for each adapter."""

    def __init__(self, table: UpstreamTable, demands: DemandTracker, log: JsonLogger) -> None:
        self._table = table
        self._demands = demands
        self._log = log
        self._requested: set[ModelAdapter] = set()

    def find_upstream(
        self, service: ServiceName, target: ModelAdapter, holder: UpstreamId
    ) -> UpstreamId | None:
        """Return the upstream that should load a replica, ``None`` if none is needed."""
        if (
            target in self._requested
            or self._demands.running_count(holder, target) < REPLICA_MIN_RUNNING
        ):
            return None
        return self._table.choose_replica_upstream(service, target, holder, time.monotonic())

    def is_requested(self, target: ModelAdapter) -> bool:
        """Return whether a replica of an adapter is requested now."""
        return target in self._requested

    async def request_replica(
        self, upstream_id: UpstreamId, target: ModelAdapter, utility: float = REPLICA_UTILITY
    ) -> None:
        """Request a replica from an upstream's agent until it is resident or the time is up."""
        self._requested.add(target)
        self._log.info("A replica was requested.", adapter=target.adapter, runner=upstream_id)
        until = time.monotonic() + REPLICA_WAIT_S
        waiter = Waiter(target, upstream_id, utility, until, asyncio.Event())
        self._demands.add_waiter(waiter)
        try:
            while time.monotonic() < until:
                view = self._table.views.get(upstream_id)
                if (
                    view is None
                    or target in view.resident
                    or not view.gate.may_send(time.monotonic())
                ):
                    return
                await asyncio.sleep(REPLICA_CHECK_S)
        finally:
            self._demands.remove_waiter(waiter)
            self._requested.discard(target)
