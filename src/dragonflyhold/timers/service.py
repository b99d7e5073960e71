"""Calls subscribers at their periods from one thread and reports pauses of the process.

Subscribers must return quickly: a slow one delays the others. Actors subscribe with a function
that sends themselves a message.
"""

import dataclasses
import threading
import time
from collections.abc import Callable
from typing import final

from absl import logging

# A longer gap between two rounds means that the process was paused (stopped or starved).
PAUSE_GAP_S = 2.0
MAX_SLEEP_S = 0.2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """One call of a subscriber.

    ``now`` is in seconds of the monotonic clock, ``paused_s`` is the length of a pause of the
    process that ended just before this tick, else 0.
    """

    now: float
    paused_s: float


@final
@dataclasses.dataclass(slots=True, eq=False)
class Subscription:
    """Handle of a subscriber; ``cancel`` ends its ticks."""

    period_s: float
    callback: Callable[[Tick], None]
    due: float
    pending_pause_s: float = 0.0
    cancelled: bool = False

    def cancel(self) -> None:
        """End the ticks; one that is being delivered is still completed."""
        self.cancelled = True


@final
class TimerService:
    """Delivers ticks from one daemon thread.

    Tests leave it unstarted and call ``run_due`` with their own clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._subscriptions: list[Subscription] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None
        self._last_round: float | None = None

    def subscribe(self, period_s: float, callback: Callable[[Tick], None]) -> Subscription:
        """Call ``callback`` every ``period_s`` seconds, first one period from now."""
        subscription = Subscription(period_s, callback, self._clock() + period_s)
        with self._lock:
            self._subscriptions.append(subscription)
        return subscription

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait for a tick that is being delivered."""
        self._stopped.set()
        if self._thread is not None and self._thread is not threading.current_thread():
            self._thread.join()

    def run_due(self, now: float) -> float:
        """Deliver all ticks due at ``now``; return the time of the next one."""
        gap = now - self._last_round if self._last_round is not None else 0.0
        self._last_round = now
        with self._lock:
            self._subscriptions = [sub for sub in self._subscriptions if not sub.cancelled]
            subscriptions = list(self._subscriptions)
        if gap > PAUSE_GAP_S:
            for subscription in subscriptions:
                subscription.pending_pause_s = gap
                subscription.due = now
        for subscription in subscriptions:
            if subscription.due <= now and not subscription.cancelled:
                self._deliver(subscription, now)
        return min((sub.due for sub in subscriptions), default=now + MAX_SLEEP_S)

    def _deliver(self, subscription: Subscription, now: float) -> None:
        tick = Tick(now, subscription.pending_pause_s)
        subscription.pending_pause_s = 0.0
        subscription.due = now + subscription.period_s
        try:
            subscription.callback(tick)
        except Exception:
            # One failing subscriber must not end the ticks of the others.
            logging.exception("timers: Subscriber failed.")

    def _run(self) -> None:
        while not self._stopped.is_set():
            next_due = self.run_due(self._clock())
            delay = min(max(next_due - self._clock(), 0.0), MAX_SLEEP_S)
            self._stopped.wait(delay)
