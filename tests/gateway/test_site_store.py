"""End-to-end tests of the serving path while the store is unavailable or faulty."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

from dragonflyhold.platform.standins.site import (
    InProcessDeployment,
    configuration,
    running_deployment,
)
from dragonflyhold.platform.standins.store import StoreFault

Result = TypeVar("Result")


def _run_scenario(
    scenario: Callable[[InProcessDeployment], Awaitable[Result]], **upstream_counts: int
) -> Result:
    async def run() -> Result:
        async with running_deployment(**upstream_counts) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


def _runs(deployment: InProcessDeployment) -> list[dict[str, object]]:
    return [run for upstream in deployment.upstreams.values() for run in upstream.runs]


class TestStoreFaults:
    """Configuration changes and store faults."""

    def test_configuration_read_after_upstreams_connects_agents(self) -> None:
        """Guards against agents that stay unconnected if the registry is read first.

        No entry changes afterwards, so the configuration itself must trigger the connections.
        """

        async def scenario() -> int:
            deployment = InProcessDeployment()
            await deployment.store.start()
            try:
                await deployment.add_engine("e0")
                await deployment.add_gateway()
                async with asyncio.timeout(3):
                    while not deployment.gateways[0].gateway.table.views:
                        await asyncio.sleep(0.01)
                deployment.store.put("op", "config", configuration())
                await deployment.wait_until_ready(1)
                return (await deployment.call("/ask/1", adapter="a1")).status
            finally:
                await deployment.close()

        assert asyncio.run(scenario()) == 200

    def test_new_configuration_takes_effect_immediately(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            before = (await deployment.call("/new/1")).status
            config = configuration(7)
            routes = config["routes"]
            assert isinstance(routes, list)
            routes.append({**routes[3], "name": "new", "prefix": "/new/"})
            deployment.store.put("op", "config", config)
            await asyncio.sleep(0.1)
            return [before, (await deployment.call("/new/1")).status]

        assert _run_scenario(scenario) == [404, 200]

    def test_older_configuration_is_ignored(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            deployment.store.put("op", "config", configuration(9))
            await asyncio.sleep(0.1)
            deployment.store.put("op", "config", {**configuration(8), "routes": []})
            await asyncio.sleep(0.1)
            return (await deployment.call("/book/1")).status

        assert _run_scenario(scenario) == 200

    @pytest.mark.parametrize("fault", [StoreFault.REFUSING, StoreFault.UNRESPONSIVE])
    def test_requests_are_served_during_outage(self, fault: StoreFault) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            deployment.store.fault = fault
            deployment.store.reset_connections()
            await asyncio.sleep(0.1)
            calls = [deployment.call("/book/1"), deployment.call("/ask/1", adapter="a1")]
            return [answer.status for answer in await asyncio.gather(*calls)]

        assert _run_scenario(scenario) == [200, 200]

    def test_truncated_history_causes_full_read(self) -> None:
        """A change in the truncated part, here the draining of an upstream, must not be missed."""

        async def scenario(deployment: InProcessDeployment) -> int:
            deployment.store.put("op", "config", configuration(5))
            await asyncio.sleep(0.1)
            deployment.store.compact()
            deployment.store.reset_connections()
            deployment.store.put("servers", "p0", deployment.upstreams["p0"].entry("draining"))
            await asyncio.sleep(2.0)
            before = len(deployment.upstreams["p0"].runs)
            for _ in range(6):
                await deployment.call("/book/1")
            return len(deployment.upstreams["p0"].runs) - before

        assert _run_scenario(scenario) == 0

    def test_gateway_starts_during_outage(self) -> None:
        """Guards against a restarted gateway that returns 503 until the store is back."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            deployment.store.fault = StoreFault.REFUSING
            await deployment.add_gateway()
            await asyncio.sleep(0.8)
            calls = [
                deployment.call("/book/1", gateway=1),
                deployment.call("/ask/1", adapter="a1", gateway=1),
            ]
            return [answer.status for answer in await asyncio.gather(*calls)]

        assert _run_scenario(scenario) == [200, 200]

    def test_agent_restart_during_outage_keeps_engine_available(self) -> None:
        """Guards against an agent that reports no base model while it has no configuration."""

        async def scenario(deployment: InProcessDeployment) -> int:
            await deployment.call("/ask/1", adapter="a1")
            deployment.store.fault = StoreFault.REFUSING
            await deployment.agents["e0"].close()
            await deployment.start_agent("e0")
            await asyncio.sleep(0.5)
            return (await deployment.call("/ask/1", adapter="a1")).status

        assert _run_scenario(scenario, engines=1) == 200

    def test_fencing_token_is_acquired_while_some_fence_parts_are_unavailable(self) -> None:
        """Guards against engines that stay without a base model until the whole store is back.

        This occurs when all VMs restart while some parts of the store are unavailable.
        """

        async def run() -> int:
            deployment = InProcessDeployment()
            await deployment.store.start()
            deployment.store.put("op", "config", configuration())
            deployment.store.unavailable_parts = {"", "fence-1"}
            await deployment.add_engine("e0")
            await deployment.add_gateway()
            await deployment.wait_until_ready(1)
            try:
                return (await deployment.call("/ask/1", adapter="a1")).status
            finally:
                await deployment.close()

        assert asyncio.run(run()) == 200

    def test_unanswered_token_write_is_retried(self) -> None:
        """A fencing token must be acquired even if the response to its write is lost."""

        async def run() -> int:
            deployment = InProcessDeployment()
            await deployment.store.start()
            deployment.store.put("op", "config", configuration())
            deployment.store.fault = StoreFault.LOSING_RESPONSES
            await deployment.add_engine("e0")
            await deployment.add_gateway()
            await deployment.wait_until_ready(1)
            try:
                deployment.store.fault = StoreFault.NONE
                return (await deployment.call("/ask/1", adapter="a1")).status
            finally:
                await deployment.close()

        assert asyncio.run(run()) == 200
