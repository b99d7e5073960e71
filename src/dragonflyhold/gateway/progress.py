"""What has happened to a request, and how long a runner may be silent about it."""

import dataclasses
from typing import final

from dragonflyhold.gateway.dispatch import UpstreamView
from dragonflyhold.gateway.model import UpstreamId

# Silence of a runner after which an answer that may be had elsewhere counts as lost: before the
# first byte and between two, each with a multiple of the runner's mean time to the first byte.
# Loaded engines pause for several hundred ms, and a run left too early is read anew elsewhere.
FIRST_SILENCE_S = 0.5
FIRST_SILENCE_RATIO = 6.0
PAUSE_SILENCE_S = 1.0
PAUSE_SILENCE_RATIO = 4.0
# Time for a token of the prompt, above the engines' figures on the sheets (26 us at the slower).
PREFILL_S_PER_TOKEN = 0.00004


@final
@dataclasses.dataclass(slots=True)
class Progress:
    """What has happened to a request so far; logged at its end."""

    received_at: float
    attempts: int = 0
    refusals: int = 0
    waited_s: float = 0.0
    first_byte_s: float | None = None
    # Time from arrival to the first runner, the wait for an adapter apart.
    dispatch_wait_s: float | None = None
    # Longest time between two pieces of the answer, over all its runners.
    longest_pause_s: float | None = None
    last_piece_at: float | None = None
    upstream: UpstreamId | None = None
    tried: set[UpstreamId] = dataclasses.field(default_factory=set)

    def note_sent(self, now: float) -> None:
        """Note that the request is handed to a runner."""
        if self.dispatch_wait_s is None:
            self.dispatch_wait_s = max(0.0, now - self.received_at - self.waited_s)

    def note_piece(self, now: float) -> None:
        """Note a piece of the answer."""
        if self.last_piece_at is not None:
            self.longest_pause_s = max(self.longest_pause_s or 0.0, now - self.last_piece_at)
        self.last_piece_at = now


def silence_limit(view: UpstreamView, prompt_tokens: int, first: bool) -> float:
    """Return how long, in seconds, a runner may be silent before its answer counts as lost."""
    if first:
        prefill_s = prompt_tokens * PREFILL_S_PER_TOKEN
        return FIRST_SILENCE_S + FIRST_SILENCE_RATIO * view.first_byte_s + prefill_s
    return PAUSE_SILENCE_S + PAUSE_SILENCE_RATIO * view.first_byte_s
