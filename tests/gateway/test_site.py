"""Tests of the whole path: a client's request through gateway, agent, store and runners."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

from dragonflyhold.gateway.progress import PAUSE_SILENCE_S
from dragonflyhold.platform.standins.runner import Fault, UpstreamStandIn
from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, running_deployment
from dragonflyhold.platform.standins.store import StoreFault

Result = TypeVar("Result")


def _play(play: Callable[[InProcessDeployment], Awaitable[Result]], **parts: int) -> Result:
    async def run() -> Result:
        async with running_deployment(**parts) as site:
            return await play(site)

    return asyncio.run(run())


def _runs(site: InProcessDeployment) -> list[dict[str, object]]:
    return [run for upstream in site.upstreams.values() for run in upstream.runs]


class TestPassThrough:
    """Pass through."""

    def test_an_answer_is_the_upstreams(self) -> None:
        async def play(site: InProcessDeployment) -> tuple[Answer, list[dict[str, object]]]:
            headers = {"X-Own": "kept", "Connection": "x-hop", "X-Hop": "dropped", "Hold": "9"}
            answer = await site.call("/book/7?q=%20", headers=headers, body=b"pay")
            return answer, _runs(site)

        answer, runs = _play(play)
        assert (answer.status, answer.body) == (200, b"answer to /book/7?q=%20")
        assert answer.fields[b"response-signature"].startswith(b"sig.p")
        assert len(runs) == 1
        fields = runs[0]["fields"]
        assert isinstance(fields, dict)
        assert runs[0]["body"] == b"pay"
        assert fields[b"x-own"] == b"kept"
        assert not fields.keys() & {b"x-hop", b"hold", b"keep-alive"}
        assert fields[b"expected-instance"].startswith(b"p")
        assert 0 < int(fields[b"deadline-remaining"]) <= 1500

    def test_the_adapter_is_loaded_and_the_stream_is_whole(self) -> None:
        answer, runs = _play(self._one_stream)
        assert (answer.status, answer.event_ids) == (200, [1, 2, 3, 4, 5, 6])
        assert [run["adapter"] for run in runs] == ["a5"]

    async def _one_stream(
        self, site: InProcessDeployment
    ) -> tuple[Answer, list[dict[str, object]]]:
        return await site.call("/ask/x", adapter="a5"), _runs(site)

    def test_unknown_paths_get_404(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            return (await site.call("/elsewhere/x")).status

        assert _play(play) == 404

    def test_before_any_configuration_the_answer_is_503(self) -> None:
        """A 404 would tell the client that the route does not exist."""

        async def run() -> Answer:
            site = InProcessDeployment()
            await site.store.start()
            site.store.fault = StoreFault.REFUSING
            await site.add_gateway()
            try:
                return await site.call("/book/1")
            finally:
                await site.close()

        answer = asyncio.run(run())
        assert answer.status == 503
        assert float(answer.fields[b"retry-after"]) > 0


class TestAtMostOnce:
    """At most once."""

    def test_an_unanswered_unsafe_request_is_not_retried(self) -> None:
        async def play(site: InProcessDeployment) -> tuple[int, int]:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.BREAK_BEFORE]
            answer = await site.call("/book/1")
            return answer.status, len(_runs(site))

        assert _play(play) == (502, 1)

    def test_a_refusal_by_an_upstream_is_no_run(self) -> None:
        async def play(site: InProcessDeployment) -> tuple[int, int]:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.REFUSE]
            answer = await site.call("/book/1")
            return answer.status, len(_runs(site))

        status, runs = _play(play)
        assert (status, runs) in [(200, 1), (503, 0)]

    def test_a_stream_that_may_not_be_resumed_runs_once(self) -> None:
        async def play(site: InProcessDeployment) -> tuple[Answer, int]:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.BREAK_MIDWAY]
            answer = await site.call("/draft/1", adapter="a1")
            return answer, len(_runs(site))

        answer, runs = _play(play)
        assert not answer.complete
        assert (answer.event_ids, runs) == ([1, 2], 1)

    def test_a_request_to_an_unreachable_upstream_is_sent_elsewhere(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            site.upstreams["p0"].close()
            return sum([(await site.call("/book/1")).status == 200 for _ in range(6)])

        assert _play(play) == 6


class TestRetries:
    """Repeats."""

    def test_a_safe_request_is_retried_on_another_upstream(self) -> None:
        async def play(site: InProcessDeployment) -> tuple[int, set[str]]:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.BREAK_BEFORE] if upstream.upstream_id == "p0" else []
            statuses = [(await site.call("/read/1", method="GET", body=b"")).status for _ in "1234"]
            return statuses.count(200), {r.upstream_id for r in site.upstreams.values() if r.runs}

        assert _play(play)[0] == 4

    def test_the_first_failure_of_an_upstream_is_passed_on_when_all_fail(self) -> None:
        async def play(site: InProcessDeployment) -> Answer:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.FAIL] * 4
            return await site.call("/read/1", method="GET", body=b"")

        answer = _play(play)
        assert (answer.status, answer.body) == (500, b"failed")
        assert b"response-signature" in answer.fields

    def test_a_success_without_a_signature_is_none(self) -> None:
        async def play(site: InProcessDeployment) -> Answer:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.UNSIGNED]
            return await site.call("/book/1")

        answer = _play(play)
        assert answer.status == 502
        assert b"unsigned" not in answer.body

    def test_a_stream_is_resumed_on_another_upstream(self) -> None:
        """One answer: the first runner's head, every event once, the end only at the end."""

        async def play(site: InProcessDeployment) -> tuple[Answer, list[dict[str, object]]]:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.BREAK_MIDWAY]
            first = await site.call("/ask/1", adapter="a1")
            return first, _runs(site)

        answer, runs = _play(play)
        starts = [int(str(run["first"])) for run in runs]
        assert sorted(starts) == [1, 3]
        assert len(runs) <= 2, "max_attempts bounds the runners that run one attempt"
        assert answer.event_ids == list(range(1, len(answer.event_ids) + 1))
        assert answer.complete == (answer.event_ids[-1] == 6)


