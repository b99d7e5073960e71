"""Agent side of the knowledge of where streams began: keeps what gateways tell, and answers them.

A stream that is not kept here is asked for at other gateways, which may have begun it.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Callable, Sequence
from typing import final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.messages import OriginQuery, OriginReply, OriginUpdate
from dragonflyhold.gateway.stream_origins import KeptOrigin, OriginMemory

# Gateways that are asked for a stream, and the time to wait for them; together with the way to the
# agent it stays below the time for which a gateway waits for the agent.
MAX_ASKED = 8
ASK_TIMEOUT_S = 0.1


@final
@dataclasses.dataclass(slots=True)
class _Forwarded:
    """A gateway's question that other gateways were asked."""

    asker: Link
    # Number of the asker's question.
    number: int
    open_replies: int


@final
class OriginKeeper:
    """Origins that gateways have told; ``gateways`` returns the links that understand queries."""

    def __init__(
        self,
        gateways: Callable[[], Sequence[Link]],
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._gateways = gateways
        self._clock = clock
        self._memory = OriginMemory()
        self._numbers = itertools.count(1)
        self._forwarded: dict[int, _Forwarded] = {}

    def __len__(self) -> int:
        return len(self._memory)

    def apply(self, update: OriginUpdate) -> None:
        """Keep what a gateway tells."""
        now = self._clock()
        for row in update.rows:
            began_at = now - max(0.0, row.age_s)
            self._memory.note(row.key, KeptOrigin(row.origin, began_at, row.is_sure))

    def answer(self, asker: Link, query: OriginQuery) -> None:
        """Reply to a gateway, at once or after asking others."""
        now = self._clock()
        kept = self._memory.find(query.key, now)
        if kept is not None:
            age_s = now - kept.began_at
            asker.send(OriginReply(query.number, kept.origin, age_s, kept.is_sure))
            return
        others = [link for link in self._gateways() if link is not asker]
        if not others:
            asker.send(OriginReply(query.number, None))
            return
        asked = random.sample(others, min(len(others), MAX_ASKED))
        number = next(self._numbers)
        self._forwarded[number] = _Forwarded(asker, query.number, len(asked))
        asyncio.get_running_loop().call_later(
            ASK_TIMEOUT_S, self._finish, OriginReply(number, None)
        )
        for link in asked:
            link.send(dataclasses.replace(query, number=number))

    def note_reply(self, reply: OriginReply) -> None:
        """Pass on what a gateway knows."""
        forwarded = self._forwarded.get(reply.number)
        if forwarded is None:
            return
        forwarded.open_replies -= 1
        if reply.origin is not None or forwarded.open_replies <= 0:
            self._finish(reply)

    def _finish(self, reply: OriginReply) -> None:
        forwarded = self._forwarded.pop(reply.number, None)
        if forwarded is not None:
            forwarded.asker.send(dataclasses.replace(reply, number=forwarded.number))
