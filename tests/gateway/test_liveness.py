"""Tests of the signs of life of a VM."""

import random

from dragonflyhold.gateway.dispatch import SendNow, UpstreamTable
from dragonflyhold.gateway.liveness import (
    DEFAULT_GAP_S,
    OVERDUE_S,
    PING_AFTER_S,
    UNREACHABLE_S,
    VmLiveness,
)
from dragonflyhold.gateway.messages import AgentHeartbeat
from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.ids import DataCentre, Version
from tests.gateway.builders import SERVICE, engine_update, upstream

NOW = 100.0
CHECK_S = 0.05
# Limits of the gateways that got a heartbeat each 50 ms.
FREQUENT_OVERDUE_S = 0.22
FREQUENT_UNREACHABLE_S = 0.45


def _table(count: int, gap_s: float) -> UpstreamTable:
    table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
    for number in range(1, count + 1):
        table.put(upstream(number))
        table.apply_update(UpstreamId(f"r{number}"), engine_update(), NOW)
        table.apply_heartbeat(UpstreamId(f"r{number}"), AgentHeartbeat(gap_s, 0, 0), NOW)
    return table


class TestSilentVm:
    """A VM that sends nothing although requests depend on it."""

    def test_it_is_noticed_about_as_soon_as_with_frequent_heartbeats(self) -> None:
        """Guards against dark machines that are seen later because heartbeats became rare."""
        liveness = VmLiveness(heard_at=NOW, gap_s=0.75)
        ping_at = NOW + PING_AFTER_S + CHECK_S
        assert liveness.needs_ping(ping_at)
        liveness.note_ping(ping_at)
        assert liveness.is_overdue(NOW + FREQUENT_OVERDUE_S + CHECK_S)
        assert liveness.is_unreachable(NOW + FREQUENT_UNREACHABLE_S + CHECK_S)

    def test_an_answered_ping_ends_the_suspicion(self) -> None:
        liveness = VmLiveness(heard_at=NOW, gap_s=0.75)
        liveness.note_ping(NOW + 0.1)
        liveness.note_heard(NOW + 0.12)
        assert not liveness.is_overdue(NOW + 0.5)
        assert liveness.needs_ping(NOW + 0.5)

    def test_a_vm_without_requests_may_be_silent_for_the_announced_gap(self) -> None:
        liveness = VmLiveness(heard_at=NOW, gap_s=0.75)
        assert not liveness.is_overdue(NOW + 0.75 + OVERDUE_S - 0.01)
        assert liveness.is_overdue(NOW + 0.75 + OVERDUE_S + 0.01)
        assert liveness.is_unreachable(NOW + 0.75 + UNREACHABLE_S + 0.01)

    def test_without_an_announced_gap_frequent_heartbeats_are_expected(self) -> None:
        """Covers agents of an earlier build, which send one each 50 ms."""
        liveness = VmLiveness(heard_at=NOW)
        assert liveness.is_overdue(NOW + FREQUENT_OVERDUE_S + 0.001)
        assert not liveness.is_overdue(NOW + DEFAULT_GAP_S + OVERDUE_S - 0.001)


class TestPings:
    """Which agents a gateway pings."""

    def test_only_vms_with_requests_are_pinged(self) -> None:
        """Guards against traffic that grows with the number of engines."""
        table = _table(30, gap_s=0.75)
        table.request_started(UpstreamId("r2"), NOW)
        later = NOW + PING_AFTER_S + CHECK_S
        silent = table.silent_upstreams(lambda upstream_id: upstream_id == "r3", later)
        assert {view.upstream.upstream_id for view in silent} == {"r2", "r3"}

    def test_bytes_of_a_response_make_pings_needless(self) -> None:
        table = _table(2, gap_s=0.75)
        table.request_started(UpstreamId("r2"), NOW)
        later = NOW + PING_AFTER_S + CHECK_S
        table.note_received(UpstreamId("r2"), later - 0.01)
        assert table.silent_upstreams(lambda upstream_id: False, later) == []

    def test_a_heartbeat_carries_the_load(self) -> None:
        """Guards against choices by a load that only changes of the adapters would renew."""
        table = _table(2, gap_s=0.75)
        table.apply_heartbeat(UpstreamId("r1"), AgentHeartbeat(0.75, 40, 5), NOW + 1.0)
        for _ in range(5):
            choice = table.choose(SERVICE, None, Version(0), NOW + 0.5)
            assert choice == SendNow(UpstreamId("r2"), None)
