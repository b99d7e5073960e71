"""Tests of local copies of tables after the store was restored from a copy."""

import orjson
import pytest

from dragonflyhold.gateway.daemon import OPERATOR_RULES, REGISTRY_RULES
from dragonflyhold.gateway.table_rows import LEFT_OWNER_S, REWRITE_S, TableRows
from dragonflyhold.platform.store import RowSet, StoredRow

ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "dc-a",
    "version": "v1",
    "slots": 8,
    "cold_remaining_ms": 0,
}


class _Table:
    """A local copy, and what it delivered."""

    def __init__(self, name: str) -> None:
        self.now = 100.0
        self.delivered: list[str] = []
        rules = OPERATOR_RULES if name == "op" else REGISTRY_RULES
        self.rows = TableRows(name, self._record, rules, lambda: self.now)

    def _record(self, row: StoredRow) -> None:
        value = "-" if row.removed else row.value.decode()
        self.delivered.append(f"{row.key} {value}")

    @property
    def values(self) -> dict[str, bytes]:
        return {key: row.value for key, row in self.rows.rows.items()}


def _config(version: int, position: int, era: int) -> StoredRow:
    return StoredRow("config", position, orjson.dumps({"version": version}), era=era)


def _entry(
    sequence: int, position: int, era: int, state: str = "ready", born: int = 5, key: str = "s1"
) -> StoredRow:
    value = orjson.dumps({**ENTRY, "state": state, "sequence": sequence, "born": born})
    return StoredRow(key, position, value, era=era)


def _in_force(table: _Table) -> int:
    return int(orjson.loads(table.values["config"])["version"])


class TestOperatorRowsAfterARestore:
    """Confirmed changes that are not in force, or older ones that are (CONFIG)."""

    @pytest.mark.parametrize("position", [41, 60, 69])
    def test_a_change_with_a_version_that_was_given_out_before_is_applied(
        self, position: int
    ) -> None:
        """Guards against changes that seem old because the store lost later versions."""
        table = _Table("op")
        table.rows.apply_snapshot(RowSet([_config(11, 68, 1)], 70, 1))
        table.rows.apply_snapshot(RowSet([_config(4, 37, 2)], 40, 2))
        table.rows.apply_changes(RowSet([_config(14, position, 2)], position, 2))
        assert _in_force(table) == 14

    def test_versions_that_passed_the_old_ones_before_the_first_read(self) -> None:
        """Guards against changes that are missed by a process that reads late."""
        table = _Table("op")
        table.rows.apply_snapshot(RowSet([_config(11, 68, 1)], 70, 1))
        table.rows.apply_snapshot(RowSet([_config(14, 65, 2)], 90, 2))
        assert _in_force(table) == 14

    def test_the_copys_older_configuration_does_not_come_back(self) -> None:
        table = _Table("op")
        table.rows.apply_snapshot(RowSet([_config(11, 68, 1)], 70, 1))
        table.rows.apply_snapshot(RowSet([_config(4, 37, 2)], 90, 2))
        assert _in_force(table) == 11
        assert table.delivered == ['config {"version":11}']

    def test_a_lost_row_stays_in_force_until_it_is_written_again(self) -> None:
        table = _Table("op")
        table.rows.apply_snapshot(RowSet([_config(11, 68, 1)], 70, 1))
        for position in (40, 45):
            table.rows.apply_snapshot(RowSet([], position, 2))
            table.now += 30.0
        assert _in_force(table) == 11
        assert table.delivered == ['config {"version":11}']

    def test_a_second_restore_before_the_rows_were_written_again(self) -> None:
        table = _Table("op")
        table.rows.apply_snapshot(RowSet([_config(11, 68, 1)], 70, 1))
        table.rows.apply_snapshot(RowSet([_config(4, 37, 2)], 40, 2))
        table.rows.apply_snapshot(RowSet([_config(8, 53, 3)], 60, 3))
        assert _in_force(table) == 11
        table.rows.apply_changes(RowSet([_config(12, 61, 3)], 61, 3))
        assert _in_force(table) == 12

    def test_a_stale_read_after_a_restore_reverts_nothing(self) -> None:
        table = _Table("op")
        table.rows.apply_snapshot(RowSet([_config(4, 37, 2)], 40, 2))
        table.rows.apply_changes(RowSet([_config(12, 45, 2)], 45, 2))
        table.rows.apply_snapshot(RowSet([_config(4, 37, 2)], 41, 2))
        assert _in_force(table) == 12


