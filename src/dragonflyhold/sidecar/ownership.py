"""The fencing epoch of an upstream's owner.

A process owns the upstream while it holds the sidecar's listening port. It raises the epoch above
that of every earlier owner before its first command.
"""

import json
from typing import final

from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.ids import Epoch, Incarnation, UpstreamName
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.storage.interface import Condition, Put, Row, Table

# A write that finds another version means that another process started on this port's VM name.
MAX_WRITE_ATTEMPTS = 5

_logger = ComponentLogger("sidecar")


@final
class FencingEpochStore:
    """Raises and stores the epoch; not thread-safe, used by the supervision thread."""

    def __init__(self, table: Table, upstream: UpstreamName, incarnation: Incarnation) -> None:
        self._table = table
        self._key = f"owner/{upstream}"
        self._incarnation = incarnation
        self._epoch = Epoch(0)
        self._is_stored = False

    @property
    def epoch(self) -> Epoch:
        """Epoch of this process, 0 before ``raise_above``."""
        return self._epoch

    @property
    def is_stored(self) -> bool:
        """Whether the table row holds the epoch."""
        return self._is_stored

    def raise_above(self, engine_epoch: Epoch) -> Epoch:
        """Set the epoch above the table's, the engine's and its own last value.

        In a table outage the engine's fencing number and the port must do; the row is written
        later by ``store``.
        """
        floor = Epoch(max(engine_epoch, self._epoch))
        self._epoch = Epoch(floor + 1)
        self._is_stored = False
        self.store()
        return self._epoch

    def store(self) -> None:
        """Write the row if it is not written yet; may raise the epoch above the row's."""
        if self._is_stored or not self._epoch:
            return
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                if self._try_store():
                    return
        except PlatformUnavailableError as error:
            _logger.warning("Owner row not written yet.", epoch=self._epoch, error=error)

    def _try_store(self) -> bool:
        row = self._table.read(self._key)
        stored_epoch, stored_incarnation = _parse_row(row)
        # A write whose response was lost is recognised by the incarnation in the row.
        if stored_incarnation == self._incarnation and stored_epoch == self._epoch:
            self._is_stored = True
            return True
        if stored_epoch >= self._epoch:
            self._epoch = Epoch(stored_epoch + 1)
        value = {"epoch": self._epoch, "incarnation": self._incarnation}
        condition = Condition(self._key, row.version if row is not None else 0)
        try:
            self._table.write([condition], [Put(self._key, json.dumps(value).encode())])
        except ConditionFailedError:
            return False
        except PlatformUnavailableError:
            # The next attempt reads back whether the write took effect.
            return False
        self._is_stored = True
        return True


def _parse_row(row: Row | None) -> tuple[int, str]:
    if row is None:
        return 0, ""
    try:
        data = json.loads(row.value)
        return int(data["epoch"]), str(data["incarnation"])
    except (ValueError, KeyError, TypeError) as error:
        _logger.error("Owner row is not readable.", key=row.key, error=error)
        return 0, ""
