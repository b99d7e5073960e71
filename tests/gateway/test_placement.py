"""Tests of the commands that an agent plans for its engine."""

from collections.abc import Sequence

from dragonflyhold.gateway.messages import AdapterDemand
from dragonflyhold.gateway.model import AdapterCommand, CommandKind, EngineReport
from dragonflyhold.gateway.placement import (
    LATE_UTILITY_SHARE,
    MAX_CONCURRENT_LOADS,
    EngineView,
    TimedDemand,
    plan_commands,
    sum_demands,
)
from dragonflyhold.ids import Version
from tests.gateway.builders import adapter, demand, report

NOW = 100.0


def _view(
    engine: EngineReport,
    demands: Sequence[AdapterDemand] = (),
    *,
    slots: int = 4,
    versions: dict[int, int] | None = None,
    frequency: dict[int, float] | None = None,
) -> EngineView:
    timed = {item.key: TimedDemand(item, NOW + item.slack_s) for item in demands}
    return EngineView(
        report=engine,
        slots=slots,
        demands=sum_demands([timed], NOW),
        versions={adapter(n): Version(v) for n, v in (versions or {}).items()},
        frequency={adapter(n): value for n, value in (frequency or {}).items()},
        unloading=frozenset(),
    )


def _running(*numbers: int) -> list[AdapterDemand]:
    return [demand(number, running=1) for number in numbers]


def _describe(commands: Sequence[AdapterCommand]) -> list[str]:
    return [f"{command.kind.value} {command.adapter}" for command in commands]


class TestLoads:
    """Loads into free slots."""

    def test_waiting_adapters_take_the_free_slots(self) -> None:
        view = _view(report({1: 1}), [demand(2, waiting=1), demand(3, waiting=2)])
        assert _describe(plan_commands(view)) == ["load a3", "load a2"]

    def test_concurrent_loads_are_limited(self) -> None:
        """The engine refuses a fifth concurrent load, which delays the others."""
        view = _view(report(loading={9: 1}), [demand(n, waiting=1) for n in range(1, 8)], slots=17)
        assert len(plan_commands(view)) == MAX_CONCURRENT_LOADS - 1

    def test_loading_adapters_occupy_slots(self) -> None:
        """One load too many crashes the engine."""
        view = _view(
            report({1: 1, 2: 1}, {3: 1, 4: 1}),
            [demand(5, waiting=1), *_running(1, 2)],
        )
        assert plan_commands(view) == []

    def test_a_loading_adapter_is_not_loaded_again(self) -> None:
        view = _view(report(loading={5: 1}), [demand(5, waiting=3)])
        assert plan_commands(view) == []

    def test_the_newest_version_is_loaded(self) -> None:
        view = _view(report(), [demand(5, waiting=1, version=2)], versions={5: 3})
        assert plan_commands(view) == [
            AdapterCommand(CommandKind.LOAD, adapter(5).model, adapter(5).adapter, Version(3))
        ]

    def test_a_newer_version_from_a_gateway_is_loaded(self) -> None:
        """Covers an agent that cannot reach the store and gets new versions only from gateways."""
        view = _view(report(), [demand(5, waiting=1, version=4)], versions={5: 3})
        assert plan_commands(view)[0].version == 4


class TestEvictions:
    """Choice of the adapter to evict."""

    def test_the_least_frequent_idle_adapter_is_evicted(self) -> None:
        view = _view(
            report({1: 1, 2: 1, 3: 1, 4: 1}),
            [demand(5, waiting=1), demand(4, running=1)],
            frequency={1: 5.0, 2: 0.5, 3: 3.0},
        )
        assert _describe(plan_commands(view)) == ["unload a2", "load a5"]

    def test_an_adapter_with_running_requests_is_never_evicted(self) -> None:
        view = _view(
            report({1: 1, 2: 1, 3: 1, 4: 1}),
            [demand(5, waiting=9), *(demand(n, running=1) for n in range(1, 5))],
        )
        assert plan_commands(view) == []

    def test_an_adapter_with_waiting_requests_is_not_evicted(self) -> None:
        """Between its load and its first request it has no running requests and a low frequency."""
        view = _view(
            report({1: 1, 2: 1, 3: 1, 4: 1}),
            [
                demand(5, waiting=9),
                demand(1, waiting=1),
                *_running(2, 3, 4),
            ],
        )
        assert plan_commands(view) == []


