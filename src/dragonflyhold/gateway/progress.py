"""Progress of a request, and the limits on the silence of its upstream."""

import dataclasses
from typing import final

from dragonflyhold.gateway.model import SoftwareVersion, UpstreamId
from dragonflyhold.gateway.stream_origins import StreamOrigin
from dragonflyhold.gateway.upstream_view import UpstreamView

# Silence of an upstream after which a request may fail over, before the first byte and later on. A
# multiple of the upstream's average time to the first byte is added. Engines under load pause for
# several hundred milliseconds, and after a fail-over another engine processes the prompt again.
FIRST_SILENCE_S = 0.5
FIRST_SILENCE_RATIO = 6.0
PAUSE_SILENCE_S = 1.0
PAUSE_SILENCE_RATIO = 4.0
# Pause between two attempts at successors of a silent upstream; it doubles each time.
SUCCESSOR_PAUSE_S = 0.1
# Upper bound of the time per prompt token; the slowest engine type takes 26 microseconds.
PREFILL_S_PER_TOKEN = 0.00004


@final
@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a request; logged at its end."""

    received_at: float
    # Attempts that failed, and refusals by upstreams.
    attempts: int = 0
    refusals: int = 0
    # Total time spent waiting for the adapter.
    waited_s: float = 0.0
    # Time spent waiting for the engine's turn to read the prompt.
    paced_s: float = 0.0
    first_byte_s: float | None = None
    # Time from arrival to the first sending, without the wait for an adapter.
    dispatch_wait_s: float | None = None
    # Longest time between two pieces of the response, including a change of upstream.
    longest_pause_s: float | None = None
    last_piece_at: float | None = None
    # Time at which the request was last sent to an upstream.
    last_sent_at: float | None = None
    upstream: UpstreamId | None = None
    # What began the stream, ``None`` before its first event.
    origin: StreamOrigin | None = None
    # Monotonic time of its first event, as long as another incarnation may have begun it.
    unsure_since: float | None = None
    # Software of the upstream of each run that brought events of the stream.
    software: list[SoftwareVersion | None] = dataclasses.field(default_factory=list)
    # What allowed the request within its account's limit, ``None`` without a limit.
    limit_decided_by: str | None = None
    # Upstreams on which an attempt failed or that refused the request.
    tried: set[UpstreamId] = dataclasses.field(default_factory=set)
    # Monotonic time before which no further successor is tried, and the pause after the next one.
    successor_at: float = -1e9
    successor_pause_s: float = SUCCESSOR_PAUSE_S

    def note_successor(self, now: float) -> None:
        """Record that the request is sent to a successor of its silent upstream."""
        self.successor_at = now + self.successor_pause_s
        self.successor_pause_s *= 2

    def note_sent(self, now: float) -> None:
        """Record that the request is sent to an upstream."""
        self.last_sent_at = now
        if self.dispatch_wait_s is None:
            self.dispatch_wait_s = max(0.0, now - self.received_at - self.waited_s - self.paced_s)

    def note_piece(self, now: float) -> None:
        """Record a piece of the response."""
        if self.last_piece_at is not None:
            self.longest_pause_s = max(self.longest_pause_s or 0.0, now - self.last_piece_at)
        self.last_piece_at = now


def silence_limit(view: UpstreamView, prompt_tokens: int, first: bool) -> float:
    """Return the silence of an upstream, in seconds, after which a request may fail over."""
    if first:
        prefill_s = prompt_tokens * PREFILL_S_PER_TOKEN
        return FIRST_SILENCE_S + FIRST_SILENCE_RATIO * view.first_byte_s + prefill_s
    return PAUSE_SILENCE_S + PAUSE_SILENCE_RATIO * view.first_byte_s
