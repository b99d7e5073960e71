"""Gateway side of the limits that upstreams state for the requests of all gateways together.

Each request to a limited upstream needs a permit of the agent that counts for all gateways: the one
on the upstream's VM, else one that all gateways choose alike. A gateway that gets no reply sends
its share of the limit, and reports these requests later.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Protocol, final

from dragonflyhold.gateway.budget import MIN_GATEWAYS
from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.limit_windows import LONG_WINDOW_S, PROBE_S
from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.messages import (
    LimitReport,
    LimitStatement,
    PermitReply,
    PermitRequest,
)
from dragonflyhold.gateway.upstream_view import UpstreamView

# Time to wait for a reply, and to ask no more after one that did not come.
REPLY_TIMEOUT_S = 0.1
SILENT_AGENT_S = 0.5


class PermitAgents(Protocol):
    """The connected agents that count requests to limited upstreams."""

    def find_counter(self, view: UpstreamView) -> Link | None:
        """Return the link to the agent that counts for an upstream, if one is connected."""

    def count_gateways(self) -> int:
        """Return the number of gateways, as far as known."""


@final
class UpstreamPermits:
    """Limits known to one gateway, and its requests to the upstreams."""

    def __init__(
        self,
        agents: PermitAgents,
        count_event: Callable[[str], None],
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._agents = agents
        self._count_event = count_event
        self._clock = clock
        self._log = JsonLogger("permits")
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[float]] = {}

    def note_stated(self, view: UpstreamView, limit_per_s: float) -> None:
        """Record an answer that states a limit."""
        view.limit_stated_at = self._clock()
        self._set_limit(view, limit_per_s, "answer")

    def note_unstated(self, view: UpstreamView, sent_at: float) -> None:
        """Record an answer without a limit, to a request that was sent at a monotonic time.

        It says nothing if the limit was stated after the request was sent.
        """
        if view.limit_per_s is not None and sent_at > view.limit_stated_at:
            view.limit_stated_at = self._clock()
            self._set_limit(view, None, "answer")

    def apply(self, view: UpstreamView, statement: LimitStatement) -> None:
        """Apply what other gateways have seen, unless this gateway knows a newer statement."""
        stated_at = self._clock() - max(0.0, statement.age_s)
        if stated_at > view.limit_stated_at:
            view.limit_stated_at = stated_at
            self._set_limit(view, statement.limit_per_s, "agent")

    def _set_limit(self, view: UpstreamView, limit_per_s: float | None, source: str) -> None:
        if view.limit_per_s == limit_per_s:
            return
        self._log.failure(
            "An upstream changed its limit.",
            runner=view.upstream.upstream_id,
            limit_per_s=limit_per_s,
            before=view.limit_per_s,
            source=source,
        )
        view.limit_per_s = limit_per_s
        view.no_permit_until = 0.0
        counter = self._agents.find_counter(view)
        if counter is not None:
            counter.send(self._report(view, counter))

    def note_agents_changed(self, views: Iterable[UpstreamView]) -> None:
        """Tell agents of the limited upstreams that they count for from now on."""
        for view in views:
            if view.limit_per_s is not None:
                counter = self._agents.find_counter(view)
                if counter is not None and counter is not view.counter:
                    counter.send(self._report(view, counter))

    def note_reply(self, reply: PermitReply) -> None:
        """Hand an agent's reply to the request that waits for it."""
        future = self._waiting.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply.wait_s)

    async def acquire(self, view: UpstreamView) -> bool:
        """Return whether a request may be sent to an upstream now, and count it if so."""
        now = self._clock()
        if view.limit_per_s is None:
            view.recent_sends.append(now)
            view.uncounted_sends.append(now)
            return True
        if now < view.no_permit_until:
            return False
        wait_s = await self._ask(view) if now >= view.counter_silent_until else None
        if wait_s is None:
            return self._take_share(view)
        if wait_s > 0:
            self._count_event("permit_refused")
            view.no_permit_until = self._clock() + min(wait_s, PROBE_S)
            return False
        view.recent_sends.append(self._clock())
        return True

    async def _ask(self, view: UpstreamView) -> float | None:
        """Ask for a permit; return the time to wait, ``None`` if nobody replies."""
        number, counter = next(self._numbers), self._agents.find_counter(view)
        if counter is None:
            return None
        counter.send(PermitRequest(number, self._report(view, counter)))
        reply = self._waiting[number] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            self._count_event("permit_reply_missing")
            view.counter_silent_until = self._clock() + SILENT_AGENT_S
            return None
        finally:
            del self._waiting[number]

    def _take_share(self, view: UpstreamView) -> bool:
        """Count a request if this gateway's share of the limit allows it."""
        now = self._clock()
        limit_per_s = max(view.limit_per_s or 0.0, 1 / PROBE_S)
        interval_s = max(MIN_GATEWAYS, self._agents.count_gateways()) / limit_per_s
        if view.share_free_at < now - interval_s:
            # Gateways that begin at the same time send one after the other, and each waits until
            # the requests that it has sent lately are within its share.
            recent = sum(now - at < LONG_WINDOW_S for at in view.recent_sends)
            excess_s = min(LONG_WINDOW_S, recent * interval_s - LONG_WINDOW_S)
            view.share_free_at = now + max(random.random() * interval_s, excess_s)
        if now < view.share_free_at:
            self._count_event("permit_refused")
            view.no_permit_until = min(view.share_free_at, now + SILENT_AGENT_S)
            return False
        view.share_free_at = now + interval_s
        view.recent_sends.append(now)
        view.uncounted_sends.append(now)
        return True

    def _report(self, view: UpstreamView, counter: Link) -> LimitReport:
        """Return the limit and what the agent does not know; another agent knows nothing."""
        now = self._clock()
        unknown = view.uncounted_sends if view.counter is counter else view.recent_sends
        ages = [round(now - at, 3) for at in unknown if now - at < LONG_WINDOW_S]
        view.uncounted_sends.clear()
        view.counter = counter
        return LimitReport(
            LimitStatement(
                view.upstream.incarnation_id, view.limit_per_s, now - view.limit_stated_at
            ),
            ages,
        )
