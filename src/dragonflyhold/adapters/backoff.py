"""Backoff after failed adapter loads."""

import random
from typing import final

from dragonflyhold.ids import AdapterKey
from dragonflyhold.settings.model import SlotSettings

# Random share of each delay, so that sidecars whose loads failed together do not retry together.
JITTER_SHARE = 0.5
# Limits the exponent; with this many doublings every delay is at its maximum.
MAX_DOUBLINGS = 32
# Number of maximum delays, counted from the next permitted attempt, after which the failures of an
# adapter are removed.
RESET_AFTER_MAX_DELAYS = 4


@final
class LoadBackoff:
    """Exponential backoff per adapter; a failure of one adapter does not delay the others."""

    def __init__(self, settings: SlotSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        # Number of consecutive failures and the time of the next permitted attempt.
        self._failures: dict[AdapterKey, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._failures)

    def record_failure(self, key: AdapterKey, now: float) -> None:
        """Record a failed load and delay the next load of the adapter."""
        self._remove_old(now)
        count, _ = self._failures.get(key, (0, 0.0))
        doubled = self._settings.backoff_first_s * 2.0 ** min(count, MAX_DOUBLINGS)
        delay = min(doubled, self._settings.backoff_max_s)
        delay *= 1.0 - JITTER_SHARE * self._rng.random()
        self._failures[key] = (count + 1, now + delay)

    def record_success(self, key: AdapterKey) -> None:
        """Remove the failures of an adapter."""
        self._failures.pop(key, None)

    def ready_at(self, key: AdapterKey) -> float:
        """Return the earliest time of the next load, 0 if no failure is recorded."""
        failure = self._failures.get(key)
        return failure[1] if failure is not None else 0.0

    def _remove_old(self, now: float) -> None:
        cutoff = now - RESET_AFTER_MAX_DELAYS * self._settings.backoff_max_s
        old = [key for key, (_, ready) in self._failures.items() if ready < cutoff]
        for key in old:
            del self._failures[key]
