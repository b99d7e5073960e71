"""Forwarding of sidecar reports and the VM list to the router."""

import threading
import time
from typing import Protocol, final

from dragonflyhold.entry.router import ReachabilityChanged, ReportReceived, Router, VmListRead
from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    Incarnation,
    Revision,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.routing import LoadSnapshot
from dragonflyhold.states import UpstreamState
from dragonflyhold.storage.interface import VmList, VmState
from dragonflyhold.timers import Tick
from dragonflyhold.transport.schema import sidecar_pb2 as pb

_log = ComponentLogger("entry")

_STATES: dict[int, UpstreamState] = {
    pb.UPSTREAM_STATE_ACTIVE: UpstreamState.ACTIVE,
    pb.UPSTREAM_STATE_LEAVING: UpstreamState.LEAVING,
    pb.UPSTREAM_STATE_DOWN: UpstreamState.DOWN,
}


class RevisionObserver(Protocol):
    """Receives the configuration revisions that other daemons announce."""

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Fetch the configuration if the revision is newer than the one in force."""


@final
class LinkObserver:
    """Converts events of upstream links into router messages."""

    def __init__(self, router: Router, revisions: RevisionObserver) -> None:
        self._router = router
        self._revisions = revisions

    def on_report(
        self, upstream: UpstreamName, incarnation: str, state: int, load: pb.LoadReport
    ) -> None:
        """Forward the state and load that a sidecar reported."""
        message = ReportReceived(
            upstream,
            Incarnation(incarnation),
            _STATES.get(state, UpstreamState.DOWN),
            snapshot_of(load),
            time.monotonic(),
        )
        self._router.record(message)

    def on_revision(self, revision: int, address: str) -> None:
        """Forward the configuration revision of a sidecar."""
        self._revisions.observe_revision(Revision(revision), address)

    def on_down(self, upstream: UpstreamName) -> None:
        """Mark an upstream as down after its probes failed."""
        self._router.record(ReachabilityChanged(upstream, False, time.monotonic()))

    def on_up(self, upstream: UpstreamName) -> None:
        """Mark an upstream as up after a successful probe."""
        self._router.record(ReachabilityChanged(upstream, True, time.monotonic()))


@final
class VmListReader:
    """Reads the VM list in a separate thread, so that an outage does not delay the timers."""

    def __init__(self, vm_list: VmList, router: Router) -> None:
        self._vm_list = vm_list
        self._router = router
        self._read_lock = threading.Lock()

    def tick(self, tick: Tick) -> None:
        """Start a read unless the previous one is still running."""
        del tick
        if self._read_lock.acquire(blocking=False):
            threading.Thread(target=self._read, name="vm-list", daemon=True).start()

    def _read(self) -> None:
        try:
            leaving = frozenset(
                UpstreamName(vm.upstream)
                for vm in self._vm_list.list()
                if vm.state is VmState.LEAVING and vm.upstream
            )
            self._router.record(VmListRead(leaving))
        except PlatformUnavailableError as error:
            # The previous list stays in use; refusals and probes still detect leaving upstreams.
            _log.debug("VM list could not be read; the previous one stays in use.", error=error)
        finally:
            self._read_lock.release()


def snapshot_of(load: pb.LoadReport) -> LoadSnapshot:
    """Convert a load report of a sidecar for the router."""
    resident = tuple(
        AdapterKey(ServiceName(ref.service), AdapterName(ref.adapter), Version(ref.version))
        for ref in load.resident
    )
    return LoadSnapshot(load.in_flight, load.queued, load.batch_limit, load.slots, resident)
