"""Gateway side of the knowledge of where streams began.

A gateway keeps the origins of its own streams. While another version than the one that serves could
have begun a stream, it also tells some agents, which outlive it and which every gateway finds by
the stream's key. A take-up of a stream that a gateway does not know is decided by what these agents
know; they ask other gateways if they don't.
"""

import asyncio
import dataclasses
import itertools
import math
from collections.abc import Callable, Sequence
from typing import Protocol, final

from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.messages import OriginQuery, OriginReply, OriginRow, OriginUpdate
from dragonflyhold.gateway.model import Configuration, Route, SoftwareVersion, Upstream
from dragonflyhold.gateway.recent_members import RecentMembers
from dragonflyhold.gateway.stream_origins import (
    RETENTION_S,
    KeptOrigin,
    OriginMemory,
    StreamKey,
    StreamOrigin,
    stream_key,
)
from dragonflyhold.ids import ServiceName

# Multiple of a route's time limit after which its streams are taken up no more.
LIFE_RATIO = 3.0
# Delay of a message to an agent, so that it carries several origins.
TELL_DELAY_S = 0.005
# Time to wait for the agents' replies.
REPLY_TIMEOUT_S = 0.15
# Time to wait until the incarnation of an upstream is confirmed, and interval between the checks.
SETTLE_TIMEOUT_S = 0.6
SETTLE_POLL_S = 0.02
# Incarnations whose software is kept.
MAX_INCARNATIONS = 4096


class OriginKeepers(Protocol):
    """The connected agents that keep origins."""

    def origin_keepers(self, key: StreamKey) -> Sequence[Link]:
        """Return the links to the agents that keep a stream's origin, first those of first rank."""


@final
@dataclasses.dataclass(slots=True)
class _OwnStream:
    """A stream that this gateway began or went on with."""

    route: Route
    # Monotonic time of its first event here.
    began_at: float
    # Whether the agents that keep its origin were told.
    is_told: bool = False


@final
class _Question:
    """A question to several agents, answered by the first that knows or once none does."""

    def __init__(self, asked: int) -> None:
        self.answer: asyncio.Future[OriginReply] = asyncio.get_running_loop().create_future()
        self._open = asked

    def note(self, reply: OriginReply) -> None:
        """Record one reply."""
        self._open -= 1
        if not self.answer.done() and (reply.origin is not None or self._open <= 0):
            self.answer.set_result(reply)