class TestPeersAfterARestore:
    """Rows of peers that have not read the restored store, and of those that have."""

    def test_old_positions_of_a_peer_do_not_hide_later_changes(self) -> None:
        """Guards against a process that starts late and keeps a peer's high versions."""
        table = _Table("op")
        table.rows.apply_peer_rows([_config(11, 68, 1)])
        table.rows.apply_snapshot(RowSet([_config(4, 37, 2)], 40, 2))
        assert _in_force(table) == 11
        table.rows.apply_changes(RowSet([_config(14, 41, 2)], 41, 2))
        assert _in_force(table) == 14

    def test_a_process_that_starts_in_the_gap_takes_the_lost_row_of_a_peer(self) -> None:
        table = _Table("op")
        table.rows.apply_snapshot(RowSet([_config(4, 37, 2)], 40, 2))
        table.rows.apply_peer_rows([_config(11, 68, 1)])
        assert _in_force(table) == 11
        table.rows.apply_changes(RowSet([_config(14, 41, 2)], 41, 2))
        assert _in_force(table) == 14

    def test_a_peers_older_row_is_ignored(self) -> None:
        table = _Table("op")
        table.rows.apply_snapshot(RowSet([_config(14, 41, 2)], 41, 2))
        table.rows.apply_peer_rows([_config(11, 68, 1)])
        assert _in_force(table) == 14

    def test_an_upstream_that_only_a_peer_of_the_earlier_era_knows_is_ignored(self) -> None:
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([], 40, 2))
        table.rows.apply_peer_rows([_entry(7, 60, 1)])
        assert table.delivered == []

    def test_a_peers_draining_entry_is_taken(self) -> None:
        """Guards against requests to an upstream whose leaving the store has lost."""
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 30, 2)], 40, 2))
        table.rows.apply_peer_rows([_entry(9, 60, 1, "draining")])
        assert b"draining" in table.values["s1"]


