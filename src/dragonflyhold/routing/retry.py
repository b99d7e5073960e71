"""Retry policy: retryable errors, delays and the retry budget."""

import dataclasses
import math
import random
from typing import final

from dragonflyhold.errors import ErrorCode, RefusalInfo
from dragonflyhold.settings import RetrySettings
from dragonflyhold.states import Outcome

# Maximum number of retries that the share of requests accumulates: enough to retry the requests of
# one failed upstream.
MAX_SHARE_TOKENS = 100.0
# Maximum time that a retry waits for the budget. When an upstream fails, up to a full batch of
# requests fails at once; without the wait the floor rate would reject most of their retries.
MAX_BUDGET_WAIT_S = 3.0
# Random share of each delay, so that retries of simultaneous failures do not coincide.
JITTER_SHARE = 0.5

# Errors for which another upstream, or the same one shortly after, may succeed.
_RETRYABLE_CODES = frozenset(
    {
        ErrorCode.ADAPTER_LIMIT,
        ErrorCode.ADAPTER_LOAD_FAILED,
        ErrorCode.ANSWER_BUFFER_FULL,
        ErrorCode.CONFIG_STALE,
        ErrorCode.DEADLINE_UNREACHABLE,
        ErrorCode.NO_UPSTREAM,
        ErrorCode.OTHER_INCARNATION,
        ErrorCode.QUEUE_FULL,
        ErrorCode.UNKNOWN_REQUEST,
        ErrorCode.UPSTREAM_CRASHED,
        ErrorCode.UPSTREAM_DOWN,
        ErrorCode.UPSTREAM_LEAVING,
        ErrorCode.UPSTREAM_SILENT,
        ErrorCode.WRONG_UPSTREAM,
    }
)
_OUTCOME_SEVERITY = {Outcome.OK: 0, Outcome.NOT_RUN: 1, Outcome.FAILED: 2, Outcome.IN_DOUBT: 3}


@final
class RetryBudget:
    """Limits retries by two token buckets: a share of all requests, and a floor per second."""

    def __init__(self, settings: RetrySettings, now: float) -> None:
        self._settings = settings
        self._share_tokens = 0.0
        self._floor_tokens = settings.budget_floor_per_s
        self._refilled_at = now

    def record_request(self) -> None:
        """Credit the retry share of a new request."""
        self._share_tokens = min(self._share_tokens + self._settings.budget_ratio, MAX_SHARE_TOKENS)

    def take(self, now: float, max_wait_s: float = 0.0) -> float | None:
        """Spend one retry and return the seconds until it may start, or ``None`` if it may not.

        A retry that would have to wait longer than ``max_wait_s`` or ``MAX_BUDGET_WAIT_S`` is
        refused and spends nothing. The token of a waiting retry is spent in advance, which may make
        the balance negative, so the rate holds.
        """
        rate = self._settings.budget_floor_per_s
        self._floor_tokens = min(
            self._floor_tokens + rate * max(now - self._refilled_at, 0.0), rate
        )
        self._refilled_at = max(now, self._refilled_at)
        if self._floor_tokens < 1.0 <= self._share_tokens:
            self._share_tokens -= 1.0
            return 0.0
        wait_s = max(1.0 - self._floor_tokens, 0.0) / rate if rate > 0 else math.inf
        if wait_s > min(max_wait_s, MAX_BUDGET_WAIT_S):
            return None
        self._floor_tokens -= 1.0
        return wait_s


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """An attempt that returned no complete answer."""

    info: RefusalInfo
    # Worst outcome of the attempts before this one.
    earlier_outcome: Outcome
    idempotent: bool
    # Whether the request uses a permit, which only the upstream that issued it accepts.
    has_permit: bool
    # Whether any piece of the answer was delivered to the caller.
    has_delivered_pieces: bool
    # Number of attempts so far, this one included.
    attempts: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Retry after a delay."""

    delay_s: float
    reason: ErrorCode


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """Do not retry; report the error to the caller."""

    info: RefusalInfo


def combine_outcomes(earlier: Outcome, latest: Outcome) -> Outcome:
    """Return the more severe outcome of two attempts of a request.

    A refused retry does not prove that an earlier attempt did not run.
    """
    return max(earlier, latest, key=_OUTCOME_SEVERITY.__getitem__)


def is_retryable(attempt: FailedAttempt) -> bool:
    """Return whether another attempt is allowed, regardless of budget and deadline."""
    match attempt:
        case FailedAttempt(has_delivered_pieces=True) | FailedAttempt(has_permit=True):
            return False
        case FailedAttempt(info=RefusalInfo(code=code)) if code not in _RETRYABLE_CODES:
            return False
        case FailedAttempt(idempotent=False, info=RefusalInfo(outcome=outcome)):
            return outcome is Outcome.NOT_RUN and attempt.earlier_outcome is Outcome.NOT_RUN
        case _:
            return True


def retry_delay_s(attempts: int, settings: RetrySettings, rng: random.Random) -> float:
    """Return the delay after ``attempts`` attempts: exponential backoff with jitter."""
    delay_limit_ms = min(settings.first_delay_ms * 2.0 ** (attempts - 1), settings.max_delay_ms)
    return delay_limit_ms * (1.0 - JITTER_SHARE * rng.random()) / 1000.0


def decide_retry(
    attempt: FailedAttempt,
    now: float,
    deadline: float,
    budget: RetryBudget,
    settings: RetrySettings,
    rng: random.Random,
) -> RetryAfter | NoRetry:
    """Decide whether a failed attempt is retried; a retry spends the budget."""
    info = attempt.info
    outcome = combine_outcomes(attempt.earlier_outcome, info.outcome)
    final_info = dataclasses.replace(info, outcome=outcome)
    if not is_retryable(attempt) or attempt.attempts >= settings.max_attempts:
        return NoRetry(final_info)
    delay_s = retry_delay_s(attempt.attempts, settings, rng)
    if info.code is ErrorCode.NO_UPSTREAM:
        # No other upstream is available in the meantime, so the hint is a lower bound.
        delay_s = max(delay_s, info.retry_after_ms / 1000)
    if now + delay_s >= deadline:
        return NoRetry(final_info)
    wait_s = budget.take(now, deadline - now)
    if wait_s is None:
        message = f"no retry left after {info.code.value}: {info.message}"
        return NoRetry(RefusalInfo(ErrorCode.RETRY_BUDGET, message, outcome, info.retry_after_ms))
    return RetryAfter(max(delay_s, wait_s), info.code)
