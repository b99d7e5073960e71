"""Outcomes and errors as sidecars send them."""

from dragonflyhold.errors import ErrorCode, RefusalInfo, RequestError
from dragonflyhold.states import Outcome
from dragonflyhold.transport.schema import sidecar_pb2 as pb

_OUTCOMES: dict[int, Outcome] = {
    pb.OUTCOME_NOT_RUN: Outcome.NOT_RUN,
    pb.OUTCOME_FAILED: Outcome.FAILED,
    pb.OUTCOME_OK: Outcome.OK,
}


def outcome_of(number: int) -> Outcome:
    """Return the outcome on the wire; what is not known is in doubt."""
    return _OUTCOMES.get(number, Outcome.IN_DOUBT)


def error_of(code: str, message: str, outcome: int, retry_after_ms: int = 0) -> RequestError:
    """Return the error that a sidecar reported."""
    try:
        known = ErrorCode(code)
    except ValueError:
        known, message = ErrorCode.UPSTREAM_ERROR, f"{code}: {message}"
    result = outcome_of(outcome)
    if result is Outcome.OK:
        result = Outcome.IN_DOUBT
    return RequestError(RefusalInfo(known, message, result, retry_after_ms))
