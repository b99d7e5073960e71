"""Stand-in for the weight store."""

import threading
from collections.abc import Mapping
from typing import Any, final

from dragonflyhold.standins.base import (
    DEFAULT_ADDRESS,
    Call,
    RateLimit,
    Response,
    StandIn,
    error_response,
    json_response,
)

LOADS_PER_S = 6.0
# Loads that can start immediately after an idle period.
LOAD_BURST = 3
# Duration of a load while at most ``MAX_FULL_SPEED_LOADS`` are in progress; beyond that, it
# grows in proportion to their number.
LOAD_DURATION_S = 0.25
MAX_FULL_SPEED_LOADS = 24


@final
class WeightStoreStandIn(StandIn):
    """Simulates slow weight loads; loads above the rate are delayed and count as in progress.

    Control: ``loads_per_s``, ``slow_factor``, ``fail`` (all loads) and ``fail_paths``.
    """

    name = "weights"

    def __init__(self, address: str = DEFAULT_ADDRESS, loads_per_s: float = LOADS_PER_S) -> None:
        # Each delayed load occupies a thread, and more must fit than can run at full speed.
        super().__init__(address, threads=4 * MAX_FULL_SPEED_LOADS)
        self._limit = RateLimit(loads_per_s, burst=LOAD_BURST)
        self._slow_factor = 1.0
        self._fail = False
        self._fail_paths: frozenset[str] = frozenset()
        self._lock = threading.Lock()
        self._loads_in_progress = 0
        self._counts = {"loads": 0, "failed": 0, "max_in_transit": 0}

    def handle(self, call: Call) -> Response:
        """Serve ``/v1/weights/<path>`` and ``/v1/counts``."""
        if call.path == "/v1/counts":
            return json_response({**self._counts, "in_transit": self._loads_in_progress})
        if not call.path.startswith("/v1/weights/"):
            return error_response(404, "not_found")
        path = call.key("/v1/weights/")
        with self._lock:
            self._loads_in_progress += 1
            loads_in_progress = self._loads_in_progress
            self._counts["loads"] += 1
            self._counts["max_in_transit"] = max(self._counts["max_in_transit"], loads_in_progress)
        try:
            slowdown = max(1.0, loads_in_progress / MAX_FULL_SPEED_LOADS)
            self.pause(self._limit.reserve() + LOAD_DURATION_S * slowdown * self._slow_factor)
        finally:
            with self._lock:
                self._loads_in_progress -= 1
        if self._fail or path in self._fail_paths:
            self._counts["failed"] += 1
            return error_response(500, "load_failed", path)
        return json_response({"path": path})

    def control(self, data: Mapping[str, Any]) -> object:
        """Set the rate, slowness and failures."""
        self._limit.rate_per_s = float(data.get("loads_per_s", self._limit.rate_per_s))
        self._slow_factor = float(data.get("slow_factor", self._slow_factor))
        self._fail = bool(data.get("fail", self._fail))
        self._fail_paths = frozenset(data.get("fail_paths", self._fail_paths))
        return super().control(data)
