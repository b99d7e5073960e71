"""Client of the Exchange stream that acts as an entry in tests."""

import json
import queue
import threading
from collections.abc import Iterator

import grpc

from dragonflyhold.settings import TlsSettings
from dragonflyhold.transport.grpc_endpoints import make_channel
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2_grpc
from tests.sidecar.fakes import SERVICE

# Generous limit for slow machines; the result of a test does not depend on it.
TIMEOUT_S = 20.0


def make_submit(tag: int, adapter: str = "pale", **fields: object) -> pb.Submit:
    """Return the submission of a completion."""
    body = {"prompt": fields.pop("prompt", f"prompt {tag}"), "max_tokens": 3}
    submit = pb.Submit(
        tag=tag,
        service=SERVICE,
        adapter=adapter,
        version=1,
        kind="chat",
        caller="guest",
        deadline_ms=20_000,
        idempotent=True,
        stream=True,
        body=json.dumps(body).encode(),
    )
    for name, value in fields.items():
        setattr(submit, name, value)
    return submit


class EntryClient:
    """One Exchange stream; received items are queued until a test reads them."""

    def __init__(self, port: int) -> None:
        self._channel = make_channel(f"127.0.0.1:{port}", TlsSettings())
        self.stub = sidecar_pb2_grpc.SidecarStub(self._channel)
        self._outgoing: queue.Queue[pb.EntryFrame | None] = queue.Queue()
        self._items: queue.Queue[pb.SidecarItem] = queue.Queue()
        self.heartbeats: list[pb.SidecarHeartbeat] = []
        self.send(pb.EntryItem(hello=pb.Hello(entry="entry-1", incarnation="0" * 16)))
        self._call = self.stub.Exchange(self._frames())
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def send(self, *items: pb.EntryItem, revision: int = 1) -> None:
        """Send items as one frame."""
        self._outgoing.put(pb.EntryFrame(items=items, config_revision=revision))

    def submit(self, submit: pb.Submit, revision: int = 1) -> None:
        """Send a submission."""
        self.send(pb.EntryItem(submit=submit), revision=revision)

    def attach(self, tag: int, request_id: str, first: int = 0) -> None:
        """Request an answer, starting with piece ``first``."""
        attach = pb.Attach(tag=tag, request_id=request_id, from_sequence=first)
        self.send(pb.EntryItem(attach=attach))

    def acknowledge(self, end: pb.End) -> None:
        """Acknowledge a complete answer."""
        ack = pb.Ack(request_id=end.request_id, next_sequence=end.count)
        self.send(pb.EntryItem(ack=ack))

    def next_item(self, *names: str) -> pb.SidecarItem:
        """Return the next item of the given types; discard others."""
        while True:
            item = self._items.get(timeout=TIMEOUT_S)
            if item.WhichOneof("item") in names:
                return item

    def answer(self, tag: int) -> tuple[list[bytes], pb.End]:
        """Return all pieces and the end of one answer; discard other items."""
        pieces = []
        while True:
            item = self.next_item("piece", "end")
            if item.WhichOneof("item") == "end" and item.end.tag == tag:
                return pieces, item.end
            if item.WhichOneof("item") == "piece" and item.piece.tag == tag:
                assert item.piece.sequence == len(pieces)
                pieces.append(item.piece.data)

    def close(self) -> None:
        """Close the stream and its channel."""
        self._outgoing.put(None)
        self._call.cancel()
        self._reader.join()
        self._channel.close()

    def _frames(self) -> Iterator[pb.EntryFrame]:
        while (frame := self._outgoing.get()) is not None:
            yield frame

    def _read(self) -> None:
        try:
            for frame in self._call:
                for item in frame.items:
                    if item.WhichOneof("item") == "heartbeat":
                        self.heartbeats.append(item.heartbeat)
                    else:
                        self._items.put(item)
        except grpc.RpcError:
            return
