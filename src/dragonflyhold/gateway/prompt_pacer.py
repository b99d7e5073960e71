"""Spaces the prompts that one engine reads, so that its running streams do not pause.

An engine reads prompts in chunks between the tokens of its running requests. Several prompts at
once fill many chunks in a row, and every stream there pauses until they are read. The agent grants
each request its start: the prompts that start within the longest pause that clients accept may take
at most ``WINDOW_SHARE`` of it. Does no I/O.
"""

import collections
import dataclasses
from collections.abc import Hashable
from typing import Generic, TypeVar, final

# Share of a window that may be spent on reading prompts.
WINDOW_SHARE = 0.6
# Time per prompt token that is assumed until it was measured.
DEFAULT_S_PER_TOKEN = 0.00005
# Measured times kept, and the quantile that is used: waits in the engine's queue make some longer,
# cached parts of prompts make some shorter.
MAX_SAMPLES = 32
SAMPLE_QUANTILE = 0.3
# Part of a measured time that does not depend on the prompt: the network and the engine's step.
READ_OVERHEAD_S = 0.02
# Shorter prompts say little about the time per token.
MIN_SAMPLE_TOKENS = 1000

Key = TypeVar("Key", bound=Hashable)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Prompt:
    tokens: int
    # Time from which the request starts even if its prompt delays streams.
    start_by: float


@final
class PromptPacer(Generic[Key]):
    """Requests that wait for their start at one engine; times are monotonic seconds."""

    def __init__(self) -> None:
        self._waiting: collections.OrderedDict[Key, _Prompt] = collections.OrderedDict()
        # Start times and tokens of the prompts in the current window.
        self._started: collections.deque[tuple[float, int]] = collections.deque()
        self._started_tokens = 0
        self._samples: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        self._window_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def s_per_token(self) -> float:
        """Return the estimated time in seconds to read one prompt token."""
        if not self._samples:
            return DEFAULT_S_PER_TOKEN
        return sorted(self._samples)[int(len(self._samples) * SAMPLE_QUANTILE)]

    def note_read(self, tokens: int, seconds: float) -> None:
        """Record the time from sending a prompt to the first byte of the response."""
        if tokens >= MIN_SAMPLE_TOKENS and seconds > READ_OVERHEAD_S:
            self._samples.append((seconds - READ_OVERHEAD_S) / tokens)

    def add(self, key: Key, tokens: int, max_pause_s: float, start_by: float) -> None:
        """Add a request whose stream may pause for ``max_pause_s`` at most."""
        self._window_s = min(self._window_s or max_pause_s, max_pause_s)
        self._waiting[key] = _Prompt(tokens, start_by)

    def remove(self, key: Key) -> None:
        """Remove a request that no longer waits."""
        self._waiting.pop(key, None)

    def start_due(self, now: float) -> list[Key]:
        """Return the requests that start now, in order of arrival."""
        self._forget_before(now - self._window_s)
        budget = WINDOW_SHARE * self._window_s / self.s_per_token
        due = []
        for key, prompt in list(self._waiting.items()):
            fits = not self._started or self._started_tokens + prompt.tokens <= budget
            if not fits and now < prompt.start_by:
                break
            del self._waiting[key]
            self._started.append((now, prompt.tokens))
            self._started_tokens += prompt.tokens
            due.append(key)
        return due

    def next_start_at(self) -> float | None:
        """Return the time of the next possible start, ``None`` if no request waits."""
        if not self._waiting:
            return None
        first = next(iter(self._waiting.values()))
        if not self._started:
            return first.start_by
        return min(self._started[0][0] + self._window_s, first.start_by)

    def _forget_before(self, time: float) -> None:
        while self._started and self._started[0][0] <= time:
            self._started_tokens -= self._started.popleft()[1]
