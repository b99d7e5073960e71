"""Client of a model engine with an OpenAI-style interface."""

import json
import urllib.parse
from collections.abc import Iterator, Mapping
from typing import Any, final

from dragonflyhold.ids import BootId, EngineAdapterName, Epoch
from dragonflyhold.settings import UpstreamSettings
from dragonflyhold.upstreams.http_calls import HttpCall, send_call
from dragonflyhold.upstreams.interface import (
    EngineStatus,
    StaleEpochError,
    UnknownEngineAdapterError,
    UpstreamInterruptedError,
    UpstreamNotSentError,
    UpstreamStatusError,
)

FENCING_HEADER = "X-Fencing-Epoch"
REQUEST_ID_HEADER = "X-Request-Id"
# Engine error messages are truncated to this length.
MAX_MESSAGE_CHARS = 300

_DATA_PREFIX = b"data:"
_END_MARKER = b"[DONE]"


@final
class HttpCompletionStream:
    """Stream of the text pieces of a running completion."""

    def __init__(self, call: HttpCall) -> None:
        self._call = call
        self._events_received = 0

    @property
    def events_received(self) -> int:
        """Number of events received so far; the stream can be resumed from this offset."""
        return self._events_received

    def __iter__(self) -> Iterator[bytes]:
        """Yield pieces of UTF-8 text; raise ``UpstreamInterruptedError`` if the stream is cut."""
        try:
            for data in self._iter_events():
                if data == _END_MARKER:
                    return
                text = _parse_event_text(data)
                self._events_received += 1
                if text:
                    yield text
        finally:
            self._call.close()
        raise UpstreamInterruptedError("stream ended without an end marker")

    def cancel(self) -> None:
        """Close the connection; may be called from any thread, and more than once."""
        self._call.cancel()

    def _iter_events(self) -> Iterator[bytes]:
        remainder = b""
        while chunk := self._call.read():
            *lines, remainder = (remainder + chunk).split(b"\n")
            for line in lines:
                if line.startswith(_DATA_PREFIX):
                    yield line.removeprefix(_DATA_PREFIX).strip()


@final
class HttpEngineClient:
    """Client of an engine; never retries a command or request."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings

    def status(self) -> EngineStatus:
        """Return the state of the engine."""
        data = self._request_json("GET", "/v1/status", {}, None)
        try:
            return EngineStatus(
                boot_id=BootId(str(data["boot_id"])),
                epoch=Epoch(int(data["epoch"])),
                adapters={
                    EngineAdapterName(item["name"]): int(item["in_flight"])
                    for item in data["adapters"]
                },
                batch_limit=int(data["batch_limit"]),
                slots=int(data["slots"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise UpstreamInterruptedError(f"engine status is not valid: {error!r}") from error

    def load_adapter(self, name: EngineAdapterName, weights: str, epoch: Epoch) -> None:
        """Load weights under a name; return when they are loaded."""
        self._send_command(
            "/v1/load_lora_adapter", {"lora_name": name, "lora_path": weights}, epoch
        )

    def unload_adapter(self, name: EngineAdapterName, epoch: Epoch) -> None:
        """Unload an adapter; do nothing if the engine does not know the name."""
        try:
            self._send_command("/v1/unload_lora_adapter", {"lora_name": name}, epoch)
        except UnknownEngineAdapterError:
            return

    def claim(self, epoch: Epoch) -> None:
        """Raise the fencing epoch of the engine to ``epoch``, if the engine supports fencing."""
        self._send_command("/v1/fence", {}, epoch)

    def complete(
        self, name: EngineAdapterName, body: Mapping[str, object], priority: int, request_id: str
    ) -> HttpCompletionStream:
        """Start a completion; lower values of ``priority`` run first."""
        required_fields = {"model": name, "stream": True, "priority": priority, "resumable": True}
        data = {**body, **required_fields}
        call = self._send("POST", "/v1/completions", {REQUEST_ID_HEADER: request_id}, data)
        if call.status != 200:
            raise _make_status_error(call.status, _read_all(call))
        return HttpCompletionStream(call)

    def resume(self, request_id: str, offset: int) -> HttpCompletionStream:
        """Resume a stream on a new connection, starting with event number ``offset``."""
        path = f"{_stream_path(request_id)}?offset={offset}"
        try:
            call = self._send("GET", path, {}, None)
        except UpstreamNotSentError as error:
            # The request itself was sent earlier, so it may have run.
            raise UpstreamInterruptedError(str(error)) from error
        if call.status != 200:
            status_error = _make_status_error(call.status, _read_all(call))
            raise UpstreamInterruptedError(f"stream cannot be resumed: {status_error}")
        return HttpCompletionStream(call)

    def stop(self, request_id: str) -> None:
        """Stop a run and return when it has ended; do nothing if the engine does not know it."""
        try:
            self._request_json("DELETE", _stream_path(request_id), {}, None)
        except UnknownEngineAdapterError:
            return

    def _send_command(self, path: str, data: Mapping[str, object], epoch: Epoch) -> None:
        self._request_json("POST", path, {FENCING_HEADER: str(epoch)}, data)

    def _request_json(
        self, method: str, path: str, headers: Mapping[str, str], data: Mapping[str, object] | None
    ) -> Any:
        call = self._send(method, path, headers, data)
        status, body = call.status, _read_all(call)
        if status != 200:
            raise _make_status_error(status, body)
        try:
            return json.loads(body)
        except ValueError as error:
            raise UpstreamInterruptedError(f"response is not JSON: {error}") from error

    def _send(
        self, method: str, path: str, headers: Mapping[str, str], data: Mapping[str, object] | None
    ) -> HttpCall:
        body = b"" if data is None else json.dumps(data).encode()
        all_headers = {"Content-Type": "application/json", **headers}
        settings = self._settings
        return send_call(settings, method, path, all_headers, body, settings.read_timeout_s)


def _stream_path(request_id: str) -> str:
    return f"/v1/streams/{urllib.parse.quote(request_id, safe='')}"


def _read_all(call: HttpCall) -> bytes:
    try:
        chunks = []
        while chunk := call.read():
            chunks.append(chunk)
        return b"".join(chunks)
    finally:
        call.close()


def _make_status_error(status: int, body: bytes) -> UpstreamStatusError:
    try:
        message = str(json.loads(body)["error"]["message"])
    except (ValueError, KeyError, TypeError):
        message = body.decode("utf-8", "replace")
    message = message[:MAX_MESSAGE_CHARS]
    match status:
        case 404:
            return UnknownEngineAdapterError(status, message)
        case 409:
            return StaleEpochError(status, message)
    return UpstreamStatusError(status, message)


def _parse_event_text(data: bytes) -> bytes:
    try:
        event = json.loads(data)
        if "error" in event:
            raise UpstreamStatusError(500, str(event["error"])[:MAX_MESSAGE_CHARS])
        return str(event["choices"][0]["text"]).encode()
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise UpstreamInterruptedError(f"stream event is not valid: {error!r}") from error
