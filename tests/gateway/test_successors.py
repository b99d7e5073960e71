"""Tests in virtual time of requests whose upstream is silent while another one is tried."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import pytest

from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import run_virtual
from dragonflyhold.platform.standins.runner import Fault, UpstreamStandIn
from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, configuration

CLIENT_IP = "10.7.0.1"
EVENTS = 10
TIME_LIMIT_MS = 6000
# A pause after which the gateway looks for another upstream, but the client still waits.
PAUSE_S = 2.3


@dataclasses.dataclass
class _Site:
    """A deployment with two engines, or two plain upstreams, and the request that is tested."""

    deployment: InProcessDeployment
    holder: UpstreamStandIn
    other: UpstreamStandIn
    request: asyncio.Task[Answer]

    @property
    def running(self) -> list[int]:
        """Return the number of open requests at the first upstream and at the other one."""
        return [sum(item.active_requests.values()) for item in (self.holder, self.other)]


async def _start_deployment(path: str) -> InProcessDeployment:
    deployment = InProcessDeployment()
    await create_task_on_vm("10.9.0.1", deployment.store.start())
    fields = configuration()
    for route in fields["routes"]:
        route.update(timeout_ms=TIME_LIMIT_MS, max_attempts=3)
    deployment.store.put("op", "config", fields)
    for number in range(2):
        ip = f"10.2.0.{number + 1}"
        if path.startswith("/read"):
            await create_task_on_vm(ip, deployment.add_plain(f"p{number}", host=ip))
        else:
            engine = deployment.add_engine(f"e{number}", host=ip)
            (await create_task_on_vm(ip, engine)).events = EVENTS
    await create_task_on_vm("10.1.0.1", deployment.add_gateway("10.1.0.1"))
    await deployment.wait_until_ready(0 if path.startswith("/read") else 2)
    await asyncio.sleep(1.0)
    return deployment


def _call(deployment: InProcessDeployment, path: str) -> asyncio.Task[Answer]:
    headers = {"Deadline-Remaining": str(TIME_LIMIT_MS)}
    return create_task_on_vm(CLIENT_IP, deployment.call(path, headers=headers, timeout_s=20.0))


async def _start(path: str = "/ask/1") -> _Site:
    """Send a request, and return once it runs and its upstream pauses."""
    deployment = await _start_deployment(path)
    for upstream in deployment.upstreams.values():
        upstream.event_interval_s = 0.1
        upstream.answer_s = PAUSE_S
    request = _call(deployment, path)
    await asyncio.sleep(0.35)
    holder, other = deployment.upstreams.values()
    if not holder.runs:
        holder, other = other, holder
    holder.event_interval_s, other.answer_s = PAUSE_S, 0.1
    return _Site(deployment, holder, other, request)


async def _end(site: _Site) -> Answer:
    await asyncio.sleep(0.2)
    site.holder.event_interval_s = 0.1
    answer = await site.request
    await asyncio.sleep(0.5)
    assert site.running == [0, 0]
    await site.deployment.close()
    return answer


def _play(scenario: Callable[[], Awaitable[Answer]]) -> Answer:
    return run_virtual(scenario())  # type: ignore[arg-type]


def _assert_whole(answer: Answer) -> None:
    assert answer.status == 200
    assert answer.complete
    assert answer.event_ids == list(range(1, EVENTS + 1))


class TestRefusedSuccessors:
    """Guards against responses that are cut because a paused upstream was left for a full one."""

    def test_a_stream_stays_at_its_upstream(self) -> None:
        async def scenario() -> Answer:
            site = await _start()
            site.other.resume_faults = [Fault.REFUSE] * 20
            answer = await _end(site)
            assert len(site.holder.runs) == 1
            assert len(site.other.arrivals) <= 4
            return answer

        _assert_whole(_play(scenario))

    def test_a_request_without_a_stream_stays_at_its_upstream(self) -> None:
        async def scenario() -> Answer:
            site = await _start("/read/1")
            site.other.faults = [Fault.REFUSE] * 20
            answer = await _end(site)
            assert len(site.holder.runs) == 1
            return answer

        assert _play(scenario).status == 200

    @pytest.mark.parametrize("fault", [Fault.FAIL, Fault.UNSIGNED, Fault.BREAK_BEFORE])
    def test_a_stream_stays_while_its_successor_fails(self, fault: Fault) -> None:
        async def scenario() -> Answer:
            site = await _start()
            site.other.resume_faults = [fault] * 20
            return await _end(site)

        _assert_whole(_play(scenario))

    def test_a_stream_goes_on_while_its_successor_says_nothing(self) -> None:
        async def scenario() -> Answer:
            site = await _start()
            site.other.is_frozen = True
            answer = await _end(site)
            assert not site.other.runs
            return answer

        _assert_whole(_play(scenario))


class TestAcceptedSuccessors:
    """Guards against requests that wait for a silent upstream though another one runs them."""

    def test_a_stream_goes_on_at_the_successor_alone(self) -> None:
        async def scenario() -> Answer:
            site = await _start()
            site.holder.event_interval_s = 60.0
            while not site.other.runs:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert site.running == [0, 1], "the run at the silent upstream was not ended"
            answer = await site.request
            await site.deployment.close()
            return answer

        _assert_whole(_play(scenario))

    def test_a_successor_that_falls_silent_is_replaced_in_turn(self) -> None:
        async def scenario() -> Answer:
            site = await _start()
            site.holder.event_interval_s = 60.0
            site.other.resume_faults = [Fault.HANG_MIDWAY]
            while not site.other.runs:
                await asyncio.sleep(0.01)
            site.holder.event_interval_s = 0.1
            answer = await site.request
            await site.deployment.close()
            return answer

        _assert_whole(_play(scenario))

    def test_the_successor_is_left_if_the_first_upstream_breaks(self) -> None:
        async def scenario() -> Answer:
            site = await _start()
            site.holder.event_interval_s = 60.0
            site.other.is_frozen = True
            while not site.other.held:
                await asyncio.sleep(0.01)
            site.holder.close()
            await asyncio.sleep(0.1)
            site.other.is_frozen = False
            answer = await site.request
            await site.deployment.close()
            return answer

        _assert_whole(_play(scenario))


class TestClientsThatLeave:
    """Guards against runs that go on after their client has left while a successor is tried."""

    def test_both_runs_end(self) -> None:
        async def scenario() -> list[int]:
            site = await _start()
            site.holder.event_interval_s = 60.0
            site.other.is_frozen = True
            while not site.other.held:
                await asyncio.sleep(0.01)
            site.request.cancel()
            await asyncio.sleep(0.1)
            site.other.is_frozen = False
            await asyncio.sleep(0.3)
            running = site.running
            await site.deployment.close()
            return running

        assert run_virtual(scenario()) == [0, 0]


class TestRefusalsAfterABreak:
    """Guards against streams that are cut by a few refusals within milliseconds."""

    def test_a_stream_waits_until_an_upstream_takes_it(self) -> None:
        async def scenario() -> Answer:
            deployment = await _start_deployment("/ask/1")
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.BREAK_MIDWAY]
                upstream.resume_faults = [Fault.REFUSE] * 4
            request = _call(deployment, "/ask/1")
            await asyncio.sleep(0.02)
            for upstream in deployment.upstreams.values():
                upstream.faults = []
            answer = await request
            await deployment.close()
            return answer

        _assert_whole(_play(scenario))
