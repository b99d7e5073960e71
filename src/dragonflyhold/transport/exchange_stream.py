"""One ``Sidecar.Exchange`` call with the thread that reads it."""

import threading
from collections.abc import Callable
from typing import final

import grpc

from dragonflyhold.observability import ComponentLogger
from dragonflyhold.transport.open_request import OpenRequest
from dragonflyhold.transport.outbox import Outbox
from dragonflyhold.transport.schema import sidecar_pb2 as pb
from dragonflyhold.transport.schema import sidecar_pb2_grpc as pb_grpc

_log = ComponentLogger("transport")


@final
class ExchangeStream:
    """A bidirectional stream; frames and the end are reported from its reader thread."""

    def __init__(
        self,
        channel: grpc.Channel,
        hello: pb.Hello,
        config_revision: Callable[[], int],
        on_frame: Callable[["ExchangeStream", pb.SidecarFrame], None],
        on_broken: Callable[["ExchangeStream", str], None],
    ) -> None:
        self.channel = channel
        self._on_frame = on_frame
        self._on_broken = on_broken
        self._outbox = Outbox(config_revision)
        self._outbox.put(pb.EntryItem(hello=hello))
        self._call = pb_grpc.SidecarStub(channel).Exchange(self._outbox)
        self._reader = threading.Thread(target=self._read, name="exchange", daemon=True)

    def start(self) -> None:
        """Start to read."""
        self._reader.start()

    def send(self, item: pb.EntryItem, request: OpenRequest | None = None) -> None:
        """Queue an item."""
        self._outbox.put(item, request)

    def withdraw(self, request: OpenRequest) -> bool:
        """Remove a request that was not taken by the connection; return whether it was not."""
        return self._outbox.withdraw(request)

    def close(self) -> None:
        """End the call and its connection; items that were not taken are never sent."""
        self._outbox.close()
        self._call.cancel()
        self.channel.close()

    def _read(self) -> None:
        reason = "the sidecar ended the stream"
        try:
            for frame in self._call:
                self._on_frame(self, frame)
        except grpc.RpcError as error:
            reason = _describe(error)
        except ValueError:
            # gRPC raises it when the channel is closed before the call was polled.
            reason = "the channel was closed"
        except Exception as error:
            _log.exception("Frame could not be handled.")
            reason = repr(error)
        self._outbox.close()
        self._on_broken(self, reason)


def _describe(error: grpc.RpcError) -> str:
    code = error.code() if isinstance(error, grpc.Call) else None
    details = error.details() if isinstance(error, grpc.Call) else str(error)
    return f"{code.name if code else 'unknown'}: {details}"
