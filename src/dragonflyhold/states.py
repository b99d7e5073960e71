"""States shared by several packages."""

import enum


class Outcome(enum.Enum):
    """What is known about whether a request ran."""

    NOT_RUN = "not_run"
    IN_DOUBT = "in_doubt"
    FAILED = "failed"
    OK = "ok"


class RequestState(enum.Enum):
    """State of a request id in the sidecar that issued it."""

    ISSUED = "issued"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    IN_DOUBT = "in_doubt"
    DECLINED = "declined"

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {RequestState.DONE, RequestState.FAILED, RequestState.IN_DOUBT, RequestState.DECLINED}
)


class UpstreamState(enum.Enum):
    """Whether an upstream takes new work."""

    ACTIVE = "active"
    LEAVING = "leaving"
    DOWN = "down"


class ServiceType(enum.Enum):
    """What kind of upstream serves a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamMode(enum.Enum):
    """What operators want of an upstream."""

    ACTIVE = "active"
    DRAINING = "draining"
