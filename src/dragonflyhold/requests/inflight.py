"""Requests that are running on the upstream now."""

import collections
import dataclasses
from collections.abc import Iterator
from typing import final

from dragonflyhold.ids import AdapterKey, CallerId, Fingerprint, RequestId


@final
@dataclasses.dataclass(slots=True, eq=False)
class InflightRequest:
    """One running request; ``slot`` is ``None`` for plain-service calls."""

    request_id: RequestId
    key: AdapterKey | None
    caller: CallerId
    fingerprint: Fingerprint
    is_batch: bool
    idempotent: bool
    slot: int | None
    started_at: float
    deadline: float
    # Started under the run-alone rule.
    is_exclusive: bool = False
    # Number of the latest upstream check begun before the connection broke; a later check decides
    # whether the upstream crashed.
    disconnected_after_check: int | None = None
    is_cancelled: bool = False


@final
class InflightTable:
    """The in-flight table with counts per caller and adapter."""

    def __init__(self) -> None:
        self._rows: dict[RequestId, InflightRequest] = {}
        self._by_caller: collections.Counter[CallerId] = collections.Counter()
        self._by_key: collections.Counter[AdapterKey | None] = collections.Counter()

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[InflightRequest]:
        return iter(list(self._rows.values()))

    def add(self, row: InflightRequest) -> None:
        """Add a request that is not in the table."""
        if row.request_id in self._rows:
            raise ValueError(f"{row.request_id} is already in flight")
        self._rows[row.request_id] = row
        self._by_caller[row.caller] += 1
        self._by_key[row.key] += 1

    def remove(self, request_id: RequestId) -> InflightRequest | None:
        """Remove a request and return its row, if it is in the table."""
        row = self._rows.pop(request_id, None)
        if row is not None:
            _decrement(self._by_caller, row.caller)
            _decrement(self._by_key, row.key)
        return row

    def get(self, request_id: RequestId) -> InflightRequest | None:
        """Return the row of a request."""
        return self._rows.get(request_id)

    def count_caller(self, caller: CallerId) -> int:
        """Return the requests of one caller."""
        return self._by_caller.get(caller, 0)

    def count_adapter(self, key: AdapterKey | None) -> int:
        """Return the requests of one adapter version."""
        return self._by_key.get(key, 0)

    def has_exclusive(self) -> bool:
        """Whether a request runs under the run-alone rule."""
        return any(row.is_exclusive for row in self._rows.values())


def _decrement(counter: collections.Counter, name: object) -> None:  # type: ignore[type-arg]
    counter[name] -= 1
    if counter[name] <= 0:
        del counter[name]
