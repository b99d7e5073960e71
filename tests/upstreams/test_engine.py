"""Tests of the engine client against the engine stand-in and a raw server."""

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

ADAPTER_NAME = EngineAdapterName("stout-2-1-1")
EPOCH = Epoch(1)
WAIT_S = 60.0
STREAM_HEADERS = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"


def read_journal(engine: EngineStandIn) -> dict:
    return json.loads(urllib3.request("GET", f"{engine.url}/v1/journal").data)


class TestHttpEngineClient:
    """Guards against commands and responses attributed to the wrong adapter or epoch."""

    def test_completion_uses_loaded_weights(self, engine: EngineStandIn) -> None:
        # Guards against a completion by other weights than those loaded under the name.
        client = HttpEngineClient(make_settings(engine.url))
        client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        body = {"prompt": "Saal \u0431\u0438\u0440", "max_tokens": 3}
        pieces = list(client.complete(ADAPTER_NAME, body, 0, "up-1.00.1"))
        digest = hashlib.sha256(body["prompt"].encode()).hexdigest()[:16]
        assert pieces == [f"[weights=stout/2 prompt={digest}]".encode(), b" t1", b" t2"]
        runs = read_journal(engine)["runs"]
        assert [(run["request_id"], run["state"]) for run in runs] == [("up-1.00.1", "done")]

    def test_status(self, engine: EngineStandIn) -> None:
        # Guards against adapters reported under a wrong name or boot id.
        client = HttpEngineClient(make_settings(engine.url))
        before = client.status()
        client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        assert client.status().adapters == {ADAPTER_NAME: 0}
        engine.crash()
        after = client.status()
        assert after.adapters == {}
        assert after.boot_id != before.boot_id

    def test_request_for_unknown_adapter_does_not_run(self, engine: EngineStandIn) -> None:
        # Guards against a request that runs on another adapter of the engine.
        client = HttpEngineClient(make_settings(engine.url))
        with pytest.raises(UnknownEngineAdapterError):
            client.complete(ADAPTER_NAME, {"prompt": "x"}, 0, "up-1.00.1")
        assert read_journal(engine)["runs"] == []

    def test_unload_of_unknown_adapter_succeeds(self, engine: EngineStandIn) -> None:
        # Guards against an unload that cannot be retried after its response was lost.
        HttpEngineClient(make_settings(engine.url)).unload_adapter(ADAPTER_NAME, EPOCH)

    def test_outdated_epoch_is_refused(self) -> None:
        # Guards against commands of an earlier incarnation that are not fenced off.
        engine = EngineStandIn(options=EngineOptions(checks_fencing=True))
        engine.start()
        try:
            client = HttpEngineClient(make_settings(engine.url))
            client.claim(Epoch(5))
            with pytest.raises(StaleEpochError):
                client.load_adapter(ADAPTER_NAME, "stout/2", Epoch(4))
            assert client.status().epoch == 5
        finally:
            engine.stop()

    def test_epoch_is_ignored_without_fencing(self, engine: EngineStandIn) -> None:
        # Guards against reliance on fencing that the engine does not support.
        client = HttpEngineClient(make_settings(engine.url))
        client.claim(Epoch(5))
        client.load_adapter(ADAPTER_NAME, "stout/2", Epoch(4))
        assert client.status().epoch == 0

    def test_failed_load_raises_status_error(self, engine: EngineStandIn) -> None:
        # Guards against an adapter slot that counts as loaded after a failed load.
        engine.control({"fail_loads": 1})
        client = HttpEngineClient(make_settings(engine.url))
        with pytest.raises(UpstreamStatusError) as caught:
            client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        assert caught.value.status == 500
        assert client.status().adapters == {}
        client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        assert client.status().adapters == {ADAPTER_NAME: 0}


