"""Tests of the search for the traits of requests that crash upstreams."""

from dragonflyhold.gateway.crash_evidence import (
    EVIDENCE_EXPIRY_S,
    MAX_PARTS,
    MAX_REQUESTS,
    CrashEvidence,
    CrashId,
    RequestTraits,
)
from dragonflyhold.gateway.quarantine import (
    CRASH_LIMIT,
    SETTLE_S,
    TIED_CRASH_LIMIT,
    Quarantine,
    find_causes,
)
from tests.gateway.test_crash_evidence import Clock, make_traits


class _Site:
    """Evidence and quarantine of several gateways that share all they learn."""

    def __init__(self, gateways: int = 1) -> None:
        self.clock = Clock()
        self.evidence = [CrashEvidence(self.clock) for _ in range(gateways)]
        self.quarantines = [Quarantine(evidence, self.clock) for evidence in self.evidence]
        self.answer(make_traits("warm-up", "common"))

    def answer(self, traits: RequestTraits, gateway: int = 0) -> None:
        """End an answer at a gateway."""
        self._share(gateway, self.evidence[gateway].note_answered(traits))

    def crash(self, upstream: str, *in_flight: RequestTraits, gateway: int = 0) -> None:
        """Crash an upstream with these requests of a gateway in flight."""
        for traits in in_flight:
            news = self.evidence[gateway].record_crash(CrashId(upstream), traits)
            self._share(gateway, news)
        self.clock.now += 0.1

    def refuses(self, traits: RequestTraits, gateway: int = 0) -> bool:
        """Judge what is known; return whether a request is refused."""
        self.clock.now += SETTLE_S
        self.quarantines[gateway].refresh()
        return self.quarantines[gateway].is_refused(traits)

    def _share(self, source: int, news: list) -> None:  # type: ignore[type-arg]
        update = self.evidence[source].encode(news)
        for number, other in enumerate(self.evidence):
            if number != source:
                other.apply(update)


class TestContents:
    """Requests that come again unchanged."""

    def test_a_request_is_refused_at_the_limit(self) -> None:
        site = _Site()
        for number in range(CRASH_LIMIT):
            assert not site.refuses(make_traits("m"))
            site.crash(f"r{number}", make_traits("m"))
        assert site.refuses(make_traits("m"))
        assert not site.refuses(make_traits("other"))

    def test_crashes_at_several_gateways_add_up(self) -> None:
        """Clients may send the request again through any gateway."""
        site = _Site(CRASH_LIMIT)
        for number in range(CRASH_LIMIT):
            site.crash(f"r{number}", make_traits("m"), gateway=number)
        assert all(site.refuses(make_traits("m"), gateway) for gateway in range(CRASH_LIMIT))

    def test_one_crash_counts_once(self) -> None:
        site = _Site(CRASH_LIMIT)
        for number in range(CRASH_LIMIT):
            site.crash("r1", make_traits("m"), gateway=number)
        assert not site.refuses(make_traits("m"))

    def test_records_expire_without_further_crashes(self) -> None:
        site = _Site()
        for number in range(CRASH_LIMIT):
            site.crash(f"r{number}", make_traits("m"))
        assert site.refuses(make_traits("m"))
        site.clock.now += EVIDENCE_EXPIRY_S + 1
        assert not site.refuses(make_traits("m"))

    def test_a_repeated_request_does_not_convict_its_parts(self) -> None:
        """Guards against refusals of all that shares a part with one bad request."""
        site = _Site()
        for number in range(CRASH_LIMIT + 3):
            site.crash(f"r{number}", make_traits("m", "common", "rare"))
        assert site.refuses(make_traits("m", "common", "rare"))
        assert not site.refuses(make_traits("n", "common", "rare"))


class TestParts:
    """Requests that differ but share a part of their prompts."""

    def test_a_shared_part_is_refused_and_the_sound_ones_are_not(self) -> None:
        site = _Site()
        for number in range(CRASH_LIMIT):
            bad = make_traits(f"bad{number}", "common", "bad")
            beside = make_traits(f"ok{number}", "common", f"other{number}")
            site.crash(f"r{number}", bad, beside)
        assert site.refuses(make_traits("new", "elsewhere", "bad"))
        assert not site.refuses(make_traits("new", "common", "other0"))
        assert not site.refuses(make_traits("ok0", "common"))

    def test_a_part_is_found_among_many_requests_with_long_prompts(self) -> None:
        """Guards against so large records that fewer are kept than are needed to find a part."""
        site = _Site()
        for number in range(2 * CRASH_LIMIT):
            requests = []
            for other in range(MAX_REQUESTS):
                name = f"{number}-{other}"
                shared = ("common", "bad") if other % 4 == 0 else ("common",)
                own = (f"{name}-{part}" for part in range(MAX_PARTS - len(shared)))
                requests.append(make_traits(name, *shared, *own))
            site.crash(f"r{number}", *requests)
        assert site.refuses(make_traits("new", "elsewhere", "bad"))
        assert not site.refuses(make_traits("new", "common"))

    def test_a_part_of_neighbours_is_told_from_the_cause(self) -> None:
        """A sound part without recent answers may be at several crashes by chance."""
        site = _Site()
        for number in range(6):
            bad = make_traits(f"bad{number}", "common", "bad")
            rare = [make_traits(f"ok{number}", "common", "rare")] if number < 4 else []
            site.crash(f"r{number}", bad, *rare)
        assert site.refuses(make_traits("new", "bad"))
        assert not site.refuses(make_traits("new", "rare"))

    def test_parts_that_no_crash_tells_apart_are_all_refused(self) -> None:
        site = _Site()
        for number in range(TIED_CRASH_LIMIT):
            assert not site.refuses(make_traits("new", "bad"))
            site.crash(f"r{number}", make_traits(f"bad{number}", "common", "bad", "after"))
        assert site.refuses(make_traits("new", "bad"))
        assert site.refuses(make_traits("new", "after"))

    def test_two_bad_parts_are_found(self) -> None:
        site = _Site()
        for number in range(2 * CRASH_LIMIT + 1):
            part = "bad" if number % 2 else "worse"
            site.crash(f"r{number}", make_traits(f"c{number}", "common", part))
        assert site.refuses(make_traits("new", "bad"))
        assert site.refuses(make_traits("new", "worse"))

    def test_an_answer_clears_a_part(self) -> None:
        site = _Site()
        for number in range(CRASH_LIMIT):
            site.crash(f"r{number}", make_traits(f"c{number}", "part"))
        assert site.refuses(make_traits("new", "part"))
        site.answer(make_traits("late", "part"))
        assert not site.refuses(make_traits("new", "part"))

    def test_an_outage_of_all_upstreams_convicts_nothing(self) -> None:
        """Right after a start no answer shows which parts are sound."""
        site = _Site()
        site.clock.now += 100
        for number in range(8):
            site.crash(f"r{number}", *(make_traits(f"c{number}{n}", "common") for n in range(3)))
        assert not site.refuses(make_traits("new", "common"))

    def test_nothing_is_found_without_crashes(self) -> None:
        assert find_causes([]) == set()
