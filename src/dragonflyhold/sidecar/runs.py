"""Runs of requests on the upstream, in worker threads that buffer the answers."""

import dataclasses
import enum
import threading
from collections.abc import Callable, Mapping
from typing import Protocol, final

from dragonflyhold.ids import EngineAdapterName, KindName, RequestId
from dragonflyhold.observability import ComponentLogger
from dragonflyhold.requests import AnswerStore, AnswerTooLargeError
from dragonflyhold.upstreams.interface import (
    CompletionStream,
    EngineClient,
    PlainClient,
    UnknownEngineAdapterError,
    UpstreamInterruptedError,
    UpstreamNotSentError,
    UpstreamStatusError,
)

# Maximum number of times in a row that a stream is resumed without receiving a new piece.
MAX_RESUMES_WITHOUT_PROGRESS = 3
# Size of the pieces of a plain answer; small enough that one answer does not delay others that
# share a frame with it.
PLAIN_PIECE_BYTES = 16_384

_logger = ComponentLogger("sidecar")


@final
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Payload:
    """Content of a request that is sent to the upstream."""

    kind: KindName
    deadline: float
    # Set only for completions.
    body: Mapping[str, object] = dataclasses.field(default_factory=dict)
    # Set only for calls to a plain service.
    method: str = ""
    path: str = ""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    data: bytes = b""


class RunResult(enum.Enum):
    """How a run ended."""

    COMPLETE = "complete"
    # Nothing ran: no byte was written, or the engine does not hold the adapter.
    NOT_SENT = "not_sent"
    UNKNOWN_ADAPTER = "unknown_adapter"
    # The upstream responded with an error status.
    STATUS = "status"
    # The connection failed before the end of the answer.
    INTERRUPTED = "interrupted"
    TOO_LARGE = "too_large"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


