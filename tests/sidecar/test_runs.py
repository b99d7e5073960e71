"""Tests of completion runs on an engine stand-in."""

import threading
from collections.abc import Iterator

import pytest

from dragonflyhold.demo.processes import wait_until
from dragonflyhold.faults.oracle import expected_text
from dragonflyhold.ids import EngineAdapterName, Epoch, RequestId
from dragonflyhold.requests import AnswerStore
from dragonflyhold.settings import AnswerSettings
from dragonflyhold.sidecar.runs import EngineRun, RunResult
from dragonflyhold.standins import EngineOptions, EngineStandIn
from dragonflyhold.upstreams import HttpEngineClient
from tests.upstreams.conftest import make_settings

NAME = EngineAdapterName("stout-2-1-1")
REQUEST = RequestId("runner-1.0000000000000000.1")
WAIT_S = 60.0
PIECES = 100


@pytest.fixture
def engine() -> Iterator[EngineStandIn]:
    stand_in = EngineStandIn(options=EngineOptions(tokens_per_s=200.0, restart_s=0.1))
    stand_in.start()
    yield stand_in
    stand_in.stop()


class _BackgroundRun:
    """A run in a background thread."""

    def __init__(self, engine: EngineStandIn, pieces: int) -> None:
        self.client = HttpEngineClient(make_settings(engine.url, read_timeout_s=0.5))
        self.client.load_adapter(NAME, "stout/2", Epoch(1))
        self.answers = AnswerStore(AnswerSettings())
        self.answers.open(REQUEST, False)
        body = {"prompt": "x", "max_tokens": pieces}
        self.run = EngineRun(REQUEST, self.client, NAME, body, 0, self.answers, lambda _: None)
        self.result: RunResult | None = None
        self.in_flight_at_end = -1
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        wait_until("a piece", lambda: self.answers.piece_count(REQUEST) > 0, WAIT_S)

    def join(self) -> RunResult | None:
        self._thread.join(WAIT_S)
        return self.result

    def _run(self) -> None:
        self.result = self.run.run().result
        try:
            self.in_flight_at_end = self.client.status().adapters.get(NAME, 0)
        except Exception:
            return

    @property
    def text(self) -> str:
        chunk = self.answers.read(REQUEST, 0)
        return b"".join(chunk.pieces).decode() if chunk is not None else ""


class TestEngineRun:
    """Guards against lost or truncated answers, and against cancelled runs left in the engine."""

    def test_stream_is_resumed_after_its_connection_becomes_unresponsive(
        self, engine: EngineStandIn
    ) -> None:
        started = _BackgroundRun(engine, PIECES)
        engine.control({"silence": True})
        assert started.join() is RunResult.COMPLETE
        assert started.text == expected_text("stout/2", "x", PIECES)

    def test_run_is_interrupted_by_a_crash_of_the_engine(self, engine: EngineStandIn) -> None:
        started = _BackgroundRun(engine, 100_000)
        engine.control({"crash": True})
        assert started.join() is RunResult.INTERRUPTED

    def test_cancelled_run_has_ended_in_the_engine_when_it_returns(
        self, engine: EngineStandIn
    ) -> None:
        # From then on the adapter slot can be evicted.
        started = _BackgroundRun(engine, 100_000)
        started.run.cancel()
        assert started.join() is RunResult.CANCELLED
        assert started.in_flight_at_end == 0
