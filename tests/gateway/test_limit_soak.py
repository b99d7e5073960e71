"""Seeded soak of limited upstreams in virtual time: limits, restarts, dark VMs, lost messages.

The oracle counts what the upstreams see. A planted violation shows that it can fail.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

import pytest

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import VirtualLoop, run_virtual
from dragonflyhold.gateway.agent_link import AgentLink
from dragonflyhold.gateway.daemon import GatewayDaemon
from dragonflyhold.gateway.messages import LimitUpdate, Message, PermitReply
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import InProcessDeployment, configuration

GATEWAYS, ENGINES, PLAIN = 4, 3, 2
ADAPTERS = 8
CLIENT_IP, STORE_IP = "10.7.0.1", "10.9.0.1"
RUN_S = 24.0
# Time at the end without faults and limits, and its last part, in which all must be served.
CALM_S, SERVED_S = 5.0, 2.0
REQUEST_GAP_S = 0.02
# The platform's bounds; see ``test_upstream_limits``.
WINDOW_S, CONTACT_S = 4.0, 3.0


@dataclasses.dataclass
class Limit:
    """A limit that an upstream stated, in requests a second, between two times."""

    upstream: UpstreamStandIn
    per_s: float
    start: float
    end: float


@dataclasses.dataclass
class Sent:
    """A request that a client sent to a gateway."""

    at: float
    gateway: GatewayDaemon
    status: int = 0


def find_violations(
    limits: list[Limit], sent: dict[str, Sent], started_at: dict[GatewayDaemon, float]
) -> list[str]:
    """Return where upstreams got too many requests from gateways that had run for long enough."""
    violations = []
    for limit in limits:
        arrivals = list(zip(limit.upstream.arrivals, limit.upstream.arrival_ids, strict=True))
        for end, _ in arrivals:
            if not limit.start + CONTACT_S <= end <= limit.end:
                continue
            count = sum(
                end - WINDOW_S < at <= end and started_at[sent[number].gateway] <= end - CONTACT_S
                for at, number in arrivals
            )
            if count > 1.5 * limit.per_s * WINDOW_S + 5:
                name = limit.upstream.upstream_id
                violations.append(f"{name}: {count} requests at {limit.per_s} a second, {end:.3f}")
    return violations


class Soak:
    """One run; the seed determines the faults and the requests."""

    def __init__(self, seed: int, keeps_limits: bool = True) -> None:
        self.limits: list[Limit] = []
        self.sent: dict[str, Sent] = {}
        self.started_at: dict[GatewayDaemon, float] = {}
        self.faults: list[str] = []
        self._rng = random.Random(seed)
        self._keeps_limits = keeps_limits
        self._deployment = InProcessDeployment()
        self._tasks: set[asyncio.Task[None]] = set()
        self._gateway_ips = iter(f"10.1.0.{number}" for number in range(1, 250))

    async def run(self) -> None:
        """Start the deployment, send requests beside faults, and end with a calm time."""
        deployment, loop = self._deployment, asyncio.get_running_loop()
        await create_task_on_vm(STORE_IP, deployment.store.start())
        deployment.store.put("op", "config", configuration())
        for number in range(ENGINES):
            ip = f"10.2.0.{number + 1}"
            await create_task_on_vm(ip, deployment.add_engine(f"e{number}", host=ip))
        for number in range(PLAIN):
            await create_task_on_vm(f"10.3.0.{number + 1}", deployment.add_plain(f"p{number}"))
        for _ in range(GATEWAYS):
            await self._add_gateway()
        await deployment.wait_until_ready(ENGINES)
        faults = loop.create_task(self._inject_faults(loop.time() + RUN_S - CALM_S))
        end = loop.time() + RUN_S
        while loop.time() < end:
            self._spawn(create_task_on_vm(CLIENT_IP, self._send()))
            await asyncio.sleep(REQUEST_GAP_S)
        await faults
        await asyncio.gather(*self._tasks)
        await deployment.close()

    def _spawn(self, task: "asyncio.Task[None]") -> None:
        self._tasks.add(task)

    async def _add_gateway(self) -> None:
        ip = next(self._gateway_ips)
        gateway = await create_task_on_vm(ip, self._deployment.add_gateway(ip))
        self.started_at[gateway] = asyncio.get_running_loop().time()
        if not self._keeps_limits:

            async def acquire(view: object) -> bool:
                del view
                return True

            gateway.gateway.permits.acquire = acquire  # type: ignore[method-assign]

    async def _send(self) -> None:
        deployment = self._deployment
        index = self._rng.randrange(len(deployment.gateways))
        number = f"s{len(self.sent)}"
        sent = Sent(asyncio.get_running_loop().time(), deployment.gateways[index])
        self.sent[number] = sent
        is_stream = self._rng.random() < 0.5
        try:
            answer = await deployment.call(
                "/ask/1" if is_stream else "/read/1",
                adapter=f"a{self._rng.randrange(ADAPTERS)}" if is_stream else "",
                gateway=index,
                headers={"Attempt-Id": number},
            )
            sent.status = answer.status if answer.complete else 0
        except Exception:
            # The gateway was stopped meanwhile.
            sent.status = 0

    async def _inject_faults(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        kinds: list[Callable[[float], Awaitable[None]]] = [
            self._state_limit,
            self._state_limit,
            self._restart_gateway,
            self._restart_agent,
            self._cut_engine,
            self._lose_messages,
        ]
        tasks = []
        while loop.time() < end - 1.0:
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            kind = self._rng.choice(kinds)
            self.faults.append(f"{loop.time():.2f} {kind.__name__}")
            tasks.append(loop.create_task(kind(end)))  # type: ignore[arg-type]
        await asyncio.gather(*tasks)

    async def _state_limit(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        upstream = self._rng.choice(list(self._deployment.upstreams.values()))
        if upstream.limit_per_s is not None:
            return
        until = min(end, loop.time() + self._rng.uniform(4.0, 10.0))
        limit = Limit(upstream, round(self._rng.uniform(0.5, 8.0), 1), loop.time(), until)
        self.limits.append(limit)
        upstream.limit_per_s = limit.per_s
        await asyncio.sleep(until - loop.time())
        upstream.limit_per_s = None

    async def _restart_gateway(self, end: float) -> None:
        del end
        if len(self._deployment.gateways) < GATEWAYS:
            return
        gateway = self._deployment.gateways.pop(self._rng.randrange(GATEWAYS))
        await gateway.close()
        await asyncio.sleep(self._rng.uniform(0.1, 0.5))
        await self._add_gateway()

    async def _restart_agent(self, end: float) -> None:
        del end
        name = self._rng.choice(list(self._deployment.agents))
        agent = self._deployment.agents.pop(name)
        await agent.close()
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        ip = self._deployment.upstreams[name].address.rpartition(":")[0]
        await create_task_on_vm(ip, self._deployment.start_agent(name))

    async def _cut_engine(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        name = self._rng.choice([name for name in self._deployment.upstreams if name[0] == "e"])
        ip = self._deployment.upstreams[name].address.rpartition(":")[0]
        loop.network.make_unreachable(ip)
        await asyncio.sleep(min(self._rng.uniform(0.3, 3.0), end - loop.time()))
        loop.network.make_reachable(ip)

    async def _lose_messages(self, end: float) -> None:
        del end
        links = self._rng.choice(self._deployment.gateways).gateway.agent_links
        deliver = type(links).agent_message

        def drop(agent: AgentLink, message: Message) -> None:
            if not isinstance(message, LimitUpdate | PermitReply):
                deliver(links, agent, message)

        links.agent_message = drop  # type: ignore[method-assign]
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        links.__dict__.pop("agent_message", None)


def play(seed: int, keeps_limits: bool = True) -> tuple[Soak, list[str], float]:
    """Return a run, the violations in it, and the share served at its end."""

    async def scenario() -> tuple[Soak, list[str], float]:
        soak = Soak(seed, keeps_limits)
        await soak.run()
        end = max(sent.at for sent in soak.sent.values())
        late = [sent.status for sent in soak.sent.values() if sent.at > end - SERVED_S]
        violations = find_violations(soak.limits, soak.sent, soak.started_at)
        return soak, violations, late.count(200) / len(late)

    random.seed(seed)
    return run_virtual(scenario())


class TestLimitSoak:
    """Guards against limits that are exceeded beside restarts, cuts and lost messages."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_limits_are_kept_and_service_recovers(self, seed: int) -> None:
        soak, violations, served = play(seed)
        assert violations == [], soak.faults
        assert served >= 0.95, soak.faults

    def test_the_oracle_finds_gateways_that_keep_no_limit(self) -> None:
        _, violations, _ = play(1, keeps_limits=False)
        assert violations
