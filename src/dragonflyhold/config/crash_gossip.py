"""Selects the crash reports to include in each Compare call; no I/O."""

import dataclasses
from collections.abc import Sequence
from typing import final

from dragonflyhold.ids import Fingerprint
from dragonflyhold.requests.crashes import CrashReport

# 32 reports per compare would use 5.3 of the 7 KB/s that a daemon has for all control messages.
REPORTS_PER_COMPARE = 8
# Number of compares that include a new or changed report before it rotates with the others.
PRIORITY_SENDS = 16


@final
@dataclasses.dataclass(slots=True)
class _SendRecord:
    report: CrashReport
    send_count: int = 0
    last_compare: int = 0


@final
class CrashReportSelector:
    """Selects new and changed reports first, then the others in rotation; not thread-safe."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _SendRecord] = {}
        self._compares = 0

    def select(self, reports: Sequence[CrashReport]) -> list[CrashReport]:
        """Return up to ``REPORTS_PER_COMPARE`` of the given reports for the next compare."""
        self._compares += 1
        records: dict[Fingerprint, _SendRecord] = {}
        for report in reports:
            record = self._records.get(report.fingerprint)
            if record is None or record.report != report:
                record = _SendRecord(report)
            records[report.fingerprint] = record
        self._records = records
        ordered = sorted(
            records.values(),
            key=lambda record: (min(record.send_count, PRIORITY_SENDS), record.last_compare),
        )
        for record in ordered[:REPORTS_PER_COMPARE]:
            record.send_count += 1
            record.last_compare = self._compares
        return [record.report for record in ordered[:REPORTS_PER_COMPARE]]
