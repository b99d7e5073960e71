"""Tests of the engine client against the engine stand-in and prepared answers."""

import hashlib
import json
import threading
from collections.abc import Callable

import pytest
import urllib3

from dragonflyhold.demo.processes import wait_until
from dragonflyhold.ids import EngineAdapterName, Epoch
from dragonflyhold.standins import EngineOptions, EngineStandIn
from dragonflyhold.upstreams import HttpEngineClient
from dragonflyhold.upstreams.interface import (
    StaleEpochError,
    UnknownEngineAdapterError,
    UpstreamInterruptedError,
    UpstreamNotSentError,
    UpstreamStatusError,
)
from tests.upstreams.conftest import make_settings
from tests.upstreams.raw_server import RawServer

NAME = EngineAdapterName("stout-2-1-1")
EPOCH = Epoch(1)
WAIT_S = 60.0
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"


def read_journal(engine: EngineStandIn) -> dict:
    return json.loads(urllib3.request("GET", f"{engine.url}/v1/journal").data)


class TestHttpEngineClient:
    """Guards against orders and answers that are attributed to the wrong adapter or epoch."""

    def test_answer_names_the_weights_and_the_prompt(self, engine: EngineStandIn) -> None:
        # Guards against an answer from other weights than those loaded under the name.
        client = HttpEngineClient(make_settings(engine.url))
        client.load_adapter(NAME, "stout/2", EPOCH)
        body = {"prompt": "Saal \u0431\u0438\u0440", "max_tokens": 3}
        pieces = list(client.complete(NAME, body, 0, "up-1.00.1"))
        digest = hashlib.sha256(body["prompt"].encode()).hexdigest()[:16]
        assert pieces == [f"[weights=stout/2 prompt={digest}]".encode(), b" t1", b" t2"]
        runs = read_journal(engine)["runs"]
        assert [(run["request_id"], run["state"]) for run in runs] == [("up-1.00.1", "done")]

    def test_reads_the_status(self, engine: EngineStandIn) -> None:
        # Guards against residency that is read under a wrong name or boot id.
        client = HttpEngineClient(make_settings(engine.url))
        before = client.status()
        client.load_adapter(NAME, "stout/2", EPOCH)
        assert client.status().adapters == {NAME: 0}
        engine.crash()
        after = client.status()
        assert after.adapters == {}
        assert after.boot_id != before.boot_id

    def test_unknown_adapter_does_not_run(self, engine: EngineStandIn) -> None:
        # Guards against a request that runs on whatever the engine has.
        client = HttpEngineClient(make_settings(engine.url))
        with pytest.raises(UnknownEngineAdapterError):
            client.complete(NAME, {"prompt": "x"}, 0, "up-1.00.1")
        assert read_journal(engine)["runs"] == []

    def test_unloading_an_unknown_adapter_is_no_error(self, engine: EngineStandIn) -> None:
        # Guards against an unload whose answer was lost and that can never be repeated.
        HttpEngineClient(make_settings(engine.url)).unload_adapter(NAME, EPOCH)

    def test_old_epoch_is_refused(self) -> None:
        # Guards against orders of a dead incarnation that an engine with fencing would refuse.
        engine = EngineStandIn(options=EngineOptions(checks_fencing=True))
        engine.start()
        try:
            client = HttpEngineClient(make_settings(engine.url))
            client.claim(Epoch(5))
            with pytest.raises(StaleEpochError):
                client.load_adapter(NAME, "stout/2", Epoch(4))
            assert client.status().epoch == 5
        finally:
            engine.stop()

    def test_old_epoch_is_ignored_without_fencing(self, engine: EngineStandIn) -> None:
        # Guards against a sidecar that relies on fencing an engine does not do.
        client = HttpEngineClient(make_settings(engine.url))
        client.claim(Epoch(5))
        client.load_adapter(NAME, "stout/2", Epoch(4))
        assert client.status().epoch == 0

    def test_failed_load_is_a_status_error(self, engine: EngineStandIn) -> None:
        # Guards against a slot that counts as loaded after a failed load.
        engine.control({"fail_loads": 1})
        client = HttpEngineClient(make_settings(engine.url))
        with pytest.raises(UpstreamStatusError) as caught:
            client.load_adapter(NAME, "stout/2", EPOCH)
        assert caught.value.status == 500
        assert client.status().adapters == {}
        client.load_adapter(NAME, "stout/2", EPOCH)
        assert client.status().adapters == {NAME: 0}


