"""A deployment in one event loop: store, upstreams, agents and gateways."""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import os
import socket
from collections.abc import AsyncIterator
from typing import Any

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.daemon import AgentDaemon, GatewayDaemon
from dragonflyhold.gateway.http_client import Call, ExchangeError, Head
from dragonflyhold.gateway.model import Address
from dragonflyhold.ids import DataCentre, VmName
from dragonflyhold.platform.settings import Bounds, DaemonSettings
from dragonflyhold.platform.standins.engine_model import EngineModel
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.store import StoreStandIn
from dragonflyhold.standins.ports import NoFreePortError, bind_claim

ENGINE_SERVICE = "assistant"
PLAIN_SERVICE = "desk"
HOST = "site.example"
# Gateways listen on fixed ports, so each process has a network of its own: 127.64 to 127.253.
FIRST_NETWORK, NETWORKS = 64, 190
# Bound in the network that a process uses.
NETWORK_CLAIM_PORT = 17000
HOSTS_PER_SUBNET = 250
_host_numbers = itertools.count()


@functools.cache
def _claim_network() -> tuple[str, socket.socket]:
    """Return a network that no other process uses, and the socket that claims it."""
    for number in range(NETWORKS):
        network = f"127.{FIRST_NETWORK + (os.getpid() + number) % NETWORKS}"
        sock = bind_claim(f"{network}.255.254", NETWORK_CLAIM_PORT)
        if sock is not None:
            return network, sock
    raise NoFreePortError("other processes use all loopback networks for stand-ins")


def draw_host() -> str:
    """Return a loopback address that this process has not used yet."""
    subnet, number = divmod(next(_host_numbers), HOSTS_PER_SUBNET)
    return f"{_claim_network()[0]}.{subnet}.{number + 2}"


def configuration(version: int = 1, **route: object) -> dict[str, Any]:
    """Return a configuration with one route of each kind; ``route`` overrides their fields."""
    base = {"host": HOST, "timeout_ms": 1500, "target_latency_ms": 500, "priority": 1}

    def make(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
        fields = {"name": name, "prefix": f"/{name}/", "kind": kind, "service": service}
        return {**base, **fields, "max_attempts": 2, **more, **route}

    return {
        "version": version,
        "routes": [
            make("ask", "streaming", ENGINE_SERVICE, resumable=True, sticky_sessions=True),
            make("draft", "streaming", ENGINE_SERVICE, max_attempts=1, resumable=False),
            make("read", "safe", PLAIN_SERVICE),
            make("book", "unsafe", PLAIN_SERVICE, max_attempts=1),
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "health_check_path": "/health",
                "connection_limit": 100,
                "engine": {"slots": 8, "adapter_slots": 3, "models": [{"name": "base"}]},
            },
            {"name": PLAIN_SERVICE, "health_check_path": "/health", "connection_limit": 100},
        ],
        "limits": {"header_bytes": 4096, "body_bytes": 65536},
    }


def add_stream_route(
    fields: dict[str, Any],
    name: str,
    *,
    is_resumable: bool,
    timeout_s: float,
    target_latency_s: float,
    priority: int,
) -> None:
    """Add a route that streams from the engines, with the path prefix ``/name/``."""
    fields["routes"].append(
        {
            **fields["routes"][0],
            "name": name,
            "prefix": f"/{name}/",
            "resumable": is_resumable,
            "max_attempts": 2 if is_resumable else 1,
            "timeout_ms": round(timeout_s * 1000),
            "target_latency_ms": round(target_latency_s * 1000),
            "priority": priority,
        }
    )


def set_engine_size(fields: dict[str, Any], batch: int, adapter_slots: int) -> None:
    """Set the engines' batch and adapter slots in a configuration."""
    for service in fields["services"]:
        if service["name"] == ENGINE_SERVICE:
            service["engine"].update(slots=batch, adapter_slots=adapter_slots)


class _SettingsInMemory:
    """Replaces the settings file by settings that ``change`` replaces for the next reload."""

    def __init__(self, current: DaemonSettings) -> None:
        self.current = current
        self._next = current

    def change(self, **fields: object) -> None:
        """Replace fields of the settings, as an edit of the file does."""
        self._next = dataclasses.replace(self._next, **fields)  # type: ignore[arg-type]

    def reload_if_changed(self, force: bool = False) -> bool:
        del force
        has_changed = self.current != self._next
        self.current = self._next
        return has_changed


