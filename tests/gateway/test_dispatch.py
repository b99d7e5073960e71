"""Tests of the choice of an upstream."""

import dataclasses
import random
from collections import Counter

import pytest

from dragonflyhold.balancing import LoadRow, MemoryReport
from dragonflyhold.gateway.dispatch import (
    MAX_DRAWN,
    NoUpstream,
    SendNow,
    UpstreamTable,
    WaitFor,
)
from dragonflyhold.gateway.liveness import DEFAULT_GAP_S, OVERDUE_S, UNREACHABLE_S
from dragonflyhold.gateway.messages import AgentHeartbeat
from dragonflyhold.gateway.model import (
    ModelAdapter,
    RegistrationState,
    ServerLoad,
    UpstreamId,
)
from dragonflyhold.gateway.send_gates import RETURN_S
from dragonflyhold.gateway.upstream_view import (
    MAX_SUSPENSION_S,
    MIN_SUSPENSION_S,
    STALL_TIMEOUT_S,
    UpstreamView,
)
from dragonflyhold.ids import DataCentre, Version
from tests.gateway.builders import SERVICE, adapter, engine_update, upstream

NOW = 50.0
ANY = Version(0)


def _table(*numbers: int, linked: bool = True) -> UpstreamTable:
    table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
    for number in numbers:
        table.put(upstream(number))
        if linked:
            table.apply_update(UpstreamId(f"r{number}"), engine_update(), NOW)
    return table


class TestResidentAdapter:
    """Requests for an adapter that is resident on at least one upstream."""

    def test_a_request_is_sent_to_the_holder(self) -> None:
        table = _table(1, 2, 3)
        table.apply_update(UpstreamId("r2"), engine_update({7: 1}), NOW)
        assert table.choose(SERVICE, adapter(7), ANY, NOW) == SendNow(UpstreamId("r2"), Version(1))

    def test_an_upstream_with_an_older_version_is_not_a_holder(self) -> None:
        table = _table(1)
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}), NOW)
        assert table.choose(SERVICE, adapter(7), Version(2), NOW) == WaitFor(UpstreamId("r1"))

    def test_the_less_loaded_holder_is_chosen(self) -> None:
        table = _table(1, 2)
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}, running=30), NOW)
        table.apply_update(UpstreamId("r2"), engine_update({7: 1}, running=2), NOW)
        choice = table.choose(SERVICE, adapter(7), ANY, NOW)
        assert choice == SendNow(UpstreamId("r2"), Version(1))

    def test_a_holder_without_an_agent_still_serves(self) -> None:
        """A dead or disconnected agent must not stop requests for resident adapters."""
        table = _table(1, 2)
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}), NOW)
        table.views[UpstreamId("r1")].is_linked = False
        assert isinstance(table.choose(SERVICE, adapter(7), ANY, NOW), SendNow)

    def test_a_dropped_adapter_is_loaded_again(self) -> None:
        table = _table(1)
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}), NOW)
        table.drop_resident(UpstreamId("r1"), adapter(7))
        assert isinstance(table.choose(SERVICE, adapter(7), ANY, NOW), WaitFor)


class TestLoadTarget:
    """Choice of the upstream that loads an adapter."""

    def test_an_adapter_keeps_its_preferred_upstream(self) -> None:
        """The VM may have it host-cached, which loads ten times as fast and is not charged."""
        table = _table(1, 2, 3, 4, 5)
        choices = {table.choose(SERVICE, adapter(7), ANY, NOW) for _ in range(3)}
        assert len(choices) == 1

    def test_adapters_spread_over_upstreams(self) -> None:
        table = _table(1, 2, 3, 4, 5)
        for view in table.views.values():
            view.free_adapter_slots = 1000
        choices = [table.choose(SERVICE, adapter(n), ANY, NOW) for n in range(500)]
        counts = [choices.count(WaitFor(UpstreamId(f"r{n}"))) for n in range(1, 6)]
        assert min(counts) > 60

    def test_a_full_preferred_upstream_is_skipped(self) -> None:
        table = _table(1, 2, 3)
        preferred = table.choose(SERVICE, adapter(7), ANY, NOW)
        assert isinstance(preferred, WaitFor)
        table.apply_update(
            preferred.upstream_id, engine_update(free_adapter_slots=0, backlog=9), NOW
        )
        other = table.choose(SERVICE, adapter(7), ANY, NOW)
        assert isinstance(other, WaitFor)
        assert other != preferred

    def test_an_adapter_that_is_loading_is_not_loaded_elsewhere(self) -> None:
        """Guards against a second, charged fetch of the same rare adapter."""
        table = _table(1, 2, 3)
        for number in (1, 2, 3):
            update = engine_update(
                free_adapter_slots=0, backlog=5, loading={7: 1} if number == 3 else {}
            )
            table.apply_update(UpstreamId(f"r{number}"), update, NOW)
        assert table.choose(SERVICE, adapter(7), ANY, NOW) == WaitFor(UpstreamId("r3"))

    def test_nothing_is_loaded_without_an_agent(self) -> None:
        table = _table(1, 2, linked=False)
        assert table.choose(SERVICE, adapter(7), ANY, NOW) == NoUpstream(2)