# Results after which the engine may still be running the request.
_MAY_STILL_RUN = frozenset(
    {RunResult.INTERRUPTED, RunResult.TOO_LARGE, RunResult.CANCELLED, RunResult.INTERNAL}
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunFinished:
    """Message to the owner of the tables: a run has ended."""

    request_id: RequestId
    result: RunResult
    message: str = ""
    status: int = 0
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class RequestRun(Protocol):
    """One run of a request on the upstream."""

    def run(self) -> RunFinished:
        """Send the request and buffer its answer; return when the run has ended."""

    def cancel(self) -> None:
        """End the run early; may be called from any thread, and more than once."""


@final
class EngineRun:
    """Run of a completion on an engine."""

    def __init__(
        self,
        request_id: RequestId,
        client: EngineClient,
        name: EngineAdapterName,
        body: Mapping[str, object],
        priority: int,
        answers: AnswerStore,
        notify_readers: Callable[[RequestId], None],
    ) -> None:
        self._request_id = request_id
        self._client = client
        self._name = name
        self._body = body
        self._priority = priority
        self._answers = answers
        self._notify_readers = notify_readers
        self._cancelled = threading.Event()
        self._stream: CompletionStream | None = None

    def run(self) -> RunFinished:
        """Send the request and buffer its answer; return when the run has ended."""
        try:
            finished = self._run()
        except UpstreamNotSentError as error:
            finished = self._finished(RunResult.NOT_SENT, str(error))
        except UnknownEngineAdapterError as error:
            finished = self._finished(RunResult.UNKNOWN_ADAPTER, str(error))
        except UpstreamStatusError as error:
            finished = self._finished(RunResult.STATUS, str(error))
        except UpstreamInterruptedError as error:
            finished = self._finished(RunResult.INTERRUPTED, str(error))
        except AnswerTooLargeError:
            finished = self._finished(RunResult.TOO_LARGE, "answer is longer than the limit")
        except KeyError:
            # The answer was ended by a crash or dropped while pieces were still arriving.
            finished = self._finished(RunResult.CANCELLED, "answer has ended")
        except Exception as error:
            _logger.exception("Request run failed.", request=self._request_id)
            finished = self._finished(RunResult.INTERNAL, str(error))
        if self._cancelled.is_set() and finished.result is not RunResult.COMPLETE:
            not_run = (RunResult.NOT_SENT, RunResult.UNKNOWN_ADAPTER)
            if finished.result not in not_run:
                finished = self._finished(RunResult.CANCELLED, "request was cancelled")
        if finished.result in _MAY_STILL_RUN:
            self._stop()
        return finished

    def cancel(self) -> None:
        """End the run early; may be called from any thread, and more than once."""
        self._cancelled.set()
        stream = self._stream
        if stream is not None:
            stream.cancel()

    def _run(self) -> RunFinished:
        stream = self._client.complete(self._name, self._body, self._priority, self._request_id)
        received, resumes = 0, 0
        while True:
            try:
                self._read(stream)
                break
            except UpstreamInterruptedError:
                resumes = 0 if stream.events_received else resumes + 1
                received += stream.events_received
                if self._cancelled.is_set() or resumes >= MAX_RESUMES_WITHOUT_PROGRESS:
                    raise
                # A connection can close or stop responding while the engine continues the request.
                stream = self._client.resume(self._request_id, received)
        if self._cancelled.is_set():
            # The engine may end the answer of a cancelled request like a complete one.
            return self._finished(RunResult.CANCELLED, "request was cancelled")
        return self._finished(RunResult.COMPLETE)

    def _read(self, stream: CompletionStream) -> None:
        self._stream = stream
        if self._cancelled.is_set():
            stream.cancel()
        for piece in stream:
            self._answers.append(self._request_id, piece)
            self._notify_readers(self._request_id)

    def _stop(self) -> None:
        """Stop the request in the engine, which would otherwise continue it without a reader.

        If that fails, its adapter slot stays pinned until the engine reports the slot idle.
        """
        stream = self._stream
        if stream is not None:
            stream.cancel()
        try:
            self._client.stop(self._request_id)
        except (UpstreamNotSentError, UpstreamInterruptedError, UpstreamStatusError) as error:
            _logger.warning(
                "Failed to stop a request in the engine; its adapter slot stays pinned until the "
                "engine reports it idle.",
                request=self._request_id,
                error=error,
            )

    def _finished(self, result: RunResult, message: str = "") -> RunFinished:
        return RunFinished(self._request_id, result, message)


@final
class PlainRun:
    """Run of a call to a plain service; it is sent only once and cannot be cancelled."""

    def __init__(
        self,
        request_id: RequestId,
        client: PlainClient,
        payload: Payload,
        timeout_s: float,
        answers: AnswerStore,
        notify_readers: Callable[[RequestId], None],
    ) -> None:
        self._request_id = request_id
        self._client = client
        self._payload = payload
        self._timeout_s = timeout_s
        self._answers = answers
        self._notify_readers = notify_readers

    def run(self) -> RunFinished:
        """Send the request and buffer its answer; return when the run has ended."""
        payload = self._payload
        # Lets the plain service identify the request in its own records.
        headers = {**payload.headers, "Idempotency-Key": self._request_id}
        try:
            response = self._client.call(
                payload.method, payload.path, headers, payload.data, self._timeout_s
            )
            for start in range(0, len(response.body), PLAIN_PIECE_BYTES):
                piece = response.body[start : start + PLAIN_PIECE_BYTES]
                self._answers.append(self._request_id, piece)
                self._notify_readers(self._request_id)
        except UpstreamNotSentError as error:
            return RunFinished(self._request_id, RunResult.NOT_SENT, str(error))
        except UpstreamInterruptedError as error:
            return RunFinished(self._request_id, RunResult.INTERRUPTED, str(error))
        except AnswerTooLargeError:
            text = "answer is longer than the limit"
            return RunFinished(self._request_id, RunResult.TOO_LARGE, text)
        except KeyError:
            return RunFinished(self._request_id, RunResult.CANCELLED, "answer has ended")
        except Exception as error:
            _logger.exception("Plain call failed.", request=self._request_id)
            return RunFinished(self._request_id, RunResult.INTERNAL, str(error))
        return RunFinished(
            self._request_id, RunResult.COMPLETE, "", response.status, response.headers
        )

    def cancel(self) -> None:
        """Do nothing: the call may already have taken effect."""
