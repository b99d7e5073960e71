"""Tests of addresses that pass on from an engine to one of another service."""

import asyncio
from typing import Any

import orjson

from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.codec import find_upstream
from dragonflyhold.platform.standins.runner import EVENT_INTERVAL_S, UpstreamStandIn
from dragonflyhold.platform.standins.site import (
    ENGINE_SERVICE,
    InProcessDeployment,
    configuration,
    running_deployment,
)
from dragonflyhold.platform.standins.store import StoreFault
from dragonflyhold.platform.store import RowSet, StoredRow

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


def _count_searches(deployment: InProcessDeployment) -> list[str]:
    """Return a list to which each read of the whole registry by the agent adds an item."""
    store = deployment.agents["e0"]._store
    reads: list[str] = []
    read_table = store.read_table

    async def count_read(table: str) -> RowSet:
        reads.append(table)
        return await read_table(table)

    store.read_table = count_read  # type: ignore[method-assign]
    return reads


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


class TestEngineThatTellsNoId:
    """A full engine rejects health checks; its entry has its address and start time."""

    @staticmethod
    async def _fill(
        upstream: UpstreamStandIn, deployment: InProcessDeployment
    ) -> asyncio.Task[Any]:
        """Let a request take the only place of the engine's batch, then restart the agent."""
        upstream.batch, upstream.rejects_health_when_full = 1, True
        upstream.event_interval_s = 10.0
        running = asyncio.get_running_loop().create_task(deployment.call("/ask/1", adapter="a1"))
        async with asyncio.timeout(3):
            while not upstream.is_full:
                await asyncio.sleep(0.01)
        identity = deployment.agents["e0"]._agent._identity
        identity._entry = None
        identity.forget(upstream.start_time_ms)
        return running

    def test_it_loads_adapters_and_is_searched_for_once(self) -> None:
        """Guards against an engine that is lost for as long as it is full."""

        async def run_scenario() -> tuple[object, int, int]:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = await _use_two_services(deployment)
                await deployment.call("/ask/1", adapter="a1")
                reads = _count_searches(deployment)
                running = await self._fill(upstream, deployment)
                waiting = asyncio.get_running_loop().create_task(
                    deployment.call("/ask/2", adapter="a2")
                )
                async with asyncio.timeout(2):
                    while "a2" not in upstream.adapters:
                        await asyncio.sleep(0.01)
                running.cancel()
                waiting.cancel()
                upstream.batch, upstream.event_interval_s = None, EVENT_INTERVAL_S
                answer = await deployment.call("/ask/3", adapter="a2")
                identity = deployment.agents["e0"]._agent._identity
                return identity.upstream_id, len(reads), answer.status

        assert asyncio.run(run_scenario()) == ("e0", 1, 200)

    def test_an_entry_of_an_earlier_start_is_not_taken(self) -> None:
        """Guards against the slots of the engine before at the address; the search is not busy."""

        async def run_scenario() -> tuple[int, int, object]:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = await _use_two_services(deployment)
                await deployment.call("/ask/1", adapter="a1")
                _pass_on(upstream)
                upstream.batch, upstream.rejects_health_when_full = 0, True
                await asyncio.sleep(0.3)
                reads = _count_searches(deployment)
                commands = len(upstream.commands)
                await asyncio.gather(*(deployment.call(f"/ask/{n}", adapter="a1") for n in (2, 3)))
                await asyncio.sleep(2)
                searches = len(reads)
                commands = len(upstream.commands) - commands
                deployment.store.put("servers", upstream.upstream_id, upstream.entry())
                identity = deployment.agents["e0"]._agent._identity
                async with asyncio.timeout(5):
                    while identity.spec is None:
                        await asyncio.sleep(0.01)
                return commands, searches, identity.spec.adapter_slots

        commands, searches, slots = asyncio.run(run_scenario())
        assert commands == 0
        assert 1 <= searches <= 6
        assert slots == OTHER_SLOTS

    def test_one_health_path_is_asked_for_each_reading(self) -> None:
        """Guards against a control loop that waits for the health paths of all services in turn."""

        async def run_scenario() -> tuple[list[str], list[str]]:
            class _Silent:
                def __init__(self) -> None:
                    self.paths: list[str] = []

                async def identify(self, path: str) -> None:
                    self.paths.append(path)

            async with running_deployment(engines=1, plain=0) as deployment:
                fields = _two_services()
                fields["services"][-1]["health_check_path"] = "/other"
                deployment.store.put("op", "config", fields)
                daemon = deployment.agents["e0"]
                async with asyncio.timeout(3):
                    while len(daemon._catalogue.engine_services()) < 2:
                        await asyncio.sleep(0.01)
                identity, engine = daemon._agent._identity, _Silent()
                identity.forget(0)
                await identity.update(engine)  # type: ignore[arg-type]
                first = list(engine.paths)
                await identity.update(engine)  # type: ignore[arg-type]
                return first, engine.paths

        first, both = asyncio.run(run_scenario())
        assert first == ["/health"]
        assert both == ["/health", "/other"]

    def test_of_two_entries_with_its_address_and_start_none_is_taken(self) -> None:
        """Guards against an entry of another writer that is taken for the engine's."""
        entry = {
            "service": ENGINE_SERVICE,
            "address": "10.0.0.1:80",
            "zone": "dc-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": 17,
        }
        other = {**entry, "address": "10.0.0.2:80"}
        rows = [
            StoredRow("e0", 1, orjson.dumps(entry)),
            StoredRow("e1", 2, orjson.dumps(other)),
            StoredRow("broken", 3, b"17"),
        ]
        found = find_upstream(rows, Address("10.0.0.1:80"), 17)
        assert found is not None
        assert found.upstream_id == "e0"
        assert find_upstream(rows, Address("10.0.0.1:80"), 1) is None
        rows.append(StoredRow("e2", 4, orjson.dumps({**entry, "service": OTHER_SERVICE})))
        assert find_upstream(rows, Address("10.0.0.1:80"), 17) is None
