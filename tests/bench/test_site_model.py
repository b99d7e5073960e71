"""Tests of the model of a site: clock, network, engines, and loads without a network."""

import asyncio
import dataclasses
import statistics
import time

import pytest

from dragonflyhold.bench import site_workloads
from dragonflyhold.bench.site_model import SiteDay, play_day
from dragonflyhold.bench.site_report import (
    BASELINE,
    Policy,
    format_sweep,
    interval,
    parse_policies,
    summarize,
)
from dragonflyhold.bench.site_workloads import TICKET_DESK, Cell, Pattern, make_arrivals
from dragonflyhold.bench.virtual_network import create_task_on_vm
from dragonflyhold.bench.virtual_time import DeadlockError, VirtualLoop, run_virtual
from dragonflyhold.errors import UsageError
from dragonflyhold.platform.standins.engine_model import EngineModel, EngineTiming, WeightStore


class TestVirtualTime:
    """The clock jumps."""

    def test_an_hour_takes_no_time(self) -> None:
        async def sleep() -> float:
            before = time.monotonic()
            await asyncio.sleep(3600.0)
            return time.monotonic() - before

        started = time.perf_counter()
        assert run_virtual(sleep()) == pytest.approx(3600.0)
        assert time.perf_counter() - started < 5.0

    def test_waiting_for_nothing_is_an_error(self) -> None:
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
    """Bytes arrive in order, and not while a VM is dark."""

    def test_data_sent_to_an_unreachable_vm_waits(self) -> None:
        async def play() -> list[tuple[float, bytes]]:
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

        received = run_virtual(play())
        assert b"".join(data for _, data in received) == b"abc"
        assert received[-1][0] > 6.0

    def test_where_nothing_listens_a_connection_is_refused(self) -> None:
        async def play() -> None:
            await asyncio.get_running_loop().create_connection(_Client, "10.0.0.2", 80)

        with pytest.raises(ConnectionRefusedError):
            run_virtual(play())


def _timing() -> EngineTiming:
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
    """Steps, batches and loads take the times of the figures."""

    @staticmethod
    def _play(prompts: list[int]) -> list[float]:
        async def run(model: EngineModel, prompt: int) -> float:
            async for _ in model.generate(prompt, events=2):
                pass
            return time.monotonic()

        async def play() -> list[float]:
            model = EngineModel(_timing(), WeightStore(1))
            return list(await asyncio.gather(*(run(model, prompt) for prompt in prompts)))

        return run_virtual(play())

    def test_ten_tokens_take_ten_steps_after_the_prompt(self) -> None:
        # One step reads the prompt of 100 tokens, ten steps of a batch of one follow.
        expected = (0.01 + 100 / 10000.0) + 10 * 0.01 * 1.1
        assert self._play([100]) == [pytest.approx(expected)]

    def test_a_full_batch_makes_others_wait(self) -> None:
        ends = self._play([100, 100, 100])
        assert ends[0] == ends[1]
        assert ends[2] > 1.7 * ends[0]

    def test_a_long_prompt_is_read_in_pieces(self) -> None:
        """Pattern: long prompts must not stop the tokens of others for their whole time."""
        short, _ = self._play([100, 5000])
        assert short < 0.01 * 1.1 * 11 + 5000 / 10000.0 + 0.12

    def test_a_host_cached_adapter_loads_ten_times_as_fast(self) -> None:
        async def play() -> list[float]:
            model = EngineModel(_timing(), WeightStore(1))
            times = []
            for adapter in ("a1", "a1", "a2", "a1"):
                before = time.monotonic()
                await model.load(adapter)
                times.append(round(time.monotonic() - before, 3))
            return times

        assert run_virtual(play()) == [0.25, 0.025, 0.25, 0.25]

    def test_the_weight_store_slows_beyond_its_limit(self) -> None:
        async def play() -> float:
            store = WeightStore(2)
            await asyncio.gather(*(store.load(1.0) for _ in range(4)))
            return time.monotonic()

        assert run_virtual(play()) == pytest.approx(2.0)


