"""Tests with upstreams that write an earlier answer of a connection once more."""

import asyncio
import collections
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import TypeVar

import pytest

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway import http_client
from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.http_client import Call, ExchangeError
from dragonflyhold.gateway.model import (
    AdapterCommand,
    Address,
    CommandKind,
    CommandResult,
    ModelName,
)
from dragonflyhold.ids import AdapterName
from dragonflyhold.platform.engine import EngineUnavailableError, HttpEngineControl
from dragonflyhold.platform.standins.late_copies import CopyMoment
from dragonflyhold.platform.standins.runner import Fault
from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, running_deployment
from dragonflyhold.platform.standins.store import StoreStandIn
from dragonflyhold.platform.store import MetadataStore, RowSet, StoredRow, StorePosition

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

    async def exchange(pool: ConnectionPool, address: Address, call: Call) -> bytes | str:
        exchange = None
        try:
            async with asyncio.timeout(0.5):
                exchange = await pool.send(address, call)
                await exchange.read_head()
                return await exchange.read_body()
        except ExchangeError as error:
            return error.reason.value if error.sent else "not sent"
        except TimeoutError:
            return "no answer"
        finally:
            if exchange is not None:
                pool.release(address, exchange)

    async def run() -> tuple[list[bytes | str], int]:
        pool = ConnectionPool()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = Address(f"{host}:{port}")
        try:
            results = [await exchange(pool, address, _call(request_id)) for request_id in ids]
        finally:
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


class TestAnswersWithoutId:
    """An answer that does not name its request states nothing on a connection with earlier ones."""

    @pytest.mark.parametrize(
        ("response", "result"),
        [
            (_answer(), "garbled"),
            (_answer(b""), "garbled"),
            (_answer(b"1", b"2"), "garbled"),
            (_answer(b"2", b"1"), "garbled"),
            (_answer(b"2, 1") + _answer(), "garbled"),
            (_answer(b"2", b"2"), b"own"),
            (_answer(b" 2\t"), b"own"),
            # Earlier answers in whole, and interim ones with and without the own id.
            (_answer(b"1", body=b"late") + _answer(b"2"), b"own"),
            (_answer(b"1", b"0", body=b"late") + _answer(b"2"), b"own"),
            (b"HTTP/1.1 103 x\r\nId: 1\r\n\r\n" + _answer(b"2"), b"own"),
            (b"HTTP/1.1 103 x\r\nId: 2\r\n\r\n" + _answer(), "garbled"),
            (b"HTTP/1.1 101 x\r\nUpgrade: y\r\nConnection: upgrade\r\n\r\n", "garbled"),
            # No answer can follow these.
            (b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + _answer(b"2"), "garbled"),
            (_answer(b"1").replace(b"Id", b"Connection: close\r\nId") + _answer(b"2"), "garbled"),
        ],
    )
    def test_second_answer_counts_only_with_own_id(
        self, response: bytes, result: bytes | str
    ) -> None:
        results, _ = _exchange_all([b"1", b"2"], [_answer(b"1"), response])
        assert results == [b"own", result]

    @pytest.mark.parametrize(("size", "result"), [(300_000, b"own"), (9_000_000, "oversized")])
    def test_long_answer_to_earlier_request_is_skipped(
        self, size: int, result: bytes | str
    ) -> None:
        """Guards against a request in doubt because of a copy, and against bytes without end."""
        late = _answer(b"1", body=b"x" * size) + _answer(b"2")
        assert _exchange_all([b"1", b"2"], [_answer(b"1"), late])[0] == [b"own", result]

    def test_first_answer_of_connection_needs_no_id(self) -> None:
        """No earlier answer can be taken for it: an upstream at a reused address may not echo."""
        assert _exchange_all([b"1", b"2"], [_answer()]) == ([b"own"] * 2, 2)

    @pytest.mark.parametrize("fault", [None, Fault.REFUSE, Fault.FAIL])
    def test_request_that_may_run_once_is_in_doubt(self, fault: Fault | None) -> None:
        """Guards against "not run" for a request that runs, and the success of another one."""

        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            upstream = deployment.upstreams["p0"]
            await deployment.call("/book/1")
            upstream.echoes_ids = False
            upstream.faults = [fault] if fault is not None else []
            return (await deployment.call("/book/2")).status, len(upstream.arrivals)

        assert _run_scenario(scenario) == (502, 2)


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

    def test_copy_is_not_taken_for_answer_to_repeat_by_client(self) -> None:
        """Guards against clients that send a request with the same id once more."""

        async def scenario(deployment: InProcessDeployment) -> tuple[list[int], int]:
            upstream = deployment.upstreams["p0"]
            upstream.copier.plan(b"/book/", CopyMoment.BEFORE_NEXT)
            upstream.faults = [Fault.FAIL]
            headers = {"Attempt-Id": "same"}
            answers = [await deployment.call("/book/1", headers=headers) for _ in range(3)]
            return [answer.status for answer in answers], len(upstream.runs)

        assert _run_scenario(scenario) == ([500, 200, 200], 3)

    def test_copy_in_stream_ends_its_run_and_not_its_answer(self) -> None:
        """Guards against events that are missing, doubled or mixed with a copy."""

        async def scenario(deployment: InProcessDeployment) -> tuple[Answer, int]:
            upstream = deployment.upstreams["e0"]
            upstream.copier.plan(b"/ask/", CopyMoment.IN_NEXT_BODY)
            await deployment.call("/ask/1")
            return await deployment.call("/ask/2"), len(upstream.runs)

        answer, runs = _run_scenario(scenario)
        assert (answer.event_ids, answer.complete, runs) == ([1, 2, 3, 4, 5, 6], True, 3)

    def test_copy_of_failure_is_not_taken_for_answer_to_repeat(self) -> None:
        """Guards against the first run's failure as the answer while the second run goes on."""

        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            upstream = deployment.upstreams["p0"]
            upstream.copier.plan(b"/read/", CopyMoment.BEFORE_NEXT)
            upstream.faults = [Fault.FAIL]
            answer = await deployment.call("/read/1")
            return answer.status, len(upstream.runs)

        assert _run_scenario(scenario) == (200, 2)


