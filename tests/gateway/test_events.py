"""Tests of the splitter for server-sent events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dragonflyhold.gateway.events import EventSplitter


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

    def test_events_forwarded_before_resume_are_dropped(self) -> None:
        splitter = EventSplitter()
        splitter.feed(_events(1, 4) + b"id: 5\nda")
        splitter.drop_partial()
        assert splitter.feed(_events(3, 6)) == _events(5, 6)

    def test_events_without_id_are_forwarded(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"data: a\n\ndata: b\n\n") == b"data: a\n\ndata: b\n\n"
        assert splitter.last_id is None

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
