"""Tests of the choice of crash reports."""

from dragonflyhold.config.crash_gossip import (
    PRIORITY_SENDS,
    REPORTS_PER_COMPARE,
    CrashReportSelector,
)
from dragonflyhold.ids import Fingerprint
from dragonflyhold.requests.crashes import CrashReport


def reports(count: int) -> list[CrashReport]:
    return [CrashReport(Fingerprint(b"%032d" % number), 1, False) for number in range(count)]


class TestCrashReportSelector:
    """Guards against control messages without bound, and against news that wait."""

    def test_news_go_first_and_often(self) -> None:
        selector, known = CrashReportSelector(), reports(32)
        for _ in range(200):
            assert len(selector.select(known)) == REPORTS_PER_COMPARE
        news = CrashReport(known[0].fingerprint, 2, False)
        sends = [news in selector.select([news, *known[1:]]) for _ in range(PRIORITY_SENDS)]
        assert all(sends)

    def test_every_report_has_its_turn(self) -> None:
        selector, known = CrashReportSelector(), reports(32)
        for _ in range(200):
            selector.select(known)
        turns = 32 // REPORTS_PER_COMPARE
        sent = {report for _ in range(turns) for report in selector.select(known)}
        assert sent == set(known)

    def test_reports_that_are_gone_are_forgotten(self) -> None:
        selector = CrashReportSelector()
        selector.select(reports(32))
        assert selector.select(reports(2)) == reports(2)
