"""Tests of configurations whose names and paths are longer than a key of the store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from dragonflyhold.platform.standins.site import (
    PLAIN_SERVICE,
    InProcessDeployment,
    configuration,
    running_deployment,
)

# Longer than a key of the store, and near what a request's head may hold.
LENGTHS = (201, 12_000)
HEADER_BYTES = 16_384
LATER_VERSION = 7


def _add_route(fields: dict[str, Any], **changes: object) -> None:
    fields["routes"].append({**fields["routes"][2], "name": "added", "prefix": "/added/"} | changes)


async def _apply(deployment: InProcessDeployment, fields: dict[str, Any]) -> None:
    """Write a configuration and wait until it is in force, or for longer than that may take."""
    fields["limits"]["header_bytes"] = HEADER_BYTES
    deployment.store.put("op", "config", fields)
    catalogue = deployment.gateways[0].gateway.catalogue
    for _ in range(100):
        await asyncio.sleep(0.01)
        assert catalogue.configuration is not None
        if catalogue.configuration.version == fields["version"]:
            return


def _run(scenario: Callable[[InProcessDeployment], Awaitable[list[int]]]) -> list[int]:
    async def run() -> list[int]:
        async with running_deployment(engines=0) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


@pytest.mark.parametrize("length", LENGTHS)
class TestLongNames:
    """Guards against a confirmed configuration that is ignored as a whole for one long text."""

    def test_prefix(self, length: int) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            fields, prefix = configuration(LATER_VERSION), "/" + "m" * (length - 2) + "/"
            _add_route(fields, prefix=prefix)
            _add_route(fields, name="plain", prefix="/plain/")
            await _apply(deployment, fields)
            return [(await deployment.call(path)).status for path in (prefix + "1", "/plain/1")]

        assert _run(scenario) == [200, 200]

    def test_host(self, length: int) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            fields, host = configuration(LATER_VERSION), "h" * length
            _add_route(fields, host=host)
            _add_route(fields, name="plain", prefix="/plain/")
            await _apply(deployment, fields)
            answers = [
                await deployment.call("/added/1", headers={"Host": host}),
                await deployment.call("/plain/1"),
            ]
            return [answer.status for answer in answers]

        assert _run(scenario) == [200, 200]

    def test_names_of_routes_services_and_models(self, length: int) -> None:
        """Guards also against upstreams that are unknown for the name of their service."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            fields, service = configuration(LATER_VERSION), "s" * length
            fields["services"].append({**fields["services"][1], "name": service})
            fields["services"][0]["engine"]["models"].append({"name": "m" * length})
            _add_route(fields, name="r" * length, service=service)
            entry = deployment.upstreams["p1"].entry()
            deployment.store.put(
                "servers",
                "p1",
                {**entry, "service": service, "zone": "z" * length, "version": "v" * length},
            )
            await _apply(deployment, fields)
            views = deployment.gateways[0].gateway.table.views
            for _ in range(200):
                await asyncio.sleep(0.01)
                if views["p1"].upstream.service == service:
                    break
            return [(await deployment.call(path)).status for path in ("/added/1", "/read/1")]

        assert _run(scenario) == [200, 200]

    def test_health_path(self, length: int) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[int]:
            fields = configuration(LATER_VERSION)
            for service in fields["services"]:
                if service["name"] == PLAIN_SERVICE:
                    service["health_check_path"] = "/" + "h" * length
            _add_route(fields)
            await _apply(deployment, fields)
            return [(await deployment.call("/added/1")).status]

        assert _run(scenario) == [200]
