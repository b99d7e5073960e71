"""End-to-end tests of a store that comes back from a copy that is some seconds old."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar
from unittest import mock

import pytest

from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.platform.standins.site import (
    InProcessDeployment,
    configuration,
    running_deployment,
)
from dragonflyhold.platform.standins.store import StoreCopy, StoreFault

Result = TypeVar("Result")

# Bound of a confirmed change; versions of adapters have a longer one.
CHANGE_S = 2.0
VERSION_S = 5.0
# Writes within the seconds that are lost.
LOST_WRITES = 30


def _run_scenario(
    scenario: Callable[[InProcessDeployment], Awaitable[Result]], **counts: int
) -> Result:
    async def run() -> Result:
        async with running_deployment(**counts) as deployment:
            return await scenario(deployment)

    return run_virtual(run())


def _with_route(version: int, name: str) -> dict[str, Any]:
    """Return a configuration with another route to the plain service."""
    fields = configuration(version)
    fields["routes"].append({**fields["routes"][2], "name": name, "prefix": f"/{name}/"})
    return fields


async def _write(deployment: InProcessDeployment, count: int) -> None:
    for number in range(count):
        deployment.store.put("other", f"key{number}", {"number": number})
    await asyncio.sleep(0.1)


async def _restore(
    deployment: InProcessDeployment, copy: StoreCopy, writes_before_reads: int
) -> None:
    """Restore the store; nobody reads before that many rows were written."""
    deployment.store.fault = StoreFault.REFUSING
    await asyncio.sleep(0.1)
    deployment.store.restore(copy)
    await _write(deployment, writes_before_reads)
    deployment.store.fault = StoreFault.NONE
    await asyncio.sleep(0.6)


# With few writes a feed from before the drill is refused; with many its position exists again.
few_and_many_writes = pytest.mark.parametrize("writes", [0, 2 * LOST_WRITES])


class TestConfirmedChanges:
    """Changes that the store has confirmed after a restore and that are in force nowhere."""

    @few_and_many_writes
    @pytest.mark.parametrize("drills", [1, 2])
    def test_a_route_that_is_added_after_a_drill_is_served(self, drills: int, writes: int) -> None:
        """Guards against versions that look old because the store gives them out again (CONFIG)."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            for drill in range(drills):
                copy = deployment.store.copy()
                await _write(deployment, LOST_WRITES)
                deployment.store.put("op", "config", _with_route(10 * drill + 2, "lost"))
                await asyncio.sleep(0.2)
                await _restore(deployment, copy, writes)
            deployment.store.put("op", "config", _with_route(99, "new"))
            await asyncio.sleep(CHANGE_S)
            paths = ("/new/1", "/lost/1")
            answers = [await deployment.call(path, method="GET", body=b"") for path in paths]
            return [answer.status for answer in answers]

        assert _run_scenario(scenario, engines=1) == [200, 404]

    def test_a_change_that_versions_have_passed_before_anyone_reads_is_in_force(self) -> None:
        """Guards against feeds that go on at a position that exists again, and miss a change."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            copy = deployment.store.copy()
            await _write(deployment, LOST_WRITES)
            deployment.store.put("op", "config", _with_route(2, "lost"))
            await asyncio.sleep(1.2)
            deployment.store.fault = StoreFault.REFUSING
            await asyncio.sleep(0.1)
            deployment.store.restore(copy)
            deployment.store.put("op", "config", _with_route(9, "new"))
            deployment.store.put("servers", "p0", deployment.upstreams["p0"].entry("draining"))
            await _write(deployment, 2 * LOST_WRITES)
            deployment.store.fault = StoreFault.NONE
            await asyncio.sleep(CHANGE_S)
            before = len(deployment.upstreams["p0"].runs)
            answers = [await deployment.call("/new/1", method="GET", body=b"") for _ in range(6)]
            runs = len(deployment.upstreams["p0"].runs) - before
            agents = [agent._catalogue.configuration for agent in deployment.agents.values()]
            versions = {current.version for current in agents if current is not None}
            return [runs, *{answer.status for answer in answers}, *versions]

        assert _run_scenario(scenario, engines=1) == [0, 200, 9]

    @few_and_many_writes
    def test_an_adapters_new_version_after_a_drill_is_served(self, writes: int) -> None:
        """Guards against agents and gateways that keep an older version (VERSION)."""

        async def scenario(deployment: InProcessDeployment) -> list[object]:
            fields = {"model": "base", "adapter": "a1"}
            await deployment.call("/ask/1", adapter="a1")
            copy = deployment.store.copy()
            await _write(deployment, LOST_WRITES)
            deployment.store.put("op", "version/base.a1", {**fields, "version": 2})
            await asyncio.sleep(0.2)
            await _restore(deployment, copy, writes)
            engine = deployment.upstreams["e0"]
            engine.latest_versions["a1"] = 3
            deployment.store.put("op", "version/base.a1", {**fields, "version": 3})
            await asyncio.sleep(VERSION_S)
            await deployment.call("/ask/2", adapter="a1")
            return [engine.runs[-1]["version"]]

        assert _run_scenario(scenario, engines=1) == [3]

    def test_a_lost_route_is_served_until_it_is_written_again(self) -> None:
        """Guards against older rows that come back into force in the gap."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            copy = deployment.store.copy()
            deployment.store.put("op", "config", _with_route(2, "lost"))
            await asyncio.sleep(0.2)
            await _restore(deployment, copy, 0)
            await asyncio.sleep(1.5)
            return [(await deployment.call("/lost/1", method="GET", body=b"")).status]

        assert _run_scenario(scenario, engines=1) == [200]


