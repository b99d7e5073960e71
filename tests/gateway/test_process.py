"""Tests of the daemons as processes: settings files, signals, graceful stop, a killed agent."""

import asyncio
import json
import pathlib
import signal

from dragonflyhold.platform.standins.processes import (
    agent_settings,
    call,
    gateway_settings,
    listener,
    running_daemon,
    stream,
    wait_ready,
)
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import ENGINE_SERVICE, configuration
from dragonflyhold.platform.standins.store import StoreStandIn

IP = "127.0.0.1"
ENGINE_IP = "127.0.0.251"


async def _read_events(process: asyncio.subprocess.Process) -> list[str]:
    assert process.stdout is not None
    logs = (await process.stdout.read()).decode()
    return [json.loads(line)["event"] for line in logs.splitlines()]


class TestGatewayProcess:
    """Gateway process."""

    def test_it_serves_reloads_and_stops_gracefully(self, tmp_path: pathlib.Path) -> None:
        """A stop takes the daemon out of rotation, ends open requests, then ends the process."""

        async def play() -> tuple[int, bytes, int, int, list[str]]:
            store = StoreStandIn()
            upstream = UpstreamStandIn("127.0.0.250", "p0", "desk")
            await store.start()
            await upstream.start()
            store.put("op", "config", configuration())
            store.put("servers", "p0", upstream.entry())
            settings = gateway_settings(IP, store.address)
            front, ready = listener(settings, "front"), listener(settings, "ready")
            path = tmp_path / "local.json"
            try:
                async with running_daemon(path, settings) as process:
                    await wait_ready(ready)
                    status, body = await call(front, "/book/1", "POST")
                    path.write_text(json.dumps({**settings, "bounds": {"grace_s": 9}}))
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.2)
                    process.send_signal(signal.SIGTERM)
                    await asyncio.sleep(0.3)
                    stopping, _ = await call(ready, "/readiness")
                    assert (await call(front, "/book/1", "POST"))[0] == 200
                    events = await _read_events(process)
                    return status, body, stopping, await process.wait(), events
            finally:
                store.close()
                upstream.close()

        status, body, stopping, code, events = asyncio.run(play())
        assert (status, body) == (200, b"answer to /book/1")
        assert stopping == 503
        assert code == 0
        for event in ("Started.", "The settings were read.", "Stopping.", "Stopped."):
            assert event in events
        assert "A request ended." in events


class TestAgentProcess:
    """Gateway, agent, store and engine, the first two as processes of their own."""

    def test_a_killed_agent_is_replaced_and_takes_a_higher_token(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The engine serves what it holds meanwhile; the next agent's orders are not fenced."""

        async def play() -> tuple[list[int], list[int], list[str], int | None]:
            store = StoreStandIn()
            engine = UpstreamStandIn(ENGINE_IP, "e0", ENGINE_SERVICE)
            await store.start()
            await engine.start()
            store.put("op", "config", configuration())
            store.put("servers", "e0", engine.entry())
            gateway = gateway_settings(IP, store.address)
            agent = agent_settings(ENGINE_IP, store.address, engine.address)
            front = listener(gateway, "front")

            async def ask(adapter: str) -> int:
                return (await stream(front, adapter, wait_s=20.0))[0]

            try:
                async with running_daemon(tmp_path / "gateway.json", gateway):
                    await wait_ready(listener(gateway, "ready"))
                    async with running_daemon(tmp_path / "agent.json", agent) as first:
                        statuses = [await ask("a1")]
                        first.kill()
                        await first.wait()
                        statuses.append(await ask("a1"))
                    async with running_daemon(tmp_path / "agent.json", agent) as second:
                        statuses.append(await ask("a2"))
                        second.send_signal(signal.SIGTERM)
                        events = await _read_events(second)
                        code = await second.wait()
            finally:
                store.close()
                engine.close()
            tokens = [int(command["fencing_token"]) for command in engine.commands]
            return statuses, tokens, events, code

        statuses, tokens, events, code = asyncio.run(play())
        assert statuses == [200] * 3
        assert len(tokens) == 2
        assert tokens[0] < tokens[1]
        assert code == 0
        for event in ("Started.", "Took a fencing token.", "An order was given.", "Stopped."):
            assert event in events
