"""Enumerations of states and modes shared by several packages."""

import enum


class Outcome(enum.Enum):
    """Outcome of a request; ``IN_DOUBT`` if it may or may not have run."""

    NOT_RUN = "not_run"
    IN_DOUBT = "in_doubt"
    FAILED = "failed"
    OK = "ok"


class RequestState(enum.Enum):
    """State of a request in the sidecar that issued its id."""

    ISSUED = "issued"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    IN_DOUBT = "in_doubt"
    DECLINED = "declined"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {RequestState.DONE, RequestState.FAILED, RequestState.IN_DOUBT, RequestState.DECLINED}
)


class UpstreamState(enum.Enum):
    """Availability of an upstream for new requests."""

    ACTIVE = "active"
    LEAVING = "leaving"
    DOWN = "down"


class ServiceType(enum.Enum):
    """Kind of upstream that serves a service."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamMode(enum.Enum):
    """Mode of an upstream as set by operators."""

    ACTIVE = "active"
    DRAINING = "draining"
