"""Detection of upstreams that accept work again after they reported leaving or down.

Sidecars report only on streams with open requests. An upstream that is not chosen has no such
stream, so without probes the recovery of its engine or sidecar would go unnoticed.
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

# Limits the duration of one round, whose probes run sequentially.
MAX_PROBES_PER_ROUND = 8

_log = ComponentLogger("entry")


@final
class RecoveryProbes:
    """Probes upstreams whose last reported state is leaving or down."""

    def __init__(self, router: Router, context: LinkContext) -> None:
        self._router = router
        self._context = context
        self._round_lock = threading.Lock()
        # Round-robin position, for when more upstreams are inactive than one round probes.
        self._next_index = 0

    def tick(self, tick: Tick) -> None:
        """Start a round in a thread unless the previous one is still running."""
        del tick
        if self._round_lock.acquire(blocking=False):
            threading.Thread(target=self._run_round, name="recovery", daemon=True).start()

    def _run_round(self) -> None:
        try:
            inactive = [
                summary.upstream
                for summary in self._router.upstreams()
                if summary.state is not UpstreamState.ACTIVE
                and summary.upstream.mode is UpstreamMode.ACTIVE
                and not summary.is_down
            ]
            self._probe_all(self._select(inactive))
        except Exception:
            _log.exception("Recovery probes failed; the next round continues.")
        finally:
            self._round_lock.release()

    def _select(self, inactive: list[Upstream]) -> list[Upstream]:
        start = self._next_index % len(inactive) if inactive else 0
        self._next_index = start + MAX_PROBES_PER_ROUND
        return [*inactive[start:], *inactive[:start]][:MAX_PROBES_PER_ROUND]

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
