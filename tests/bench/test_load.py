"""Tests for the load generator, run against the engine stand-in."""

import dataclasses
from collections.abc import Iterator

import pytest
import urllib3

from dragonflyhold.bench.load import LoadOptions, Target, check_options, percentile, run_load
from dragonflyhold.errors import UsageError
from dragonflyhold.standins import EngineOptions, EngineStandIn

OPTIONS = LoadOptions(
    targets=(Target("http://127.0.0.1:1", "a"),),
    concurrency=3,
    max_requests=10,
    max_tokens=5,
    duration_s=30.0,
)


@pytest.fixture
def engine() -> Iterator[EngineStandIn]:
    stand_in = EngineStandIn(options=EngineOptions(tokens_per_s=2000.0))
    stand_in.start()
    body = {"lora_name": "a", "lora_path": "ale/1"}
    urllib3.request("POST", f"{stand_in.url}/v1/load_lora_adapter", json=body)
    yield stand_in
    stand_in.stop()


class TestRunLoad:
    """Guards against figures that include unanswered requests or tokens."""

    def test_counts_requests_and_tokens(self, engine: EngineStandIn) -> None:
        targets = (Target(engine.url, "a"),)
        options = dataclasses.replace(OPTIONS, targets=targets, processes=2)
        result = run_load(options)
        assert [sample.error for sample in result.samples] == [""] * 10
        assert {(sample.tokens, len(sample.gaps_s)) for sample in result.samples} == {(5, 4)}
        figures = result.to_json()
        assert figures["errors"] == {}

    def test_refusals_are_counted_as_errors(self, engine: EngineStandIn) -> None:
        targets = (Target(engine.url, "a"), Target(engine.url, "missing"))
        options = dataclasses.replace(OPTIONS, targets=targets, processes=1, rate_per_s=1000.0)
        result = run_load(options)
        assert result.to_json()["errors"] == {"model_not_found": 5}
        assert len(result.answered) == 5


class TestCheckOptions:
    """Guards against load on other machines and unbounded load."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"targets": (Target("http://127.0.0.1:1", "a"), Target("http://192.0.2.1:80", "a"))},
            {"targets": (Target("http://example.invalid", "a"),)},
            {"targets": (Target("http://[", "a"),)},
            {"targets": ()},
            {"max_requests": 0},
            {"duration_s": 1e9},
            {"concurrency": 100_000},
        ],
    )
    def test_invalid_options_are_rejected(self, changes: dict[str, object]) -> None:
        with pytest.raises(UsageError):
            check_options(dataclasses.replace(OPTIONS, **changes))


class TestPercentile:
    """Guards against off-by-one ranks at both ends."""

    def test_nearest_rank(self) -> None:
        values = [float(value) for value in range(100, 0, -1)]
        assert percentile(values, 0.5) == 50.0
        assert percentile(values, 0.99) == 99.0
        assert percentile(values, 1.0) == 100.0
        assert percentile([], 0.5) == 0.0
