"""Tests of the choice of crash reports."""

from dragonflyhold.config.crash_gossip import REPORTS_PER_COMPARE, URGENT_SENDS, CrashReportSelector
from dragonflyhold.ids import Fingerprint
from dragonflyhold.requests.crashes import CrashReport


def reports(count: int) -> list[CrashReport]:
    return [CrashReport(Fingerprint(b"%032d" % number), 1, False) for number in range(count)]


class TestCrashSpread:
    """Guards against control messages without bound, and against news that wait."""

    def test_news_go_first_and_often(self) -> None:
        spread, known = CrashReportSelector(), reports(32)
        for _ in range(200):
            assert len(spread.choose(known)) == REPORTS_PER_COMPARE
        news = CrashReport(known[0].fingerprint, 2, False)
        sends = [news in spread.choose([news, *known[1:]]) for _ in range(URGENT_SENDS)]
        assert all(sends)

    def test_every_report_has_its_turn(self) -> None:
        spread, known = CrashReportSelector(), reports(32)
        for _ in range(200):
            spread.choose(known)
        turns = 32 // REPORTS_PER_COMPARE
        sent = {report for _ in range(turns) for report in spread.choose(known)}
        assert sent == set(known)

    def test_reports_that_are_gone_are_forgotten(self) -> None:
        spread = CrashReportSelector()
        spread.choose(reports(32))
        assert spread.choose(reports(2)) == reports(2)
