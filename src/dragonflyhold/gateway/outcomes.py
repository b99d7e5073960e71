"""How an attempt or a request ends, as typed values."""

import dataclasses
import enum
from typing import final


class Reason(enum.Enum):
    """Why a request was refused, repeated or failed; counted and logged under this name."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_runner"
    ADAPTER_WAIT = "adapter_wait"
    RETRY_BUDGET = "retry_budget"
    SUSPECT = "suspect"
    TIMEOUT = "timeout"
    UPSTREAM_REFUSED = "runner_refused"
    UPSTREAM_FAILED = "runner_failed"
    CONNECT = "connect"
    BROKEN = "broken"
    SILENT = "silent"
    INTERNAL = "internal"


@final
class RefusedError(Exception):
    """A request that has not run and never will."""

    def __init__(self, reason: Reason, retry_after_s: float, detail: str = "") -> None:
        super().__init__(f"{reason.value} {detail}")
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.detail = detail


@final
class InDoubtError(Exception):
    """A request that may have run and has no answer."""

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(f"{reason.value} {detail}")
        self.reason = reason


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The client has its whole answer."""

    status: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The runner refused, or was never reached: the request has not run there."""

    reason: Reason
    # Whether the runner counted an arrival, which draws on the retry budget when repeated.
    reached_upstream: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """No complete answer: the request may have run."""

    reason: Reason
    # The runner's own failure, passed on if the request is not repeated.
    failure: "FailureResponse | None" = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FailureResponse:
    """A runner's complete answer that is no success."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


Outcome = Answered | NotRun | MayHaveRun
