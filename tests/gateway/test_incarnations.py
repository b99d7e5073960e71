"""Tests of engines that restart while the registry still holds their old entry."""

import asyncio

from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, running_deployment
from tests.gateway.builders import MODEL


async def _wait_until_linked(deployment: InProcessDeployment, upstream_id: str) -> None:
    """Wait until the gateway has the agent's report on the new incarnation."""
    async with asyncio.timeout(3):
        while True:
            view = deployment.gateways[0].gateway.table.views.get(upstream_id)  # type: ignore[call-overload]
            if view is not None and view.is_linked and view.upstream.start_time_ms == 2:
                return
            await asyncio.sleep(0.01)


def _serve_after_restart(
    new_upstream_id: str, call_count: int = 6
) -> tuple[list[Answer], InProcessDeployment]:
    """Restart the only engine without changing its entry, then send requests."""

    async def run_scenario() -> tuple[list[Answer], InProcessDeployment]:
        async with running_deployment(engines=1, plain=0) as deployment:
            await deployment.call("/ask/1", adapter="a1")
            deployment.upstreams["e0"].restart(new_upstream_id)
            await asyncio.sleep(0.6)
            answers = [
                await deployment.call(f"/ask/{number}", adapter="a1")
                for number in range(call_count)
            ]
            return answers, deployment

    return asyncio.run(run_scenario())


class TestNewIncarnation:
    """Engines restart before their entries are updated, as after a power loss of all VMs."""

    def test_requests_reach_new_incarnation_before_its_entry_exists(self) -> None:
        answers, deployment = _serve_after_restart("e0-again")
        assert [answer.status for answer in answers] == [200] * 6
        assert deployment.upstreams["e0"].misdirected == 0

    def test_new_incarnation_under_same_id_starts_empty(self) -> None:
        answers, deployment = _serve_after_restart("e0")
        assert [answer.status for answer in answers] == [200] * 6
        assert deployment.upstreams["e0"].misdirected == 0

    def test_changed_entry_of_old_incarnation_gets_no_requests(self) -> None:
        """A late change of the old entry must not make the old incarnation available again."""

        async def run_scenario() -> tuple[Answer, int]:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = deployment.upstreams["e0"]
                old = upstream.entry()
                upstream.restart("e0-again")
                await _wait_until_linked(deployment, "e0-again")
                deployment.store.put("servers", "e0", {**old, "version": "v2"})
                await asyncio.sleep(0.3)
                return await deployment.call("/ask/1", adapter="a1"), upstream.misdirected

        answer, misdirected = asyncio.run(run_scenario())
        assert (answer.status, misdirected) == (200, 0)

    def test_entry_of_new_incarnation_replaces_old_one(self) -> None:
        """The switch to the new entry must not cause another load of the adapter."""

        async def run_scenario() -> tuple[Answer, set[str], int]:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = deployment.upstreams["e0"]
                upstream.restart("e0-again")
                await _wait_until_linked(deployment, "e0-again")
                await deployment.call("/ask/1", adapter="a1")
                deployment.store.put("servers", "e0-again", upstream.entry())
                deployment.store.remove("servers", "e0")
                async with asyncio.timeout(6):
                    while "e0" in deployment.gateways[0].gateway.table.views:
                        await asyncio.sleep(0.05)
                answer = await deployment.call("/ask/2", adapter="a1")
                return (
                    answer,
                    set(deployment.gateways[0].gateway.table.views),
                    len(upstream.commands),
                )

        answer, known, commands = asyncio.run(run_scenario())
        assert answer.status == 200
        assert known == {"e0-again"}
        assert commands == 1, "the adapter was loaded again after the entry was registered"

    def test_requests_wait_for_base_model(self) -> None:
        """Requests must not be refused while the restarted engine loads its base model."""

        async def run_scenario() -> list[int]:
            async with running_deployment(engines=1, plain=0) as deployment:
                deployment.upstreams["e0"].model_load_s = 0.3
                deployment.upstreams["e0"].restart("e0-again")
                await _wait_until_linked(deployment, "e0-again")
                calls = [deployment.call(f"/ask/{number}", adapter="a1") for number in range(4)]
                answers = await asyncio.gather(*calls)
                return [answer.status for answer in answers]

        statuses = asyncio.run(run_scenario())
        assert statuses == [200] * 4

    def test_base_model_is_loaded_once(self) -> None:
        """A repeated load would waste the weight store's load limit, which all engines share."""

        async def run_scenario() -> int:
            async with running_deployment(engines=1, plain=0) as deployment:
                upstream = deployment.upstreams["e0"]
                upstream.model_load_s = 0.3
                upstream.restart("e0-again")
                await asyncio.sleep(1.0)
                return sum("adapter" not in command for command in upstream.commands)

        assert asyncio.run(run_scenario()) == 1

    def test_stale_agent_report_is_ignored(self) -> None:
        """The agent still reports the old incarnation after the new one is registered."""

        async def run_scenario() -> dict[object, object]:
            async with running_deployment(engines=1, plain=0) as deployment:
                await deployment.call("/ask/1", adapter="a1")
                upstream = deployment.upstreams["e0"]
                upstream.report_lag_s = 0.8
                upstream.restart("e0-again")
                deployment.store.put("servers", "e0-again", upstream.entry())
                async with asyncio.timeout(3):
                    while "e0-again" not in deployment.gateways[0].gateway.table.views:
                        await asyncio.sleep(0.005)
                await asyncio.sleep(0.5)
                view = deployment.gateways[0].gateway.table.views["e0-again"]  # type: ignore[index]
                return dict(view.resident)

        resident = asyncio.run(run_scenario())
        assert not resident, f"adapters of {MODEL} from the old incarnation count as resident"
