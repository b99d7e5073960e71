"""Tests of the clients of the platform services against the stand-ins."""

from collections.abc import Iterator

import pytest

from dragonflyhold.errors import ConditionFailedError, PlatformUnavailableError
from dragonflyhold.ids import DataCentre, VmName
from dragonflyhold.settings import PlatformSettings
from dragonflyhold.standins.base import StandIn
from dragonflyhold.standins.objects import ObjectStoreStandIn
from dragonflyhold.standins.table import TableStandIn
from dragonflyhold.standins.vms import VmListStandIn
from dragonflyhold.storage import HttpObjectStore, HttpTable, HttpVmList
from dragonflyhold.storage.interface import Condition, Put, Row, Vm, VmState

# Contains characters with a special meaning in paths and queries, and a non-ASCII one.
SPECIAL_KEY = "config/id/ä b+c%2F?x=1&y#z"


@pytest.fixture
def stand_ins() -> Iterator[dict[str, StandIn]]:
    running: dict[str, StandIn] = {
        "table": TableStandIn(),
        "objects": ObjectStoreStandIn(),
        "vms": VmListStandIn(),
    }
    for stand_in in running.values():
        stand_in.start()
    yield running
    for stand_in in running.values():
        stand_in.stop()


def settings(stand_ins: dict[str, StandIn], timeout_ms: int = 5000) -> PlatformSettings:
    return PlatformSettings(
        table_url=stand_ins["table"].url,
        object_store_url=stand_ins["objects"].url,
        vm_list_url=stand_ins["vms"].url,
        timeout_ms=timeout_ms,
    )


class TestHttpTable:
    """Guards against repeated or misreported writes and against incorrectly quoted keys."""

    def test_rows_round_trip(self, stand_ins: dict[str, StandIn]) -> None:
        table = HttpTable(settings(stand_ins))
        assert table.read(SPECIAL_KEY) is None
        value = bytes(range(256))
        table.write([Condition(SPECIAL_KEY, 0)], [Put(SPECIAL_KEY, value), Put("config/b", b"")])
        assert table.read(SPECIAL_KEY) == Row(SPECIAL_KEY, 1, value)
        assert [row.key for row in table.read_prefix("config/")] == ["config/b", SPECIAL_KEY]
        assert [row.key for row in table.read_prefix("config/", "config/b", 1)] == [SPECIAL_KEY]

    def test_failed_condition_writes_nothing(self, stand_ins: dict[str, StandIn]) -> None:
        table = HttpTable(settings(stand_ins))
        table.write([], [Put("a", b"1")])
        with pytest.raises(ConditionFailedError) as caught:
            table.write([Condition("a", 0)], [Put("b", b"2")])
        assert (caught.value.key, caught.value.expected, caught.value.current) == ("a", 0, 1)
        assert table.read("b") is None

    @pytest.mark.parametrize("fail_mode", ["close", "half", "hang"])
    def test_lost_response_is_reported_and_not_retried(
        self, stand_ins: dict[str, StandIn], fail_mode: str
    ) -> None:
        table = HttpTable(settings(stand_ins, timeout_ms=300))
        stand_ins["table"].control({"fail_after_effect": 1, "fail_mode": fail_mode})
        with pytest.raises(PlatformUnavailableError):
            table.write([], [Put("a", b"1")])
        row = HttpTable(settings(stand_ins)).read("a")
        assert row is not None
        assert row.version == 1

    @pytest.mark.parametrize("faults", [{"down": "closed"}, {"down": "503"}, {"frozen": True}])
    def test_outage_raises_unavailable(
        self, stand_ins: dict[str, StandIn], faults: dict[str, object]
    ) -> None:
        table = HttpTable(settings(stand_ins, timeout_ms=300))
        stand_ins["table"].control(faults)
        with pytest.raises(PlatformUnavailableError):
            table.read("a")
        with pytest.raises(PlatformUnavailableError):
            table.write([], [Put("a", b"1")])
        stand_ins["table"].control({"down": "", "frozen": False})
        assert HttpTable(settings(stand_ins)).read("a") is None

    def test_rate_limit_raises_unavailable(self) -> None:
        stand_in = TableStandIn(reads_per_s=1e-6)
        stand_in.start()
        try:
            urls = {"object_store_url": stand_in.url, "vm_list_url": stand_in.url}
            table = HttpTable(PlatformSettings(table_url=stand_in.url, **urls))
            # The first read uses up the burst of the rate limiter.
            table.read("a")
            with pytest.raises(PlatformUnavailableError, match="429"):
                table.read("a")
        finally:
            stand_in.stop()

    def test_refused_connection_raises_unavailable(self, stand_ins: dict[str, StandIn]) -> None:
        table = HttpTable(settings(stand_ins))
        stand_ins["table"].stop()
        with pytest.raises(PlatformUnavailableError):
            table.read("a")


class TestHttpObjectStore:
    """Guards against objects that are corrupted in transfer and against unreported outages."""

    def test_round_trip(self, stand_ins: dict[str, StandIn]) -> None:
        store = HttpObjectStore(settings(stand_ins))
        assert store.get(SPECIAL_KEY) is None
        store.put(SPECIAL_KEY, bytes(range(256)))
        assert store.get(SPECIAL_KEY) == bytes(range(256))

    def test_outage_raises_unavailable(self, stand_ins: dict[str, StandIn]) -> None:
        store = HttpObjectStore(settings(stand_ins, timeout_ms=300))
        stand_ins["objects"].control({"down": "503"})
        with pytest.raises(PlatformUnavailableError):
            store.get("a")
        with pytest.raises(PlatformUnavailableError):
            store.put("a", b"1")


class TestHttpVmList:
    """Guards against a misread list, such as a leaving VM that is reported as live."""

    def test_list(self, stand_ins: dict[str, StandIn]) -> None:
        vm = {"name": "vm-1", "address": "127.0.0.1", "data_centre": "almaty-a"}
        vms = [{**vm, "state": "leaving", "upstream": "runner-1"}, {**vm, "state": "live"}]
        stand_ins["vms"].control({"vms": vms})
        location = (VmName("vm-1"), "127.0.0.1", DataCentre("almaty-a"))
        assert HttpVmList(settings(stand_ins)).list() == [
            Vm(*location, VmState.LEAVING, "runner-1"),
            Vm(*location, VmState.LIVE, ""),
        ]

    @pytest.mark.parametrize("vms", [[{"name": "vm-1"}], [{"state": "gone"}], ["vm-1"]])
    def test_invalid_list_raises_unavailable(
        self, stand_ins: dict[str, StandIn], vms: list[object]
    ) -> None:
        stand_ins["vms"].control({"vms": vms})
        with pytest.raises(PlatformUnavailableError):
            HttpVmList(settings(stand_ins)).list()