class TestUpstreams:
    """Upstreams whose entries are lost, or are back from before they left."""

    @few_and_many_writes
    def test_an_upstream_that_drains_after_a_drill_gets_no_requests(self, writes: int) -> None:
        """Guards against reports of leaving upstreams that look old (DRAIN)."""

        async def scenario(deployment: InProcessDeployment) -> int:
            copy = deployment.store.copy()
            upstream = deployment.upstreams["p0"]
            for _ in range(LOST_WRITES):
                upstream.sequence += 1
                deployment.store.put("servers", "p0", upstream.entry())
            await asyncio.sleep(1.2)
            await _restore(deployment, copy, writes)
            upstream.sequence += 1
            deployment.store.put("servers", "p0", upstream.entry("draining"))
            await asyncio.sleep(CHANGE_S)
            before = len(upstream.runs)
            for _ in range(6):
                await deployment.call("/book/1")
            return len(upstream.runs) - before

        assert _run_scenario(scenario, engines=1) == 0

    def test_an_upstream_that_drained_before_a_drill_gets_no_requests(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            copy = deployment.store.copy()
            upstream = deployment.upstreams["p0"]
            upstream.sequence += 1
            deployment.store.put("servers", "p0", upstream.entry("draining"))
            await asyncio.sleep(1.2)
            await _restore(deployment, copy, 0)
            await asyncio.sleep(1.2)
            before = len(upstream.runs)
            for _ in range(6):
                await deployment.call("/book/1")
            return len(upstream.runs) - before

        assert _run_scenario(scenario, engines=1) == 0

    def test_an_upstream_whose_entry_is_lost_serves_on(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[bool]:
            copy = deployment.store.copy()
            await deployment.add_plain("p9")
            await asyncio.sleep(1.2)
            await _restore(deployment, copy, 0)
            await asyncio.sleep(1.2)
            known = "p9" in deployment.gateways[0].gateway.table.views
            deployment.store.put("servers", "p9", deployment.upstreams["p9"].entry())
            await asyncio.sleep(4.0)
            return [known, "p9" in deployment.gateways[0].gateway.table.views]

        assert _run_scenario(scenario, engines=1) == [True, True]


class TestFencingTokens:
    """Commands of an agent that restarts after a drill."""

    def test_tokens_rise_over_a_restart_after_a_drill(self) -> None:
        """Guards against a lower token, as the store gives versions out again (ONE)."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            engine, agent = deployment.upstreams["e0"], deployment.agents["e0"]
            copy = deployment.store.copy()
            await _write(deployment, LOST_WRITES)
            for adapter in ("a1", "a2"):
                await agent.close()
                await deployment.start_agent("e0")
                agent = deployment.agents["e0"]
                await asyncio.sleep(0.5)
                await deployment.call("/ask/1", adapter=adapter)
                await _restore(deployment, copy, 0)
            await deployment.call("/ask/1", adapter="a3")
            return [command["fencing_token"] for command in engine.commands]

        tokens = _run_scenario(scenario, engines=1)
        assert tokens == sorted(tokens)
        assert len(set(tokens)) == 2


class TestLateStart:
    """Gateways that start while the store has not got back what it lost."""

    @pytest.mark.parametrize("is_store_back", [True, False])
    def test_a_gateway_that_starts_in_the_gap_serves_the_lost_route(
        self, is_store_back: bool
    ) -> None:
        """Guards against older rows that a late starter puts into force (CONFIG)."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            copy = deployment.store.copy()
            deployment.store.put("op", "config", _with_route(2, "lost"))
            await asyncio.sleep(0.2)
            if is_store_back:
                await _restore(deployment, copy, 0)
                late = await deployment.add_gateway()
            else:
                deployment.store.fault = StoreFault.REFUSING
                late = await deployment.add_gateway()
                await asyncio.sleep(0.8)
                deployment.store.restore(copy)
                deployment.store.fault = StoreFault.NONE
            statuses = set()
            for _ in range(60):
                if late.is_ready:
                    answer = await deployment.call("/lost/1", method="GET", body=b"", gateway=1)
                    statuses.add(answer.status)
                await asyncio.sleep(0.02)
            deployment.store.put("op", "config", _with_route(3, "new"))
            await asyncio.sleep(CHANGE_S)
            answer = await deployment.call("/new/1", method="GET", body=b"", gateway=1)
            return [*statuses, answer.status]

        assert _run_scenario(scenario, engines=1) == [200, 200]

    def test_each_seed_is_asked(self) -> None:
        """Guards against the older configuration of a seed that has started in the gap, too."""

        async def scenario(deployment: InProcessDeployment) -> int:
            copy = deployment.store.copy()
            deployment.store.put("op", "config", _with_route(2, "lost"))
            await asyncio.sleep(0.2)
            await _restore(deployment, copy, 0)
            known, deployment.gateways = deployment.gateways, []
            await deployment.add_gateway()
            await asyncio.sleep(0.5)
            deployment.gateways = [*known, *deployment.gateways]
            with mock.patch.object(random, "sample", lambda seeds, k: seeds[::-1]):
                late = await deployment.add_gateway()
                await asyncio.sleep(1.0)
            assert late.is_ready
            return (await deployment.call("/lost/1", method="GET", body=b"", gateway=2)).status

        assert _run_scenario(scenario, engines=1) == 200

    def test_a_gateway_without_peers_becomes_ready(self) -> None:
        """Guards against a gateway that waits for peers that are gone."""

        async def scenario(deployment: InProcessDeployment) -> bool:
            await _restore(deployment, deployment.store.copy(), 0)
            await deployment.gateways[0].close()
            late = await deployment.add_gateway()
            await asyncio.sleep(2.0)
            return late.is_ready

        assert _run_scenario(scenario, engines=1)
