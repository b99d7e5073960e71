"""Which refused or failed requests are tried again, when, and within which budget."""

import dataclasses
import math
import random
from typing import final

from dragonflyhold.errors import ErrorCode, RefusalInfo
from dragonflyhold.settings import RetrySettings
from dragonflyhold.states import Outcome

# Retries saved up by the share of requests: enough for the requests of one failed upstream.
MAX_SAVED_RETRIES = 100.0
# Longest time that a retry waits for the budget: an upstream that fails loses up to a full batch of
# requests at once, which the floor alone would refuse.
MAX_BUDGET_WAIT_S = 3.0
# Delays are spread over this share of their length, so that retries do not come in waves.
JITTER_SHARE = 0.5

# Another upstream, or the same one a moment later, can give a different answer to these.
_RETRYABLE = frozenset(
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
_SEVERITY = {Outcome.OK: 0, Outcome.NOT_RUN: 1, Outcome.FAILED: 2, Outcome.IN_DOUBT: 3}


@final
class RetryBudget:
    """Token buckets: a share of all requests, and a floor per second."""

    def __init__(self, settings: RetrySettings, now: float) -> None:
        self._settings = settings
        self._shared = 0.0
        self._floor = settings.budget_floor_per_s
        self._filled_at = now

    def record_request(self) -> None:
        """Add the share of one new request."""
        self._shared = min(self._shared + self._settings.budget_ratio, MAX_SAVED_RETRIES)

    def take(self, now: float, patience_s: float = 0.0) -> float | None:
        """Spend one retry; return the seconds until it may start, or ``None``.

        A retry that would have to wait longer than ``patience_s`` or ``MAX_BUDGET_WAIT_S`` is not
        spent. Retries that wait are spent ahead, so the rate holds.
        """
        rate = self._settings.budget_floor_per_s
        self._floor = min(self._floor + rate * max(now - self._filled_at, 0.0), rate)
        self._filled_at = max(now, self._filled_at)
        if self._floor < 1.0 <= self._shared:
            self._shared -= 1.0
            return 0.0
        wait_s = max(1.0 - self._floor, 0.0) / rate if rate > 0 else math.inf
        if wait_s > min(patience_s, MAX_BUDGET_WAIT_S):
            return None
        self._floor -= 1.0
        return wait_s


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """One attempt that brought no complete answer."""

    info: RefusalInfo
    # Worst outcome of the attempts before this one.
    earlier_outcome: Outcome
    idempotent: bool
    # The request uses a permit, which only its owner may run.
    has_permit: bool
    # Whether any piece of the answer was passed to the caller.
    has_delivered_pieces: bool
    # Attempts made so far, this one included.
    attempts: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Try again after a delay in seconds."""

    delay_s: float
    reason: ErrorCode


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """Tell the caller."""

    info: RefusalInfo


def combine_outcomes(earlier: Outcome, latest: Outcome) -> Outcome:
    """Return what is known of a request from two of its attempts.

    A retry that was refused says nothing about an earlier attempt that may have run.
    """
    return max(earlier, latest, key=_SEVERITY.__getitem__)


def is_retryable(attempt: FailedAttempt) -> bool:
    """Whether the rules allow another attempt, budget and deadline aside."""
    match attempt:
        case FailedAttempt(has_delivered_pieces=True) | FailedAttempt(has_permit=True):
            return False
        case FailedAttempt(info=RefusalInfo(code=code)) if code not in _RETRYABLE:
            return False
        case FailedAttempt(idempotent=False, info=RefusalInfo(outcome=outcome)):
            return outcome is Outcome.NOT_RUN and attempt.earlier_outcome is Outcome.NOT_RUN
        case _:
            return True


def retry_delay_s(attempts: int, settings: RetrySettings, rng: random.Random) -> float:
    """Return the delay after ``attempts`` attempts: exponential with jitter."""
    longest = min(settings.first_delay_ms * 2.0 ** (attempts - 1), settings.max_delay_ms)
    return longest * (1.0 - JITTER_SHARE * rng.random()) / 1000.0


def decide_retry(
    attempt: FailedAttempt,
    now: float,
    deadline: float,
    budget: RetryBudget,
    settings: RetrySettings,
    rng: random.Random,
) -> RetryAfter | NoRetry:
    """Decide what follows a failed attempt; spends the budget if it is a retry."""
    info = attempt.info
    outcome = combine_outcomes(attempt.earlier_outcome, info.outcome)
    final_info = dataclasses.replace(info, outcome=outcome)
    if not is_retryable(attempt) or attempt.attempts >= settings.max_attempts:
        return NoRetry(final_info)
    delay_s = retry_delay_s(attempt.attempts, settings, rng)
    if info.code is ErrorCode.NO_UPSTREAM:
        # Nobody else can be asked meanwhile, so the hint is a lower bound here.
        delay_s = max(delay_s, info.retry_after_ms / 1000)
    if now + delay_s >= deadline:
        return NoRetry(final_info)
    wait_s = budget.take(now, deadline - now)
    if wait_s is None:
        message = f"no retry left after {info.code.value}: {info.message}"
        return NoRetry(RefusalInfo(ErrorCode.RETRY_BUDGET, message, outcome, info.retry_after_ms))
    return RetryAfter(max(delay_s, wait_s), info.code)
