"""Tests of the load broker."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dragonflyhold.adapters import LoadBroker, LoadRequest, LocalLoadShare, choose_broker
from dragonflyhold.adapters.broker import MAX_RETRY_S
from dragonflyhold.ids import Incarnation, UpstreamName
from dragonflyhold.settings.model import LoadBudgetSettings

BUDGET = LoadBudgetSettings(loads_per_s=4.0, burst=3, max_in_transit=5, grant_ttl_s=5.0)
INCARNATION = Incarnation("0" * 16)
NAMES = [UpstreamName(f"u{n}") for n in range(4)]

names = st.sampled_from(NAMES)


class LoadBrokerMachine(RuleBasedStateMachine):
    """Checks the grants of a broker against its rate and its limit of loads in progress."""

    def __init__(self) -> None:
        super().__init__()
        self.broker = LoadBroker(BUDGET)
        self.now = 50.0
        self.number = 0
        # Unreleased grants with their expiry times, and the times of all grants.
        self.unreleased: dict[tuple[UpstreamName, int], float] = {}
        self.granted_at: list[float] = []

    @rule(name=names, utilities=st.lists(st.floats(0.1, 10.0), min_size=1, max_size=4))
    def acquire(self, name: UpstreamName, utilities: list[float]) -> None:
        load_requests = []
        for utility in utilities:
            self.number += 1
            load_requests.append(LoadRequest(self.number, f"a{self.number}", utility))
        grant = self.broker.acquire(name, INCARNATION, load_requests, self.now)
        assert set(grant.granted) <= {load_request.number for load_request in load_requests}
        assert 0 <= grant.retry_after_s <= MAX_RETRY_S
        self._record_grants(name, grant.granted)

    @rule(name=names, data=st.data())
    def repeat_granted_load_request(self, name: UpstreamName, data: st.DataObject) -> None:
        numbers = [number for requester, number in self._unexpired() if requester == name]
        if not numbers:
            return
        number = data.draw(st.sampled_from(numbers))
        grant = self.broker.acquire(
            name, INCARNATION, [LoadRequest(number, "again", 1.0)], self.now
        )
        assert grant.granted == (number,)

    @rule(name=names)
    def release_all(self, name: UpstreamName) -> None:
        numbers = [number for requester, number in self.unreleased if requester == name]
        self.broker.release(name, INCARNATION, numbers, self.now)
        self.unreleased = {key: expiry for key, expiry in self.unreleased.items() if key[0] != name}

    @rule(seconds=st.floats(0.0, 7.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def loads_in_progress_never_exceed_the_limit(self) -> None:
        assert len(self._unexpired()) <= BUDGET.max_in_transit

    @invariant()
    def grants_never_exceed_the_rate(self) -> None:
        for first, start in enumerate(self.granted_at):
            for last in range(first, len(self.granted_at)):
                span = self.granted_at[last] - start
                allowed = BUDGET.burst + BUDGET.loads_per_s * span
                assert last - first + 1 <= allowed + 1e-6

    def _unexpired(self) -> list[tuple[UpstreamName, int]]:
        return [key for key, expiry in self.unreleased.items() if expiry > self.now]

    def _record_grants(self, name: UpstreamName, granted: tuple[int, ...]) -> None:
        for number in granted:
            self.unreleased[(name, number)] = self.now + BUDGET.grant_ttl_s
            self.granted_at.append(self.now)


class TestLoadBrokerLimits(LoadBrokerMachine.TestCase):  # type: ignore[misc]
    """Guards against a broker that overloads the weight store."""

    settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)


class TestLoadBroker:
    """Guards against loads in the wrong order, starvation and unused budget."""

    def _make_started_broker(self) -> LoadBroker:
        """Return a broker started at time 0; its reduced initial burst ends at time 5."""
        broker = LoadBroker(BUDGET)
        broker.acquire(NAMES[0], INCARNATION, [], 0.0)
        return broker

    def test_new_broker_starts_without_tokens(self) -> None:
        broker = LoadBroker(BUDGET)
        grant = broker.acquire(NAMES[0], INCARNATION, [LoadRequest(1, "a", 1.0)], 10.0)
        assert grant.granted == ()
        assert grant.retry_after_s > 0
        load_requests = [LoadRequest(n, f"a{n}", 1.0) for n in range(2, 6)]
        assert len(broker.acquire(NAMES[0], INCARNATION, load_requests, 14.0).granted) == 1

    def test_grants_the_load_with_the_highest_utility_in_the_region(self) -> None:
        broker = self._make_started_broker()
        load_requests = [LoadRequest(n, f"a{n}", 1.0) for n in range(4)]
        broker.acquire(NAMES[2], INCARNATION, load_requests, 10.0)
        assert (
            broker.acquire(NAMES[0], INCARNATION, [LoadRequest(1, "high", 9.0)], 10.01).granted
            == ()
        )
        low = broker.acquire(NAMES[1], INCARNATION, [LoadRequest(1, "low", 1.0)], 10.3)
        high = broker.acquire(NAMES[0], INCARNATION, [LoadRequest(1, "high", 9.0)], 10.3)
        assert low.granted == ()
        assert high.granted == (1,)

    def test_load_request_of_low_utility_does_not_starve(self) -> None:
        broker = self._make_started_broker()
        for step in range(20_000):
            now = 10.0 + step * 0.1
            broker.acquire(NAMES[1], INCARNATION, [LoadRequest(step, f"new{step}", 10.0)], now)
            broker.release(NAMES[1], INCARNATION, [step], now)
            # The first 100 steps use up the burst.
            if step < 100:
                continue
            low = broker.acquire(NAMES[0], INCARNATION, [LoadRequest(1, "low", 1.0)], now)
            if low.granted:
                break
        assert low.granted == (1,)

    def test_load_requests_of_a_dead_upstream_reserve_no_tokens(self) -> None:
        broker = self._make_started_broker()
        dead = [LoadRequest(n, f"a{n}", 100.0) for n in range(50)]
        broker.acquire(NAMES[3], INCARNATION, dead, 10.0)
        granted = []
        for step in range(40):
            now = 10.0 + step * 0.25
            load_request = LoadRequest(step, f"live{step}", 1.0)
            reply = broker.acquire(NAMES[0], INCARNATION, [load_request], now)
            granted += reply.granted
            broker.release(NAMES[0], INCARNATION, reply.granted, now)
        assert len(granted) >= 30

    def test_burst_is_not_reserved_for_a_dead_upstream(self) -> None:
        broker = self._make_started_broker()
        dead = [LoadRequest(n, f"a{n}", 100.0) for n in range(50)]
        broker.acquire(NAMES[3], INCARNATION, dead, 10.0)
        load_requests = [LoadRequest(n, f"live{n}", 1.0) for n in range(BUDGET.burst)]
        assert (
            len(broker.acquire(NAMES[0], INCARNATION, load_requests, 20.0).granted) == BUDGET.burst
        )

    def _peak_loads_in_progress(self, broker: LoadBroker, start: float, load_s: float) -> int:
        """Return the peak of loads in progress from 15 s to 30 s into a run.

        Every load of the run takes ``load_s``.
        """
        peak = 0
        running: list[tuple[float, int]] = []
        for step in range(300):
            now = start + step * 0.1
            for end, number in [item for item in running if item[0] <= now]:
                broker.release(NAMES[0], INCARNATION, [number], now)
                running.remove((end, number))
            load_request = LoadRequest(int(start * 1000) + step, f"a{step}", 1.0)
            for number in broker.acquire(NAMES[0], INCARNATION, [load_request], now).granted:
                running.append((now + load_s, number))
            if step >= 150:
                peak = max(peak, broker.loads_in_progress)
        return peak

    def test_concurrent_loads_are_reduced_while_the_store_is_slow(self) -> None:
        broker = LoadBroker(BUDGET)
        assert self._peak_loads_in_progress(broker, 0.0, 1.2) == BUDGET.max_in_transit
        assert self._peak_loads_in_progress(broker, 100.0, 4.0) == BUDGET.burst
        assert self._peak_loads_in_progress(broker, 200.0, 1.2) == BUDGET.max_in_transit

    def test_grants_of_a_dead_upstream_expire(self) -> None:
        broker = self._make_started_broker()
        for second in range(5, 9):
            load_requests = [LoadRequest(second * 10 + n, f"a{second}-{n}", 1.0) for n in range(3)]
            broker.acquire(NAMES[3], INCARNATION, load_requests, float(second))
        assert broker.loads_in_progress == BUDGET.max_in_transit
        reply = broker.acquire(NAMES[0], INCARNATION, [LoadRequest(1, "live", 1.0)], 14.0)
        assert reply.granted == (1,)


class TestLocalLoadShare:
    """Guards against a surge of loads when all sidecars lose the broker at the same time."""

    def test_rate_is_an_equal_share(self) -> None:
        share = LocalLoadShare(BUDGET, 8)
        taken = sum(share.try_take(step * 0.1) for step in range(1001))
        assert taken == 50

    def test_starts_without_a_token(self) -> None:
        assert not LocalLoadShare(BUDGET, 8).try_take(5.0)


class TestChooseBroker:
    """Guards against daemons that choose different brokers for the same set of upstreams."""

    def test_choice_does_not_depend_on_the_order(self) -> None:
        assert choose_broker(NAMES) == choose_broker(reversed(NAMES))

    def test_broker_is_kept_when_another_upstream_is_removed(self) -> None:
        broker = choose_broker(NAMES)
        for removed in NAMES:
            if removed != broker:
                assert choose_broker([name for name in NAMES if name != removed]) == broker