class TestAvailability:
    """Which upstreams may get new requests."""

    def test_draining_upstreams_get_no_new_requests(self) -> None:
        table = _table(1)
        table.put(upstream(1, state=RegistrationState.DRAINING))
        assert table.choose(SERVICE, None, ANY, NOW) == NoUpstream(1)

    def test_a_new_incarnation_starts_empty(self) -> None:
        table = _table(1)
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}), NOW)
        assert table.put(upstream(1, start_time_ms=2))
        assert table.views[UpstreamId("r1")].resident == {}

    def test_an_engine_without_its_model_gets_no_requests(self) -> None:
        table = _table(1, 2)
        table.apply_update(UpstreamId("r1"), engine_update(has_model=False), NOW)
        assert table.choose(SERVICE, None, ANY, NOW) == SendNow(UpstreamId("r2"), None)

    def test_suspension_doubles_and_ends(self) -> None:
        table = _table(1)
        table.suspend(UpstreamId("r1"), NOW)
        assert table.choose(SERVICE, None, ANY, NOW) == NoUpstream(1)
        later = NOW + MIN_SUSPENSION_S
        assert isinstance(table.choose(SERVICE, None, ANY, later), SendNow)
        table.suspend(UpstreamId("r1"), later)
        assert table.choose(SERVICE, None, ANY, later + MIN_SUSPENSION_S) == NoUpstream(1)
        for _ in range(9):
            later += MAX_SUSPENSION_S
            table.suspend(UpstreamId("r1"), later)
        assert isinstance(table.choose(SERVICE, None, ANY, later + MAX_SUSPENSION_S), SendNow)

    def test_a_stalled_upstream_gets_no_more_requests(self) -> None:
        """Guards against requests piling up at an unreachable upstream with open connections."""
        table = _table(1, 2)
        table.request_started(UpstreamId("r1"), NOW)
        for _ in range(5):
            choice = table.choose(SERVICE, None, ANY, NOW + STALL_TIMEOUT_S + 0.1)
            assert choice == SendNow(UpstreamId("r2"), None)

    def test_a_frozen_vm_gets_no_more_requests(self) -> None:
        """Guards against requests that a VM reads only after their clients have disconnected."""
        table = _table(1, 2)
        later = NOW + DEFAULT_GAP_S + OVERDUE_S + 0.05
        table.note_agent_message(UpstreamId("r2"), later)
        for _ in range(5):
            assert table.choose(SERVICE, None, ANY, later) == SendNow(UpstreamId("r2"), None)

    def test_requests_continue_with_all_agents_overdue(self) -> None:
        """Guards against refusals after a pause of the gateway, or while all agents are slow."""
        table = _table(1, 2)
        assert isinstance(
            table.choose(SERVICE, None, ANY, NOW + DEFAULT_GAP_S + OVERDUE_S + 0.05), SendNow
        )

    def test_a_vm_is_unreachable_once_agent_and_engine_are_silent(self) -> None:
        """Its requests then fail over without waiting for the silence limit."""
        table = _table(1, 2)
        later = NOW + DEFAULT_GAP_S + UNREACHABLE_S + 0.01
        table.note_agent_message(UpstreamId("r2"), later)
        assert table.is_unreachable(UpstreamId("r1"), later)
        assert not table.is_unreachable(UpstreamId("r2"), later)

    def test_a_vm_whose_agent_or_engine_sends_is_not_unreachable(self) -> None:
        """Covers a frozen agent with a working engine, and a long engine step beside its agent."""
        table = _table(1, 2, 3)
        later = NOW + DEFAULT_GAP_S + UNREACHABLE_S + 0.01
        table.note_agent_message(UpstreamId("r3"), later)
        table.note_received(UpstreamId("r1"), later - DEFAULT_GAP_S - OVERDUE_S)
        table.note_agent_message(UpstreamId("r2"), later - DEFAULT_GAP_S - OVERDUE_S)
        assert not table.is_unreachable(UpstreamId("r1"), later)
        assert not table.is_unreachable(UpstreamId("r2"), later)

    def test_no_vm_is_unreachable_if_all_are_silent(self) -> None:
        """Covers a pause of the gateway process and the loss of its own network."""
        assert not _table(1, 2).is_unreachable(
            UpstreamId("r1"), NOW + DEFAULT_GAP_S + UNREACHABLE_S + 0.01
        )

    def test_an_upstream_that_sends_bytes_is_not_stalled(self) -> None:
        table = _table(1)
        table.request_started(UpstreamId("r1"), NOW)
        table.note_received(UpstreamId("r1"), NOW + STALL_TIMEOUT_S)
        assert isinstance(table.choose(SERVICE, None, ANY, NOW + STALL_TIMEOUT_S + 0.1), SendNow)

    def test_failing_upstreams_get_fewer_requests(self) -> None:
        """Covers an upstream that fails some of its requests while its health check succeeds."""
        table = _table(1, 2)
        for _ in range(10):
            table.record_outcome(UpstreamId("r1"), failed=True, now=NOW)
            table.record_outcome(UpstreamId("r2"), failed=False, now=NOW)
        choices = [table.choose(SERVICE, None, ANY, NOW) for _ in range(20)]
        assert choices == [SendNow(UpstreamId("r2"), None)] * 20

    def test_a_failure_rate_decays(self) -> None:
        table = _table(1)
        for _ in range(10):
            table.record_outcome(UpstreamId("r1"), failed=True, now=NOW)
        assert table.views[UpstreamId("r1")].current_failure_rate(NOW + 60.0) < 0.01

    def test_an_agent_reports_a_draining_engine_before_the_registry(self) -> None:
        """Covers an engine that is drained at short notice."""
        table = _table(1, 2)
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}, is_draining=True), NOW)
        assert table.choose(SERVICE, None, ANY, NOW) == SendNow(UpstreamId("r2"), None)
        assert table.choose(SERVICE, adapter(7), ANY, NOW) == WaitFor(UpstreamId("r2"))

    def test_tried_upstreams_are_excluded(self) -> None:
        table = _table(1, 2)
        choice = table.choose(SERVICE, None, ANY, NOW, {UpstreamId("r1")})
        assert choice == SendNow(UpstreamId("r2"), None)


