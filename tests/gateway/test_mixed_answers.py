"""Tests of answers before which an upstream writes a part of an earlier one."""

import asyncio
import enum
import itertools
from collections.abc import Iterator

import pytest

from dragonflyhold.gateway.answers import AnswerUse, decide_use, is_refusal_certain
from dragonflyhold.gateway.http_client import Call, Connection, ExchangeError
from dragonflyhold.platform.standins.runner import RawAnswer
from dragonflyhold.platform.standins.site import running_deployment

OWN_ID, EARLIER_ID = b"own", b"earlier"
SIGNATURE = b"Response-Signature: s.1\r\n"
NOT_RUN = b"Not-Executed: 1\r\n"
OWN_BODY = b"own body"


def _answer(status: bytes, request_id: bytes, headers: bytes = b"", body: bytes = b"") -> bytes:
    names = b"Attempt-Id: %s\r\n" % request_id if request_id else b""
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + headers + names + length + body


def _chunked(status: bytes, request_id: bytes, headers: bytes, body: bytes) -> bytes:
    head = b"HTTP/1.1 %s\r\n%sAttempt-Id: %s\r\n" % (status, headers, request_id)
    framing = b"Transfer-Encoding: chunked\r\n\r\n%x;x=y\r\n%s\r\n0\r\nX: y\r\n\r\n"
    return head + framing % (len(body), body)


def _earlier_answers(request_id: bytes) -> list[bytes]:
    """Return answers of all kinds; the order of the headers decides where a cut can fall."""
    return [
        _answer(b"503 Service Unavailable", request_id, NOT_RUN),
        _answer(b"503 Service Unavailable", request_id, NOT_RUN, b"the queue is full"),
        _answer(b"429 Too Many", request_id, NOT_RUN + b"Retry-After: 1\r\n"),
        _answer(b"421 Misdirected", request_id, b"Instance-Id: i-1\r\n"),
        _answer(b"400 Bad", request_id, NOT_RUN, b"no id"),
        _answer(b"200 OK", request_id, SIGNATURE, b"an earlier body"),
        _answer(b"500 Failed", request_id, SIGNATURE, b"failed"),
        _answer(b"100 Continue", b"")[: -len(b"Content-Length: 0\r\n\r\n")] + b"X: y\r\n\r\n",
        _chunked(b"200 OK", request_id, SIGNATURE, b"an earlier body"),
        _chunked(b"503 Full", request_id, NOT_RUN, b"the queue is full"),
        b"HTTP/1.0 503 Full\r\nNot-Executed: 1\r\n\r\nend",
    ]


# Answers of requests that ran, and whether they are successes.
RUN_ANSWERS = {
    _answer(b"200 OK", OWN_ID, SIGNATURE, OWN_BODY): True,
    _chunked(b"200 OK", OWN_ID, SIGNATURE, OWN_BODY): True,
    _answer(b"500 Failed", OWN_ID, SIGNATURE, OWN_BODY): False,
    _answer(b"503 Busy", OWN_ID, b"", b""): False,
    _answer(b"504 Late", OWN_ID): False,
}
REFUSAL = _answer(b"503 Service Unavailable", OWN_ID, NOT_RUN, b"full")


class _Result(enum.Enum):
    NOT_RUN = "not run"
    SUCCESS = "success"
    # A failure, or no whole answer: the request may have run.
    IN_DOUBT = "in doubt"


class _Transport(asyncio.Transport):
    def write(self, data: bytes | bytearray | memoryview) -> None:
        del data

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        pass

    def close(self) -> None:
        pass


def _is_over(connection: Connection) -> bool:
    return not connection.is_usable


async def _receive(parts: list[bytes], *, is_first: bool = False) -> tuple[_Result, bytes, bool]:
    """Return what the answer to a request means if these bytes arrive, and then nothing more."""
    connection = Connection(lambda closed: None)
    connection.connection_made(_Transport())
    if not is_first:
        call = Call(b"GET", b"/", [], b"", (b"attempt-id", EARLIER_ID), EARLIER_ID)
        earlier = connection.start(call)
        connection.data_received(_answer(b"200 OK", EARLIER_ID))
        assert earlier.is_complete
    call = Call(b"GET", b"/", [], b"", (b"attempt-id", OWN_ID), OWN_ID)
    exchange = connection.start(call)
    for part in parts:
        connection.data_received(part)
    connection.eof_received()
    try:
        head = await exchange.read_head()
        use = decide_use(head, is_stream=False, has_begun=False)
        if use in (AnswerUse.TRY_NEXT, AnswerUse.FORWARD_REJECTION):
            try:
                body = await exchange.read_body()
            except ExchangeError:
                body = exchange.take_body()
            is_certain = is_refusal_certain(exchange, body)
            result = _Result.NOT_RUN if is_certain else _Result.IN_DOUBT
            return result, body, _is_over(connection)
        body = await exchange.read_body()
        result = _Result.SUCCESS if use is AnswerUse.FORWARD_WHOLE else _Result.IN_DOUBT
        return result, body, _is_over(connection)
    except ExchangeError:
        return _Result.IN_DOUBT, b"", _is_over(connection)


