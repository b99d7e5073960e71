"""Tests of the splitter for server-sent events."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dragonflyhold.gateway.events import EventOrderError, EventSplitter


def _events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(first, last + 1))


class TestEventSplitter:
    """Only complete events are forwarded, each of them once."""

    def test_incomplete_event_is_buffered(self) -> None:
        """An upstream may stop in the middle of an event, which must not reach the client."""
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == b"id: 1\ndata: x\n\n"
        assert splitter.has_partial
        assert splitter.feed(b"ta: y\n\n") == b"id: 2\ndata: y\n\n"
        assert not splitter.has_partial
        assert splitter.last_id == "2"

    def test_events_without_id_are_forwarded(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"data: a\n\ndata: b\n\n") == b"data: a\n\ndata: b\n\n"
        assert splitter.last_id is None
        assert not splitter.can_resume

    def test_crlf_line_endings_are_accepted(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid") == b"id: 1\r\ndata: a\r\n\r\n"

    @given(st.lists(st.integers(min_value=1, max_value=200), max_size=20), st.integers(1, 30))
    def test_chunk_boundaries_do_not_change_events(self, boundaries: list[int], count: int) -> None:
        whole = _events(1, count)
        splitter, forwarded, start = EventSplitter(), b"", 0
        for boundary in sorted(boundaries):
            forwarded += splitter.feed(whole[start:boundary])
            start = max(start, boundary)
        forwarded += splitter.feed(whole[start:])
        assert forwarded == whole
        assert splitter.forwarded_count == count


class TestOddIds:
    """Guards against an id that ends a request, as it can't be compared."""

    @pytest.mark.parametrize("event_id", [b"9" * 5000, b"\xb2", b"-1", b"", b"1.5", b"x\0"])
    def test_events_with_any_id_are_forwarded(self, event_id: bytes) -> None:
        splitter = EventSplitter()
        event = b"id: " + event_id + b"\ndata: x\n\n"
        assert splitter.feed(b"id: 1\ndata: x\n\n" + event) == b"id: 1\ndata: x\n\n" + event
        assert splitter.feed(b"id: 2\ndata: x\n\n") == b"id: 2\ndata: x\n\n"


def _joined(*runs: list[int]) -> list[int]:
    """Return the ids that are forwarded of several runs."""
    splitter, forwarded = EventSplitter(), b""
    for ids in runs:
        splitter.start_run()
        for number in ids:
            forwarded += splitter.feed(_events(number, number))
    return [int(line[4:]) for line in forwarded.splitlines() if line.startswith(b"id:")]


class TestRuns:
    """Guards against a run that is joined to the one before although it does not go on after it."""

    @pytest.mark.parametrize(
        "runs",
        [
            ([1, 2, 3], [4, 5]),
            ([], [1, 2]),
            ([1], [2], [3], [4]),
            ([10, 20], [30, 40]),
            ([1, 2, 5], [8, 9]),
            ([7], [9]),
            ([0, 1], [2]),
        ],
    )
    def test_a_run_that_goes_on_is_joined(self, runs: tuple[list[int], ...]) -> None:
        assert _joined(*runs) == list(itertools.chain(*runs))

    @pytest.mark.parametrize(
        "runs",
        [
            ([1, 2, 3], [1, 2, 3, 4]),
            ([1, 2, 3], [3, 4]),
            ([1, 2, 3], [5, 6]),
            ([1], [3]),
            ([1, 2], [3], [5]),
            ([7, 8], [10]),
            ([10, 20], [20, 30]),
            ([1, 2, 2],),
            ([3, 2],),
        ],
    )
    def test_a_run_that_does_not_go_on_is_not(self, runs: tuple[list[int], ...]) -> None:
        with pytest.raises(EventOrderError):
            _joined(*runs)

    def test_a_run_must_go_on_after_the_id_of_the_client(self) -> None:
        for first in (1, 12):
            splitter = EventSplitter("12")
            splitter.start_run()
            with pytest.raises(EventOrderError):
                splitter.feed(_events(first, 14))
        splitter = EventSplitter("12")
        splitter.start_run()
        assert splitter.feed(_events(13, 14)) == _events(13, 14)
        assert EventSplitter("no number").last_id is None

    @pytest.mark.parametrize("event_id", [b"a", b"-1", b"\xb2", b"1.5", b"", b"9" * 5000])
    def test_ids_that_are_no_numbers_can_not_be_resumed(self, event_id: bytes) -> None:
        event = b"id: %s\ndata: x\n\n" % event_id
        splitter = EventSplitter()
        assert splitter.feed(event) == event
        assert not splitter.can_resume
        splitter.start_run()
        with pytest.raises(EventOrderError):
            splitter.feed(event)

    def test_comments_before_the_first_event_of_a_later_run_are_dropped(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b": a\n\n") == b": a\n\n"
        assert splitter.can_resume
        splitter.feed(_events(1, 1))
        splitter.start_run()
        events = _events(2, 2) + b": b\n\n"
        assert splitter.feed(b": a\n\n" + events) == events
