"""Tells from the messages of a VM whether it still runs.

An agent announces the longest gap between its messages; the more gateways it has, the longer that
gap. While requests of a gateway depend on a VM that is silent, the gateway pings its agent, so that
a frozen or unreachable VM is noticed as soon as with frequent heartbeats. A byte of a response of
the VM's engine counts as a message.
"""

import dataclasses
from typing import final

# Gap between messages that is assumed until the agent announces one: 1.5 periods of 50 ms.
DEFAULT_GAP_S = 0.075
# Silence of a VM on which requests depend after which its agent is pinged.
PING_AFTER_S = 0.06
# Time after a missed message or an unanswered ping from which the VM gets no new requests, and from
# which it counts as unreachable. The latter is longer than an engine step with a prompt chunk.
OVERDUE_S = 0.145
UNREACHABLE_S = 0.375


@final
@dataclasses.dataclass(slots=True)
class VmLiveness:
    """Signs of life of one VM; times are monotonic seconds."""

    heard_at: float = -1e9
    gap_s: float = DEFAULT_GAP_S
    pinged_at: float | None = None

    def note_heard(self, now: float) -> None:
        """Record a message of the agent or a byte of the engine."""
        self.heard_at = now
        self.pinged_at = None

    def needs_ping(self, now: float) -> bool:
        """Return whether to ping the agent of a VM on which requests depend."""
        return self.pinged_at is None and now - self.heard_at > PING_AFTER_S

    def note_ping(self, now: float) -> None:
        """Record a ping; the VM has to answer it at once."""
        self.pinged_at = now

    def is_overdue(self, now: float) -> bool:
        """Return whether a message is missing for so long that the VM may be frozen."""
        return self._missing_s(now) > OVERDUE_S

    def is_unreachable(self, now: float) -> bool:
        """Return whether a message is missing for so long that no response will arrive."""
        return self._missing_s(now) > UNREACHABLE_S

    def _missing_s(self, now: float) -> float:
        due = self.heard_at + self.gap_s
        if self.pinged_at is not None:
            due = min(due, self.pinged_at)
        return now - due