def _report(sequence: int, born: int = 1) -> bytes:
    fields = b'{"models":[{"name":"base","adapters":[]}],"sequence":%d,"born":%d}'
    return _answer(body=fields % (sequence, born))


class TestAllMoments:
    """Copies at random moments, among refusals and failures, with many requests at a time."""

    REQUESTS = 240

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_each_answer_is_its_requests_own(self, seed: int) -> None:
        rng = random.Random(seed)
        faults = [Fault.REFUSE, Fault.FAIL, Fault.UNSIGNED, Fault.BREAK_BEFORE]

        async def call(
            deployment: InProcessDeployment, number: int, request_id: str
        ) -> tuple[str, Answer]:
            path = f"/{rng.choice(['book', 'read', 'draft', 'ask'])}/{number}"
            await asyncio.sleep(rng.random())
            return path, await deployment.call(path, headers={"Attempt-Id": request_id})

        async def scenario(deployment: InProcessDeployment) -> tuple[list[tuple[str, Answer]], int]:
            for upstream in deployment.upstreams.values():
                upstream.faults = [
                    rng.choice(faults) if rng.random() < 0.3 else None  # type: ignore[misc]
                    for _ in range(4 * self.REQUESTS)
                ]
                moments = rng.choices(MOMENTS, k=2 * self.REQUESTS)
                for prefix in (b"/book", b"/read", b"/draft", b"/ask"):
                    upstream.copier.plan(prefix, *moments)
            # Some requests bear no id.
            ids = ["" if rng.random() < 0.2 else f"r{n}" for n in range(self.REQUESTS)]
            results = await asyncio.gather(
                *(call(deployment, number, ids[number]) for number in range(self.REQUESTS))
            )
            await asyncio.sleep(0.1)
            self._check(deployment, results)
            return results, sum(item.copier.copies for item in deployment.upstreams.values())

        results, copies = _run_scenario(scenario, plain=2, engines=2)
        assert copies > self.REQUESTS / 2
        served = sum(answer.status == 200 and answer.complete for _, answer in results)
        assert served > self.REQUESTS / 2

    def _check(self, deployment: InProcessDeployment, results: list[tuple[str, Answer]]) -> None:
        runs = collections.Counter(
            run["target"].decode() for item in deployment.upstreams.values() for run in item.runs
        )
        for path, answer in results:
            if path.startswith(("/book", "/draft")):
                assert runs[path] <= 1, path
                assert answer.status not in (429, 503) or not runs[path], path
            if answer.status == 200 and path.startswith(("/book", "/read")):
                assert answer.body == b"answer to " + path.encode()
            elif answer.status == 200:
                assert answer.event_ids == list(range(1, len(answer.event_ids) + 1)), path
                assert len(answer.event_ids) == 6 or not answer.complete, path


