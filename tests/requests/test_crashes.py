"""Tests of the detection of requests that crash their upstreams."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dragonflyhold.ids import Fingerprint
from dragonflyhold.requests import CrashReport, CrashStatus, CrashTable
from dragonflyhold.requests import crashes as crashes_module

LIMIT = 3
POISON = Fingerprint(b"poison")
HARMLESS = [Fingerprint(b"one"), Fingerprint(b"two")]
MACHINE_SETTINGS = settings(
    derandomize=True, max_examples=250, stateful_step_count=40, deadline=None
)


class CrashMachine(RuleBasedStateMachine):
    """Model of a region with three upstreams that run a crashing request and harmless ones.

    The model runs suspects exclusively, as admission does. Like routing, it sends all copies of
    the crashing request to one upstream, except for one that was in flight before the first crash.
    Crash reports are exchanged in any order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tables = [CrashTable(LIMIT) for _ in range(3)]
        self.running: list[list[tuple[Fingerprint, bool]]] = [[] for _ in range(3)]
        self.poison_crashes = 0

    @rule(upstream=st.integers(0, 2), fingerprint=st.sampled_from([POISON, POISON, *HARMLESS]))
    def start(self, upstream: int, fingerprint: Fingerprint) -> None:
        running = self.running[upstream]
        crash_status = self.tables[upstream].crash_status(fingerprint)
        if crash_status is CrashStatus.CONFIRMED or any(
            is_exclusive for _, is_exclusive in running
        ):
            return
        copies_in_flight = sum(item[0] == POISON for requests in self.running for item in requests)
        if fingerprint == POISON:
            # After a crash, all copies go to one upstream. At most one other was in flight before.
            if copies_in_flight >= 2 or (self.poison_crashes and copies_in_flight):
                return
            if self.poison_crashes:
                # The entry sends its crash count along with the retried request.
                report = CrashReport(POISON, self.poison_crashes, False)
                self.tables[upstream].merge([report])
                crash_status = self.tables[upstream].crash_status(POISON)
                if crash_status is CrashStatus.CONFIRMED:
                    return
        if crash_status is CrashStatus.SUSPECT:
            # Admission starts the request only after all others have ended.
            running.clear()
        running.append((fingerprint, crash_status is CrashStatus.SUSPECT))

    @precondition(lambda self: self._upstreams_running_poison())
    @rule(choice=st.integers(0, 1))
    def run_poison(self, choice: int) -> None:
        """Crash one of the upstreams that run the crashing request."""
        candidates = self._upstreams_running_poison()
        self.poison_crashes += 1
        self._crash(candidates[choice % len(candidates)])

    @rule(upstream=st.integers(0, 2), index=st.integers(0, 5))
    def end_harmless(self, upstream: int, index: int) -> None:
        running = self.running[upstream]
        requests = [request for request in running if request[0] != POISON]
        if not requests:
            return
        request = requests[index % len(requests)]
        running.remove(request)
        if request[1]:
            self.tables[upstream].clear(request[0])

    @rule(source=st.integers(0, 2), receiver=st.integers(0, 2))
    def exchange(self, source: int, receiver: int) -> None:
        self.tables[receiver].merge(self.tables[source].reports())

    @invariant()
    def crashes_are_bounded(self) -> None:
        assert self.poison_crashes <= LIMIT

    @invariant()
    def harmless_requests_are_not_confirmed(self) -> None:
        for table in self.tables:
            for fingerprint in HARMLESS:
                assert table.crash_status(fingerprint) is not CrashStatus.CONFIRMED

    def _crash(self, upstream: int) -> None:
        requests = self.running[upstream]
        is_exclusive = len(requests) == 1 and requests[0][1]
        self.tables[upstream].record_crash([request[0] for request in requests], is_exclusive)
        self.running[upstream] = []

    def _upstreams_running_poison(self) -> list[int]:
        return [
            upstream
            for upstream, requests in enumerate(self.running)
            if any(fingerprint == POISON for fingerprint, _ in requests)
        ]


