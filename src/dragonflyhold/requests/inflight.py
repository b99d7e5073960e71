"""Requests that are in flight on the upstream."""

import collections
import dataclasses
from collections.abc import Iterator
from typing import final

from dragonflyhold.ids import AdapterKey, CallerId, Fingerprint, RequestId


@final
@dataclasses.dataclass(slots=True, eq=False)
class InflightRequest:
    """A request in flight; ``slot`` is ``None`` for calls to a plain service."""

    request_id: RequestId
    key: AdapterKey | None
    caller: CallerId
    fingerprint: Fingerprint
    is_batch: bool
    idempotent: bool
    slot: int | None
    started_at: float
    deadline: float
    # No other request may run on the upstream at the same time, because this one is suspected of
    # crashing upstreams.
    is_exclusive: bool = False
    # Number of the last health check started before the connection closed. A later check decides
    # whether the upstream has crashed.
    disconnected_after_check: int | None = None
    is_cancelled: bool = False


@final
class InflightTable:
    """Requests in flight, with counts per caller and adapter version."""

    def __init__(self) -> None:
        self._requests: dict[RequestId, InflightRequest] = {}
        self._by_caller: collections.Counter[CallerId] = collections.Counter()
        self._by_key: collections.Counter[AdapterKey | None] = collections.Counter()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[InflightRequest]:
        return iter(list(self._requests.values()))

    def add(self, request: InflightRequest) -> None:
        """Add a request; raise ``ValueError`` if it is already in the table."""
        if request.request_id in self._requests:
            raise ValueError(f"{request.request_id} is already in flight")
        self._requests[request.request_id] = request
        self._by_caller[request.caller] += 1
        self._by_key[request.key] += 1

    def remove(self, request_id: RequestId) -> InflightRequest | None:
        """Remove and return a request, or return ``None`` if it is not in the table."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            _decrement(self._by_caller, request.caller)
            _decrement(self._by_key, request.key)
        return request

    def get(self, request_id: RequestId) -> InflightRequest | None:
        """Return a request, or ``None`` if it is not in the table."""
        return self._requests.get(request_id)

    def count_caller(self, caller: CallerId) -> int:
        """Return the number of requests of a caller."""
        return self._by_caller.get(caller, 0)

    def count_adapter(self, key: AdapterKey | None) -> int:
        """Return the number of requests of an adapter version."""
        return self._by_key.get(key, 0)

    def has_exclusive(self) -> bool:
        """Return whether a request is running exclusively."""
        return any(request.is_exclusive for request in self._requests.values())


def _decrement(counter: collections.Counter, key: object) -> None:  # type: ignore[type-arg]
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
