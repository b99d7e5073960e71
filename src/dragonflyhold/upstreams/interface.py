"""What a sidecar needs of its upstream."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Protocol, final

from dragonflyhold.errors import DragonflyholdError
from dragonflyhold.ids import BootId, EngineAdapterName, Epoch


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EngineStatus:
    """State of an engine, read from it."""

    boot_id: BootId
    # Highest fencing number the engine has seen, 0 if none or if it keeps none.
    epoch: Epoch
    # Requests in flight per loaded adapter, as the engine sees them.
    adapters: Mapping[EngineAdapterName, int]
    batch_limit: int
    slots: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PlainResponse:
    """Complete answer of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class UpstreamNotSentError(DragonflyholdError):
    """No connection was made, so no byte of the request was written."""


class UpstreamInterruptedError(DragonflyholdError):
    """The request may have been received, but no complete answer came."""


class UpstreamStatusError(DragonflyholdError):
    """The upstream answered with an error status; it did not run the request to its end."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(f"upstream answered {status}: {message}")
        self.status = status


class StaleEpochError(UpstreamStatusError):
    """The engine refused an order with an old fencing number."""


class UnknownEngineAdapterError(UpstreamStatusError):
    """The engine holds no adapter of that name; nothing ran."""


class CompletionStream(Protocol):
    """A running completion; iterate over it once, in one thread."""

    def __iter__(self) -> Iterator[bytes]:
        """Yield pieces of text in UTF-8; raise ``UpstreamInterruptedError`` if it breaks off."""

    @property
    def events_received(self) -> int:
        """Number of the engine's events that have come, from which the stream can go on."""

    def cancel(self) -> None:
        """Close the connection; safe from any thread, repeatable."""


class EngineClient(Protocol):
    """Commands and requests to a model engine; safe to use from any thread.

    Every call raises ``UpstreamNotSentError``, ``UpstreamInterruptedError`` or
    ``UpstreamStatusError``.
    """

    def status(self) -> EngineStatus:
        """Read the engine's state."""

    def load_adapter(self, name: EngineAdapterName, weights: str, epoch: Epoch) -> None:
        """Load weights under a name; returns when loaded."""

    def unload_adapter(self, name: EngineAdapterName, epoch: Epoch) -> None:
        """Unload an adapter; unknown names count as unloaded."""

    def claim(self, epoch: Epoch) -> None:
        """Raise the engine's fencing number to ``epoch``, if it keeps one."""

    def complete(
        self, name: EngineAdapterName, body: Mapping[str, object], priority: int, request_id: str
    ) -> CompletionStream:
        """Start a completion; lower priority numbers run first."""

    def resume(self, request_id: str, offset: int) -> CompletionStream:
        """Go on with a stream on a new connection, from the event with number ``offset``.

        Raise ``UpstreamInterruptedError`` also if the engine does not know the stream.
        """

    def stop(self, request_id: str) -> None:
        """End a run and return when it has ended; an unknown one counts as ended."""


class PlainClient(Protocol):
    """Calls to a plain service; safe to use from any thread."""

    def call(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> PlainResponse:
        """Send one call, never repeated by the client."""

    def is_healthy(self) -> bool:
        """Whether a new connection is answered."""
