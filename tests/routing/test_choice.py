"""Tests of the selection of an upstream."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    Fingerprint,
    Incarnation,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.routing import (
    NoRoute,
    RouteReason,
    RouteRequest,
    RouteTo,
    UpstreamTable,
    choose_upstream,
)
from dragonflyhold.routing.choice import load_limit
from dragonflyhold.settings.model import RoutingSettings
from dragonflyhold.states import UpstreamState
from tests.routing.test_table import KEY, SERVICE, SETTINGS, make_load, make_upstream

INCARNATION = Incarnation("0" * 16)
NOW = 100.0


def make_table(count: int) -> UpstreamTable:
    table = UpstreamTable(SETTINGS)
    table.sync([make_upstream(f"u{n}") for n in range(count)], 0.0)
    return table


def make_request(
    key: AdapterKey | None = KEY,
    suspected: bool = False,
    tried: frozenset[UpstreamName] = frozenset(),
    fingerprint: bytes = b"f",
) -> RouteRequest:
    return RouteRequest(SERVICE, key, Fingerprint(fingerprint), False, suspected, tried)


def choose(table: UpstreamTable, request: RouteRequest, seed: int = 1) -> RouteTo | NoRoute:
    return choose_upstream(request, table, NOW, SETTINGS, random.Random(seed))


def choose_name(table: UpstreamTable, request: RouteRequest, seed: int = 1) -> UpstreamName:
    route = choose(table, request, seed)
    assert isinstance(route, RouteTo)
    return route.upstream


class TestChooseUpstream:
    """Guards against requests to unusable upstreams and against unnecessary adapter loads."""

    def test_entries_choose_the_same_upstream_for_a_nonresident_adapter(self) -> None:
        tables = [make_table(5), make_table(5)]
        tables[1].sync([make_upstream(f"u{n}") for n in reversed(range(5))], 1.0)
        for number in range(50):
            key = KEY._replace(adapter=AdapterName(f"a{number}"))
            first, second = (
                choose_name(t, make_request(key), seed) for seed, t in enumerate(tables)
            )
            assert first == second

    def test_down_upstream_reassigns_only_its_adapters(self) -> None:
        table = make_table(6)
        keys = [KEY._replace(adapter=AdapterName(f"a{n}")) for n in range(200)]
        before = [choose_name(table, make_request(key)) for key in keys]
        down_name = UpstreamName("u3")
        table.record_down(down_name, NOW)
        after = [choose_name(table, make_request(key)) for key in keys]
        moved = [old for old, new in zip(before, after, strict=True) if old != new]
        assert set(moved) == {down_name}

    def test_prefers_an_upstream_where_the_adapter_is_resident(self) -> None:
        table = make_table(5)
        preferred = choose_name(table, make_request())
        other = next(row.config.name for row in table.rows(SERVICE) if row.config.name != preferred)
        table.record_report(other, INCARNATION, UpstreamState.ACTIVE, make_load(3, KEY), NOW)
        assert choose(table, make_request()) == RouteTo(other, RouteReason.RESIDENT)

    def test_skips_an_overloaded_upstream_despite_residency(self) -> None:
        table = make_table(5)
        preferred = choose_name(table, make_request())
        table.record_report(preferred, INCARNATION, UpstreamState.ACTIVE, make_load(40, KEY), NOW)
        assert choose_name(table, make_request()) != preferred

    def test_busy_adapter_is_spread_over_several_upstreams(self) -> None:
        table = make_table(5)
        used = set()
        for _ in range(100):
            name = choose_name(table, make_request())
            table.record_sent(name, KEY, NOW)
            used.add(name)
        assert 2 <= len(used) <= 5

    def test_tried_upstream_is_chosen_only_if_no_other_is_left(self) -> None:
        table = make_table(2)
        preferred = choose_name(table, make_request())
        other = choose_name(table, make_request(tried=frozenset({preferred})))
        assert other != preferred
        assert choose_name(table, make_request(tried=frozenset({preferred, other}))) in {
            preferred,
            other,
        }

    def test_plain_service_prefers_the_less_loaded_upstream(self) -> None:
        table = make_table(2)
        table.record_report(
            UpstreamName("u0"), INCARNATION, UpstreamState.ACTIVE, make_load(30), NOW
        )
        names = [choose_name(table, make_request(key=None), seed) for seed in range(100)]
        assert names.count(UpstreamName("u1")) > 60

    def test_no_route_message_counts_unavailable_upstreams(self) -> None:
        table = make_table(2)
        table.record_refusal(UpstreamName("u0"), ErrorCode.UPSTREAM_LEAVING, NOW)
        table.record_refusal(UpstreamName("u1"), ErrorCode.QUEUE_FULL, NOW)
        route = choose(table, make_request())
        assert isinstance(route, NoRoute)
        assert route.code is ErrorCode.NO_UPSTREAM
        assert "2 configured, 1 leaving or down, 1 refused recently" in route.message

    def test_unknown_service_has_no_route(self) -> None:
        route = choose(UpstreamTable(SETTINGS), make_request())
        assert isinstance(route, NoRoute)


class TestSuspectedRequests:
    """Guards against a request that crashes several upstreams in turn."""

    def test_entries_send_the_same_fingerprint_to_the_same_upstream(self) -> None:
        names = set()
        for seed in range(20):
            table = make_table(6)
            rng = random.Random(seed)
            for row in table.rows(SERVICE):
                load = make_load(rng.randrange(60))
                table.record_report(row.config.name, INCARNATION, UpstreamState.ACTIVE, load, NOW)
            names.add(choose_name(table, make_request(suspected=True), seed))
        assert len(names) == 1

    def test_full_upstream_is_chosen_again(self) -> None:
        table = make_table(6)
        preferred = choose_name(table, make_request(suspected=True))
        table.record_refusal(preferred, ErrorCode.QUEUE_FULL, NOW)
        retried = make_request(suspected=True, tried=frozenset({preferred}))
        assert choose_name(table, retried) == preferred

    def test_fails_over_from_an_upstream_that_is_down(self) -> None:
        table = make_table(6)
        preferred = choose_name(table, make_request(suspected=True))
        table.record_down(preferred, NOW)
        assert choose_name(table, make_request(suspected=True)) != preferred

    def test_fails_over_beyond_the_truncated_ranking(self) -> None:
        table = make_table(40)
        for row in table.ranking(SERVICE, 0):
            table.record_down(row.config.name, NOW)
        for _ in range(39):
            route = choose(table, make_request(suspected=True))
            if isinstance(route, NoRoute):
                break
            table.record_down(route.upstream, NOW)
        assert not [row for row in table.rows(SERVICE) if row.is_usable()]


class TestBoundedLoad:
    """Guards against adapter affinity that overloads one upstream while others are idle."""

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        loads=st.lists(st.integers(0, 80), min_size=2, max_size=24),
        holders=st.sets(st.integers(0, 23)),
        down=st.sets(st.integers(0, 23)),
        number=st.integers(0, 1000),
        seed=st.integers(0, 1000),
    )
    def test_chosen_upstream_is_usable_and_below_the_load_limit(
        self, loads: list[int], holders: set[int], down: set[int], number: int, seed: int
    ) -> None:
        key = AdapterKey(ServiceName("s"), AdapterName(f"a{number}"), Version(1))
        table = make_table(len(loads))
        for index, load in enumerate(loads):
            resident = (key,) if index in holders else ()
            report = make_load(load, *resident)
            table.record_report(
                UpstreamName(f"u{index}"), INCARNATION, UpstreamState.ACTIVE, report, NOW
            )
        for index in down:
            # The table ignores names that it does not contain.
            table.record_refusal(UpstreamName(f"u{index}"), ErrorCode.UPSTREAM_LEAVING, NOW)
        usable = [row for row in table.rows(SERVICE) if row.is_usable()]
        route = choose(table, make_request(key), seed)
        if not usable:
            assert isinstance(route, NoRoute)
            return
        assert isinstance(route, RouteTo)
        row = table.row(route.upstream)
        assert row is not None
        assert row in usable
        # The limit exceeds the mean load, so at least one upstream is below it.
        assert row.load(NOW) <= load_limit(usable, NOW, RoutingSettings())
