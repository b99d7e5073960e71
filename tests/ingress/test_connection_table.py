"""Tests of the choice of the connection that gives way to a new one."""

from dragonflyhold.ingress import ConnectionTable, Standing
from dragonflyhold.ingress.connection_table import REUSE_S, UNREAD_S


class TestVictim:
    """Guards against a crowd whose connections keep those of other clients out."""

    def _table(self, most: int = 3) -> ConnectionTable[str]:
        self.now = 100.0
        return ConnectionTable(lambda: self.now, most)

    def _add(self, table: ConnectionTable[str], name: str, address: str) -> None:
        self.now += 1
        table.add(name, address)

    def test_any_number_is_kept_without_a_limit(self) -> None:
        table: ConnectionTable[int] = ConnectionTable(lambda: 0.0)
        for number in range(1000):
            table.add(number, "a")
        assert not table.is_full

    def test_the_one_that_waits_for_longest_gives_way(self) -> None:
        table = self._table()
        for name in "xyz":
            self._add(table, name, f"address of {name}")
        assert table.is_full
        assert table.pick_victim() == "x"
        self.now += 1
        table.note("x", Standing.CLIENT)
        assert table.pick_victim() == "y"

    def test_the_client_with_most_connections_gives_way(self) -> None:
        table = self._table()
        self._add(table, "x", "single")
        self._add(table, "y", "crowd")
        self._add(table, "z", "crowd")
        assert table.pick_victim() == "y"
        table.remove("y")
        assert table.pick_victim() == "x"

    def test_a_served_request_never_gives_way(self) -> None:
        table = self._table(1)
        self._add(table, "x", "a")
        table.note("x", Standing.RESPONSE)
        assert table.pick_victim() is None

    def test_a_slow_reader_gives_way_after_a_while(self) -> None:
        table = self._table(2)
        self._add(table, "x", "a")
        self._add(table, "y", "a")
        table.note("x", Standing.READER)
        table.note("y", Standing.RESPONSE)
        assert table.pick_victim() is None
        self.now += UNREAD_S
        assert table.pick_victim() == "x"

    def test_requests_sent_ahead_give_way_before_a_new_connection(self) -> None:
        """Guards against callers that are closed before their request has arrived."""
        table = self._table(2)
        self._add(table, "x", "a")
        self._add(table, "y", "a")
        table.note("x", Standing.TURN)
        assert table.pick_victim() == "x"
        self.now += REUSE_S
        assert table.pick_victim() == "y"
        table.note("y", Standing.RESPONSE)
        assert table.pick_victim() == "x"

    def test_progress_without_a_restart_keeps_the_age(self) -> None:
        """Guards against a client that stays by sending a byte now and then."""
        table = self._table(2)
        self._add(table, "x", "a")
        self._add(table, "y", "a")
        self.now += 1
        table.note("x", Standing.CLIENT, restarts=False)
        assert table.pick_victim() == "x"

    def test_an_unknown_connection_is_ignored(self) -> None:
        table = self._table()
        table.note("gone", Standing.RESPONSE)
        table.remove("gone")
        assert len(table) == 0
        assert table.pick_victim() is None
