"""Tests of waits for the store whose connections have fallen silent."""

import asyncio

import pytest

from dragonflyhold.gateway.catalogue import Catalogue
from dragonflyhold.platform.standins.site import configuration, running_deployment

# Time after which a machine whose connections fell silent counts as in contact again.
CONTACT_S = 3.0
# What a hint of a gateway takes to reach an agent, and the agent's read.
HINT_S = 1.0


def _version(catalogue: Catalogue) -> int:
    return catalogue.configuration.version if catalogue.configuration is not None else 0


class TestLongReads:
    """A change is known in time though the pending reads will never tell of it."""

    @pytest.mark.parametrize("gateways", [1, 3])
    def test_change_is_known_to_all(self, gateways: int) -> None:
        """Guards against an old configuration for as long as a read may wait."""

        async def run_scenario() -> tuple[float, float]:
            async with running_deployment(engines=1, plain=0, gateways=gateways) as deployment:
                await asyncio.sleep(0.5)
                # The pending reads hear of no later change.
                deployment.store._changed = asyncio.Event()
                deployment.store.put("op", "config", configuration(2))
                loop = asyncio.get_running_loop()
                at, known_at = loop.time(), []
                own = [daemon.gateway.catalogue for daemon in deployment.gateways]
                agents = [daemon._catalogue for daemon in deployment.agents.values()]
                for catalogues in (own, agents):
                    async with asyncio.timeout(10):
                        while any(_version(catalogue) < 2 for catalogue in catalogues):
                            await asyncio.sleep(0.02)
                    known_at.append(loop.time() - at)
                return known_at[0], known_at[1]

        gateway_s, agent_s = asyncio.run(run_scenario())
        assert gateway_s < CONTACT_S
        assert agent_s < CONTACT_S + HINT_S
