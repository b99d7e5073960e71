"""Pool of links to sidecars: opened on first use, bounded in number, closed when idle."""

import threading
from typing import final

from dragonflyhold.config.objects import Upstream
from dragonflyhold.errors import ErrorCode, not_run
from dragonflyhold.timers import Tick
from dragonflyhold.transport.upstream_stream import LinkContext, UpstreamLink

_Key = tuple[str, str]


@final
class ChannelPool:
    """Holds at most ``max_channels`` links, keyed by upstream name and address; thread-safe."""

    def __init__(self, context: LinkContext) -> None:
        self._context = context
        self._links: dict[_Key, UpstreamLink] = {}
        self._lock = threading.Lock()
        self._is_closed = False

    def link(self, upstream: Upstream) -> UpstreamLink:
        """Return the link to an upstream.

        Raise ``RequestError`` with ``no_upstream`` if the pool is full and every link has open
        requests, or with ``shutting_down`` after ``close``.
        """
        key = (upstream.name, upstream.sidecar_address)
        with self._lock:
            existing_link = self._links.get(key)
            if existing_link is not None:
                return existing_link
            if self._is_closed:
                raise not_run(ErrorCode.SHUTTING_DOWN, "the entry daemon has stopped")
            if len(self._links) >= self._context.settings.max_channels:
                self._close_least_recently_used()
            link = UpstreamLink(upstream.name, upstream.sidecar_address, self._context)
            self._links[key] = link
            return link

    def tick(self, tick: Tick) -> None:
        """Send heartbeats, check each link for overdue frames, and close idle links."""
        with self._lock:
            links = list(self._links.items())
        for _, link in links:
            link.tick(tick.now, tick.paused_s)
        idle_s = self._context.settings.idle_close_s
        with self._lock:
            for key, link in links:
                if link.close_if_idle(tick.now, idle_s):
                    self._links.pop(key, None)
            self._context.metrics.set_level("channels", len(self._links))

    def close(self) -> None:
        """Close all links; their open requests end with ``RequestLost``."""
        with self._lock:
            self._is_closed = True
            links = list(self._links.values())
            self._links.clear()
        for link in links:
            link.close()

    def _close_least_recently_used(self) -> None:
        for key, link in sorted(self._links.items(), key=lambda pair: pair[1].used_at):
            if link.close_if_idle(self._context.clock(), 0.0):
                del self._links[key]
                return
        raise not_run(ErrorCode.NO_UPSTREAM, "all channels have open requests", 100)
