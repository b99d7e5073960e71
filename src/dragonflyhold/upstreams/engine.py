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
# Longest part of an engine's error message that is kept.
MAX_MESSAGE_CHARS = 300

_DATA_PREFIX = b"data:"
_DONE = b"[DONE]"


@final
class HttpCompletionStream:
    """Pieces of a running completion."""

    def __init__(self, call: HttpCall) -> None:
        self._call = call
        self._events_received = 0

    @property
    def events_received(self) -> int:
        """Number of the engine's events that have come, from which the stream can go on."""
        return self._events_received

    def __iter__(self) -> Iterator[bytes]:
        """Yield pieces of text in UTF-8; raise ``UpstreamInterruptedError`` if it breaks off."""
        try:
            for data in self._events():
                if data == _DONE:
                    return
                text = _parse_piece(data)
                self._events_received += 1
                if text:
                    yield text
        finally:
            self._call.close()
        raise UpstreamInterruptedError("the stream ended before its end mark")

    def cancel(self) -> None:
        """Close the connection; safe from any thread, repeatable."""
        self._call.cancel()

    def _events(self) -> Iterator[bytes]:
        rest = b""
        while chunk := self._call.read():
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                if line.startswith(_DATA_PREFIX):
                    yield line.removeprefix(_DATA_PREFIX).strip()


@final
class HttpEngineClient:
    """Commands and requests to an engine; it never repeats one."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self._settings = settings

    def status(self) -> EngineStatus:
        """Read the engine's state."""
        data = self._exchange("GET", "/v1/status", {}, None)
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
            raise UpstreamInterruptedError(f"not a valid status: {error!r}") from error

    def load_adapter(self, name: EngineAdapterName, weights: str, epoch: Epoch) -> None:
        """Load weights under a name; returns when loaded."""
        self._order("/v1/load_lora_adapter", {"lora_name": name, "lora_path": weights}, epoch)

    def unload_adapter(self, name: EngineAdapterName, epoch: Epoch) -> None:
        """Unload an adapter; unknown names count as unloaded."""
        try:
            self._order("/v1/unload_lora_adapter", {"lora_name": name}, epoch)
        except UnknownEngineAdapterError:
            return

    def claim(self, epoch: Epoch) -> None:
        """Raise the engine's fencing number to ``epoch``, if it keeps one."""
        self._order("/v1/fence", {}, epoch)

    def complete(
        self, name: EngineAdapterName, body: Mapping[str, object], priority: int, request_id: str
    ) -> HttpCompletionStream:
        """Start a completion; lower priority numbers run first."""
        own = {"model": name, "stream": True, "priority": priority, "resumable": True}
        data = {**body, **own}
        call = self._send("POST", "/v1/completions", {REQUEST_ID_HEADER: request_id}, data)
        if call.status != 200:
            raise _status_error(call.status, _read_all(call))
        return HttpCompletionStream(call)

    def resume(self, request_id: str, offset: int) -> HttpCompletionStream:
        """Go on with a stream on a new connection, from the event with number ``offset``."""
        path = f"{_stream_path(request_id)}?offset={offset}"
        try:
            call = self._send("GET", path, {}, None)
        except UpstreamNotSentError as error:
            # The request was sent before, so this does not tell that nothing ran.
            raise UpstreamInterruptedError(str(error)) from error
        if call.status != 200:
            refusal = _status_error(call.status, _read_all(call))
            raise UpstreamInterruptedError(f"the stream cannot be resumed: {refusal}")
        return HttpCompletionStream(call)

    def stop(self, request_id: str) -> None:
        """End a run and return when it has ended; an unknown one counts as ended."""
        try:
            self._exchange("DELETE", _stream_path(request_id), {}, None)
        except UnknownEngineAdapterError:
            return

    def _order(self, path: str, data: Mapping[str, object], epoch: Epoch) -> None:
        self._exchange("POST", path, {FENCING_HEADER: str(epoch)}, data)

    def _exchange(
        self, method: str, path: str, headers: Mapping[str, str], data: Mapping[str, object] | None
    ) -> Any:
        call = self._send(method, path, headers, data)
        status, body = call.status, _read_all(call)
        if status != 200:
            raise _status_error(status, body)
        try:
            return json.loads(body)
        except ValueError as error:
            raise UpstreamInterruptedError(f"the answer is not JSON: {error}") from error

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


def _status_error(status: int, body: bytes) -> UpstreamStatusError:
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


def _parse_piece(data: bytes) -> bytes:
    try:
        event = json.loads(data)
        if "error" in event:
            raise UpstreamStatusError(500, str(event["error"])[:MAX_MESSAGE_CHARS])
        return str(event["choices"][0]["text"]).encode()
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise UpstreamInterruptedError(f"not a valid event: {error!r}") from error