class TestLoad:
    """Estimates of the load of an upstream."""

    def test_own_requests_are_added_to_the_last_report(self) -> None:
        """Guards against an estimate that omits the requests sent after a delayed report."""
        table = _table(1)
        view = table.views[UpstreamId("r1")]
        table.request_started(UpstreamId("r1"), NOW)
        table.apply_update(UpstreamId("r1"), engine_update(running=5), NOW)
        table.request_started(UpstreamId("r1"), NOW)
        table.request_started(UpstreamId("r1"), NOW)
        assert view.load(NOW) == 7
        table.request_ended(UpstreamId("r1"))
        assert view.load(NOW) == 6

    def test_an_old_report_is_ignored(self) -> None:
        table = _table(1)
        table.apply_update(UpstreamId("r1"), engine_update(running=50), NOW)
        assert table.views[UpstreamId("r1")].load(NOW + 10.0) == 0

    def test_plain_services_report_their_load_in_responses(self) -> None:
        table = _table(1, linked=False)
        table.request_started(UpstreamId("r1"), NOW)
        table.report_load(upstream(1), ServerLoad(running=4, waiting=2, slots=8), NOW)
        table.request_ended(UpstreamId("r1"))
        assert table.views[UpstreamId("r1")].load(NOW) == 5


class TestReplicas:
    """Replicas of popular adapters, which would fill one upstream while restarted ones are idle."""

    def _table_with_holder(self, running: int) -> UpstreamTable:
        table = _table(1, 2, 3)
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}, running=running), NOW)
        return table

    def test_an_overloaded_holder_gets_a_replica(self) -> None:
        table = self._table_with_holder(40)
        assert table.choose_replica_upstream(SERVICE, adapter(7), UpstreamId("r1"), NOW) in {
            "r2",
            "r3",
        }

    def test_a_lightly_loaded_holder_gets_no_replica(self) -> None:
        table = self._table_with_holder(10)
        assert table.choose_replica_upstream(SERVICE, adapter(7), UpstreamId("r1"), NOW) is None

    def test_no_replica_without_enough_free_slots(self) -> None:
        """A replica must not displace adapters that other requests wait for."""
        table = self._table_with_holder(40)
        for name in ("r2", "r3"):
            table.apply_update(UpstreamId(name), engine_update(free_adapter_slots=1), NOW)
        assert table.choose_replica_upstream(SERVICE, adapter(7), UpstreamId("r1"), NOW) is None

    def test_one_replica_is_enough(self) -> None:
        table = self._table_with_holder(40)
        table.apply_update(UpstreamId("r2"), engine_update({7: 1}), NOW)
        assert table.choose_replica_upstream(SERVICE, adapter(7), UpstreamId("r1"), NOW) is None


