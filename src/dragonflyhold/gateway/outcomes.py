"""Outcomes of attempts and requests."""

import dataclasses
import enum
from typing import final


class Reason(enum.Enum):
    """Why a request was refused, retried or failed; values appear in metrics and logs."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    UPSTREAM_MEMORY = "runner_memory"
    # The key may be valid in a configuration that this gateway can't read at present.
    KEY_UNCONFIRMED = "key_unconfirmed"
    ACCOUNT_LIMIT = "account_limit"
    NO_UPSTREAM = "no_runner"
    UPSTREAM_LIMIT = "runner_limit"
    UPSTREAM_TURNED_AWAY = "runner_turned_away"
    UPSTREAMS_LEAVING = "runners_leaving"
    # No upstream of the software version that began the stream is left, or nobody knows it.
    STREAM_VERSION_GONE = "stream_version_gone"
    STREAM_UNKNOWN = "stream_unknown"
    WITHDRAWN = "withdrawn"
    ADAPTER_WAIT = "adapter_wait"
    # Its account asks for more than usual, while others wait for too few adapter slots.
    ACCOUNT_SHARE = "account_share"
    RETRY_BUDGET = "retry_budget"
    SUSPECT = "suspect"
    STOPPING = "stopping"
    TIMEOUT = "timeout"
    UPSTREAM_REFUSED = "runner_refused"
    UPSTREAM_FAILED = "runner_failed"
    CONNECT = "connect"
    BROKEN = "broken"
    SILENT = "silent"
    INTERNAL = "internal"


@final
class RefusedError(Exception):
    """The request was refused: no upstream has run it or will run it."""

    def __init__(self, reason: Reason, retry_after_s: float, detail: str = "") -> None:
        super().__init__(f"{reason.value} {detail}")
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.detail = detail


@final
class InDoubtError(Exception):
    """The request may have run, but has no complete response."""

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(f"{reason.value} {detail}")
        self.reason = reason
        self.detail = detail


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The client has received the complete response."""

    status: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream refused the request or was unreachable: it has not run there."""

    reason: Reason
    # Whether the upstream received the request, so that a retry counts against the budget.
    reached_upstream: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The attempt got no complete response: the request may have run."""

    reason: Reason
    # The upstream's own error response, forwarded if the request is not retried.
    failure: "FailureResponse | None" = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class FailureResponse:
    """An upstream's complete error response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


Outcome = Answered | NotRun | MayHaveRun
