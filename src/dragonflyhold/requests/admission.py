"""Bounded admission queue of an upstream, ordered by the utility of the requests."""

import bisect
import collections
import dataclasses
import math
from collections.abc import Callable, Iterator, Sequence
from typing import final

from dragonflyhold.errors import ErrorCode, not_run
from dragonflyhold.ids import AdapterKey, CallerId, Fingerprint, RequestId
from dragonflyhold.requests.inflight import InflightTable
from dragonflyhold.settings import AdmissionSettings

# Smoothing factor of the exponentially weighted mean service time.
SERVICE_TIME_GAIN = 0.1


@final
@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """An admitted request that has not started; times are on the same clock as ``now``."""

    request_id: RequestId
    key: AdapterKey | None
    caller: CallerId
    fingerprint: Fingerprint
    utility: float
    is_batch: bool
    idempotent: bool
    deadline: float
    queued_at: float
    # Number of starts. A request is started again only if nothing ran: no byte of it was sent, or
    # the engine did not hold its adapter.
    start_attempts: int = 0
    sequence: int = 0

    @property
    def sort_key(self) -> tuple[float, int]:
        """Sort key of the queue: higher utility first, then first in, first out."""
        return (-self.utility, self.sequence)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WaitingGroup:
    """Totals of the queued requests of one adapter version."""

    key: AdapterKey
    requests: int
    # Sum over the requests.
    utility: float
    # Age of the oldest request.
    oldest_age_s: float
    # True if every request is of a batch kind.
    is_batch: bool


@final
class ServiceTime:
    """Moving average of the time that a request occupies a batch slot; 0 until one has ended."""

    def __init__(self) -> None:
        self.mean_s = 0.0

    def record(self, seconds: float) -> None:
        """Add the service time of an ended request to the average."""
        if self.mean_s == 0.0:
            self.mean_s = seconds
        else:
            self.mean_s += SERVICE_TIME_GAIN * (seconds - self.mean_s)


