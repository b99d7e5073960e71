"""Seeded soak in virtual time of full engines that preempt, pause and take over streams.

The oracle, which has tests of its own, judges what clients and upstreams see.
"""

import asyncio
import dataclasses
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Any
from unittest import mock

import pytest

from dragonflyhold.bench.virtual_network import ONE_WAY_DELAY_S
from dragonflyhold.bench.virtual_time import VirtualLoop, run_virtual
from dragonflyhold.gateway.daemon import GatewayDaemon
from dragonflyhold.gateway.http_client import Call, Exchange, ExchangeError, Head
from dragonflyhold.gateway.model import Address
from dragonflyhold.platform.settings import Bounds
from dragonflyhold.platform.standins.pauses import Pause, RunTimeline
from dragonflyhold.platform.standins.runner import Fault as UpstreamFault
from dragonflyhold.platform.standins.runner import UpstreamStandIn
from dragonflyhold.platform.standins.site import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    client_call,
    configuration,
    set_engine_size,
)
from tests.gateway.soak import GATEWAYS, Fault, Soak
from tests.gateway.takeover_oracle import (
    REFUSALS,
    Budget,
    Ending,
    Kind,
    Request,
    Run,
    Span,
    TakeoverOracle,
)

BATCH = 4
ADAPTER_SLOTS = 3
ADAPTERS = ("a1", "a2", "")
EVENTS = 30
EVENT_INTERVAL_S = 0.05
ANSWER_S = 0.2
TIME_LIMIT_MS = 8000
CLIENT_LIMITS_MS = (8000, 8000, 8000, 4000)
PAUSE_RANGE_S = (0.5, 2.5)
# Clients leave a stream after the longest of this gap and these multiples of the target latency and
# of the longest accepted pause between two events.
MIN_PATIENCE_S = 2.0
TARGET_LATENCIES, ACCEPTED_PAUSES = 4, 8
# Share of the clients that leave early, and of the takeovers at which the old run goes on.
LEAVING_SHARE = 0.1
RETURN_SHARE = 0.3
# Share of the runs in which engines are full and preempt streams.
PREEMPTING_SHARE = 0.6
# Share of the pauses that begin in the middle of an event.
INSIDE_SHARE = 0.7
# Share of the requests sent to a gateway that stops while one does.
STOPPING_SHARE = 0.4
# Least share of the last requests that must be served.
RECOVERED_SHARE = 0.25
# What an upstream makes of a request that resumes a stream; without a fault, it goes on with it.
RESUME_FAULTS = (
    UpstreamFault.REFUSE,
    UpstreamFault.REFUSE_LATE,
    UpstreamFault.HANG,
    UpstreamFault.BREAK_BEFORE,
    UpstreamFault.BREAK_MIDWAY,
    UpstreamFault.HANG_MIDWAY,
    UpstreamFault.FAIL,
    UpstreamFault.UNSIGNED,
)
# Routes by their paths, with the largest number of upstreams; all but the last two are streams.
ROUTES = {
    "/ask1/1": (Kind.RESUMABLE, 1),
    "/ask/1": (Kind.RESUMABLE, 2),
    "/ask3/1": (Kind.RESUMABLE, 3),
    "/draft/1": (Kind.ONCE, 1),
    "/draft3/1": (Kind.ONCE, 3),
    "/read/1": (Kind.SAFE, 2),
    "/read3/1": (Kind.SAFE, 3),
}
# Paths that are drawn more often, beside one of each.
PATHS = (*ROUTES, "/ask/1", "/ask/1", "/ask3/1", "/ask3/1")
SECOND_PLAIN_SERVICE = "shelf"


@dataclasses.dataclass
class _Exchange:
    """A client's request and its progress."""

    request: Request
    gateway: GatewayDaemon
    path: str
    # Time at which the client leaves whatever it gets.
    leaves_at: float
    head: Head | None = None
    body: bytes = b""


