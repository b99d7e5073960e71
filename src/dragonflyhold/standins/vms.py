"""Stand-in for the platform's list of VMs."""

import threading
import time
from collections.abc import Mapping
from typing import Any, final

from dragonflyhold.standins.base import (
    DEFAULT_ADDRESS,
    Call,
    Response,
    StandIn,
    error_response,
    json_response,
)


@final
class VmListStandIn(StandIn):
    """Serves a list of VMs in which each change appears only after a lag.

    Control: ``vms`` replaces the list, ``lag_s`` sets the lag, ``vm`` replaces the entry of the
    same name.
    """

    name = "vms"

    def __init__(self, address: str = DEFAULT_ADDRESS, lag_s: float = 0.0) -> None:
        super().__init__(address)
        self._lag_s = lag_s
        self._lock = threading.Lock()
        # Monotonic time of each change and the list since then.
        self._history: list[tuple[float, list[Mapping[str, Any]]]] = [(float("-inf"), [])]

    def handle(self, call: Call) -> Response:
        """Serve ``/v1/vms``."""
        if call.path != "/v1/vms" or call.method != "GET":
            return error_response(404, "not_found")
        with self._lock:
            visible_until = time.monotonic() - self._lag_s
            while len(self._history) > 1 and self._history[1][0] <= visible_until:
                del self._history[0]
            return json_response({"vms": self._history[0][1]})

    def control(self, data: Mapping[str, Any]) -> object:
        """Set the list, the lag and faults."""
        with self._lock:
            self._lag_s = float(data.get("lag_s", self._lag_s))
            latest = self._history[-1][1]
            if "vms" in data:
                latest = list(data["vms"])
            if "vm" in data:
                others = [vm for vm in latest if vm["name"] != data["vm"]["name"]]
                latest = [*others, data["vm"]]
            if latest is not self._history[-1][1]:
                self._history.append((time.monotonic(), latest))
        return super().control(data)
