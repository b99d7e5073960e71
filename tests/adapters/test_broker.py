"""Tests of the load broker."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dragonflyhold.adapters import LoadBroker, LoadRequest, LocalLoadShare, choose_broker
from dragonflyhold.adapters.broker import MAX_RETRY_S
from dragonflyhold.ids import Incarnation, UpstreamName
from dragonflyhold.settings.model import LoadBudgetSettings

BUDGET = LoadBudgetSettings(loads_per_s=4.0, burst=3, max_in_transit=5, grant_ttl_s=5.0)
RUN = Incarnation("0" * 16)
NAMES = [UpstreamName(f"u{n}") for n in range(4)]

names = st.sampled_from(NAMES)


class LoadBrokerMachine(RuleBasedStateMachine):
    """Counts the grants of a broker against the rate and the in-transit limit."""

    def __init__(self) -> None:
        super().__init__()
        self.broker = LoadBroker(BUDGET)
        self.now = 50.0
        self.number = 0
        # Grants in transit with the time they lapse, and the times of all grants.
        self.open: dict[tuple[UpstreamName, int], float] = {}
        self.granted_at: list[float] = []

    @rule(name=names, utilities=st.lists(st.floats(0.1, 10.0), min_size=1, max_size=4))
    def acquire(self, name: UpstreamName, utilities: list[float]) -> None:
        load_requests = []
        for utility in utilities:
            self.number += 1
            load_requests.append(LoadRequest(self.number, f"a{self.number}", utility))
        grant = self.broker.acquire(name, RUN, load_requests, self.now)
        assert set(grant.granted) <= {load_request.number for load_request in load_requests}
        assert 0 <= grant.retry_after_s <= MAX_RETRY_S
        self._count(name, grant.granted)

    @rule(name=names, data=st.data())
    def repeat_a_granted_wish(self, name: UpstreamName, data: st.DataObject) -> None:
        mine = [number for holder, number in self._alive() if holder == name]
        if not mine:
            return
        number = data.draw(st.sampled_from(mine))
        grant = self.broker.acquire(name, RUN, [LoadRequest(number, "again", 1.0)], self.now)
        assert grant.granted == (number,)

    @rule(name=names)
    def release_all(self, name: UpstreamName) -> None:
        numbers = [number for holder, number in self.open if holder == name]
        self.broker.release(name, RUN, numbers, self.now)
        self.open = {key: lapse for key, lapse in self.open.items() if key[0] != name}

    @rule(seconds=st.floats(0.0, 7.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def never_exceeds_the_in_transit_limit(self) -> None:
        assert len(self._alive()) <= BUDGET.max_in_transit

    @invariant()
    def never_exceeds_the_rate(self) -> None:
        for first, start in enumerate(self.granted_at):
            for last in range(first, len(self.granted_at)):
                span = self.granted_at[last] - start
                allowed = BUDGET.burst + BUDGET.loads_per_s * span
                assert last - first + 1 <= allowed + 1e-6

    def _alive(self) -> list[tuple[UpstreamName, int]]:
        return [key for key, lapse in self.open.items() if lapse > self.now]

    def _count(self, name: UpstreamName, granted: tuple[int, ...]) -> None:
        for number in granted:
            self.open[(name, number)] = self.now + BUDGET.grant_ttl_s
            self.granted_at.append(self.now)


class TestLoadBrokerLimits(LoadBrokerMachine.TestCase):  # type: ignore[misc]
    """Guards against a broker that overruns the weight store."""

    settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)


class TestLoadBroker:
    """Guards against loads in the wrong order, starvation and stranded budget."""

    def _settled(self) -> LoadBroker:
        broker = LoadBroker(BUDGET)
        broker.acquire(NAMES[0], RUN, [], 0.0)
        return broker

    def test_new_broker_starts_without_tokens(self) -> None:
        broker = LoadBroker(BUDGET)
        grant = broker.acquire(NAMES[0], RUN, [LoadRequest(1, "a", 1.0)], 10.0)
        assert grant.granted == ()
        assert grant.retry_after_s > 0
        load_requests = [LoadRequest(n, f"a{n}", 1.0) for n in range(2, 6)]
        assert len(broker.acquire(NAMES[0], RUN, load_requests, 14.0).granted) == 1

    def test_grants_the_most_valuable_load_of_the_region(self) -> None:
        broker = self._settled()
        load_requests = [LoadRequest(n, f"a{n}", 1.0) for n in range(4)]
        broker.acquire(NAMES[2], RUN, load_requests, 10.0)
        assert broker.acquire(NAMES[0], RUN, [LoadRequest(1, "dear", 9.0)], 10.01).granted == ()
        cheap = broker.acquire(NAMES[1], RUN, [LoadRequest(1, "cheap", 1.0)], 10.3)
        dear = broker.acquire(NAMES[0], RUN, [LoadRequest(1, "dear", 9.0)], 10.3)
        assert cheap.granted == ()
        assert dear.granted == (1,)

    def test_cheap_wish_gets_its_turn(self) -> None:
        broker = self._settled()
        for step in range(20_000):
            now = 10.0 + step * 0.1
            broker.acquire(NAMES[1], RUN, [LoadRequest(step, f"new{step}", 10.0)], now)
            broker.release(NAMES[1], RUN, [step], now)
            # The first steps use up the burst.
            if step < 100:
                continue
            cheap = broker.acquire(NAMES[0], RUN, [LoadRequest(1, "cheap", 1.0)], now)
            if cheap.granted:
                break
        assert cheap.granted == (1,)

    def test_wishes_of_a_dead_upstream_hold_nothing_back(self) -> None:
        broker = self._settled()
        dead = [LoadRequest(n, f"a{n}", 100.0) for n in range(50)]
        broker.acquire(NAMES[3], RUN, dead, 10.0)
        granted = []
        for step in range(40):
            now = 10.0 + step * 0.25
            load_request = LoadRequest(step, f"live{step}", 1.0)
            reply = broker.acquire(NAMES[0], RUN, [load_request], now)
            granted += reply.granted
            broker.release(NAMES[0], RUN, reply.granted, now)
        assert len(granted) >= 30

    def test_burst_is_not_kept_for_a_dead_upstream(self) -> None:
        broker = self._settled()
        dead = [LoadRequest(n, f"a{n}", 100.0) for n in range(50)]
        broker.acquire(NAMES[3], RUN, dead, 10.0)
        load_requests = [LoadRequest(n, f"live{n}", 1.0) for n in range(BUDGET.burst)]
        assert len(broker.acquire(NAMES[0], RUN, load_requests, 20.0).granted) == BUDGET.burst

    def _most_loads_in_progress(self, broker: LoadBroker, start: float, load_s: float) -> int:
        """Return the most loads in transit over 30 s while every load takes ``load_s``."""
        most = 0
        running: list[tuple[float, int]] = []
        for step in range(300):
            now = start + step * 0.1
            for end, number in [item for item in running if item[0] <= now]:
                broker.release(NAMES[0], RUN, [number], now)
                running.remove((end, number))
            load_request = LoadRequest(int(start * 1000) + step, f"a{step}", 1.0)
            for number in broker.acquire(NAMES[0], RUN, [load_request], now).granted:
                running.append((now + load_s, number))
            if step >= 150:
                most = max(most, broker.loads_in_progress)
        return most

    def test_slow_store_gets_fewer_loads_at_once_until_it_is_fast_again(self) -> None:
        broker = LoadBroker(BUDGET)
        assert self._most_loads_in_progress(broker, 0.0, 1.2) == BUDGET.max_in_transit
        assert self._most_loads_in_progress(broker, 100.0, 4.0) == BUDGET.burst
        assert self._most_loads_in_progress(broker, 200.0, 1.2) == BUDGET.max_in_transit

    def test_grants_of_a_dead_upstream_lapse(self) -> None:
        broker = self._settled()
        for second in range(5, 9):
            load_requests = [LoadRequest(second * 10 + n, f"a{second}-{n}", 1.0) for n in range(3)]
            broker.acquire(NAMES[3], RUN, load_requests, float(second))
        assert broker.loads_in_progress == BUDGET.max_in_transit
        reply = broker.acquire(NAMES[0], RUN, [LoadRequest(1, "live", 1.0)], 14.0)
        assert reply.granted == (1,)


class TestLocalLoadShare:
    """Guards against a load storm when all sidecars lose the broker at once."""

    def test_takes_an_equal_share_of_the_rate(self) -> None:
        share = LocalLoadShare(BUDGET, 8)
        taken = sum(share.try_take(step * 0.1) for step in range(1001))
        assert taken == 50

    def test_starts_without_a_load(self) -> None:
        assert not LocalLoadShare(BUDGET, 8).try_take(5.0)


class TestChooseBroker:
    """Guards against daemons that name different brokers for one set of upstreams."""

    def test_does_not_depend_on_the_order(self) -> None:
        assert choose_broker(NAMES) == choose_broker(reversed(NAMES))

    def test_loss_of_another_upstream_keeps_the_broker(self) -> None:
        broker = choose_broker(NAMES)
        for lost in NAMES:
            if lost != broker:
                assert choose_broker([name for name in NAMES if name != lost]) == broker
