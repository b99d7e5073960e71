"""Interfaces of the clients through which a sidecar calls its upstream."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Protocol, final

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.ids import BootId, EngineAdapterName, Epoch


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """State of an engine, as the engine reports it."""

    boot_id: BootId
    # Highest fencing epoch that the engine has seen; 0 if none or without support for fencing.
    epoch: Epoch
    # Number of requests in flight for each loaded adapter.
    adapters: Mapping[EngineAdapterName, int]
    batch_limit: int
    slots: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """Complete response of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class UpstreamNotSentError(DragonflyholdError):
    """No byte of the request was written, so it cannot have run."""


class UpstreamInterruptedError(DragonflyholdError):
    """The request may have been received, but there was no complete response."""


class UpstreamStatusError(DragonflyholdError):
    """The upstream responded with an error status and did not complete the request."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(f"upstream answered {status}: {message}")
        self.status = status


class StaleEpochError(UpstreamStatusError):
    """The engine refused a command with an outdated fencing epoch."""


class UnknownEngineAdapterError(UpstreamStatusError):
    """The engine has no adapter with that name, so the request did not run.

    A client may also raise it internally for an unknown stream, whose request may have run.
    """


class CompletionStream(Protocol):
    """A running completion; it can be iterated once, in a single thread."""

    def __iter__(self) -> Iterator[bytes]:
        """Yield pieces of UTF-8 text; raise ``UpstreamInterruptedError`` if the stream is cut."""

    @property
    def events_received(self) -> int:
        """Number of events received so far; the stream can be resumed from this offset."""

    def cancel(self) -> None:
        """Close the connection; may be called from any thread, and more than once."""


class EngineClient(Protocol):
    """Commands and requests to a model engine; safe to use from any thread.

    Any call can raise ``UpstreamNotSentError``, ``UpstreamInterruptedError`` or
    ``UpstreamStatusError``.
    """

    def status(self) -> EngineStatus:
        """Return the state of the engine."""

    def load_adapter(self, name: EngineAdapterName, weights: str, epoch: Epoch) -> None:
        """Load weights under a name; return when they are loaded."""

    def unload_adapter(self, name: EngineAdapterName, epoch: Epoch) -> None:
        """Unload an adapter; do nothing if the engine does not know the name."""

    def claim(self, epoch: Epoch) -> None:
        """Raise the fencing epoch of the engine to ``epoch``, if the engine supports fencing."""

    def complete(
        self, name: EngineAdapterName, body: Mapping[str, object], priority: int, request_id: str
    ) -> CompletionStream:
        """Start a completion; lower values of ``priority`` run first."""

    def resume(self, request_id: str, offset: int) -> CompletionStream:
        """Resume a stream on a new connection, starting with event number ``offset``.

        Raise ``UpstreamInterruptedError`` also if the engine does not know the stream.
        """

    def stop(self, request_id: str) -> None:
        """Stop a run and return when it has ended; do nothing if the engine does not know it."""


class PlainClient(Protocol):
    """Calls to a plain service; safe to use from any thread."""

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> PlainResponse:
        """Send a call and return its response; never retried by the client."""

    def is_healthy(self) -> bool:
        """Return whether the service responds on a new connection."""
