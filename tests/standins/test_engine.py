"""Tests of the parts of the engine stand-in that only scenarios use."""

import json
from collections.abc import Iterator

import pytest
import urllib3

from dragonflyhold.demo.processes import wait_until
from dragonflyhold.standins import EngineOptions, EngineStandIn
from dragonflyhold.standins.engine_model import BLOCK_CHARS, Batch, PrefixCache, make_run

WAIT_TIMEOUT_S = 60.0


@pytest.fixture
def engine() -> Iterator[EngineStandIn]:
    options = EngineOptions(slots=2, tokens_per_s=2000.0, restart_s=0.0)
    stand_in = EngineStandIn(options=options)
    stand_in.start()
    yield stand_in
    stand_in.stop()


def post(engine: EngineStandIn, path: str, **data: object) -> urllib3.BaseHTTPResponse:
    return urllib3.request(
        "POST",
        f"{engine.url}/v1/{path}",
        json=data,
        headers={"X-Request-Id": "r-1"},
        preload_content=False,
    )


def load(engine: EngineStandIn, name: str) -> int:
    response = post(engine, "load_lora_adapter", lora_name=name, lora_path="ale/1")
    response.drain_conn()
    return response.status


class TestEngineStandIn:
    """Guards against a journal that misses violations and an engine without real limits."""

    def test_load_without_a_free_slot_is_refused(self, engine: EngineStandIn) -> None:
        assert [load(engine, name) for name in ("a", "b", "c")] == [200, 200, 400]

    def test_unload_with_requests_in_flight_is_a_violation(self, engine: EngineStandIn) -> None:
        load(engine, "a")
        stream = post(engine, "completions", model="a", stream=True, max_tokens=100_000)
        stream.read(10)
        post(engine, "unload_lora_adapter", lora_name="a").drain_conn()
        stream.close()
        journal = urllib3.request("GET", f"{engine.url}/v1/journal").json()
        assert journal["violations"] == ["a unloaded with 1 in flight"]

    def test_stream_is_resumed_from_an_offset(self, engine: EngineStandIn) -> None:
        load(engine, "a")
        stream = post(engine, "completions", model="a", stream=True, max_tokens=20, resumable=True)
        stream.read(10)
        stream.close()
        rest = urllib3.request("GET", f"{engine.url}/v1/streams/r-1?offset=17").data
        texts = [
            json.loads(line.removeprefix(b"data: "))["choices"][0]["text"]
            for line in rest.splitlines()
            if line.startswith(b"data: {")
        ]
        assert texts == [" t17", " t18", " t19"]
        assert rest.endswith(b"data: [DONE]\n\n")

    def test_crashed_engine_refuses_connections_until_its_restart(self) -> None:
        # Guards against a crashed engine that accepts requests: they would appear to have been in
        # flight during the crash and be suspected of causing it.
        engine = EngineStandIn(options=EngineOptions(restart_s=0.5))
        engine.start()
        try:
            engine.crash()
            wait_until("the close of the listener", lambda: not engine.is_listening, WAIT_TIMEOUT_S)
            with pytest.raises(urllib3.exceptions.NewConnectionError):
                urllib3.request("GET", f"{engine.url}/v1/status", retries=False)
            wait_until("the restart", lambda: engine.is_listening, WAIT_TIMEOUT_S)
            assert urllib3.request("GET", f"{engine.url}/v1/status").status == 200
        finally:
            engine.stop()

    def test_answer_without_streaming(self, engine: EngineStandIn) -> None:
        load(engine, "a")
        data = post(engine, "completions", model="a", prompt="x", max_tokens=2).json()
        assert data["choices"][0]["text"].startswith("[weights=ale/1 prompt=")
        assert data["choices"][0]["text"].endswith(" t1")


class TestBatch:
    """Guards against cancelled runs that stay queued and a rate that ignores the batch's fill."""

    def test_queued_run_can_be_cancelled(self) -> None:
        batch = Batch(limit=1, tokens_per_s=10.0)
        runs = [make_run(number, "", "", "", {"model": "a"}) for number in range(2)]
        assert batch.enter(runs[0], lambda: False)
        assert not batch.enter(runs[1], lambda: True)
        batch.leave()
        assert (batch.running, batch.waiting) == (0, 0)

    def test_full_batch_is_slower_per_stream(self) -> None:
        batch = Batch(limit=2, tokens_per_s=10.0)
        times = []
        for number in range(2):
            batch.enter(make_run(number, "", "", "", {"model": "a"}), lambda: False)
            times.append(batch.token_duration_s())
        assert times == [0.1, 0.2]


class TestPrefixCache:
    """Guards against a cache without effect, without a bound or with complete, immediate events."""

    def test_shared_prefix_shortens_the_prefill(self) -> None:
        cache = PrefixCache()
        prompt = "x" * BLOCK_CHARS * 4
        first = cache.prefill_duration_s("ale/1", prompt)
        assert cache.prefill_duration_s("ale/1", prompt + "y" * BLOCK_CHARS) == first / 4
        assert cache.prefill_duration_s("ale/2", prompt) == first

    def test_export_and_import(self) -> None:
        source, target = PrefixCache(), PrefixCache()
        prompt = "x" * BLOCK_CHARS
        source.prefill_duration_s("ale/1", prompt)
        assert target.import_blocks(source.export_blocks("ale/1", prompt)) == 1
        assert target.prefill_duration_s("ale/1", prompt) == 0.0

    def test_events_have_gaps_and_a_lag(self) -> None:
        cache = PrefixCache(capacity=2, event_lag_s=0.0, gap_every=3)
        cache.prefill_duration_s("ale/1", "x" * BLOCK_CHARS * 4)
        assert len(cache) == 2
        assert [event["sequence"] for event in cache.events(0)] == [1, 2, 4, 5]
        delayed_cache = PrefixCache(event_lag_s=1000.0)
        delayed_cache.prefill_duration_s("ale/1", "x" * BLOCK_CHARS)
        assert delayed_cache.events(0) == []
