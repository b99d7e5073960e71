"""Tests of the retry policy."""

import dataclasses
import random

import pytest

from dragonflyhold.errors import ErrorCode, RefusalInfo
from dragonflyhold.routing.retry import (
    FailedAttempt,
    NoRetry,
    RetryAfter,
    RetryBudget,
    combine_outcomes,
    decide_retry,
    is_retryable,
    retry_delay_s,
)
from dragonflyhold.settings import RetrySettings
from dragonflyhold.states import Outcome

SETTINGS = RetrySettings()


def _attempt(code: ErrorCode, outcome: Outcome, **changes: object) -> FailedAttempt:
    base = FailedAttempt(
        info=RefusalInfo(code, "", outcome),
        earlier_outcome=Outcome.NOT_RUN,
        idempotent=True,
        has_permit=False,
        has_delivered_pieces=False,
        attempts=1,
    )
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]


class TestRetryRules:
    """Guards against a request that runs twice or mixes pieces of two attempts."""

    @pytest.mark.parametrize("outcome", [Outcome.IN_DOUBT, Outcome.FAILED])
    def test_non_idempotent_request_is_retried_only_if_it_did_not_run(
        self, outcome: Outcome
    ) -> None:
        code = ErrorCode.UPSTREAM_DOWN
        assert is_retryable(_attempt(code, Outcome.NOT_RUN, idempotent=False))
        assert not is_retryable(_attempt(code, outcome, idempotent=False))
        assert is_retryable(_attempt(code, outcome))

    def test_non_idempotent_request_is_not_retried_after_an_attempt_in_doubt(self) -> None:
        attempt = _attempt(
            ErrorCode.QUEUE_FULL,
            Outcome.NOT_RUN,
            idempotent=False,
            earlier_outcome=Outcome.IN_DOUBT,
        )
        assert not is_retryable(attempt)

    @pytest.mark.parametrize("change", ["has_delivered_pieces", "has_permit"])
    def test_no_retry_after_a_delivered_piece_or_with_a_permit(self, change: str) -> None:
        attempt = _attempt(ErrorCode.QUEUE_FULL, Outcome.NOT_RUN, **{change: True})
        assert not is_retryable(attempt)

    @pytest.mark.parametrize(
        "code", [ErrorCode.BAD_REQUEST, ErrorCode.CALLER_LIMIT, ErrorCode.QUARANTINED]
    )
    def test_permanent_errors_are_not_retried(self, code: ErrorCode) -> None:
        assert not is_retryable(_attempt(code, Outcome.NOT_RUN))

    def test_refused_retry_keeps_the_outcome_of_an_earlier_attempt(self) -> None:
        assert combine_outcomes(Outcome.IN_DOUBT, Outcome.NOT_RUN) is Outcome.IN_DOUBT
        assert combine_outcomes(Outcome.FAILED, Outcome.NOT_RUN) is Outcome.FAILED
        assert combine_outcomes(Outcome.NOT_RUN, Outcome.NOT_RUN) is Outcome.NOT_RUN


class TestRetryDecision:
    """Guards against retries beyond the deadline or the budget, which amplify an overload."""

    def _decide(
        self, attempt: FailedAttempt, budget: RetryBudget, deadline: float = 100.0
    ) -> RetryAfter | NoRetry:
        return decide_retry(attempt, 0.0, deadline, budget, SETTINGS, random.Random(1))

    def test_retry_has_a_delay_and_a_reason(self) -> None:
        attempt = _attempt(ErrorCode.QUEUE_FULL, Outcome.NOT_RUN)
        decision = self._decide(attempt, RetryBudget(SETTINGS, 0.0))
        assert isinstance(decision, RetryAfter)
        assert decision.reason is ErrorCode.QUEUE_FULL
        assert 0.01 <= decision.delay_s <= 0.02

    def test_no_retry_beyond_the_deadline(self) -> None:
        attempt = _attempt(ErrorCode.QUEUE_FULL, Outcome.NOT_RUN)
        decision = self._decide(attempt, RetryBudget(SETTINGS, 0.0), deadline=0.005)
        assert decision == NoRetry(attempt.info)

    def test_attempts_are_limited(self) -> None:
        attempt = _attempt(ErrorCode.QUEUE_FULL, Outcome.NOT_RUN, attempts=SETTINGS.max_attempts)
        assert isinstance(self._decide(attempt, RetryBudget(SETTINGS, 0.0)), NoRetry)

    def test_exhausted_budget_reports_the_combined_outcome(self) -> None:
        settings = dataclasses.replace(SETTINGS, budget_floor_per_s=0.0, budget_ratio=0.0)
        attempt = _attempt(ErrorCode.QUEUE_FULL, Outcome.NOT_RUN, earlier_outcome=Outcome.IN_DOUBT)
        decision = self._decide(attempt, RetryBudget(settings, 0.0))
        assert isinstance(decision, NoRetry)
        assert decision.info.code is ErrorCode.RETRY_BUDGET
        assert decision.info.outcome is Outcome.IN_DOUBT

    def test_delay_grows_up_to_the_maximum(self) -> None:
        rng = random.Random(2)
        delays = [retry_delay_s(attempts, SETTINGS, rng) for attempts in range(1, 12)]
        assert all(0.01 <= delay <= 1.0 for delay in delays)
        assert min(delays[-3:]) >= 0.5


class TestRetryBudget:
    """Guards against retry storms: the budget is a share of requests plus a small floor."""

    def test_floor_allows_a_fixed_rate(self) -> None:
        budget = RetryBudget(SETTINGS, 0.0)
        assert sum(budget.take(0.0) is not None for _ in range(50)) == 10
        assert sum(budget.take(0.5) is not None for _ in range(50)) == 5

    def test_retries_of_a_failed_upstream_wait_for_the_floor(self) -> None:
        # 10 retries start immediately and 10 per second for 3 s.
        budget = RetryBudget(SETTINGS, 0.0)
        waits = [budget.take(0.0, max_wait_s=20.0) for _ in range(50)]
        starts = [wait for wait in waits if wait is not None]
        assert len(starts) == 40
        for until in (0.0, 0.5, 1.0, 3.0):
            assert sum(start <= until + 1e-9 for start in starts) <= 10 + 10 * until + 1e-9
        # Tokens spent in advance are not available a second time.
        assert budget.take(1.0, max_wait_s=1.0) is None

    def test_no_retry_waits_longer_than_its_limit(self) -> None:
        budget = RetryBudget(SETTINGS, 0.0)
        waits = [budget.take(0.0, max_wait_s=0.5) for _ in range(50)]
        assert sum(wait is not None for wait in waits) == 15

    def test_share_allows_a_fraction_of_requests(self) -> None:
        budget = RetryBudget(dataclasses.replace(SETTINGS, budget_floor_per_s=0.0), 0.0)
        for _ in range(205):
            budget.record_request()
        assert sum(budget.take(0.0) is not None for _ in range(100)) == 20
