"""Tests of the caller, which demos and feature scenarios use as an oracle."""

import hashlib
import json
from collections.abc import Callable

import pytest

from dragonflyhold.demo.caller import AnswerError, Caller
from tests.upstreams.raw_server import RawServer

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: up-1.00.1\r\n\r\n"
TEXT = "[weights=tapster-lm/stall-0001/1 prompt=abc] t1"


def piece(text: str) -> bytes:
    return b"id: 0\ndata: " + json.dumps({"choices": [{"text": text}]}).encode() + b"\n\n"


def end(count: int, text: str) -> bytes:
    data = {"count": count, "digest": hashlib.sha256(text.encode()).hexdigest()}
    return b"event: end\ndata: " + json.dumps(data).encode() + b"\n\n"


ERROR = {"error": {"code": "upstream_crashed", "outcome": "failed", "message": "it crashed"}}


@pytest.fixture
def stream(request: pytest.FixtureRequest) -> Callable[[bytes], object]:
    def send(answer: bytes) -> object:
        server = RawServer(HEAD + answer)
        caller = Caller(server.url)
        request.addfinalizer(server.close)
        request.addfinalizer(caller.close)
        return caller.stream("a/b:1", "x", "question", 2, lambda number: None)

    return send


class TestCaller:
    """Guards against a caller that accepts an incomplete or altered answer."""

    def test_complete_stream(self, stream: Callable[[bytes], object]) -> None:
        answer = stream(b": keep-alive\n\n" + piece(TEXT[:20]) + piece(TEXT[20:]) + end(2, TEXT))
        assert (answer.text, answer.request_id) == (TEXT, "up-1.00.1")
        assert (answer.weights, answer.prompt_digest) == ("tapster-lm/stall-0001/1", "abc")

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            piece(TEXT),
            piece(TEXT) + end(2, TEXT),
            piece(TEXT) + piece("") + end(1, TEXT),
            piece(TEXT) + end(1, TEXT + "x"),
        ],
        ids=["empty", "no end", "lost piece", "duplicated piece", "wrong digest"],
    )
    def test_incomplete_stream(self, stream: Callable[[bytes], object], answer: bytes) -> None:
        with pytest.raises(AnswerError, match="incomplete"):
            stream(answer)

    def test_error_event(self, stream: Callable[[bytes], object]) -> None:
        event = b"event: error\ndata: " + json.dumps(ERROR).encode() + b"\n\n"
        with pytest.raises(AnswerError) as caught:
            stream(piece(TEXT) + event)
        assert (caught.value.code, caught.value.outcome) == ("upstream_crashed", "failed")