def _cuts(earlier: bytes) -> Iterator[bytes]:
    return (earlier[:length] for length in range(len(earlier) + 1))


class TestPrefixesOfEarlierAnswers:
    """Any part of any earlier answer may come where an answer is due."""

    @pytest.mark.parametrize("is_split", [False, True])
    @pytest.mark.parametrize("prefixes", [1, 2])
    def test_request_that_ran_is_never_taken_for_one_that_did_not(
        self, is_split: bool, prefixes: int
    ) -> None:
        """Guards against a second run, and against a failure that becomes a success."""

        async def check_all() -> None:
            for earlier in _earlier_answers(EARLIER_ID):
                for prefix, (own, is_success) in itertools.product(
                    _cuts(earlier), RUN_ANSWERS.items()
                ):
                    parts = [prefix] * prefixes + [own]
                    parts = parts if is_split else [b"".join(parts)]
                    result, body, _ = await _receive([part for part in parts if part])
                    assert result is not _Result.NOT_RUN, parts
                    if result is _Result.SUCCESS:
                        assert (is_success, body) == (True, OWN_BODY), parts

        asyncio.run(check_all())

    def test_cut_refusal_of_the_same_request_is_no_refusal(self) -> None:
        """Guards against the request's own refusal on another connection, cut in its body."""

        async def check_all() -> None:
            for earlier in _earlier_answers(OWN_ID):
                for length, own in itertools.product(range(len(earlier)), RUN_ANSWERS):
                    result, _, _ = await _receive([earlier[:length] + own], is_first=True)
                    assert result is not _Result.NOT_RUN, (earlier[:length], own)

        asyncio.run(check_all())

    def test_refusal_without_bytes_before_it_is_certain(self) -> None:
        """Guards against sound refusals after which nothing is tried again.

        Bytes after a whole answer belong to no request.
        """

        async def check() -> list[tuple[_Result, bool]]:
            parts = [[REFUSAL], [REFUSAL[:30], REFUSAL[30:]], [REFUSAL + REFUSAL], [REFUSAL + b"x"]]
            results = [
                await _receive(item, is_first=is_first)
                for item in parts
                for is_first in (True, False)
            ]
            return [(result, body == b"full") for result, body, _ in results]

        assert asyncio.run(check()) == [(_Result.NOT_RUN, True)] * 8

    def test_doubtful_refusal_is_in_doubt(self) -> None:
        """Guards against belief in a refusal beside which another answer came."""

        async def check() -> list[_Result]:
            earlier = _answer(b"200 OK", EARLIER_ID, SIGNATURE, b"body")
            beside = [
                [earlier + REFUSAL],
                [earlier, REFUSAL],
                [_answer(b"503 F", OWN_ID, NOT_RUN + b"Attempt-Id: own\r\n")],
                [_answer(b"503 F", OWN_ID, NOT_RUN, b"fulH")],
            ]
            return [(await _receive(parts))[0] for parts in beside]

        assert asyncio.run(check()) == [_Result.IN_DOUBT] * 4


class TestUnsafeRequests:
    """An unsafe request that ran isn't sent again."""

    @pytest.mark.parametrize(
        "cut",
        [b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1", b"HTTP/1.1 200 O"],
        ids=["refusal", "success"],
    )
    def test_cut_copy_before_an_answer_leaves_the_request_in_doubt(self, cut: bytes) -> None:
        async def run_scenario() -> tuple[int, int]:
            async with running_deployment(engines=0, plain=2) as deployment:
                answer = cut + b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
                for upstream in deployment.upstreams.values():
                    upstream.faults = [RawAnswer(answer)]
                result = await deployment.call("/book/1")
                runs = sum(len(upstream.received) for upstream in deployment.upstreams.values())
                return result.status, runs

        assert asyncio.run(run_scenario()) == (502, 1)
