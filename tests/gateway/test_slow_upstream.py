"""End-to-end tests in virtual time of requests that wait in the queue of a sound engine."""

import asyncio

import pytest

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.platform.standins.engine_model import EngineModel, EngineTiming, WeightStore
from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, configuration

CLIENT_IP, GATEWAY_IP, STORE_IP = "10.7.0.1", "10.1.0.1", "10.9.0.1"
TIME_LIMIT_MS = 6000
EVENTS = 10
EVENT_INTERVAL_S = 0.1
# Streams that are sent at once to an engine that runs one at a time.
STREAMS = 3


def _engine_model() -> EngineModel:
    timing = EngineTiming(
        batch=1,
        step_s=EVENT_INTERVAL_S,
        batch_doubling=100.0,
        prefill_tokens_per_s=1e5,
        tokens_per_event=1,
        load_s=0.03,
        host_cached_load_s=0.01,
        max_host_cached=10,
    )
    return EngineModel(timing, WeightStore(10))


async def _start_deployment(engines: int) -> InProcessDeployment:
    deployment = InProcessDeployment()
    await create_task_on_vm(STORE_IP, deployment.store.start())
    deployment.store.put("op", "config", configuration(timeout_ms=TIME_LIMIT_MS, max_attempts=2))
    for number in range(engines):
        ip = f"10.2.0.{number + 1}"
        engine = deployment.add_engine(f"e{number}", host=ip, model=_engine_model())
        await create_task_on_vm(ip, engine)
    await create_task_on_vm(GATEWAY_IP, deployment.add_gateway(GATEWAY_IP))
    await deployment.wait_until_ready(engines)
    return deployment


async def _send(deployment: InProcessDeployment, path: str) -> Answer:
    headers = {"Deadline-Remaining": str(TIME_LIMIT_MS), "Token-Count": f"100,{EVENTS}"}
    call = deployment.call(path, adapter="a1", headers=headers, timeout_s=20.0)
    return await create_task_on_vm(CLIENT_IP, call)


class TestEngineQueue:
    """Requests that lose their place in the queue of a sound engine."""

    @pytest.mark.parametrize("engines", [1, 2])
    def test_a_queued_request_is_not_sent_to_the_same_engine_again(self, engines: int) -> None:
        """Guards against clients that leave because their request was queued anew (LOST)."""

        async def scenario() -> tuple[list[Answer], list[str]]:
            deployment = await _start_deployment(engines)
            await _send(deployment, "/ask/0")
            holder = next(engine for engine in deployment.upstreams.values() if engine.runs)
            for engine in deployment.upstreams.values():
                engine.is_loading_enabled = False
            before = len(holder.runs)
            calls = [_send(deployment, f"/ask/{number}") for number in range(STREAMS)]
            answers = await asyncio.gather(*calls)
            await deployment.close()
            return answers, [run["id"] for run in holder.runs[before:]]

        answers, runs = run_virtual(scenario())
        assert all(answer.complete for answer in answers)
        assert all(answer.event_ids == list(range(1, EVENTS + 1)) for answer in answers)
        assert len(runs) == len(set(runs)) == STREAMS
