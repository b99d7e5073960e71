"""Tests of the retry budget."""

from dragonflyhold.gateway.budget import RATIO_SHARE, SLACK_SHARES, RetryBudget
from dragonflyhold.ids import ServiceName

SERVICE = ServiceName("desk")


class _Clock:
    now = 1000.0

    def __call__(self) -> float:
        return self.now


def _spend_all(budget: RetryBudget) -> int:
    count = 0
    while budget.try_spend(SERVICE):
        count += 1
    return count


class TestRetryBudget:
    """Retry budget."""

    def test_retries_stay_under_the_ratio(self) -> None:
        budget = RetryBudget(0.2, 10.0, 56.0, _Clock())
        for _ in range(1000):
            budget.note_request(SERVICE)
        assert _spend_all(budget) == int(0.2 * RATIO_SHARE * 1000 + 56 / SLACK_SHARES)

    def test_all_gateways_together_stay_under_the_slack(self) -> None:
        """Five gateways and their restarted successors share one fixed allowance."""
        budgets = [RetryBudget(0.2, 10.0, 56.0, _Clock()) for _ in range(SLACK_SHARES)]
        assert sum(_spend_all(budget) for budget in budgets) <= 56

    def test_the_window_slides(self) -> None:
        clock = _Clock()
        budget = RetryBudget(0.2, 10.0, 56.0, clock)
        spent = _spend_all(budget)
        assert spent > 0
        clock.now += 5.0
        assert _spend_all(budget) == 0
        clock.now += 6.0
        assert _spend_all(budget) == spent

    def test_services_do_not_share(self) -> None:
        budget = RetryBudget(0.2, 10.0, 56.0, _Clock())
        _spend_all(budget)
        assert budget.try_spend(ServiceName("other"))
