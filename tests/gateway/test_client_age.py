"""Tests of the estimate for how long a client has been trying."""

import random

from dragonflyhold.gateway.client_age import ClientAges


class TestClientAges:
    """Clients whose time limits differ."""

    def test_first_attempts_with_different_limits_are_not_retries(self) -> None:
        """Guards against requests that count as late from the start.

        Clients of one kind of request have limits between 85% and 100% of the longest one. Taking
        the difference for time already spent, most of them seemed to have missed their target
        latency: their adapters were loaded last, and their prompts were not paced.
        """
        ages, rng = ClientAges(), random.Random(1)
        estimates = [ages.estimate("report", rng.uniform(12.75, 15.0)) for _ in range(500)]
        assert set(estimates) == {0.0}

    def test_a_client_with_clearly_less_time_left_is_retrying(self) -> None:
        ages = ClientAges()
        ages.estimate("ask", 4.0)
        assert 1.0 <= ages.estimate("ask", 2.4) <= 1.6

    def test_routes_are_independent(self) -> None:
        ages = ClientAges()
        ages.estimate("report", 25.0)
        assert ages.estimate("ask", 4.0) == 0.0

    def test_a_request_without_limit_has_no_age(self) -> None:
        assert ClientAges().estimate("ask", None) == 0.0

    def test_an_absurd_limit_makes_no_retries_of_later_requests(self) -> None:
        """Guards against one client whose time limit makes all requests of its route late."""
        ages = ClientAges()
        assert ages.estimate("ask", 1e6, timeout_s=4.0) == 0.0
        assert ages.estimate("ask", 4.0, timeout_s=4.0) == 0.0
