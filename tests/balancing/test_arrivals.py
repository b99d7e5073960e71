"""Tests of the estimate of a request rate."""

import pytest

from dragonflyhold.balancing import ArrivalRate


class TestArrivalRate:
    """The rate from which that of the other gateways is estimated."""

    def test_no_requests(self) -> None:
        assert ArrivalRate().per_s(5.0) == 0.0

    @pytest.mark.parametrize("seconds", [3, 20])
    def test_a_steady_rate(self, seconds: int) -> None:
        """Guards against too low an estimate after a start."""
        rate = ArrivalRate()
        for index in range(50 * seconds):
            rate.note(100.0 + index / 50)
        assert rate.per_s(100.0 + seconds) == pytest.approx(50.0, rel=0.05)

    def test_the_rate_falls_when_requests_end(self) -> None:
        rate = ArrivalRate()
        for index in range(500):
            rate.note(index / 50)
        assert rate.per_s(20.0) < 3.0

    def test_a_clock_that_stands_still_does_no_harm(self) -> None:
        rate = ArrivalRate()
        for _ in range(10):
            rate.note(7.0)
        assert 0.0 < rate.per_s(6.0) < 10.0
