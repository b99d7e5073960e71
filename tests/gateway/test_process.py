"""Tests of the daemons as processes: settings reload, signals, shutdown, a killed agent."""

import asyncio
import json
import os
import pathlib
import signal

import pytest

from dragonflyhold.gateway import daemon
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.settings import PATH_VARIABLE, DaemonSettings, load_settings
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
    """The gateway as a process; store and upstream are stand-ins."""

    def test_serves_reloads_and_stops_gracefully(self, tmp_path: pathlib.Path) -> None:
        """On SIGTERM readiness fails first, requests are still served, then the process exits."""

        async def run_scenario() -> tuple[int, bytes, int, int, list[str]]:
            store = StoreStandIn()
            upstream = UpstreamStandIn("127.0.0.250", "p0", "desk")
            await store.start()
            await upstream.start()
            store.put("op", "config", configuration())
            store.put("servers", "p0", upstream.entry())
            settings = gateway_settings(IP, store.address)
            client_address, ready_address = listener(settings, "front"), listener(settings, "ready")
            settings_path = tmp_path / "local.json"
            try:
                async with running_daemon(settings_path, settings) as process:
                    await wait_ready(ready_address)
                    status, body = await call(client_address, "/book/1", "POST")
                    settings_path.write_text(json.dumps({**settings, "bounds": {"grace_s": 9}}))
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.2)
                    process.send_signal(signal.SIGTERM)
                    await asyncio.sleep(0.3)
                    readiness_status, _ = await call(ready_address, "/readiness")
                    assert (await call(client_address, "/book/1", "POST"))[0] == 200
                    events = await _read_events(process)
                    return status, body, readiness_status, await process.wait(), events
            finally:
                store.close()
                upstream.close()

        status, body, readiness_status, exit_code, events = asyncio.run(run_scenario())
        assert (status, body) == (200, b"answer to /book/1")
        assert readiness_status == 503
        assert exit_code == 0
        for event in ("Started.", "The settings were read.", "Stopping.", "Stopped."):
            assert event in events
        assert "A request ended." in events


def _ignores_hangups(process_id: int) -> bool:
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    (mask,) = (line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:"))
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


class TestSignalsOutsideService:
    """Guards against a process that a signal ends while it starts or exits."""

    def test_a_starting_process_survives_hangups(self, tmp_path: pathlib.Path) -> None:
        """The default action of SIGHUP ends a process that has no handler yet."""

        async def scenario() -> int:
            store, settings_path = StoreStandIn(), tmp_path / "local.json"
            await store.start()
            settings = gateway_settings(IP, store.address, grace_s=1.0)
            try:
                async with running_daemon(settings_path, settings) as process:
                    async with asyncio.timeout(20):
                        while not _ignores_hangups(process.pid):
                            assert process.returncode is None
                            await asyncio.sleep(0.001)
                        while not await self._is_listening(listener(settings, "ready")):
                            process.send_signal(signal.SIGHUP)
                            await asyncio.sleep(0.002)
                    process.send_signal(signal.SIGTERM)
                    return await process.wait()
            finally:
                store.close()

        assert asyncio.run(scenario()) == 0

    async def _is_listening(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return False
        writer.close()
        return True

    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
    def test_a_stopping_process_exits_by_itself(
        self, number: signal.Signals, tmp_path: pathlib.Path
    ) -> None:
        """Signals until its end don't change its exit status, nor what it logs."""

        async def scenario() -> tuple[int, list[str]]:
            store, settings_path = StoreStandIn(), tmp_path / "local.json"
            await store.start()
            settings = gateway_settings(IP, store.address, grace_s=1.0)
            try:
                async with running_daemon(settings_path, settings) as process:
                    async with asyncio.timeout(20):
                        while not await self._is_listening(listener(settings, "ready")):
                            await asyncio.sleep(0.01)
                    process.send_signal(signal.SIGTERM)
                    events = asyncio.create_task(_read_events(process))
                    # The process object would take the exit status from the event loop.
                    descriptor = os.pidfd_open(process.pid)
                    try:
                        while process.returncode is None:
                            signal.pidfd_send_signal(descriptor, number)
                            await asyncio.sleep(0.001)
                    except ProcessLookupError:
                        pass
                    finally:
                        os.close(descriptor)
                    return await process.wait(), await events
            finally:
                store.close()

        exit_code, events = asyncio.run(scenario())
        assert exit_code == 0
        assert "Stopped." in events

    def test_a_change_while_the_settings_are_read_is_noticed(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against outdated settings that stay in force, as SIGHUP is not handled yet."""
        settings_path = tmp_path / "local.json"
        fields = gateway_settings(IP, Address("127.0.0.1:1"), grace_s=5.0)
        settings_path.write_text(json.dumps(fields))
        monkeypatch.setenv(PATH_VARIABLE, str(settings_path))

        def load_before_a_change() -> DaemonSettings:
            settings = load_settings()
            settings_path.write_text(json.dumps({**fields, "bounds": {"grace_s": 123}}))
            return settings

        with monkeypatch.context() as patch:
            patch.setattr(daemon, "load_settings", load_before_a_change)
            settings_file = daemon.SettingsFile()
        assert settings_file.current.bounds.grace_s == 5.0
        assert settings_file.reload_if_changed()
        assert settings_file.current.bounds.grace_s == 123.0


class TestAgentProcess:
    """Gateway and agent as processes; store and engine are stand-ins."""

    def test_agent_after_kill_acquires_higher_fencing_token(self, tmp_path: pathlib.Path) -> None:
        """Without an agent the engine serves its resident adapters.

        The commands of the next agent must not be rejected as fenced.
        """

        async def run_scenario() -> tuple[list[int], list[int], list[str], int | None]:
            store = StoreStandIn()
            engine = UpstreamStandIn(ENGINE_IP, "e0", ENGINE_SERVICE)
            await store.start()
            await engine.start()
            store.put("op", "config", configuration())
            store.put("servers", "e0", engine.entry())
            gateway_config = gateway_settings(IP, store.address)
            agent_config = agent_settings(ENGINE_IP, store.address, engine.address)
            client_address = listener(gateway_config, "front")

            async def status_for(adapter: str) -> int:
                return (await stream(client_address, adapter, wait_s=20.0))[0]

            try:
                async with running_daemon(tmp_path / "gateway.json", gateway_config):
                    await wait_ready(listener(gateway_config, "ready"))
                    async with running_daemon(tmp_path / "agent.json", agent_config) as first:
                        statuses = [await status_for("a1")]
                        first.kill()
                        await first.wait()
                        statuses.append(await status_for("a1"))
                    async with running_daemon(tmp_path / "agent.json", agent_config) as second:
                        statuses.append(await status_for("a2"))
                        second.send_signal(signal.SIGTERM)
                        events = await _read_events(second)
                        exit_code = await second.wait()
            finally:
                store.close()
                engine.close()
            tokens = [int(command["fencing_token"]) for command in engine.commands]
            return statuses, tokens, events, exit_code

        statuses, tokens, events, exit_code = asyncio.run(run_scenario())
        assert statuses == [200] * 3
        assert len(tokens) == 2
        assert tokens[0] < tokens[1]
        assert exit_code == 0
        for event in (
            "Started.",
            "A fencing token was acquired.",
            "An order was given.",
            "Stopped.",
        ):
            assert event in events
