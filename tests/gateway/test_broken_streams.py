"""End-to-end tests of what clients see after a stream broke off.

Each answer that an upstream may give to the request that resumes the stream is a case.
"""

import asyncio
import dataclasses
import itertools
import re
from collections.abc import Callable
from typing import Any

import pytest

from dragonflyhold.gateway.dispatch import NoUpstream, WaitFor
from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.platform.standins.runner import Ending, Fault, RawAnswer
from dragonflyhold.platform.standins.site import (
    Answer,
    InProcessDeployment,
    configuration,
    running_deployment,
)

LAST_EVENT = 6
# Events before the break, see ``Fault.BREAK_MIDWAY``.
EVENTS_BEFORE = [1, 2]
SIGNED = b"Response-Signature: sig.x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
PERSISTENT = 9


def _head(status: int, headers: bytes) -> bytes:
    return b"HTTP/1.1 %d Status\r\nAttempt-Id: {id}\r\n%s\r\n" % (status, headers)


def _whole(status: int, headers: bytes = SIGNED, body: bytes = b"other text\n\n") -> RawAnswer:
    return RawAnswer(_head(status, headers + b"Content-Length: %d\r\n" % len(body)) + body)


def _refusal(status: int) -> RawAnswer:
    return _whole(status, b"Not-Executed: 1\r\n")


def _events(*ids: object) -> bytes:
    return b"".join(b"id: %s\ndata: piece\n\n" % str(event_id).encode() for event_id in ids)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def _stream(body: bytes, headers: bytes = SIGNED) -> RawAnswer:
    head = _head(200, EVENT_STREAM + CHUNKED + headers)
    return RawAnswer(head + _chunk(body) + b"0\r\n\r\n")


def _unframed(body: bytes, ending: Ending = Ending.CLOSE) -> RawAnswer:
    return RawAnswer(_head(200, EVENT_STREAM + SIGNED) + body, ending)


# Answers of which nothing may reach the client.
ANSWERS: dict[str, RawAnswer] = {
    "refusal 400": _refusal(400),
    **{f"refusal {status}": _refusal(status) for status in (421, 429, 503)},
    "refusal without its body": RawAnswer(
        _head(503, b"Not-Executed: 1\r\nContent-Length: 9\r\n"), Ending.SILENT
    ),
    **{
        f"failure {status}": _whole(status)
        for status in (400, 404, 408, 409, 410, 413, 416, 429, 500, 502, 503, 504)
    },
    "failure without its body": RawAnswer(
        _head(500, SIGNED + b"Content-Length: 9\r\n"), Ending.SILENT
    ),
    **{f"redirect {status}": _whole(status) for status in (301, 304, 307)},
    "100 and no more": RawAnswer(b"HTTP/1.1 100 Continue\r\n\r\n", Ending.CLOSE),
    "unsigned": _stream(_events(3, 4, 5, 6), b""),
    "re-encoded": _stream(_events(3, 4, 5, 6), SIGNED + b"Content-Encoding: gzip\r\n"),
    "json": _whole(200, SIGNED + b"Content-Type: application/json\r\n", b'{"text": "a"}'),
    **{f"success {status}": _whole(status) for status in (201, 206)},
    **{f"success {status}": RawAnswer(_head(status, SIGNED)) for status in (204, 205)},
    "empty": _stream(b""),
    "empty with a length": _whole(200, SIGNED + EVENT_STREAM, b""),
    "empty without framing": _unframed(b""),
    "other events with a length": _whole(200, SIGNED, _events(1, 2, 3, 4, 5, 6)),
    "too early": _stream(_events(2, 3, 4, 5, 6)),
    "from the start": _stream(_events(1, 2, 3, 4, 5, 6)),
    "too late": _stream(_events(4, 5, 6)),
    "without ids": _stream(b"data: a\n\ndata: b\n\n"),
    "ids that are no numbers": _stream(_events("three", "four")),
    "superscript id": _stream(b"id: \xb3\ndata: a\n\n"),
    "huge id": _stream(_events("9" * 5000)),
    "negative id": _stream(_events(-3)),
    "comments": _stream(b": a\n\n: b\n\n"),
    "ends inside an event": _stream(b"id: 3\nda"),
    "ends inside an event, unframed": _unframed(b"id: 3\nda"),
    "closed inside a chunk": RawAnswer(
        _head(200, EVENT_STREAM + CHUNKED + SIGNED) + b"ff\r\nid: 3\nda", Ending.CLOSE
    ),
    "closed at once": RawAnswer(b"", Ending.CLOSE),
    "reset at once": RawAnswer(b"", Ending.RESET),
    "reset after the head": _unframed(b"", Ending.RESET),
    "silent": RawAnswer(b"", Ending.SILENT),
    "silent after the head": _unframed(b"", Ending.SILENT),
    "malformed": RawAnswer(b"\x16\x03\x01 no answer\r\n\r\n", Ending.CLOSE),
    "malformed chunk": RawAnswer(_head(200, CHUNKED + SIGNED) + b"no length\r\n"),
    "oversized head": RawAnswer(_head(200, SIGNED + b"A: " + b"x" * 70_000 + b"\r\n")),
}
# Answers that continue the stream up to the event of this number.
PARTLY_SOUND: dict[str, tuple[RawAnswer, int]] = {
    "ids that go back": (_stream(_events(3, 4, 3, 4, 5, 6)), 4),
    "an id twice": (_stream(_events(3, 3, 4, 5, 6)), 3),
    "an event without id": (_stream(_events(3) + b"data: a\n\n" + _events(4, 5, 6)), 3),
    "oversized event": (_stream(_events(3) + b"id: 4\ndata: " + b"x" * 300_000), 3),
    "reset without framing": (_unframed(_events(3) + b"id: 4\nda", Ending.RESET), 3),
}


