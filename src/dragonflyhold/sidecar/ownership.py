"""Fencing epoch of the process that owns an upstream.

A process owns the upstream while it holds the listening port of the sidecar. Before its first
command it raises the fencing epoch above that of every earlier owner.
"""

import json
from typing import final

from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.ids import Epoch, Incarnation, UpstreamName
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.storage.interface import Condition, Put, Row, Table

# Maximum number of attempts to write the owner row in one call. An attempt fails if another process
# has started for the same upstream and written the row, or if its response is lost.
MAX_WRITE_ATTEMPTS = 5

_logger = ComponentLogger("sidecar")


@final
class FencingEpochStore:
    """Raises the fencing epoch and stores it in the table.

    Not thread-safe; used only by the supervision thread.
    """

    def __init__(self, table: Table, upstream: UpstreamName, incarnation: Incarnation) -> None:
        self._table = table
        self._key = f"owner/{upstream}"
        self._incarnation = incarnation
        self._epoch = Epoch(0)
        self._is_stored = False

    @property
    def epoch(self) -> Epoch:
        """Fencing epoch of this process; 0 before the first call of ``raise_above``."""
        return self._epoch

    @property
    def is_stored(self) -> bool:
        """Whether the table row holds the epoch."""
        return self._is_stored

    def raise_above(self, engine_epoch: Epoch) -> Epoch:
        """Raise the epoch above those of the table, the engine and this process.

        During a table outage, only the epoch of the engine and the exclusive port protect against
        earlier owners. ``store`` writes the row later.
        """
        floor = Epoch(max(engine_epoch, self._epoch))
        self._epoch = Epoch(floor + 1)
        self._is_stored = False
        self.store()
        return self._epoch

    def store(self) -> None:
        """Write the row unless it is up to date.

        Raise the epoch if the row of another owner holds the same or a higher one.
        """
        if self._is_stored or not self._epoch:
            return
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                if self._try_store():
                    return
        except PlatformUnavailableError as error:
            _logger.warning(
                "Failed to write the owner row; retrying later.", epoch=self._epoch, error=error
            )

    def _try_store(self) -> bool:
        row = self._table.read(self._key)
        stored_epoch, stored_incarnation = _parse_row(row)
        # The incarnation in the row shows that an earlier write whose response was lost succeeded.
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
            # The write may have taken effect; the next attempt reads the row to find out.
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
        _logger.error("Ignoring the owner row: it is malformed.", key=row.key, error=error)
        return 0, ""
