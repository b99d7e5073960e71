"""Tests of decayed request counts and of the adapter load backoff."""

import random

import pytest

from dragonflyhold.adapters import LoadBackoff, Popularity
from dragonflyhold.ids import AdapterKey, AdapterName, ServiceName, Version
from dragonflyhold.popularity import MAX_ENTRIES
from dragonflyhold.settings.model import SlotSettings


def _key(number: int) -> AdapterKey:
    return AdapterKey(ServiceName("s"), AdapterName(f"a{number}"), Version(1))


class TestPopularity:
    """Guards against inaccurate estimates and against unbounded memory use."""

    def test_estimate_equals_sum_of_decayed_requests(self) -> None:
        rng = random.Random(1)
        popularity = Popularity(10.0)
        times = sorted(rng.uniform(1e6, 1e6 + 100.0) for _ in range(200))
        for at in times:
            popularity.record(_key(0), at)
        now = 1e6 + 130.0
        expected = sum(0.5 ** ((now - at) / 10.0) for at in times)
        assert popularity.estimate(_key(0), now) == pytest.approx(expected, rel=1e-6)

    def test_estimate_of_unknown_key_is_zero(self) -> None:
        assert Popularity(10.0).estimate(_key(0), 5.0) == 0.0

    def test_negligible_entries_are_dropped(self) -> None:
        popularity = Popularity(1.0)
        for number in range(500):
            popularity.record(_key(number), 0.0)
        popularity.record(_key(1000), 100.0)
        assert len(popularity) == 1

    def test_many_new_adapters_do_not_displace_popular_ones(self) -> None:
        popularity = Popularity(1000.0)
        for _ in range(5):
            popularity.record(_key(0), 0.0)
        for number in range(1, 3 * MAX_ENTRIES):
            popularity.record(_key(number), 1.0)
        assert len(popularity) <= MAX_ENTRIES
        assert popularity.estimate(_key(0), 1.0) > 4.9


class TestLoadBackoff:
    """Guards against rapid reloads after failures and against delays of unrelated adapters."""

    settings = SlotSettings(backoff_first_s=0.5, backoff_max_s=30.0)

    def test_delay_doubles_up_to_the_maximum(self) -> None:
        backoff = LoadBackoff(self.settings, random.Random(1))
        delays = []
        for _ in range(10):
            backoff.record_failure(_key(0), 100.0)
            delays.append(backoff.ready_at(_key(0)) - 100.0)
        bounds = [min(0.5 * 2**n, 30.0) for n in range(10)]
        assert all(b / 2 <= d <= b for d, b in zip(delays, bounds, strict=True))

    def test_other_adapters_are_not_delayed(self) -> None:
        backoff = LoadBackoff(self.settings, random.Random(1))
        backoff.record_failure(_key(0), 100.0)
        assert backoff.ready_at(_key(1)) <= 100.0

    def test_success_resets_the_delay(self) -> None:
        backoff = LoadBackoff(self.settings, random.Random(1))
        backoff.record_failure(_key(0), 100.0)
        backoff.record_success(_key(0))
        assert backoff.ready_at(_key(0)) <= 100.0

    def test_old_failures_are_dropped(self) -> None:
        backoff = LoadBackoff(self.settings, random.Random(1))
        for number in range(100):
            backoff.record_failure(_key(number), float(number) / 100)
        backoff.record_failure(_key(1000), 1000.0)
        assert len(backoff) == 1
