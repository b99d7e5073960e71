"""Tests for the deployment simulation: clock, network, engine model, workloads and report."""

import asyncio
import dataclasses
import statistics
import time

import pytest

from dragonflyhold.bench import site_workloads
from dragonflyhold.bench.site_model import DeploymentSimulation, simulate
from dragonflyhold.bench.site_report import (
    BASELINE,
    Policy,
    format_sweep,
    mean_and_interval,
    parse_policies,
    summarize,
)
from dragonflyhold.bench.site_workloads import TICKET_DESK, Cell, Pattern, make_arrivals
from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import DeadlockError, VirtualLoop, run_virtual
from dragonflyhold.errors import UsageError
from dragonflyhold.platform.standins.engine_model import EngineModel, EngineTiming, WeightStore


class TestVirtualTime:
    """Guards against real sleeps on the virtual clock and against hanging on a deadlock."""

    def test_sleep_does_not_block(self) -> None:
        async def sleep() -> float:
            before = time.monotonic()
            await asyncio.sleep(3600.0)
            return time.monotonic() - before

        started = time.perf_counter()
        assert run_virtual(sleep()) == pytest.approx(3600.0)
        assert time.perf_counter() - started < 5.0

    def test_deadlock_raises(self) -> None:
        async def wait() -> None:
            await asyncio.Event().wait()

        with pytest.raises(DeadlockError):
            run_virtual(wait())