class TestControlCalls:
    """Answers of an engine to its agent, which bear no id."""

    def _call(self, *answers: tuple[bytes, ...]) -> list[int | CommandResult | None]:
        """Read the state and send commands alternately; return sequences and results.

        The engine writes the next answers at each call, the second and later ones some
        milliseconds after the first one. No connection gets what it wrote late to another one.
        """
        script = iter(answers)
        command = AdapterCommand(CommandKind.LOAD, ModelName("base"), AdapterName("a1"))

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while request := await reader.readuntil(b"\r\n\r\n"):
                    if request.startswith(b"POST"):
                        await reader.readuntil(b"}")
                    for number, answer in enumerate(next(script)):
                        await asyncio.sleep(0.005 if number else 0)
                        writer.write(answer)
            writer.close()

        async def run() -> list[int | CommandResult | None]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            pool, address = ConnectionPool(), Address(f"{host}:{port}")
            engine = HttpEngineControl(address, "side-1", pool)
            results = list[int | CommandResult | None]()
            for number in range(len(answers)):
                if number % 2:
                    results.append(await engine.send_command(command, 1, 7, None))
                    continue
                try:
                    results.append((await engine.report()).sequence)
                except EngineUnavailableError:
                    results.append(None)
            pool.close_idle(address)
            server.close()
            await asyncio.sleep(0.02)
            return results

        return asyncio.run(run())

    def test_results_shift_by_no_call(self) -> None:
        """Guards against a copy after which each answer counts for the call after its own."""
        accepted = b"HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n"
        conflict = accepted.replace(b"202", b"409")
        results = self._call(
            (_report(1),),
            (accepted,),
            # A copy of the command's answer, then the report.
            (accepted, _report(2)),
            (conflict,),
            (_report(2),),
            # A copy of the report, then the command's answer.
            (_report(2), conflict),
            (_report(2),),
            (accepted,),
        )
        assert results == [
            *(1, CommandResult.ACCEPTED, None, CommandResult.CONFLICT),
            *(2, CommandResult.UNKNOWN, 2, CommandResult.ACCEPTED),
        ]

    def test_older_report_is_not_taken_for_current_one(self) -> None:
        accepted = b"HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n"
        results = self._call((_report(5),), (accepted,), (_report(6),), (accepted,), (_report(5),))
        assert results[4] is None
        results = self._call((_report(5),), (accepted,), (_report(0, born=2),))
        assert results[2] == 0, "the engine has restarted"


class TestStoreCalls:
    """Answers of the metadata store, which bear no id."""

    @pytest.mark.parametrize("moment", CopyMoment)
    @pytest.mark.parametrize("path", [b"/rows-tx", b"/rows-get", b"/rows-feed"])
    def test_copy_is_not_taken_for_answer_to_next_call(
        self, moment: CopyMoment, path: bytes
    ) -> None:
        """Guards against writes that count as done, and rows of another table or time."""

        async def scenario() -> tuple[list[object], int]:
            stand_in, pool, results = StoreStandIn(), ConnectionPool(), list[object]()
            await stand_in.start()
            store = MetadataStore(stand_in.address, pool)
            stand_in.put("t1", "a", b"old")
            # Records answers from now on.
            stand_in.copier.plan(b"/none")
            calls: list[Callable[[], Coroutine[None, None, object]]] = [
                lambda: store.write("t2", "a", b"1"),
                lambda: store.write("t2", "b", b"2"),
                lambda: store.read_table("t1"),
                lambda: store.read_table("t2"),
                lambda: store.read_changes("t1", StorePosition(1, 0), 1.0),
                lambda: store.read_changes("t2", StorePosition(1, 1), 1.0),
            ]
            for call in calls * 2:
                stand_in.copier.plan(path, moment)
                try:
                    results.append(await call())
                except PlatformUnavailableError:
                    results.append(None)
            pool.close_idle(stand_in.address)
            stand_in.close()
            await asyncio.sleep(0.02)
            return results, stand_in.copier.copies

        results, copies = asyncio.run(scenario())
        assert copies >= 2
        old = StoredRow("a", 1, b"old", era=1)
        for offset, version in [(0, 3), (6, 5)]:
            rows = [
                StoredRow("a", version - 1, b"1", era=1),
                StoredRow("b", version, b"2", era=1),
            ]
            written = [StorePosition(1, version - 1), StorePosition(1, version)]
            expected = [*written, [old], rows, [old], rows]
            for result, right in zip(results[offset : offset + 6], expected, strict=True):
                found = result.rows if isinstance(result, RowSet) else result
                assert found in (None, right)
        # A copy fails no more than the call in whose place it stands.
        assert results.count(None) <= copies

    def test_answer_without_era_is_of_the_era_before_it(self) -> None:
        """Guards against sound answers that count as copies."""

        def respond(now_ms: int, era: bytes) -> bytes:
            body = b'{"rows":[],"row_version":1,"now_ms":%d}' % now_ms
            return _answer(body=body).replace(b"Content", era + b"Content")

        script = iter([respond(1, b"Store-Era: 2\r\n"), respond(2, b"")])

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(next(script))
            writer.close()

        async def run() -> list[RowSet]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            pool, address = ConnectionPool(), Address(f"{host}:{port}")
            store = MetadataStore(address, pool)
            try:
                return [await store.read_table("t") for _ in range(2)]
            finally:
                pool.close_idle(address)
                server.close()
                await asyncio.sleep(0.02)

        assert asyncio.run(run()) == [RowSet([], 1, 2)] * 2
