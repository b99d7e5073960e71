"""Tests of an agent's count of one account's tokens."""

import pytest

from dragonflyhold.ratelimits import AccountLedger, Cause, UsageRow

HELD_S = 8.0
AGE_S = 100.0


def _ledger(*gateways: str, allowed: float = 1000.0) -> AccountLedger[str]:
    ledger: AccountLedger[str] = AccountLedger(HELD_S, epoch=1)
    ledger.set_limit(1, allowed)
    for gateway in gateways:
        ledger.join(gateway, AGE_S, 0.0, len(gateways))
    return ledger


class TestGrants:
    """Guards against more tokens than the limit, and against less than it allows."""

    def test_the_whole_limit_is_granted_once_in_a_window(self) -> None:
        ledger = _ledger("a", "b")
        assert [ledger.take(500, 500, at, 2).tokens for at in (0.0, 1.0, 2.0)] == [500, 500, 0]
        assert ledger.take(500, 500, HELD_S + 0.1, 2).tokens == 500
        assert ledger.take(500, 500, HELD_S + 0.2, 2).tokens == 0

    def test_a_refusal_tells_when_there_is_room(self) -> None:
        ledger = _ledger("a")
        ledger.take(1000, 1000, 0.0, 1)
        grant = ledger.take(100, 100, 3.0, 1)
        assert (grant.tokens, grant.cause) == (0, Cause.LIMIT)
        assert grant.wait_s == pytest.approx(5.0)

    def test_refused_requests_are_told_to_come_back_one_after_the_other(self) -> None:
        """Guards against a crowd that comes back when there is room for the first of it."""
        ledger = _ledger("a")
        for at in range(5):
            ledger.take(200, 200, float(at), 1)
        returns = [ledger.take(200, 200, 5.0, 1).return_s for _ in range(4)]
        assert returns == pytest.approx([3.0, 4.0, 5.0, 6.0])

    def test_no_more_than_needed_is_granted_near_the_limit(self) -> None:
        ledger = _ledger("a")
        assert ledger.take(100, 5000, 0.0, 1).tokens > 100
        ledger.take(700, 700, 0.0, 1)
        assert ledger.take(10, 5000, 0.0, 1).tokens == 10

    def test_a_lower_limit_holds_at_once_and_a_higher_one_too(self) -> None:
        ledger = _ledger("a")
        ledger.take(500, 500, 0.0, 1)
        ledger.set_limit(2, 400.0)
        assert ledger.take(10, 10, 1.0, 1).tokens == 0
        ledger.set_limit(1, 1000.0)
        assert ledger.take(10, 10, 1.0, 1).tokens == 0
        ledger.set_limit(3, 2000.0)
        assert ledger.take(1500, 1500, 1.0, 1).tokens == 1500

    def test_tokens_that_were_left_are_granted_again(self) -> None:
        ledger = _ledger("a")
        ledger.take(1000, 1000, 0.0, 1)
        ledger.note_used([UsageRow(0.0, -300)])
        assert ledger.take(300, 300, 1.0, 1).tokens == 300


class TestPace:
    """Guards against an account that uses its window up at once and then gets nothing for long."""

    def _ledger(self) -> AccountLedger[str]:
        ledger = _ledger("a")
        ledger.set_limit(2, 900.0, 100.0)
        return ledger

    def test_an_account_that_asks_for_too_much_gets_its_rate_all_the_time(self) -> None:
        ledger = self._ledger()
        granted = [ledger.take(10, 10, 0.1 * turn, 1).tokens for turn in range(400)]
        seconds = [sum(granted[start : start + 10]) for start in range(0, 400, 10)]
        assert seconds[0] <= 200
        assert all(90 <= tokens <= 110 for tokens in seconds[1:])

    def test_a_burst_is_granted_after_a_calm_time(self) -> None:
        ledger = self._ledger()
        for at in (0.0, 1.0, 9.0):
            grants = [ledger.take(10, 10, at, 1).tokens for _ in range(20)]
            assert sum(grants) == 100

    def test_a_refusal_tells_when_the_pace_allows_the_request(self) -> None:
        ledger = self._ledger()
        ledger.take(100, 100, 0.0, 1)
        grant = ledger.take(50, 50, 0.0, 1)
        assert (grant.tokens, grant.wait_s) == (0, pytest.approx(0.5))
        assert ledger.take(50, 50, grant.wait_s + 0.001, 1).tokens == 50

    def test_tokens_given_back_are_granted_again(self) -> None:
        ledger = self._ledger()
        ledger.take(100, 100, 0.0, 1)
        ledger.note_used([UsageRow(0.0, -60)])
        assert ledger.take(60, 60, 0.0, 1).tokens == 60

    def test_a_share_of_the_gateways_gets_a_share_of_the_pace(self) -> None:
        ledger = _ledger("a", "b")
        ledger.set_limit(2, 900.0, 100.0)
        ledger.leave("b")
        assert ledger.take(50, 50, 1.0, 2).tokens == 50
        assert ledger.take(10, 10, 1.0, 2).tokens == 0
        assert ledger.take(10, 10, 1.2001, 2).tokens == 10

    def test_a_request_beyond_the_burst_runs_after_a_calm_time(self) -> None:
        """Guards against long requests that never run although the limit allows them."""
        ledger = self._ledger()
        assert ledger.take(300, 300, 0.0, 1).tokens == 300
        assert ledger.take(10, 10, 2.0, 1).tokens == 0
        assert ledger.take(10, 10, 2.2, 1).tokens == 10