class TestCrashMachine(CrashMachine.TestCase):
    """Guards against a fourth crash by one request and against quarantine of harmless requests."""

    settings = MACHINE_SETTINGS


class TestCrashTable:
    """Guards against missed and false confirmations and against unbounded tables."""

    def test_first_crash_of_exclusive_request_does_not_confirm(self) -> None:
        # Guards against quarantine of a request that was alone in flight at a planned restart.
        table = CrashTable(LIMIT)
        assert table.record_crash([POISON], was_exclusive=True) == []
        assert table.crash_status(POISON) is CrashStatus.SUSPECT

    def test_exclusive_crash_of_suspect_confirms(self) -> None:
        # The confirmation takes effect at once and is listed until its quarantine row is stored.
        table = CrashTable(LIMIT)
        table.record_crash([POISON, HARMLESS[0]], was_exclusive=False)
        assert table.record_crash([POISON], was_exclusive=True) == [POISON]
        assert table.unstored() == [POISON]
        table.mark_stored(POISON)
        assert table.unstored() == []
        assert table.crash_status(POISON) is CrashStatus.CONFIRMED

    def test_stale_reports_do_not_renew_cleared_suspicion(self) -> None:
        table = CrashTable(LIMIT)
        table.merge([CrashReport(POISON, 1, False)])
        table.clear(POISON)
        table.merge([CrashReport(POISON, 1, False)])
        assert table.crash_status(POISON) is CrashStatus.CLEAR
        table.merge([CrashReport(POISON, 2, False)])
        assert table.crash_status(POISON) is CrashStatus.SUSPECT

    def test_harmless_request_in_two_crashes_is_not_confirmed(self) -> None:
        table = CrashTable(LIMIT)
        table.record_crash([POISON, HARMLESS[0]], was_exclusive=False)
        assert table.record_crash([POISON, HARMLESS[0]], was_exclusive=False) == []
        assert table.crash_status(HARMLESS[0]) is CrashStatus.SUSPECT
        table.clear(HARMLESS[0])
        assert table.crash_status(HARMLESS[0]) is CrashStatus.CLEAR

    def test_crash_limit_confirms(self) -> None:
        table = CrashTable(LIMIT)
        table.merge([CrashReport(POISON, LIMIT - 1, False)])
        assert table.record_crash([POISON, HARMLESS[0]], was_exclusive=False) == [POISON]

    def test_only_suspicions_expire(self) -> None:
        table = CrashTable(LIMIT)
        table.merge([CrashReport(POISON, 1, True), CrashReport(HARMLESS[0], 1, False)])
        table.advance(crashes_module.SUSPECT_TTL_S)
        assert table.crash_status(HARMLESS[0]) is CrashStatus.CLEAR
        assert table.crash_status(POISON) is CrashStatus.CONFIRMED

    def test_subscriber_is_called_only_for_new_reports(self) -> None:
        # If known reports were sent again, peers would send them to each other forever.
        table = CrashTable(LIMIT)
        calls: list[int] = []
        table.subscribe(lambda: calls.append(len(calls)))
        table.record_crash([POISON], was_exclusive=False)
        assert len(calls) == 1
        table.merge(table.reports())
        assert len(calls) == 1
        table.merge([CrashReport(POISON, LIMIT, True)])
        assert len(calls) == 2
        table.merge(table.reports())
        assert len(calls) == 2

    def test_size_and_reports_are_bounded(self) -> None:
        table = CrashTable(LIMIT)
        fingerprints = [Fingerprint(str(number).encode()) for number in range(5000)]
        table.record_crash(fingerprints, was_exclusive=False)
        assert len(table) == crashes_module.MAX_SUSPECTS
        assert len(table.reports()) == crashes_module.MAX_REPORTS
