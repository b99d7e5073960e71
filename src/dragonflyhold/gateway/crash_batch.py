"""Merges the news of crashes that come within a short time into one message."""

import asyncio
from collections.abc import Callable, Sequence
from typing import final

from dragonflyhold.gateway.crash_evidence import CrashEvidence, CrashId, CrashRecord
from dragonflyhold.gateway.messages import CrashUpdate

# All requests of a gateway that were in flight at a crash end within this time.
BATCH_S = 0.02


@final
class CrashBatch:
    """News that a process has not sent yet."""

    def __init__(self, evidence: CrashEvidence, send: Callable[[CrashUpdate], None]) -> None:
        self._evidence = evidence
        self._send = send
        self._records: dict[CrashId, CrashRecord] = {}

    def add(self, news: Sequence[CrashRecord]) -> None:
        """Send news ``BATCH_S`` after the first that was not sent yet."""
        if news and not self._records:
            asyncio.get_running_loop().call_later(BATCH_S, self._flush)
        for record in news:
            known = self._records.setdefault(record.crash, record)
            if known is not record:
                known.merge(record)

    def _flush(self) -> None:
        records, self._records = self._records, {}
        self._send(self._evidence.encode(list(records.values())))