@final
class OriginDirectory:
    """Finds the origin of a stream that a client takes up.

    ``first_known_at`` is the monotonic time since when this process sees all upstreams, minus
    infinity if no stream is older. ``registry_read_at`` returns the time of the last read of the
    registry, ``None`` before the first; what it shows counts for ``notice_s`` seconds.
    ``has_run_since`` returns whether what ran at a time was an incarnation, ``None`` if unclear.
    """

    def __init__(
        self,
        keepers: OriginKeepers,
        registry_read_at: Callable[[], float | None],
        count_event: Callable[[str], None],
        first_known_at: float,
        notice_s: float,
        has_run_since: Callable[[str, float], bool | None],
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self._keepers = keepers
        self._registry_read_at = registry_read_at
        self._notice_s = notice_s
        self._has_run_since = has_run_since
        self._count_event = count_event
        self._first_known_at = first_known_at
        self._clock = clock
        self._memory = OriginMemory()
        self._software: RecentMembers[ServiceName, SoftwareVersion | None] = RecentMembers()
        # Times from which on streams may begin at a version that joined others.
        self._begins_at: dict[tuple[ServiceName, SoftwareVersion | None], float] = {}
        self._software_of: dict[str, SoftwareVersion] = {}
        self._services: RecentMembers[str, ServiceName] = RecentMembers()
        self._configured: list[tuple[str, ServiceName]] = []
        self._routes: dict[str, Route] = {}
        # Services with routes that stream.
        self._streaming: set[ServiceName] = set()
        # Streams of this gateway that may be taken up.
        self._own: dict[StreamKey, _OwnStream] = {}
        # Those of them whose upstream may have been another incarnation.
        self._unsure: dict[StreamKey, KeptOrigin] = {}
        self._to_tell: list[StreamKey] = []
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Question] = {}

    # What could have begun a stream

    def note_configuration(self, configuration: Configuration) -> None:
        """Record the services that the routes name now."""
        now = self._clock()
        routes = list(itertools.chain.from_iterable(configuration.routes.values()))
        configured = [
            (route.name, share.service)
            for route in routes
            for share in route.shares
            if share.weight
        ]
        self._routes = {route.name: route for route in routes}
        self._streaming = {
            share.service for route in routes if route.is_stream for share in route.shares
        }
        for pair in configured:
            self._services.add(*pair)
        for pair in self._configured:
            self._services.remove(*pair, now)
        self._configured = configured

    def upstream_changed(self, old: Upstream | None, new: Upstream) -> float:
        """Record that an upstream joined or that its entry changed.

        Return the monotonic time from which on streams should begin there. All gateways that read
        the registry know of its software by then.
        """
        version = (new.service, new.software)
        if old is not None and (old.service, old.software) == version:
            return self._begins_at.get(version, -math.inf)
        if new.software is not None:
            self._note_software(new.incarnation_id, new.software)
        now, is_first = self._clock(), self._registry_read_at() is None
        others = self._software.members(new.service, now - RETENTION_S)
        if new.software not in others:
            has_others = bool(others) and not is_first and new.service in self._streaming
            self._begins_at[version] = now + self._notice_s if has_others else -math.inf
        self._software.add(*version)
        if old is not None:
            is_same = old.incarnation_id == new.incarnation_id and old.software is None
            # Streams that began before the entry was read name the incarnation.
            left_at = -math.inf if is_same else now
            self._software.remove(old.service, old.software, left_at)
        if new.software not in others:
            self.tell_uncertain()
        return self._begins_at.get(version, -math.inf)

    def upstream_removed(self, upstream: Upstream) -> None:
        """Record that an upstream no longer serves."""
        self._software.remove(upstream.service, upstream.software, self._clock())

    def sole_origin(self, route: Route) -> StreamOrigin | None:
        """Return what has begun all streams of a route that may be taken up, if it is one version.

        All upstreams that may have begun one must be known, so it is ``None`` soon after a start
        and while the registry can't be read.
        """
        now = self._clock()
        since = now - _life_s(route)
        read_at = self._registry_read_at()
        if self._first_known_at > since or read_at is None or now - read_at > self._notice_s:
            return None
        services = self._services.members(route.name, since)
        if len(services) != 1:
            return None
        (service,) = services
        versions = self._software.members(service, since)
        if len(versions) != 1:
            return None
        (software,) = versions
        return StreamOrigin(service, software) if software is not None else None

    def _note_software(self, incarnation: str, software: SoftwareVersion) -> None:
        self._software_of.pop(incarnation, None)
        self._software_of[incarnation] = software
        if len(self._software_of) > MAX_INCARNATIONS:
            del self._software_of[next(iter(self._software_of))]

    def resolve(self, origin: StreamOrigin) -> StreamOrigin:
        """Return an origin with the software of its incarnation, if an entry has shown it since."""
        software = self._software_of.get(origin.incarnation)
        if origin.software is not None or software is None:
            return origin
        return dataclasses.replace(origin, software=software)

    # Origins of this gateway's streams

    def note_begun(
        self, request_id: str, route: Route, origin: StreamOrigin, is_sure: bool = True
    ) -> None:
        """Record the first event that this gateway sends in answer to a request.

        ``is_sure`` tells whether the incarnation is known to run now.
        """
        key, now = stream_key(request_id), self._clock()
        kept = KeptOrigin(origin, now, is_sure)
        self._memory.note(key, kept)
        self._own[key] = _OwnStream(route, now)
        if not is_sure:
            self._unsure[key] = kept
        if self.sole_origin(route) is None:
            self._tell(key)

    def tell_uncertain(self) -> None:
        """Tell of all streams whose version can't be concluded; call regularly."""
        for key in list(self._unsure):
            self._settle(key)
        now, uncertain = self._clock(), dict[str, bool]()
        for key, stream in list(self._own.items()):
            route = stream.route
            if now - stream.began_at > _life_s(route):
                del self._own[key]
                continue
            if stream.is_told:
                continue
            if route.name not in uncertain:
                uncertain[route.name] = self.sole_origin(route) is None
            if uncertain[route.name]:
                self._tell(key)

    def _settle(self, key: StreamKey) -> None:
        """Record what began an unsure stream once it is known; forget what can't be known."""
        kept = self._unsure[key]
        has_run = self._has_run_since(kept.origin.incarnation, kept.began_at)
        if has_run is None and key in self._own:
            return
        del self._unsure[key]
        if has_run:
            self._memory.note(key, dataclasses.replace(kept, is_sure=True))
        else:
            self._memory.drop(key)
        if key in self._own:
            self._own[key].is_told = False

    def note_keepers_changed(self) -> None:
        """Tell again of all streams, since other agents keep some of them now."""
        for stream in self._own.values():
            stream.is_told = False

    def _tell(self, key: StreamKey) -> None:
        self._own[key].is_told = True
        if not self._to_tell:
            asyncio.get_running_loop().call_later(TELL_DELAY_S, self._flush)
        self._to_tell.append(key)

    def _flush(self) -> None:
        now, rows = self._clock(), dict[Link, list[OriginRow]]()
        for key in self._to_tell:
            kept = self._memory.find(key, now)
            if kept is None:
                continue
            row = OriginRow(key, kept.origin, now - kept.began_at, kept.is_sure)
            for link in self._keepers.origin_keepers(key):
                rows.setdefault(link, []).append(row)
        self._to_tell.clear()
        for link, told in rows.items():
            link.send(OriginUpdate(told))

    # Take-ups

    async def find(self, request_id: str | None, route: Route) -> StreamOrigin | None:
        """Return the origin of the stream that a request began, ``None`` if nobody knows it.

        Waits for at most ``SETTLE_TIMEOUT_S`` and ``REPLY_TIMEOUT_S`` seconds.
        """
        key = stream_key(request_id or "")
        kept = self._memory.find(key, self._clock())
        if kept is None or not kept.is_sure:
            sole = self.sole_origin(route)
            if sole is not None:
                return sole
        if kept is None:
            # Without a name, others may still know that one version only has begun such streams.
            kept = await self._ask(key, route)
        if kept is None or not (kept.is_sure or await self._has_run(kept)):
            return None
        return self.resolve(kept.origin)

    async def _has_run(self, kept: KeptOrigin) -> bool:
        """Return whether an incarnation began a stream, once that is known."""
        until = self._clock() + SETTLE_TIMEOUT_S
        while True:
            has_run = self._has_run_since(kept.origin.incarnation, kept.began_at)
            if has_run is not None or self._clock() >= until:
                return has_run is True
            await asyncio.sleep(SETTLE_POLL_S)

    async def _ask(self, key: StreamKey, route: Route) -> KeptOrigin | None:
        links, number = self._keepers.origin_keepers(key), next(self._numbers)
        if not links:
            return None
        self._count_event("stream_origin_asked")
        question = self._waiting[number] = _Question(len(links))
        query = OriginQuery(number, key, route.name)
        for link in links:
            link.send(query)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await question.answer
        except TimeoutError:
            self._count_event("stream_origin_reply_missing")
            return None
        finally:
            del self._waiting[number]
        if reply.origin is None:
            return None
        return KeptOrigin(reply.origin, self._clock() - reply.age_s, reply.is_sure)

    def note_reply(self, reply: OriginReply) -> None:
        """Hand an agent's reply to the request that waits for it."""
        question = self._waiting.get(reply.number)
        if question is not None:
            question.note(reply)

    def reply_to(self, query: OriginQuery) -> OriginReply:
        """Return what this gateway knows of a stream that another one was asked for."""
        now = self._clock()
        kept = self._memory.find(query.key, now)
        if kept is not None:
            origin = self.resolve(kept.origin)
            return OriginReply(query.number, origin, now - kept.began_at, kept.is_sure)
        route = self._routes.get(query.route)
        return OriginReply(query.number, self.sole_origin(route) if route is not None else None)


def _life_s(route: Route) -> float:
    """Return the time after its first event within which a stream may be taken up."""
    return min(LIFE_RATIO * route.timeout_s, RETENTION_S)
