"""Tests of what a limit allows to agents and gateways."""

import pytest

from dragonflyhold.accounts import TokenLimit
from dragonflyhold.ratelimits import Allowance, QuotaBounds, count_tokens

LIMIT = TokenLimit(rate_per_s=1000, burst=2000, plain_tokens=200)


class TestAllowance:
    """Guards against parts that add up to more than the bound, or leave the limit unused."""

    @pytest.mark.parametrize("overage", [0.0, 0.1, 0.5])
    @pytest.mark.parametrize("slack", [0.0, 500.0, 110_000.0])
    def test_both_parts_keep_the_bound(self, overage: float, slack: float) -> None:
        allowance = Allowance.of(LIMIT, QuotaBounds(8.0, overage, slack))
        most = 10_000 * (1 + overage) + slack
        assert allowance.granted + allowance.reserve <= most + 1e-6
        assert allowance.reserve > 0
        # Of tokens that count for longer than the window, more are granted.
        assert allowance.granted * 8.0 / 8.25 >= 0.93 * 10_000

    def test_the_whole_limit_is_granted_where_the_tolerance_covers_the_leases(self) -> None:
        allowance = Allowance.of(LIMIT, QuotaBounds(8.0, 0.1, 0.0))
        paced = allowance.granted - allowance.spare
        assert paced * 8.0 / 8.25 == pytest.approx(10_000)
        assert allowance.granted + allowance.reserve == pytest.approx(11_000)


class TestCountTokens:
    """Guards against requests that count for nothing."""

    def test_both_numbers_count(self) -> None:
        assert count_tokens(LIMIT, 491, 14) == 505

    def test_a_missing_or_odd_count_is_that_of_plain_requests(self) -> None:
        assert count_tokens(LIMIT, 0, 0) == 200

    def test_limits_in_requests_count_each_once(self) -> None:
        limit = TokenLimit(10, 10, 200, counts_tokens=False)
        assert count_tokens(limit, 491, 14) == 1
