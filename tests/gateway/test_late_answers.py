"""Tests with upstreams that write an earlier answer of a connection once more."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import pytest

from dragonflyhold.gateway import http_client
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.standins.late_copies import CopyMoment
from dragonflyhold.platform.standins.runner import Fault
from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, running_deployment

Result = TypeVar("Result")

# A copy inside a body of stated length is part of that body.
MOMENTS = [moment for moment in CopyMoment if moment is not CopyMoment.IN_NEXT_BODY]


def _run_scenario(
    scenario: Callable[[InProcessDeployment], Awaitable[Result]], **counts: int
) -> Result:
    async def run() -> Result:
        async with running_deployment(**{"engines": 1, "plain": 1, **counts}) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


def _call(request_id: bytes) -> Call:
    headers = [(b"Host", b"h"), (b"Id", request_id)]
    return Call(b"POST", b"/x", headers, b"body", (b"id", request_id), request_id)


def _answer(*ids: bytes, body: bytes = b"own") -> bytes:
    """Return a response whose header repeats the ids."""
    lines = b"".join(b"Id: %s\r\n" % value for value in ids)
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (lines, len(body), body)


def _exchange_all(
    ids: Sequence[bytes], responses: Sequence[bytes] = ()
) -> tuple[list[bytes | str], int]:
    """Send requests one after another to a server that echoes ids or sends given responses.

    Return the bodies or reasons of failure, and the number of connections opened.
    """
    script = iter(responses)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await reader.readuntil(b"body")
                request_id = request.partition(b"Id: ")[2].partition(b"\r\n")[0]
                writer.write(next(script, _answer(request_id)))
        writer.close()

    async def run() -> tuple[list[bytes | str], int]:
        pool, results = ConnectionPool(), list[bytes | str]()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = Address(f"{host}:{port}")
        for request_id in ids:
            exchange = await pool.send(address, _call(request_id))
            try:
                async with asyncio.timeout(2):
                    await exchange.read_head()
                    results.append(await exchange.read_body())
            except ExchangeError as error:
                results.append(error.reason.value)
            pool.release(address, exchange)
        pool.close_idle(address)
        server.close()
        # Lets the server's ends of the connections close.
        await asyncio.sleep(0.02)
        return results, pool.connections_opened

    return asyncio.run(run())


class TestReuse:
    """Connections to sound upstreams must be reused: new ones are dear."""

    def test_repeat_takes_another_connection_and_both_stay(self) -> None:
        ids = [b"1", b"1", b"2", b"1", b"3", b"2", b"4"]
        assert _exchange_all(ids) == ([b"own"] * 7, 3)

    def test_ids_of_connection_are_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against memory that grows for as long as a connection is in use."""
        monkeypatch.setattr(http_client, "MAX_CARRIED_IDS", 10)
        assert _exchange_all([b"%d" % number for number in range(30)]) == ([b"own"] * 30, 3)


class TestRequestsWithoutId:
    """The answer to one client's request must not reach another client, also without ids."""

    @pytest.mark.parametrize("moment", MOMENTS)
    @pytest.mark.parametrize("second_id", ["", "other"])
    def test_copy_is_not_taken_for_answer_to_next_request(
        self, moment: CopyMoment, second_id: str
    ) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[bytes]:
            deployment.upstreams["p0"].copier.plan(b"/book/", moment)
            answers = []
            for number, request_id in enumerate(["", second_id, second_id]):
                headers = {"Attempt-Id": request_id and f"{request_id}{number}"}
                answers.append(await deployment.call(f"/book/{number}", headers=headers))
            return [answer.body for answer in answers]

        assert _run_scenario(scenario) == [b"answer to /book/%d" % number for number in range(3)]

    def test_only_answers_with_ids_leave_their_connection_in_use(self) -> None:
        ids = [b"1", b"2", b"", b"3", b"4"]
        assert _exchange_all(ids) == ([b"own"] * 5, 2)
        assert _exchange_all(ids, [_answer()]) == ([b"own"] * 5, 3)


class TestRepeatedRequest:
    """An answer to the first send of a request must not count for its second send."""

    @pytest.mark.parametrize("moment", MOMENTS)
    @pytest.mark.parametrize("path", ["/book/1", "/draft/1"])
    def test_copy_of_refusal_is_not_taken_for_answer_to_repeat(
        self, moment: CopyMoment, path: str
    ) -> None:
        """Guards against a second run of a request that may run once."""

        async def scenario(deployment: InProcessDeployment) -> tuple[Answer, int, int]:
            upstream = deployment.upstreams["p0" if path == "/book/1" else "e0"]
            upstream.copier.plan(path.encode(), moment)
            upstream.faults = [Fault.REFUSE]
            answer = await deployment.call(path)
            # A copy of the next answer needs an earlier one on the connection.
            await deployment.call(path)
            await asyncio.sleep(0.05)
            return answer, len(upstream.runs), upstream.copier.copies

        answer, runs, copies = _run_scenario(scenario)
        assert (answer.status, answer.complete, runs, copies) == (200, True, 2, 1)

    def test_copy_of_failure_is_not_taken_for_answer_to_repeat(self) -> None:
        """Guards against the first run's failure as the answer while the second run goes on."""

        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            upstream = deployment.upstreams["p0"]
            upstream.copier.plan(b"/read/", CopyMoment.BEFORE_NEXT)
            upstream.faults = [Fault.FAIL]
            answer = await deployment.call("/read/1")
            return answer.status, len(upstream.runs)

        assert _run_scenario(scenario) == (200, 2)