class _Echo(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(data)


class _Client(asyncio.Protocol):
    def __init__(self) -> None:
        self.received: list[tuple[float, bytes]] = []

    def data_received(self, data: bytes) -> None:
        self.received.append((time.monotonic(), data))


class TestVirtualNetwork:
    """Guards against reordered bytes and delivery to an unreachable VM."""

    def test_data_to_unreachable_vm_is_held_back(self) -> None:
        async def main() -> list[tuple[float, bytes]]:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            await loop.create_server(_Echo, "10.0.0.2", 80)
            connect = loop.create_connection(_Client, "10.0.0.2", 80)
            transport, client = await create_task_on_vm("10.0.0.1", connect)
            assert isinstance(client, _Client)
            transport.write(b"a")
            transport.write(b"b")
            await asyncio.sleep(1.0)
            loop.network.make_unreachable("10.0.0.2")
            transport.write(b"c")
            await asyncio.sleep(5.0)
            loop.network.make_reachable("10.0.0.2")
            await asyncio.sleep(1.0)
            return client.received

        received = run_virtual(main())
        assert b"".join(data for _, data in received) == b"abc"
        assert received[-1][0] > 6.0

    def test_connect_without_listener_is_refused(self) -> None:
        async def main() -> None:
            await asyncio.get_running_loop().create_connection(_Client, "10.0.0.2", 80)

        with pytest.raises(ConnectionRefusedError):
            run_virtual(main())


def _engine_timing() -> EngineTiming:
    return EngineTiming(
        batch=2,
        step_s=0.01,
        batch_doubling=10.0,
        prefill_tokens_per_s=10000.0,
        tokens_per_event=5,
        load_s=0.25,
        host_cached_load_s=0.025,
        max_host_cached=1,
    )


class TestEngineModel:
    """Guards against steps, batches and loads that take other times than configured."""

    @staticmethod
    def _finish_times(prompts: list[int]) -> list[float]:
        async def run(model: EngineModel, prompt: int) -> float:
            async for _ in model.generate(prompt, events=2):
                pass
            return time.monotonic()

        async def main() -> list[float]:
            model = EngineModel(_engine_timing(), WeightStore(1))
            return list(await asyncio.gather(*(run(model, prompt) for prompt in prompts)))

        return run_virtual(main())

    def test_generation_time(self) -> None:
        # One step for the prompt of 100 tokens, then ten steps with a batch of one.
        expected = (0.01 + 100 / 10000.0) + 10 * 0.01 * 1.1
        assert self._finish_times([100]) == [pytest.approx(expected)]

    def test_requests_beyond_batch_limit_wait(self) -> None:
        ends = self._finish_times([100, 100, 100])
        assert ends[0] == ends[1]
        assert ends[2] > 1.7 * ends[0]

    def test_long_prompt_is_prefilled_in_chunks(self) -> None:
        """A long prompt must not block the tokens of other requests for its whole prefill."""
        short, _ = self._finish_times([100, 5000])
        assert short < 0.01 * 1.1 * 11 + 5000 / 10000.0 + 0.12

    def test_load_times_with_and_without_host_cache(self) -> None:
        async def main() -> list[float]:
            model = EngineModel(_engine_timing(), WeightStore(1))
            times = []
            for adapter in ("a1", "a1", "a2", "a1"):
                before = time.monotonic()
                await model.load(adapter)
                times.append(round(time.monotonic() - before, 3))
            return times

        assert run_virtual(main()) == [0.25, 0.025, 0.25, 0.25]

    def test_weight_store_slows_down_beyond_its_limit(self) -> None:
        async def main() -> float:
            store = WeightStore(2)
            await asyncio.gather(*(store.load(1.0) for _ in range(4)))
            return time.monotonic()

        assert run_virtual(main()) == pytest.approx(2.0)


def _simulate_small(
    monkeypatch: pytest.MonkeyPatch, pattern: Pattern, level: float = 1.0
) -> DeploymentSimulation:
    """Simulate the ticket desk with fewer engines and 0.4 times its request rate."""
    small = dataclasses.replace(
        TICKET_DESK,
        name="small",
        gateways=2,
        engines=3,
        classes=tuple(
            dataclasses.replace(request_class, requests_per_s=request_class.requests_per_s * 0.4)
            for request_class in TICKET_DESK.classes
        ),
    )
    monkeypatch.setitem(site_workloads.DEPLOYMENTS, "small", small)
    monkeypatch.setattr("dragonflyhold.bench.site_workloads.RUN_S", 20.0)
    return simulate(Cell("small", pattern, level, seed=1))


class TestDeploymentSimulation:
    """Guards against losses of utility under load and disruptions; bounds are the targets."""

    def test_calm_traffic_is_served(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Without a disruption, less than 0.03 of the utility may be lost to adapter loads.

        The cost of the loads themselves is not counted.
        """
        figures = summarize(_simulate_small(monkeypatch, Pattern.CALM))
        assert figures["worth"] > 0.97
        assert figures["answered"] > 0.999

    def test_burst_of_rare_adapters_starves_no_class(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Every request class and the rare adapters keep at least 0.8 of the mean utility share."""
        figures = summarize(_simulate_small(monkeypatch, Pattern.RARE_FLOOD, level=1.5))
        assert figures["worst class"] > 0.8 * figures["worth"]
        assert figures["rare adapters"] > 0.8 * figures["worth"]

    def test_unreachable_engines_get_no_requests(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Retryable requests of an unreachable engine are answered by another one."""
        simulation = _simulate_small(monkeypatch, Pattern.LOSE_ENGINES)
        unanswered = [r for r in simulation.records if r.outcome != "answered"]
        assert all(r.arrival.request_class.name == "queued" for r in unanswered), (
            "a retryable request was lost"
        )

    def test_limited_engines_get_no_more_than_they_take(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """In 4 s, one and a half times a limit and 5 requests, from the contact time of 3 s on."""
        simulation = _simulate_small(monkeypatch, Pattern.LIMITED_ENGINES)
        limited = simulation.limited[0]
        start = limited.stated_at + 3.0
        ends = [at for at in limited.upstream.arrivals if start <= at <= limited.ended_at]
        most = max(sum(end - 4.0 < at <= end for at in limited.upstream.arrivals) for end in ends)
        assert most <= 1.5 * limited.limit_per_s * 4.0 + 5

    def test_recovery_after_retry_storm(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """All requests that arrive from 1 s after a retry storm on are answered."""
        simulation = _simulate_small(monkeypatch, Pattern.RETRY_STORM, level=1.5)
        after = [
            r for r in simulation.records if r.arrival.at > site_workloads.DISRUPTION_S[1] + 1.0
        ]
        assert sum(r.outcome == "answered" for r in after) == len(after)


class TestArrivals:
    """Guards against arrivals that do not depend on the seed and the pattern alone."""

    def test_same_seed_gives_same_arrivals(self) -> None:
        cell = Cell("token-hall", Pattern.SHIFT, 1.0, seed=3)
        assert list(make_arrivals(cell)) == list(make_arrivals(cell))
        assert list(make_arrivals(cell)) != list(make_arrivals(dataclasses.replace(cell, seed=4)))

    def test_burst_doubles_the_rate(self) -> None:
        arrivals = list(make_arrivals(Cell("token-hall", Pattern.BURST, 1.0, seed=1)))
        start, end = site_workloads.DISRUPTION_S
        inside = sum(start <= arrival.at < end for arrival in arrivals) / (end - start)
        outside = sum(arrival.at < start for arrival in arrivals) / start
        assert inside / outside == pytest.approx(2.0, abs=0.3)


class TestReport:
    """Guards against wrong intervals and tables, and unchecked policy constants."""

    def test_interval_of_two_values(self) -> None:
        mean, half_width = mean_and_interval([1.0, 3.0])
        assert mean == 2.0
        assert half_width == pytest.approx(12.71 * statistics.stdev([1.0, 3.0]) / 2**0.5)

    def test_table_has_a_line_for_each_policy(self) -> None:
        runs = [{"worth": 0.5}, {"worth": 0.7}]
        text = format_sweep({"a/calm/x1": {BASELINE: runs, "other": runs[:1]}})
        assert len(text.splitlines()) == 3
        assert "0.700 ± 0.000" not in text

    def test_policy_values_are_validated(self) -> None:
        policies = parse_policies("placement.PLACE_USE_S=0.2,0.8")
        assert [policy.value for policy in policies] == [0.2, 0.8]
        assert policies[0] == Policy(
            "PLACE_USE_S=0.2", "dragonflyhold.gateway.placement", "PLACE_USE_S", 0.2
        )
        for text in ("placement.NOTHING=1", "nowhere.X=1", "placement.PLACE_USE_S=many"):
            with pytest.raises(UsageError):
                parse_policies(text)
