"""Periodic calls to the platform: reading the VM list and storing quarantined requests."""

import threading
from collections.abc import Callable
from typing import final

from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.ids import Fingerprint
from dragonflyhold.observability import ComponentLogger, Metrics
from dragonflyhold.requests import CrashTable
from dragonflyhold.settings import SidecarSettings
from dragonflyhold.storage.interface import Condition, Put, Table, VmList, VmState

_KEY_PREFIX = "quarantine/"
_PAGE_ROWS = 1000

_logger = ComponentLogger("sidecar")


@final
class SingleFlight:
    """Runs a function in a worker thread unless an earlier run is still in progress."""

    def __init__(
        self, function: Callable[[], None], submit: Callable[[Callable[[], object]], None]
    ) -> None:
        self._function = function
        self._submit = submit
        self._running = threading.Lock()

    def __call__(self, *args: object) -> None:
        """Start a run if none is in progress."""
        if self._running.acquire(blocking=False):
            self._submit(self._run)

    def _run(self) -> None:
        try:
            self._function()
        except Exception:
            _logger.exception("Periodic call failed.")
        finally:
            self._running.release()


@final
class VmWatch:
    """Reports whether the VM list shows this VM as leaving."""

    def __init__(
        self, vms: VmList, settings: SidecarSettings, report: Callable[[bool], None]
    ) -> None:
        self._vms = vms
        self._settings = settings
        self._report = report

    def poll(self) -> None:
        """Read the VM list once; during an outage the last reported state holds."""
        host = self._settings.grpc_address.rpartition(":")[0].strip("[]")
        try:
            vms = self._vms.list()
        except PlatformUnavailableError as error:
            _logger.debug("VM list is unavailable.", error=error)
            return
        # A replacement VM hosts the same upstream under another address.
        own_vms = [
            vm for vm in vms if vm.upstream == self._settings.upstream.name and vm.address == host
        ]
        if own_vms:
            self._report(all(vm.state is VmState.LEAVING for vm in own_vms))


@final
class QuarantineStore:
    """Stores confirmed fingerprints in the table, and loads the stored ones after the start."""

    def __init__(self, table: Table, crashes: CrashTable, metrics: Metrics) -> None:
        self._table = table
        self._crashes = crashes
        self._metrics = metrics
        self._start_after = ""
        self._is_loaded = False

    def poll(self) -> None:
        """Store new fingerprints; those that fail during an outage are stored by a later call."""
        try:
            for fingerprint in self._crashes.unstored():
                self._store(fingerprint)
            if not self._is_loaded:
                self._load()
        except PlatformUnavailableError as error:
            _logger.debug("Table is unavailable.", error=error)

    def _store(self, fingerprint: Fingerprint) -> None:
        key = _KEY_PREFIX + fingerprint.hex()
        try:
            self._table.write([Condition(key, 0)], [Put(key, b"{}")])
        except ConditionFailedError:
            _logger.debug("Quarantine row already exists.", key=key)
        self._crashes.mark_stored(fingerprint)
        self._metrics.count_event("quarantine_stored")

    def _load(self) -> None:
        while True:
            rows = self._table.read_prefix(_KEY_PREFIX, self._start_after, _PAGE_ROWS)
            self._crashes.confirm(
                Fingerprint(fingerprint) for row in rows if (fingerprint := _parse_key(row.key))
            )
            if len(rows) < _PAGE_ROWS:
                break
            self._start_after = rows[-1].key
        self._is_loaded = True


def _parse_key(key: str) -> bytes:
    try:
        return bytes.fromhex(key.removeprefix(_KEY_PREFIX))
    except ValueError:
        _logger.error("Ignoring a quarantine row: its key is not hexadecimal.", key=key)
        return b""
