"""Batch, prefix cache and runs of the engine stand-in."""

import collections
import dataclasses
import hashlib
import heapq
import json
import re
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any, final

# Characters of a prompt per cache block.
BLOCK_CHARS = 64
CHARS_PER_TOKEN = 4
# Prefill rate of prompt tokens that are not cached.
PREFILL_TOKENS_PER_S = 8000.0
# Time per token of a stream in a full batch, as a multiple of that of a single stream.
FULL_BATCH_SLOWDOWN = 2.0
DEFAULT_MAX_TOKENS = 16
WAIT_POLL_S = 0.05

_CRASH_MARKER = re.compile(r"\[\[crash(?::(\d+))?\]\]")


@final
@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One execution of a request; ``state`` is running, done, cancelled or crashed."""

    number: int
    request_id: str
    model: str
    weights: str
    boot_id: str
    prompt: str
    max_tokens: int
    priority: int
    # Whether the run continues after a disconnect, so that its stream can be resumed.
    resumable: bool
    state: str = "running"
    # Number of pieces produced so far.
    produced: int = 0
    # The stream sends nothing more but stays open; the run continues.
    silenced: bool = False
    # The run has released its adapter.
    has_left: bool = False
    # Monotonic time in seconds at which the stream was last read.
    read_at: float = dataclasses.field(default_factory=time.monotonic)
    # Unix time in seconds.
    started_at: float = dataclasses.field(default_factory=time.time)

    @property
    def crash_after(self) -> int | None:
        """Number of pieces after which the prompt crashes the engine; ``None`` if it does not."""
        marker = _CRASH_MARKER.search(self.prompt)
        return int(marker[1] or 0) if marker else None

    @property
    def prompt_digest(self) -> str:
        """First 16 hexadecimal digits of the prompt's SHA-256."""
        return hashlib.sha256(self.prompt.encode()).hexdigest()[:16]

    def piece(self, index: int) -> str:
        """Return a piece of the answer; the first names the weights and the prompt."""
        if index:
            return f" t{index}"
        return f"[weights={self.weights} prompt={self.prompt_digest}]"

    def event(self, index: int) -> bytes:
        """Return a piece as a server-sent event."""
        choice = {"index": 0, "text": self.piece(index), "finish_reason": None}
        data = {"id": self.request_id, "object": "text_completion", "choices": [choice]}
        return b"data: " + json.dumps(data).encode() + b"\n\n"

    def to_json(self) -> dict[str, object]:
        """Return the run's journal entry."""
        names = ("number", "request_id", "model", "weights", "boot_id", "state", "produced")
        return {name: getattr(self, name) for name in (*names, "prompt_digest", "started_at")}


def make_run(
    number: int, request_id: str, weights: str, boot_id: str, data: Mapping[str, Any]
) -> Run:
    """Return a run for the body of a completion request."""
    return Run(
        number=number,
        request_id=request_id,
        model=str(data["model"]),
        weights=weights,
        boot_id=boot_id,
        prompt=str(data.get("prompt", "")),
        max_tokens=max(1, int(data.get("max_tokens") or DEFAULT_MAX_TOKENS)),
        priority=int(data.get("priority", 0)),
        resumable=bool(data.get("resumable", False)),
    )


@final
class Batch:
    """Continuous batch of a bounded number of runs; lower priority numbers enter first."""

    def __init__(self, limit: int, tokens_per_s: float) -> None:
        self.limit = limit
        self.tokens_per_s = tokens_per_s
        self.running = 0
        self._waiting: list[tuple[int, int]] = []
        self._changed = threading.Condition()

    @property
    def waiting(self) -> int:
        """Number of runs that wait for a batch slot."""
        return len(self._waiting)

    def enter(self, run: Run, is_cancelled: Callable[[], bool]) -> bool:
        """Wait for a batch slot; return ``False`` if the run was cancelled first."""
        queue_entry = (run.priority, run.number)
        with self._changed:
            heapq.heappush(self._waiting, queue_entry)
            while self.running >= self.limit or self._waiting[0] != queue_entry:
                self._changed.wait(WAIT_POLL_S)
                if is_cancelled():
                    self._waiting.remove(queue_entry)
                    heapq.heapify(self._waiting)
                    self._changed.notify_all()
                    return False
            heapq.heappop(self._waiting)
            self.running += 1
            self._changed.notify_all()
            return True

    def leave(self) -> None:
        """Release a batch slot."""
        with self._changed:
            self.running -= 1
            self._changed.notify_all()

    def token_duration_s(self) -> float:
        """Return the time per token of each stream at the current fill of the batch."""
        fill = max(0, self.running - 1) / max(1, self.limit - 1)
        return (1.0 + (FULL_BATCH_SLOWDOWN - 1.0) * fill) / self.tokens_per_s


@final
class PrefixCache:
    """Bounded LRU cache of prompt blocks, with delayed and incomplete events."""

    def __init__(self, capacity: int = 4096, event_lag_s: float = 0.5, gap_every: int = 7) -> None:
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        # Events whose sequence number is divisible by this are lost.
        self._gap_every = gap_every
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, dict[str, object]]] = collections.deque(
            maxlen=10_000
        )
        self._sequence = 0
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._blocks)

    def clear(self) -> None:
        """Remove all blocks, as on a restart."""
        with self._lock:
            self._blocks.clear()

    def prefill_duration_s(self, scope: str, prompt: str) -> float:
        """Store a prompt; return the prefill time of the part that was not cached."""
        blocks = _block_names(scope, prompt)
        with self._lock:
            cached = 0
            while cached < len(blocks) and blocks[cached] in self._blocks:
                cached += 1
            self._store(blocks)
        tokens = max(0, len(prompt) - cached * BLOCK_CHARS) / CHARS_PER_TOKEN
        return tokens / PREFILL_TOKENS_PER_S

    def export_blocks(self, scope: str, prompt: str) -> bytes:
        """Return the cached blocks of a prompt in serialized form."""
        with self._lock:
            cached_blocks = [name for name in _block_names(scope, prompt) if name in self._blocks]
        return json.dumps(cached_blocks).encode()

    def import_blocks(self, data: bytes) -> int:
        """Store exported blocks; return their number; raise ``ValueError``."""
        names = [str(name) for name in json.loads(data)]
        with self._lock:
            self._store(names)
        return len(names)

    def events(self, since: int) -> list[dict[str, object]]:
        """Return the events after sequence number ``since`` that are older than the lag."""
        with self._lock:
            visible_until = time.monotonic() - self._event_lag_s
            return [
                event
                for at, event in self._events
                if at <= visible_until and int(str(event["sequence"])) > since
            ]

    def _store(self, names: list[str]) -> None:
        for name in names:
            if name not in self._blocks:
                self._record("stored", name)
            self._blocks[name] = None
            self._blocks.move_to_end(name)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record("evicted", evicted)

    def _record(self, kind: str, block: str) -> None:
        self._sequence += 1
        if self._sequence % self._gap_every:
            event = {"sequence": self._sequence, "event": kind, "block": block}
            self._events.append((time.monotonic(), event))


def _block_names(scope: str, prompt: str) -> list[str]:
    names = []
    digest = hashlib.sha256(scope.encode())
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        names.append(digest.hexdigest()[:16])
    return names
