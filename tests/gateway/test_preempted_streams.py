"""Tests in virtual time of streams that engines preempt while all of them are full."""

import asyncio

import pytest

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import VirtualLoop, run_virtual
from dragonflyhold.platform.standins.site import (
    Answer,
    InProcessDeployment,
    configuration,
    set_engine_size,
)

CLIENT_IP = "10.7.0.1"
GATEWAY_IP = "10.1.0.1"
ENGINES, SLOTS = 2, 4
EVENTS, EVENT_INTERVAL_S = 40, 0.1
PAUSE_S = 2.3
TIME_LIMIT_MS = 8000
# The client's patience is the longest of 2 s, four of these and eight of these.
TARGET_LATENCY_MS, ACCEPTED_PAUSE_MS = 600, 400


def _configuration(version: int = 1) -> dict:  # type: ignore[type-arg]
    fields = configuration(
        version,
        timeout_ms=TIME_LIMIT_MS,
        target_latency_ms=TARGET_LATENCY_MS,
        gap_target_ms=ACCEPTED_PAUSE_MS,
    )
    set_engine_size(fields, SLOTS, 3)
    return fields


async def _start_deployment() -> InProcessDeployment:
    """Start two engines that have the adapter, and a gateway."""
    deployment = InProcessDeployment()
    await create_task_on_vm("10.9.0.1", deployment.store.start())
    deployment.store.put("op", "config", _configuration())
    for number in range(ENGINES):
        ip = f"10.2.0.{number + 1}"
        engine = await create_task_on_vm(ip, deployment.add_engine(f"e{number}", host=ip))
        engine.events, engine.event_interval_s = EVENTS, EVENT_INTERVAL_S
        engine.batch = SLOTS
        engine.adapters["a1"] = 1
    await create_task_on_vm(GATEWAY_IP, deployment.add_gateway(GATEWAY_IP))
    await deployment.wait_until_ready(ENGINES)
    await asyncio.sleep(1.0)
    return deployment


def _send(deployment: InProcessDeployment) -> asyncio.Task[Answer]:
    headers = {"Deadline-Remaining": str(TIME_LIMIT_MS)}
    call = deployment.call("/ask/1", adapter="a1", headers=headers, timeout_s=20.0)
    return create_task_on_vm(CLIENT_IP, call)


async def _play(preempted: int, change: str) -> tuple[list[Answer], list[int]]:
    """Let the newest streams of each full engine pause; return the answers and runs per engine."""
    deployment = await _start_deployment()
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    # The clients' connections have carried a request before.
    first = [_send(deployment) for _ in range(ENGINES * SLOTS)]
    await asyncio.gather(*first)
    engines = list(deployment.upstreams.values())
    before = [len(engine.runs) for engine in engines]
    match change:
        case "reload":
            deployment.reload_settings(deployment.gateways[0], seeds=())
        case "configuration":
            deployment.store.put("op", "config", _configuration(2))
    streams = [_send(deployment) for _ in range(ENGINES * SLOTS)]
    await asyncio.sleep(0.4)
    assert [len(engine.active_timelines) for engine in engines] == [SLOTS] * ENGINES
    pauses = [engine.preempt(preempted) for engine in engines]
    await asyncio.sleep(PAUSE_S)
    for pause in pauses:
        pause.finish()
    answers = await asyncio.gather(*streams)
    runs = [len(engine.runs) - count for engine, count in zip(engines, before, strict=True)]
    await deployment.close()
    return answers, runs


class TestStreamsThatPauseWhileAllEnginesAreFull:
    """Guards against streams that are cut because no other engine takes them (LOST)."""

    @pytest.mark.parametrize("change", ["none", "reload", "configuration"])
    @pytest.mark.parametrize("preempted", [1, 2, 4])
    def test_all_streams_end_whole(self, preempted: int, change: str) -> None:
        answers, runs = run_virtual(_play(preempted, change))
        assert [answer.status for answer in answers] == [200] * ENGINES * SLOTS
        assert [answer.complete for answer in answers] == [True] * ENGINES * SLOTS
        whole = list(range(1, EVENTS + 1))
        assert [answer.event_ids for answer in answers] == [whole] * ENGINES * SLOTS
        assert runs == [SLOTS] * ENGINES
