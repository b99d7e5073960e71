"""Tests of the upstream table."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dragonflyhold.config.objects import Upstream
from dragonflyhold.errors import ErrorCode
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    DataCentre,
    Incarnation,
    ServiceName,
    UpstreamName,
    Version,
)
from dragonflyhold.routing import LoadSnapshot, UpstreamTable
from dragonflyhold.routing.table import LEAVING_GUARD_S
from dragonflyhold.settings.model import RoutingSettings
from dragonflyhold.states import UpstreamMode, UpstreamState

SERVICE = ServiceName("s")
KEY = AdapterKey(SERVICE, AdapterName("a"), Version(1))
SETTINGS = RoutingSettings()
NAMES = [UpstreamName(f"u{n}") for n in range(3)]
INCARNATIONS = [Incarnation(str(n) * 16) for n in range(2)]

names = st.sampled_from(NAMES)


def make_upstream(name: str, mode: UpstreamMode = UpstreamMode.ACTIVE) -> Upstream:
    return Upstream(
        name=UpstreamName(name),
        service=SERVICE,
        data_centre=DataCentre("dc"),
        sidecar_address="127.0.0.1:1",
        mode=mode,
    )


def make_load(in_flight: int = 0, *resident: AdapterKey) -> LoadSnapshot:
    return LoadSnapshot(in_flight, 0, 32, 8, resident)


class _UpstreamModel:
    """Reference model of one upstream: its availability and the requests of this entry."""

    def __init__(self) -> None:
        self.incarnation: Incarnation | None = None
        self.reported_state = UpstreamState.ACTIVE
        self.refused_at: float | None = None
        self.is_down = False
        self.own_requests = 0

    @property
    def accepts_work(self) -> bool:
        return (
            self.reported_state is UpstreamState.ACTIVE
            and self.refused_at is None
            and not self.is_down
        )


class UpstreamTableMachine(RuleBasedStateMachine):
    """Compares the table with a reference model for arbitrary sequences of calls."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = UpstreamTable(SETTINGS)
        self.table.sync([make_upstream(name) for name in NAMES], self.now)
        self.models = {name: _UpstreamModel() for name in NAMES}
        # Requests sent to upstreams that were removed; their ends are not simulated.
        self.own_requests_of_removed = 0

    @rule(seconds=st.floats(0.0, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(name=names)
    def send(self, name: UpstreamName) -> None:
        self.table.record_sent(name, KEY, self.now)
        self.models[name].own_requests += 1

    @rule(name=names)
    def end(self, name: UpstreamName) -> None:
        if self.models[name].own_requests:
            self.table.record_ended(name, KEY, self.now)
            self.models[name].own_requests -= 1

    @rule(
        name=names,
        incarnation=st.sampled_from(INCARNATIONS),
        state=st.sampled_from([UpstreamState.ACTIVE, UpstreamState.LEAVING]),
        in_flight=st.integers(0, 40),
    )
    def report(
        self, name: UpstreamName, incarnation: Incarnation, state: UpstreamState, in_flight: int
    ) -> None:
        model = self.models[name]
        is_new = incarnation != model.incarnation
        is_late = model.refused_at is not None and self.now < model.refused_at + LEAVING_GUARD_S
        if is_new or not is_late:
            model.refused_at = None
        model.incarnation = incarnation
        model.reported_state = state
        model.is_down = False
        self.table.record_report(name, incarnation, state, make_load(in_flight, KEY), self.now)

    @rule(name=names, version=st.integers(1, 30))
    def record_residency(self, name: UpstreamName, version: int) -> None:
        self.table.record_residency(name, KEY._replace(version=Version(version)), self.now)

    @rule(kept=st.sets(names, min_size=1))
    def remove_and_restore_upstreams(self, kept: set[UpstreamName]) -> None:
        self.table.sync([make_upstream(name) for name in sorted(kept)], self.now)
        self.table.sync([make_upstream(name) for name in NAMES], self.now)
        for name in set(NAMES) - kept:
            self.own_requests_of_removed += self.models[name].own_requests
            self.models[name] = _UpstreamModel()

    @rule(name=names)
    def refuse_with_leaving(self, name: UpstreamName) -> None:
        self.models[name].refused_at = self.now
        self.table.record_refusal(name, ErrorCode.UPSTREAM_LEAVING, self.now)

    @rule(name=names)
    def record_down(self, name: UpstreamName) -> None:
        self.models[name].is_down = True
        self.table.record_down(name, self.now)

    @rule(name=names)
    def record_up(self, name: UpstreamName) -> None:
        self.models[name].is_down = False
        self.table.record_up(name, self.now)

    @invariant()
    def usable_upstreams_are_those_that_accept_work(self) -> None:
        for row in self.table.rows(SERVICE):
            assert row.is_usable() == self.models[row.config.name].accepts_work

    @invariant()
    def load_is_never_below_own_requests(self) -> None:
        for row in self.table.rows(SERVICE):
            model = self.models[row.config.name]
            assert row.own_requests == model.own_requests
            assert row.load(self.now) >= model.own_requests >= 0
        total = sum(model.own_requests for model in self.models.values())
        assert self.table.own_load(KEY) == total + self.own_requests_of_removed

    @invariant()
    def holders_are_the_upstreams_with_the_adapter(self) -> None:
        rows = self.table.rows(SERVICE)
        for key in {key for row in rows for key in row.resident} | {KEY}:
            holders = self.table.holders(key)
            assert sorted(row.config.name for row in holders) == sorted(
                row.config.name for row in rows if key in row.resident
            )


class TestUpstreamTableStates(UpstreamTableMachine.TestCase):  # type: ignore[misc]
    """Guards against requests to a leaving upstream and against negative load."""

    settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)


class TestUpstreamTable:
    """Guards against decisions on outdated state of upstreams."""

    def _make_table(self) -> UpstreamTable:
        table = UpstreamTable(SETTINGS)
        table.sync([make_upstream(name) for name in NAMES], 0.0)
        return table

    def test_load_includes_requests_sent_since_the_report(self) -> None:
        table = self._make_table()
        table.record_sent(NAMES[0], KEY, 1.0)
        table.record_report(NAMES[0], INCARNATIONS[0], UpstreamState.ACTIVE, make_load(10), 2.0)
        table.record_sent(NAMES[0], KEY, 2.1)
        table.record_sent(NAMES[0], KEY, 2.2)
        table.record_ended(NAMES[0], KEY, 2.3)
        row = table.row(NAMES[0])
        assert row is not None
        assert row.load(2.4) == 11

    def test_queued_requests_count_only_if_the_batch_is_full(self) -> None:
        table = self._make_table()
        row = table.row(NAMES[0])
        assert row is not None
        waiting = LoadSnapshot(5, 40, 32, 8, ())
        table.record_report(NAMES[0], INCARNATIONS[0], UpstreamState.ACTIVE, waiting, 2.0)
        assert row.load(2.1) == 5
        full = LoadSnapshot(30, 40, 32, 8, ())
        table.record_report(NAMES[0], INCARNATIONS[0], UpstreamState.ACTIVE, full, 3.0)
        assert row.load(3.1) == 70

    def test_old_report_expires(self) -> None:
        table = self._make_table()
        table.record_report(NAMES[0], INCARNATIONS[0], UpstreamState.ACTIVE, make_load(30), 2.0)
        row = table.row(NAMES[0])
        assert row is not None
        assert row.load(60.0) == 0

    def test_residency_ends_with_the_incarnation(self) -> None:
        table = self._make_table()
        table.record_report(NAMES[0], INCARNATIONS[0], UpstreamState.ACTIVE, make_load(0, KEY), 2.0)
        row = table.row(NAMES[0])
        assert row is not None
        assert row.has_resident(KEY, 2.1)
        table.record_report(NAMES[0], INCARNATIONS[1], UpstreamState.ACTIVE, make_load(0), 2.2)
        assert not row.has_resident(KEY, 2.3)

    def test_recorded_residency_expires_and_is_bounded(self) -> None:
        table = self._make_table()
        keys = [KEY._replace(version=Version(n)) for n in range(100)]
        for number, key in enumerate(keys):
            table.record_residency(NAMES[0], key, float(number))
        row = table.row(NAMES[0])
        assert row is not None
        assert len(row.resident) <= 16
        assert row.has_resident(keys[-1], 100.0)
        assert not row.has_resident(keys[-1], 99.0 + SETTINGS.residency_ttl_s)

    def test_full_upstream_is_excluded_temporarily(self) -> None:
        table = self._make_table()
        table.record_refusal(NAMES[0], ErrorCode.QUEUE_FULL, 5.0)
        row = table.row(NAMES[0])
        assert row is not None
        assert row.is_excluded(5.5)
        assert not row.is_excluded(5.0 + SETTINGS.exclude_s)

    def test_limit_of_one_caller_does_not_exclude_the_upstream(self) -> None:
        table = self._make_table()
        table.record_refusal(NAMES[0], ErrorCode.CALLER_LIMIT, 5.0)
        row = table.row(NAMES[0])
        assert row is not None
        assert not row.is_excluded(5.1)

    def test_drained_upstream_is_usable_after_reactivation(self) -> None:
        table = self._make_table()
        table.sync([make_upstream(name, UpstreamMode.DRAINING) for name in NAMES], 1.0)
        table.record_refusal(NAMES[0], ErrorCode.UPSTREAM_LEAVING, 1.1)
        table.sync([make_upstream(name) for name in NAMES], 1.5)
        row = table.row(NAMES[0])
        assert row is not None
        assert row.is_usable()

    def test_removed_upstream_is_not_listed_and_later_ends_are_ignored(self) -> None:
        table = self._make_table()
        table.record_sent(NAMES[0], KEY, 1.0)
        table.sync([make_upstream(name) for name in NAMES[1:]], 2.0)
        table.record_ended(NAMES[0], KEY, 3.0)
        assert [row.config.name for row in table.rows(SERVICE)] == NAMES[1:]
        assert table.own_load(KEY) == 0
