"""Tests of the token limits of accounts in a deployment in one event loop."""

import asyncio
import dataclasses
from typing import Any

import pytest

from dragonflyhold.accounts import AccountName, TokenLimit
from dragonflyhold.gateway import account_limits
from dragonflyhold.gateway.account_limits import AccountLimits
from dragonflyhold.gateway.agent import Agent
from dragonflyhold.gateway.engines import AgentLinks
from dragonflyhold.gateway.messages import TOKEN_PROTOCOL, Message, TokenReply, TokenRequest
from dragonflyhold.platform.standins.site import (
    Answer,
    InProcessDeployment,
    configuration,
    running_deployment,
)
from dragonflyhold.ratelimits import QuotaBounds

KEYS = {"Api-Key": "key-1", "Token-Count": "100,20"}
TOKENS = 120


def with_limit(version: int, requests: float, **account: object) -> dict[str, Any]:
    """Return a configuration with an account that may send so many requests in a window."""
    fields = configuration(version)
    tokens = requests * TOKENS
    limit = {"unit": "tokens", "plain_tokens": 200, "rate_per_s": 1e-3, "burst": tokens}
    fields["tenants"] = [
        {"name": "branch", "api_keys": ["key-1"], **limit, **account},
        {"name": "office", "api_keys": ["key-2"]},
    ]
    return fields


async def _publish(deployment: InProcessDeployment, fields: dict[str, Any]) -> None:
    """Put a configuration in force, once gateways and agents know each other's protocol."""
    deployment.store.put("op", "config", fields)
    async with asyncio.timeout(5):
        while not all(
            daemon.gateway.catalogue.configuration is not None
            and daemon.gateway.catalogue.configuration.version == fields["version"]
            and all(
                agent.protocol >= TOKEN_PROTOCOL
                for agent in daemon.gateway.agent_links._agents.values()
            )
            for daemon in deployment.gateways
        ):
            await asyncio.sleep(0.01)


def _runs(deployment: InProcessDeployment) -> int:
    return sum(len(upstream.runs) for upstream in deployment.upstreams.values())


def _events(deployment: InProcessDeployment, gateway: int = 0) -> str:
    return deployment.gateways[gateway]._metrics.render()[0].decode()


class TestLimit:
    """Guards against requests beyond an account's limit, and refusals below it."""

    @pytest.mark.parametrize("path", ["/book/1", "/ask/1"])
    def test_requests_beyond_it_are_refused_and_do_not_run(self, path: str) -> None:
        async def scenario() -> tuple[list[Answer], int, str]:
            async with running_deployment(engines=1, plain=1) as deployment:
                await _publish(deployment, with_limit(2, requests=3.4))
                answers = [await deployment.call(path, headers=KEYS) for _ in range(5)]
                return answers, _runs(deployment), _events(deployment)

        answers, runs, events = asyncio.run(scenario())
        assert [answer.status for answer in answers] == [200, 200, 200, 429, 429]
        assert runs == 3
        # Room comes when the first tokens leave the window; clients come back one by one.
        assert all(float(answer.fields[b"retry-after"]) > 5 for answer in answers[3:])
        assert answers[3].fields[b"retry-after"] != answers[4].fields[b"retry-after"]
        assert 'refusals_total{code="account_limit"} 2' in events
        assert 'event="account_limited_limit"} 2' in events

    def test_it_holds_over_all_gateways(self) -> None:
        async def scenario() -> tuple[list[int], int]:
            async with running_deployment(engines=2, plain=1, gateways=3) as deployment:
                await _publish(deployment, with_limit(2, requests=6.4))
                calls = [
                    deployment.call("/book/1", headers=KEYS, gateway=number % 3)
                    for number in range(12)
                ]
                answers = await asyncio.gather(*calls)
                return sorted(answer.status for answer in answers), _runs(deployment)

        statuses, runs = asyncio.run(scenario())
        assert statuses == [200] * 6 + [429] * 6
        assert runs == 6

    def test_it_holds_when_the_counting_agent_ends(self) -> None:
        async def scenario() -> tuple[list[int], list[int]]:
            async with running_deployment(engines=2, plain=1, gateways=2) as deployment:
                await _publish(deployment, with_limit(2, requests=8.5))
                before = [
                    (await deployment.call("/book/1", headers=KEYS, gateway=number % 2)).status
                    for number in range(4)
                ]
                limits = deployment.gateways[0].gateway.account_limits
                (account,) = limits._accounts.values()
                counting = getattr(account.agent, "ip", "")
                for agent in deployment.agents.values():
                    if agent._settings.ip == counting:
                        await agent.close()
                await asyncio.sleep(0.1)
                after = [
                    (await deployment.call("/book/1", headers=KEYS, gateway=number % 2)).status
                    for number in range(6)
                ]
                return before, after

        before, after = asyncio.run(scenario())
        assert before == [200] * 4
        assert after == [200] * 4 + [429] * 2

    def test_tokens_of_a_refused_request_are_free_again(self) -> None:
        """Guards against refusals of the gateway's own that use up the limit."""

        async def scenario() -> tuple[list[int], list[int]]:
            async with running_deployment(engines=1, plain=1) as deployment:
                await _publish(deployment, with_limit(2, requests=3.4))
                deployment.upstreams["p0"].close()
                deployment.store.remove("servers", "p0")
                refused = [
                    (await deployment.call("/book/1", headers=KEYS)).status for _ in range(5)
                ]
                served = [(await deployment.call("/ask/1", headers=KEYS)).status for _ in range(4)]
                return refused, served

        refused, served = asyncio.run(scenario())
        assert refused == [503] * 5
        assert served == [200] * 3 + [429]

    def test_a_request_without_a_count_has_the_stated_tokens(self) -> None:
        async def scenario() -> list[int]:
            async with running_deployment(engines=1, plain=1) as deployment:
                await _publish(deployment, with_limit(2, requests=5.4))
                odd = {**KEYS, "Token-Count": "many"}
                return [(await deployment.call("/book/1", headers=odd)).status for _ in range(4)]

        assert asyncio.run(scenario()) == [200] * 3 + [429]

    def test_a_raised_limit_holds_at_once(self) -> None:
        async def scenario() -> list[int]:
            async with running_deployment(engines=1, plain=1) as deployment:
                await _publish(deployment, with_limit(2, requests=1.4))
                statuses = [
                    (await deployment.call("/book/1", headers=KEYS)).status for _ in range(2)
                ]
                await _publish(deployment, with_limit(3, requests=9.4))
                statuses.append((await deployment.call("/book/1", headers=KEYS)).status)
                return statuses

        assert asyncio.run(scenario()) == [200, 429, 200]


