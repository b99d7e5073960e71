"""Tests of completions through an entry daemon."""

import hashlib

from tests.entry.fake_config import MODEL
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import running_entry


class TestCompletions:
    """Guards against answers that are incomplete, out of order or from another request."""

    def test_streamed_response_has_numbered_pieces_and_a_digest(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            response = entry.complete()
            assert response.status == 200
            assert response.headers["Content-Type"] == "text/event-stream"
            assert [event[1] for event in response.events[:-1]] == ["0", "1", "2"]
            assert response.text == "one two three"
            name, _, data = response.events[-1]
            assert name == "end"
            assert data["count"] == 3
            assert data["digest"] == hashlib.sha256(b"one two three").hexdigest()
            assert data["request_id"] == response.headers["X-Request-Id"]

    def test_response_without_streaming(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            response = entry.complete(stream=False)
            assert response.status == 200
            assert response.json["choices"][0]["text"] == "one two three"
            assert response.json["model"] == MODEL
            assert response.json["id"] == response.headers["X-Request-Id"]

    def test_special_characters_in_pieces_are_preserved(self) -> None:
        texts = ('"}]}', "\n\ndata: x", "\u2028", "\U0001f37a", "")
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: Plan(tuple(text.encode() for text in texts))
            response = entry.complete()
            chunks = [data for name, _, data in response.events if not name]
            assert tuple(chunk["choices"][0]["text"] for chunk in chunks) == texts
            assert [event[1] for event in response.events[:-1]] == ["0", "1", "2", "3", "4"]
            assert {chunk["id"] for chunk in chunks} == {response.headers["X-Request-Id"]}
