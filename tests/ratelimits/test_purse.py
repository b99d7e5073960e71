"""Tests of a gateway's tokens of one account."""

from dragonflyhold.ratelimits import Allowance, Cause, Grant, Purse, QuotaBounds

BOUNDS = QuotaBounds(window_s=8.0)
GRANTED, RESERVE = 1000.0, 80.0


def _purse(started_at: float = -100.0) -> Purse:
    purse = Purse(BOUNDS, started_at)
    purse.set_allowance(Allowance(GRANTED, RESERVE))
    return purse


class TestBatch:
    """Guards against granted tokens that are used twice, or after their lease."""

    def test_what_was_granted_ahead_is_used_without_a_message(self) -> None:
        purse = _purse()
        assert purse.apply(Grant(30, 0.0, Cause.LIMIT), 10, 0.0, 1, 0.0)
        assert [purse.take_batch(10, 0.1) for _ in range(3)] == [True, True, False]

    def test_a_lease_ends_and_its_tokens_go_back(self) -> None:
        purse = _purse()
        purse.apply(Grant(30, 0.0, Cause.LIMIT), 10, 0.0, 1, 0.0)
        assert not purse.take_batch(10, BOUNDS.lease_s + 0.01)
        assert [row.tokens for row in purse.report(1, False, 1.0)] == [-20]
        assert list(purse.report(1, False, 1.0)) == []

    def test_tokens_go_back_only_to_the_agent_that_granted_them(self) -> None:
        purse = _purse()
        purse.apply(Grant(30, 0.0, Cause.LIMIT), 10, 0.0, 1, 0.0)
        purse.end_lease(1.0)
        assert list(purse.report(2, False, 1.0)) == []

    def test_a_new_agent_is_told_what_was_used_and_what_may_be(self) -> None:
        purse = _purse()
        purse.apply(Grant(30, 0.0, Cause.LIMIT), 10, 0.0, 1, 0.0)
        assert sum(row.tokens for row in purse.report(2, True, 0.1)) == 30

    def test_tokens_of_a_request_that_was_not_sent_are_used_again(self) -> None:
        purse = _purse()
        purse.apply(Grant(10, 0.0, Cause.LIMIT), 10, 0.0, 1, 0.0)
        purse.put_back(10, 0.0, 1.0)
        assert [row.tokens for row in purse.report(1, False, 1.0)] == [-10]

    def test_what_was_put_back_leaves_the_window_with_its_grant(self) -> None:
        purse = _purse()
        purse.apply(Grant(10, 0.0, Cause.LIMIT), 10, 0.0, 1, 0.0)
        purse.put_back(10, 0.0, 4.0, source=1)
        assert [(row.tokens, row.source) for row in purse.report(2, True, 5.0) if row.tokens] == []
        assert list(purse.report(2, True, 10.0)) == []

    def test_a_refusal_holds_for_a_short_time_and_not_for_smaller_requests(self) -> None:
        purse = _purse()
        purse.apply(Grant(0, 5.0, Cause.LIMIT), 10, 0.0, 1, 0.0)
        assert purse.refusal(9, 0.05) is None
        assert purse.refusal(10, 0.05) is not None
        assert purse.refusal(10, 0.2) is None


class TestAlone:
    """Guards against gateways that send too much, or nothing, while no agent replies."""

    def test_a_gateway_has_its_part_of_the_reserve(self) -> None:
        purse = _purse()
        assert [purse.take_alone(10, 1.0, 4) for _ in range(3)] == [True, True, False]

    def test_after_a_window_alone_it_has_its_share_of_the_limit(self) -> None:
        purse = _purse()
        purse.note_counter(0.0)
        assert not purse.take_alone(200, 1.0, 4)
        assert purse.take_alone(200, 9.0, 4)
        assert not purse.take_alone(100, 9.0, 4)

    def test_what_the_ended_agent_left_free_is_shared(self) -> None:
        purse = _purse()
        purse.apply(Grant(10, 0.0, Cause.LIMIT, used_share=0.25), 10, 0.0, 1, 0.0)
        purse.note_counter_lost(False, 1.0)
        assert purse.take_alone(120, 1.0, 4)
        assert not purse.take_alone(120, 1.0, 4)

    def test_an_agent_that_is_only_silent_may_go_on_elsewhere(self) -> None:
        purse = _purse()
        purse.apply(Grant(10, 0.0, Cause.LIMIT, used_share=0.25), 10, 0.0, 1, 0.0)
        purse.note_counter_lost(True, 1.0)
        assert not purse.take_alone(120, 1.0, 4)

    def test_a_process_that_has_just_started_has_nothing_alone(self) -> None:
        """Guards against a limit that gets looser by each restart."""
        purse = _purse(started_at=0.0)
        assert not purse.take_alone(10, 1.0, 4)
        assert purse.take_alone(10, 9.0, 4)

    def test_a_long_time_without_agents_keeps_no_more_than_a_window(self) -> None:
        """Guards against memory that grows while all agents are away."""
        purse = _purse()
        for step in range(1000):
            purse.charge(1, float(step))
        assert len(purse.report(1, False, 999.0)) <= BOUNDS.held_s + 1
        assert len(purse.report(1, True, 999.0)) <= BOUNDS.held_s + 1

    def test_what_was_used_alone_is_told(self) -> None:
        purse = _purse()
        purse.take_alone(10, 1.0, 4)
        purse.charge(5, 1.0)
        assert sum(row.tokens for row in purse.report(1, False, 1.0)) == 15