class TestBeginning:
    """Guards against a limit that a new counting agent grants a second time."""

    def test_an_agent_that_all_gateways_have_told_grants_the_rest(self) -> None:
        ledger: AccountLedger[str] = AccountLedger(HELD_S, epoch=2)
        ledger.set_limit(1, 1000.0)
        ledger.join("a", AGE_S, 1.0, 2, [UsageRow(0.5, 600, 1)])
        assert ledger.take(10, 10, 1.0, 2).tokens == 0
        ledger.join("b", AGE_S, 1.0, 2, [UsageRow(0.5, 100, 1)])
        assert ledger.is_known
        assert [ledger.take(300, 300, 1.0, 2).tokens for _ in range(2)] == [300, 0]

    def test_a_restarted_gateway_hides_what_was_sent_for_a_window(self) -> None:
        ledger: AccountLedger[str] = AccountLedger(HELD_S, epoch=2)
        ledger.set_limit(1, 1000.0)
        ledger.join("a", AGE_S, 1.0, 2)
        ledger.join("b", 0.5, 1.0, 2)
        assert ledger.take(10, 10, 1.0, 2).tokens == 0
        assert ledger.take(10, 10, 1.0 + HELD_S, 2).tokens == 10

    def test_what_is_unknown_gets_less_at_the_pace(self) -> None:
        """Guards against accounts that get nothing for a window after all processes ended."""
        ledger: AccountLedger[str] = AccountLedger(HELD_S, epoch=2)
        ledger.set_limit(1, 900.0, 100.0)
        ledger.join("a", 0.0, 0.0, 1)
        grants = [ledger.take(50, 50, at, 1).tokens for at in (0.0, 0.4, 0.51, 0.9, 1.01)]
        assert grants == [0, 0, 50, 0, 50]

    def test_what_gateways_saw_bounds_what_is_unknown(self) -> None:
        ledger: AccountLedger[str] = AccountLedger(HELD_S, epoch=2)
        ledger.set_limit(1, 1000.0)
        ledger.join("a", AGE_S, 1.0, 2, [UsageRow(0.5, 200, 1)], seen_share=0.6)
        ledger.join("b", 0.5, 1.0, 2)
        assert ledger.take(300, 300, 1.0, 2).tokens == 300
        assert ledger.take(200, 200, 1.0, 2).tokens == 0

    def test_an_agent_with_some_gateways_grants_their_share(self) -> None:
        ledger = _ledger("a", "b", "c", "d")
        ledger.leave("d")
        assert ledger.take(800, 800, 1.0, 4).cause is Cause.SHARE
        assert ledger.take(750, 750, 1.0, 4).tokens == 750

    def test_what_the_agent_granted_itself_counts_once(self) -> None:
        """Guards against gateways that reconnect and tell what the agent knows."""
        ledger = _ledger("a")
        ledger.take(600, 600, 0.0, 1)
        ledger.leave("a")
        ledger.join("a", AGE_S, 1.0, 1, [UsageRow(0.0, 600, 1)])
        assert ledger.take(400, 400, 1.0, 1).tokens == 400