class TestMissingAnswers:
    """Pattern: a runner runs a request and its answer is lost, with the connection open."""

    @pytest.mark.parametrize("fault", [Fault.HANG, Fault.HANG_MIDWAY])
    def test_a_resumable_stream_goes_on(self, fault: Fault) -> None:
        """One in twenty streams waited for its client's deadline."""

        async def play(site: InProcessDeployment) -> Answer:
            await site.call("/ask/1", adapter="a1")
            holder = next(upstream for upstream in site.upstreams.values() if upstream.runs)
            holder.faults = [fault]
            return await site.call("/ask/1", adapter="a1")

        answer = _play(play)
        assert answer.complete
        assert answer.event_ids == [1, 2, 3, 4, 5, 6]

    def test_a_stream_leaves_an_unreachable_vm_before_the_silence_limit(self) -> None:
        """Pattern: a VM goes dark with all that runs there; its agent's pulses tell."""

        async def play(site: InProcessDeployment) -> tuple[Answer, float]:
            await site.call("/ask/1", adapter="a1")
            holder = next(upstream for upstream in site.upstreams.values() if upstream.runs)
            holder.faults = [Fault.HANG_MIDWAY]
            site.freeze_agent(holder.upstream_id)
            started = asyncio.get_running_loop().time()
            answer = await site.call("/ask/1", adapter="a1")
            return answer, asyncio.get_running_loop().time() - started

        answer, elapsed = _play(play)
        assert answer.event_ids == [1, 2, 3, 4, 5, 6]
        assert elapsed < PAUSE_SILENCE_S, "it waited for the silence limit of a single engine"

    def test_a_safe_request_is_sent_again(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            site.upstreams["p0"].faults = [Fault.HANG]
            site.upstreams["p1"].faults = [Fault.HANG]
            calls = [site.call("/read/1", method="GET", body=b"") for _ in "12"]
            return sum(answer.status == 200 for answer in await asyncio.gather(*calls))

        assert _play(play) == 2

    def test_a_stream_that_may_not_be_resumed_is_waited_for(self) -> None:
        """A runner's silence is no reason to end an answer sooner."""

        async def play(site: InProcessDeployment) -> tuple[int, float]:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.HANG]
            started = asyncio.get_running_loop().time()
            headers = {"Deadline-Remaining": "900"}
            answer = await site.call("/draft/1", adapter="a1", headers=headers)
            return answer.status, asyncio.get_running_loop().time() - started

        status, elapsed = _play(play)
        assert status == 504
        assert elapsed > 0.8