class TestConnectionFailures:
    """Guards against connection failures that are reported at the wrong stage.

    A request reported as not sent would be retried although it may have run.
    """

    def test_refused_connection_is_not_sent(self, closed_url: str) -> None:
        client = HttpEngineClient(make_settings(closed_url))
        with pytest.raises(UpstreamNotSentError):
            client.complete(ADAPTER_NAME, {"prompt": "x"}, 0, "up-1.00.1")

    def test_connection_closed_before_response_is_interrupted(self, engine: EngineStandIn) -> None:
        engine.control({"down": "closed"})
        client = HttpEngineClient(make_settings(engine.url))
        with pytest.raises(UpstreamInterruptedError):
            client.complete(ADAPTER_NAME, {"prompt": "x"}, 0, "up-1.00.1")
        with pytest.raises(UpstreamInterruptedError):
            client.status()

    def test_read_timeout_is_interrupted(self, engine: EngineStandIn) -> None:
        engine.control({"frozen": True})
        client = HttpEngineClient(make_settings(engine.url, read_timeout_s=0.1))
        with pytest.raises(UpstreamInterruptedError):
            client.status()

    def test_lost_response_of_command_is_interrupted(self, engine: EngineStandIn) -> None:
        # Guards against a load that took effect but counts as failed.
        engine.control({"fail_after_effect": 1})
        client = HttpEngineClient(make_settings(engine.url))
        with pytest.raises(UpstreamInterruptedError):
            client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        assert client.status().adapters == {ADAPTER_NAME: 0}

    def test_crash_during_stream_is_interrupted(self, engine: EngineStandIn) -> None:
        client = HttpEngineClient(make_settings(engine.url))
        client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        stream = client.complete(ADAPTER_NAME, {"prompt": "[[crash:2]]"}, 0, "up-1.00.1")
        pieces = []
        with pytest.raises(UpstreamInterruptedError):
            pieces.extend(stream)
        assert read_journal(engine)["runs"][0]["state"] == "crashed"

    def test_read_timeout_during_stream_is_interrupted(self, engine: EngineStandIn) -> None:
        client = HttpEngineClient(make_settings(engine.url, read_timeout_s=0.5))
        client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        stream = iter(client.complete(ADAPTER_NAME, {"max_tokens": 100_000}, 0, "up-1.00.1"))
        next(stream)
        engine.control({"silence": True})
        with pytest.raises(UpstreamInterruptedError):
            list(stream)
        # The engine still accepts new connections.
        assert client.status().adapters.keys() == {ADAPTER_NAME}

    @pytest.mark.parametrize(
        "response",
        [
            b"",
            b"HTTP/1.1 200",
            STREAM_HEADERS,
            STREAM_HEADERS + b"Content-Length: 1000\r\n\r\ndata: {",
            STREAM_HEADERS + b"Transfer-Encoding: chunked\r\n\r\nff\r\ndata: {",
            STREAM_HEADERS + b'\r\ndata: {"choices": [{"text": "a"}]}\n\n',
            STREAM_HEADERS + b"\r\ndata: nonsense\n\ndata: [DONE]\n\n",
            STREAM_HEADERS + b'\r\ndata: {"choices": []}\n\ndata: [DONE]\n\n',
            b"nonsense\r\n\r\n",
        ],
    )
    def test_malformed_response_is_interrupted(
        self, raw_server: Callable[..., RawServer], response: bytes
    ) -> None:
        client = HttpEngineClient(make_settings(raw_server(response).url))
        with pytest.raises(UpstreamInterruptedError):
            list(client.complete(ADAPTER_NAME, {"prompt": "x"}, 0, "up-1.00.1"))

    @pytest.mark.parametrize("response", [b"HTTP/1.1 200", STREAM_HEADERS + b"\r\ndata: {"])
    def test_read_timeout_within_response_is_interrupted(
        self, raw_server: Callable[..., RawServer], response: bytes
    ) -> None:
        url = raw_server(response, hang=True).url
        client = HttpEngineClient(make_settings(url, read_timeout_s=0.1))
        with pytest.raises(UpstreamInterruptedError):
            list(client.complete(ADAPTER_NAME, {"prompt": "x"}, 0, "up-1.00.1"))

    def test_error_event_raises_status_error(self, raw_server: Callable[..., RawServer]) -> None:
        response = STREAM_HEADERS + b'\r\ndata: {"error": {"message": "out of memory"}}\n\n'
        client = HttpEngineClient(make_settings(raw_server(response).url))
        with pytest.raises(UpstreamStatusError, match="out of memory"):
            list(client.complete(ADAPTER_NAME, {"prompt": "x"}, 0, "up-1.00.1"))


class TestCancel:
    """Guards against a cancelled request that keeps its batch slot."""

    def test_cancel_unblocks_reader(self, raw_server: Callable[..., RawServer]) -> None:
        url = raw_server(STREAM_HEADERS + b"\r\n", hang=True).url
        stream = HttpEngineClient(make_settings(url, 60)).complete(ADAPTER_NAME, {}, 0, "up-1.00.1")
        timer = threading.Timer(0.1, stream.cancel)
        timer.start()
        with pytest.raises(UpstreamInterruptedError, match="cancelled"):
            list(stream)
        timer.join()

    def test_cancel_before_reading_and_twice(self, engine: EngineStandIn) -> None:
        client = HttpEngineClient(make_settings(engine.url))
        client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        stream = client.complete(ADAPTER_NAME, {"max_tokens": 100_000}, 0, "up-1.00.1")
        stream.cancel()
        stream.cancel()
        with pytest.raises(UpstreamInterruptedError):
            list(stream)
        stream.cancel()

    def test_cancel_ends_run_on_engine(self, engine: EngineStandIn) -> None:
        client = HttpEngineClient(make_settings(engine.url))
        client.load_adapter(ADAPTER_NAME, "stout/2", EPOCH)
        stream = client.complete(ADAPTER_NAME, {"max_tokens": 100_000}, 0, "up-1.00.1")
        iterator = iter(stream)
        next(iterator)
        stream.cancel()
        with pytest.raises(UpstreamInterruptedError):
            list(iterator)
        wait_until(
            "the end of the run", lambda: client.status().adapters[ADAPTER_NAME] == 0, WAIT_S
        )
        assert read_journal(engine)["runs"][0]["state"] == "cancelled"
