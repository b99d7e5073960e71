"""Errors with stable codes.

Codes are part of the interface: callers and operators match on them, so they are never renamed.
"""

import dataclasses
import enum
from typing import final

from dragonflyhold.states import Outcome


class ErrorCode(enum.Enum):
    """Stable code of a refusal or failure; the value is what callers see."""

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
    """What a caller is told about a request that was not answered."""

    code: ErrorCode
    message: str
    outcome: Outcome
    # 0 if trying again sooner makes no difference.
    retry_after_ms: int = 0


class DragonflyholdError(Exception):
    """Base of all errors of this package."""


class UsageError(DragonflyholdError):
    """A mistake of the user: settings, arguments or input."""


@final
class RequestError(DragonflyholdError):
    """A request that was refused, failed or is in doubt."""

    def __init__(self, info: RefusalInfo) -> None:
        super().__init__(f"{info.code.value} ({info.outcome.value}): {info.message}")
        self.info = info


class PlatformUnavailableError(DragonflyholdError):
    """The table, the object store or the VM list did not answer in time.

    After a write this says nothing about whether the write took effect.
    """


@final
class ConditionFailedError(DragonflyholdError):
    """A conditional write found another row version than expected; nothing was written."""

    def __init__(self, key: str, expected: int, current: int) -> None:
        super().__init__(f"row {key!r} is at version {current}, expected {expected}")
        self.key = key
        self.expected = expected
        self.current = current


def not_run(code: ErrorCode, message: str, retry_after_ms: int = 0) -> RequestError:
    """Return the error of a request that truly did not run."""
    return RequestError(RefusalInfo(code, message, Outcome.NOT_RUN, retry_after_ms))


def in_doubt(code: ErrorCode, message: str) -> RequestError:
    """Return the error of a request that may have run."""
    return RequestError(RefusalInfo(code, message, Outcome.IN_DOUBT))


def failed(code: ErrorCode, message: str) -> RequestError:
    """Return the error of a request that ran and ended with an error."""
    return RequestError(RefusalInfo(code, message, Outcome.FAILED))
