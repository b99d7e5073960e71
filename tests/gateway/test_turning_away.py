"""End-to-end tests of upstreams that turn requests away and state for how long."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, running_deployment

Result = TypeVar("Result")

GAP_S = 0.02
WAIT_S = 1.5


def _run(
    scenario: Callable[[InProcessDeployment], Awaitable[Result]],
    engines: int = 0,
    plain: int = 3,
) -> Result:
    async def run() -> Result:
        async with running_deployment(engines, plain, 1) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


async def _send_for(deployment: InProcessDeployment, path: str, seconds: float) -> list[Answer]:
    """Send a request every ``GAP_S`` for some time; return the answers."""
    loop = asyncio.get_running_loop()
    end, calls = loop.time() + seconds, []
    for number in itertools.count():
        if loop.time() >= end:
            break
        call = deployment.call(path, body=b"%d" % number)
        calls.append(loop.create_task(call))
        await asyncio.sleep(GAP_S)
    return await asyncio.gather(*calls)


def _after_first(upstream: UpstreamStandIn, start_s: float, end_s: float) -> int:
    """Return how many requests arrived in a span of time after the first one turned away."""
    first = upstream.turned_away[0][0]
    return sum(first + start_s < at < first + end_s for at in upstream.arrivals)


class TestTurningAway:
    """Guards against requests to an upstream that has said for how long it wants none."""

    @pytest.mark.parametrize("states_not_run", [True, False])
    @pytest.mark.parametrize("path", ["/read/1", "/book/1", "/ask/1"])
    def test_nothing_is_sent_until_then(self, path: str, states_not_run: bool) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[int, int, float]:
            upstream = deployment.upstreams["e0" if path == "/ask/1" else "p0"]
            upstream.is_stated_in_reports = False
            upstream.states_not_run = states_not_run
            upstream.turn_away = [b"%.1f" % WAIT_S]
            answers = await _send_for(deployment, path, 1.0)
            upstream.turn_away = []
            # The entry of this incarnation is written anew.
            deployment.store.remove("servers", upstream.upstream_id)
            await asyncio.sleep(0.05)
            deployment.store.put("servers", upstream.upstream_id, upstream.entry())
            answers += await _send_for(deployment, path, 2.0)
            served = sum(answer.status == 200 for answer in answers) / len(answers)
            away = _after_first(upstream, 0.1, WAIT_S)
            return away, _after_first(upstream, WAIT_S, 3.0), served

        away, later, served = _run(scenario, engines=3)
        assert away == 0
        # An answer that does not say that the request was not run counts as a failure, too.
        assert later > 0 or not states_not_run
        # Only requests that may have run there and may not be repeated fail.
        assert served >= 0.97

    @pytest.mark.parametrize("path", ["/read/1", "/ask/1"])
    def test_requests_are_refused_at_once_if_all_turn_away(self, path: str) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[Answer, float, int]:
            upstreams = deployment.upstreams.values()
            for upstream in upstreams:
                upstream.turn_away = [b"3"]
            await _send_for(deployment, path, 0.3)
            before = sum(len(upstream.arrivals) for upstream in upstreams)
            started = asyncio.get_running_loop().time()
            answer = await deployment.call(path)
            elapsed = asyncio.get_running_loop().time() - started
            return answer, elapsed, sum(len(upstream.arrivals) for upstream in upstreams) - before

        answer, elapsed, arrivals = _run(scenario, engines=2)
        assert (answer.status, arrivals) == (503, 0)
        assert elapsed < 0.03
        assert 2.5 < float(answer.fields[b"retry-after"]) < 6.0

    def test_an_agent_makes_no_call_and_its_engine_stays_in_use(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[int, int, int]:
            upstream = deployment.upstreams["e0"]
            await deployment.call("/ask/1", adapter="a1")
            upstream.turn_away = [b"1"]
            await asyncio.sleep(0.15)
            upstream.turn_away = []
            reports, commands = len(upstream.report_times), len(upstream.commands)
            answers = await _send_for(deployment, "/ask/1", 0.6)
            assert {answer.status for answer in answers} == {200}
            assert upstream.arrivals
            during = len(upstream.report_times) - reports
            assert len(upstream.commands) == commands
            await asyncio.sleep(1.0)
            return during, len(upstream.commands) - commands, len(upstream.report_times) - reports

        during, commands, after = _run(scenario, engines=1)
        assert (during, commands) == (0, 0)
        assert after > 0


class TestDamagedValues:
    """Guards against values that end a process or take an upstream out for ever."""

    @pytest.mark.parametrize(
        ("status", "values"),
        [
            (503, [b""]),
            (503, [b"-1"]),
            (503, [b"soon"]),
            (503, [b"inf"]),
            (503, [b"0"]),
            (503, [b"Wed, 21 Oct 2026 07:28:00 GMT"]),
            (503, [b"x", b"0"]),
            (429, [b"5"]),
            (500, [b"5"]),
        ],
    )
    def test_the_upstream_stays_in_use(self, status: int, values: list[bytes]) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            upstream = deployment.upstreams["p0"]
            upstream.turn_away, upstream.turn_away_status = values, status
            while not upstream.turned_away:
                await deployment.call("/read/1")
            upstream.turn_away = []
            before = len(upstream.arrivals)
            for answer in await _send_for(deployment, "/read/1", 0.5):
                assert answer.status == 200
            return len(upstream.arrivals) - before

        assert _run(scenario, plain=2) > 0
