"""Tests of the states of a response."""

import asyncio
from collections.abc import Callable

import pytest

from dragonflyhold.gateway.http_connection import ConnectionEnd
from dragonflyhold.gateway.outcomes import Reason, RefusedError
from dragonflyhold.gateway.request import RequestRun
from dragonflyhold.gateway.responder import Responder, ResponseStateError
from dragonflyhold.platform.standins.site import Answer, running_deployment


class _Transport:
    """Records what is written and how the connection ends."""

    is_closing = False
    end = ConnectionEnd.OPEN

    def __init__(self) -> None:
        self.written = b""
        self.ends: list[str] = []

    def write(self, data: bytes) -> None:
        self.written += data

    async def drain(self) -> None:
        pass

    def close_after_response(self) -> None:
        self.ends.append("closed")

    def abort(self) -> None:
        self.ends.append("aborted")

    def reset_on_close(self, enabled: bool) -> None:
        del enabled


def _write(responder: Responder, data: bytes = b"x") -> None:
    with pytest.raises(StopIteration):
        responder.write(data).send(None)


CALLS: dict[str, Callable[[Responder], None]] = {
    "send": lambda responder: responder.send(503, []),
    "start_stream": lambda responder: responder.start_stream(200, []),
    "write": _write,
    "end_stream": lambda responder: responder.end_stream(),
    "interrupt": lambda responder: responder.interrupt(),
}
# Calls before the wrong one, the wrong one, and how the connection ends.
WRONG_CALLS = [
    ([], "write", "aborted"),
    ([], "end_stream", "aborted"),
    (["start_stream"], "send", "aborted"),
    (["start_stream", "write"], "start_stream", "aborted"),
    (["start_stream", "write"], "send", "aborted"),
    (["start_stream", "write", "interrupt"], "end_stream", "aborted"),
    (["start_stream", "interrupt", "interrupt"], "end_stream", "aborted"),
    (["send"], "send", "closed"),
    (["send"], "write", "closed"),
    (["start_stream", "end_stream"], "send", "closed"),
    (["start_stream", "end_stream"], "end_stream", "closed"),
]


class TestStates:
    """Guards against a second head, and against bytes after the end of a response."""

    @pytest.mark.parametrize(("calls", "wrong_call", "end"), WRONG_CALLS)
    def test_a_wrong_call_writes_nothing_and_ends_the_connection(
        self, calls: list[str], wrong_call: str, end: str
    ) -> None:
        transport = _Transport()
        responder = Responder(transport, keep_alive=True, http_10=False)
        for call in calls:
            CALLS[call](responder)
        written = transport.written
        with pytest.raises(ResponseStateError):
            CALLS[wrong_call](responder)
        assert transport.written == written
        assert transport.ends == [end]
        assert responder.is_ended

    def test_an_interrupted_stream_ends_after_more_of_it(self) -> None:
        transport = _Transport()
        responder = Responder(transport, keep_alive=True, http_10=False)
        for call in ("start_stream", "interrupt", "write", "end_stream"):
            CALLS[call](responder)
        assert transport.written.endswith(b"1\r\nx\r\n0\r\n\r\n")
        assert not transport.ends

    def test_writing_no_bytes_does_not_end_the_stream(self) -> None:
        """Guards against an empty chunk, which is the end of a body."""
        transport = _Transport()
        responder = Responder(transport, keep_alive=True, http_10=False)
        for call in ("start_stream", "interrupt"):
            CALLS[call](responder)
        written = transport.written
        _write(responder, b"")
        assert transport.written == written
        assert responder.is_interrupted

    @pytest.mark.parametrize("call", CALLS)
    def test_nothing_is_written_after_an_abort(self, call: str) -> None:
        transport = _Transport()
        responder = Responder(transport, keep_alive=True, http_10=False)
        responder.start_stream(200, [])
        responder.abort()
        written = transport.written
        with pytest.raises(ResponseStateError):
            CALLS[call](responder)
        assert transport.written == written


class TestGateway:
    """Requests whose handling goes wrong after the response has begun."""

    @pytest.mark.parametrize(
        ("error", "event"),
        [
            (None, "response_state_error"),
            (RefusedError(Reason.NO_UPSTREAM, 1.0), "failed_no_runner"),
        ],
        ids=["a second head", "a refusal"],
    )
    def test_the_connection_is_closed_and_the_request_counted(
        self, error: RefusedError | None, event: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def run(self: RequestRun) -> None:
            self._responder.start_stream(200, [])
            await self._responder.write(b"id: 1\n\n")
            if error is not None:
                raise error
            self._responder.send(503, [])

        async def scenario() -> tuple[Answer, str]:
            async with running_deployment(engines=1, plain=0) as deployment:
                monkeypatch.setattr(RequestRun, "run", run)
                answer = await deployment.call("/ask/1")
                metrics = deployment.gateways[0]._metrics.render()[0].decode()
                return answer, metrics

        answer, metrics = asyncio.run(scenario())
        assert (answer.status, answer.body, answer.complete) == (200, b"id: 1\n\n", False)
        assert f'events_total{{event="{event}"}} 1' in metrics
