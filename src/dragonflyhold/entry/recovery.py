"""Finds out when upstreams that reported that they take no work take work again.

Sidecars report on streams with open requests only. An upstream that is never chosen has none, so
nothing would tell that its engine or its sidecar came back.
"""

import threading
from collections.abc import Iterable
from typing import final

import grpc

from dragonflyhold.config.objects import Upstream
from dragonflyhold.entry.router import Router
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.states import UpstreamMode, UpstreamState
from dragonflyhold.timers import Tick
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2_grpc as pb_grpc
from dragonflyhold.transport.upstream_stream import LinkContext

# Upper bound on the probes of one round, which run one after the other.
MAX_PROBES = 8

_log = ComponentLogger("entry")


@final
class RecoveryProbes:
    """Probes upstreams whose last report was that they are leaving or down."""

    def __init__(self, router: Router, context: LinkContext) -> None:
        self._router = router
        self._context = context
        self._busy = threading.Lock()
        # Takes turns when more upstreams are out than one round probes.
        self._first = 0

    def tick(self, tick: Tick) -> None:
        """Start a round, unless the last one has not ended."""
        del tick
        if self._busy.acquire(blocking=False):
            threading.Thread(target=self._run, name="recovery", daemon=True).start()

    def _run(self) -> None:
        try:
            waiting = [
                row.upstream
                for row in self._router.upstreams()
                if row.state is not UpstreamState.ACTIVE
                and row.upstream.mode is UpstreamMode.ACTIVE
                and not row.is_down
            ]
            self._probe_all(self._turn(waiting))
        except Exception:
            _log.exception("Probes failed.")
        finally:
            self._busy.release()

    def _turn(self, waiting: list[Upstream]) -> list[Upstream]:
        first = self._first % len(waiting) if waiting else 0
        self._first = first + MAX_PROBES
        return [*waiting[first:], *waiting[:first]][:MAX_PROBES]

    def _probe_all(self, upstreams: Iterable[Upstream]) -> None:
        for upstream in upstreams:
            reply = self._probe(upstream)
            if reply is not None:
                self._context.listener.on_report(
                    upstream.name, reply.incarnation, reply.state, reply.load
                )

    def _probe(self, upstream: Upstream) -> pb.ProbeReply | None:
        context = self._context
        context.metrics.count_event("probe")
        request = pb.ProbeRequest(entry=context.hello.entry)
        channel = make_channel(upstream.sidecar_address, context.tls)
        try:
            reply: pb.ProbeReply = pb_grpc.SidecarStub(channel).Probe(
                request, timeout=context.settings.probe_timeout_s
            )
        except grpc.RpcError:
            context.metrics.count_event("probe_failed")
            return None
        finally:
            channel.close()
        return reply
