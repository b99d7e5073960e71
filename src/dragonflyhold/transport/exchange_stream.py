"""One ``Sidecar.Exchange`` call and the thread that reads its frames."""

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
    """A bidirectional stream.

    ``on_frame`` and ``on_ended`` are called from its reader thread.
    """

    def __init__(
        self,
        channel: grpc.Channel,
        hello: pb.Hello,
        config_revision: Callable[[], int],
        on_frame: Callable[["ExchangeStream", pb.SidecarFrame], None],
        on_ended: Callable[["ExchangeStream", str], None],
    ) -> None:
        self.channel = channel
        self._on_frame = on_frame
        self._on_ended = on_ended
        self._outbox = Outbox(config_revision)
        self._outbox.put(pb.EntryItem(hello=hello))
        self._call = pb_grpc.SidecarStub(channel).Exchange(self._outbox)
        self._reader = threading.Thread(target=self._read, name="exchange", daemon=True)

    def start(self) -> None:
        """Start the reader thread."""
        self._reader.start()

    def send(self, item: pb.EntryItem, request: OpenRequest | None = None) -> None:
        """Queue an item; see ``Outbox.put``."""
        self._outbox.put(item, request)

    def withdraw(self, request: OpenRequest) -> bool:
        """Remove a request that was not sent yet; return whether it was still queued."""
        return self._outbox.withdraw(request)

    def close(self) -> None:
        """Cancel the call and close its connection; queued items are never sent."""
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
            # gRPC raises this if the channel is closed before the call is polled.
            reason = "the channel was closed"
        except Exception as error:
            _log.exception("Frame could not be handled; closing the stream.")
            reason = repr(error)
        self._outbox.close()
        self._on_ended(self, reason)


def _describe(error: grpc.RpcError) -> str:
    code = error.code() if isinstance(error, grpc.Call) else None
    details = error.details() if isinstance(error, grpc.Call) else str(error)
    return f"{code.name if code else 'unknown'}: {details}"
