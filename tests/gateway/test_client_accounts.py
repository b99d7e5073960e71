"""Tests of client accounts in a deployment in one event loop."""

import asyncio
from typing import Any

import pytest

from dragonflyhold.platform.standins.site import (
    Answer,
    InProcessDeployment,
    configuration,
    running_deployment,
)


def with_accounts(version: int = 2, **route: object) -> dict[str, Any]:
    """Return a configuration with two accounts."""
    fields = configuration(version, **route)
    fields["tenants"] = [
        {"name": "branch", "api_keys": ["key-1", "key-2"], "priority": 1},
        {"name": "office", "api_keys": ["key-3"], "priority": 0},
    ]
    return fields


async def _call(
    deployment: InProcessDeployment, headers: dict[str, str], path: str = "/book/1"
) -> Answer:
    return await deployment.call(path, headers=headers)


class TestAccountOfRequest:
    """Guards against upstreams that learn a key, or another account than that of the key."""

    @pytest.mark.parametrize("path", ["/book/1", "/ask/1"])
    def test_the_upstream_gets_the_account_instead_of_the_key(self, path: str) -> None:
        async def scenario() -> tuple[Answer, dict[bytes, bytes]]:
            async with running_deployment(engines=1, plain=1) as deployment:
                await publish(deployment, with_accounts())
                answer = await _call(deployment, {"Api-Key": "key-3", "Tenant": "branch"}, path)
                return answer, _only_run(deployment)

        answer, fields = asyncio.run(scenario())
        assert answer.status == 200
        assert fields[b"tenant"] == b"office"
        assert not any(b"key" in name or b"key-" in value for name, value in fields.items())
        assert fields.get(b"urgency-level", b"0") == b"0"

    @pytest.mark.parametrize("headers", [{}, {"Api-Key": ""}, {"Api-Key": "other"}])
    def test_nothing_runs_without_a_known_key(self, headers: dict[str, str]) -> None:
        async def scenario() -> tuple[Answer, int]:
            async with running_deployment(engines=0, plain=1) as deployment:
                await publish(deployment, with_accounts())
                return await _call(deployment, headers), len(deployment.upstreams["p0"].runs)

        answer, runs = asyncio.run(scenario())
        assert (answer.status, runs) == (401, 0)

    def test_an_open_route_needs_no_key(self) -> None:
        async def scenario() -> tuple[Answer, dict[bytes, bytes]]:
            async with running_deployment(engines=0, plain=1) as deployment:
                await publish(deployment, with_accounts(allow_anonymous=True))
                answer = await _call(deployment, {"Api-Key": "other", "Tenant": "branch"})
                return answer, _only_run(deployment)

        answer, fields = asyncio.run(scenario())
        assert answer.status == 200
        assert not fields.keys() & {b"tenant", b"api-key"}

    def test_nothing_changes_without_accounts(self) -> None:
        """Guards against accounts that act where the configuration has none."""

        async def scenario() -> tuple[Answer, dict[bytes, bytes]]:
            async with running_deployment(engines=0, plain=1) as deployment:
                answer = await _call(deployment, {"Tenant": "mine"})
                return answer, _only_run(deployment)

        answer, fields = asyncio.run(scenario())
        assert (answer.status, fields[b"tenant"]) == (200, b"mine")


async def publish(deployment: InProcessDeployment, fields: dict[str, Any]) -> None:
    """Publish a configuration and wait until all gateways use it."""
    deployment.store.put("op", "config", fields)
    async with asyncio.timeout(5):
        while not all(
            daemon.gateway.catalogue.configuration is not None
            and daemon.gateway.catalogue.configuration.version == fields["version"]
            for daemon in deployment.gateways
        ):
            await asyncio.sleep(0.01)


def _only_run(deployment: InProcessDeployment) -> dict[bytes, bytes]:
    runs = [run for upstream in deployment.upstreams.values() for run in upstream.runs]
    (run,) = runs
    fields: dict[bytes, bytes] = run["fields"]
    return fields
