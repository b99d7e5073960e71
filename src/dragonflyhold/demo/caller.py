"""A caller of an entry daemon that verifies the answers it receives."""

import dataclasses
import hashlib
import json
import re
from collections.abc import Callable, Mapping
from typing import Any, final

import urllib3

from dragonflyhold.demo.events import read_events
from dragonflyhold.errors import DragonflyholdError

TIMEOUT_S = 60.0
# Pooled connections; urllib3 opens more if needed, but discards them with a warning.
MAX_CONNECTIONS = 16

_WEIGHTS = re.compile(r"\[weights=(\S+) prompt=([0-9a-f]+)\]")


@final
class AnswerError(DragonflyholdError):
    """An error reported by the entry daemon, or an incomplete answer."""

    def __init__(self, code: str, outcome: str, message: str) -> None:
        super().__init__(f"{code} ({outcome}): {message}")
        self.code = code
        self.outcome = outcome
        self.message = message


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    request_id: str
    text: str

    @property
    def weights(self) -> str:
        """Path of the weights that the engine stand-in used; empty if the text has none."""
        marker = _WEIGHTS.search(self.text)
        return marker[1] if marker else ""

    @property
    def prompt_digest(self) -> str:
        """Prefix of the SHA-256 of the prompt that the engine received."""
        marker = _WEIGHTS.search(self.text)
        return marker[2] if marker else ""


@final
class Caller:
    """Sends requests to one entry daemon."""

    def __init__(self, url: str, name: str = "demo") -> None:
        self._url = url
        self._name = name
        self._http = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False, timeout=TIMEOUT_S)

    def close(self) -> None:
        """Close all connections."""
        self._http.clear()

    def complete(self, model: str, prompt: str, kind: str, permit: str = "") -> Answer:
        """Send a request and return its answer; raise ``AnswerError``."""
        body = {"model": model, "prompt": prompt}
        headers = self._headers(kind, permit)
        response = self._http.request(
            "POST", f"{self._url}/v1/completions", json=body, headers=headers
        )
        data = _parse_response(response)
        return Answer(response.headers.get("X-Request-Id", ""), data["choices"][0]["text"])

    def stream(
        self,
        model: str,
        prompt: str,
        kind: str,
        max_tokens: int,
        on_piece: Callable[[int], None],
    ) -> Answer:
        """Send a streaming request and verify the answer's count and digest; raise ``AnswerError``.

        ``on_piece`` is called with the index of each piece.
        """
        body = {"model": model, "prompt": prompt, "stream": True, "max_tokens": max_tokens}
        response = self._http.request(
            "POST",
            f"{self._url}/v1/completions",
            json=body,
            headers=self._headers(kind, ""),
            preload_content=False,
        )
        if response.status != 200:
            _parse_response(response)
        pieces: list[str] = []
        end: Mapping[str, Any] = {}
        for event in read_events(response):
            match event.name:
                case "end":
                    end = event.data
                case "error":
                    raise _make_answer_error(event.data)
                case "":
                    pieces.append(event.piece)
                    on_piece(len(pieces) - 1)
        text = "".join(pieces)
        digest = hashlib.sha256(text.encode()).hexdigest()
        if end.get("count") != len(pieces) or end.get("digest") != digest:
            message = f"{len(pieces)} pieces with digest {digest}; the end event contains {end}"
            raise AnswerError("incomplete", "in_doubt", message)
        return Answer(response.headers.get("X-Request-Id", ""), text)

    def call_service(
        self, service: str, path: str, body: Mapping[str, object], kind: str, permit: str
    ) -> Any:
        """Send a call to a plain service; return its JSON answer; raise ``AnswerError``."""
        url = f"{self._url}/v1/services/{service}/call/{path}"
        headers = self._headers(kind, permit)
        return _parse_response(self._http.request("POST", url, json=body, headers=headers))

    def permit(self, service: str, adapter: str, kind: str) -> str:
        """Return a permit for a non-idempotent request; ``adapter`` is empty for plain services."""
        body = {"service": service, "adapter": adapter, "kind": kind, "count": 1}
        headers = {"X-Caller-Id": self._name}
        response = self._http.request("POST", f"{self._url}/v1/permits", json=body, headers=headers)
        return str(_parse_response(response)["permits"][0])

    def _headers(self, kind: str, permit: str) -> dict[str, str]:
        headers = {"X-Caller-Id": self._name, "X-Request-Kind": kind}
        if permit:
            headers["Idempotency-Key"] = permit
        return headers


def _parse_response(response: urllib3.BaseHTTPResponse) -> Any:
    data = json.loads(response.data)
    if response.status != 200:
        raise _make_answer_error(data)
    return data


def _make_answer_error(data: Mapping[str, Any]) -> AnswerError:
    error = data["error"]
    return AnswerError(error["code"], error["outcome"], error["message"])
