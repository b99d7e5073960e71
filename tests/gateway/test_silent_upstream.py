"""End-to-end tests in virtual time of sound upstreams that fall silent and go on."""

import asyncio

import pytest

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import VirtualLoop, run_virtual
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, configuration

CLIENT_IP = "10.7.0.1"
GATEWAY_IP = "10.1.0.1"
ADAPTER_SLOTS = 3
EVENTS = 10
TIME_LIMIT_MS = 6000


async def _start_deployment(max_attempts: int) -> tuple[InProcessDeployment, VirtualLoop]:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    deployment = InProcessDeployment()
    await create_task_on_vm("10.9.0.1", deployment.store.start())
    fields = configuration()
    for route in fields["routes"]:
        route.update(timeout_ms=TIME_LIMIT_MS)
    fields["routes"][0].update(max_attempts=max_attempts)
    deployment.store.put("op", "config", fields)
    for number in range(2):
        ip = f"10.2.0.{number + 1}"
        engine = deployment.add_engine(f"e{number}", host=ip, slots=ADAPTER_SLOTS)
        (await create_task_on_vm(ip, engine)).events = EVENTS
    await create_task_on_vm(GATEWAY_IP, deployment.add_gateway(GATEWAY_IP))
    await deployment.wait_until_ready(2)
    return deployment, loop


def _send(deployment: InProcessDeployment, path: str, adapter: str) -> asyncio.Task[Answer]:
    headers = {"Deadline-Remaining": str(TIME_LIMIT_MS)}
    call = deployment.call(path, adapter=adapter, headers=headers, timeout_s=20.0)
    return create_task_on_vm(CLIENT_IP, call)


async def _occupy(
    deployment: InProcessDeployment, upstream: UpstreamStandIn
) -> list[asyncio.Task[Answer]]:
    """Fill the adapter slots of an upstream with long streams, and let another request wait."""
    upstream.event_interval_s = 0.5
    running: list[asyncio.Task[Answer]] = []
    for number in range(40):
        if sum(upstream.active_requests.values()) >= ADAPTER_SLOTS:
            break
        running.append(_send(deployment, f"/draft/{number}", f"b{number}"))
        await asyncio.sleep(0.1)
    assert sum(upstream.active_requests.values()) >= ADAPTER_SLOTS
    return running


class TestSilenceOfASoundUpstream:
    """Answers that a gateway ends although their upstream only paused."""

    @pytest.mark.parametrize("silence_s", [0.7, 1.0, 1.5])
    @pytest.mark.parametrize("max_attempts", [1, 2])
    def test_a_stream_outlasts_the_silence_if_no_other_upstream_can_start_it(
        self, max_attempts: int, silence_s: float
    ) -> None:
        """Guards against streams that end without their last event beside a change (LOST)."""

        async def scenario() -> tuple[Answer, int]:
            deployment, loop = await _start_deployment(max_attempts)
            await _send(deployment, "/ask/0", "a1")
            holder, other = deployment.upstreams.values()
            if not holder.runs:
                holder, other = other, holder
            running = await _occupy(deployment, other)
            holder.event_interval_s = 0.1
            stream = _send(deployment, "/ask/1", "a1")
            await asyncio.sleep(0.35)
            fields = configuration(2)
            for route in fields["routes"]:
                route.update(timeout_ms=TIME_LIMIT_MS)
            deployment.store.put("op", "config", fields)
            ip = holder.address.rpartition(":")[0]
            loop.network.make_unreachable(ip)
            await asyncio.sleep(silence_s)
            loop.network.make_reachable(ip)
            answer = await stream
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            await deployment.close()
            return answer, sum(len(upstream.runs) for upstream in deployment.upstreams.values())

        answer, _ = run_virtual(scenario())
        assert answer.status == 200
        assert answer.complete
        assert answer.event_ids == list(range(1, EVENTS + 1))


class TestSilenceOfTheOnlyUsableUpstream:
    """Requests that leave a silent upstream for the same one (LOST)."""

    @pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.5])
    @pytest.mark.parametrize("adapter", ["a1", ""])
    def test_a_stream_stays_while_the_other_engine_drains(
        self, adapter: str, silence_s: float
    ) -> None:
        async def scenario() -> tuple[Answer, int]:
            deployment, loop = await _start_deployment(2)
            await _send(deployment, "/ask/0", adapter)
            holder, other = deployment.upstreams.values()
            if not holder.runs:
                holder, other = other, holder
            deployment.store.put("servers", other.upstream_id, other.entry("draining"))
            await asyncio.sleep(1.5)
            before = len(holder.runs)
            holder.event_interval_s = 0.1
            stream = _send(deployment, "/ask/1", adapter)
            await asyncio.sleep(0.35)
            ip = holder.address.rpartition(":")[0]
            loop.network.make_unreachable(ip)
            await asyncio.sleep(silence_s)
            loop.network.make_reachable(ip)
            answer = await stream
            await deployment.close()
            return answer, len(holder.runs) - before

        answer, runs = run_virtual(scenario())
        assert answer.complete
        assert answer.event_ids == list(range(1, EVENTS + 1))
        assert runs == 1


class TestSilenceOfPlainUpstreams:
    """Idempotent requests that end with a 502 although their upstream only paused."""

    def test_an_upstream_without_an_entry_that_serves_on(self) -> None:
        async def scenario() -> int:
            deployment, loop = await _start_deployment(3)
            ip, headers = "10.4.0.1", {"Deadline-Remaining": str(TIME_LIMIT_MS)}
            plain = await create_task_on_vm(ip, deployment.add_plain("p0", host=ip))
            await asyncio.sleep(2.0)
            await create_task_on_vm(CLIENT_IP, deployment.call("/read/0", headers=headers))
            await asyncio.sleep(0.2)
            # The gateway waits in the feed 1.3 s later.
            deployment.store.put("servers", "p0", plain.entry())
            await asyncio.sleep(1.3)
            loop.network.make_unreachable(ip)
            call = deployment.call("/read/1", headers=headers, timeout_s=20.0)
            task = create_task_on_vm(CLIENT_IP, call)
            await asyncio.sleep(0.1)
            deployment.store.remove("servers", "p0")
            await asyncio.sleep(1.1)
            loop.network.make_reachable(ip)
            answer = await task
            await deployment.close()
            return answer.status

        assert run_virtual(scenario()) == 200

    @pytest.mark.parametrize("silence_s", [1.2, 1.7, 2.4])
    def test_the_only_upstream_of_a_service(self, silence_s: float) -> None:
        """Guards against an exchange that is closed before a new connection is established."""

        async def scenario() -> int:
            deployment, loop = await _start_deployment(3)
            ip, headers = "10.4.0.1", {"Deadline-Remaining": str(TIME_LIMIT_MS)}
            await create_task_on_vm(ip, deployment.add_plain("p0", host=ip))
            await asyncio.sleep(2.0)
            await create_task_on_vm(CLIENT_IP, deployment.call("/read/0", headers=headers))
            loop.network.make_unreachable(ip)
            call = deployment.call("/read/1", headers=headers, timeout_s=20.0)
            task = create_task_on_vm(CLIENT_IP, call)
            await asyncio.sleep(silence_s)
            loop.network.make_reachable(ip)
            answer = await task
            await deployment.close()
            return answer.status

        assert run_virtual(scenario()) == 200
