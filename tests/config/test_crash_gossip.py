"""Tests of the selection of crash reports for Compare calls."""

from dragonflyhold.config.crash_gossip import (
    PRIORITY_SENDS,
    REPORTS_PER_COMPARE,
    CrashReportSelector,
)
from dragonflyhold.ids import Fingerprint
from dragonflyhold.requests.crashes import CrashReport


def make_reports(count: int) -> list[CrashReport]:
    return [CrashReport(Fingerprint(b"%032d" % number), 1, False) for number in range(count)]


class TestCrashReportSelector:
    """Guards against unbounded control messages and delayed crash reports."""

    def test_changed_report_is_sent_first(self) -> None:
        selector, all_reports = CrashReportSelector(), make_reports(32)
        for _ in range(200):
            assert len(selector.select(all_reports)) == REPORTS_PER_COMPARE
        changed = CrashReport(all_reports[0].fingerprint, 2, False)
        sends = [
            changed in selector.select([changed, *all_reports[1:]]) for _ in range(PRIORITY_SENDS)
        ]
        assert all(sends)

    def test_all_reports_are_sent_in_rotation(self) -> None:
        selector, all_reports = CrashReportSelector(), make_reports(32)
        for _ in range(200):
            selector.select(all_reports)
        compares_per_rotation = 32 // REPORTS_PER_COMPARE
        sent = {
            report for _ in range(compares_per_rotation) for report in selector.select(all_reports)
        }
        assert sent == set(all_reports)

    def test_removed_reports_are_not_sent(self) -> None:
        selector = CrashReportSelector()
        selector.select(make_reports(32))
        assert selector.select(make_reports(2)) == make_reports(2)