@dataclasses.dataclass(frozen=True)
class _Seen:
    """What a client saw: heads and events, and whether the stream ended as complete."""

    status: int
    event_ids: list[int]
    is_complete: bool


def _parse(data: bytes, was_reset: bool, version: str) -> _Seen:
    head, _, body = data.partition(b"\r\n\r\n")
    is_complete = not was_reset
    if b"transfer-encoding: chunked" in head.lower():
        is_complete, rest, body = False, body, b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, 16)
            body, end, rest = body + rest[:length], rest[length : length + 2], rest[length + 2 :]
            if length == 0:
                is_complete = True
                assert not rest, "bytes after the end of the stream"
            else:
                assert end == b"\r\n"
    elif match := re.search(rb"content-length: (\d+)", head.lower()):
        is_complete = len(body) == int(match[1])
    status = int(head.split(b" ")[1]) if head else 0
    if status != 200:
        return _Seen(status, [], is_complete)
    if version == "1.0":
        assert b"connection: close" in head.lower()
    blocks = body.split(b"\n\n")
    assert blocks.pop() == b"", "a part of an event"
    ids = [re.fullmatch(rb"id: (\d+)\ndata: piece( \d+)?", block) for block in blocks]
    assert all(ids), f"no events of the stream: {blocks}"
    return _Seen(status, [int(found[1]) for found in ids if found], is_complete)


async def _request(
    deployment: InProcessDeployment,
    version: str = "1.1",
    headers: dict[str, str] | None = None,
    path: str = "/ask/1",
) -> _Seen:
    """Send a request over a raw connection and read until its end or 50 ms after the stream's."""
    fields = {**deployment.client_fields(path, "", 1500, (100, 20)), **(headers or {})}
    lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
    host, _, port = deployment.client_address(0).rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {path} HTTP/{version}\r\n{''.join(lines)}Content-Length: 0\r\n\r\n"
    writer.write(head.encode())
    data, was_reset = b"", False
    try:
        async with asyncio.timeout(4.0) as limit:
            while chunk := await reader.read(65536):
                data += chunk
                if data.endswith(b"\r\n0\r\n\r\n"):
                    limit.reschedule(asyncio.get_running_loop().time() + 0.05)
    except ConnectionResetError:
        was_reset = True
    except TimeoutError:
        pass
    writer.transport.abort()
    return _parse(data, was_reset, version)


def _break_streams(
    deployment: InProcessDeployment,
    answer: RawAnswer,
    times: int,
    first: Fault | RawAnswer = Fault.BREAK_MIDWAY,
) -> None:
    """Let the first run of a stream break, and the next ``times`` runs get ``answer``."""
    deployment.store.put("op", "config", configuration(2, max_attempts=3))
    faults: list[Fault | RawAnswer] = [first]
    answers: list[Fault | RawAnswer] = [answer] * times
    for upstream in deployment.upstreams.values():
        upstream.faults, upstream.resume_faults = faults, answers


