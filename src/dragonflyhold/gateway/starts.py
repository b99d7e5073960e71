"""Paced starts of requests: gateways ask an engine's agent, which grants them in turn."""

import asyncio
import itertools
import time
from collections.abc import Callable
from typing import final

from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.messages import LateStream, StartGrant, StartRequest
from dragonflyhold.gateway.model import RequestInfo, Route, UpstreamId
from dragonflyhold.gateway.pauses import PauseMonitor
from dragonflyhold.gateway.prompt_pacer import PromptPacer
from dragonflyhold.gateway.upstream_view import UpstreamView

# Share of the target latency up to which a start may be delayed; the rest is for the engine.
MAX_DELAY_SHARE = 0.6
# Time beyond the latest start after which a gateway no longer waits for a grant.
GRANT_MARGIN_S = 0.03


@final
class StartGranter:
    """Agent side: grants starts at one engine."""

    def __init__(self) -> None:
        self.monitor = PauseMonitor()
        self._pacer: PromptPacer[tuple[Link, int]] = PromptPacer()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._pacer)

    def handle(self, link: Link, request: StartRequest) -> None:
        """Grant the start now or in turn."""
        now = time.monotonic()
        if request.read_tokens:
            self._pacer.note_read(request.read_tokens, request.read_s)
        self._pacer.add(
            (link, request.number), request.tokens, request.max_pause_s, now + request.slack_s
        )
        self._grant_due()

    def close(self) -> None:
        """Stop granting."""
        if self._timer is not None:
            self._timer.cancel()

    def _grant_due(self) -> None:
        now = time.monotonic()
        for link, number in self._pacer.start_due(now):
            link.send(StartGrant(number))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_at = self._pacer.next_start_at()
        if next_at is not None:
            delay_s = max(0.0, next_at - now)
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._grant_due)


@final
class PacedStarts:
    """Gateway side: asks agents for starts at engines whose streams pause for too long.

    ``send`` sends a message to an upstream's agent if it is connected. Without a grant in time a
    request starts all the same.
    """

    def __init__(self, send: Callable[[UpstreamId, StartRequest | LateStream], None]) -> None:
        self._send = send
        self._numbers = itertools.count(1)
        self._waiting: dict[int, tuple[UpstreamId, asyncio.Event]] = {}
        # The last measured prompt of each upstream, until it is told to the agent.
        self._read: dict[UpstreamId, tuple[int, float]] = {}

    def note_stream(self, view: UpstreamView, route: Route, longest_pause_s: float) -> None:
        """Record the longest pause of a stream that one upstream sent whole."""
        if route.max_pause_s is None or not view.watches_pauses:
            return
        if longest_pause_s > route.max_pause_s:
            self._send(view.upstream.upstream_id, LateStream())

    def note_read(self, upstream_id: UpstreamId, tokens: int, seconds: float) -> None:
        """Record the time from sending a prompt to the first byte of the response."""
        self._read[upstream_id] = (tokens, seconds)

    def note_grant(self, grant: StartGrant) -> None:
        """Let a request start."""
        waiting = self._waiting.get(grant.number)
        if waiting is not None:
            waiting[1].set()

    def release(self, upstream_id: UpstreamId) -> None:
        """End the wait of all requests for an upstream to which nothing more is sent."""
        for waiting_for, granted in self._waiting.values():
            if waiting_for == upstream_id:
                granted.set()

    async def wait(
        self, view: UpstreamView, route: Route, request_info: RequestInfo, target_at: float
    ) -> float:
        """Wait until a request may start; return the time waited in seconds.

        ``target_at`` is the monotonic time by which the response should begin.
        """
        started = time.monotonic()
        if route.max_pause_s is None or not view.is_paced or not view.is_linked:
            return 0.0
        latest = target_at - (1 - MAX_DELAY_SHARE) * route.target_latency_s
        slack_s = max(0.0, latest - started)
        number, upstream_id = next(self._numbers), view.upstream.upstream_id
        tokens, seconds = self._read.pop(upstream_id, (0, 0.0))
        granted = asyncio.Event()
        self._waiting[number] = (upstream_id, granted)
        self._send(
            upstream_id,
            StartRequest(
                number, request_info.prompt_tokens, route.max_pause_s, slack_s, tokens, seconds
            ),
        )
        try:
            async with asyncio.timeout(slack_s + GRANT_MARGIN_S):
                await granted.wait()
        except TimeoutError:
            # The agent may be frozen; a late start is better than none.
            pass
        finally:
            del self._waiting[number]
        return time.monotonic() - started
