"""Watches whether the streams of one engine pause for longer than their clients accept."""

import dataclasses
from typing import final

# Half-life of the counts of streams.
HALF_LIFE_S = 60.0
# Streams with too long a pause, and their share of all, from which prompts are paced.
MIN_LATE_STREAMS = 6.0
MIN_LATE_SHARE = 0.1


@final
@dataclasses.dataclass(slots=True)
class PauseMonitor:
    """Decayed counts of the streams of one engine; times are monotonic seconds."""

    _streams: float = 0.0
    _late: float = 0.0
    _updated_at: float = 0.0

    def note_started(self, count: int, now: float) -> None:
        """Record streams that started."""
        self._decay(now)
        self._streams += count

    def note_late(self, now: float) -> None:
        """Record a stream that paused for too long."""
        self._decay(now)
        self._late += 1

    def is_critical(self, now: float) -> bool:
        """Return whether so many streams pause for too long that prompts should be paced."""
        self._decay(now)
        return self._late >= max(MIN_LATE_STREAMS, MIN_LATE_SHARE * self._streams)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = now
        self._streams *= factor
        self._late *= factor
