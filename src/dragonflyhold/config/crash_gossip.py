"""Chooses the crash reports that go into one compare; no I/O."""

import dataclasses
from collections.abc import Sequence
from typing import final

from dragonflyhold.ids import Fingerprint
from dragonflyhold.requests.crashes import CrashReport

# 32 reports in every compare take 5.3 of the 7 KB/s that a daemon has for all control messages.
REPORTS_PER_COMPARE = 8
# A new or changed report goes into this many compares before it takes turns with the others.
URGENT_SENDS = 16


@final
@dataclasses.dataclass(slots=True)
class _Sent:
    report: CrashReport
    times: int = 0
    last: int = 0


@final
class CrashReportSelector:
    """Sends news first and repeats the rest in turn; not safe for use from several threads."""

    def __init__(self) -> None:
        self._sent: dict[Fingerprint, _Sent] = {}
        self._compares = 0

    def choose(self, reports: Sequence[CrashReport]) -> list[CrashReport]:
        """Return up to ``REPORTS_PER_COMPARE`` of all reports."""
        self._compares += 1
        known: dict[Fingerprint, _Sent] = {}
        for report in reports:
            sent = self._sent.get(report.fingerprint)
            if sent is None or sent.report != report:
                sent = _Sent(report)
            known[report.fingerprint] = sent
        self._sent = known
        chosen = sorted(known.values(), key=lambda sent: (min(sent.times, URGENT_SENDS), sent.last))
        for sent in chosen[:REPORTS_PER_COMPARE]:
            sent.times += 1
            sent.last = self._compares
        return [sent.report for sent in chosen[:REPORTS_PER_COMPARE]]