@dataclasses.dataclass
class Answer:
    """A response that a client received; ``complete`` is false if it was truncated."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes
    complete: bool = True

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the events in a stream."""
        lines = self.body.split(b"\n")
        return [int(line[3:]) for line in lines if line.startswith(b"id:")]


class InProcessDeployment:
    """Starts and stops the store, upstreams, agents and gateways, by default on 127.0.0.0/8."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self.store = StoreStandIn()
        self.upstreams: dict[str, UpstreamStandIn] = {}
        self.agents: dict[str, AgentDaemon] = {}
        self.gateways: list[GatewayDaemon] = []
        self.pool = ConnectionPool()
        self._ids = itertools.count(1)

    async def add_engine(
        self,
        upstream_id: str,
        *,
        agent: bool = True,
        host: str = "",
        slots: int = 3,
        model: EngineModel | None = None,
        software: str = "v1",
    ) -> UpstreamStandIn:
        """Start an engine and its agent, and register the engine."""
        host = host or draw_host()
        upstream = UpstreamStandIn(host, upstream_id, ENGINE_SERVICE, slots=slots, model=model)
        upstream.software = software
        await upstream.start()
        self.upstreams[upstream_id] = upstream
        self.store.put("servers", upstream_id, upstream.entry())
        upstream.on_restart = lambda old_id: self._replace_entry(old_id, upstream)
        if agent:
            await self.start_agent(upstream_id)
        return upstream

    def _replace_entry(self, old_id: str, upstream: UpstreamStandIn) -> None:
        self.store.remove("servers", old_id)
        self.store.put("servers", upstream.upstream_id, upstream.entry())

    async def add_plain(self, upstream_id: str, *, host: str = "") -> UpstreamStandIn:
        """Start and register an upstream of the plain service."""
        upstream = UpstreamStandIn(host or draw_host(), upstream_id, PLAIN_SERVICE)
        await upstream.start()
        self.upstreams[upstream_id] = upstream
        self.store.put("servers", upstream_id, upstream.entry())
        return upstream

    async def start_agent(self, upstream_id: str) -> None:
        """Start the agent of an engine."""
        upstream = self.upstreams[upstream_id]
        host = upstream.address.rpartition(":")[0]
        agent = AgentDaemon(_SettingsInMemory(self._settings(host, engine=upstream.address)))  # type: ignore[arg-type]
        await agent.start()
        self.agents[upstream_id] = agent

    def freeze_agent(self, upstream_id: str) -> None:
        """Stop all tasks of an agent and its reading, without closing its connections.

        New connections are accepted, and nothing is sent on them.
        """
        daemon = self.agents[upstream_id]
        daemon._agent.link_opened = lambda link: None  # type: ignore[method-assign]
        for task in daemon._tasks:
            task.cancel()
        for link in daemon._agent._demands.gateways():
            assert link._transport is not None
            link._transport.pause_reading()

    async def add_gateway(self, host: str = "", *, is_first_start: bool = True) -> GatewayDaemon:
        """Start a gateway, by default with the whole deployment."""
        host = host or draw_host()
        listener = Address(f"{host}:18080")
        settings = dataclasses.replace(
            self._settings(host, client_listener=listener), is_first_start=is_first_start
        )
        gateway = GatewayDaemon(_SettingsInMemory(settings))  # type: ignore[arg-type]
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    def reload_settings(self, gateway: GatewayDaemon, **fields: object) -> None:
        """Change fields of a gateway's settings, and let it reload them as after SIGHUP."""
        settings = gateway._settings_file
        assert isinstance(settings, _SettingsInMemory)
        settings.change(**fields)
        gateway._reload(force=True)

    async def restart_vms(self) -> None:
        """Restart all gateways and agents, with nothing in memory; one gateway comes back."""
        gateways, self.gateways = self.gateways, []
        for gateway in gateways:
            await gateway.close()
        for upstream_id, agent in list(self.agents.items()):
            await agent.close()
            await self.start_agent(upstream_id)
        await self.add_gateway(is_first_start=False)

    def _settings(
        self, host: str, client_listener: Address | None = None, engine: Address | None = None
    ) -> DaemonSettings:
        return DaemonSettings(
            vm=VmName(f"vm-{host}"),
            ip=host,
            data_centre=DataCentre("dc-a"),
            store=self.store.address,
            client_listener=client_listener,
            ready_listener=None,
            peer_listener=Address(f"{host}:18081") if client_listener else None,
            seeds=tuple(Address(f"{daemon._settings.ip}:18081") for daemon in self.gateways),
            engine=engine,
            service=ENGINE_SERVICE if engine else "",
            first_internal_port=17380,
            bounds=self.bounds,
        )

    async def wait_until_ready(self, links: int) -> None:
        """Wait until every gateway has a configuration and is linked to that many agents."""
        async with asyncio.timeout(5):
            while not all(self._is_ready(daemon, links) for daemon in self.gateways):
                await asyncio.sleep(0.01)

    def _is_ready(self, daemon: GatewayDaemon, links: int) -> bool:
        views = daemon.gateway.table.views.values()
        return (
            daemon.gateway.is_ready
            and len(views) == len(self.upstreams)
            and sum(view.is_linked for view in views) >= links
        )

    async def call(
        self,
        path: str,
        *,
        adapter: str = "",
        method: str = "POST",
        body: bytes = b"body",
        gateway: int = 0,
        headers: dict[str, str] | None = None,
        timeout_s: float = 8.0,
    ) -> Answer:
        """Send a request as a client, and read the response."""
        address = self.client_address(gateway)
        fields = self.client_fields(path, adapter, 1500, (100, 20))
        fields.update(headers or {})
        async with asyncio.timeout(timeout_s):
            exchange = await self.pool.send(address, client_call(method, path, fields, body))
            return await _read(self.pool, address, exchange)

    def client_address(self, gateway: int) -> Address:
        """Return a gateway's address for clients."""
        address = self.gateways[gateway]._settings.client_listener
        assert address is not None
        return address

    def client_fields(
        self, path: str, adapter: str, limit_ms: int, tokens: tuple[int, int]
    ) -> dict[str, str]:
        """Return the headers of a client's request; engines use ``tokens`` (input, output)."""
        fields = {
            "Host": HOST,
            "Attempt-Id": f"try{next(self._ids)}",
            "Deadline-Remaining": str(limit_ms),
        }
        if path.startswith(("/ask", "/draft")):
            fields["Model"] = f"base/{adapter}" if adapter else "base"
            fields["Token-Count"] = f"{tokens[0]},{tokens[1]}"
            fields["Prompt-Prefix"] = "aa:50,bb:50"
        return fields

    async def close(self) -> None:
        """Stop all components."""
        self.pool.close_expired(float("inf"))
        for gateway in self.gateways:
            await gateway.close()
        for agent in self.agents.values():
            await agent.close()
        for upstream in self.upstreams.values():
            upstream.close()
        self.store.close()