@final
class AdmissionQueue:
    """Queue sorted by utility, with limits per caller and per adapter."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._requests: list[QueuedRequest] = []
        self._by_id: dict[RequestId, QueuedRequest] = {}
        self._by_caller: collections.Counter[CallerId] = collections.Counter()
        self._by_key: collections.Counter[AdapterKey | None] = collections.Counter()
        self._next_sequence = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._requests))

    def get(self, request_id: RequestId) -> QueuedRequest | None:
        """Return a queued request, or ``None``."""
        return self._by_id.get(request_id)

    def check(
        self,
        request: QueuedRequest,
        inflight_count: int,
        batch_limit: int,
        mean_s: float,
        now: float,
    ) -> None:
        """Raise ``RequestError`` (``not_run``) if the request cannot be admitted."""
        if request.deadline <= now:
            raise not_run(ErrorCode.DEADLINE_EXPIRED, "deadline has passed")
        wait = self.estimate_wait(request, inflight_count, batch_limit, mean_s)
        if now + wait > request.deadline:
            text = f"estimated wait is {wait:.3f} s, above the time left"
            raise not_run(ErrorCode.DEADLINE_UNREACHABLE, text, _retry_after_ms(mean_s))
        caller_limit = _share_limit(self._settings.caller_share, self._settings.max_queue)
        if self._by_caller.get(request.caller, 0) >= caller_limit:
            text = f"caller has {caller_limit} queued requests, its share"
            raise not_run(ErrorCode.CALLER_LIMIT, text, _retry_after_ms(mean_s))
        adapter_limit = _share_limit(self._settings.adapter_share, self._settings.max_queue)
        if request.key is not None and self._by_key.get(request.key, 0) >= adapter_limit:
            text = f"adapter has {adapter_limit} queued requests, its share"
            raise not_run(ErrorCode.ADAPTER_LIMIT, text, _retry_after_ms(mean_s))
        if (
            len(self._requests) >= self._settings.max_queue
            and request.utility <= self._requests[-1].utility
        ):
            text = f"{len(self._requests)} requests of no lower worth are queued"
            raise not_run(ErrorCode.QUEUE_FULL, text, _retry_after_ms(mean_s))

    def add(self, request: QueuedRequest) -> QueuedRequest | None:
        """Queue a request that passed ``check``; return the one displaced from a full queue."""
        displaced = None
        if len(self._requests) >= self._settings.max_queue:
            displaced = self._requests[-1]
            self.remove(displaced.request_id)
        request.sequence = self._next_sequence
        self._next_sequence += 1
        self._insert(request)
        return displaced

    def requeue(self, request: QueuedRequest) -> None:
        """Return a started request to its previous position.

        The queue may exceed ``max_queue`` by at most the batch limit.
        """
        self._insert(request)

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Remove and return a request, or return ``None`` if it is not queued."""
        request = self._by_id.pop(request_id, None)
        if request is None:
            return None
        index = bisect.bisect_left(
            self._requests, request.sort_key, key=lambda other: other.sort_key
        )
        del self._requests[index]
        _decrement(self._by_caller, request.caller)
        _decrement(self._by_key, request.key)
        return request

    def estimate_wait(
        self, request: QueuedRequest, inflight_count: int, batch_limit: int, mean_s: float
    ) -> float:
        """Return the expected wait of a new request in the queue, in seconds.

        ``mean_s`` is the mean service time of a request; see ``ServiceTime``.
        """
        ahead = bisect.bisect_right(
            self._requests, -request.utility, key=lambda other: -other.utility
        )
        excess = inflight_count + ahead + 1 - batch_limit
        return max(excess, 0) * mean_s / max(batch_limit, 1)

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests whose deadline has passed."""
        return [request for request in self._requests if request.deadline <= now]

    def waiting(self, now: float) -> list[WaitingGroup]:
        """Return the totals of the queued requests for each adapter version."""
        groups: dict[AdapterKey, WaitingGroup] = {}
        for request in self._requests:
            if request.key is None:
                continue
            age = now - request.queued_at
            group = groups.get(request.key, WaitingGroup(request.key, 0, 0.0, 0.0, True))
            groups[request.key] = WaitingGroup(
                request.key,
                group.requests + 1,
                group.utility + request.utility,
                max(group.oldest_age_s, age),
                group.is_batch and request.is_batch,
            )
        return list(groups.values())

    def choose(
        self,
        inflight: InflightTable,
        batch_limit: int,
        is_ready: Callable[[QueuedRequest], bool],
        must_run_exclusively: Callable[[QueuedRequest], bool],
        may_start_batch: Callable[[QueuedRequest], bool] = lambda request: True,
    ) -> Sequence[QueuedRequest]:
        """Return the requests to start now, in order; they stay queued until removed.

        Requests over the share of their caller or adapter get only the batch slots that are left.
        Batch kinds leave the interactive reserve free. A request that must run exclusively starts
        only on an idle upstream, and no later request in the queue starts before it.
        ``may_start_batch`` is the last check, so every batch request that it allows is started.
        """
        if inflight.has_exclusive():
            return []
        ready = [request for request in self._requests if is_ready(request)]
        plan = _StartPlan(self._settings, inflight, batch_limit, may_start_batch)
        for within_shares in (True, False):
            for request in ready:
                if plan.free_slots <= 0:
                    return plan.chosen
                if must_run_exclusively(request):
                    if plan.is_idle:
                        return [request]
                    return plan.chosen
                plan.try_add(request, within_shares)
        return plan.chosen

    def _insert(self, request: QueuedRequest) -> None:
        bisect.insort(self._requests, request, key=lambda other: other.sort_key)
        self._by_id[request.request_id] = request
        self._by_caller[request.caller] += 1
        self._by_key[request.key] += 1


@final
class _StartPlan:
    """Requests chosen in one scheduling pass, counted by caller and adapter."""

    def __init__(
        self,
        settings: AdmissionSettings,
        inflight: InflightTable,
        batch_limit: int,
        may_start_batch: Callable[[QueuedRequest], bool],
    ) -> None:
        self.chosen: list[QueuedRequest] = []
        self._chosen_ids: set[RequestId] = set()
        self._inflight = inflight
        self._batch_limit = batch_limit
        self._may_start_batch = may_start_batch
        self._caller_limit = _share_limit(settings.caller_share, batch_limit)
        self._adapter_limit = _share_limit(settings.adapter_share, batch_limit)
        self._interactive_reserve = math.ceil(settings.interactive_reserve * batch_limit)
        self._chosen_by_caller: collections.Counter[CallerId] = collections.Counter()
        self._chosen_by_key: collections.Counter[AdapterKey | None] = collections.Counter()

    @property
    def free_slots(self) -> int:
        """Number of batch slots that are still free."""
        return self._batch_limit - len(self._inflight) - len(self.chosen)

    @property
    def is_idle(self) -> bool:
        """Whether no request is running or chosen."""
        return not self.chosen and len(self._inflight) == 0

    def try_add(self, request: QueuedRequest, within_shares: bool) -> None:
        """Choose the request if the interactive reserve and the shares allow it.

        The shares are ignored if ``within_shares`` is false.
        """
        if request.request_id in self._chosen_ids:
            return
        if request.is_batch and self.free_slots <= self._interactive_reserve:
            return
        if within_shares and self._exceeds_share(request):
            return
        if request.is_batch and not self._may_start_batch(request):
            return
        self.chosen.append(request)
        self._chosen_ids.add(request.request_id)
        self._chosen_by_caller[request.caller] += 1
        self._chosen_by_key[request.key] += 1

    def _exceeds_share(self, request: QueuedRequest) -> bool:
        caller_count = (
            self._inflight.count_caller(request.caller) + self._chosen_by_caller[request.caller]
        )
        if caller_count >= self._caller_limit:
            return True
        adapter_count = self._inflight.count_adapter(request.key) + self._chosen_by_key[request.key]
        return request.key is not None and adapter_count >= self._adapter_limit


def _share_limit(share: float, total: int) -> int:
    return max(1, math.ceil(share * total))


def _retry_after_ms(seconds: float) -> int:
    return max(1, int(seconds * 1000))


def _decrement(counter: collections.Counter, key: object) -> None:  # type: ignore[type-arg]
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
