"""Tests of the memory that requests hold at an engine, over all gateways."""

import random

import pytest

from dragonflyhold.balancing.memory import MAX_AGE_S, HeldMemory, MemoryReport, RequestSizes

TOTAL = 250_000
NOW = 50.0
SIZES = RequestSizes()
SIZES.note(1000)


class TestHeldMemory:
    """What one gateway knows of an engine's memory."""

    def test_an_engine_that_states_no_memory_takes_all(self) -> None:
        memory = HeldMemory()
        memory.note_started(10**9)
        assert memory.fits(10**9, SIZES, 5.0, NOW)
        memory.note_load(20, 5, NOW)
        assert memory.fits(10**9, SIZES, 5.0, NOW)

    def test_reported_waiting_own_and_other_requests_count(self) -> None:
        memory = HeldMemory()
        memory.note_report(MemoryReport(100_000, TOTAL), 100, 10, NOW)
        memory.note_started(20_000)
        # 100,000 + 10 * 1,000 + 20,000 of 225,000 usable tokens.
        assert memory.fits(95_000, SIZES, 0.0, NOW)
        assert not memory.fits(95_001, SIZES, 0.0, NOW)
        # Further 20 requests, and more than these are possible.
        assert memory.fits(1000, SIZES, 20.0, NOW + 1.0)
        assert not memory.fits(75_000, SIZES, 20.0, NOW + 1.0)

    def test_a_report_includes_what_was_sent_before(self) -> None:
        memory = HeldMemory()
        memory.note_report(MemoryReport(0, TOTAL), 0, 0, NOW)
        memory.note_started(200_000)
        assert not memory.fits(30_000, SIZES, 0.0, NOW)
        memory.note_ended(200_000)
        assert memory.fits(30_000, SIZES, 0.0, NOW)

    def test_own_open_requests_count_at_least(self) -> None:
        """Guards against a report that was made before the requests arrived."""
        memory = HeldMemory()
        memory.note_report(MemoryReport(0, TOTAL), 0, 0, NOW)
        memory.note_started(200_000)
        memory.note_report(MemoryReport(0, TOTAL), 0, 0, NOW)
        assert not memory.fits(30_000, SIZES, 0.0, NOW)

    def test_running_requests_of_a_later_message_count(self) -> None:
        """Messages that name no memory may come between, or instead of, those that do."""
        memory = HeldMemory()
        memory.note_report(MemoryReport(100_000, TOTAL), 50, 0, NOW)
        memory.note_load(100, 0, NOW + 0.3)
        # 100,000 + 50 * 2,000 of 225,000 usable tokens.
        assert memory.fits(25_000, SIZES, 0.0, NOW + 0.3)
        assert not memory.fits(25_001, SIZES, 0.0, NOW + 0.3)
        memory.note_load(10, 0, NOW + 0.6)
        assert memory.fits(200_000, SIZES, 0.0, NOW + 0.6)

    def test_an_agent_that_ended_stops_no_requests(self) -> None:
        """Guards against an estimate that grows for as long as no message comes."""
        memory = HeldMemory()
        memory.note_report(MemoryReport(200_000, TOTAL), 100, 5, NOW)
        assert not memory.fits(50_000, SIZES, 30.0, NOW + 1.0)
        assert memory.fits(50_000, SIZES, 30.0, NOW + MAX_AGE_S + 0.1)

    @pytest.mark.parametrize("gateways", [3, 30, 300])
    @pytest.mark.parametrize("report_s", [0.05, 0.5])
    def test_no_engine_gets_more_than_it_holds(self, gateways: int, report_s: float) -> None:
        """A burst of long prompts, at several times what the engine can do."""
        for seed in range(5):
            assert _most_held(gateways, report_s, seed) <= TOTAL


def _most_held(gateways: int, report_s: float, seed: int) -> int:
    """Return the most tokens that an engine holds at a time under an overload."""
    rng = random.Random(seed)
    known = [HeldMemory() for _ in range(gateways)]
    sizes = [RequestSizes() for _ in range(gateways)]
    now, report_at, held, most = 0.0, 0.0, 0, 0
    running: list[tuple[float, int, int]] = []
    rate = 100.0
    while now < 10.0:
        now += rng.expovariate(rate)
        for entry in [entry for entry in running if entry[0] <= now]:
            running.remove(entry)
            held -= entry[2]
            known[entry[1]].note_ended(entry[2])
        if now >= report_at:
            report_at = now + report_s
            for memory in known:
                memory.note_report(MemoryReport(held, TOTAL), len(running), 0, now)
        gateway = rng.randrange(gateways)
        tokens = 9190 if rng.random() < 0.3 else 650
        sizes[gateway].note(tokens)
        others_per_s = rate * (gateways - 1) / gateways
        if known[gateway].fits(tokens, sizes[gateway], others_per_s, now):
            known[gateway].note_started(tokens)
            running.append((now + rng.expovariate(1 / 2.0), gateway, tokens))
            held += tokens
            most = max(most, held)
    return most


class TestRequestSizes:
    """The sizes of requests of which only the number is known."""

    def test_requests_without_a_size_are_ignored(self) -> None:
        sizes = RequestSizes()
        sizes.note(0)
        assert (sizes.mean, sizes.largest) == (0.0, 0.0)
        sizes.note(1000)
        assert (sizes.mean, sizes.largest) == (1000.0, 1000.0)
        for _ in range(200):
            sizes.note(500)
        assert sizes.mean == pytest.approx(500.0, rel=0.01)
        assert 500.0 < sizes.largest < 1000.0
