"""Planted violations that the oracle of the takeover soak must find, and their sound neighbours."""

import dataclasses
import math

import pytest

from tests.gateway.takeover_oracle import Budget, Ending, Kind, Request, Run, Span, TakeoverOracle

BUDGET = Budget(ratio=0.2, window_s=10.0, slack=2.0)
GRACE_S = 8.0


def _stream(**fields: object) -> Request:
    """Return a whole stream of three events that ran once."""
    request = Request(
        number="s1",
        service="assistant",
        kind=Kind.RESUMABLE,
        max_attempts=2,
        sent_at=10.0,
        limit_s=6.0,
        patience_s=2.0,
        ended_at=11.0,
        events=[1, 2, 3],
        all_events=3,
        last_event_at=11.0,
        runs=[Run("e0", 10.0, 11.0, 10.1, 10.1)],
        arrivals=[10.0],
    )
    return dataclasses.replace(request, **fields)  # type: ignore[arg-type]


def _cut(pause: Span, **fields: object) -> Request:
    """Return a stream that its gateway closes at 11.5 while its run pauses."""
    run = Run("e0", 10.0, 11.5, 10.1, 10.1, pauses=[pause])
    more = {"ending": Ending.CUT, "events": [1], "last_event_at": 10.5, "ended_at": 11.5}
    return _stream(**{**more, "runs": [run], **fields})


def _find(
    *requests: Request, unreachable: dict[str, list[Span]] | None = None, budget: Budget = BUDGET
) -> list[str]:
    """Return the names of the violations that the oracle finds."""
    oracle = TakeoverOracle(requests, unreachable=unreachable or {}, budget=budget, grace_s=GRACE_S)
    return [line.partition(":")[0] for line in oracle.find_violations()]


class TestCutResponses:
    """Guards against an oracle that misses a response cut while its upstream would go on."""

    def test_whole_response(self) -> None:
        assert _find(_stream()) == []

    def test_stream_that_would_have_gone_on(self) -> None:
        assert _find(_cut((10.6, 12.2))) == ["cut"]

    def test_stream_that_would_have_gone_on_after_its_client_leaves(self) -> None:
        assert _find(_cut((10.6, 12.6))) == []

    def test_pauses_that_follow_each_other(self) -> None:
        request = _cut((10.6, 11.8))
        request.runs[0].pauses = [(10.6, 11.8), (11.7, 12.6)]
        assert _find(request) == []

    def test_stream_whose_upstream_did_not_pause(self) -> None:
        assert _find(_cut((10.0, 10.0))) == ["cut"]

    def test_stream_that_its_upstream_broke_off(self) -> None:
        request = _cut((10.0, 10.0))
        request.runs[0].is_faulty = True
        assert _find(request) == []

    @pytest.mark.parametrize("has_begun", [True, False])
    def test_takeover_that_brought_no_head(self, has_begun: bool) -> None:
        request = _cut((10.6, 12.2))
        begun_at = 11.2 if has_begun else None
        request.runs.append(Run("e1", 11.1, 11.3, begun_at, None, is_faulty=True))
        assert _find(request) == ["cut"]

    def test_takeover_that_broke_off_after_its_head(self) -> None:
        request = _cut((10.6, 12.2))
        request.runs[0].ended_at = 11.2
        request.runs.append(Run("e1", 11.1, 11.3, 11.2, 11.2, is_faulty=True))
        assert _find(request) == []

    @pytest.mark.parametrize("ending", [Ending.FAILED, Ending.CLOSED])
    def test_request_without_an_answer(self, ending: Ending) -> None:
        run = Run("e0", 10.0, 11.0, pauses=[(10.1, 11.8)])
        request = _stream(ending=ending, events=[], last_event_at=None, runs=[run])
        assert _find(request) == ["cut"]

    @pytest.mark.parametrize(("until", "expected"), [(11.8, ["cut"]), (12.1, [])])
    def test_request_that_no_upstream_has_looked_at(
        self, until: float, expected: list[str]
    ) -> None:
        run = Run("e0", 10.0, 11.0, pauses=[(9.9, until)], is_unread=True)
        request = _stream(ending=Ending.FAILED, events=[], last_event_at=None, runs=[run])
        assert _find(request) == expected

    def test_request_that_never_ran_and_is_not_refused(self) -> None:
        request = _stream(ending=Ending.CLOSED, events=[], last_event_at=None, runs=[])
        assert _find(request) == ["cut"]

    def test_refused_request(self) -> None:
        request = _stream(ending=Ending.REFUSED, status=503, events=[], runs=[])
        assert _find(request) == []

    def test_time_limit(self) -> None:
        assert _find(_cut((10.6, 11.6), limit_s=1.55)) == []

    @pytest.mark.parametrize(("signal_at", "expected"), [(4.5, []), (5.0, ["cut"]), (6.0, ["cut"])])
    def test_planned_stop(self, signal_at: float, expected: list[str]) -> None:
        request = _cut((10.6, 12.2), sent_at=7.4, stopped_at=signal_at, limit_s=9.0)
        assert _find(request) == expected

    def test_request_sent_late_in_a_planned_stop(self) -> None:
        assert _find(_cut((10.6, 12.2), sent_at=7.9, stopped_at=4.5, limit_s=9.0)) == ["cut"]