def _run(answer: RawAnswer, times: int, version: str) -> _Seen:
    async def scenario() -> _Seen:
        async with running_deployment(engines=3, plain=0) as deployment:
            _break_streams(deployment, answer, times)
            await asyncio.sleep(0.05)
            return await _request(deployment, version)

    return asyncio.run(scenario())


def _ids(last: int) -> list[int]:
    return list(range(1, last + 1))


@pytest.mark.parametrize("version", ["1.1", "1.0"])
class TestAnswersAfterABreak:
    """Guards against an upstream's answer, or another stream, inside a stream that has begun."""

    @pytest.mark.parametrize("name", ANSWERS)
    def test_nothing_of_an_answer_that_does_not_continue_is_written(
        self, name: str, version: str
    ) -> None:
        seen = _run(ANSWERS[name], PERSISTENT, version)
        assert seen == _Seen(200, _ids(2), is_complete=False)

    @pytest.mark.parametrize("name", ANSWERS)
    def test_the_stream_is_completed_by_the_next_upstream(self, name: str, version: str) -> None:
        assert _run(ANSWERS[name], 1, version) == _Seen(200, _ids(LAST_EVENT), is_complete=True)

    @pytest.mark.parametrize("times", [1, PERSISTENT])
    @pytest.mark.parametrize("name", PARTLY_SOUND)
    def test_events_that_follow_are_kept(self, name: str, times: int, version: str) -> None:
        answer, last = PARTLY_SOUND[name]
        expected = _Seen(200, _ids(LAST_EVENT if times == 1 else last), is_complete=times == 1)
        assert _run(answer, times, version) == expected


def _allow_once(allowed: Callable[..., Any], then: Any) -> Callable[..., Any]:
    """Return a function that does as ``allowed`` when first called, and returns ``then`` later."""
    calls = itertools.count()
    return lambda *arguments: allowed(*arguments) if next(calls) == 0 else then


@pytest.mark.parametrize("version", ["1.1", "1.0"])
class TestNoAnswerAfterABreak:
    """Guards against an answer of the gateway inside a stream that has begun."""

    @pytest.mark.parametrize(
        "condition", ["no upstream", "limits", "adapter", "budget", "suspect", "deadline", "stop"]
    )
    def test_an_incomplete_stream_ends_without_its_end(self, condition: str, version: str) -> None:
        async def scenario() -> _Seen:
            async with running_deployment(engines=2, plain=0) as deployment:
                gateway = deployment.gateways[0].gateway
                table, headers = gateway.table, {}
                _break_streams(deployment, _refusal(503), 0)
                await asyncio.sleep(0.05)
                match condition:
                    case "no upstream":
                        then: Any = NoUpstream(0)
                    case "limits":
                        then = NoUpstream(2, asyncio.get_running_loop().time() + 9.0)
                    case "adapter":
                        headers["Model"] = "base/a1"
                        await deployment.call("/draft/1", adapter="a1")
                        _break_streams(deployment, _refusal(503), 0)
                        then = WaitFor(UpstreamId("e0"))
                        view = table.views[UpstreamId("e0")]
                        view.backlog, view.first_byte_s = 1, 9.0
                    case "budget":
                        gateway.budget.try_spend = lambda service: False  # type: ignore[method-assign]
                    case "suspect":
                        # Asked before the choice of an upstream and before the sending.
                        calls = itertools.count()
                        gateway.quarantine.is_refused = lambda traits: next(calls) > 1  # type: ignore[method-assign]
                    case "deadline":
                        headers["Deadline-Remaining"] = "600"
                if condition in ("deadline", "stop"):
                    for upstream in deployment.upstreams.values():
                        upstream.faults = [Fault.HANG_MIDWAY]
                if condition in ("no upstream", "limits", "adapter"):
                    table.choose_again = _allow_once(table.choose_again, then)  # type: ignore[method-assign]
                task = asyncio.create_task(_request(deployment, version, headers))
                if condition == "stop":
                    await asyncio.sleep(0.3)
                    gateway.server.abort()
                return await task

        assert asyncio.run(scenario()) == _Seen(200, _ids(2), is_complete=False)

    def test_a_stream_goes_on_while_the_gateway_stops(self, version: str) -> None:
        async def scenario() -> _Seen:
            async with running_deployment(engines=2, plain=0) as deployment:
                _break_streams(deployment, _refusal(503), 1)
                for upstream in deployment.upstreams.values():
                    upstream.event_interval_s = 0.05
                await asyncio.sleep(0.05)
                task = asyncio.create_task(_request(deployment, version))
                await asyncio.sleep(0.08)
                stop = asyncio.create_task(deployment.gateways[0].drain())
                seen = await task
                await stop
                return seen

        assert asyncio.run(scenario()) == _Seen(200, _ids(LAST_EVENT), is_complete=True)


