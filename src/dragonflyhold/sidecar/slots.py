"""Loads, evicts and adopts the adapters of an engine.

All methods run in the thread that owns the tables. Commands run in worker threads, which send
``LoadFinished`` and ``UnloadFinished`` when they end.
"""

import dataclasses
import random
from collections.abc import Callable, Collection, Sequence
from typing import Protocol, final

from dragonflyhold.adapters import (
    LoadBackoff,
    Popularity,
    SlotState,
    SlotTable,
    StartEvict,
    StartLoad,
    WaitingAdapter,
    may_start_batch,
    plan_slots,
)
from dragonflyhold.config.objects import Upstream
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    BootId,
    EngineAdapterName,
    Epoch,
    Incarnation,
    ServiceName,
    Version,
)
from dragonflyhold.observability import ComponentLogger, Metrics
from dragonflyhold.settings import SlotSettings
from dragonflyhold.sidecar.slot_commands import (
    LoadCommand,
    LoadFinished,
    UnloadCommand,
    UnloadFinished,
)
from dragonflyhold.upstreams.interface import EngineClient, EngineStatus

# Delay before an unload command that was not acknowledged is sent again.
UNLOAD_RETRY_S = 0.5

_logger = ComponentLogger("sidecar")

SubmitTask = Callable[[Callable[[], object]], None]


class Budget(Protocol):
    """Load budget of the region, as used by ``SlotManager``."""

    def request_loads(self, planned_loads: Sequence[StartLoad], now: float) -> None:
        """Replace the load requests."""

    def use_grant(self, key: AdapterKey, now: float) -> int | None:
        """Consume the grant for an adapter version; return its number, or ``None`` without one."""

    def release(self, number: int) -> None:
        """Release a grant after its load has finished."""


@final
@dataclasses.dataclass(slots=True)
class _Unloading:
    # ``None`` for adapters that are in no slot.
    index: int | None
    is_sent: bool
    retry_at: float


