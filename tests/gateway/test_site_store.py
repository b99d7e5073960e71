"""Tests of the whole path while the store is out, slow or wrong."""

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


def _play(play: Callable[[InProcessDeployment], Awaitable[Result]], **parts: int) -> Result:
    async def run() -> Result:
        async with running_deployment(**parts) as site:
            return await play(site)

    return asyncio.run(run())


def _runs(site: InProcessDeployment) -> list[dict[str, object]]:
    return [run for upstream in site.upstreams.values() for run in upstream.runs]


class TestTheStore:
    """The store."""

    def test_a_configuration_after_the_upstreams_links_their_agents(self) -> None:
        """The registry's answer came first, and no entry changed after it."""

        async def play() -> int:
            site = InProcessDeployment()
            await site.store.start()
            try:
                await site.add_engine("e0")
                await site.add_gateway()
                async with asyncio.timeout(3):
                    while not site.gateways[0].gateway.table.views:
                        await asyncio.sleep(0.01)
                site.store.put("op", "config", configuration())
                await site.wait_until_ready(1)
                return (await site.call("/ask/1", adapter="a1")).status
            finally:
                await site.close()

        assert asyncio.run(play()) == 200

    def test_a_configuration_is_in_force_at_once(self) -> None:
        async def play(site: InProcessDeployment) -> list[int]:
            before = (await site.call("/new/1")).status
            config = configuration(7)
            routes = config["routes"]
            assert isinstance(routes, list)
            routes.append({**routes[3], "name": "new", "prefix": "/new/"})
            site.store.put("op", "config", config)
            await asyncio.sleep(0.1)
            return [before, (await site.call("/new/1")).status]

        assert _play(play) == [404, 200]

    def test_an_older_configuration_is_ignored(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            site.store.put("op", "config", configuration(9))
            await asyncio.sleep(0.1)
            site.store.put("op", "config", {**configuration(8), "routes": []})
            await asyncio.sleep(0.1)
            return (await site.call("/book/1")).status

        assert _play(play) == 200

    @pytest.mark.parametrize("trouble", [StoreFault.REFUSING, StoreFault.UNRESPONSIVE])
    def test_an_outage_stops_nothing(self, trouble: StoreFault) -> None:
        async def play(site: InProcessDeployment) -> list[int]:
            site.store.fault = trouble
            site.store.reset_connections()
            await asyncio.sleep(0.1)
            calls = [site.call("/book/1"), site.call("/ask/1", adapter="a1")]
            return [answer.status for answer in await asyncio.gather(*calls)]

        assert _play(play) == [200, 200]

    def test_a_truncated_history_causes_a_full_read(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            site.store.put("op", "config", configuration(5))
            await asyncio.sleep(0.1)
            site.store.compact()
            site.store.reset_connections()
            site.store.put("servers", "p0", site.upstreams["p0"].entry("draining"))
            await asyncio.sleep(2.0)
            before = len(site.upstreams["p0"].runs)
            for _ in range(6):
                await site.call("/book/1")
            return len(site.upstreams["p0"].runs) - before

        assert _play(play) == 0

    def test_a_gateway_starts_in_an_outage(self) -> None:
        """Pattern: a machine is stopped and started while the store is out.

        It answered 503 until the store was back.
        """

        async def play(site: InProcessDeployment) -> list[int]:
            site.store.fault = StoreFault.REFUSING
            await site.add_gateway()
            await asyncio.sleep(0.8)
            calls = [site.call("/book/1", gateway=1), site.call("/ask/1", adapter="a1", gateway=1)]
            return [answer.status for answer in await asyncio.gather(*calls)]

        assert _play(play) == [200, 200]

    def test_an_agent_that_starts_in_an_outage_stops_nothing(self) -> None:
        """Without a configuration it said that its engine had no model."""

        async def play(site: InProcessDeployment) -> int:
            await site.call("/ask/1", adapter="a1")
            site.store.fault = StoreFault.REFUSING
            await site.agents["e0"].close()
            await site.start_agent("e0")
            await asyncio.sleep(0.5)
            return (await site.call("/ask/1", adapter="a1")).status

        assert _play(play, engines=1) == 200

    def test_a_token_is_had_while_a_part_of_the_store_is_out(self) -> None:
        """Pattern: all machines lose power while a part of the store is out.

        Engines stood without their model until the part was back.
        """

        async def run() -> int:
            site = InProcessDeployment()
            await site.store.start()
            site.store.put("op", "config", configuration())
            site.store.unavailable_parts = {"", "fence-1"}
            await site.add_engine("e0")
            await site.add_gateway()
            await site.wait_until_ready(1)
            try:
                return (await site.call("/ask/1", adapter="a1")).status
            finally:
                await site.close()

        assert asyncio.run(run()) == 200

    def test_an_unanswered_token_write_is_retried(self) -> None:
        async def run() -> int:
            site = InProcessDeployment()
            await site.store.start()
            site.store.put("op", "config", configuration())
            site.store.fault = StoreFault.LOSING_RESPONSES
            await site.add_engine("e0")
            await site.add_gateway()
            await site.wait_until_ready(1)
            try:
                site.store.fault = StoreFault.NONE
                return (await site.call("/ask/1", adapter="a1")).status
            finally:
                await site.close()

        assert asyncio.run(run()) == 200
