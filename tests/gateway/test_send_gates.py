"""Tests of what decides whether an upstream may be sent requests."""

import gc

from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.gateway.send_gates import MAX_KEPT_GATES, MAX_KEPT_IDS, SendGates, SendState
from tests.gateway.builders import upstream


class TestLeaving:
    """Guards against upstreams that are used again after they have stated that they leave."""

    def test_only_that_incarnation_is_closed_whatever_becomes_of_its_entry(self) -> None:
        gates = SendGates()
        assert gates.note_leaving(upstream(1))
        assert not gates.note_leaving(upstream(1))
        gc.collect()
        assert gates.find(upstream(1)).state is SendState.LEAVING
        assert gates.find(upstream(1, start_time_ms=2)).state is SendState.OPEN
        assert gates.find(upstream(2)).state is SendState.OPEN

    def test_a_statement_reaches_an_incarnation_that_is_not_known_yet(self) -> None:
        gates = SendGates()
        gates.note_leaving_id(UpstreamId("r1"))
        assert gates.find(upstream(1)).state is SendState.LEAVING
        assert gates.find(upstream(1, start_time_ms=2)).state is SendState.OPEN

    def test_what_is_kept_is_bounded(self) -> None:
        gates = SendGates()
        for number in range(MAX_KEPT_GATES + 10):
            gates.note_leaving(upstream(number % 200, start_time_ms=number))
        for number in range(MAX_KEPT_IDS + 10):
            gates.note_leaving_id(UpstreamId(f"other{number}"))
        gc.collect()
        assert (len(gates._gates), len(gates._leaving_ids)) == (MAX_KEPT_GATES, MAX_KEPT_IDS)
