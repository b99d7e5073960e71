"""Tests of the fencing epoch and of the claim of an engine."""

import json

import pytest

from dragonflyhold.ids import Epoch, Incarnation
from dragonflyhold.sidecar.ownership import FencingEpochStore
from dragonflyhold.sidecar.supervision import EngineCheck
from tests.sidecar.fakes import UPSTREAM, FakeEngine, FakeTable

KEY = f"owner/{UPSTREAM}"


def make_epoch_store(table: FakeTable, number: int = 1) -> FencingEpochStore:
    return FencingEpochStore(table, UPSTREAM, Incarnation(f"{number:016x}"))


def stored_epoch(table: FakeTable) -> int:
    return int(json.loads(table.rows[KEY].value)["epoch"])


class TestFencingEpochStore:
    """Guards against two owners with the same epoch, and against epochs that decrease."""

    def test_each_owner_raises_the_epoch_above_the_row_and_the_engine(self) -> None:
        table = FakeTable()
        assert make_epoch_store(table, 1).raise_above(Epoch(0)) == 1
        assert make_epoch_store(table, 2).raise_above(Epoch(0)) == 2
        assert make_epoch_store(table, 3).raise_above(Epoch(7)) == 8
        assert stored_epoch(table) == 8

    def test_write_whose_response_is_lost_is_read_back(self) -> None:
        table = FakeTable()
        table.lost_responses = 1
        epoch_store = make_epoch_store(table)
        assert epoch_store.raise_above(Epoch(0)) == 1
        assert epoch_store.is_stored
        assert table.rows[KEY].version == 1

    def test_epoch_is_stored_after_a_table_outage(self) -> None:
        # During the outage, only the epoch of the engine can be raised above.
        table = FakeTable()
        make_epoch_store(table, 1).raise_above(Epoch(3))
        table.is_unavailable = True
        epoch_store = make_epoch_store(table, 2)
        assert epoch_store.raise_above(Epoch(4)) == 5
        assert not epoch_store.is_stored
        table.is_unavailable = False
        epoch_store.store()
        assert epoch_store.is_stored
        assert stored_epoch(table) == 5

    def test_higher_row_after_an_outage_raises_the_epoch(self) -> None:
        table = FakeTable()
        make_epoch_store(table, 1).raise_above(Epoch(8))
        table.is_unavailable = True
        epoch_store = make_epoch_store(table, 2)
        epoch_store.raise_above(Epoch(0))
        table.is_unavailable = False
        epoch_store.store()
        assert epoch_store.epoch == stored_epoch(table) == 10

    @pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"epoch": "x"}'])
    def test_malformed_row_does_not_stop_the_sidecar(self, value: bytes) -> None:
        table = FakeTable()
        make_epoch_store(table).raise_above(Epoch(0))
        row = table.rows[KEY]
        table.rows[KEY] = type(row)(KEY, row.version, value)
        epoch_store = make_epoch_store(table, 2)
        epoch_store.raise_above(Epoch(0))
        assert epoch_store.is_stored


class TestEngineCheck:
    """Guards against commands to an engine incarnation that was not claimed."""

    def test_each_incarnation_is_claimed_once(self) -> None:
        engine, table = FakeEngine(), FakeTable()
        check = EngineCheck(engine, make_epoch_store(table))
        first = check(1)
        assert (first.is_up, first.epoch, engine.epoch) == (True, 1, 1)
        assert check(2).epoch == 1
        engine.restart()
        assert engine.epoch == 0
        check(3)
        assert engine.epoch == 1

    def test_engine_with_a_higher_epoch_raises_the_epoch(self) -> None:
        engine, table = FakeEngine(), FakeTable()
        engine.epoch = 6
        assert EngineCheck(engine, make_epoch_store(table))(1).epoch == 7
        assert stored_epoch(table) == 7

    def test_claim_is_repeated_after_a_rejected_command(self) -> None:
        engine, table = FakeEngine(), FakeTable()
        check = EngineCheck(engine, make_epoch_store(table))
        check(1)
        engine.epoch = 4
        check.invalidate_claim()
        assert check(2).epoch == 5
        assert engine.epoch == 5

    def test_refused_connection_is_reported_as_refused(self) -> None:
        engine = FakeEngine()
        engine.is_down = True
        observation = EngineCheck(engine, make_epoch_store(FakeTable()))(1)
        assert (observation.is_up, observation.refused) == (False, True)