class TestSeveralGateways:
    """Choices that depend on the requests of other gateways."""

    def test_an_adapter_waited_for_by_another_gateway_is_not_loaded_twice(self) -> None:
        """Guards against loads of one adapter on several upstreams while no slots are free.

        One load in six was for an adapter that was resident on another upstream.
        """
        table = _table(1, 2, 3)
        preferred = table.choose(SERVICE, adapter(901), ANY, NOW)
        assert isinstance(preferred, WaitFor)
        waiting = next(name for name in ("r1", "r2", "r3") if name != preferred.upstream_id)
        table.apply_update(UpstreamId(waiting), engine_update(free_adapter_slots=0, backlog=2), NOW)
        assert table.choose(SERVICE, adapter(901), ANY, NOW) == WaitFor(UpstreamId(waiting))


class TestEvenLoad:
    """Gateways that see the same reports at the same time must not all choose the same upstream."""

    def _table(self, gateways: int) -> UpstreamTable:
        table = _table(1, 2, 3)
        table.count_gateways = lambda: gateways
        for number, running in ((1, 3), (2, 4), (3, 40)):
            name = UpstreamId(f"r{number}")
            for _ in range(20):
                table.request_started(name, NOW)
                table.request_ended(name)
            table.apply_update(name, engine_update({7: 1}, running=running), NOW)
        return table

    def _chosen(self, table: UpstreamTable, target: ModelAdapter | None) -> Counter[str]:
        choices = [table.choose(SERVICE, target, ANY, NOW + 0.2) for _ in range(200)]
        return Counter(str(choice.upstream_id) for choice in choices if isinstance(choice, SendNow))

    @pytest.mark.parametrize("target", [adapter(7), None], ids=["holders", "plain"])
    def test_requests_are_spread_over_upstreams_that_others_fill_up(
        self, target: ModelAdapter | None
    ) -> None:
        chosen = self._chosen(self._table(gateways=30), target)
        assert chosen["r1"] > 50
        assert chosen["r2"] > 50

    @pytest.mark.parametrize("target", [adapter(7), None], ids=["holders", "plain"])
    def test_a_single_gateway_sends_to_the_least_loaded(self, target: ModelAdapter | None) -> None:
        """What is new acts only where several gateways choose."""
        assert self._chosen(self._table(gateways=1), target) == {"r1": 200}

    def test_requests_stay_in_their_data_centre_at_little_load(self) -> None:
        """Guards against charged traffic between data centres while all upstreams are idle."""
        table = UpstreamTable(DataCentre("dc-a"), random.Random(1))
        table.count_gateways = lambda: 30
        for number in range(1, 28):
            data_centre = DataCentre(f"dc-{'abc'[number % 3]}")
            table.put(dataclasses.replace(upstream(number), data_centre=data_centre))
            name = UpstreamId(f"r{number}")
            table.request_started(name, NOW)
            table.request_ended(name)
            table.apply_update(name, engine_update({7: 1}), NOW)
        chosen = self._chosen(table, None)
        assert sum(chosen[f"r{number}"] for number in range(3, 28, 3)) == 200

    def test_a_popular_adapter_raises_the_estimate_for_its_holders(self) -> None:
        """Guards against an estimate as if all upstreams got the requests for it."""
        table = _table(*range(1, 31))
        table.count_gateways = lambda: 30
        holders = [UpstreamId("r1"), UpstreamId("r2")]
        for _ in range(30):
            for name in holders:
                table.request_started(name, NOW)
                table.request_ended(name)
        for name in holders:
            table.apply_update(name, engine_update({7: 1}, running=3), NOW)
        choice = table.choose(SERVICE, adapter(7), ANY, NOW + 0.2)
        assert isinstance(choice, SendNow)
        assert choice.basis is not None
        # 30 requests in at least one half-life of 2 s at each holder, by each of 29 others.
        assert choice.basis.unreported > 29 * 2 * 2 * 0.2 * 10

    def test_gateways_without_requests_agree_on_the_place_of_a_replica(self) -> None:
        """Guards against a replica of the same adapter on several upstreams."""
        places = set()
        for seed in range(5):
            table = UpstreamTable(DataCentre("dc-a"), random.Random(seed))
            for number in range(1, 9):
                table.put(upstream(number))
                running = 40 if number == 1 else number % 3
                update = engine_update({7: 1} if number == 1 else {}, running=running)
                table.apply_update(UpstreamId(f"r{number}"), update, NOW)
            places.add(table.choose_replica_upstream(SERVICE, adapter(7), UpstreamId("r1"), NOW))
        assert len(places) == 1

    def test_the_unevenness_of_the_least_even_service_is_told(self) -> None:
        assert self._table(gateways=1).unevenness(NOW) == pytest.approx(3 * 40 / 47)
        assert _table(1, linked=False).unevenness(NOW) == 1.0


