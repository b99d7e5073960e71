"""Conversion of outcomes and errors from the sidecar protocol."""

from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError
from dragonflyhold.states import Outcome
from dragonflyhold.transport.schema import sidecar_pb2 as pb

_OUTCOMES: dict[int, Outcome] = {
    pb.OUTCOME_NOT_RUN: Outcome.NOT_RUN,
    pb.OUTCOME_FAILED: Outcome.FAILED,
    pb.OUTCOME_OK: Outcome.OK,
}


def outcome_from_wire(number: int) -> Outcome:
    """Convert an outcome of the sidecar protocol; unknown values become in doubt."""
    return _OUTCOMES.get(number, Outcome.IN_DOUBT)


def error_from_wire(code: str, message: str, outcome: int, retry_after_ms: int = 0) -> RequestError:
    """Convert an error that a sidecar reported; an unknown code becomes ``upstream_error``."""
    try:
        error_code = ErrorCode(code)
    except ValueError:
        error_code, message = ErrorCode.UPSTREAM_ERROR, f"{code}: {message}"
    request_outcome = outcome_from_wire(outcome)
    if request_outcome is Outcome.OK:
        request_outcome = Outcome.IN_DOUBT
    return RequestError(RefusalInfo(error_code, message, request_outcome, retry_after_ms))
