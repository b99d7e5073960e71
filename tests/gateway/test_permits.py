"""Tests of a gateway's permits for requests to limited upstreams."""

import asyncio

import pytest

from dragonflyhold.gateway.limit_windows import PROBE_S
from dragonflyhold.gateway.link import Link
from dragonflyhold.gateway.messages import (
    LimitReport,
    LimitStatement,
    Message,
    PermitReply,
    PermitRequest,
)
from dragonflyhold.gateway.permits import REPLY_TIMEOUT_S, SILENT_AGENT_S, UpstreamPermits
from dragonflyhold.gateway.upstream_view import LIMIT_STALE_S, UpstreamView
from tests.gateway.builders import upstream

GATEWAYS = 8


class _Agent:
    """Records what is sent to an agent that counts; replies with given waits."""

    def __init__(self, waits: list[float | None]) -> None:
        self.sent: list[Message] = []
        self.permits: UpstreamPermits | None = None
        self._waits = waits

    def send(self, message: Message) -> None:
        self.sent.append(message)
        if isinstance(message, PermitRequest) and self._waits:
            wait_s = self._waits.pop(0)
            if wait_s is not None:
                reply = PermitReply(message.number, wait_s)
                assert self.permits is not None
                asyncio.get_running_loop().call_soon(self.permits.note_reply, reply)


class _Agents:
    """The connected agents, of which one counts for the upstream of the tests."""

    def __init__(self, agent: _Agent) -> None:
        self.counter: _Agent | None = agent

    def find_counter(self, view: UpstreamView) -> Link | None:
        del view
        return self.counter  # type: ignore[return-value]

    def count_gateways(self) -> int:
        return GATEWAYS


class _Scenario:
    """A gateway's permits for one upstream, on a clock that tests set."""

    def __init__(self, *waits: float | None) -> None:
        self.now = 1000.0
        self.events: list[str] = []
        self.agent = _Agent(list(waits))
        self.agents = _Agents(self.agent)
        self.permits = UpstreamPermits(self.agents, self.events.append, lambda: self.now)
        self.agent.permits = self.permits
        self.view = UpstreamView(upstream(1), "10.0.0.1", 1)

    async def acquire(self, count: int = 1) -> list[bool]:
        return [await self.permits.acquire(self.view) for _ in range(count)]


class TestOddReplies:
    """Guards against an upstream that is never used again after one reply."""

    def test_a_wait_is_no_longer_than_the_time_between_two_probes(self) -> None:
        async def run() -> list[bool]:
            scenario = _Scenario(1e12, 0.0)
            scenario.permits.note_stated(scenario.view, 1.0)
            first = await scenario.acquire()
            scenario.now += PROBE_S
            return first + await scenario.acquire()

        assert asyncio.run(run()) == [False, True]


class TestStatements:
    """Guards against limits that are missed, or that hold for longer than they are stated."""

    def test_requests_before_the_limit_are_reported_once(self) -> None:
        scenario = _Scenario(0.0)

        async def run() -> None:
            assert await scenario.acquire(3) == [True] * 3
            scenario.now += 0.5
            scenario.permits.note_stated(scenario.view, 4.0)
            assert await scenario.acquire() == [True]

        asyncio.run(run())
        report, request = scenario.agent.sent
        assert isinstance(report, LimitReport)
        assert isinstance(request, PermitRequest)
        assert (report.statement.limit_per_s, report.sent_ages_s) == (4.0, [0.5] * 3)
        assert list(request.report.sent_ages_s) == []

    def test_another_agent_is_told_before_the_next_request(self) -> None:
        """Guards against permits of an agent that does not know what other gateways have sent."""
        scenario = _Scenario(0.0)

        async def run() -> None:
            assert await scenario.acquire(3) == [True] * 3
            scenario.permits.note_stated(scenario.view, 4.0)

        asyncio.run(run())
        scenario.now += 0.5
        other = scenario.agents.counter = _Agent([])
        unlimited = UpstreamView(upstream(2), "10.0.0.2", 2)
        scenario.permits.note_agents_changed([unlimited, scenario.view])
        scenario.permits.note_agents_changed([unlimited, scenario.view])
        assert len(other.sent) == 1
        report = other.sent[0]
        assert isinstance(report, LimitReport)
        assert (report.statement.limit_per_s, report.sent_ages_s) == (4.0, [0.5] * 3)

    def test_an_answer_to_an_older_request_does_not_end_a_limit(self) -> None:
        scenario = _Scenario()
        sent_at = scenario.now
        scenario.now += 0.2
        scenario.permits.note_stated(scenario.view, 4.0)
        scenario.permits.note_unstated(scenario.view, sent_at)
        assert scenario.view.limit_per_s == 4.0
        scenario.permits.note_unstated(scenario.view, scenario.now + 0.1)
        assert scenario.view.limit_per_s is None

    def test_the_newest_statement_of_other_gateways_holds(self) -> None:
        scenario = _Scenario()
        scenario.permits.apply(scenario.view, LimitStatement("r1@1", 3.0, 0.1))
        assert scenario.view.limit_per_s == 3.0
        scenario.permits.apply(scenario.view, LimitStatement("r1@1", None, 0.2))
        assert scenario.view.limit_per_s == 3.0
        scenario.permits.apply(scenario.view, LimitStatement("r1@1", None, 0.05))
        assert scenario.view.limit_per_s is None

    def test_a_limit_that_no_answer_confirms_keeps_no_adapters_away(self) -> None:
        """Guards against an engine that stays empty, as no answer tells that its limit ended."""
        scenario = _Scenario()
        scenario.permits.note_stated(scenario.view, 4.0)
        assert scenario.view.is_limited(scenario.now)
        assert not scenario.view.is_limited(scenario.now + LIMIT_STALE_S + 0.1)