def client_call(method: str, path: str, fields: dict[str, str], body: bytes) -> Call:
    """Return a client's request."""
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    return Call(method.encode(), path.encode(), headers, body)


async def _read(pool: ConnectionPool, address: Address, exchange) -> Answer:  # type: ignore[no-untyped-def]
    parts: list[bytes] = []
    head: Head | None = None
    try:
        head = await exchange.read_head()
        assert head is not None
        while chunk := await exchange.read_chunk():
            parts.append(chunk)
    except ExchangeError:
        if head is None:
            raise
        return Answer(head.status, head.fields, b"".join(parts), complete=False)
    finally:
        pool.release(address, exchange)
    return Answer(head.status, head.fields, b"".join(parts))


@contextlib.asynccontextmanager
async def running_deployment(
    engines: int = 2,
    plain: int = 2,
    gateways: int = 1,
    bounds: Bounds | None = None,
) -> AsyncIterator[InProcessDeployment]:
    """Run a deployment with the default configuration; yield it once its agents are linked."""
    deployment = InProcessDeployment(bounds)
    await deployment.store.start()
    deployment.store.put("op", "config", configuration())
    try:
        for number in range(engines):
            await deployment.add_engine(f"e{number}")
        for number in range(plain):
            await deployment.add_plain(f"p{number}")
        for _ in range(gateways):
            await deployment.add_gateway()
        await deployment.wait_until_ready(engines)
        yield deployment
    finally:
        await deployment.close()
