"""Tests that the indexes of upstreams agree with a look at all of them."""

import dataclasses
import random

from hypothesis import given
from hypothesis import strategies as st

from dragonflyhold.gateway.dispatch import SendNow, UpstreamTable, WaitFor
from dragonflyhold.gateway.model import Address, RegistrationState, UpstreamId
from dragonflyhold.gateway.upstream_index import hash_target, rank
from dragonflyhold.gateway.upstream_view import UpstreamView
from dragonflyhold.hashing import combine
from dragonflyhold.ids import DataCentre, Version
from tests.gateway.builders import SERVICE, adapter, engine_update, upstream

NOW = 100.0
NUMBERS = st.integers(1, 6)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), NUMBERS, st.integers(1, 3)),
        st.tuples(st.just("move"), NUMBERS, st.integers(1, 3)),
        st.tuples(st.just("remove"), NUMBERS, st.just(0)),
        st.tuples(st.just("resident"), NUMBERS, st.integers(1, 4)),
        st.tuples(st.just("awaited"), NUMBERS, st.integers(1, 4)),
        st.tuples(st.just("drop"), NUMBERS, st.integers(1, 4)),
        st.tuples(st.just("drain"), NUMBERS, st.just(0)),
    ),
    max_size=30,
)


def _apply(table: UpstreamTable, step: tuple[str, int, int]) -> None:
    kind, number, value = step
    upstream_id = UpstreamId(f"r{number}")
    match kind:
        case "put":
            table.put(upstream(number, start_time_ms=value))
        case "move":
            moved = upstream(number, start_time_ms=1)
            table.put(dataclasses.replace(moved, address=Address(f"10.0.1.{value}:80")))
        case "remove":
            table.remove(upstream_id)
        case "resident":
            table.apply_update(upstream_id, engine_update(resident={value: 1}), NOW)
        case "awaited":
            table.apply_update(upstream_id, engine_update(loading={value: 1}), NOW)
        case "drop":
            table.drop_resident(upstream_id, adapter(value))
        case "drain":
            table.put(upstream(number, state=RegistrationState.DRAINING))


def _available(table: UpstreamTable) -> list[UpstreamView]:
    return [view for view in table.views.values() if view.is_available(NOW)]


class TestIndexedChoice:
    """Choices that look at the indexed upstreams only."""

    @given(STEPS)
    def test_a_holder_is_found_exactly_if_there_is_one(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        """Guards against an index that keeps a removed upstream or lacks a known one."""
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        for step in steps:
            _apply(table, step)
        for number in range(1, 5):
            holders = {
                view.upstream.upstream_id
                for view in _available(table)
                if adapter(number) in view.resident
            }
            choice = table.choose(SERVICE, adapter(number), Version(0), NOW)
            if holders:
                assert isinstance(choice, SendNow)
                assert choice.upstream_id in holders
            else:
                assert not isinstance(choice, SendNow)

    @given(STEPS)
    def test_an_upstream_that_loads_the_adapter_comes_first(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        for step in steps:
            _apply(table, step)
        for number in range(1, 5):
            awaited = {
                view.upstream.upstream_id
                for view in _available(table)
                if adapter(number) in view.loading_or_awaited and view.can_load
            }
            choice = table.choose(SERVICE, adapter(number), Version(0), NOW)
            if isinstance(choice, WaitFor) and awaited:
                assert choice.upstream_id in awaited

    @given(STEPS)
    def test_upstreams_are_found_by_vm_and_service(self, steps: list[tuple[str, int, int]]) -> None:
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        for step in steps:
            _apply(table, step)
        assert sorted(map(id, table.of_service(SERVICE))) == sorted(map(id, table.views.values()))
        for view in table.views.values():
            assert view in table.at_ip(view.upstream.ip)
        known_ips = {view.upstream.ip for view in table.views.values()}
        for number in range(1, 7):
            if f"10.0.0.{number}" not in known_ips:
                assert not table.at_ip(f"10.0.0.{number}")

    def test_every_upstream_of_many_is_the_first_choice_of_some_adapter(self) -> None:
        """Guards against a bounded number of candidates that starves an upstream."""
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        for number in range(1, 61):
            table.put(upstream(number))
            table.apply_update(UpstreamId(f"r{number}"), engine_update(), NOW)
        chosen = set()
        for number in range(1000):
            choice = table.choose(SERVICE, adapter(number), Version(0), NOW)
            assert isinstance(choice, WaitFor)
            chosen.add(choice.upstream_id)
        assert len(chosen) == 60


class TestRanking:
    """The order in which upstreams are considered for the load of an adapter."""

    def test_without_stated_speeds_it_is_that_of_earlier_builds(self) -> None:
        """Guards against homes that move in a rolling restart, with one fetch for each adapter."""
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        for number in range(1, 40):
            table.put(upstream(number))
        views = list(table.views.values())
        for number in range(300):
            key_hash = hash_target(adapter(number))
            expected = sorted(
                views, key=lambda view: combine(key_hash, view.address_hash), reverse=True
            )
            assert rank(views, adapter(number), 8) == expected[:8]