class TestSwitch:
    """Guards against limits that act where the configuration has none."""

    @pytest.mark.parametrize("key", [None, "key-2"])
    def test_nothing_is_asked_without_a_limit(self, key: str | None) -> None:
        async def scenario() -> tuple[list[int], int, str]:
            async with running_deployment(engines=1, plain=1) as deployment:
                if key is not None:
                    await _publish(deployment, with_limit(2, requests=0.1))
                headers = {"Api-Key": key} if key is not None else {}
                statuses = [
                    (await deployment.call("/book/1", headers=headers)).status for _ in range(4)
                ]
                limits = deployment.gateways[0].gateway.account_limits
                return statuses, len(limits._accounts), _events(deployment)

        statuses, accounts, events = asyncio.run(scenario())
        assert statuses == [200] * 4
        assert (accounts, "account_" in events) == (0, False)


def _announce_older_protocol(agent: Agent) -> None:
    heartbeat = agent._heartbeat
    agent._heartbeat = lambda: dataclasses.replace(  # type: ignore[method-assign]
        heartbeat(), protocol=TOKEN_PROTOCOL - 1
    )


class TestOlderBuilds:
    """Guards against requests refused in a rolling restart, and messages that peers don't know."""

    def test_older_agents_are_asked_for_nothing(self) -> None:
        async def scenario() -> tuple[list[int], bool]:
            async with running_deployment(engines=2, plain=1) as deployment:
                await _publish(deployment, with_limit(2, requests=2.4))
                links = deployment.gateways[0].gateway.agent_links
                older, newer = links._agents.values()
                for daemon in deployment.agents.values():
                    if daemon._settings.ip == older.ip:
                        _announce_older_protocol(daemon._agent)
                async with asyncio.timeout(5):
                    while older.protocol >= TOKEN_PROTOCOL:
                        await asyncio.sleep(0.01)
                statuses = [
                    (await deployment.call("/book/1", headers=KEYS)).status for _ in range(3)
                ]
                (account,) = links.account_limits._accounts.values()  # type: ignore[union-attr]
                return statuses, account.agent is newer

        assert asyncio.run(scenario()) == ([200, 200, 429], True)

    def test_older_gateways_get_no_queries(self) -> None:
        async def scenario() -> int:
            async with running_deployment(engines=1, plain=1, gateways=2) as deployment:
                await _publish(deployment, with_limit(2, requests=2.4))
                agent = deployment.agents["e0"]._agent
                link = agent._demands.gateways()[0]
                agent._publication.note_protocol(link, TOKEN_PROTOCOL - 1)
                return len(agent._token_gateways())

        assert asyncio.run(scenario()) == 1

    def test_a_gateway_with_older_agents_uses_its_own_part(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(AgentLinks, "token_agents", lambda links: [])

        async def scenario() -> tuple[list[int], str]:
            async with running_deployment(engines=1, plain=1) as deployment:
                await _publish(deployment, with_limit(2, requests=3.4))
                statuses = [
                    (await deployment.call("/book/1", headers=KEYS)).status for _ in range(4)
                ]
                return statuses, _events(deployment)

        statuses, events = asyncio.run(scenario())
        assert statuses == [200] * 3 + [429]
        assert 'event="account_limited_away"} 1' in events


@dataclasses.dataclass
class _LateAgent:
    """Replies in the next step of the event loop."""

    limits: AccountLimits | None = None
    ip_hash: int = 1

    @property
    def link(self) -> "_LateAgent":
        return self

    def send(self, message: Message) -> None:
        assert isinstance(message, TokenRequest)
        assert self.limits is not None
        reply = TokenReply(message.number, message.needed, 0.0, "limit", 1, 0.0, 0.5)
        asyncio.get_running_loop().call_soon(self.limits.note_reply, reply)

    def token_agents(self) -> "list[_LateAgent]":
        return [self]

    def count_known_gateways(self) -> int:
        return 1


class TestReplies:
    """Guards against errors in the handling of replies at odd times."""

    def test_a_reply_at_the_time_limit_counts(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(account_limits, "REPLY_TIMEOUT_S", 0.0)

        async def scenario() -> account_limits.Decision:
            agent = _LateAgent()
            agent.limits = AccountLimits(agent, QuotaBounds(), lambda event, amount: None)
            return await agent.limits.acquire(AccountName("branch"), TokenLimit(9, 9, 9), 1, 5)

        assert asyncio.run(scenario()).is_granted