class TakeoverSoak(Soak):
    """One run in which upstreams fall silent, are full, and break off what they take over."""

    engines = 6
    plain = 2
    run_s = 24.0
    request_gap_s = 0.06
    fault_gap_s = (0.1, 0.8)

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.target_latency_s = self._rng.choice([0.3, 0.6])
        self.accepted_pause_s = self._rng.choice([0.2, 0.4])
        # Without preemptions, more takeovers are accepted.
        self._has_preemptions = self._rng.random() < PREEMPTING_SHARE
        self.unreachable: dict[str, list[Span]] = defaultdict(list)
        self._exchanges: dict[str, _Exchange] = {}
        # What gateways sent to each upstream.
        self._sent_to: dict[str, list[RunTimeline]] = defaultdict(list)
        self._stopped: dict[GatewayDaemon, float] = {}
        self._stopping: list[GatewayDaemon] = []
        self._version = 1
        self._has_leaving_engine = False

    @property
    def requests(self) -> list[Request]:
        """Return the requests, with what the upstreams made of them."""
        requests = {number: each.request for number, each in self._exchanges.items()}
        for name, upstream in self.deployment.upstreams.items():
            arrived = {number for _, number in upstream.received}
            waiting = [
                # What was sent to a VM that could not be reached.
                *(each for each in self._sent_to[name] if each.request_id not in arrived),
                *upstream.unread,
            ]
            for timeline in (*upstream.timelines, *waiting):
                if timeline.request_id in requests:
                    run = self._run_of(name, timeline, is_unread=timeline in waiting)
                    requests[timeline.request_id].runs.append(run)
            for at, number in upstream.received:
                if number in requests:
                    requests[number].arrivals.append(at)
        for each in self._exchanges.values():
            each.request.stopped_at = self._stopped.get(each.gateway, float("inf"))
        return list(requests.values())

    def _run_of(self, name: str, timeline: RunTimeline, *, is_unread: bool) -> Run:
        upstream = self.deployment.upstreams[name]
        pauses = {*timeline.pauses, *(pause for pause in upstream.pauses if pause.is_of_all)}
        return Run(
            upstream=name,
            accepted_at=timeline.accepted_at,
            ended_at=timeline.ended_at,
            begun_at=timeline.begun_at,
            head_at=timeline.head_at,
            is_faulty=timeline.is_faulty,
            is_unread=is_unread,
            pauses=[
                *((pause.begins_at, pause.ends_at) for pause in pauses),
                *self.unreachable[name],
            ],
        )

    def find_violations(self, requests: Sequence[Request]) -> list[str]:
        """Return which guarantees were broken."""
        bounds = Bounds()
        budget = Budget(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack)
        oracle = TakeoverOracle(
            requests, unreachable=self.unreachable, budget=budget, grace_s=bounds.grace_s
        )
        return oracle.find_violations()

    async def _add_gateway(self) -> GatewayDaemon:
        gateway = await super()._add_gateway()
        pool = gateway.gateway.pool
        send = pool.send

        async def note_sent(
            address: Address, call: Call, may_send: Callable[[], bool] = lambda: True
        ) -> Exchange:
            exchange = await send(address, call, may_send)
            names = [n for n, up in self.deployment.upstreams.items() if up.address == address]
            if names and call.request_id:
                now = asyncio.get_running_loop().time()
                number = call.request_id.decode()
                sent = RunTimeline(number, now, is_faulty=False, ended_at=now)
                self._sent_to[names[0]].append(sent)
            return exchange

        pool.send = note_sent  # type: ignore[method-assign]
        return gateway

    # Clients

    async def _send(self) -> None:
        if not self._is_prepared():
            return
        loop, rng = asyncio.get_running_loop(), self._rng
        path = rng.choice(PATHS)
        kind, max_attempts = ROUTES[path]
        is_stream = kind is not Kind.SAFE
        number, limit_ms = f"s{len(self._exchanges)}", rng.choice(CLIENT_LIMITS_MS)
        gateway = self._choose_gateway()
        request = Request(
            number=number,
            service=ENGINE_SERVICE if is_stream else PLAIN_SERVICE,
            kind=kind,
            max_attempts=max_attempts,
            sent_at=loop.time(),
            limit_s=limit_ms / 1000,
            events=[] if is_stream else None,
            all_events=EVENTS if is_stream else 0,
        )
        if is_stream:
            request.patience_s = max(
                MIN_PATIENCE_S,
                TARGET_LATENCIES * self.target_latency_s,
                ACCEPTED_PAUSES * self.accepted_pause_s,
            )
        leaves_at = float("inf")
        if rng.random() < LEAVING_SHARE:
            leaves_at = loop.time() + rng.uniform(0.05, 3.0)
        adapter = rng.choice(ADAPTERS) if is_stream else ""
        fields = self.deployment.client_fields(path, adapter, limit_ms, (100, 20))
        fields["Attempt-Id"] = number
        address = gateway._settings.client_listener
        assert address is not None
        each = _Exchange(request, gateway, path, leaves_at)
        try:
            exchange = await self.deployment.pool.send(
                address, client_call("POST", path, fields, b"body")
            )
        except ExchangeError:
            # The gateway is gone.
            return
        request.sent_at = loop.time()
        self._exchanges[number] = each
        try:
            await self._receive(each, exchange)
        finally:
            self.deployment.pool.release(address, exchange)
        if request.ending is Ending.CLOSED and loop.time() - request.sent_at < 2 * ONE_WAY_DELAY_S:
            # The request has crossed with the close of its connection, which nobody read.
            del self._exchanges[number]

    def _choose_gateway(self) -> GatewayDaemon:
        """Return any gateway in rotation, or one that stops and has a connection left."""
        pool = self.deployment.pool
        stopping = [
            gateway
            for gateway in self._stopping
            if pool._idle.get(gateway._settings.client_listener)  # type: ignore[arg-type]
        ]
        if stopping and self._rng.random() < STOPPING_SHARE:
            return self._rng.choice(stopping)
        return self._rng.choice(self.deployment.gateways)

    async def _receive(self, each: _Exchange, exchange: Exchange) -> None:
        """Read a response; leave when the client's patience or time is over."""
        loop, request = asyncio.get_running_loop(), each.request
        try:
            while True:
                leaves_at = min(request.leaves_at, each.leaves_at)
                async with asyncio.timeout(max(0.0, leaves_at - loop.time())):
                    if each.head is None:
                        each.head = await exchange.read_head()
                        continue
                    chunk = await exchange.read_chunk()
                if not chunk:
                    break
                each.body += chunk
                self._note_events(each)
            request.status = each.head.status
            request.ending = _ending_of(request.status)
        except TimeoutError:
            request.ending = Ending.LEFT
        except ExchangeError:
            request.ending = Ending.CLOSED if each.head is None else Ending.CUT
        request.ended_at = loop.time()
        if each.head is not None and each.head.status == 200:
            request.is_genuine = self._is_genuine(each)

    def _note_events(self, each: _Exchange) -> None:
        request = each.request
        if request.events is None or each.head is None or each.head.status != 200:
            return
        lines = each.body.split(b"\n")
        events = [int(line[3:]) for line in lines[:-1] if line.startswith(b"id:")]
        if len(events) > len(request.events):
            request.last_event_at = asyncio.get_running_loop().time()
        request.events = events

    def _is_genuine(self, each: _Exchange) -> bool:
        if each.request.events is None:
            return each.body == b"answer to " + each.path.encode()
        events = (b"id: %d\ndata: piece %d\n\n" % (n, n) for n in each.request.events)
        return each.body == b"".join(events)

    def _is_prepared(self) -> bool:
        """Set the upstreams up at the first request."""
        for upstream in self.deployment.upstreams.values():
            if upstream.batch is None:
                upstream.events, upstream.event_interval_s = EVENTS, EVENT_INTERVAL_S
                upstream.answer_s, upstream.batch = ANSWER_S, 10 * BATCH
                if upstream.service == ENGINE_SERVICE:
                    upstream.batch = BATCH
                    upstream.on_run_begun = self._go_on_elsewhere
        return bool(self.deployment.gateways)

    # Faults

    def _fault_kinds(self) -> Sequence[Fault]:
        preemptions = (
            self._preempt_all,
            self._preempt_all,
            self._preempt_some,
            self._preempt_some,
            self._preempt_in_series,
        )
        return (
            *(preemptions if self._has_preemptions else ()),
            self._stand_still,
            self._stand_still,
            self._stand_still,
            self._stand_still,
            self._freeze_vm,
            self._freeze_vm,
            self._spoil_takeovers,
            self._spoil_takeovers,
            self._spoil_takeovers,
            self._state_limit,
            self._turn_away,
            self._leave,
            self._change_configuration,
            self._change_configuration,
            self._reload,
            self._stop_gateway,
            self._restart_agent,
        )

    async def _end_after(self, pauses: Sequence[Pause], seconds: float, end: float) -> None:
        """Finish pauses after some time, at the latest at the end of all faults."""
        await asyncio.sleep(min(seconds, max(0.0, end - asyncio.get_running_loop().time())))
        for pause in pauses:
            pause.finish()

    def _engines(self) -> list[UpstreamStandIn]:
        upstreams = self.deployment.upstreams.values()
        return [upstream for upstream in upstreams if upstream.service == ENGINE_SERVICE]

    async def _preempt_all(self, end: float) -> None:
        """Fill all engines, and let the newest streams of each pause."""
        pauses = [engine.preempt(self._rng.randint(1, 3)) for engine in self._engines()]
        if self._rng.random() < 0.5:
            await self._end_after(pauses, self._rng.uniform(*PAUSE_RANGE_S), end)
            return
        await asyncio.gather(
            *(self._end_after([each], self._rng.uniform(*PAUSE_RANGE_S), end) for each in pauses)
        )

    async def _preempt_some(self, end: float) -> None:
        """Fill one or two engines, and let their newest streams pause."""
        engines = self._rng.sample(self._engines(), self._rng.randint(1, 2))
        pauses = [engine.preempt(self._rng.randint(1, 4)) for engine in engines]
        await self._end_after(pauses, self._rng.uniform(*PAUSE_RANGE_S), end)

    async def _preempt_in_series(self, end: float) -> None:
        """Let an engine's newest streams pause several times, with little progress in between."""
        engine = self._rng.choice(self._engines())
        for _ in range(3):
            pause = engine.preempt(2)
            await self._end_after([pause], self._rng.uniform(0.5, 1.5), end)
            await asyncio.sleep(self._rng.uniform(0.01, 0.3))

    async def _stand_still(self, end: float) -> None:
        """Let an upstream, but not its VM, pause, also in the middle of events."""
        upstream = self._rng.choice(list(self.deployment.upstreams.values()))
        pause = upstream.stand_still(is_inside_event=self._rng.random() < INSIDE_SHARE)
        await self._end_after([pause], self._rng.uniform(*PAUSE_RANGE_S), end)

    async def _freeze_vm(self, end: float) -> None:
        """Let an upstream and its VM, with the agent, pause."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        name = self._rng.choice(list(self.deployment.upstreams))
        upstream, start = self.deployment.upstreams[name], loop.time()
        ip = upstream.address.rpartition(":")[0]
        if loop.network.is_unreachable(ip):
            return
        loop.network.make_unreachable(ip)
        pause = upstream.stand_still(is_inside_event=self._rng.random() < INSIDE_SHARE)
        await self._end_after([pause], self._rng.uniform(*PAUSE_RANGE_S), end)
        loop.network.make_reachable(ip)
        self.unreachable[name].append((start, loop.time()))

    async def _spoil_takeovers(self, end: float) -> None:
        """Let engines accept requests that resume a stream, and not go on with it."""
        loop = asyncio.get_running_loop()
        engines = self._rng.sample(self._engines(), self._rng.randint(1, self.engines))
        for engine in engines:
            engine.resume_faults.append(self._rng.choice(RESUME_FAULTS))
        await asyncio.sleep(min(4.0, max(0.0, end - loop.time())))
        for engine in engines:
            engine.resume_faults.clear()

    def _go_on_elsewhere(self, begun: RunTimeline) -> None:
        """Let an old run go on just when a new one of the same request begins."""
        if self._rng.random() >= RETURN_SHARE:
            return
        for engine in self._engines():
            for timeline in engine.active_timelines:
                if timeline is not begun and timeline.request_id == begun.request_id:
                    for pause in timeline.pauses:
                        if not pause.is_of_all:
                            pause.finish()

    async def _state_limit(self, end: float) -> None:
        """Let an upstream state a limit on its requests for some time."""
        upstream = self._rng.choice(list(self.deployment.upstreams.values()))
        upstream.limit_per_s = self._rng.choice([2.0, 8.0])
        loop = asyncio.get_running_loop()
        await asyncio.sleep(min(self._rng.uniform(0.5, 3.0), max(0.0, end - loop.time())))
        upstream.limit_per_s = None

    async def _turn_away(self, end: float) -> None:
        """Let an upstream turn requests away and state for how long."""
        upstream = self._rng.choice(list(self.deployment.upstreams.values()))
        upstream.turn_away = [self._rng.choice([b"0.3", b"1", b"2.5"])]
        loop = asyncio.get_running_loop()
        await asyncio.sleep(min(self._rng.uniform(0.3, 1.0), max(0.0, end - loop.time())))
        upstream.turn_away = []

    async def _leave(self, end: float) -> None:
        """Let an engine state that it leaves, end its runs, and be replaced."""
        del end
        if self._has_leaving_engine:
            return
        self._has_leaving_engine = True
        engine = self._rng.choice(self._engines())
        engine.leaving = b"1"
        await asyncio.sleep(2.0)
        while engine.active_timelines or any(pause.is_open for pause in engine.pauses):
            await asyncio.sleep(0.02)
        old_id = engine.upstream_id
        engine.restart(f"{old_id.partition('~')[0]}~{self._version}")
        engine.on_restart(old_id)
        self._has_leaving_engine = False

    def _initial_configuration(self) -> dict[str, Any]:
        return self._make_configuration()

    def _make_configuration(self) -> dict[str, Any]:
        fields = configuration(
            self._version,
            timeout_ms=TIME_LIMIT_MS,
            target_latency_ms=round(self.target_latency_s * 1000),
            gap_target_ms=round(self.accepted_pause_s * 1000),
        )
        set_engine_size(fields, BATCH, ADAPTER_SLOTS)
        routes = {route["name"]: route for route in fields["routes"]}
        for name, base, max_attempts in (
            ("draft3", "draft", 3),
            ("ask1", "ask", 1),
            ("ask3", "ask", 3),
            ("read3", "read", 3),
        ):
            more = {"name": name, "prefix": f"/{name}/", "max_attempts": max_attempts}
            fields["routes"].append({**routes[base], **more})
        fields["services"].append({**fields["services"][1], "name": SECOND_PLAIN_SERVICE})
        return fields

    async def _change_configuration(self, end: float) -> None:
        """Add or remove a route, move or split one, or change limits or what a route states."""
        del end
        self._version += self._rng.randint(1, 3)
        fields, rng = self._make_configuration(), self._rng
        routes = {route["name"]: route for route in fields["routes"]}
        match rng.randrange(6):
            case 0:
                spare = {"name": "spare", "prefix": "/spare/", "max_attempts": 1}
                fields["routes"].append({**routes["read"], **spare})
            case 1:
                routes["book"]["service"] = SECOND_PLAIN_SERVICE
            case 2:
                routes["book"]["traffic_split"] = [
                    {"service": PLAIN_SERVICE, "weight": 1},
                    {"service": SECOND_PLAIN_SERVICE, "weight": 3},
                ]
            case 3:
                fields["limits"].update(idle_timeout_ms=rng.choice([1500, 5000, 15000]))
            case 4:
                for route in fields["routes"]:
                    route["timeout_ms"] = rng.choice([TIME_LIMIT_MS, 9000, 20000])
            case _:
                for route in fields["routes"]:
                    route["priority"] = rng.randrange(4)
                fields["routes"] = [route for route in fields["routes"] if route["name"] != "book"]
        self.deployment.store.put("op", "config", fields)

    async def _reload(self, end: float) -> None:
        """Reload the settings of a gateway, with other seeds."""
        del end
        gateway = self._rng.choice(self.deployment.gateways)
        seeds = tuple(self._rng.sample(gateway._settings.seeds, len(gateway._settings.seeds) // 2))
        self.deployment.reload_settings(gateway, seeds=seeds)

    async def _stop_gateway(self, end: float) -> None:
        """Stop a gateway as planned; clients use their connections until it is gone."""
        del end
        if len(self.deployment.gateways) < GATEWAYS:
            return
        gateway = self.deployment.gateways.pop(self._rng.randrange(GATEWAYS))
        self._stopped[gateway] = self.stopped_at[gateway] = asyncio.get_running_loop().time()
        self._stopping.append(gateway)
        await gateway.drain()
        await gateway.close()
        self._stopping.remove(gateway)
        await self._add_gateway()


def _ending_of(status: int) -> Ending:
    if status == 200:
        return Ending.WHOLE
    return Ending.REFUSED if status in REFUSALS else Ending.FAILED


def play(seed: int) -> TakeoverSoak:
    """Return a run."""

    async def scenario() -> TakeoverSoak:
        soak = TakeoverSoak(seed)
        await soak.run()
        return soak

    random.seed(seed)
    # The gateways' own generators are seeded by the system otherwise.
    seeds = itertools.count(1000 * seed)
    make = random.Random

    def make_seeded(*arguments: int) -> random.Random:
        return make(*(arguments or (next(seeds),)))

    with mock.patch.object(random, "Random", make_seeded):
        return run_virtual(scenario())


class TestTakeoverSoak:
    """Guards against responses that are cut, or run twice, because their upstream paused."""

    @pytest.mark.parametrize("seed", [7, 12, 20, 21])
    def test_guarantees_hold(self, seed: int) -> None:
        soak = play(seed)
        requests = soak.requests
        assert soak.find_violations(requests) == [], soak.faults
        end = max(request.sent_at for request in requests)
        late = [request.ending for request in requests if request.sent_at > end - 2.0]
        assert late.count(Ending.WHOLE) / len(late) >= RECOVERED_SHARE, soak.faults