class TestBreaks:
    """Guards against a break that is reported at the wrong stage.

    A break reported as not sent would be retried although the request may have run.
    """

    def test_refused_connection_is_not_sent(self, closed_url: str) -> None:
        client = HttpEngineClient(make_settings(closed_url))
        with pytest.raises(UpstreamNotSentError):
            client.complete(NAME, {"prompt": "x"}, 0, "up-1.00.1")

    def test_accepted_and_closed_is_interrupted(self, engine: EngineStandIn) -> None:
        engine.control({"down": "closed"})
        client = HttpEngineClient(make_settings(engine.url))
        with pytest.raises(UpstreamInterruptedError):
            client.complete(NAME, {"prompt": "x"}, 0, "up-1.00.1")
        with pytest.raises(UpstreamInterruptedError):
            client.status()

    def test_silence_is_interrupted_at_the_read_timeout(self, engine: EngineStandIn) -> None:
        engine.control({"frozen": True})
        client = HttpEngineClient(make_settings(engine.url, read_timeout_s=0.1))
        with pytest.raises(UpstreamInterruptedError):
            client.status()

    def test_lost_answer_of_an_order_is_interrupted(self, engine: EngineStandIn) -> None:
        # Guards against a load that took effect and counts as failed.
        engine.control({"fail_after_effect": 1})
        client = HttpEngineClient(make_settings(engine.url))
        with pytest.raises(UpstreamInterruptedError):
            client.load_adapter(NAME, "stout/2", EPOCH)
        assert client.status().adapters == {NAME: 0}

    def test_crash_in_a_stream_is_interrupted(self, engine: EngineStandIn) -> None:
        client = HttpEngineClient(make_settings(engine.url))
        client.load_adapter(NAME, "stout/2", EPOCH)
        stream = client.complete(NAME, {"prompt": "[[crash:2]]"}, 0, "up-1.00.1")
        pieces = []
        with pytest.raises(UpstreamInterruptedError):
            pieces.extend(stream)
        assert read_journal(engine)["runs"][0]["state"] == "crashed"

    def test_stream_that_goes_silent_is_interrupted(self, engine: EngineStandIn) -> None:
        client = HttpEngineClient(make_settings(engine.url, read_timeout_s=0.5))
        client.load_adapter(NAME, "stout/2", EPOCH)
        stream = iter(client.complete(NAME, {"max_tokens": 100_000}, 0, "up-1.00.1"))
        next(stream)
        engine.control({"silence": True})
        with pytest.raises(UpstreamInterruptedError):
            list(stream)
        # New connections work.
        assert client.status().adapters.keys() == {NAME}

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b"HTTP/1.1 200",
            STREAM_HEAD,
            STREAM_HEAD + b"Content-Length: 1000\r\n\r\ndata: {",
            STREAM_HEAD + b"Transfer-Encoding: chunked\r\n\r\nff\r\ndata: {",
            STREAM_HEAD + b'\r\ndata: {"choices": [{"text": "a"}]}\n\n',
            STREAM_HEAD + b"\r\ndata: nonsense\n\ndata: [DONE]\n\n",
            STREAM_HEAD + b'\r\ndata: {"choices": []}\n\ndata: [DONE]\n\n',
            b"nonsense\r\n\r\n",
        ],
    )
    def test_broken_answer_is_interrupted(
        self, raw_server: Callable[..., RawServer], answer: bytes
    ) -> None:
        client = HttpEngineClient(make_settings(raw_server(answer).url))
        with pytest.raises(UpstreamInterruptedError):
            list(client.complete(NAME, {"prompt": "x"}, 0, "up-1.00.1"))

    @pytest.mark.parametrize("answer", [b"HTTP/1.1 200", STREAM_HEAD + b"\r\ndata: {"])
    def test_silence_within_an_answer_is_interrupted(
        self, raw_server: Callable[..., RawServer], answer: bytes
    ) -> None:
        url = raw_server(answer, hang=True).url
        client = HttpEngineClient(make_settings(url, read_timeout_s=0.1))
        with pytest.raises(UpstreamInterruptedError):
            list(client.complete(NAME, {"prompt": "x"}, 0, "up-1.00.1"))

    def test_error_event_ends_the_stream(self, raw_server: Callable[..., RawServer]) -> None:
        answer = STREAM_HEAD + b'\r\ndata: {"error": {"message": "out of memory"}}\n\n'
        client = HttpEngineClient(make_settings(raw_server(answer).url))
        with pytest.raises(UpstreamStatusError, match="out of memory"):
            list(client.complete(NAME, {"prompt": "x"}, 0, "up-1.00.1"))


class TestCancel:
    """Guards against a cancelled request that goes on taking a place in the batch."""

    def test_cancel_wakes_a_blocked_reader(self, raw_server: Callable[..., RawServer]) -> None:
        url = raw_server(STREAM_HEAD + b"\r\n", hang=True).url
        stream = HttpEngineClient(make_settings(url, 60)).complete(NAME, {}, 0, "up-1.00.1")
        timer = threading.Timer(0.1, stream.cancel)
        timer.start()
        with pytest.raises(UpstreamInterruptedError, match="cancelled"):
            list(stream)
        timer.join()

    def test_cancel_before_reading_and_twice(self, engine: EngineStandIn) -> None:
        client = HttpEngineClient(make_settings(engine.url))
        client.load_adapter(NAME, "stout/2", EPOCH)
        stream = client.complete(NAME, {"max_tokens": 100_000}, 0, "up-1.00.1")
        stream.cancel()
        stream.cancel()
        with pytest.raises(UpstreamInterruptedError):
            list(stream)
        stream.cancel()

    def test_engine_stops_a_cancelled_run(self, engine: EngineStandIn) -> None:
        client = HttpEngineClient(make_settings(engine.url))
        client.load_adapter(NAME, "stout/2", EPOCH)
        stream = client.complete(NAME, {"max_tokens": 100_000}, 0, "up-1.00.1")
        iterator = iter(stream)
        next(iterator)
        stream.cancel()
        with pytest.raises(UpstreamInterruptedError):
            list(iterator)
        wait_until("the end of the run", lambda: client.status().adapters[NAME] == 0, WAIT_S)
        assert read_journal(engine)["runs"][0]["state"] == "cancelled"
