"""Applies a schedule of faults to the processes and stand-ins of a deployment."""

import threading
import time
from collections.abc import Sequence
from typing import final

import urllib3

from dragonflyhold.demo.launcher import Deployment
from dragonflyhold.demo.processes import ManagedProcess
from dragonflyhold.faults.callers import DEADLINE_MS
from dragonflyhold.faults.schedule import (
    CrashEngine,
    Fault,
    FreezeProcess,
    KillProcess,
    SetStandInFault,
    StopProcess,
    TimedFault,
)
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.settings import AnswerSettings

# A graceful stop may last until the deadline of the last request plus the time for which an answer
# is kept for a disconnected caller. After that it is overdue, and the process is killed.
STOP_TIMEOUT_S = DEADLINE_MS / 1000 + AnswerSettings().detach_grace_s + 10.0

_logger = ComponentLogger("faults")


@final
class FaultInjector:
    """Applies faults, each in its own thread."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._threads: list[threading.Thread] = []
        self._stops: dict[str, list[tuple[float, float]]] = {}
        self.overdue_stops: list[str] = []

    @property
    def stops(self) -> dict[str, list[tuple[float, float]]]:
        """Per upstream: Unix times of each SIGTERM to its sidecar and of that process's exit."""
        return self._stops

    def run(self, schedule: Sequence[TimedFault]) -> None:
        """Apply the faults at their scheduled times; return once all have ended."""
        started = time.monotonic()
        for timed in schedule:
            time.sleep(max(0.0, started + timed.at_s - time.monotonic()))
            _logger.info("Fault.", at_s=round(timed.at_s, 1), fault=timed.fault)
            thread = threading.Thread(target=self._apply, args=(timed.fault,), daemon=True)
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()

    def _apply(self, fault: Fault) -> None:
        match fault:
            case KillProcess(name, down_s):
                process = self._process(name)
                process.kill()
                time.sleep(down_s)
                process.start()
            case FreezeProcess(name, down_s):
                process = self._process(name)
                process.suspend()
                time.sleep(down_s)
                process.resume()
            case StopProcess(name, down_s):
                self._stop_process(name, down_s)
            case SetStandInFault(name, faults, cleared, down_s):
                self._set(name, dict(faults))
                time.sleep(down_s)
                self._set(name, dict(cleared))
            case CrashEngine(upstream):
                self._set(upstream, {"crash": True})

    def _stop_process(self, name: str, down_s: float) -> None:
        process = self._process(name)
        stopped_at = time.time()
        process.terminate()
        if not process.wait(STOP_TIMEOUT_S):
            self.overdue_stops.append(name)
            process.kill()
        # A concurrent fault may have killed the process and started a new one in the meantime.
        ended_at = time.time()
        upstream = name.removeprefix("sidecar-")
        if upstream != name:
            self._stops.setdefault(upstream, []).append((stopped_at, ended_at))
        time.sleep(down_s)
        process.start()

    def _set(self, name: str, faults: dict[str, object]) -> None:
        try:
            self._deployment.set_fault(name, **faults)
        except urllib3.exceptions.HTTPError as error:
            _logger.error("Stand-in fault could not be set.", stand_in=name, error=error)

    def _process(self, name: str) -> ManagedProcess:
        deployment = self._deployment
        processes = [entry.process for entry in deployment.entries]
        processes += [sidecar.process for sidecar in deployment.sidecars.values()]
        return next(process for process in processes if process.name == name)
