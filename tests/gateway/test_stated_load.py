"""End-to-end tests of the load, slowness and memory that upstreams state."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

from dragonflyhold.platform.standins.site import InProcessDeployment, running_deployment

Result = TypeVar("Result")


def _run(scenario: Callable[[InProcessDeployment], Awaitable[Result]], **counts: int) -> Result:
    async def run() -> Result:
        async with running_deployment(**counts) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


class TestStatedLoad:
    """What answers state about their upstream."""

    def test_a_slow_upstream_gets_less(self) -> None:
        """Guards against figures that are read and decide nothing."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            slow, usual = (deployment.upstreams[name] for name in ("p0", "p1"))
            slow.state_load, usual.state_load = lambda: b"1,0,8,600", lambda: b"1,0,8,100"
            for _ in range(60):
                assert (await deployment.call("/book/1")).status == 200
            return [len(slow.runs), len(usual.runs)]

        slow, usual = _run(scenario)
        assert slow >= 1
        assert usual > 2 * slow

    @pytest.mark.parametrize(
        "value",
        [b"1,2", b"0,0,0,0", b"-1,0,8,100", b"1,0,8,0", b"1,0,8,%s" % (b"9" * 400), b"x", b"1,,,"],
    )
    def test_odd_figures_end_no_request(self, value: bytes) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            for upstream in deployment.upstreams.values():
                upstream.state_load = lambda: value
            statuses = [(await deployment.call("/book/1")).status for _ in range(4)]
            answer = await deployment.call("/ask/x", adapter="a5")
            return [*statuses, answer.status]

        assert _run(scenario) == [200] * 5

    def test_other_gateways_hear_of_it(self) -> None:
        """Passed on beside demands and heartbeats, so that nothing more is sent."""

        async def scenario(deployment: InProcessDeployment) -> list[float]:
            for name in ("p0", "p1"):
                deployment.upstreams[name].state_load = lambda: b"6,0,8,200"
            assert (await deployment.call("/ask/x", adapter="a5")).status == 200
            for _ in range(4):
                assert (await deployment.call("/book/1")).status == 200
            # Any demand takes the news along.
            assert (await deployment.call("/ask/x", adapter="a5")).status == 200
            await asyncio.sleep(0.3)
            now = asyncio.get_running_loop().time()
            views = deployment.gateways[1].gateway.table.views.values()
            return [view.load(now) for view in views if not view.is_linked]

        assert 5.0 in _run(scenario, gateways=2)


class TestStatedMemory:
    """What engines state about their memory."""

    def test_requests_without_room_are_refused_as_not_run(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[list[int], int]:
            upstreams = deployment.upstreams.values()
            for upstream in upstreams:
                upstream.state_load = lambda: b"1,0,8,100"
            assert (await deployment.call("/ask/x", adapter="a5")).status == 200
            before = sum(len(upstream.runs) for upstream in upstreams)
            for upstream in upstreams:
                upstream.memory = (990, 1000)
            await asyncio.sleep(0.5)
            answers = [await deployment.call("/ask/x", adapter="a5") for _ in range(2)]
            runs = sum(len(upstream.runs) for upstream in upstreams)
            return [answer.status for answer in answers], runs - before

        assert _run(scenario) == ([503, 503], 0)

    def test_a_lost_agent_does_not_stop_its_engine(self) -> None:
        """Guards against an engine that stays full for as long as nobody tells otherwise."""

        async def scenario(deployment: InProcessDeployment) -> int:
            for upstream in deployment.upstreams.values():
                upstream.state_load = lambda: b"1,0,8,100"
            assert (await deployment.call("/ask/x", adapter="a5")).status == 200
            for upstream in deployment.upstreams.values():
                upstream.memory = (990, 1000)
            await asyncio.sleep(0.5)
            refused = (await deployment.call("/ask/x", adapter="a5")).status
            for name in deployment.agents:
                deployment.freeze_agent(name)
            await asyncio.sleep(2.0)
            assert refused == 503
            return (await deployment.call("/ask/x", adapter="a5")).status

        assert _run(scenario) == 200
