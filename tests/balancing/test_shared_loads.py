"""Tests of loads that gateways pass on to each other."""

import random

from dragonflyhold.balancing import LoadRow, SharedLoads
from dragonflyhold.balancing.shared_loads import MAX_INCARNATIONS, MAX_PASSED_AGE_S, MAX_ROWS

NOW = 50.0


def _row(number: int = 1, requests: int = 3, age_s: float = 0.0) -> LoadRow:
    return LoadRow(f"p{number}@1", requests, 1.2, age_s)


class TestSharedLoads:
    """What a process keeps and passes on."""

    def test_the_newest_load_counts(self) -> None:
        loads = SharedLoads()
        assert loads.note(_row(requests=3), NOW)
        assert not loads.note(_row(requests=9, age_s=0.2), NOW + 0.1)
        assert loads.note(_row(requests=4, age_s=0.02), NOW + 0.1)

    def test_each_load_is_passed_on_once_with_its_age(self) -> None:
        """Guards against loads that go round, and against messages that grow."""
        loads = SharedLoads()
        loads.note(_row(age_s=0.1), NOW)
        (row,) = loads.take_news(NOW + 0.2)
        assert (row.requests, round(row.age_s, 3)) == (3, 0.3)
        assert loads.take_news(NOW + 0.2) == []

    def test_loads_that_others_know_are_not_passed_on(self) -> None:
        loads = SharedLoads()
        assert loads.merge([_row()], NOW) == [_row()]
        assert loads.merge([_row()], NOW) == []
        assert loads.take_news(NOW) == []

    def test_old_loads_are_ignored(self) -> None:
        loads = SharedLoads()
        assert not loads.note(_row(age_s=MAX_PASSED_AGE_S + 0.1), NOW)
        loads.note(_row(), NOW)
        assert loads.take_news(NOW + MAX_PASSED_AGE_S + 0.1) == []

    def test_messages_and_memory_are_bounded(self) -> None:
        loads = SharedLoads()
        for number in range(3 * MAX_INCARNATIONS):
            loads.note(_row(number), NOW)
        assert len(loads._entries) <= MAX_INCARNATIONS
        assert len(loads.take_news(NOW)) == MAX_ROWS

    def test_a_load_of_the_future_is_taken_for_one_of_now(self) -> None:
        loads = SharedLoads()
        loads.note(_row(age_s=-100.0), NOW)
        assert loads.note(_row(), NOW + 0.1)


class TestSpread:
    """How old a load is that all gateways know, at rates of messages that flow anyway."""

    def test_many_gateways_know_more_than_their_own_answers(self) -> None:
        """3 upstreams, 22 gateways, 20 agents that send to all each 0.22 s; half are lost."""
        rng = random.Random(3)
        gateways = [SharedLoads() for _ in range(22)]
        agents = [SharedLoads() for _ in range(20)]
        stated_at = [dict.fromkeys(("p0@1", "p1@1", "p2@1"), 0.0) for _ in gateways]
        own_at = [dict(known) for known in stated_at]
        shared_age, own_age, samples = 0.0, 0.0, 0
        # A step is a millisecond: 147 answers and 730 demands a second.
        for step in range(20_000):
            now = step / 1000
            if rng.random() < 0.147:
                gateway, name = rng.randrange(22), f"p{rng.randrange(3)}@1"
                gateways[gateway].note(LoadRow(name, 3, None, 0.0), now)
                stated_at[gateway][name] = own_at[gateway][name] = now
            if rng.random() < 0.73:
                for row in gateways[rng.randrange(22)].take_news(now):
                    agents[rng.randrange(20)].note(row, now)
            if step % 11 == 0:
                news = agents[step // 11 % 20].take_news(now)
                for gateway in rng.sample(range(22), 11):
                    for row in gateways[gateway].merge(news, now):
                        stated_at[gateway][row.incarnation] = now - row.age_s
            if step > 2000 and step % 50 == 0:
                samples += 66
                shared_age += sum(now - at for known in stated_at for at in known.values())
                own_age += sum(now - at for known in own_at for at in known.values())
        assert shared_age / samples < 0.25
        assert shared_age < 0.6 * own_age
