"""Tests of the agent that counts the requests of all gateways to limited upstreams."""

import random

from dragonflyhold.gateway.limit_ledger import ENDED_S, EXPIRY_S, LimitLedger
from dragonflyhold.gateway.messages import LimitReport, LimitStatement


class _Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


def _report(
    limit_per_s: float | None, age_s: float = 0.0, sent: tuple[float, ...] = ()
) -> LimitReport:
    return LimitReport(LimitStatement("r1@5", limit_per_s, age_s), sent)


class TestLimitLedger:
    """Guards against gateways that each keep a limit but exceed it together."""

    def test_permits_of_all_gateways_stay_within_the_limit(self) -> None:
        rng, clock = random.Random(7), _Clock()
        ledger, granted = LimitLedger(clock), []
        for _ in range(4000):
            clock.now += rng.random() * 0.02
            ledger.apply(_report(6.0))
            if ledger.take("r1@5") == 0:
                granted.append(clock.now)
        most = max(sum(end - 4.0 < at <= end for at in granted) for end in granted)
        assert 20 <= most <= 24

    def test_requests_without_a_permit_count(self) -> None:
        """Guards against a limit that begins anew when it is stated, or when an agent is back."""
        ledger = LimitLedger(_Clock())
        ledger.apply(_report(2.0, sent=(0.1, 0.2, 0.3, 0.4)))
        ledger.apply(_report(2.0, sent=(0.1, 0.2, 0.3, 0.4)))
        assert ledger.take("r1@5") > 3.0

    def test_the_newest_statement_holds(self) -> None:
        """Guards against late messages that bring back a limit that has ended."""
        ledger = LimitLedger(_Clock())
        assert ledger.apply(_report(2.0, age_s=0.5))
        assert ledger.apply(_report(None, age_s=0.1))
        assert not ledger.apply(_report(2.0, age_s=0.4))
        assert ledger.statement("r1@5").limit_per_s is None
        assert all(ledger.take("r1@5") == 0 for _ in range(100))

    def test_a_wait_is_never_taken_for_a_permit(self) -> None:
        """Guards against a wait that is rounded to 0 in the message."""
        clock = _Clock()
        ledger = LimitLedger(clock)
        ledger.apply(_report(1.0))
        assert ledger.take("r1@5") == 0
        clock.now += 1.0 - 1e-6
        assert ledger.take("r1@5") >= 0.001

    def test_limits_are_repeated_and_forgotten(self) -> None:
        clock = _Clock()
        ledger = LimitLedger(clock)
        ledger.apply(_report(2.0))
        assert [item.limit_per_s for item in ledger.statements()] == [2.0]
        ledger.apply(_report(None))
        assert [item.limit_per_s for item in ledger.statements()] == [None]
        clock.now += ENDED_S + 1
        assert ledger.statements() == []
        ledger.apply(_report(2.0))
        clock.now += EXPIRY_S + 1
        assert ledger.statements() == []
