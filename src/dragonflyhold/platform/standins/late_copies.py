"""Writes an earlier answer of a connection once more, as a faulty upstream or store does."""

import asyncio
import enum
import weakref
from typing import final

from dragonflyhold.gateway.http_connection import ClientRequest, Handler
from dragonflyhold.gateway.responder import Responder, ResponseTransport

# Delay of a copy that is written while the connection is idle.
IDLE_COPY_DELAY_S = 0.005


class CopyMoment(enum.Enum):
    """When an answer is written again."""

    WITH_END = "in one piece with the end of the answer"
    WHILE_IDLE = "after the answer, before the next request"
    BEFORE_NEXT = "once the next request has arrived, before its answer"
    IN_NEXT_BODY = "in the middle of the next answer's body"
    AFTER_NEXT = "in one piece with the end of the next answer"


# Moments at which the answer before the current one is written, so that there must be one.
_NEEDS_EARLIER = (CopyMoment.BEFORE_NEXT, CopyMoment.IN_NEXT_BODY, CopyMoment.AFTER_NEXT)


@final
class AnswerCopier:
    """Records the last answer of each connection, and writes it again at planned moments."""

    def __init__(self) -> None:
        # Number of copies written.
        self.copies = 0
        self._planned: list[tuple[bytes, CopyMoment]] = []
        self._is_recording = False
        self._answers: weakref.WeakKeyDictionary[ResponseTransport, bytes] = (
            weakref.WeakKeyDictionary()
        )

    def plan(self, target: bytes, *moments: CopyMoment) -> None:
        """Plan a copy at each moment, at the next requests whose target begins with ``target``.

        Only connections whose earlier answers were given after the first plan have one to copy.
        """
        self._is_recording = True
        self._planned.extend((target, moment) for moment in moments)

    async def handle(self, handler: Handler, request: ClientRequest, responder: Responder) -> None:
        """Run a handler, and write the copies that are due at its request."""
        if not self._is_recording:
            await handler(request, responder)
            return
        connection = responder._connection
        earlier = self._answers.get(connection, b"")
        moment = self._take(request.target, earlier)
        recorder = _Recorder(connection, moment, earlier)
        responder._connection = recorder
        await handler(request, responder)
        recorder.finish()
        self._answers[connection] = recorder.answer

    def _take(self, target: bytes, earlier: bytes) -> CopyMoment | None:
        for number, (prefix, moment) in enumerate(self._planned):
            if target.startswith(prefix) and (earlier or moment not in _NEEDS_EARLIER):
                del self._planned[number]
                self.copies += 1
                return moment
        return None


@final
class _Recorder:
    """Passes an answer on to its connection, records it and adds a copy."""

    def __init__(
        self, connection: ResponseTransport, moment: CopyMoment | None, earlier: bytes
    ) -> None:
        self.answer = b""
        self._connection = connection
        self._moment = moment
        self._earlier = earlier
        self._held = b""
        if moment is CopyMoment.BEFORE_NEXT:
            connection.write(earlier)

    @property
    def is_closing(self) -> bool:
        return self._connection.is_closing

    @property
    def end(self) -> enum.Enum:
        return self._connection.end

    def write(self, data: bytes) -> None:
        is_first = not self.answer
        self.answer += data
        match self._moment:
            case CopyMoment.WITH_END | CopyMoment.AFTER_NEXT:
                self._held += data
                return
            case CopyMoment.IN_NEXT_BODY if is_first and not data.endswith(b"\r\n\r\n"):
                data = data[:-2] + self._earlier + data[-2:]
                self._moment = None
            case CopyMoment.IN_NEXT_BODY if not is_first:
                data = self._earlier + data
                self._moment = None
        self._connection.write(data)

    async def drain(self) -> None:
        await self._connection.drain()

    def reset_on_close(self, enabled: bool) -> None:
        self._connection.reset_on_close(enabled)

    def close_after_response(self) -> None:
        self.finish()
        self._connection.close_after_response()

    def abort(self) -> None:
        self._connection.abort()

    def finish(self) -> None:
        """Write what is due at the end of the answer."""
        match self._moment:
            case CopyMoment.WITH_END:
                self._connection.write(self._held + self.answer)
            case CopyMoment.AFTER_NEXT:
                self._connection.write(self._held + self._earlier)
            case CopyMoment.WHILE_IDLE:
                loop = asyncio.get_running_loop()
                loop.call_later(IDLE_COPY_DELAY_S, self._connection.write, self.answer)
        self._moment = None
