"""Stand-in for the platform's transactional table."""

import base64
import bisect
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

DEFAULT_LIMIT = 1000
# Documented rate limits of the platform's table.
WRITES_PER_S = 400.0
READS_PER_S = 2000.0


@final
class TableStandIn(StandIn):
    """Serves versioned rows with conditional transactions and rate limits."""

    name = "table"

    def __init__(
        self,
        address: str = DEFAULT_ADDRESS,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
    ) -> None:
        super().__init__(address)
        self._rows: dict[str, tuple[int, str]] = {}
        self._keys: list[str] = []
        self._lock = threading.Lock()
        self._writes = RateLimit(writes_per_s, burst=writes_per_s)
        self._reads = RateLimit(reads_per_s, burst=reads_per_s)
        self._counts = {"reads": 0, "writes": 0}

    def handle(self, call: Call) -> Response:
        """Serve ``/v1/rows``, ``/v1/transactions`` and ``/v1/counts``."""
        if call.path == "/v1/counts":
            return json_response(self._counts)
        if call.path == "/v1/transactions" and call.method == "POST":
            return self._transact(call.json())
        if call.method != "GET" or not call.path.startswith("/v1/rows"):
            return error_response(404, "not_found")
        if not self._reads.take():
            return error_response(429, "rate_limited")
        with self._lock:
            self._counts["reads"] += 1
            if call.path == "/v1/rows":
                return self._read_prefix(call.query)
            key = call.key("/v1/rows/")
            return json_response(self._row(key)) if key in self._rows else error_response(404, key)

    def _row(self, key: str) -> dict[str, object]:
        version, value = self._rows[key]
        return {"key": key, "version": version, "value": value}

    def _read_prefix(self, query: Mapping[str, str]) -> Response:
        prefix = query.get("prefix", "")
        after = query.get("start_after", "")
        limit = int(query.get("limit", DEFAULT_LIMIT))
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        keys = self._keys[start : start + limit]
        return json_response({"rows": [self._row(key) for key in keys if key.startswith(prefix)]})

    def _transact(self, data: Mapping[str, Any]) -> Response:
        puts = [(put["key"], put["value"]) for put in data["puts"]]
        for _, value in puts:
            base64.b64decode(value, validate=True)
        if not self._writes.take(len(puts)):
            return error_response(429, "rate_limited")
        with self._lock:
            for condition in data["conditions"]:
                key, expected = condition["key"], condition["version"]
                current = self._rows.get(key, (0, ""))[0]
                if current != expected:
                    conflict = {"key": key, "expected": expected, "current": current}
                    return json_response(conflict, 409)
            for key, value in puts:
                self._put(key, value)
        return json_response({})

    def _put(self, key: str, value: str) -> None:
        version = self._rows.get(key, (0, ""))[0]
        if version == 0:
            bisect.insort(self._keys, key)
        self._rows[key] = (version + 1, value)
        self._counts["writes"] += 1
