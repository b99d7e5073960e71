"""Tests of engines that start again while the registry still holds their old entry."""

import asyncio

from dragonflyhold.platform.standins.site import Answer, InProcessDeployment, running_deployment
from tests.gateway.builders import MODEL


async def _wait_until_known(site: InProcessDeployment, upstream_id: str) -> None:
    """Wait until the gateway has been told what a lifetime holds."""
    async with asyncio.timeout(3):
        while True:
            view = site.gateways[0].gateway.table.views.get(upstream_id)  # type: ignore[call-overload]
            if view is not None and view.is_linked and view.upstream.start_time_ms == 2:
                return
            await asyncio.sleep(0.01)


def _run_restart(new_id: str, calls: int = 6) -> tuple[list[Answer], InProcessDeployment]:
    """Restart the only engine, keep the old entry, and send requests."""

    async def play() -> tuple[list[Answer], InProcessDeployment]:
        async with running_deployment(engines=1, plain=0) as site:
            await site.call("/ask/1", adapter="a1")
            site.upstreams["e0"].restart(new_id)
            await asyncio.sleep(0.6)
            answers = [await site.call(f"/ask/{number}", adapter="a1") for number in range(calls)]
            return answers, site

    return asyncio.run(play())


class TestNewIncarnation:
    """All VMs lost power: the engines are back before their entries (pattern of replace_core)."""

    def test_requests_go_to_the_new_incarnation_before_its_entry_exists(self) -> None:
        answers, site = _run_restart("e0-again")
        assert [answer.status for answer in answers] == [200] * 6
        assert site.upstreams["e0"].misdirected == 0

    def test_an_incarnation_under_the_same_id_starts_empty(self) -> None:
        answers, site = _run_restart("e0")
        assert [answer.status for answer in answers] == [200] * 6
        assert site.upstreams["e0"].misdirected == 0

    def test_the_old_entry_read_again_gets_no_requests(self) -> None:
        async def play() -> tuple[Answer, int]:
            async with running_deployment(engines=1, plain=0) as site:
                upstream = site.upstreams["e0"]
                old = upstream.entry()
                upstream.restart("e0-again")
                await _wait_until_known(site, "e0-again")
                site.store.put("servers", "e0", {**old, "version": "v2"})
                await asyncio.sleep(0.3)
                return await site.call("/ask/1", adapter="a1"), upstream.misdirected

        answer, misdirected = asyncio.run(play())
        assert (answer.status, misdirected) == (200, 0)

    def test_the_entry_of_the_new_incarnation_takes_over(self) -> None:
        async def play() -> tuple[Answer, set[str], int]:
            async with running_deployment(engines=1, plain=0) as site:
                upstream = site.upstreams["e0"]
                upstream.restart("e0-again")
                await _wait_until_known(site, "e0-again")
                await site.call("/ask/1", adapter="a1")
                site.store.put("servers", "e0-again", upstream.entry())
                site.store.remove("servers", "e0")
                async with asyncio.timeout(6):
                    while "e0" in site.gateways[0].gateway.table.views:
                        await asyncio.sleep(0.05)
                answer = await site.call("/ask/2", adapter="a1")
                return answer, set(site.gateways[0].gateway.table.views), len(upstream.commands)

        answer, known, commands = asyncio.run(play())
        assert answer.status == 200
        assert known == {"e0-again"}
        assert commands == 1, "the adapter was loaded again when the entry came"

    def test_requests_wait_while_the_base_model_is_loaded(self) -> None:
        async def play() -> list[int]:
            async with running_deployment(engines=1, plain=0) as site:
                site.upstreams["e0"].model_load_s = 0.3
                site.upstreams["e0"].restart("e0-again")
                await _wait_until_known(site, "e0-again")
                calls = [site.call(f"/ask/{number}", adapter="a1") for number in range(4)]
                answers = await asyncio.gather(*calls)
                return [answer.status for answer in answers]

        statuses = asyncio.run(play())
        assert statuses == [200] * 4

    def test_the_base_model_is_loaded_once(self) -> None:
        """Loads from the weight store are limited over all engines."""

        async def play() -> int:
            async with running_deployment(engines=1, plain=0) as site:
                upstream = site.upstreams["e0"]
                upstream.model_load_s = 0.3
                upstream.restart("e0-again")
                await asyncio.sleep(1.0)
                return sum("adapter" not in command for command in upstream.commands)

        assert asyncio.run(play()) == 1

    def test_an_agent_that_lags_behind_the_registry_is_not_believed(self) -> None:
        async def play() -> dict[object, object]:
            async with running_deployment(engines=1, plain=0) as site:
                await site.call("/ask/1", adapter="a1")
                upstream = site.upstreams["e0"]
                upstream.report_lag_s = 0.8
                upstream.restart("e0-again")
                site.store.put("servers", "e0-again", upstream.entry())
                async with asyncio.timeout(3):
                    while "e0-again" not in site.gateways[0].gateway.table.views:
                        await asyncio.sleep(0.005)
                await asyncio.sleep(0.5)
                view = site.gateways[0].gateway.table.views["e0-again"]  # type: ignore[index]
                return dict(view.resident)

        held = asyncio.run(play())
        assert not held, f"the old lifetime's adapters of {MODEL} count as held"
