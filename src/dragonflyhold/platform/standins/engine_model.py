"""The speed of a model engine: steps, batches, prompts read in pieces, and loads of adapters."""

import asyncio
import collections
import dataclasses
from collections.abc import AsyncIterator
from typing import final

# Tokens of prompts that are read in one step besides the batch.
PREFILL_CHUNK = 512


@final
@dataclasses.dataclass(slots=True)
class EngineTiming:
    """Figures of one kind of engine; times in seconds."""

    batch: int
    step_s: float
    # Requests in a batch at which a step takes twice as long.
    batch_doubling: float
    prefill_tokens_per_s: float
    tokens_per_event: int
    load_s: float
    host_cached_load_s: float
    # Adapters of which the VM keeps copies.
    max_host_cached: int
    # Multiple of all times, for engines that work slowly.
    slowdown: float = 1.0


@final
class WeightStore:
    """The store that all engines of a site load adapters from."""

    def __init__(self, full_speed_loads: int) -> None:
        self.in_transit = 0
        self.most_in_transit = 0
        self._full_speed_loads = full_speed_loads

    async def load(self, seconds: float) -> None:
        """Wait for a load; beyond the full-speed number each takes longer in proportion."""
        self.in_transit += 1
        self.most_in_transit = max(self.most_in_transit, self.in_transit)
        try:
            await asyncio.sleep(seconds * max(1.0, self.in_transit / self._full_speed_loads))
        finally:
            self.in_transit -= 1


@final
@dataclasses.dataclass(slots=True, eq=False)
class _Run:
    prompt_left: int
    tokens: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@final
class EngineModel:
    """Works on the runs of one engine, step by step."""

    def __init__(self, timing: EngineTiming, store: WeightStore) -> None:
        self.timing = timing
        self.store_loads = 0
        self.host_cached_loads = 0
        self._store = store
        self._runs: list[_Run] = []
        self._waiting: collections.deque[_Run] = collections.deque()
        self._host_cached: dict[str, None] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Return the requests in the batch."""
        return len(self._runs)

    @property
    def waiting(self) -> int:
        """Return the requests that wait for the batch."""
        return len(self._waiting)

    async def generate(self, prompt_tokens: int, events: int) -> AsyncIterator[None]:
        """Read a prompt and yield once for each event of the answer."""
        run = _Run(max(1, prompt_tokens))
        self._waiting.append(run)
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._work())
        try:
            for number in range(1, events + 1):
                while run.tokens < number * self.timing.tokens_per_event:
                    run.changed.clear()
                    await run.changed.wait()
                yield
        finally:
            if run in self._runs:
                self._runs.remove(run)
            elif run in self._waiting:
                self._waiting.remove(run)

    async def load(self, adapter: str) -> None:
        """Wait until an adapter is there."""
        if adapter in self._host_cached:
            self.host_cached_loads += 1
            await asyncio.sleep(self.timing.host_cached_load_s * self.timing.slowdown)
        else:
            self.store_loads += 1
            await self._store.load(self.timing.load_s * self.timing.slowdown)
        self._host_cached.pop(adapter, None)
        self._host_cached[adapter] = None
        while len(self._host_cached) > self.timing.max_host_cached:
            del self._host_cached[next(iter(self._host_cached))]

    def restart(self) -> None:
        """Forget everything, as after a loss of power."""
        self._host_cached.clear()

    async def _work(self) -> None:
        timing = self.timing
        while self._runs or self._waiting:
            while self._waiting and len(self._runs) < timing.batch:
                self._runs.append(self._waiting.popleft())
            chunk = PREFILL_CHUNK
            decoding = []
            for run in self._runs:
                if run.prompt_left == 0:
                    decoding.append(run)
                    continue
                piece = min(chunk, run.prompt_left)
                run.prompt_left -= piece
                chunk -= piece
            read_s = (PREFILL_CHUNK - chunk) / timing.prefill_tokens_per_s
            step_s = timing.step_s * (1.0 + len(decoding) / timing.batch_doubling)
            await asyncio.sleep((step_s + read_s) * timing.slowdown)
            for run in decoding:
                run.tokens += 1
                if run.tokens % timing.tokens_per_event == 0:
                    run.changed.set()
