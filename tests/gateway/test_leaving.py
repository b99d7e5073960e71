"""End-to-end tests of upstreams that state in their answers that they leave."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

from dragonflyhold.gateway.attempt import Attempt
from dragonflyhold.gateway.http_client import Connection, Exchange, Head
from dragonflyhold.gateway.model import Address, UpstreamId
from dragonflyhold.gateway.send_gates import SendState
from dragonflyhold.gateway.starts import PacedStarts
from dragonflyhold.gateway.upstream_view import UpstreamView
from dragonflyhold.platform import codec
from dragonflyhold.platform.standins.runner import Fault, UpstreamStandIn
from dragonflyhold.platform.standins.site import (
    HOST,
    InProcessDeployment,
    configuration,
    running_deployment,
)
from tests.gateway.builders import upstream as make_upstream

Result = TypeVar("Result")


def _run(
    scenario: Callable[[InProcessDeployment], Awaitable[Result]],
    engines: int = 0,
    plain: int = 2,
    gateways: int = 1,
) -> Result:
    async def run() -> Result:
        async with running_deployment(engines, plain, gateways) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


async def _call_until(
    deployment: InProcessDeployment, path: str, upstream: UpstreamStandIn
) -> None:
    """Send requests, a few at a time so that all upstreams are used, until one reaches it."""
    before = len(upstream.arrivals)
    for _ in range(50):
        await asyncio.gather(*(deployment.call(path) for _ in range(4)))
        if len(upstream.arrivals) > before:
            return
    raise AssertionError("the upstream is not in use")


async def _count_arrivals(
    deployment: InProcessDeployment, path: str, upstream: UpstreamStandIn
) -> int:
    """Return how many of 32 further requests reach an upstream; all must be answered."""
    before = len(upstream.arrivals)
    for _ in range(8):
        answers = await asyncio.gather(*(deployment.call(path) for _ in range(4)))
        assert {answer.status for answer in answers} == {200}
    return len(upstream.arrivals) - before


class TestLeavingUpstream:
    """Guards against requests that are sent to an upstream after it has said that it leaves."""

    @pytest.mark.parametrize(
        ("path", "fault"),
        [
            ("/read/1", None),
            ("/read/1", Fault.REFUSE),
            ("/read/1", Fault.FAIL),
            ("/read/1", Fault.UNSIGNED),
            ("/ask/1", None),
            ("/ask/1", Fault.BREAK_MIDWAY),
        ],
    )
    def test_nothing_is_sent_after_any_answer(self, path: str, fault: Fault | None) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            name = "p0" if path == "/read/1" else "e0"
            upstream = deployment.upstreams[name]
            await _call_until(deployment, path, upstream)
            upstream.is_stated_in_reports = False
            upstream.leaving = b"1"
            upstream.faults = [] if fault is None else [fault]
            await _call_until(deployment, path, upstream)
            return await _count_arrivals(deployment, path, upstream)

        assert _run(scenario, engines=2) == 0

    def test_an_answer_counts_whose_client_has_left(self, monkeypatch: pytest.MonkeyPatch) -> None:
        read_head = Attempt._read_head

        async def delay_read(attempt: Attempt, exchange: Exchange) -> Head:
            head = await read_head(attempt, exchange)
            await asyncio.sleep(1.0)
            return head

        async def scenario(deployment: InProcessDeployment) -> int:
            upstream = deployment.upstreams["p0"]
            upstream.leaving = b"1"
            monkeypatch.setattr(Attempt, "_read_head", delay_read)
            while not upstream.arrivals:
                with pytest.raises(TimeoutError):
                    await deployment.call("/read/1", timeout_s=0.1)
            monkeypatch.undo()
            await asyncio.sleep(0.1)
            return await _count_arrivals(deployment, "/read/1", upstream)

        assert _run(scenario) == 0

    def test_no_later_statement_opens_it_but_a_new_incarnation_is_used(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            upstream = deployment.upstreams["e0"]
            await _call_until(deployment, "/ask/1", upstream)
            upstream.is_stated_in_reports = False
            upstream.leaving = b"1"
            await _call_until(deployment, "/ask/1", upstream)
            upstream.leaving = None
            deployment.store.remove("servers", "e0")
            await asyncio.sleep(0.1)
            deployment.store.put("servers", "e0", upstream.entry())
            await asyncio.sleep(0.3)
            old = await _count_arrivals(deployment, "/ask/1", upstream)
            upstream.restart("e0-new")
            deployment._replace_entry("e0", upstream)
            await asyncio.sleep(0.3)
            return old, await _count_arrivals(deployment, "/ask/1", upstream)

        old, new = _run(scenario, engines=2)
        assert old == 0
        assert new > 0

    def test_running_streams_end_in_peace(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[list[int]]:
            for upstream in deployment.upstreams.values():
                upstream.event_interval_s = 0.05
            calls = [asyncio.create_task(deployment.call("/ask/1")) for _ in range(6)]
            await asyncio.sleep(0.1)
            for upstream in deployment.upstreams.values():
                upstream.leaving = b"1"
            refused = [await deployment.call("/ask/1") for _ in range(4)]
            assert refused[-1].status == 503
            assert sum(len(upstream.runs) for upstream in deployment.upstreams.values()) <= 8
            return [answer.event_ids for answer in await asyncio.gather(*calls)]

        assert _run(scenario, engines=2) == [list(range(1, 7))] * 6

    @pytest.mark.parametrize("is_stated_in_reports", [True, False])
    def test_streams_that_end_with_it_are_no_crash(self, is_stated_in_reports: bool) -> None:
        """Guards against sound requests that are refused because upstreams leave."""

        async def scenario(deployment: InProcessDeployment) -> tuple[list[int], list[object]]:
            crashes: list[object] = []
            gateway = deployment.gateways[0].gateway
            gateway.crashes.record_crash = lambda *crash: crashes.append(crash) or []  # type: ignore
            upstream = deployment.upstreams["e0"]
            for other in deployment.upstreams.values():
                other.event_interval_s = 0.1
            calls = [asyncio.create_task(deployment.call("/ask/1")) for _ in range(6)]
            await asyncio.sleep(0.15)
            upstream.is_stated_in_reports = is_stated_in_reports
            upstream.leaving = b"1"
            if not is_stated_in_reports:
                calls += [asyncio.create_task(deployment.call("/ask/1")) for _ in range(3)]
            await asyncio.sleep(0.2)
            assert upstream.runs
            upstream.close()
            return [len((await call).event_ids) for call in calls], crashes

        events, crashes = _run(scenario, engines=2)
        assert set(events) == {6}
        assert crashes == []

    def test_waiting_requests_go_elsewhere(self) -> None:
        """Guards against requests that wait until their deadline for a leaving engine's adapter."""

        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            for upstream in deployment.upstreams.values():
                upstream.is_loading_enabled = False
            waiting = asyncio.create_task(deployment.call("/ask/1", adapter="a1"))
            await asyncio.sleep(0.2)
            has_waiters = deployment.gateways[0].gateway.demands.has_upstream_waiters
            (name,) = filter(has_waiters, deployment.upstreams)  # type: ignore[arg-type]
            for upstream in deployment.upstreams.values():
                upstream.is_loading_enabled = upstream.upstream_id != name
            deployment.upstreams[name].is_stated_in_reports = False
            deployment.upstreams[name].leaving = b"1"
            await _call_until(deployment, "/ask/1", deployment.upstreams[name])
            answer = await waiting
            return answer.status, deployment.upstreams[name].max_slots_used

        assert _run(scenario, engines=2) == (200, 0)

    def test_requests_are_refused_at_once_if_all_leave(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[int, float, bytes]:
            for upstream in deployment.upstreams.values():
                upstream.leaving = b"1"
                await _call_until(deployment, "/read/1", upstream)
            started = asyncio.get_running_loop().time()
            answer = await deployment.call("/read/1")
            elapsed = asyncio.get_running_loop().time() - started
            return answer.status, elapsed, answer.fields.get(b"retry-after", b"")

        status, elapsed, retry_after = _run(scenario)
        assert status == 503
        assert elapsed < 0.03
        assert float(retry_after) > 0

    def test_requests_are_refused_at_once_if_agents_say_that_all_leave(self) -> None:
        """Guards against requests that wait although no engine will load their adapter."""

        async def scenario(deployment: InProcessDeployment) -> tuple[int, float]:
            for upstream in deployment.upstreams.values():
                upstream.is_loading_enabled = False
            deployment.store.put("op", "config", configuration(2, target_latency_ms=5000))
            await asyncio.sleep(0.1)
            loop = asyncio.get_running_loop()
            waiting = asyncio.create_task(deployment.call("/ask/1", adapter="a1"))
            await asyncio.sleep(0.1)
            assert not waiting.done()
            for upstream in deployment.upstreams.values():
                upstream.leaving = b"1"
            started = loop.time()
            answer = await waiting
            return answer.status, loop.time() - started

        status, elapsed = _run(scenario, engines=2, plain=0)
        assert status == 503
        # An agent reads the report every 0.1 s.
        assert elapsed < 0.2

    @pytest.mark.parametrize("turn_away", [[], [b"300"]])
    def test_an_answer_to_another_request_states_nothing(self, turn_away: list[bytes]) -> None:
        async def scenario(deployment: InProcessDeployment) -> set[SendState]:
            upstream = deployment.upstreams["p0"]
            upstream.answered_id = b"other"
            upstream.leaving, upstream.turn_away = b"1", turn_away
            await deployment.call("/read/1")
            views = deployment.gateways[0].gateway.table.views.values()
            assert upstream.arrivals
            return {view.gate.state(time.monotonic()) for view in views}

        assert _run(scenario, plain=1) == {SendState.OPEN}

    def test_a_stream_that_breaks_waits_for_an_upstream_that_joins(self) -> None:
        """Guards against streams that are cut off since nobody could take them at that moment."""

        async def scenario(deployment: InProcessDeployment) -> list[int]:
            upstream = deployment.upstreams["e0"]
            upstream.event_interval_s = 0.1
            call = asyncio.create_task(deployment.call("/ask/1"))
            await asyncio.sleep(0.15)
            upstream.leaving = b"1"
            await asyncio.sleep(0.15)
            upstream.close()
            await asyncio.sleep(0.1)
            await deployment.add_engine("e1")
            return (await call).event_ids

        assert _run(scenario, engines=1) == list(range(1, 7))

    def test_a_request_that_connects_meanwhile_is_not_sent(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            upstream = deployment.upstreams["p0"]
            gateway = deployment.gateways[0].gateway
            connect = gateway.pool._connect

            async def connect_late(address: Address) -> Connection:
                gateway.table.gates.note_leaving(gateway.table.views[UpstreamId("p0")].upstream)
                return await connect(address)

            gateway.pool._connect = connect_late  # type: ignore[method-assign]
            assert (await deployment.call("/book/1")).status == 503
            return len(upstream.arrivals)

        assert _run(scenario, plain=1) == 0

    @pytest.mark.parametrize("value", [b"", b"0", b"true", b"1, 1", b"11", b"-1", b"\xff"])
    def test_other_values_state_nothing(self, value: bytes) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            upstream = deployment.upstreams["p0"]
            upstream.leaving = value
            await _call_until(deployment, "/read/1", upstream)
            return await _count_arrivals(deployment, "/read/1", upstream)

        assert _run(scenario) > 0


class TestLeavingEngine:
    """Guards against engines that are used until each gateway has had an answer of its own."""

    def test_its_agent_tells_all_gateways_and_loads_nothing(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            upstream = deployment.upstreams["e0"]
            upstream.leaving = b"1"
            await asyncio.sleep(0.3)
            for number in range(24):
                for gateway in range(2):
                    call = deployment.call("/ask/1", adapter=f"a{number % 6}", gateway=gateway)
                    assert (await call).status == 200
            return len(upstream.arrivals), len(upstream.commands)

        assert _run(scenario, engines=2, gateways=2) == (0, 0)

    def test_its_agents_word_holds_after_a_restart_of_the_agent(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            upstream = deployment.upstreams["e0"]
            upstream.leaving = b"1"
            await asyncio.sleep(0.3)
            upstream.leaving = None
            await deployment.agents["e0"].close()
            await deployment.start_agent("e0")
            await deployment.wait_until_ready(2)
            await asyncio.sleep(0.2)
            return await _count_arrivals(deployment, "/ask/1", upstream)

        assert _run(scenario, engines=2) == 0

    def test_a_new_incarnation_is_used(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            upstream = deployment.upstreams["e0"]
            upstream.leaving = b"1"
            await asyncio.sleep(0.3)
            upstream.restart("e0-new")
            deployment._replace_entry("e0", upstream)
            await asyncio.sleep(0.3)
            return await _count_arrivals(deployment, "/ask/1", upstream)

        assert _run(scenario, engines=2) > 0

    def test_a_request_that_waits_for_its_start_there_is_released(self) -> None:
        async def scenario() -> float:
            starts = PacedStarts(lambda upstream_id, message: None)
            view = UpstreamView(make_upstream(1), "10.0.0.1", 0, is_linked=True, is_paced=True)
            fields = configuration(gap_target_ms=100)
            route = codec.decode_configuration(fields).routes[HOST][0]
            info = codec.decode_request({})
            target_at = time.monotonic() + 5.0
            waiting = asyncio.create_task(starts.wait(view, route, info, target_at))
            await asyncio.sleep(0.01)
            starts.release(UpstreamId("r1"))
            return await waiting

        assert asyncio.run(scenario()) < 1.0