class TestAdapterSlots:
    """Adapter places."""

    def test_slots_never_overflow_and_used_adapters_stay(self) -> None:
        """Pattern: a flood of rare adapters, more at once than there are places."""

        async def play(site: InProcessDeployment) -> tuple[list[int], int]:
            calls = [site.call("/ask/1", adapter=f"a{n}", gateway=n % 2) for n in range(24)]
            answers = await asyncio.gather(*calls)
            return [answer.status for answer in answers], max(
                upstream.max_slots_used for upstream in site.upstreams.values()
            )

        statuses, most_held = _play(play, gateways=2)
        assert most_held <= 3
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 12

    def test_unanswered_commands_do_not_stop_the_agent(self) -> None:
        """Pattern: workers leave orders unanswered; each held up the agent for 0.4 s."""

        async def play(site: InProcessDeployment) -> tuple[list[int], int]:
            for upstream in site.upstreams.values():
                upstream.lost_commands = 2
            calls = [site.call("/ask/1", adapter=f"a{n}") for n in range(6)]
            answers = await asyncio.gather(*calls)
            return [answer.status for answer in answers], max(
                upstream.max_slots_used for upstream in site.upstreams.values()
            )

        statuses, most_held = _play(play)
        assert statuses.count(200) == 6
        assert most_held <= 3

    def test_commands_name_one_holder_and_a_rising_token(self) -> None:
        """A token that fell after a restart of the holder broke the order rule."""

        async def play(site: InProcessDeployment) -> list[tuple[str, int]]:
            upstream = site.upstreams["e0"]
            await site.call("/ask/1", adapter="a1")
            await site.agents["e0"].close()
            await site.start_agent("e0")
            await asyncio.sleep(0.3)
            await asyncio.gather(*(site.call("/ask/1", adapter=f"a{n}") for n in range(2, 8)))
            return [(command["holder"], command["fencing_token"]) for command in upstream.commands]

        commands = _play(play, engines=1)
        assert len({holder for holder, _ in commands}) == 1
        tokens = [token for _, token in commands]
        assert tokens == sorted(tokens)
        assert len(set(tokens)) == 2

    def test_a_dead_agent_does_not_stop_loaded_adapters(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            await site.call("/ask/1", adapter="a1")
            for agent in site.agents.values():
                await agent.close()
            await asyncio.sleep(0.05)
            return (await site.call("/ask/1", adapter="a1")).status

        assert _play(play) == 200

    def test_a_new_version_takes_hold(self) -> None:
        async def play(site: InProcessDeployment) -> list[object]:
            await site.call("/ask/1", adapter="a1")
            for upstream in site.upstreams.values():
                upstream.latest_versions["a1"] = 2
            site.store.put(
                "op", "version/base.a1", {"model": "base", "adapter": "a1", "version": 2}
            )
            await asyncio.sleep(0.3)
            for _ in range(3):
                await site.call("/ask/1", adapter="a1")
            return [run["version"] for run in _runs(site)]

        assert _play(play) == [1, 2, 2, 2]

    def test_a_restarted_engine_is_filled_anew(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            upstream = site.upstreams["e0"]
            await site.call("/ask/1", adapter="a1")
            _restart(upstream)
            site.store.put("servers", "e0", upstream.entry())
            await asyncio.sleep(0.3)
            return (await site.call("/ask/1", adapter="a1")).status

        assert _play(play, engines=1) == 200


def _restart(upstream: UpstreamStandIn) -> None:
    upstream.start_time_ms += 1
    upstream.sequence = 0
    upstream.adapters.clear()


class TestLeaving:
    """Leaving."""

    def test_a_draining_upstream_gets_no_new_requests(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            site.store.put("servers", "p0", site.upstreams["p0"].entry("draining"))
            await asyncio.sleep(1.3)
            for _ in range(6):
                await site.call("/book/1")
            return len(site.upstreams["p0"].runs)

        assert _play(play) == 0

    def test_a_stop_ends_open_answers_first(self) -> None:
        async def play(site: InProcessDeployment) -> Answer:
            site.upstreams["e0"].events = 60
            call = asyncio.ensure_future(site.call("/ask/1", adapter="a1"))
            await asyncio.sleep(0.2)
            stop = asyncio.ensure_future(site.gateways[0].drain())
            answer = await call
            await stop
            return answer

        answer = _play(play, engines=1)
        assert answer.complete
        assert len(answer.event_ids) == 60

    def test_a_client_that_leaves_stops_its_run(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            site.upstreams["e0"].events = 400
            call = asyncio.ensure_future(site.call("/ask/1", adapter="a1"))
            await asyncio.sleep(0.3)
            call.cancel()
            await asyncio.sleep(0.2)
            return sum(site.upstreams["e0"].active_requests.values())

        assert _play(play, engines=1) == 0

    def test_the_time_of_the_route_ends_a_request(self) -> None:
        async def play(site: InProcessDeployment) -> int:
            for upstream in site.upstreams.values():
                upstream.faults = [Fault.HANG]
            return (await site.call("/book/1", headers={"Deadline-Remaining": "200"})).status

        assert _play(play) == 504
