"""Tests of addresses that pass on from an engine to one of another service."""

import asyncio
from typing import Any

from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import (
    ENGINE_SERVICE,
    InProcessDeployment,
    configuration,
    running_deployment,
)
from dragonflyhold.platform.standins.store import StoreFault

OTHER_SERVICE = "writer"
# Adapter slots of the engines of the other service; those of the first one have three.
OTHER_SLOTS = 1


def _two_services(version: int = 2) -> dict[str, Any]:
    fields = configuration(version)
    services = {service["name"]: service for service in fields["services"]}
    engine = {**services[ENGINE_SERVICE]["engine"], "adapter_slots": OTHER_SLOTS}
    fields["services"].append({**services[ENGINE_SERVICE], "name": OTHER_SERVICE, "engine": engine})
    fields["routes"].append(
        {**fields["routes"][0], "name": "ask-other", "prefix": "/ask2/", "service": OTHER_SERVICE}
    )
    return fields


async def _use_two_services(deployment: InProcessDeployment) -> UpstreamStandIn:
    """Put a configuration with two engine services in force; return the only engine."""
    deployment.store.put("op", "config", _two_services())
    daemons = [*deployment.gateways, *deployment.agents.values()]
    catalogues = [
        daemon.gateway.catalogue if hasattr(daemon, "gateway") else daemon._catalogue
        for daemon in daemons
    ]
    async with asyncio.timeout(3):
        while any(
            catalogue.configuration is None or catalogue.configuration.version != 2
            for catalogue in catalogues
        ):
            await asyncio.sleep(0.01)
    return deployment.upstreams["e0"]


def _pass_on(upstream: UpstreamStandIn, upstream_id: str = "e0-other") -> None:
    """Replace the engine by an empty one of the other service, which has not registered yet."""
    upstream.service, upstream.slots = OTHER_SERVICE, OTHER_SLOTS
    upstream.restart(upstream_id)


class TestAddressOfAnotherService:
    """The service of an engine is that of its entry, not that of the engine before it."""

    def test_engine_gets_no_more_adapters_than_its_own_service_has_slots(self) -> None:
        """Guards against orders beyond the slots of the new engine, at which it would crash."""

        async def run_scenario() -> tuple[int, list[int]]:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = await _use_two_services(deployment)
                first = [deployment.call(f"/ask/{n}", adapter=f"a{n}") for n in (1, 2, 3)]
                await asyncio.gather(*first)
                upstream.max_slots_used = 0
                _pass_on(upstream)
                deployment.store.put("servers", upstream.upstream_id, upstream.entry())
                calls = [
                    deployment.call(f"/{route}/{n}", adapter=f"a{n}")
                    for n in (4, 5, 6)
                    for route in ("ask", "ask2")
                ]
                await asyncio.gather(*calls)
                answer = await deployment.call("/ask2/7", adapter="a7")
                return upstream.max_slots_used, [answer.status]

        slots_used, statuses = asyncio.run(run_scenario())
        assert slots_used == OTHER_SLOTS
        assert statuses == [200]

    def test_nothing_is_sent_or_ordered_before_its_entry_is_read(self) -> None:
        """Guards against requests of the old service at the new engine in the store's outage."""

        async def run_scenario() -> tuple[int, int, list[int]]:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = await _use_two_services(deployment)
                await deployment.call("/ask/1", adapter="a1")
                deployment.store.fault = StoreFault.REFUSING
                await asyncio.sleep(0.3)
                runs, commands = len(upstream.runs), len(upstream.commands)
                _pass_on(upstream)
                await asyncio.sleep(0.3)
                await asyncio.gather(*(deployment.call(f"/ask/{n}", adapter="a1") for n in (2, 3)))
                runs, commands = len(upstream.runs) - runs, len(upstream.commands) - commands
                deployment.store.fault = StoreFault.NONE
                deployment.store.put("servers", upstream.upstream_id, upstream.entry())
                await asyncio.sleep(1.5)
                answer = await deployment.call("/ask2/4", adapter="a1")
                return runs, commands, [answer.status]

        runs, commands, statuses = asyncio.run(run_scenario())
        assert (runs, commands) == (0, 0)
        assert statuses == [200], "the engine is not used for its own service"

    def test_engine_that_kept_its_id_is_used_before_its_entry_is_read(self) -> None:
        """Guards against an engine that is lost to its service for as long as the store."""

        async def run_scenario() -> list[int]:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = await _use_two_services(deployment)
                await deployment.call("/ask/1", adapter="a1")
                deployment.store.fault = StoreFault.REFUSING
                upstream.restart(upstream.upstream_id)
                await asyncio.sleep(0.5)
                answers = [await deployment.call(f"/ask/{n}", adapter="a1") for n in (2, 3)]
                return [answer.status for answer in answers]

        assert asyncio.run(run_scenario()) == [200, 200]

    def test_agent_of_a_service_that_the_configuration_lacks_orders_nothing(self) -> None:
        """Guards against the slots of any other service for an engine whose own is unknown."""

        async def run_scenario() -> int:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = deployment.upstreams["e0"]
                upstream.service = "unknown"
                deployment.store.put("servers", "e0", upstream.entry())
                deployment.agents["e0"]._agent._identity._named = "unknown"  # type: ignore[assignment]
                await deployment.call("/ask/1", adapter="a1")
                return len(upstream.commands)

        assert asyncio.run(run_scenario()) == 0
