"""Delays after failed adapter loads."""

import random
from typing import final

from dragonflyhold.ids import AdapterKey
from dragonflyhold.settings.model import SlotSettings

# Share of the delay that is random, so that sidecars that failed together retry apart.
JITTER = 0.5
# Beyond this many doublings every delay is at its maximum.
MAX_DOUBLINGS = 32
# Failures are forgotten this many maximum delays after the adapter became ready again.
FORGET_DELAYS = 4


@final
class LoadBackoff:
    """Exponential delay per adapter; the failure of one adapter delays no other."""

    def __init__(self, settings: SlotSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        # Failures in a row and the time of the next attempt.
        self._failures: dict[AdapterKey, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._failures)

    def record_failure(self, key: AdapterKey, now: float) -> None:
        """Delay the next load of an adapter."""
        self._forget_old(now)
        count, _ = self._failures.get(key, (0, 0.0))
        doubled = self._settings.backoff_first_s * 2.0 ** min(count, MAX_DOUBLINGS)
        delay = min(doubled, self._settings.backoff_max_s)
        delay *= 1.0 - JITTER * self._rng.random()
        self._failures[key] = (count + 1, now + delay)

    def record_success(self, key: AdapterKey) -> None:
        """Forget the failures of an adapter."""
        self._failures.pop(key, None)

    def ready_at(self, key: AdapterKey) -> float:
        """Return the earliest time of the next load, 0 if there was no failure."""
        entry = self._failures.get(key)
        return entry[1] if entry is not None else 0.0

    def _forget_old(self, now: float) -> None:
        horizon = now - FORGET_DELAYS * self._settings.backoff_max_s
        old = [key for key, (_, ready) in self._failures.items() if ready < horizon]
        for key in old:
            del self._failures[key]
