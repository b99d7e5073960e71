"""Tests of engines that start again while the registry still holds their old entry."""

import asyncio

from dragonflyhold.platform.standins.site import Answer, Site, running_site
from tests.gateway.builders import MODEL


async def _wait_until_known(site: Site, runner_id: str) -> None:
    """Wait until the gateway has been told what a lifetime holds."""
    async with asyncio.timeout(3):
        while True:
            view = site.gateways[0].gateway.table.views.get(runner_id)  # type: ignore[call-overload]
            if view is not None and view.is_linked and view.runner.born == 2:
                return
            await asyncio.sleep(0.01)


def _play_restart(new_id: str, calls: int = 6) -> tuple[list[Answer], Site]:
    """Restart the only engine, keep the old entry, and send requests."""

    async def play() -> tuple[list[Answer], Site]:
        async with running_site(engines=1, plain=0) as site:
            await site.call("/ask/1", adapter="a1")
            site.runners["e0"].restart(new_id)
            await asyncio.sleep(0.6)
            answers = [await site.call(f"/ask/{number}", adapter="a1") for number in range(calls)]
            return answers, site

    return asyncio.run(play())


class TestNewLifetime:
    """All VMs lost power: the engines are back before their entries (pattern of replace_core)."""

    def test_requests_go_to_the_new_lifetime_before_its_entry_is_there(self) -> None:
        answers, site = _play_restart("e0-again")
        assert [answer.status for answer in answers] == [200] * 6
        assert site.runners["e0"].misdirected == 0

    def test_a_lifetime_under_the_same_id_is_taken_as_empty(self) -> None:
        answers, site = _play_restart("e0")
        assert [answer.status for answer in answers] == [200] * 6
        assert site.runners["e0"].misdirected == 0

    def test_the_old_entry_read_again_gets_no_requests(self) -> None:
        async def play() -> tuple[Answer, int]:
            async with running_site(engines=1, plain=0) as site:
                runner = site.runners["e0"]
                old = runner.entry()
                runner.restart("e0-again")
                await _wait_until_known(site, "e0-again")
                site.store.put("servers", "e0", {**old, "version": "v2"})
                await asyncio.sleep(0.3)
                return await site.call("/ask/1", adapter="a1"), runner.misdirected

        answer, misdirected = asyncio.run(play())
        assert (answer.status, misdirected) == (200, 0)

    def test_the_entry_of_the_new_lifetime_takes_over(self) -> None:
        async def play() -> tuple[Answer, set[str], int]:
            async with running_site(engines=1, plain=0) as site:
                runner = site.runners["e0"]
                runner.restart("e0-again")
                await _wait_until_known(site, "e0-again")
                await site.call("/ask/1", adapter="a1")
                site.store.put("servers", "e0-again", runner.entry())
                site.store.remove("servers", "e0")
                async with asyncio.timeout(6):
                    while "e0" in site.gateways[0].gateway.table.views:
                        await asyncio.sleep(0.05)
                answer = await site.call("/ask/2", adapter="a1")
                return answer, set(site.gateways[0].gateway.table.views), len(runner.orders)

        answer, known, orders = asyncio.run(play())
        assert answer.status == 200
        assert known == {"e0-again"}
        assert orders == 1, "the adapter was loaded again when the entry came"

    def test_requests_wait_while_the_base_model_is_loaded(self) -> None:
        async def play() -> list[int]:
            async with running_site(engines=1, plain=0) as site:
                site.runners["e0"].model_load_s = 0.3
                site.runners["e0"].restart("e0-again")
                await _wait_until_known(site, "e0-again")
                calls = [site.call(f"/ask/{number}", adapter="a1") for number in range(4)]
                answers = await asyncio.gather(*calls)
                return [answer.status for answer in answers]

        statuses = asyncio.run(play())
        assert statuses == [200] * 4

    def test_the_base_model_is_ordered_once(self) -> None:
        """Loads from the weight store are limited over all engines."""

        async def play() -> int:
            async with running_site(engines=1, plain=0) as site:
                runner = site.runners["e0"]
                runner.model_load_s = 0.3
                runner.restart("e0-again")
                await asyncio.sleep(1.0)
                return sum("adapter" not in order for order in runner.orders)

        assert asyncio.run(play()) == 1

    def test_an_agent_that_lags_behind_the_registry_is_not_believed(self) -> None:
        async def play() -> dict[object, object]:
            async with running_site(engines=1, plain=0) as site:
                await site.call("/ask/1", adapter="a1")
                runner = site.runners["e0"]
                runner.report_lag = 0.8
                runner.restart("e0-again")
                site.store.put("servers", "e0-again", runner.entry())
                async with asyncio.timeout(3):
                    while "e0-again" not in site.gateways[0].gateway.table.views:
                        await asyncio.sleep(0.005)
                await asyncio.sleep(0.5)
                view = site.gateways[0].gateway.table.views["e0-again"]  # type: ignore[index]
                return dict(view.resident)

        held = asyncio.run(play())
        assert not held, f"the old lifetime's adapters of {MODEL} count as held"