def _small(monkeypatch: pytest.MonkeyPatch, pattern: Pattern, level: float = 1.0) -> SiteDay:
    """Play a day of a third of the ticket desk."""
    small = dataclasses.replace(
        TICKET_DESK,
        name="small",
        gateways=2,
        engines=3,
        classes=tuple(
            dataclasses.replace(kind, per_s=kind.per_s * 0.4) for kind in TICKET_DESK.classes
        ),
    )
    monkeypatch.setitem(site_workloads.SITES, "small", small)
    monkeypatch.setattr("dragonflyhold.bench.site_workloads.DAY_S", 20.0)
    return play_day(Cell("small", pattern, level, seed=1))


class TestDays:
    """The whole path under loads, without a network; bounds come from the targets."""

    def test_a_calm_day_is_served(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Target of calm days: less than 0.03 lost to adapters, the load prices apart."""
        figures = summarize(_small(monkeypatch, Pattern.CALM))
        assert figures["worth"] > 0.97
        assert figures["answered"] > 0.999

    def test_a_flood_of_rare_adapters_starves_nobody(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Pattern: burst of rare models; every kind and the rare adapters keep their share."""
        figures = summarize(_small(monkeypatch, Pattern.RARE_FLOOD, level=1.5))
        assert figures["worst class"] > 0.8 * figures["worth"]
        assert figures["rare adapters"] > 0.8 * figures["worth"]

    def test_unreachable_engines_get_no_requests(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Pattern: srv_crash dark; what may be repeated is answered elsewhere."""
        day = _small(monkeypatch, Pattern.LOSE_ENGINES)
        unanswered = [s for s in day.served if s.outcome != "answered"]
        assert all(s.arrival.kind.name == "queued" for s in unanswered), (
            "a repeatable request was lost"
        )

    def test_callers_that_retry_at_once_are_served(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Pattern: retry_abuse; the recovery takes seconds."""
        day = _small(monkeypatch, Pattern.RETRY_STORM, level=1.5)
        after = [s for s in day.served if s.arrival.at > site_workloads.TROUBLE_S[1] + 1.0]
        assert sum(s.outcome == "answered" for s in after) == len(after)


class TestArrivals:
    """The traffic follows its seed."""

    def test_the_same_seed_gives_the_same_day(self) -> None:
        cell = Cell("token-hall", Pattern.SHIFT, 1.0, seed=3)
        assert list(make_arrivals(cell)) == list(make_arrivals(cell))
        assert list(make_arrivals(cell)) != list(make_arrivals(dataclasses.replace(cell, seed=4)))

    def test_a_burst_doubles_the_traffic(self) -> None:
        arrivals = list(make_arrivals(Cell("token-hall", Pattern.BURST, 1.0, seed=1)))
        start, end = site_workloads.TROUBLE_S
        inside = sum(start <= arrival.at < end for arrival in arrivals) / (end - start)
        outside = sum(arrival.at < start for arrival in arrivals) / start
        assert inside / outside == pytest.approx(2.0, abs=0.3)


class TestReport:
    """Intervals, tables and the values to try."""

    def test_the_interval_of_two_values(self) -> None:
        mean, half = interval([1.0, 3.0])
        assert mean == 2.0
        assert half == pytest.approx(12.71 * statistics.stdev([1.0, 3.0]) / 2**0.5)

    def test_a_table_has_a_line_for_each_policy(self) -> None:
        days = [{"worth": 0.5}, {"worth": 0.7}]
        text = format_sweep({"a/calm/x1": {BASELINE: days, "other": days[:1]}})
        assert len(text.splitlines()) == 3
        assert "0.700 ± 0.000" not in text

    def test_values_to_try_are_checked(self) -> None:
        policies = parse_policies("placement.PLACE_USE_S=0.2,0.8")
        assert [policy.value for policy in policies] == [0.2, 0.8]
        assert policies[0] == Policy(
            "PLACE_USE_S=0.2", "dragonflyhold.gateway.placement", "PLACE_USE_S", 0.2
        )
        for text in ("placement.NOTHING=1", "nowhere.X=1", "placement.PLACE_USE_S=many"):
            with pytest.raises(UsageError):
                parse_policies(text)
