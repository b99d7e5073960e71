"""Health checks of the upstream, and claims of each new incarnation of an engine."""

import dataclasses
import threading
from collections.abc import Callable
from typing import final

from dragonflyhold.ids import BootId, Epoch
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.sidecar.ownership import FencingEpochStore
from dragonflyhold.upstreams.interface import (
    EngineClient,
    EngineStatus,
    PlainClient,
    StaleEpochError,
    UpstreamInterruptedError,
    UpstreamNotSentError,
    UpstreamStatusError,
)

_logger = ComponentLogger("sidecar")


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Result of one health check of the upstream.

    ``number`` counts the checks. ``status`` is ``None`` for plain services and if the upstream did
    not respond. ``refused`` means that the connection failed, as it does when the process has
    exited; an unresponsive process still accepts connections. ``epoch`` is the fencing epoch of
    this sidecar, 0 if an engine did not respond.
    """

    number: int
    is_up: bool
    refused: bool = False
    status: EngineStatus | None = None
    epoch: Epoch = Epoch(0)


@final
class Supervisor:
    """Checks the upstream periodically and on request, and reports each result."""

    def __init__(
        self,
        check: Callable[[int], Observation],
        report: Callable[[Observation], None],
        period_s: float,
    ) -> None:
        self._check = check
        self._report = report
        self._period_s = period_s
        self._started_checks = 0
        self._check_requested = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="supervision", daemon=True)

    @property
    def started_checks(self) -> int:
        """Number of the latest check that was started."""
        return self._started_checks

    def start(self) -> None:
        """Start the supervision thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the supervision thread; a check in progress is completed."""
        self._stopped = True
        self._check_requested.set()
        self._thread.join()

    def check_soon(self) -> int:
        """Request an immediate check; return the number of the latest check started before it."""
        started = self._started_checks
        self._check_requested.set()
        return started

    def _run(self) -> None:
        while not self._stopped:
            self._check_requested.clear()
            self._started_checks += 1
            try:
                self._report(self._check(self._started_checks))
            except Exception:
                _logger.exception("Health check of the upstream failed unexpectedly.")
            self._check_requested.wait(self._period_s)


@final
class EngineCheck:
    """Health check of an engine; claims each new incarnation before its status is reported."""

    def __init__(self, client: EngineClient, epoch_store: FencingEpochStore) -> None:
        self._client = client
        self._epoch_store = epoch_store
        self._claimed_boot: BootId | None = None
        self._claimed_epoch = Epoch(0)
        self._lock = threading.Lock()

    def invalidate_claim(self) -> None:
        """Claim again at the next check, because the engine rejected the epoch of this process."""
        with self._lock:
            self._claimed_boot = None

    def __call__(self, number: int) -> Observation:
        """Check the engine and return the result."""
        try:
            status = self._read_claimed()
        except UpstreamNotSentError as error:
            _logger.debug("Engine refuses connections.", error=error)
            return Observation(number, False, refused=True)
        except (UpstreamInterruptedError, UpstreamStatusError) as error:
            _logger.debug("Engine does not respond.", error=error)
            return Observation(number, False)
        return Observation(number, True, status=status, epoch=self._epoch_store.epoch)

    def _read_claimed(self) -> EngineStatus:
        status = self._client.status()
        with self._lock:
            claimed = self._claimed_boot
        if not self._epoch_store.is_stored and self._epoch_store.epoch:
            self._epoch_store.store()
        if status.boot_id == claimed and self._epoch_store.epoch == self._claimed_epoch:
            return status
        if not self._epoch_store.epoch or status.epoch >= self._epoch_store.epoch:
            self._epoch_store.raise_above(status.epoch)
        try:
            self._client.claim(self._epoch_store.epoch)
        except StaleEpochError:
            # The epoch of the engine was raised after its status was read.
            self._client.claim(self._epoch_store.raise_above(self._client.status().epoch))
        # This status includes the effects of commands that earlier owners sent before the claim.
        status = self._client.status()
        with self._lock:
            self._claimed_boot = status.boot_id
        self._claimed_epoch = self._epoch_store.epoch
        _logger.info("Claimed engine.", boot=status.boot_id, epoch=self._epoch_store.epoch)
        return status


@final
class PlainCheck:
    """Health check of a plain service."""

    def __init__(self, client: PlainClient, epoch_store: FencingEpochStore) -> None:
        self._client = client
        self._epoch_store = epoch_store

    def __call__(self, number: int) -> Observation:
        """Check the service and return the result."""
        if not self._epoch_store.epoch:
            self._epoch_store.raise_above(Epoch(0))
        elif not self._epoch_store.is_stored:
            self._epoch_store.store()
        is_up = self._client.is_healthy()
        return Observation(number, is_up, epoch=self._epoch_store.epoch)
