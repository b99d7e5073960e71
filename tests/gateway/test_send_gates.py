"""Tests of what decides whether an upstream may be sent requests."""

import gc
import math

import pytest

from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.gateway.send_gates import (
    MAX_KEPT_GATES,
    MAX_KEPT_IDS,
    MAX_RETURN_DELAY_S,
    MAX_TURNED_AWAY_S,
    RETURN_S,
    SendGate,
    SendGates,
    SendState,
)
from tests.gateway.builders import upstream

NOW = 50.0


class TestLeaving:
    """Guards against upstreams that are used again after they have stated that they leave."""

    def test_only_that_incarnation_is_closed_whatever_becomes_of_its_entry(self) -> None:
        gates = SendGates()
        assert gates.note_leaving(upstream(1))
        assert not gates.note_leaving(upstream(1))
        gc.collect()
        assert gates.find(upstream(1)).state(NOW) is SendState.LEAVING
        assert gates.find(upstream(1, start_time_ms=2)).state(NOW) is SendState.OPEN
        assert gates.find(upstream(2)).state(NOW) is SendState.OPEN

    def test_a_statement_reaches_an_incarnation_that_is_not_known_yet(self) -> None:
        gates = SendGates()
        gates.note_leaving_id(UpstreamId("r1"))
        assert gates.find(upstream(1)).state(NOW) is SendState.LEAVING
        assert gates.find(upstream(1, start_time_ms=2)).state(NOW) is SendState.OPEN

    def test_what_is_kept_is_bounded(self) -> None:
        gates = SendGates()
        for number in range(MAX_KEPT_GATES + 10):
            gates.note_leaving(upstream(number % 200, start_time_ms=number))
        for number in range(MAX_KEPT_IDS + 10):
            gates.note_leaving_id(UpstreamId(f"other{number}"))
        gc.collect()
        assert (len(gates._gates), len(gates._leaving_ids)) == (MAX_KEPT_GATES, MAX_KEPT_IDS)


class TestTurningAway:
    """Guards against times that are cut short, have no end or end for all gateways at once."""

    def test_states_follow_one_another(self) -> None:
        gate = SendGate()
        assert gate.turn_away(2.0, NOW)
        end = gate.free_at(NOW)
        assert end is not None
        assert 2.0 <= end - NOW <= 2.0 + MAX_RETURN_DELAY_S
        assert not gate.may_send(NOW + 1.99)
        assert gate.state(end) is SendState.RETURNING
        loads = [gate.return_load(end + RETURN_S * share) for share in (0.0, 0.5, 1.0)]
        assert loads == pytest.approx([1.0, 0.5, 0.0])
        assert gate.state(end + RETURN_S) is SendState.OPEN

    def test_a_long_gap_between_two_looks_skips_the_return(self) -> None:
        gate = SendGate()
        gate.turn_away(2.0, NOW)
        assert gate.state(NOW + 60.0) is SendState.OPEN

    def test_the_longer_time_holds(self) -> None:
        gate = SendGate()
        assert [gate.turn_away(wait_s, NOW) for wait_s in (5.0, 1.0, 9.0)] == [True, False, False]
        assert not gate.may_send(NOW + 8.99)

    def test_times_end_apart(self) -> None:
        ends = []
        for _ in range(100):
            gate = SendGate()
            gate.turn_away(4.0, NOW)
            ends.append(gate.free_at(NOW) or 0.0)
        assert max(ends) - min(ends) > 0.5 * MAX_RETURN_DELAY_S

    @pytest.mark.parametrize("wait_s", [math.inf, 1e300, MAX_TURNED_AWAY_S + 1])
    def test_no_time_is_without_end(self, wait_s: float) -> None:
        gate = SendGate()
        gate.turn_away(wait_s, NOW)
        assert not gate.may_send(NOW + MAX_TURNED_AWAY_S - 0.01)
        assert gate.may_send(NOW + MAX_TURNED_AWAY_S + MAX_RETURN_DELAY_S)

    def test_leaving_ends_by_nothing(self) -> None:
        gate = SendGate()
        gate.leave()
        assert not gate.turn_away(1.0, NOW)
        assert gate.state(NOW + 1e9) is SendState.LEAVING
        assert gate.free_at(NOW) is None
