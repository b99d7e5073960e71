"""Metrics of a daemon, held in a separate ``aioprometheus`` registry.

Every metric is declared here, once and with its unit, so that the operators' documentation can list
them all.
"""

import threading
from typing import final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

SECONDS_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.93, 2.0, 5.0, 15.0, 60.0]
FILL_BUCKETS = [0.1, 0.25, 0.5, 0.75, 0.9, 1.0]


@final
class Metrics:
    """All metrics of one daemon; thread-safe."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._lock = threading.Lock()
        reg = self._registry
        name = "dragonflyhold_"
        self._requests = Counter(name + "requests_total", "Requests by outcome.", registry=reg)
        self._refusals = Counter(name + "refusals_total", "Refusals by code.", registry=reg)
        self._retries = Counter(name + "retries_total", "Retries by reason.", registry=reg)
        self._events = Counter(name + "events_total", "Other events by name.", registry=reg)
        self._gauges = Gauge(name + "level", "Current levels by name.", registry=reg)
        self._stall = Histogram(
            name + "load_stall_seconds",
            "Time requests waited for an adapter load, in seconds.",
            registry=reg,
            buckets=SECONDS_BUCKETS,
        )
        self._first_token = Histogram(
            name + "first_token_seconds",
            "Time from arrival to the first piece, in seconds.",
            registry=reg,
            buckets=SECONDS_BUCKETS,
        )
        self._pause = Histogram(
            name + "longest_pause_seconds",
            "Longest time between two pieces of an answer, in seconds.",
            registry=reg,
            buckets=SECONDS_BUCKETS,
        )
        self._dispatch_wait = Histogram(
            name + "place_wait_seconds",
            "Time from arrival to the first runner without the wait for an adapter, in seconds.",
            registry=reg,
            buckets=SECONDS_BUCKETS,
        )
        self._store_call = Histogram(
            name + "store_call_seconds",
            "Time of a call to the store by its kind, in seconds.",
            registry=reg,
            buckets=SECONDS_BUCKETS,
        )
        self._fill = Histogram(
            name + "batch_fill_ratio",
            "In-flight requests over the batch limit.",
            registry=reg,
            buckets=FILL_BUCKETS,
        )

    def count_request(self, kind: str, outcome: str) -> None:
        """Count a completed request by kind and outcome."""
        with self._lock:
            self._requests.inc({"kind": kind, "outcome": outcome})

    def count_refusal(self, code: str) -> None:
        """Count a refusal by error code."""
        with self._lock:
            self._refusals.inc({"code": code})

    def count_retry(self, reason: str) -> None:
        """Count a retry by reason."""
        with self._lock:
            self._retries.inc({"reason": reason})

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count any other event, such as a load, an eviction or a probe."""
        with self._lock:
            self._events.add({"event": event}, amount)

    def set_level(self, name: str, value: float) -> None:
        """Set a gauge, such as the queue length."""
        with self._lock:
            self._gauges.set({"name": name}, value)

    def observe_load_stall(self, kind: str, seconds: float) -> None:
        """Record how long a request waited for an adapter load."""
        with self._lock:
            self._stall.observe({"kind": kind}, seconds)

    def observe_first_token(self, kind: str, seconds: float) -> None:
        """Record the time from arrival to the first piece of the answer."""
        with self._lock:
            self._first_token.observe({"kind": kind}, seconds)

    def observe_longest_pause(self, seconds: float) -> None:
        """Record the longest time between two pieces of an answer."""
        with self._lock:
            self._pause.observe({}, seconds)

    def observe_dispatch_wait(self, seconds: float) -> None:
        """Record the wait of a request for an upstream, excluding the wait for its adapter."""
        with self._lock:
            self._dispatch_wait.observe({}, seconds)

    def observe_store_call(self, kind: str, seconds: float) -> None:
        """Record the duration of a call to the store by kind."""
        with self._lock:
            self._store_call.observe({"kind": kind}, seconds)

    def observe_batch_fill(self, ratio: float) -> None:
        """Record the fill ratio of the engine's batch, 0 to 1."""
        with self._lock:
            self._fill.observe({}, ratio)

    def render(self) -> tuple[bytes, str]:
        """Return the exposition text and its content type."""
        with self._lock:
            body, headers = render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]