class TestUnequalUpstreams:
    """Upstreams that state how long work takes on their machine."""

    def _table(self, figures: dict[int, float | None], running: int = 0) -> UpstreamTable:
        table = _table(*figures)
        for second in range(20):
            for number, figure in figures.items():
                load = ServerLoad(running + 1, 0, 64, figure)
                table.report_load(upstream(number), load, NOW - 20.0 + second)
        for number in figures:
            update = engine_update({7: 1}, running=running)
            table.apply_update(UpstreamId(f"r{number}"), update, NOW)
        return table

    def _chosen(self, table: UpstreamTable) -> Counter[str]:
        choices = [table.choose(SERVICE, adapter(7), ANY, NOW + 0.3) for _ in range(300)]
        return Counter(str(choice.upstream_id) for choice in choices if isinstance(choice, SendNow))

    def test_the_faster_of_equally_loaded_holders_gets_the_request(self) -> None:
        assert self._chosen(self._table({1: 1.2, 2: 0.55}, running=10)) == {"r2": 300}
        assert self._chosen(self._table({1: 1.2, 2: 0.55})) == {"r2": 300}

    def test_a_slower_upstream_gets_what_it_does_as_soon(self) -> None:
        """Guards against a fast upstream that is overrun while slow ones idle."""
        table = self._table({1: 1.2, 2: 0.55})
        table.apply_update(UpstreamId("r2"), engine_update({7: 1}, running=50), NOW)
        assert self._chosen(table) == {"r1": 300}

    def test_not_all_gateways_leave_a_slow_upstream_together(self) -> None:
        table = self._table({1: 1.2, 2: 0.55}, running=10)
        table.count_gateways = lambda: 30
        for _ in range(300):
            table.request_started(UpstreamId("r1"), NOW)
            table.request_ended(UpstreamId("r1"))
        chosen = self._chosen(table)
        assert chosen["r1"] > 30
        assert chosen["r2"] > chosen["r1"]

    def test_without_figures_nothing_changes(self) -> None:
        chosen = self._chosen(self._table({1: None, 2: None}))
        assert min(chosen["r1"], chosen["r2"]) > 100
        candidate_speeds = {
            view.slowness.now(NOW) for view in self._table({1: None}).views.values()
        }
        assert candidate_speeds == {1.0}

    def test_counts_without_a_figure_leave_those_of_the_agent(self) -> None:
        """Guards against another choice where engines state nothing new."""
        table = _table(1)
        table.apply_update(UpstreamId("r1"), engine_update(running=20), NOW)
        table.report_load(upstream(1), ServerLoad(5, 0, 64), NOW + 0.1)
        view = table.views[UpstreamId("r1")]
        assert (view.load(NOW + 0.1), view.reported_at) == (20, NOW)
        table.report_load(upstream(1), ServerLoad(5, 0, 64, 1.0), NOW + 0.1)
        assert (view.load(NOW + 0.1), view.reported_at) == (4, NOW + 0.1)

    def test_a_newer_load_that_another_gateway_heard_of_counts(self) -> None:
        """Guards against choices by a gateway's own answers only, which are rare."""
        table = _table(1, linked=False)
        view = table.views[UpstreamId("r1")]
        table.report_load(upstream(1), ServerLoad(5, 0, 8, 1.0), NOW)
        table.apply_shared_load(LoadRow("r1@1", 7, 2.0, 0.1), NOW + 0.5)
        assert view.load(NOW + 0.5) == 7
        assert view.report_age_ms(NOW + 0.5) == 100
        table.apply_shared_load(LoadRow("r1@1", 1, 9.0, 0.3), NOW + 0.5)
        table.apply_shared_load(LoadRow("r1@2", 1, 9.0, 0.0), NOW + 0.5)
        assert view.load(NOW + 0.5) == 7
        assert view.slowness.now(NOW + 0.4) == pytest.approx(2.0)

    def test_a_figure_of_another_incarnation_says_nothing(self) -> None:
        table = _table(1)
        load = ServerLoad(50, 3, 64, 9.0)
        table.report_load(upstream(1, start_time_ms=2), load, NOW)
        view = table.views[UpstreamId("r1")]
        assert view.slowness.rounded(NOW) is None
        assert view.load(NOW) == 0
        table.report_load(upstream(1), load, NOW)
        table.put(upstream(1, start_time_ms=2))
        assert table.views[UpstreamId("r1")].slowness.rounded(NOW) is None

    def test_a_place_at_a_slow_upstream_is_worth_less(self) -> None:
        """The adapter slots of a slower upstream become free later."""
        table = _table(1, 2)
        preferred = table.choose(SERVICE, adapter(7), ANY, NOW)
        assert isinstance(preferred, WaitFor)
        for name in ("r1", "r2"):
            update = engine_update(free_adapter_slots=0, backlog=2)
            table.apply_update(UpstreamId(name), update, NOW)
        assert table.choose(SERVICE, adapter(7), ANY, NOW) == preferred
        slow = upstream(int(preferred.upstream_id[1:]))
        for second in range(20):
            table.report_load(slow, ServerLoad(1, 0, 64, 6.0), NOW - 20.0 + second)
        choice = table.choose(SERVICE, adapter(7), ANY, NOW)
        assert isinstance(choice, WaitFor)
        assert choice != preferred

    def test_a_slow_holder_gets_a_replica_sooner_and_a_slow_upstream_none(self) -> None:
        for figure, other, is_expected in ((1.0, 1.0, False), (2.5, 1.0, True), (2.5, 4.0, False)):
            table = self._table({1: figure, 2: other})
            table.apply_update(UpstreamId("r1"), engine_update({7: 1}, running=14), NOW)
            table.apply_update(UpstreamId("r2"), engine_update(running=6), NOW)
            place = table.choose_replica_upstream(SERVICE, adapter(7), UpstreamId("r1"), NOW)
            assert (place == "r2") == is_expected

    def test_a_faster_upstream_is_the_home_of_more_adapters(self) -> None:
        """Its adapter slots are free again sooner; all gateways must agree on the home."""
        homes = []
        for seed in (1, 2):
            rng = random.Random(seed)
            table = _table(1, 2, 3, 4)
            for second in range(60):
                for number, figure in ((1, 0.55), (2, 1.2), (3, 1.2), (4, 1.2)):
                    moment = figure * (2.5 if rng.random() < 0.15 else 1.0)
                    load = ServerLoad(1, 0, 64, moment)
                    table.report_load(upstream(number), load, NOW - 60.0 + second)
            for name in table.views:
                table.apply_update(name, engine_update(), NOW)
            choices = [table.choose(SERVICE, adapter(n), ANY, NOW) for n in range(400)]
            homes.append([choice.upstream_id for choice in choices if isinstance(choice, WaitFor)])
        agreed = sum(first == second for first, second in zip(*homes, strict=True))
        assert agreed >= 360
        assert homes[0].count(UpstreamId("r1")) > 1.4 * homes[0].count(UpstreamId("r2"))


