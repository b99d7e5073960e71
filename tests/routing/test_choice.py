"""Tests of the choice of an upstream."""

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

RUN = Incarnation("0" * 16)
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


def chosen(table: UpstreamTable, request: RouteRequest, seed: int = 1) -> UpstreamName:
    route = choose(table, request, seed)
    assert isinstance(route, RouteTo)
    return route.upstream


class TestChooseUpstream:
    """Guards against work for upstreams that take none, and against needless loads."""

    def test_entries_agree_on_a_cold_adapter(self) -> None:
        tables = [make_table(5), make_table(5)]
        tables[1].sync([make_upstream(f"u{n}") for n in reversed(range(5))], 1.0)
        for number in range(50):
            key = KEY._replace(adapter=AdapterName(f"a{number}"))
            first, second = (chosen(t, make_request(key), seed) for seed, t in enumerate(tables))
            assert first == second

    def test_loss_of_an_upstream_moves_only_its_adapters(self) -> None:
        table = make_table(6)
        keys = [KEY._replace(adapter=AdapterName(f"a{n}")) for n in range(200)]
        before = [chosen(table, make_request(key)) for key in keys]
        lost = UpstreamName("u3")
        table.record_down(lost, NOW)
        after = [chosen(table, make_request(key)) for key in keys]
        moved = [old for old, new in zip(before, after, strict=True) if old != new]
        assert set(moved) == {lost}

    def test_prefers_the_upstream_that_holds_the_adapter(self) -> None:
        table = make_table(5)
        home = chosen(table, make_request())
        other = next(row.config.name for row in table.rows(SERVICE) if row.config.name != home)
        table.record_report(other, RUN, UpstreamState.ACTIVE, make_load(3, KEY), NOW)
        assert choose(table, make_request()) == RouteTo(other, RouteReason.RESIDENT)

    def test_leaves_an_overloaded_holder(self) -> None:
        table = make_table(5)
        home = chosen(table, make_request())
        table.record_report(home, RUN, UpstreamState.ACTIVE, make_load(40, KEY), NOW)
        assert chosen(table, make_request()) != home

    def test_hot_adapter_is_spread(self) -> None:
        table = make_table(5)
        used = set()
        for _ in range(100):
            name = chosen(table, make_request())
            table.record_sent(name, KEY, NOW)
            used.add(name)
        assert 2 <= len(used) <= 5

    def test_tried_upstreams_come_last(self) -> None:
        table = make_table(2)
        home = chosen(table, make_request())
        other = chosen(table, make_request(tried=frozenset({home})))
        assert other != home
        assert chosen(table, make_request(tried=frozenset({home, other}))) in {home, other}

    def test_plain_service_goes_to_the_less_loaded(self) -> None:
        table = make_table(2)
        table.record_report(UpstreamName("u0"), RUN, UpstreamState.ACTIVE, make_load(30), NOW)
        names = [chosen(table, make_request(key=None), seed) for seed in range(100)]
        assert names.count(UpstreamName("u1")) > 60

    def test_tells_why_there_is_no_route(self) -> None:
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
    """Guards against one crashing request that takes down several upstreams."""

    def test_copies_go_to_the_same_upstream_from_every_entry(self) -> None:
        names = set()
        for seed in range(20):
            table = make_table(6)
            rng = random.Random(seed)
            for row in table.rows(SERVICE):
                load = make_load(rng.randrange(60))
                table.record_report(row.config.name, RUN, UpstreamState.ACTIVE, load, NOW)
            names.add(chosen(table, make_request(suspected=True), seed))
        assert len(names) == 1

    def test_full_upstream_is_waited_for(self) -> None:
        table = make_table(6)
        home = chosen(table, make_request(suspected=True))
        table.record_refusal(home, ErrorCode.QUEUE_FULL, NOW)
        retried = make_request(suspected=True, tried=frozenset({home}))
        assert chosen(table, retried) == home

    def test_another_upstream_takes_over_from_one_that_is_down(self) -> None:
        table = make_table(6)
        home = chosen(table, make_request(suspected=True))
        table.record_down(home, NOW)
        assert chosen(table, make_request(suspected=True)) != home

    def test_takes_over_beyond_the_kept_ranking(self) -> None:
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
    """Guards against affinity that overloads one upstream while others are free."""

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        loads=st.lists(st.integers(0, 80), min_size=2, max_size=24),
        holders=st.sets(st.integers(0, 23)),
        down=st.sets(st.integers(0, 23)),
        number=st.integers(0, 1000),
        seed=st.integers(0, 1000),
    )
    def test_choice_is_below_the_limit_and_takes_work(
        self, loads: list[int], holders: set[int], down: set[int], number: int, seed: int
    ) -> None:
        key = AdapterKey(ServiceName("s"), AdapterName(f"a{number}"), Version(1))
        table = make_table(len(loads))
        for index, load in enumerate(loads):
            resident = (key,) if index in holders else ()
            report = make_load(load, *resident)
            table.record_report(UpstreamName(f"u{index}"), RUN, UpstreamState.ACTIVE, report, NOW)
        for index in down:
            # Names beyond the table are ignored.
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
        # The limit is above the mean, so an upstream below it always exists.
        assert row.load(NOW) <= load_limit(usable, NOW, RoutingSettings())
