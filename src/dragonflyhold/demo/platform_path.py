"""Demo of the users' platform: daemons run as processes, store and engines as stand-ins."""

import asyncio
import contextlib
import pathlib
import signal
from collections.abc import Callable
from typing import final

from dragonflyhold.demo.processes import DeploymentError
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.standins.processes import (
    agent_settings,
    gateway_settings,
    listener,
    running_daemon,
    stream,
    wait_ready,
)
from dragonflyhold.platform.standins.runner import Fault, UpstreamStandIn
from dragonflyhold.platform.standins.site import ENGINE_SERVICE, configuration
from dragonflyhold.platform.standins.store import StoreStandIn

PrintLine = Callable[[str], None]

GATEWAY_IP = "127.0.1.1"
ENGINE_IPS = ("127.0.1.11", "127.0.1.12")
ADAPTERS = 6
# Events per answer of the stand-in.
EVENTS_PER_ANSWER = 6
# Allows for a slow start of a daemon on a busy machine.
START_TIMEOUT_S = 20.0


@final
class PlatformDemo:
    """One gateway, two engines with an agent each, and the store."""

    def __init__(self, directory: pathlib.Path, print_line: PrintLine) -> None:
        self._directory = directory
        self._print = print_line
        self._store = StoreStandIn()
        self._engines = [
            UpstreamStandIn(ip, f"e{number}", ENGINE_SERVICE)
            for number, ip in enumerate(ENGINE_IPS)
        ]

    async def run(self) -> None:
        """Run all steps; raise ``DeploymentError`` if one fails."""
        self._directory.mkdir(parents=True, exist_ok=True)
        await self._store.start()
        self._store.put("op", "config", configuration())
        for engine in self._engines:
            await engine.start()
            self._store.put("servers", engine.upstream_id, engine.entry())
        try:
            await self._run_daemons()
        finally:
            for engine in self._engines:
                engine.close()
            self._store.close()

    async def _run_daemons(self) -> None:
        settings = gateway_settings(GATEWAY_IP, self._store.address)
        gateway_address = listener(settings, "front")
        async with contextlib.AsyncExitStack() as stack:
            agents = [
                await stack.enter_async_context(self._agent(engine)) for engine in self._engines
            ]
            path = self._directory / "gateway.json"
            gateway = await stack.enter_async_context(running_daemon(path, settings))
            await wait_ready(listener(settings, "ready"))
            for number in range(ADAPTERS):
                await _stream(gateway_address, f"a{number}")
            loads = sum(len(engine.commands) for engine in self._engines)
            self._print(f"served   {ADAPTERS} adapters, {loads} commands from two agents")
            await self._interrupt_stream(gateway_address)
            self._print(
                "resumed  a stream that its engine interrupted: no event was lost or repeated"
            )
            agents[0].kill()
            await agents[0].wait()
            await _stream(gateway_address, "a0")
            await stack.enter_async_context(self._agent(self._engines[0]))
            self._print("killed   an agent: its engine kept serving, and a new agent took over")
            gateway.send_signal(signal.SIGTERM)
            if await gateway.wait() != 0:
                raise DeploymentError("the gateway did not stop gracefully")
            self._print("stopped  the gateway gracefully, after it left the load balancing")

    async def _interrupt_stream(self, gateway_address: Address) -> None:
        await _stream(gateway_address, "a0")
        interrupted_engine = next(engine for engine in self._engines if "a0" in engine.adapters)
        interrupted_engine.faults = [Fault.BREAK_MIDWAY]
        for _ in self._engines:
            # Another engine may also have the adapter and receive the first stream.
            await _stream(gateway_address, "a0")
            if not interrupted_engine.faults:
                return
        raise DeploymentError("no stream reached the engine that was to interrupt it")

    def _agent(
        self, engine: UpstreamStandIn
    ) -> contextlib.AbstractAsyncContextManager[asyncio.subprocess.Process]:
        ip = engine.address.rpartition(":")[0]
        settings = agent_settings(ip, self._store.address, engine.address)
        return running_daemon(self._directory / f"agent-{engine.upstream_id}.json", settings)


async def _stream(gateway_address: Address, adapter: str) -> None:
    status, ids = await stream(gateway_address, adapter, START_TIMEOUT_S)
    if status != 200 or ids != list(range(1, EVENTS_PER_ANSWER + 1)):
        raise DeploymentError(f"{adapter}: status {status}, events {ids}")