class TestMemory:
    """An engine that holds more than its memory crashes with all its requests."""

    def _table(self, used: int, total: int = 1000, slowness: float | None = 1.0) -> UpstreamTable:
        table = _table(1, 2)
        table.report_load(upstream(2), ServerLoad(1, 0, 64, slowness), NOW)
        for name, held in (("r1", used), ("r2", 0)):
            update = engine_update({7: 1} if name == "r1" else {})
            table.apply_update(UpstreamId(name), update, NOW)
            beat = AgentHeartbeat(1.0, 3, 0, memory=MemoryReport(held, total))
            table.apply_heartbeat(UpstreamId(name), beat, NOW)
        return table

    def test_a_request_goes_where_it_fits(self) -> None:
        table = self._table(used=700)
        sent = SendNow(UpstreamId("r1"), Version(1))
        assert table.choose(SERVICE, adapter(7), ANY, NOW, tokens=200) == sent
        elsewhere = WaitFor(UpstreamId("r2"))
        assert table.choose(SERVICE, adapter(7), ANY, NOW, tokens=201) == elsewhere

    def test_own_requests_since_the_report_count(self) -> None:
        table = self._table(used=700)
        table.request_started(UpstreamId("r1"), NOW, 150)
        assert isinstance(table.choose(SERVICE, adapter(7), ANY, NOW, tokens=51), WaitFor)
        table.request_ended(UpstreamId("r1"), 150)
        assert isinstance(table.choose(SERVICE, adapter(7), ANY, NOW, tokens=51), SendNow)

    def test_requests_of_other_gateways_since_the_report_count(self) -> None:
        """Guards against a burst that each gateway alone takes for small enough."""
        table = self._table(used=700)
        for _ in range(10):
            table.request_started(UpstreamId("r1"), NOW, 50)
            table.request_ended(UpstreamId("r1"), 50)
        assert isinstance(table.choose(SERVICE, adapter(7), ANY, NOW + 0.1, tokens=50), SendNow)
        table.count_gateways = lambda: 30
        choice = table.choose(SERVICE, adapter(7), ANY, NOW + 0.1, tokens=50)
        assert choice != SendNow(UpstreamId("r1"), Version(1))

    def test_a_request_that_fits_nowhere_is_told_apart(self) -> None:
        table = self._table(used=0)
        choice = table.choose(SERVICE, adapter(7), ANY, NOW, tokens=5000)
        assert choice == NoUpstream(2, is_memory_full=True)

    def test_a_full_service_is_searched_once_for_all_that_wait(self) -> None:
        """Guards against work for each waiting request that grows with the upstreams."""
        table = self._table(used=900)
        report = AgentHeartbeat(1.0, 3, 0, memory=MemoryReport(900, 1000))
        table.apply_heartbeat(UpstreamId("r2"), report, NOW)
        full = NoUpstream(2, is_memory_full=True)
        assert table.choose(SERVICE, adapter(7), ANY, NOW, tokens=100) == full
        emptied = AgentHeartbeat(1.0, 3, 0, memory=MemoryReport(0, 1000))
        table.apply_heartbeat(UpstreamId("r1"), emptied, NOW)
        sent = SendNow(UpstreamId("r1"), Version(1))
        assert table.choose(SERVICE, adapter(8), ANY, NOW + 0.01, tokens=100) == full
        assert table.choose(SERVICE, adapter(7), ANY, NOW + 0.01, tokens=99) == sent
        assert table.choose(SERVICE, adapter(7), ANY, NOW + 0.02, tokens=100) == sent

    def test_an_absurd_size_counts_only_for_its_own_request(self) -> None:
        """Guards against one client that has a gateway refuse everybody's requests for long."""
        table = _table(1, 2)
        table.report_load(upstream(2), ServerLoad(1, 0, 64, 1.0), NOW)
        for _ in range(20):
            table.request_started(UpstreamId("r1"), NOW, 50)
            table.request_ended(UpstreamId("r1"), 50)
        table.request_started(UpstreamId("r1"), NOW, 10**8)
        table.request_ended(UpstreamId("r1"), 10**8)
        table.count_gateways = lambda: 30
        beat = AgentHeartbeat(1.0, 3, 1, memory=MemoryReport(150, 100_000))
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}), NOW)
        table.apply_heartbeat(UpstreamId("r1"), beat, NOW)
        choice = table.choose(SERVICE, adapter(7), ANY, NOW + 0.05, tokens=50)
        assert choice == SendNow(UpstreamId("r1"), Version(1))

    def test_engines_that_state_no_slowness_take_any_request(self) -> None:
        """Guards against refusals by engines that make room for a request themselves."""
        table = self._table(used=990, slowness=None)
        choice = table.choose(SERVICE, adapter(7), ANY, NOW, tokens=5000)
        assert choice == SendNow(UpstreamId("r1"), Version(1))

    def test_engines_that_state_no_memory_take_any_request(self) -> None:
        table = _table(1)
        table.apply_update(UpstreamId("r1"), engine_update({7: 1}), NOW)
        table.report_load(upstream(1), ServerLoad(1, 0, 64, 1.0), NOW)
        choice = table.choose(SERVICE, adapter(7), ANY, NOW, tokens=10**9)
        assert choice == SendNow(UpstreamId("r1"), Version(1))


