"""In-memory fakes of the platform's table and object store."""

from collections.abc import Callable, Sequence

from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.storage.interface import Condition, Put, Row


class FakeTable:
    """A table with simulated outages, lost responses and delayed writes."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.is_unavailable = False
        # Number of next writes that take effect but raise an error.
        self.lose_answers = 0
        # Number of next writes that raise an error and are only applied by ``deliver_delayed``.
        self.delay_writes = 0
        self.delayed: list[tuple[Sequence[Condition], Sequence[Put]]] = []
        # Called once before the next write, to simulate a concurrent writer.
        self.before_write: Callable[[], None] | None = None
        # All applied transactions in order.
        self.log: list[Sequence[Put]] = []
        self.reads = 0
        self.writes = 0

    def read(self, key: str) -> Row | None:
        self._check()
        self.reads += 1
        return self.rows.get(key)

    def read_prefix(self, prefix: str, start_after: str = "", limit: int = 1000) -> Sequence[Row]:
        self._check()
        self.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > start_after)
        return [self.rows[key] for key in keys[:limit]]

    def write(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> None:
        concurrent_write, self.before_write = self.before_write, None
        if concurrent_write is not None:
            concurrent_write()
        self._check()
        self.writes += 1
        if self.delay_writes:
            self.delay_writes -= 1
            self.delayed.append((conditions, puts))
            raise PlatformUnavailableError("fake table: no response yet")
        self._apply(conditions, puts)
        if self.lose_answers:
            self.lose_answers -= 1
            raise PlatformUnavailableError("fake table: response lost")

    def deliver_delayed(self) -> None:
        """Apply the delayed writes; discard those whose conditions no longer hold."""
        delayed, self.delayed = self.delayed, []
        for conditions, puts in delayed:
            try:
                self._apply(conditions, puts)
            except ConditionFailedError:
                continue

    def _apply(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> None:
        for condition in conditions:
            row = self.rows.get(condition.key)
            current = 0 if row is None else row.version
            if current != condition.version:
                raise ConditionFailedError(condition.key, condition.version, current)
        for put in puts:
            old = self.rows.get(put.key)
            version = 1 if old is None else old.version + 1
            self.rows[put.key] = Row(put.key, version, put.value)
        self.log.append(puts)

    def _check(self) -> None:
        if self.is_unavailable:
            raise PlatformUnavailableError("fake table: unavailable")


class FakeObjectStore:
    """An object store with simulated outages."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.is_unavailable = False

    def get(self, key: str) -> bytes | None:
        self._check()
        return self.objects.get(key)

    def put(self, key: str, data: bytes) -> None:
        self._check()
        self.objects[key] = data

    def _check(self) -> None:
        if self.is_unavailable:
            raise PlatformUnavailableError("fake object store: unavailable")
