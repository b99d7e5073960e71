"""Probes engines whose agent's link was lost for silence: the whole VM may be frozen.

The kernel of a frozen VM still accepts connections, so only an answer shows that an engine runs.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.gateway.upstream_view import UpstreamView
from dragonflyhold.platform.engine import EngineUnavailableError, HttpEngineControl

# Interval between two probes of an engine.
PROBE_PERIOD_S = 0.5


@final
class SilentEngines:
    """Lets engines get requests again once they answer a probe."""

    def __init__(
        self,
        pool: ConnectionPool,
        vm: str,
        on_answer: Callable[[UpstreamId], None],
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._pool = pool
        self._vm = vm
        self._on_answer = on_answer
        self._clock = clock
        self._probes: dict[UpstreamId, asyncio.Task[None]] = {}
        self._probed_at: dict[UpstreamId, float] = {}

    def probe(self, views: Iterable[UpstreamView]) -> None:
        """Start the probes that are due; call often."""
        now = self._clock()
        for view in views:
            upstream_id = view.upstream.upstream_id
            if not view.lost_silently:
                self._probed_at.pop(upstream_id, None)
                continue
            is_due = now - self._probed_at.get(upstream_id, -PROBE_PERIOD_S) >= PROBE_PERIOD_S
            if is_due and upstream_id not in self._probes and view.gate.may_send(now):
                self._probed_at[upstream_id] = now
                task = asyncio.get_running_loop().create_task(self._probe(view))
                self._probes[upstream_id] = task

    def close(self) -> None:
        """Cancel all probes."""
        for task in self._probes.values():
            task.cancel()

    async def _probe(self, view: UpstreamView) -> None:
        upstream = view.upstream
        try:
            report = await HttpEngineControl(upstream.address, self._vm, self._pool).report()
        except EngineUnavailableError:
            return
        finally:
            del self._probes[upstream.upstream_id]
        if report.start_time_ms == upstream.start_time_ms:
            view.lost_silently = False
            self._on_answer(upstream.upstream_id)
