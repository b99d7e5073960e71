"""Tests of the splitting of event streams."""

from hypothesis import given
from hypothesis import strategies as st

from dragonflyhold.gateway.events import EventSplitter


def _events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(first, last + 1))


class TestEventSplitter:
    """Event splitter."""

    def test_a_half_event_is_held_back(self) -> None:
        """A runner may stop in the middle of an event; half of one must not reach the client."""
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda") == b"id: 1\ndata: x\n\n"
        assert splitter.has_partial
        assert splitter.feed(b"ta: y\n\n") == b"id: 2\ndata: y\n\n"
        assert not splitter.has_partial
        assert splitter.last_id == "2"

    def test_events_passed_before_a_resume_are_dropped(self) -> None:
        splitter = EventSplitter()
        splitter.feed(_events(1, 4) + b"id: 5\nda")
        splitter.drop_partial()
        assert splitter.feed(_events(3, 6)) == _events(5, 6)

    def test_events_without_an_id_pass(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"data: a\n\ndata: b\n\n") == b"data: a\n\ndata: b\n\n"
        assert splitter.last_id is None

    def test_lines_may_end_in_crlf(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid") == b"id: 1\r\ndata: a\r\n\r\n"

    @given(st.lists(st.integers(min_value=1, max_value=200), max_size=20), st.integers(1, 30))
    def test_any_cutting_gives_the_same_events(self, cuts: list[int], count: int) -> None:
        whole = _events(1, count)
        splitter, passed, start = EventSplitter(), b"", 0
        for cut in sorted(cuts):
            passed += splitter.feed(whole[start:cut])
            start = max(start, cut)
        passed += splitter.feed(whole[start:])
        assert passed == whole
        assert splitter.forwarded_count == count