class TestRegistryRowsAfterARestore:
    """Upstreams that have left or are leaving and are used again, or sound ones that are lost."""

    def test_a_draining_upstream_does_not_become_ready(self) -> None:
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1), _entry(1, 2, 1, key="s2")], 70, 1))
        table.rows.apply_changes(RowSet([_entry(7, 71, 1, "draining")], 71, 1))
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 2), _entry(1, 2, 2, key="s2")], 65, 2))
        assert b"draining" in table.values["s1"]
        assert len(table.delivered) == 3

    def test_an_upstream_that_has_left_stays_away(self) -> None:
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1)], 70, 1))
        table.rows.apply_changes(RowSet([StoredRow("s1", 71, b"", True, era=1)], 71, 1))
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 2)], 65, 2))
        table.now += LEFT_OWNER_S - 0.1
        table.rows.apply_changes(RowSet([StoredRow("s1", 68, b"", True, era=2)], 68, 2))
        table.now += LEFT_OWNER_S
        table.rows.apply_changes(RowSet([], 69, 2))
        assert table.values == {}

    def test_an_upstream_that_has_left_stays_away_over_a_second_restore(self) -> None:
        """Guards against a second removal of an entry, after which its age is forgotten."""
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1)], 70, 1))
        table.rows.apply_changes(RowSet([StoredRow("s1", 71, b"", True, era=1)], 71, 1))
        for era in (2, 3):
            table.rows.apply_snapshot(RowSet([_entry(7, 60, era)], 65, era))
            table.rows.apply_changes(RowSet([StoredRow("s1", 68, b"", True, era=era)], 68, era))
        assert len(table.delivered) == 4
        assert not any("ready" in text for text in table.delivered[1:])

    @pytest.mark.parametrize("era", [2, 3])
    def test_an_upstream_that_a_later_read_lacks_stays_away(self, era: int) -> None:
        """Guards against an entry that waits to be used and was removed unseen, or by a restore."""
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1)], 70, 1))
        table.rows.apply_changes(RowSet([StoredRow("s1", 71, b"", True, era=1)], 71, 1))
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 2)], 65, 2))
        table.rows.apply_snapshot(RowSet([], 67, era))
        table.now += LEFT_OWNER_S
        table.rows.apply_changes(RowSet([], 69, era))
        assert table.values == {}

    def test_an_upstream_that_has_left_stays_away_over_a_second_read(self) -> None:
        """Guards against a truncated history while the store still has to remove the entry."""
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1)], 70, 1))
        table.rows.apply_changes(RowSet([StoredRow("s1", 71, b"", True, era=1)], 71, 1))
        for position in (65, 66):
            table.rows.apply_snapshot(RowSet([_entry(7, 60, 2)], position, 2))
        assert table.values == {}

    def test_an_upstream_that_has_left_stays_away_over_another_outage(self) -> None:
        """Guards against entries that the store could not remove yet."""
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1)], 70, 1))
        table.rows.apply_changes(RowSet([StoredRow("s1", 71, b"", True, era=1)], 71, 1))
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 2)], 65, 2))
        table.now += LEFT_OWNER_S + 1.0
        table.rows.note_outage_ended()
        table.rows.apply_changes(RowSet([], 69, 2))
        assert table.values == {}

    def test_an_upstream_that_the_store_keeps_is_used_again(self) -> None:
        """Guards against a sound upstream that stays unused after an expiry before the drill."""
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1)], 70, 1))
        table.rows.apply_changes(RowSet([StoredRow("s1", 71, b"", True, era=1)], 71, 1))
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 2)], 65, 2))
        table.now += LEFT_OWNER_S
        table.rows.apply_changes(RowSet([], 69, 2))
        assert "s1" in table.values

    def test_a_new_incarnation_is_used_at_once(self) -> None:
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1, "draining")], 70, 1))
        table.rows.apply_snapshot(RowSet([_entry(0, 62, 2, born=9)], 65, 2))
        assert b'"born":9' in table.values["s1"]

    def test_a_removal_is_known_at_once_if_the_copy_held_the_entry(self) -> None:
        """Guards against 2.2 s, more than the bound, after a truncated history."""
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1)], 70, 1))
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 2)], 65, 2))
        table.now += 30.0
        table.rows.apply_snapshot(RowSet([], 90, 2))
        assert table.values == {}

    @pytest.mark.parametrize("is_back", [True, False])
    def test_a_lost_entry_is_kept_until_its_owner_has_had_time_to_write_it(
        self, is_back: bool
    ) -> None:
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([_entry(7, 60, 1)], 70, 1))
        table.rows.apply_snapshot(RowSet([], 50, 2))
        assert "s1" in table.values
        table.now += REWRITE_S - 0.1
        table.rows.apply_changes(RowSet([_entry(8, 53, 2)] if is_back else [], 53, 2))
        table.now += REWRITE_S
        table.rows.apply_changes(RowSet([], 55, 2))
        assert ("s1" in table.values) is is_back

    @pytest.mark.parametrize("value", [b"{{{", b'{"state":"ready","sequence":9,"born":9}'])
    def test_an_entry_of_another_writer_gives_way(self, value: bytes) -> None:
        """Guards against a sound upstream that an odd entry hides until it checks in."""
        table = _Table("servers")
        table.rows.apply_snapshot(RowSet([StoredRow("s1", 60, value, era=1)], 70, 1))
        table.rows.apply_snapshot(RowSet([_entry(7, 30, 2)], 50, 2))
        assert b"desk" in table.values["s1"]