class TestLimits:
    """Guards against requests beyond a limit, and adapters on upstreams that can't use them."""

    def test_upstreams_without_a_permit_get_no_requests(self) -> None:
        table = _table(1, 2)
        table.views[UpstreamId("r1")].no_permit_until = NOW + 1.0
        assert table.choose(SERVICE, None, ANY, NOW) == SendNow(UpstreamId("r2"), None)
        table.views[UpstreamId("r2")].no_permit_until = NOW + 0.5
        assert table.choose(SERVICE, None, ANY, NOW) == NoUpstream(2, free_at=NOW + 0.5)

    def test_a_failed_upstream_is_not_waited_for_as_a_limited_one(self) -> None:
        table = _table(1)
        table.views[UpstreamId("r1")].no_permit_until = NOW + 0.2
        table.suspend(UpstreamId("r1"), NOW)
        assert table.choose(SERVICE, None, ANY, NOW) == NoUpstream(1)

    def test_adapters_are_loaded_on_upstreams_without_a_limit(self) -> None:
        table = _table(1, 2, 3)
        preferred = table.choose(SERVICE, adapter(7), ANY, NOW)
        assert isinstance(preferred, WaitFor)
        view = table.views[preferred.upstream_id]
        view.limit_per_s, view.limit_stated_at = 4.0, NOW
        choice = table.choose(SERVICE, adapter(7), ANY, NOW)
        assert isinstance(choice, WaitFor)
        assert choice != preferred

    def test_adapters_are_loaded_if_all_upstreams_are_limited(self) -> None:
        table = _table(1, 2)
        for view in table.views.values():
            view.limit_per_s, view.limit_stated_at = 4.0, NOW
        assert isinstance(table.choose(SERVICE, adapter(7), ANY, NOW), WaitFor)


