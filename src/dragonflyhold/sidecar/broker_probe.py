"""Probes the process that this sidecar considers the load broker."""

import threading
from collections.abc import Callable
from typing import final

import grpc

from dragonflyhold.config.objects import Upstream
from dragonflyhold.settings import TlsSettings
from dragonflyhold.sidecar.budget import ACQUIRE_TIMEOUT_S, BrokerDirectory
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2_grpc

# Minimum time between two probes.
PROBE_PERIOD_S = 1.0


@final
class BrokerProbe:
    """Probes the broker when another sidecar sends load requests to this one instead.

    A broker that does not respond is excluded, so that this process can take over from it.
    """

    def __init__(
        self,
        directory: BrokerDirectory,
        tls: TlsSettings,
        submit: Callable[[Callable[[], object]], None],
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._tls = tls
        self._submit = submit
        self._clock = clock
        self._next_probe_at = 0.0
        self._lock = threading.Lock()

    def check(self, broker: Upstream) -> None:
        """Probe the broker in a worker thread, at most once per ``PROBE_PERIOD_S``."""
        now = self._clock()
        with self._lock:
            if now < self._next_probe_at:
                return
            self._next_probe_at = now + PROBE_PERIOD_S
        self._submit(lambda: self._probe(broker))

    def _probe(self, broker: Upstream) -> None:
        channel = make_channel(broker.sidecar_address, self._tls)
        try:
            stub = sidecar_pb2_grpc.SidecarStub(channel)
            stub.Probe(pb.ProbeRequest(), timeout=ACQUIRE_TIMEOUT_S)
        except grpc.RpcError:
            self._directory.exclude(broker.name, self._clock())
        finally:
            channel.close()
