"""Tests of the isolation of requests that crash their upstreams."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dragonflyhold.ids import Fingerprint
from dragonflyhold.requests import CrashReport, CrashStatus, CrashTable
from dragonflyhold.requests import crashes as crashes_module

LIMIT = 3
POISON = Fingerprint(b"poison")
INNOCENT = [Fingerprint(b"one"), Fingerprint(b"two")]
MACHINE = settings(derandomize=True, max_examples=250, stateful_step_count=40, deadline=None)


class CrashMachine(RuleBasedStateMachine):
    """A region of three upstreams that run a poisonous request and harmless ones.

    The harness keeps the run-alone rule by the verdicts, sends every copy of the poison to one
    upstream (as routing does) unless one other copy was already under way, and exchanges reports
    in any order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tables = [CrashTable(LIMIT) for _ in range(3)]
        self.running: list[list[tuple[Fingerprint, bool]]] = [[] for _ in range(3)]
        self.crashes_by_poison = 0

    @rule(upstream=st.integers(0, 2), fingerprint=st.sampled_from([POISON, POISON, *INNOCENT]))
    def start(self, upstream: int, fingerprint: Fingerprint) -> None:
        running = self.running[upstream]
        crash_status = self.tables[upstream].crash_status(fingerprint)
        if crash_status is CrashStatus.CONFIRMED or any(alone for _, alone in running):
            return
        copies = sum(item[0] == POISON for rows in self.running for item in rows)
        if fingerprint == POISON:
            # All copies go to one upstream; at most one other was under way before the crash.
            if copies >= 2 or (self.crashes_by_poison and copies):
                return
            if self.crashes_by_poison:
                # The entry tells its suspicion with the retried request.
                report = CrashReport(POISON, self.crashes_by_poison, False)
                self.tables[upstream].merge([report])
                crash_status = self.tables[upstream].crash_status(POISON)
                if crash_status is CrashStatus.CONFIRMED:
                    return
        if crash_status is CrashStatus.SUSPECT:
            # The upstream starts it when the others have ended.
            running.clear()
        running.append((fingerprint, crash_status is CrashStatus.SUSPECT))

    @precondition(lambda self: self._poisoned())
    @rule(choice=st.integers(0, 1))
    def run_poison(self, choice: int) -> None:
        """Crash an upstream that the poison runs on."""
        poisoned = self._poisoned()
        self.crashes_by_poison += 1
        self._crash(poisoned[choice % len(poisoned)])

    @rule(upstream=st.integers(0, 2), index=st.integers(0, 5))
    def end_innocent(self, upstream: int, index: int) -> None:
        running = self.running[upstream]
        rows = [row for row in running if row[0] != POISON]
        if not rows:
            return
        row = rows[index % len(rows)]
        running.remove(row)
        if row[1]:
            self.tables[upstream].clear(row[0])

    @rule(source=st.integers(0, 2), receiver=st.integers(0, 2))
    def exchange(self, source: int, receiver: int) -> None:
        self.tables[receiver].merge(self.tables[source].reports())

    @invariant()
    def crashes_are_bounded(self) -> None:
        assert self.crashes_by_poison <= LIMIT

    @invariant()
    def neighbours_are_not_condemned(self) -> None:
        for table in self.tables:
            for fingerprint in INNOCENT:
                assert table.crash_status(fingerprint) is not CrashStatus.CONFIRMED

    def _crash(self, upstream: int) -> None:
        rows = self.running[upstream]
        alone = len(rows) == 1 and rows[0][1]
        self.tables[upstream].record_crash([row[0] for row in rows], alone)
        self.running[upstream] = []

    def _poisoned(self) -> list[int]:
        return [
            upstream
            for upstream, rows in enumerate(self.running)
            if any(fingerprint == POISON for fingerprint, _ in rows)
        ]


class TestCrashMachine(CrashMachine.TestCase):
    """Guards against a fourth crash by one request, and against innocent ones in quarantine."""

    settings = MACHINE


class TestCrashTable:
    """Guards against lost and false confirmations and against unbounded tables."""

    def test_lone_request_at_a_restart_is_only_a_suspect(self) -> None:
        table = CrashTable(LIMIT)
        assert table.record_crash([POISON], alone=True) == []
        assert table.crash_status(POISON) is CrashStatus.SUSPECT

    def test_suspect_that_crashes_alone_is_confirmed_and_waits_for_its_row(self) -> None:
        table = CrashTable(LIMIT)
        table.record_crash([POISON, INNOCENT[0]], alone=False)
        assert table.record_crash([POISON], alone=True) == [POISON]
        assert table.unstored() == [POISON]
        table.mark_stored(POISON)
        assert table.unstored() == []
        assert table.crash_status(POISON) is CrashStatus.CONFIRMED

    def test_cleared_suspect_is_not_suspected_again_by_old_reports(self) -> None:
        table = CrashTable(LIMIT)
        table.merge([CrashReport(POISON, 1, False)])
        table.clear(POISON)
        table.merge([CrashReport(POISON, 1, False)])
        assert table.crash_status(POISON) is CrashStatus.CLEAR
        table.merge([CrashReport(POISON, 2, False)])
        assert table.crash_status(POISON) is CrashStatus.SUSPECT

    def test_neighbour_of_two_crashes_is_not_condemned(self) -> None:
        table = CrashTable(LIMIT)
        table.record_crash([POISON, INNOCENT[0]], alone=False)
        assert table.record_crash([POISON, INNOCENT[0]], alone=False) == []
        assert table.crash_status(INNOCENT[0]) is CrashStatus.SUSPECT
        table.clear(INNOCENT[0])
        assert table.crash_status(INNOCENT[0]) is CrashStatus.CLEAR

    def test_third_suspected_crash_confirms(self) -> None:
        table = CrashTable(LIMIT)
        table.merge([CrashReport(POISON, LIMIT - 1, False)])
        assert table.record_crash([POISON, INNOCENT[0]], alone=False) == [POISON]

    def test_suspicion_expires_and_confirmation_does_not(self) -> None:
        table = CrashTable(LIMIT)
        table.merge([CrashReport(POISON, 1, True), CrashReport(INNOCENT[0], 1, False)])
        table.advance(crashes_module.SUSPECT_TTL_S)
        assert table.crash_status(INNOCENT[0]) is CrashStatus.CLEAR
        assert table.crash_status(POISON) is CrashStatus.CONFIRMED

    def test_only_news_is_passed_on(self) -> None:
        # Peers that pass on what they know already would never stop.
        table = CrashTable(LIMIT)
        news: list[int] = []
        table.subscribe(lambda: news.append(len(news)))
        table.record_crash([POISON], alone=False)
        assert len(news) == 1
        table.merge(table.reports())
        assert len(news) == 1
        table.merge([CrashReport(POISON, LIMIT, True)])
        assert len(news) == 2
        table.merge(table.reports())
        assert len(news) == 2

    def test_size_and_reports_are_bounded(self) -> None:
        table = CrashTable(LIMIT)
        names = [Fingerprint(str(number).encode()) for number in range(5000)]
        table.record_crash(names, alone=False)
        assert len(table) == crashes_module.MAX_SUSPECTS
        assert len(table.reports()) == crashes_module.MAX_REPORTS