@final
class SlotManager:
    """Manages the adapter slots of one engine, starting with its first observed status."""

    def __init__(
        self,
        settings: SlotSettings,
        incarnation: Incarnation,
        client: EngineClient,
        budget: Budget,
        metrics: Metrics,
        submit: SubmitTask,
        send_message: Callable[[object], None],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._client = client
        self._budget = budget
        self._metrics = metrics
        self._submit = submit
        self._send_message = send_message
        self._popularity: Popularity[AdapterKey] = Popularity(settings.popularity_half_life_s)
        self._backoff = LoadBackoff(settings, rng)
        self._slots = SlotTable(0)
        self._boot: BootId | None = None
        self._epoch = Epoch(0)
        # Starting at the incarnation keeps engine names unique even if two incarnations get the
        # same epoch, which a table outage and an engine without fencing can cause.
        self._next_number = int(incarnation, 16)
        # Number of pins per slot that are held until the engine reports the slot idle: those of
        # requests of earlier owners and of requests that ended without a complete answer.
        self._pins_until_idle: dict[int, int] = {}
        # Slots in ``_pins_until_idle`` that were idle in the previous status.
        self._seen_idle: set[int] = set()
        # Slots whose adapter the engine reported as unknown.
        self._missing: set[int] = set()
        # Adapters that the engine holds but that are in no slot.
        self._orphans: set[EngineAdapterName] = set()
        self._unloading: dict[EngineAdapterName, _Unloading] = {}
        self._grants: dict[EngineAdapterName, int] = {}

    @property
    def count(self) -> int:
        """Number of slots."""
        return len(self._slots.slots)

    @property
    def table(self) -> SlotTable:
        """The slot table; callers must not change it."""
        return self._slots

    @property
    def is_unloading(self) -> bool:
        """Whether an unload command is due or in progress."""
        return bool(self._unloading)

    def resident(self) -> list[AdapterKey]:
        """Return the adapter versions that are resident and usable."""
        return [
            slot.key
            for slot in self._slots.slots
            if slot.state is SlotState.RESIDENT
            and slot.key is not None
            and slot.index not in self._missing
        ]

    def find(self, key: AdapterKey) -> int | None:
        """Return the slot in which an adapter version is resident and usable, if any."""
        slot = self._slots.find(key)
        if slot is None or slot.index in self._missing:
            return None
        return slot.index

    def may_start_batch(self, key: AdapterKey, batch_slots: Collection[int]) -> bool:
        """Return whether a batch request may start while others occupy ``batch_slots``."""
        return may_start_batch(self._slots, key, batch_slots)

    def engine_name(self, index: int) -> EngineAdapterName:
        """Return the name under which the engine holds the adapter of a slot."""
        name = self._slots.slots[index].engine_name
        if name is None:
            raise ValueError(f"slot {index} is empty")
        return name

    def record_request(self, key: AdapterKey, now: float) -> None:
        """Count an admitted request towards the popularity of its adapter."""
        self._popularity.record(key, now)

    def pin(self, index: int, now: float) -> None:
        """Pin a slot for a request in flight, so that its adapter is not evicted."""
        self._slots.pin(index, now)

    def unpin(self, index: int, now: float) -> None:
        """Release the pin of a request that has ended."""
        self._slots.unpin(index, now)

    def stall_s(self, index: int, queued_at: float) -> float:
        """Return how long a request queued at ``queued_at`` waited for the load of the slot."""
        return max(self._slots.slots[index].since - queued_at, 0.0)

    def mark_missing(self, index: int) -> None:
        """Stop using a slot whose adapter the engine does not hold; it is evicted when idle."""
        self._missing.add(index)

    def observe(self, status: EngineStatus, epoch: Epoch, upstream: Upstream, now: float) -> None:
        """Apply a status of the claimed engine.

        Resident adapters are adopted only from the first status, and only if the engine rejects
        commands of earlier owners. An engine without fencing may still execute a delayed unload of
        any adapter that it holds.
        """
        self._epoch = epoch
        if status.boot_id == self._boot:
            self._release_idle_pins(status, now)
        else:
            is_first_boot = self._boot is None
            self._reset_for_boot(status, now)
            if upstream.checks_fencing and is_first_boot:
                self._adopt(status, upstream.service, now)
        self._find_orphans(status)

    def clear(self, now: float) -> None:
        """Clear all slots after a crash of the engine, and release the grants of their loads."""
        self._slots.clear(now)
        self._pins_until_idle.clear()
        self._seen_idle.clear()
        self._missing.clear()
        self._orphans.clear()
        self._unloading.clear()
        for number in self._grants.values():
            self._budget.release(number)
        self._grants.clear()

    def step(
        self,
        waiting: Sequence[WaitingAdapter],
        weights_of: Callable[[AdapterKey], str | None],
        now: float,
    ) -> None:
        """Start the loads and evictions that are due."""
        if self._boot is None:
            return
        self._retry_unloads(now)
        self._evict_missing(now)
        actions = plan_slots(
            self._slots, waiting, self._popularity, self._backoff, now, self._settings
        )
        for action in actions:
            if isinstance(action, StartEvict):
                self._start_evict(action.index, now)
        loads = [action for action in actions if isinstance(action, StartLoad)]
        self._budget.request_loads(loads, now)
        for load in loads:
            self._try_load(load, weights_of, now)

    def on_load_finished(self, message: LoadFinished, now: float) -> None:
        """Apply the result of a load command."""
        number = self._grants.pop(message.name, None)
        if number is not None:
            self._budget.release(number)
        slot = self._slots.slots[message.index] if message.index < self.count else None
        is_current = (
            slot is not None
            and message.boot == self._boot
            and slot.state is SlotState.LOADING
            and slot.engine_name == message.name
        )
        if not is_current:
            return
        if message.is_loaded:
            self._slots.finish_load(message.index, now)
            self._backoff.record_success(message.key)
            self._metrics.count_event("adapter_loaded")
            return
        self._slots.fail_load(message.index, now)
        self._backoff.record_failure(message.key, now)
        self._metrics.count_event("adapter_load_failed")
        _logger.warning("Adapter load failed.", adapter=message.key, error=message.message)

    def on_unload_finished(self, message: UnloadFinished, now: float) -> None:
        """Apply the result of an unload command.

        A command that was not acknowledged may still take effect later, so the slot stays unusable
        and the command is repeated.
        """
        unloading = self._unloading.get(message.name)
        if unloading is None or message.boot != self._boot:
            return
        if not message.is_unloaded:
            unloading.is_sent = False
            unloading.retry_at = now + UNLOAD_RETRY_S
            self._metrics.count_event("adapter_unload_failed")
            return
        del self._unloading[message.name]
        self._orphans.discard(message.name)
        self._metrics.count_event("adapter_evicted")
        if unloading.index is not None:
            self._missing.discard(unloading.index)
            self._slots.finish_evict(unloading.index, now)

    def unpin_when_idle(self, index: int, now: float) -> None:
        """Release a pin once the engine reports no request in flight on the slot."""
        del now
        self._pins_until_idle[index] = self._pins_until_idle.get(index, 0) + 1
        self._seen_idle.discard(index)

    def _reset_for_boot(self, status: EngineStatus, now: float) -> None:
        self.clear(now)
        self._boot = status.boot_id
        if status.slots != self.count:
            self._slots = SlotTable(status.slots)

    def _adopt(self, status: EngineStatus, service: ServiceName, now: float) -> None:
        free = iter(range(self.count))
        for name, in_flight in status.adapters.items():
            key = parse_engine_name(service, name)
            if key is None or self._slots.find(key) is not None:
                continue
            index = next(free, None)
            if index is None:
                return
            self._slots.adopt(index, key, name, in_flight, now)
            if in_flight:
                self._pins_until_idle[index] = in_flight
            self._metrics.count_event("adapter_adopted")

    def _release_idle_pins(self, status: EngineStatus, now: float) -> None:
        for index, pins in list(self._pins_until_idle.items()):
            if status.adapters.get(self.engine_name(index), 0):
                self._seen_idle.discard(index)
            elif index not in self._seen_idle:
                # This status may predate the request, so the pin is kept until the next one.
                self._seen_idle.add(index)
            else:
                self._seen_idle.discard(index)
                del self._pins_until_idle[index]
                for _ in range(pins):
                    self._slots.unpin(index, now)

    def _find_orphans(self, status: EngineStatus) -> None:
        known = {slot.engine_name for slot in self._slots.slots}
        found = {name for name in status.adapters if name not in known}
        self._orphans = found | (self._orphans & self._unloading.keys())
        for name in found:
            # An adapter with requests of an earlier owner in flight must not be unloaded.
            if status.adapters[name] == 0 and name not in self._unloading:
                self._unloading[name] = _Unloading(None, False, 0.0)

    def _try_load(
        self, load: StartLoad, weights_of: Callable[[AdapterKey], str | None], now: float
    ) -> None:
        occupied = sum(slot.state is not SlotState.EMPTY for slot in self._slots.slots)
        if occupied + len(self._orphans) >= self.count:
            return
        path = weights_of(load.key)
        if path is None:
            return
        number = self._budget.use_grant(load.key, now)
        if number is None:
            return
        name = self._new_name(load.key)
        self._grants[name] = number
        self._slots.begin_load(load.index, load.key, name, now)
        assert self._boot is not None
        command = LoadCommand(
            self._client, load.index, load.key, name, path, self._boot, self._epoch
        )
        self._submit(lambda: self._send_message(command.run()))

    def _start_evict(self, index: int, now: float) -> None:
        name = self.engine_name(index)
        self._slots.begin_evict(index, now)
        self._unloading[name] = _Unloading(index, False, now)
        self._retry_unloads(now)

    def _evict_missing(self, now: float) -> None:
        for index in list(self._missing):
            if self._slots.slots[index].is_idle:
                self._start_evict(index, now)

    def _retry_unloads(self, now: float) -> None:
        for name, unloading in self._unloading.items():
            if unloading.is_sent or unloading.retry_at > now:
                continue
            unloading.is_sent = True
            assert self._boot is not None
            command = UnloadCommand(self._client, name, self._boot, self._epoch)
            self._submit(lambda command=command: self._send_message(command.run()))  # type: ignore[misc]

    def _new_name(self, key: AdapterKey) -> EngineAdapterName:
        number = self._next_number
        self._next_number += 1
        return EngineAdapterName(f"{key.adapter}-{key.version}-{self._epoch}-{number}")


def parse_engine_name(service: ServiceName, name: EngineAdapterName) -> AdapterKey | None:
    """Return the adapter version in ``<adapter>-<version>-<epoch>-<n>``, if it has that form."""
    parts = name.rsplit("-", 3)
    if len(parts) != 4 or not parts[0]:
        return None
    adapter, *numbers = parts
    if not all(number.isascii() and number.isdigit() for number in numbers):
        return None
    return AdapterKey(service, AdapterName(adapter), Version(int(numbers[0])))
