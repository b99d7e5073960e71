"""Calls subscribers periodically from one thread and reports pauses of the process.

Callbacks must return quickly, because a slow one delays all others. Actors subscribe with a
callback that only sends them a message.
"""

import dataclasses
import threading
import time
from collections.abc import Callable
from typing import final

from absl import logging

# A longer gap between two calls of ``run_due`` means that the process was stopped or starved.
PAUSE_GAP_S = 2.0
# Subscribing does not wake the thread, so this bounds the delay of a first tick.
MAX_SLEEP_S = 0.2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Argument of a subscriber's callback.

    ``now`` is the time of the monotonic clock in seconds. ``paused_s`` is the length of a process
    pause since the previous tick, or 0 if there was none.
    """

    now: float
    paused_s: float


@final
@dataclasses.dataclass(slots=True, eq=False)
class Subscription:
    """Handle of a subscription; ``cancel`` ends it."""

    period_s: float
    callback: Callable[[Tick], None]
    due_at: float
    pending_pause_s: float = 0.0
    cancelled: bool = False

    def cancel(self) -> None:
        """End the subscription; a tick that is being delivered still completes."""
        self.cancelled = True


@final
class TimerService:
    """Delivers ticks from one daemon thread.

    Tests call ``run_due`` with a simulated clock and do not start the thread.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._subscriptions: list[Subscription] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None
        self._last_run_at: float | None = None

    def subscribe(self, period_s: float, callback: Callable[[Tick], None]) -> Subscription:
        """Call ``callback`` every ``period_s`` seconds, for the first time after one period."""
        subscription = Subscription(period_s, callback, self._clock() + period_s)
        with self._lock:
            self._subscriptions.append(subscription)
        return subscription

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for it; a tick that is being delivered completes."""
        self._stopped.set()
        if self._thread is not None and self._thread is not threading.current_thread():
            self._thread.join()

    def run_due(self, now: float) -> float:
        """Deliver all ticks that are due at ``now``; return when the next one is due."""
        gap = now - self._last_run_at if self._last_run_at is not None else 0.0
        self._last_run_at = now
        with self._lock:
            self._subscriptions = [sub for sub in self._subscriptions if not sub.cancelled]
            subscriptions = list(self._subscriptions)
        if gap > PAUSE_GAP_S:
            for subscription in subscriptions:
                subscription.pending_pause_s = gap
                subscription.due_at = now
        for subscription in subscriptions:
            if subscription.due_at <= now and not subscription.cancelled:
                self._deliver(subscription, now)
        return min((sub.due_at for sub in subscriptions), default=now + MAX_SLEEP_S)

    def _deliver(self, subscription: Subscription, now: float) -> None:
        tick = Tick(now, subscription.pending_pause_s)
        subscription.pending_pause_s = 0.0
        subscription.due_at = now + subscription.period_s
        try:
            subscription.callback(tick)
        except Exception:
            # A failing subscriber must not affect the others.
            logging.exception("timers: Subscriber raised an exception.")

    def _run(self) -> None:
        while not self._stopped.is_set():
            next_due_at = self.run_due(self._clock())
            delay = min(max(next_due_at - self._clock(), 0.0), MAX_SLEEP_S)
            self._stopped.wait(delay)
