"""End-to-end tests of client requests through gateway, agent, store and upstreams."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

from dragonflyhold.gateway.model import UpstreamId
from dragonflyhold.gateway.progress import PAUSE_SILENCE_S
from dragonflyhold.platform.standins.runner import Fault, RawAnswer, UpstreamStandIn
from dragonflyhold.platform.standins.site import (
    Answer,
    InProcessDeployment,
    client_call,
    configuration,
    running_deployment,
)
from dragonflyhold.platform.standins.store import StoreFault

Result = TypeVar("Result")

# Silence after which the platform's clients leave a stream at the earliest.
CLIENT_PATIENCE_S = 2.0


def _run_scenario(
    scenario: Callable[[InProcessDeployment], Awaitable[Result]], **counts: int
) -> Result:
    async def run() -> Result:
        async with running_deployment(**counts) as deployment:
            return await scenario(deployment)

    return asyncio.run(run())


def _runs(deployment: InProcessDeployment) -> list[dict[str, object]]:
    return [run for upstream in deployment.upstreams.values() for run in upstream.runs]


class TestPassThrough:
    """Requests and answers that are relayed unchanged."""

    def test_an_answer_is_relayed_unchanged(self) -> None:
        async def scenario(
            deployment: InProcessDeployment,
        ) -> tuple[Answer, list[dict[str, object]]]:
            headers = {"X-Own": "kept", "Connection": "x-hop", "X-Hop": "dropped", "Hold": "9"}
            answer = await deployment.call("/book/7?q=%20", headers=headers, body=b"pay")
            return answer, _runs(deployment)

        answer, runs = _run_scenario(scenario)
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

    def test_an_adapter_is_loaded_for_a_stream(self) -> None:
        answer, runs = _run_scenario(self._call_stream_route)
        assert (answer.status, answer.event_ids) == (200, [1, 2, 3, 4, 5, 6])
        assert [run["adapter"] for run in runs] == ["a5"]

    async def _call_stream_route(
        self, deployment: InProcessDeployment
    ) -> tuple[Answer, list[dict[str, object]]]:
        return await deployment.call("/ask/x", adapter="a5"), _runs(deployment)

    def test_a_rejection_is_relayed_with_its_body(self) -> None:
        """Guards against an upstream's answer that bears its signature but not its body."""
        head = b"HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\nResponse-Signature: s\r\nContent-Length: 5"
        rejection = RawAnswer(head + b"\r\n\r\nno id")

        async def scenario(deployment: InProcessDeployment) -> Answer:
            for upstream in deployment.upstreams.values():
                upstream.faults = [rejection]
            return await deployment.call("/book/1")

        answer = _run_scenario(scenario)
        assert (answer.status, answer.body) == (400, b"no id")
        assert answer.fields[b"response-signature"] == b"s"

    def test_unknown_paths_get_404(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            return (await deployment.call("/elsewhere/x")).status

        assert _run_scenario(scenario) == 404

    def test_requests_get_503_without_a_configuration(self) -> None:
        """Guards against a 404, which would mean that the route does not exist."""

        async def run() -> Answer:
            deployment = InProcessDeployment()
            await deployment.store.start()
            deployment.store.fault = StoreFault.REFUSING
            await deployment.add_gateway()
            try:
                return await deployment.call("/book/1")
            finally:
                await deployment.close()

        answer = asyncio.run(run())
        assert answer.status == 503
        assert float(answer.fields[b"retry-after"]) > 0


class TestAtMostOnce:
    """Requests that must not be executed twice."""

    def test_an_unanswered_unsafe_request_is_not_retried(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.BREAK_BEFORE]
            answer = await deployment.call("/book/1")
            return answer.status, len(_runs(deployment))

        assert _run_scenario(scenario) == (502, 1)

    def test_a_refused_request_has_not_run(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[int, int]:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.REFUSE]
            answer = await deployment.call("/book/1")
            return answer.status, len(_runs(deployment))

        status, runs = _run_scenario(scenario)
        assert (status, runs) in [(200, 1), (503, 0)]

    def test_a_stream_that_is_not_resumable_runs_once(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[Answer, int]:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.BREAK_MIDWAY]
            answer = await deployment.call("/draft/1", adapter="a1")
            return answer, len(_runs(deployment))

        answer, runs = _run_scenario(scenario)
        assert not answer.complete
        assert (answer.event_ids, runs) == ([1, 2], 1)

    def test_a_request_to_an_unreachable_upstream_is_sent_elsewhere(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            deployment.upstreams["p0"].close()
            return sum([(await deployment.call("/book/1")).status == 200 for _ in range(6)])

        assert _run_scenario(scenario) == 6


class TestRetries:
    """Requests that may be repeated on another upstream."""

    def test_a_safe_request_is_retried_on_another_upstream(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> tuple[int, set[str]]:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.BREAK_BEFORE] if upstream.upstream_id == "p0" else []
            statuses = [
                (await deployment.call("/read/1", method="GET", body=b"")).status for _ in "1234"
            ]
            return statuses.count(200), {
                r.upstream_id for r in deployment.upstreams.values() if r.runs
            }

        assert _run_scenario(scenario)[0] == 4

    def test_the_answer_of_an_upstream_is_relayed_if_all_fail(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> Answer:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.FAIL] * 4
            return await deployment.call("/read/1", method="GET", body=b"")

        answer = _run_scenario(scenario)
        assert (answer.status, answer.body) == (500, b"failed")
        assert b"response-signature" in answer.fields

    def test_an_unsigned_success_is_not_relayed(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> Answer:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.UNSIGNED]
            return await deployment.call("/book/1")

        answer = _run_scenario(scenario)
        assert answer.status == 502
        assert b"unsigned" not in answer.body

    def test_a_stream_is_resumed_on_another_upstream(self) -> None:
        """The client gets one answer, which begins with the first upstream's head.

        It must have each event once and in order, and be complete only if it has the last one.
        """

        async def scenario(
            deployment: InProcessDeployment,
        ) -> tuple[Answer, list[dict[str, object]]]:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.BREAK_MIDWAY]
            first = await deployment.call("/ask/1", adapter="a1")
            return first, _runs(deployment)

        answer, runs = _run_scenario(scenario)
        starts = [int(str(run["first"])) for run in runs]
        assert sorted(starts) == [1, 3]
        assert len(runs) <= 2, "more upstreams than max_attempts ran one request"
        assert answer.event_ids == list(range(1, len(answer.event_ids) + 1))
        assert answer.complete == (answer.event_ids[-1] == 6)


class TestMissingResponses:
    """Upstreams that execute a request but never respond, with the connection left open."""

    @pytest.mark.parametrize("fault", [Fault.HANG, Fault.HANG_MIDWAY])
    def test_a_resumable_stream_is_completed_elsewhere(self, fault: Fault) -> None:
        """Guards against streams that wait until the client's deadline, formerly one in twenty."""

        async def scenario(deployment: InProcessDeployment) -> Answer:
            await deployment.call("/ask/1", adapter="a1")
            holder = next(upstream for upstream in deployment.upstreams.values() if upstream.runs)
            holder.faults = [fault]
            return await deployment.call("/ask/1", adapter="a1")

        answer = _run_scenario(scenario)
        assert answer.complete
        assert answer.event_ids == [1, 2, 3, 4, 5, 6]

    def test_a_stream_leaves_an_unreachable_vm_before_the_silence_limit(self) -> None:
        """Missing heartbeats of the agent show that the VM is unreachable."""

        async def scenario(deployment: InProcessDeployment) -> tuple[Answer, float]:
            await deployment.call("/ask/1", adapter="a1")
            holder = next(upstream for upstream in deployment.upstreams.values() if upstream.runs)
            holder.faults = [Fault.HANG_MIDWAY]
            deployment.freeze_agent(holder.upstream_id)
            started = asyncio.get_running_loop().time()
            answer = await deployment.call("/ask/1", adapter="a1")
            return answer, asyncio.get_running_loop().time() - started

        answer, elapsed = _run_scenario(scenario)
        assert answer.event_ids == [1, 2, 3, 4, 5, 6]
        assert elapsed < PAUSE_SILENCE_S, "the stream waited for the silence limit"

    def test_a_paced_request_does_not_start_at_a_vm_that_fell_silent(self) -> None:
        """Guards against requests that are sent to a frozen VM because no grant arrived."""

        async def scenario(deployment: InProcessDeployment) -> tuple[Answer, int, int]:
            fields = configuration(7)
            fields["routes"][0].update(gap_target_ms=300)
            deployment.store.put("op", "config", fields)
            await asyncio.sleep(0.1)
            await deployment.call("/ask/1", adapter="a1")
            holder = next(upstream for upstream in deployment.upstreams.values() if upstream.runs)
            before = len(holder.runs)
            deployment.freeze_agent(holder.upstream_id)
            view = deployment.gateways[0].gateway.table.views[UpstreamId(holder.upstream_id)]
            view.is_paced = True
            answer = await deployment.call("/ask/1", adapter="a1")
            return answer, before, len(holder.runs)

        answer, before, after = _run_scenario(scenario)
        assert answer.event_ids == [1, 2, 3, 4, 5, 6]
        assert after == before

    def test_a_stream_that_only_its_client_may_repeat_stays_until_the_client_leaves(self) -> None:
        """Guards against ending an answer because its VM is silent, which may go on later.

        The route allows one upstream an attempt; the client resumes at its last event.
        """

        async def scenario(deployment: InProcessDeployment) -> tuple[bytes, int, int]:
            fields = configuration(7)
            fields["routes"][0].update(max_attempts=1, timeout_ms=6000)
            deployment.store.put("op", "config", fields)
            await asyncio.sleep(0.1)
            await deployment.call("/ask/1", adapter="a1")
            holder = next(upstream for upstream in deployment.upstreams.values() if upstream.runs)
            holder.faults = [Fault.HANG_MIDWAY]
            deployment.freeze_agent(holder.upstream_id)
            headers = deployment.client_fields("/ask/1", "a1", 6000, (100, 20))
            address = deployment.client_address(0)
            exchange = await deployment.pool.send(
                address, client_call("POST", "/ask/1", headers, b"body")
            )
            received = b""
            try:
                async with asyncio.timeout(CLIENT_PATIENCE_S):
                    while chunk := await exchange.read_chunk():
                        received += chunk
            except TimeoutError:
                deployment.pool.release(address, exchange)
            else:
                pytest.fail("the answer ended before its client left")
            await asyncio.sleep(0.1)
            headers["Last-Event-Id"] = "2"
            resumed = await deployment.call("/ask/1", adapter="a1", headers=headers)
            return received, sum(holder.active_requests.values()), resumed.status

        received, still_running, status = _run_scenario(scenario)
        assert received.count(b"\n\n") == 2
        assert still_running == 0, "the run goes on after its client has left"
        assert status == 200

    def test_a_stream_leaves_an_upstream_that_only_trickles(self) -> None:
        """Guards against stalled streams that a byte now and then keeps open."""

        async def scenario(deployment: InProcessDeployment) -> Answer:
            await deployment.call("/ask/1", adapter="a1")
            holder = next(upstream for upstream in deployment.upstreams.values() if upstream.runs)
            holder.faults = [Fault.TRICKLE]
            return await deployment.call("/ask/1", adapter="a1")

        answer = _run_scenario(scenario)
        assert answer.complete
        assert answer.event_ids == [1, 2, 3, 4, 5, 6]

    def test_a_safe_request_is_sent_again(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            deployment.upstreams["p0"].faults = [Fault.HANG]
            deployment.upstreams["p1"].faults = [Fault.HANG]
            calls = [deployment.call("/read/1", method="GET", body=b"") for _ in "12"]
            return sum(answer.status == 200 for answer in await asyncio.gather(*calls))

        assert _run_scenario(scenario) == 2

    def test_a_stream_that_is_not_resumable_waits_until_its_deadline(self) -> None:
        """Guards against ending an answer early because its upstream is silent."""

        async def scenario(deployment: InProcessDeployment) -> tuple[int, float]:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.HANG]
            started = asyncio.get_running_loop().time()
            headers = {"Deadline-Remaining": "900"}
            answer = await deployment.call("/draft/1", adapter="a1", headers=headers)
            return answer.status, asyncio.get_running_loop().time() - started

        status, elapsed = _run_scenario(scenario)
        assert status == 504
        assert elapsed > 0.8


class TestAdapterSlots:
    """Use of adapter slots by agents and gateways."""

    def test_adapter_slots_never_overflow(self) -> None:
        """Covers requests for more rare adapters at once than there are slots.

        An adapter in use must not be unloaded either, which the stand-in asserts.
        """

        async def scenario(deployment: InProcessDeployment) -> tuple[list[int], int]:
            calls = [deployment.call("/ask/1", adapter=f"a{n}", gateway=n % 2) for n in range(24)]
            answers = await asyncio.gather(*calls)
            return [answer.status for answer in answers], max(
                upstream.max_slots_used for upstream in deployment.upstreams.values()
            )

        statuses, max_slots_used = _run_scenario(scenario, gateways=2)
        assert max_slots_used <= 3
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 12

    def test_unanswered_commands_do_not_stop_the_agent(self) -> None:
        """Guards against a delay of 0.4 s for each command that an engine leaves unanswered."""

        async def scenario(deployment: InProcessDeployment) -> tuple[list[int], int]:
            for upstream in deployment.upstreams.values():
                upstream.lost_responses = 2
            calls = [deployment.call("/ask/1", adapter=f"a{n}") for n in range(6)]
            answers = await asyncio.gather(*calls)
            return [answer.status for answer in answers], max(
                upstream.max_slots_used for upstream in deployment.upstreams.values()
            )

        statuses, max_slots_used = _run_scenario(scenario)
        assert statuses.count(200) == 6
        assert max_slots_used <= 3

    def test_commands_have_one_holder_and_ascending_tokens(self) -> None:
        """Guards against a lower fencing token after a restart of the agent.

        It would violate the protocol's rule for commands.
        """

        async def scenario(deployment: InProcessDeployment) -> list[tuple[str, int]]:
            upstream = deployment.upstreams["e0"]
            await deployment.call("/ask/1", adapter="a1")
            await deployment.agents["e0"].close()
            await deployment.start_agent("e0")
            await asyncio.sleep(0.3)
            await asyncio.gather(*(deployment.call("/ask/1", adapter=f"a{n}") for n in range(2, 8)))
            return [(command["holder"], command["fencing_token"]) for command in upstream.commands]

        commands = _run_scenario(scenario, engines=1)
        assert len({holder for holder, _ in commands}) == 1
        tokens = [token for _, token in commands]
        assert tokens == sorted(tokens)
        assert len(set(tokens)) == 2

    def test_resident_adapters_are_used_without_an_agent(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            await deployment.call("/ask/1", adapter="a1")
            for agent in deployment.agents.values():
                await agent.close()
            await asyncio.sleep(0.05)
            return (await deployment.call("/ask/1", adapter="a1")).status

        assert _run_scenario(scenario) == 200

    def test_a_new_version_replaces_the_old_one(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> list[object]:
            await deployment.call("/ask/1", adapter="a1")
            for upstream in deployment.upstreams.values():
                upstream.latest_versions["a1"] = 2
            deployment.store.put(
                "op", "version/base.a1", {"model": "base", "adapter": "a1", "version": 2}
            )
            await asyncio.sleep(0.3)
            for _ in range(3):
                await deployment.call("/ask/1", adapter="a1")
            return [run["version"] for run in _runs(deployment)]

        assert _run_scenario(scenario) == [1, 2, 2, 2]

    def test_adapters_are_loaded_again_after_an_engine_restart(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            upstream = deployment.upstreams["e0"]
            await deployment.call("/ask/1", adapter="a1")
            _restart(upstream)
            deployment.store.put("servers", "e0", upstream.entry())
            await asyncio.sleep(0.3)
            return (await deployment.call("/ask/1", adapter="a1")).status

        assert _run_scenario(scenario, engines=1) == 200


def _restart(upstream: UpstreamStandIn) -> None:
    upstream.start_time_ms += 1
    upstream.sequence = 0
    upstream.adapters.clear()


class TestEndOfRequests:
    """Draining, client disconnects and deadlines."""

    def test_a_draining_upstream_gets_no_new_requests(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            deployment.store.put("servers", "p0", deployment.upstreams["p0"].entry("draining"))
            await asyncio.sleep(1.3)
            for _ in range(6):
                await deployment.call("/book/1")
            return len(deployment.upstreams["p0"].runs)

        assert _run_scenario(scenario) == 0

    def test_a_draining_gateway_completes_open_answers(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> Answer:
            deployment.upstreams["e0"].events = 60
            call = asyncio.ensure_future(deployment.call("/ask/1", adapter="a1"))
            await asyncio.sleep(0.2)
            stop = asyncio.ensure_future(deployment.gateways[0].drain())
            answer = await call
            await stop
            return answer

        answer = _run_scenario(scenario, engines=1)
        assert answer.complete
        assert len(answer.event_ids) == 60

    def test_a_client_disconnect_cancels_the_request(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            deployment.upstreams["e0"].events = 400
            call = asyncio.ensure_future(deployment.call("/ask/1", adapter="a1"))
            await asyncio.sleep(0.3)
            call.cancel()
            await asyncio.sleep(0.2)
            return sum(deployment.upstreams["e0"].active_requests.values())

        assert _run_scenario(scenario, engines=1) == 0

    def test_a_request_ends_at_its_deadline(self) -> None:
        async def scenario(deployment: InProcessDeployment) -> int:
            for upstream in deployment.upstreams.values():
                upstream.faults = [Fault.HANG]
            return (await deployment.call("/book/1", headers={"Deadline-Remaining": "200"})).status

        assert _run_scenario(scenario) == 504
