"""Tests of completions through an entry daemon."""

import hashlib

from tests.entry.fake_config import MODEL
from tests.entry.fake_sidecar import Plan
from tests.entry.harness import running_entry


class TestCompletions:
    """Guards against answers that are incomplete, out of order or of another request."""

    def test_streamed_answer_has_numbered_pieces_and_a_digest(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            answer = entry.complete()
            assert answer.status == 200
            assert answer.headers["Content-Type"] == "text/event-stream"
            assert [event[1] for event in answer.events[:-1]] == ["0", "1", "2"]
            assert answer.text == "one two three"
            name, _, data = answer.events[-1]
            assert name == "end"
            assert data["count"] == 3
            assert data["digest"] == hashlib.sha256(b"one two three").hexdigest()
            assert data["request_id"] == answer.headers["X-Request-Id"]

    def test_whole_answer(self) -> None:
        with running_entry() as entry:
            entry.add_sidecar("runner-1")
            answer = entry.complete(stream=False)
            assert answer.status == 200
            assert answer.json["choices"][0]["text"] == "one two three"
            assert answer.json["model"] == MODEL
            assert answer.json["id"] == answer.headers["X-Request-Id"]

    def test_pieces_keep_their_text(self) -> None:
        texts = ('"}]}', "\n\ndata: x", "\u2028", "\U0001f37a", "")
        with running_entry() as entry:
            sidecar = entry.add_sidecar("runner-1")
            sidecar.plan = lambda submit: Plan(tuple(text.encode() for text in texts))
            answer = entry.complete()
            chunks = [data for name, _, data in answer.events if not name]
            assert tuple(chunk["choices"][0]["text"] for chunk in chunks) == texts
            assert [event[1] for event in answer.events[:-1]] == ["0", "1", "2", "3", "4"]
            assert {chunk["id"] for chunk in chunks} == {answer.headers["X-Request-Id"]}