# What a client sees of the answers that are whole answers to its own request to resume after
# event 2; a gap after the client's own id does not show.
WHOLE_ANSWERS: dict[str, _Seen] = {
    "refusal 400": _Seen(400, [], is_complete=True),
    **{f"success {status}": _Seen(status, [], is_complete=True) for status in (201, 204, 206)},
    **{
        name: _Seen(200, [], is_complete=True)
        for name in ("empty", "empty with a length", "empty without framing")
    },
    "too late": _Seen(200, [4, 5, 6], is_complete=True),
}
# Forwarded whole, but no events; and its end is not known to the client of the stand-in.
OTHER_ANSWERS = {"comments", "success 205"}


def _resume(answer: RawAnswer, times: int) -> _Seen:
    async def scenario() -> _Seen:
        async with running_deployment(engines=3, plain=0) as deployment:
            _break_streams(deployment, answer, times)
            await asyncio.sleep(0.05)
            headers = {"Last-Event-Id": "2", "Connection": "close"}
            return await _request(deployment, headers=headers)

    return asyncio.run(scenario())


class TestAnswersToClientsThatResume:
    """Guards against a client that joins a run to its stream which does not continue it."""

    @pytest.mark.parametrize("name", sorted(ANSWERS.keys() - OTHER_ANSWERS))
    def test_an_answer_is_forwarded_whole_or_replaced(self, name: str) -> None:
        seen = _resume(ANSWERS[name], PERSISTENT)
        if name in WHOLE_ANSWERS:
            assert seen == WHOLE_ANSWERS[name]
        else:
            assert seen.status not in (0, 200)
            assert seen.is_complete

    @pytest.mark.parametrize("name", sorted(ANSWERS.keys() - WHOLE_ANSWERS.keys() - OTHER_ANSWERS))
    def test_the_next_upstream_completes_the_stream(self, name: str) -> None:
        expected = _Seen(200, _ids(LAST_EVENT)[2:], is_complete=True)
        assert _resume(ANSWERS[name], 1) == expected

    @pytest.mark.parametrize("times", [1, PERSISTENT])
    @pytest.mark.parametrize("name", PARTLY_SOUND)
    def test_events_that_follow_are_kept(self, name: str, times: int) -> None:
        answer, last = PARTLY_SOUND[name]
        ids = _ids(LAST_EVENT if times == 1 else last)[2:]
        assert _resume(answer, times) == _Seen(200, ids, is_complete=times == 1)


class TestStreamsThatCanNotBeResumed:
    """Guards against a second run joined to events that name no place to go on from."""

    @pytest.mark.parametrize("event", [b"data: a\n\n", b"id: a\ndata: a\n\n", b"id:\ndata: a\n\n"])
    def test_the_stream_runs_once(self, event: bytes) -> None:
        async def scenario() -> tuple[Answer, int]:
            async with running_deployment(engines=3, plain=0) as deployment:
                head = _head(200, EVENT_STREAM + CHUNKED + SIGNED)
                answer = RawAnswer(head + _chunk(event) + b"ff\r\nda", Ending.CLOSE)
                _break_streams(deployment, answer, 0, first=answer)
                await asyncio.sleep(0.05)
                seen = await deployment.call("/ask/1")
                return seen, sum(len(upstream.runs) for upstream in deployment.upstreams.values())

        seen, runs = asyncio.run(scenario())
        assert (seen.body, seen.complete, runs) == (event, False, 1)
