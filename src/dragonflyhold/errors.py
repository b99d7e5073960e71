"""Exceptions of the package and their stable error codes.

The codes are part of the public interface: callers and operators match on them, so they are never
renamed.
"""

import dataclasses
import enum
from typing import final

from dragonflyhold.states import Outcome


class ErrorCode(enum.Enum):
    """Stable code of a refusal or failure; callers see the value."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_REQUEST = "unknown_request"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    PERMIT_REQUIRED = "permit_required"
    PERMIT_REUSED = "permit_reused"
    PERMIT_EXPIRED = "permit_expired"
    PERMIT_LIMIT = "permit_limit"
    OTHER_INCARNATION = "other_incarnation"
    DECLINED = "declined"
    CANCELLED = "cancelled"
    DEADLINE_EXPIRED = "deadline_expired"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    QUEUE_FULL = "queue_full"
    CALLER_LIMIT = "caller_limit"
    ADAPTER_LIMIT = "adapter_limit"
    ANSWER_BUFFER_FULL = "answer_buffer_full"
    ANSWER_TOO_LARGE = "answer_too_large"
    ANSWER_GONE = "answer_gone"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_DOWN = "upstream_down"
    UPSTREAM_CRASHED = "upstream_crashed"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_SILENT = "upstream_silent"
    NO_UPSTREAM = "no_upstream"
    WRONG_UPSTREAM = "wrong_upstream"
    ADAPTER_LOAD_FAILED = "adapter_load_failed"
    QUARANTINED = "quarantined"
    CONFIG_STALE = "config_stale"
    RETRY_BUDGET = "retry_budget"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL = "internal"


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RefusalInfo:
    """Details of a refused or failed request that its caller receives."""

    code: ErrorCode
    message: str
    outcome: Outcome
    # Suggested delay before a retry; 0 if waiting makes no difference.
    retry_after_ms: int = 0


class DragonflyholdError(Exception):
    """Base class of all errors raised by this package."""


class UsageError(DragonflyholdError):
    """Invalid settings, arguments or input."""


@final
class RequestError(DragonflyholdError):
    """A request was refused, failed or has an unknown outcome."""

    def __init__(self, info: RefusalInfo) -> None:
        super().__init__(f"{info.code.value} ({info.outcome.value}): {info.message}")
        self.info = info


class PlatformUnavailableError(DragonflyholdError):
    """The table, the object store or the VM list is unavailable or did not answer in time.

    If a write raises this error, it is unknown whether the write took effect.
    """


@final
class ConditionFailedError(DragonflyholdError):
    """A conditional write found an unexpected row version and wrote nothing."""

    def __init__(self, key: str, expected: int, current: int) -> None:
        super().__init__(f"row {key!r} is at version {current}, expected {expected}")
        self.key = key
        self.expected = expected
        self.current = current


def not_run(code: ErrorCode, message: str, retry_after_ms: int = 0) -> RequestError:
    """Return the error for a request that is known not to have run."""
    return RequestError(RefusalInfo(code, message, Outcome.NOT_RUN, retry_after_ms))


def in_doubt(code: ErrorCode, message: str) -> RequestError:
    """Return the error for a request that may have run."""
    return RequestError(RefusalInfo(code, message, Outcome.IN_DOUBT))


def failed(code: ErrorCode, message: str) -> RequestError:
    """Return the error for a request that ran and failed."""
    return RequestError(RefusalInfo(code, message, Outcome.FAILED))
