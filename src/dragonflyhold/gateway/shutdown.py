"""Decides which requests a gateway still accepts during a planned stop."""

import dataclasses
from typing import final

# Time after the signal for which the platform may still hand over new connections: two failed
# readiness checks, one per second, and a margin. A request that is refused within it could come
# back to the same gateway.
ROTATION_S = 2.8
# Time before the end at which open requests are answered, so that their clients receive it.
ANSWER_MARGIN_S = 0.2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A stop in progress; times are monotonic seconds."""

    began_at: float
    # Time at which the connections that are still open are closed.
    ends_at: float

    @property
    def answers_by(self) -> float:
        """Return the time by which each request gets an answer, whatever its own limit."""
        return self.ends_at - ANSWER_MARGIN_S

    def accepts(self, now: float, limit_s: float) -> bool:
        """Return whether to accept a request that may take up to ``limit_s`` seconds.

        Once the gateway has left the rotation, a request whose answer could be cut off at the end
        is refused at once, so that its client reaches another gateway in time.
        """
        return now - self.began_at <= ROTATION_S or now + limit_s <= self.answers_by
