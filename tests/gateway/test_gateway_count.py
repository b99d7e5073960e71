"""Tests of the number of gateways that budgets and limits are divided by."""

import asyncio

from dragonflyhold.gateway.gateway_count import HOLD_S, GatewayCount
from dragonflyhold.platform.standins.site import running_deployment

GATEWAYS = 7


class _Clock:
    now = 1000.0

    def __call__(self) -> float:
        return self.now


class TestGatewayCount:
    """Guards against shares for too few gateways, which exceed a budget together."""

    def test_the_largest_recent_number_holds(self) -> None:
        """Guards against the number of an agent that has just restarted."""
        clock = _Clock()
        count = GatewayCount(clock)
        for told in (3, 60, 2, 58):
            count.note(told)
        assert count.value == 60
        clock.now += HOLD_S + 0.1
        count.note(58)
        assert count.value == 58

    def test_an_earlier_number_holds_while_agents_are_away(self) -> None:
        """Guards against a fifth of all retries for each gateway once no agent is connected."""

        async def scenario() -> list[int]:
            async with running_deployment(2, 0, GATEWAYS) as deployment:
                links = [daemon.gateway.agent_links for daemon in deployment.gateways]
                async with asyncio.timeout(10):
                    while any(link.count_gateways() < GATEWAYS for link in links):
                        await asyncio.sleep(0.05)
                for agent in deployment.agents.values():
                    await agent.close()
                await asyncio.sleep(0.3)
                return [link.count_gateways() for link in links]

        assert asyncio.run(scenario()) == [GATEWAYS] * GATEWAYS