class TestScarceSlots:
    """Demand for many rare adapters at once, more than there are slots."""

    def test_the_load_with_the_most_utility_comes_first(self) -> None:
        view = _view(report(), [demand(n, waiting=1) for n in range(1, 9)] + [demand(9, waiting=5)])
        assert _describe(plan_commands(view))[0] == "load a9"

    def test_requests_in_time_come_before_late_ones(self) -> None:
        """Guards against loads for late requests that delay requests still in time."""
        late = demand(1, waiting=2, slack_s=0.1)
        fresh = demand(2, waiting=1, slack_s=0.4)
        view = _view(report({3: 1, 4: 1, 5: 1}), [late, fresh, *_running(3, 4, 5)])
        assert _describe(plan_commands(view)) == ["load a2"]

    def test_late_requests_are_served_while_slots_are_free(self) -> None:
        view = _view(report(), [demand(1, waiting=1, slack_s=0.0)])
        assert _describe(plan_commands(view)) == ["load a1"]

    def test_the_utility_of_late_demand_is_reduced(self) -> None:
        timed = {adapter(1): TimedDemand(demand(1, waiting=1, utility=2.0), NOW)}
        assert sum_demands([timed], NOW)[adapter(1)].utility == 2.0 * LATE_UTILITY_SHARE


class TestNewVersions:
    """Replacement of outdated adapters."""

    def test_an_adapter_with_running_requests_is_not_replaced(self) -> None:
        """The command would wait for them, and all others would get 409 until they end."""
        view = _view(
            report({1: 1}), [demand(1, running=1, waiting=1)], versions={1: 2}, frequency={1: 9.0}
        )
        assert plan_commands(view) == []

    def test_an_idle_adapter_with_waiting_requests_is_replaced(self) -> None:
        view = _view(report({1: 1, 2: 1, 3: 1, 4: 1}), [demand(1, waiting=1)], versions={1: 2})
        assert plan_commands(view)[0] == AdapterCommand(
            CommandKind.LOAD, adapter(1).model, adapter(1).adapter, Version(2)
        )

    def test_a_popular_idle_adapter_is_replaced_before_its_next_request(self) -> None:
        view = _view(report({1: 1}), versions={1: 2}, frequency={1: 2.0})
        assert _describe(plan_commands(view)) == ["load a1"]

    def test_a_rarely_used_outdated_adapter_is_evicted(self) -> None:
        view = _view(report({1: 1}), versions={1: 2}, frequency={1: 0.1})
        assert _describe(plan_commands(view)) == ["unload a1"]

    def test_an_outdated_idle_adapter_is_evicted_first(self) -> None:
        view = _view(
            report({1: 1, 2: 1, 3: 1, 4: 1}),
            [demand(5, waiting=1)],
            versions={1: 2},
            frequency={1: 9.0, 2: 0.1, 3: 0.1, 4: 0.1},
        )
        assert _describe(plan_commands(view))[0] == "unload a1"


class TestSumOfDemands:
    """Addition of the demands of several gateways."""

    def test_demands_of_gateways_are_added_up(self) -> None:
        first = {adapter(1): TimedDemand(demand(1, waiting=1, running=2, version=1), NOW + 9)}
        second = {adapter(1): TimedDemand(demand(1, waiting=3, running=1, version=2), NOW + 9)}
        total = sum_demands([first, second], NOW)[adapter(1)]
        assert (total.waiting, total.running, total.version, total.utility) == (4, 3, 2, 4.0)
