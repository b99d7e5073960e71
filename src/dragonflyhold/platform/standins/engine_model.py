"""Timing model of a model engine: decoding steps, batches, chunked prefill and adapter loads."""

import asyncio
import collections
import dataclasses
from collections.abc import AsyncIterator
from typing import final

# Prompt tokens that one step processes in addition to decoding.
PREFILL_CHUNK = 512


@final
@dataclasses.dataclass(slots=True)
class EngineTiming:
    """Timing and sizes of an engine; times in seconds."""

    batch: int
    step_s: float
    # Number of decoding requests that doubles the time of a step.
    batch_doubling: float
    prefill_tokens_per_s: float
    tokens_per_event: int
    load_s: float
    host_cached_load_s: float
    # Adapters that are kept in the VM's memory.
    max_host_cached: int
    # Factor on all times; simulates a slow engine.
    slowdown: float = 1.0


@final
class WeightStore:
    """The store from which all engines of a deployment load adapters."""

    def __init__(self, full_speed_loads: int) -> None:
        self.loads_in_progress = 0
        self.max_loads_in_progress = 0
        self._full_speed_loads = full_speed_loads

    async def load(self, seconds: float) -> None:
        """Simulate a load; more loads than run at full speed slow each down in proportion."""
        self.loads_in_progress += 1
        self.max_loads_in_progress = max(self.max_loads_in_progress, self.loads_in_progress)
        try:
            await asyncio.sleep(seconds * max(1.0, self.loads_in_progress / self._full_speed_loads))
        finally:
            self.loads_in_progress -= 1


@final
@dataclasses.dataclass(slots=True, eq=False)
class _Generation:
    prompt_left: int
    tokens: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@final
class EngineModel:
    """Simulates the batched generation and the adapter loads of one engine."""

    def __init__(self, timing: EngineTiming, store: WeightStore) -> None:
        self.timing = timing
        self.store_loads = 0
        self.host_cached_loads = 0
        self._store = store
        self._batch: list[_Generation] = []
        self._waiting: collections.deque[_Generation] = collections.deque()
        self._host_cached: dict[str, None] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._batch)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a batch slot."""
        return len(self._waiting)

    def state_load(self) -> bytes:
        """Return the load and the slowness as engines state them."""
        timing = self.timing
        return b"%d,%d,%d,%d" % (self.running, self.waiting, timing.batch, timing.slowdown * 100)

    async def generate(self, prompt_tokens: int, events: int) -> AsyncIterator[None]:
        """Process a prompt, then yield once for each event of the response."""
        generation = _Generation(max(1, prompt_tokens))
        self._waiting.append(generation)
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run_batches())
        try:
            for number in range(1, events + 1):
                while generation.tokens < number * self.timing.tokens_per_event:
                    generation.changed.clear()
                    await generation.changed.wait()
                yield
        finally:
            if generation in self._batch:
                self._batch.remove(generation)
            elif generation in self._waiting:
                self._waiting.remove(generation)

    async def load(self, adapter: str) -> None:
        """Simulate the load of an adapter from the host cache or the store."""
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
        """Clear the host cache, as after a power loss."""
        self._host_cached.clear()

    async def _run_batches(self) -> None:
        timing = self.timing
        while self._batch or self._waiting:
            while self._waiting and len(self._batch) < timing.batch:
                self._batch.append(self._waiting.popleft())
            budget = PREFILL_CHUNK
            decoding = []
            for generation in self._batch:
                if generation.prompt_left == 0:
                    decoding.append(generation)
                    continue
                tokens = min(budget, generation.prompt_left)
                generation.prompt_left -= tokens
                budget -= tokens
            prefill_s = (PREFILL_CHUNK - budget) / timing.prefill_tokens_per_s
            step_s = timing.step_s * (1.0 + len(decoding) / timing.batch_doubling)
            await asyncio.sleep((step_s + prefill_s) * timing.slowdown)
            for generation in decoding:
                generation.tokens += 1
                if generation.tokens % timing.tokens_per_event == 0:
                    generation.changed.set()