class TestReturn:
    """Guards against a herd at an upstream that takes requests again, as it is idle then."""

    def test_its_share_returns_little_by_little(self) -> None:
        table = _table(1, 2, linked=False)
        table.views[UpstreamId("r2")].in_flight = 32
        gate = table.views[UpstreamId("r1")].gate
        gate.turn_away(1.0, NOW)
        free_at = gate.free_at(NOW)
        assert free_at is not None
        times = [NOW, free_at, free_at + 0.3 * RETURN_S, free_at + 0.7 * RETURN_S]
        choices = [table.choose(SERVICE, None, ANY, now) for now in times]
        ids = [choice.upstream_id for choice in choices if isinstance(choice, SendNow)]
        assert ids == ["r2", "r2", "r2", "r1"]

    def test_the_only_upstream_is_used_at_once(self) -> None:
        table = _table(1, linked=False)
        gate = table.views[UpstreamId("r1")].gate
        gate.turn_away(1.0, NOW)
        free_at = gate.free_at(NOW)
        assert free_at is not None
        lack = table.choose(SERVICE, None, ANY, NOW)
        assert lack == NoUpstream(1, free_at=free_at, is_turned_away=True)
        assert isinstance(table.choose(SERVICE, None, ANY, free_at), SendNow)


class TestLargeService:
    """Guards against a choice whose cost grows with the service, or that misses what is free."""

    def test_a_choice_looks_at_few_of_many_upstreams(self, monkeypatch: pytest.MonkeyPatch) -> None:
        looks: list[float] = []
        is_available = UpstreamView.is_available
        monkeypatch.setattr(
            UpstreamView,
            "is_available",
            lambda view, now: looks.append(now) or is_available(view, now),
        )
        table = _table(*range(200), linked=False)
        assert isinstance(table.choose(SERVICE, None, ANY, NOW), SendNow)
        assert len(looks) <= MAX_DRAWN

    def test_the_only_one_that_is_left_is_found(self) -> None:
        table = _table(*range(200), linked=False)
        for number in range(199):
            table.gates.note_leaving(upstream(number))
        for _ in range(20):
            assert table.choose(SERVICE, None, ANY, NOW) == SendNow(UpstreamId("r199"), None)

    def test_the_load_is_spread_evenly(self) -> None:
        table = _table(*range(200), linked=False)
        for _ in range(10 * 200):
            choice = table.choose(SERVICE, None, ANY, NOW)
            assert isinstance(choice, SendNow)
            table.request_started(choice.upstream_id, NOW)
        counts = [view.in_flight for view in table.views.values()]
        assert max(counts) - min(counts) <= 3