class TestPermits:
    """Guards against requests beyond a limit, and against a limit that depends on one agent."""

    def test_a_refused_permit_makes_the_upstream_unavailable(self) -> None:
        scenario = _Scenario(0.7)
        scenario.permits.note_stated(scenario.view, 4.0)
        assert asyncio.run(scenario.acquire(2)) == [False, False]
        assert scenario.events == ["permit_refused"]
        assert not scenario.view.is_available(scenario.now + 0.6)
        assert scenario.view.is_available(scenario.now + 0.8)

    def test_a_changed_limit_is_tried_at_once(self) -> None:
        scenario = _Scenario(3.0)
        scenario.permits.note_stated(scenario.view, 1.0)
        assert asyncio.run(scenario.acquire()) == [False]
        scenario.permits.note_stated(scenario.view, 20.0)
        assert scenario.view.is_available(scenario.now)

    @pytest.mark.parametrize("is_connected", [True, False])
    def test_without_a_reply_a_gateway_sends_its_share(self, is_connected: bool) -> None:
        scenario = _Scenario()
        if not is_connected:
            scenario.agents.counter = None
        scenario.permits.note_stated(scenario.view, 4.0)

        async def run() -> int:
            sent = 0
            for _ in range(1000):
                scenario.now += 0.02
                sent += sum(await scenario.acquire())
                if "permit_reply_missing" in scenario.events:
                    # One wait for a reply is enough.
                    scenario.view.counter_silent_until = 1e9
            return sent

        # 20 s at an eighth of 4 requests a second.
        assert 8 <= asyncio.run(run()) <= 11

    def test_a_silent_agent_is_not_asked_for_each_request(self) -> None:
        """Guards against requests that each wait for a frozen agent."""
        scenario = _Scenario(None, 0.0)
        scenario.permits.note_stated(scenario.view, 4.0)

        async def run() -> float:
            started = asyncio.get_running_loop().time()
            await scenario.acquire(20)
            return asyncio.get_running_loop().time() - started

        assert asyncio.run(run()) < 3 * REPLY_TIMEOUT_S
        scenario.now += SILENT_AGENT_S + 0.1
        scenario.view.no_permit_until = 0.0
        assert asyncio.run(scenario.acquire()) == [True]

    def test_a_share_counts_what_was_sent_before_the_limit(self) -> None:
        """Guards against a share that begins anew while the counting agent is away."""
        scenario = _Scenario()
        scenario.agents.counter = None
        asyncio.run(scenario.acquire(20))
        scenario.permits.note_stated(scenario.view, 8.0)

        async def run() -> list[bool]:
            allowed = []
            for _ in range(60):
                scenario.now += 0.05
                allowed += await scenario.acquire()
            return allowed

        assert not any(asyncio.run(run()))

    def test_another_agent_is_told_of_all_recent_requests(self) -> None:
        """Guards against a count that begins anew when another agent counts."""
        scenario = _Scenario(0.0, 0.0, 0.0)
        scenario.permits.note_stated(scenario.view, 4.0)
        asyncio.run(scenario.acquire(2))
        other = _Agent([0.0])
        other.permits = scenario.permits
        scenario.agents.counter = other
        scenario.now += 0.25
        assert asyncio.run(scenario.acquire()) == [True]
        (request,) = other.sent
        assert isinstance(request, PermitRequest)
        assert list(request.report.sent_ages_s) == [0.25, 0.25]
