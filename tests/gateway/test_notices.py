"""Tests of what a gateway takes from the answers of upstreams."""

import logging
import random

import pytest

from dragonflyhold.gateway.connection_pool import ConnectionPool
from dragonflyhold.gateway.dispatch import UpstreamTable
from dragonflyhold.gateway.http_client import Head
from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.gateway.notices import UpstreamNotices
from dragonflyhold.gateway.send_gates import SendState
from dragonflyhold.ids import DataCentre
from dragonflyhold.observability.log_analysis import LEAVING_EVENT, TURNED_AWAY_EVENT
from tests.gateway.builders import upstream


def _head(status: int, *headers: tuple[bytes, bytes]) -> Head:
    return Head(status, headers, {name.lower(): value for name, value in headers})


NOW = 50.0


class TestSpeaker:
    """Guards against answers that close the gate of another upstream than the one that speaks."""

    @pytest.mark.parametrize(
        ("status", "instance", "leaving"),
        [(200, None, "r1"), (421, b"r1", "r1"), (421, None, "r1"), (421, b"r2", "r2")],
    )
    def test_the_gate_of_the_named_incarnation_is_closed(
        self, status: int, instance: bytes | None, leaving: str
    ) -> None:
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        events: list[str] = []
        released: list[UpstreamId] = []
        notices = UpstreamNotices(table, ConnectionPool(), released.append, events.append)
        for number in (1, 2):
            table.put(upstream(number))
        headers = [(b"Server-Leaving", b"1")]
        if instance is not None:
            headers.append((b"Instance-Id", instance))
        for _ in range(2):
            notices.note_answer(upstream(1), _head(status, *headers), "try1")
        closed = [
            upstream_id
            for upstream_id, view in table.views.items()
            if view.gate.state(NOW) is SendState.LEAVING
        ]
        assert closed == released == [leaving]
        assert events == ["upstream_leaving"]

    def test_an_incarnation_that_is_not_registered_yet_is_closed_from_the_start(self) -> None:
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        notices = UpstreamNotices(table, ConnectionPool(), lambda _: None, lambda _: None)
        head = _head(421, (b"Server-Leaving", b"1"), (b"Instance-Id", b"r2"))
        notices.note_answer(upstream(1), head, "try1")
        table.put(upstream(2))
        assert table.views[UpstreamId("r2")].gate.state(NOW) is SendState.LEAVING


class TestEvidence:
    """Guards against log lines and counters that operators search for in vain."""

    @pytest.mark.parametrize(
        ("status", "header", "event", "count"),
        [
            (200, (b"Server-Leaving", b"1"), LEAVING_EVENT, "upstream_leaving"),
            (503, (b"Retry-After", b"2"), TURNED_AWAY_EVENT, "upstream_turned_away"),
        ],
    )
    def test_each_statement_is_logged_once_and_counted(
        self,
        status: int,
        header: tuple[bytes, bytes],
        event: str,
        count: str,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        events: list[str] = []
        caplog.set_level(logging.INFO, "absl")
        notices = UpstreamNotices(table, ConnectionPool(), lambda _: None, events.append)
        table.put(upstream(1))
        for _ in range(2):
            notices.note_answer(upstream(1), _head(status, header), "try1")
        lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
        assert [(line["event"], line["runner"]) for line in lines] == [(event, "r1")]
        assert set(events) == {count}