class TestEvents:
    """Guards against an oracle that misses events out of order, missing or repeated."""

    @pytest.mark.parametrize("events", [[1, 3], [1, 2], [1, 2, 2, 3], [2, 1, 3], [1, 2, 3, 4]])
    def test_whole_stream(self, events: list[int]) -> None:
        assert _find(_stream(events=events)) == ["order"]

    @pytest.mark.parametrize("events", [[2], [1, 3], [1, 1]])
    def test_stream_that_the_client_left(self, events: list[int]) -> None:
        assert _find(_stream(events=events, ending=Ending.LEFT)) == ["order"]

    def test_changed_bytes(self) -> None:
        assert _find(_stream(is_genuine=False)) == ["order"]
        assert _find(_stream(is_genuine=False, events=None, kind=Kind.SAFE)) == ["order"]


class TestRuns:
    """Guards against an oracle that misses runs that may not be."""

    def test_request_that_may_run_once(self) -> None:
        runs = [Run("e0", 10.0, 10.2, 10.1, 10.1), Run("e0", 10.5, 11.0, 10.6, 10.6)]
        request = _stream(kind=Kind.ONCE, runs=runs)
        assert _find(request) == ["repeated"]

    def test_request_that_may_run_once_and_was_not_looked_at(self) -> None:
        runs = [Run("e0", 10.0, 10.2, is_unread=True), Run("e1", 10.5, 11.0, 10.6, 10.6)]
        assert _find(_stream(kind=Kind.ONCE, runs=runs)) == []

    def test_request_that_may_run_once_and_is_refused(self) -> None:
        request = _stream(kind=Kind.ONCE, ending=Ending.REFUSED, status=503, events=[])
        assert _find(request) == ["refused although it ran"]

    @pytest.mark.parametrize(
        ("until", "expected"), [(10.85, []), (10.95, ["runs twice at a time"])]
    )
    def test_stream_at_two_upstreams(self, until: float, expected: list[str]) -> None:
        runs = [Run("e0", 10.0, until, 10.1, 10.1), Run("e1", 10.4, 11.0, 10.5, 10.5)]
        assert _find(_stream(runs=runs)) == expected

    def test_new_upstream_that_has_not_begun(self) -> None:
        runs = [Run("e0", 10.0, 11.0, 10.1, 10.1), Run("e1", 10.2, 11.0)]
        assert _find(_stream(runs=runs)) == []

    @pytest.mark.parametrize(
        ("healed_at", "expected"), [(10.6, ["runs twice at a time"]), (10.7, [])]
    )
    def test_unreachable_upstream(self, healed_at: float, expected: list[str]) -> None:
        runs = [Run("e0", 10.0, 11.05, 10.1, 10.1), Run("e1", 10.2, 11.1, 10.3, 10.3)]
        spans = {"e0": [(10.15, healed_at)]}
        assert _find(_stream(runs=runs), unreachable=spans) == expected

    @pytest.mark.parametrize("has_begun", [True, False])
    def test_run_after_the_client_has_left(self, has_begun: bool) -> None:
        begun_at = 10.1 if has_begun else None
        request = _stream(ending=Ending.LEFT, ended_at=10.4, events=[1], last_event_at=10.2)
        request.runs = [Run("e0", 10.0, 10.95, begun_at, begun_at)]
        assert _find(request) == ["goes on without its client"]
        assert _find(request, unreachable={"e0": [(10.3, 10.5)]}) == []
        request.runs[0].ended_at = 10.85
        assert _find(request) == []

    def test_run_that_never_ends(self) -> None:
        request = _stream(ending=Ending.LEFT, ended_at=10.4, events=[1])
        request.runs[0].ended_at = math.inf
        assert _find(request) == ["goes on without its client"]

    def test_arrival_after_the_client_has_left(self) -> None:
        request = _stream(ending=Ending.LEFT, ended_at=11.0, events=[1], arrivals=[10.0, 11.6])
        assert _find(request) == ["goes on without its client"]

    def test_upstreams_of_a_request(self) -> None:
        runs = [Run(f"e{n}", 10.0 + n / 10, 10.1 + n / 10, 10.05 + n / 10) for n in range(3)]
        assert _find(_stream(runs=runs)) == ["too many upstreams"]
        assert _find(_stream(runs=runs, max_attempts=3)) == []
        runs[1].begun_at = None
        assert _find(_stream(runs=runs)) == []


class TestBudgetOfRepeats:
    """Guards against an oracle that misses extra arrivals beyond the budget in some window."""

    def test_extra_arrivals_beyond_the_budget(self) -> None:
        burst = [_stream(arrivals=[10.0, 10.1, 10.2, 10.3])]
        assert _find(*burst) == ["budget"]
        assert _find(*burst, *(_stream() for _ in range(4))) == []

    def test_requests_of_another_service_allow_nothing(self) -> None:
        burst = [_stream(arrivals=[10.0, 10.1, 10.2, 10.3])]
        others = [_stream(service="desk") for _ in range(20)]
        assert _find(*burst, *others) == ["budget"]

    def test_windows_slide(self) -> None:
        """Four extra arrivals lie within a window, but not within one aligned to its length."""
        times = [18.0, 19.0, 21.0, 22.0]
        requests = [_stream(sent_at=at - 1, arrivals=[at - 1, at]) for at in times]
        assert _find(*requests) == ["budget"]
        times = [8.0, 9.0, 21.0, 22.0]
        requests = [_stream(sent_at=at - 1, arrivals=[at - 1, at]) for at in times]
        assert _find(*requests) == []
