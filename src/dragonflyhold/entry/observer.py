"""Passes what sidecars and the VM list report to the router."""

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
    """Learns revisions of other daemons."""

    def observe_revision(self, revision: Revision, address: str) -> None:
        """Catch up if the revision is newer."""


@final
class LinkObserver:
    """Turns reports of links into messages to the router."""

    def __init__(self, router: Router, revisions: RevisionObserver) -> None:
        self._router = router
        self._revisions = revisions

    def on_report(
        self, upstream: UpstreamName, incarnation: str, state: int, load: pb.LoadReport
    ) -> None:
        """Pass on the state and load that a sidecar reported."""
        message = ReportReceived(
            upstream,
            Incarnation(incarnation),
            _STATES.get(state, UpstreamState.DOWN),
            snapshot_of(load),
            time.monotonic(),
        )
        self._router.tell(message)

    def on_revision(self, revision: int, address: str) -> None:
        """Pass on the configuration revision of a sidecar."""
        self._revisions.observe_revision(Revision(revision), address)

    def on_down(self, upstream: UpstreamName) -> None:
        """Pass on that no probe was answered."""
        self._router.tell(ReachabilityChanged(upstream, False, time.monotonic()))

    def on_up(self, upstream: UpstreamName) -> None:
        """Pass on that a probe was answered."""
        self._router.tell(ReachabilityChanged(upstream, True, time.monotonic()))


@final
class VmListReader:
    """Reads the VM list in a thread of its own, so that an outage delays no tick."""

    def __init__(self, vm_list: VmList, router: Router) -> None:
        self._vm_list = vm_list
        self._router = router
        self._busy = threading.Lock()

    def tick(self, tick: Tick) -> None:
        """Start to read, unless the last reading has not ended."""
        del tick
        if self._busy.acquire(blocking=False):
            threading.Thread(target=self._read, name="vm-list", daemon=True).start()

    def _read(self) -> None:
        try:
            leaving = frozenset(
                UpstreamName(vm.upstream)
                for vm in self._vm_list.list()
                if vm.state is VmState.LEAVING and vm.upstream
            )
            self._router.tell(VmListRead(leaving))
        except PlatformUnavailableError as error:
            # The last list stays in use; refusals and probes decide meanwhile.
            _log.debug("VM list not read.", error=error)
        finally:
            self._busy.release()


def snapshot_of(load: pb.LoadReport) -> LoadSnapshot:
    """Return a load report as the router's data class."""
    resident = tuple(
        AdapterKey(ServiceName(ref.service), AdapterName(ref.adapter), Version(ref.version))
        for ref in load.resident
    )
    return LoadSnapshot(load.in_flight, load.queued, load.batch_limit, load.slots, resident)
