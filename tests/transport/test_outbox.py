"""Tests of the outbox of a stream."""

import threading

import pytest

from dragonflyhold.transport import outbox as outbox_module
from dragonflyhold.transport.open_request import OpenRequest
from dragonflyhold.transport.outbox import Outbox
from dragonflyhold.transport.schema import sidecar_pb2 as pb


def _heartbeat_item(number: int) -> pb.EntryItem:
    return pb.EntryItem(heartbeat=pb.Heartbeat(number=number))


def _request() -> OpenRequest:
    return OpenRequest(1, pb.Submit(), deadline=10.0, opened_at=0.0)


class TestOutbox:
    """Guards against one message per token and a wrong report of whether a request was sent."""

    def test_queued_items_are_batched_in_one_frame(self) -> None:
        outbox = Outbox(lambda: 7)
        for number in range(5):
            outbox.put(_heartbeat_item(number))
        frame = next(outbox)
        assert [item.heartbeat.number for item in frame.items] == [0, 1, 2, 3, 4]
        assert frame.config_revision == 7

    def test_item_on_idle_stream_is_sent_immediately(self) -> None:
        outbox = Outbox(lambda: 0)
        frames: list[pb.EntryFrame] = []
        reader = threading.Thread(target=lambda: frames.append(next(outbox)))
        reader.start()
        outbox.put(_heartbeat_item(1))
        reader.join(10)
        assert len(frames) == 1

    def test_frame_size_is_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(outbox_module, "MAX_FRAME_BYTES", 100)
        outbox = Outbox(lambda: 0)
        for _ in range(3):
            outbox.put(pb.EntryItem(submit=pb.Submit(body=b"x" * 80)))
        assert [len(next(outbox).items) for _ in range(3)] == [1, 1, 1]

    def test_request_in_a_frame_is_marked_as_sent(self) -> None:
        outbox = Outbox(lambda: 0)
        request = _request()
        outbox.put(request.start_item(0.0), request)
        assert not request.is_sent
        next(outbox)
        assert request.is_sent
        assert not outbox.withdraw(request)

    def test_withdrawn_request_is_never_sent(self) -> None:
        outbox = Outbox(lambda: 0)
        request = _request()
        outbox.put(request.start_item(0.0), request)
        assert outbox.withdraw(request)
        outbox.put(_heartbeat_item(1))
        assert len(next(outbox).items) == 1
        assert not request.is_sent

    def test_closed_outbox_ends_the_stream(self) -> None:
        outbox = Outbox(lambda: 0)
        request = _request()
        outbox.put(request.start_item(0.0), request)
        outbox.close()
        assert list(outbox) == []
        assert not request.is_sent
