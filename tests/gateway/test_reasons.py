"""Tests that each refusal is counted in the metrics and logged."""

import asyncio
import json
import logging as std_logging
import re
from collections.abc import Iterator

import pytest
from absl import logging

from dragonflyhold.gateway.gateway import Gateway
from dragonflyhold.gateway.outcomes import InDoubtError, Reason, RefusedError
from dragonflyhold.observability.metrics import Metrics
from dragonflyhold.platform import codec
from dragonflyhold.platform.settings import decode_settings
from dragonflyhold.platform.standins.site import running_deployment
from tests.platform.test_settings import GATEWAY_FIELDS

# Statuses of refusals other than 503.
STATUSES = {Reason.NO_ROUTE: 404, Reason.UNKNOWN_KEY: 401, Reason.ACCOUNT_LIMIT: 429}


class _Responder:
    """Records the status of a response without a connection."""

    is_started = False
    is_ended = False
    is_complete = False
    connection_end = "open"
    status = 0

    def send(self, status: int, headers: object, body: bytes = b"") -> None:
        del headers, body
        self.status = status
        self.is_started = self.is_ended = self.is_complete = True


@pytest.fixture(name="lines")
def _lines() -> Iterator[list[dict[str, object]]]:
    recorded: list[dict[str, object]] = []

    class RecordingHandler(std_logging.Handler):
        """Records structured log lines."""

        def emit(self, record: std_logging.LogRecord) -> None:
            """Record one line."""
            if isinstance(record.msg, dict):
                recorded.append(record.msg)

    recorder, level = RecordingHandler(), logging.get_verbosity()
    logger = logging.get_absl_logger()
    logger.addHandler(recorder)
    logging.set_verbosity(logging.INFO)
    yield recorded
    logger.removeHandler(recorder)
    logging.set_verbosity(level)


class TestEachReason:
    """Metrics and log lines of each reason."""

    @pytest.mark.parametrize("reason", Reason)
    def test_a_refusal_is_counted_and_logged(
        self, reason: Reason, lines: list[dict[str, object]]
    ) -> None:
        metrics = Metrics()
        gateway = Gateway(decode_settings(GATEWAY_FIELDS), metrics)
        request_info = codec.decode_request({codec.REQUEST_ID: b"x1"})
        responder = _Responder()
        error = RefusedError(reason, 0.5)
        gateway._refuse(responder, error, request_info, None)  # type: ignore[arg-type]
        assert responder.status == STATUSES.get(reason, 503)
        assert f'refusals_total{{code="{reason.value}"}} 1' in metrics.render()[0].decode()
        ended = [line for line in lines if line.get("id") == "x1"]
        assert [line["outcome"] for line in ended] == [reason.value]
        assert json.dumps(ended)

    @pytest.mark.parametrize("reason", Reason)
    def test_an_outcome_in_doubt_is_counted_and_logged(
        self, reason: Reason, lines: list[dict[str, object]]
    ) -> None:
        metrics = Metrics()
        gateway = Gateway(decode_settings(GATEWAY_FIELDS), metrics)
        request_info = codec.decode_request({codec.REQUEST_ID: b"x1"})
        responder = _Responder()
        error = InDoubtError(reason)
        gateway._fail(responder, 502, error.reason, request_info, None)  # type: ignore[arg-type]
        assert responder.status == 502
        assert f"failed_{reason.value}" in metrics.render()[0].decode()
        assert any(line.get("outcome") == f"in doubt: {reason.value}" for line in lines)


class TestHistograms:
    """Latency histograms of gateways and agents."""

    def test_a_stream_fills_them(self) -> None:
        async def scenario() -> tuple[str, str]:
            async with running_deployment(engines=1, plain=0) as deployment:
                await deployment.call("/ask/1", adapter="a1")
                gateway = deployment.gateways[0]._metrics.render()[0].decode()
                return gateway, deployment.agents["e0"]._metrics.render()[0].decode()

        gateway, agent = asyncio.run(scenario())
        for name in ("first_token", "load_stall", "longest_pause", "place_wait"):
            assert re.search(rf"dragonflyhold_{name}_seconds_count({{.*}})? 1\b", gateway), name
        assert 'dragonflyhold_store_call_seconds_count{kind="read"}' in gateway
        assert 'dragonflyhold_store_call_seconds_count{kind="write"} 1' in agent
